//go:build !lean

package replication

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"birchfork/internal/failpoint"
	"birchfork/internal/goldentest"
)

func goldenEntry() Entry {
	return Entry{
		Kind: KindOverride, Name: "r1", Dot: Dot{Incarnation: "life-1", Counter: 11},
		CausalContext: VersionVector{"life-1": 10, "life-2": 12}, Member: "d1",
		WrittenAt: 1_700_000_000_123, Disabled: true, Data: json.RawMessage(`{"of":"another build"}`),
	}
}

// TestGolden_Forms checks the JSON of all types that are stored on disk and sent between members.
func TestGolden_Forms(t *testing.T) {
	goldentest.CheckJSON(t, "entry.json", goldenEntry())
	goldentest.CheckJSON(t, "entries.json", []Entry{
		goldenEntry(),
		{Kind: KindOverride, Name: "r1", Dot: Dot{Incarnation: "life-2", Counter: 13}, Member: "d2"},
	})
	goldentest.CheckJSON(t, "version-vector.json", VersionVector{"life-1": 21, "life-2": 22})
	goldentest.CheckJSON(t, "dots.json", []Dot{{Incarnation: "life-1", Counter: 31}, {Incarnation: "life-2", Counter: 32}})
	goldentest.CheckJSON(t, "cursor.json", Cursor{Kind: KindOverride, Name: "r2"})
	goldentest.CheckJSON(t, "chunk.json", Chunk{
		Incarnation: "life-3", From: Cursor{Kind: KindOverride, Name: "r0"}, Entries: []Entry{goldenEntry()},
		Last: Cursor{Kind: KindOverride, Name: "r1"}, Done: true, Version: VersionVector{"life-1": 41, "life-2": 42},
	})
}

// TestGolden_Digests checks the digests of version vectors and entries, which members compare, and the bounds, which must be the same at all
// members.
func TestGolden_Digests(t *testing.T) {
	var b bytes.Buffer
	version := VersionVector{"life-1": 21, "life-2": 22, "life-3": 1}
	fmt.Fprintf(&b, "version vector: %016x of %d\n", version.Digest(), version.Total())
	replica := New("life-1")
	for i := range 40 {
		entry := Entry{Kind: KindOverride, Name: fmt.Sprint("r", i), Disabled: i%3 > 0, Member: "d1", WrittenAt: int64(i)}
		if _, err := replica.Write(entry); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := replica.Write(Entry{Kind: "later", Name: "r1", Member: "d1", Data: []byte(`{}`)}); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&b, "entries: %016x of %d\nbuckets:\n", replica.Digest(), replica.Len())
	for _, digest := range replica.BucketDigests() {
		fmt.Fprintf(&b, "%016x\n", digest)
	}
	fmt.Fprintln(&b, "bounds:", MaxNameLength, maxKindLength, maxDataLength, maxIncarnationLength, MaxOverrides, maxIncarnations,
		bucketCount)
	fmt.Fprintln(&b, "kind:", KindOverride)
	goldentest.Check(t, "digests.txt", b.Bytes())
}

// TestGolden_Errors checks the texts of errors that are sent to operators.
func TestGolden_Errors(t *testing.T) {
	var b bytes.Buffer
	long := strings.Repeat("x", 2000)
	for _, change := range []func(*Entry){
		func(e *Entry) { e.Kind = "" },
		func(e *Entry) { e.Kind = EntryKind(long) },
		func(e *Entry) { e.Data = []byte(long) },
		func(e *Entry) { e.Name = "" },
		func(e *Entry) { e.Name = long },
		func(e *Entry) { e.Name = "a\x00b" },
		func(e *Entry) { e.Incarnation = "" },
		func(e *Entry) { e.Incarnation = long },
		func(e *Entry) { e.Counter = 0 },
		func(e *Entry) { e.Member = long },
	} {
		entry := goldenEntry()
		change(&entry)
		fmt.Fprintln(&b, New("l").Restore(VersionVector{}, []Entry{entry}))
	}
	_, err := New("l").Write(Entry{Kind: KindOverride, Name: long})
	fmt.Fprintln(&b, err)
	fmt.Fprintln(&b, ErrFull)
	goldentest.Check(t, "errors.txt", b.Bytes())
}

// TestGolden_HistoryDigests runs random histories of replicas and checks a digest of all results per history.
func TestGolden_HistoryDigests(t *testing.T) {
	var b bytes.Buffer
	run := func(fault string, seed uint64) {
		failpoint.Set(fault)
		defer failpoint.Set("")
		h := newHistory(t, seed)
		for range 150 {
			h.step()
		}
		fmt.Fprintf(&b, "%s %d %016x\n", fault, seed, h.digest.Sum64())
	}
	for seed := range uint64(150) {
		run("", seed)
	}
	for _, fault := range []string{failpoint.EnabledWins, failpoint.ResurrectEntries, failpoint.LastWriteWins} {
		for seed := range uint64(10) {
			run(fault, seed)
		}
	}
	goldentest.Check(t, "history-digests.txt", b.Bytes())
}
