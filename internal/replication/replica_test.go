package replication

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"
)

// mustWrite writes an override.
func mustWrite(t testing.TB, replica *Replica, name string, disabled bool) {
	t.Helper()
	if _, err := replica.Write(Entry{Kind: KindOverride, Name: name, Disabled: disabled}); err != nil {
		t.Fatal(name, err)
	}
}

// TestMerge_IgnoresStaleChunk verifies that a delayed chunk does not insert an entry again that was replaced and dropped.
func TestMerge_IgnoresStaleChunk(t *testing.T) {
	a, b := New("a"), New("b")
	mustWrite(t, a, "r", true)
	stale := a.NextChunk(nil, Cursor{}, 9)
	mustWrite(t, a, "r", false)
	if _, err := b.Merge(&PullProgress{}, a.NextChunk(nil, Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	if dropped := b.CollectGarbage([]VersionVector{a.Version()}); len(dropped) != 1 {
		t.Fatalf("dropped %v, want 1 key", dropped)
	}
	if changed, err := b.Merge(&PullProgress{}, stale); err != nil || len(changed) > 0 || b.Len() > 0 {
		t.Errorf("merge of a stale chunk: changed %v, error %v; want neither", changed, err)
	}
}

// TestWrite_RejectsWhenFull verifies that an override beyond MaxOverrides is rejected, while existing overrides can be replaced and those
// of other replicas are merged.
func TestWrite_RejectsWhenFull(t *testing.T) {
	replica, other := New("l"), New("o")
	for i := range MaxOverrides {
		mustWrite(t, replica, fmt.Sprint("r", i), true)
	}
	if _, err := replica.Write(Entry{Kind: KindOverride, Name: "more", Disabled: true}); !errors.Is(err, ErrFull) {
		t.Errorf("override beyond the limit: %v, want ErrFull", err)
	}
	if _, err := replica.Write(Entry{Kind: KindOverride, Name: "r7"}); err != nil || IsDisabled(replica.Get(KindOverride, "r7")) {
		t.Errorf("override r7 was not replaced by one that enables it: %v", err)
	}
	mustWrite(t, other, "theirs", true)
	_, err := replica.Merge(&PullProgress{}, other.NextChunk(nil, Cursor{}, 9))
	if err != nil || !IsDisabled(replica.Get(KindOverride, "theirs")) {
		t.Errorf("override of another replica was not merged: %v", err)
	}
}

// FuzzMerge verifies that an arbitrary chunk is either merged completely or rejected, and that the replica's indexes stay consistent.
func FuzzMerge(f *testing.F) {
	seed := New("l")
	mustWrite(f, seed, "r", true)
	mustWrite(f, seed, "r", false)
	raw, err := json.Marshal(seed.NextChunk(nil, Cursor{}, 9))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw, []byte(`{"life":"x","entries":[{"kind":"word","name":"r","life":"y","count":9,"saw":{"l":1}}],"seen":{"y":1}}`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		replica := New("me")
		for _, raw := range [][]byte{first, second, first} {
			var chunk Chunk
			if json.Unmarshal(raw, &chunk) != nil {
				continue
			}
			before := replica.Len()
			if _, err := replica.Merge(&PullProgress{}, chunk); err != nil && replica.Len() != before {
				t.Fatalf("rejected chunk was partly merged: %v", err)
			}
			if replica.Len() > before+len(chunk.Entries) {
				t.Fatalf("%d entries merged from a chunk of %d", replica.Len()-before, len(chunk.Entries))
			}
		}
		count := 0
		for _, name := range replica.Names(KindOverride) {
			entries := replica.Get(KindOverride, name)
			count += len(entries)
			for i, entry := range entries {
				if replica.find(entry.Dot) == nil || i > 0 && entry.Dot == entries[i-1].Dot {
					t.Fatalf("entries with a duplicate dot, or one that find does not return: %+v", entries)
				}
			}
		}
		if count != replica.Len() {
			t.Fatalf("%d entries found by name, Len is %d", count, replica.Len())
		}
		replica.Discard(replica.DotsInBuckets(replica.DifferingBuckets(nil)))
		if replica.Len() > 0 || replica.Digest() != New("").Digest() {
			t.Fatalf("%d entries left after Discard of all, or not the digest of an empty replica", replica.Len())
		}
	})
}
