package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"birchfork/internal/goldentest"
	"birchfork/internal/peer/peertest"
	"birchfork/internal/replication"
)

// The golden files contain the files, requests and answers of earlier builds. UPDATE_GOLDEN=1 writes them.

// goldenStartTime is the start time of each process in these tests.
var goldenStartTime = time.Date(2024, 5, 6, 7, 8, 9, 10, time.UTC)

// goldenReplica returns a replica with an override that replaced another one, two overrides in conflict, and an entry of a kind that is
// unknown to this build.
func goldenReplica(t *testing.T) *replication.Replica {
	t.Helper()
	mine, theirs := replication.New("life-a"), replication.New("life-b")
	write := func(replica *replication.Replica, entry replication.Entry) {
		t.Helper()
		if _, err := replica.Write(entry); err != nil {
			t.Fatal(err)
		}
	}
	write(theirs, replication.Entry{Kind: replication.KindOverride, Name: "w1", Disabled: true, Member: "b", WrittenAt: 1700000000001})
	if _, err := mine.Merge(&replication.PullProgress{}, theirs.NextChunk(nil, replication.Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	write(mine, replication.Entry{Kind: replication.KindOverride, Name: "w1", Disabled: true, Member: "a", WrittenAt: 1700000000002})
	write(mine, replication.Entry{Kind: replication.KindOverride, Name: "w2", Member: "a", WrittenAt: 1700000000003})
	write(theirs, replication.Entry{Kind: replication.KindOverride, Name: "w2", Disabled: true, Member: "b", WrittenAt: 1700000000004})
	write(theirs, replication.Entry{Kind: newerKind, Name: "w3", Member: "b", WrittenAt: 1700000000005, Data: json.RawMessage(newerData)})
	if _, err := mine.Merge(&replication.PullProgress{}, theirs.NextChunk(mine.Version(), replication.Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	return mine
}

// goldenKeys has the keys of all entries of goldenReplica.
var goldenKeys = map[replication.Key]bool{
	{Kind: replication.KindOverride, Name: "w1"}: true,
	{Kind: replication.KindOverride, Name: "w2"}: true,
	{Kind: newerKind, Name: "w3"}:                true,
}

// dump returns the buckets, keys and values of a bbolt file as text.
func dump(t *testing.T, db *bbolt.DB) []byte {
	t.Helper()
	var out strings.Builder
	err := db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, b *bbolt.Bucket) error {
			fmt.Fprintf(&out, "bucket %q\n", name)
			return b.ForEach(func(k, v []byte) error {
				fmt.Fprintf(&out, "%x\n\t%x\n\t%q\n", k, v, v)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return []byte(out.String())
}

// TestGolden_Storage verifies that the file has the same buckets, keys and values as in earlier builds, and that this build opens a file of
// an earlier one.
func TestGolden_Storage(t *testing.T) {
	want := goldenReplica(t)
	dir := t.TempDir()
	opened, _, err := openStorage(dir, "g", replication.New("life-c"), func(*storage, *batch) {})
	if err != nil {
		t.Fatal(err)
	}
	queued, err := opened.enqueue(want, goldenKeys)
	if err != nil {
		t.Fatal(err)
	}
	if <-queued.done; queued.err != nil {
		t.Fatal(queued.err)
	}
	goldentest.Check(t, "words.db.txt", dump(t, opened.db))
	if err := opened.close(); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "words.db")
	if peertest.Updating() {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		goldentest.Check(t, "words.db", raw)
	}
	raw, err := os.ReadFile(peertest.GoldenPath("words.db"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	node, dispatcher := startNode(t, "a", dir, "b")
	if node.replica.Digest() != want.Digest() || node.replica.Version().Digest() != want.Version().Digest() {
		t.Errorf("restored version %v, want %v", node.replica.Version(), want.Version())
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		if dispatcher.isDisabled(name) != (name != "w3") {
			t.Errorf("%s is disabled: %t; want w1 and w2 only", name, dispatcher.isDisabled(name))
		}
	}
	if data := node.replica.Get(newerKind, "w3"); len(data) != 1 || string(data[0].Data) != newerData {
		t.Errorf("entries of the newer kind: %+v, want one with newerData", data)
	}
	goldentest.Check(t, "words.db.txt", dump(t, node.storage.db))
}

// TestGolden_Messages verifies that each message and reply has the same encoding as in earlier builds, with all fields.
func TestGolden_Messages(t *testing.T) {
	dots := []replication.Dot{{Incarnation: "life-a", Counter: 1}, {Incarnation: "life-b", Counter: 2}}
	about := MemberInfo{Version: "v", SettingsDigest: "s", OperatorDigest: "o", StartedAt: goldenStartTime}
	peertest.GoldenJSON(t, "hello.json", digest{VersionDigest: 1 << 63, EntryDigest: 2, BucketDigests: []uint64{3, 1<<64 - 1}, ObservedEntries: 4, StoredEntries: 5, Info: about})
	peertest.GoldenJSON(t, "pull.json", pullRequest{Version: replication.VersionVector{"life-a": 1, "life-b": 2}, Cursor: replication.Cursor{Kind: replication.KindOverride, Name: "w1"}})
	peertest.GoldenJSON(t, "gone.json", removals{VersionDigest: 1 << 62, Dots: dots})
	peertest.GoldenJSON(t, "piece.json", replication.Chunk{
		Incarnation: "life-a", From: replication.Cursor{Kind: replication.KindOverride, Name: "w1"}, Last: replication.Cursor{Kind: newerKind, Name: "w2"}, Done: true,
		Version: replication.VersionVector{"life-a": 3}, Entries: []replication.Entry{{
			Kind: newerKind, Name: "w2", Dot: dots[1], CausalContext: replication.VersionVector{"life-a": 1}, Member: "b", WrittenAt: 1700000000001, Disabled: true,
			Data: json.RawMessage(newerData),
		}},
	})
	peertest.GoldenJSON(t, "call.json", Call{Worker: "w1", Disabled: true})
	peertest.GoldenJSON(t, "reply.json", Reply{
		Member: "a", Text: "text", Invalid: true, CaughtUp: true, NotPersisted: "unkept", Digest: "digest", Incarnations: 1,
		Overrides: []OverrideStatus{{Worker: "w1", Disabled: true, Conflict: true, Writes: []OverrideWrite{{Disabled: true, Member: "b", At: goldenStartTime}}}},
		Members: []MemberStatus{{
			Name: "b", MemberInfo: about, LastContact: 2, LastInSync: 3, MissingEntries: 4, StoredEntries: 5, Messages: 6, BytesOut: 7, BytesIn: 8,
		}},
		Counters: map[string]int64{"words_rounds": 9},
	})
}

// goldenNode returns member a of the group g of a and b, with goldenReplica.
func goldenNode(t *testing.T) *Node {
	t.Helper()
	node, _ := startNode(t, "a", "", "b")
	node.options.Info = func() MemberInfo {
		return MemberInfo{Version: "v", SettingsDigest: "s", OperatorDigest: "o", StartedAt: goldenStartTime}
	}
	node.options.SetOverride = func(worker string, disabled bool) (string, error) {
		if worker == "unknown" {
			return "", fmt.Errorf("no such runner: %s, out %t", worker, disabled)
		}
		return "a note on " + worker, nil
	}
	node.replica = goldenReplica(t)
	node.firstContact = time.Now().Add(-time.Hour)
	return node
}

// normalizeReply returns the reply to an operator's call without the values that depend on time and time zone.
func normalizeReply(t *testing.T, answer string) string {
	t.Helper()
	head, body, _ := strings.Cut(answer, "\n{")
	var r Reply
	decoder := json.NewDecoder(strings.NewReader("{" + body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&r); err != nil {
		t.Fatalf("%s: %v", answer, err)
	}
	for i := range r.Members {
		r.Members[i].LastContact, r.Members[i].LastInSync = r.Members[i].LastContact.Round(time.Hour), r.Members[i].LastInSync.Round(time.Hour)
	}
	for _, w := range r.Overrides {
		for i := range w.Writes {
			w.Writes[i].At = w.Writes[i].At.UTC()
		}
	}
	raw, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return head + "\n" + string(raw) + "\n"
}

// TestGolden_Answers verifies that messages and calls of an earlier build have the same answers as in that build, for each path.
func TestGolden_Answers(t *testing.T) {
	node := goldenNode(t)
	node.cancel = func() {}
	transport, listener := peertest.NewTransport(t, "127.0.0.1:1")
	node.transport = transport
	transport.Handle("/group/copies/hello", node.handleDigest)
	transport.Handle("/group/copies/pull", node.handlePull)
	transport.Handle("/group/copies/gone", node.handleRemovals)
	transport.HandleOperator("/group/words", node.handleOperatorCall)
	transport.Serve(listener)
	versionDigest := node.replica.Version().Digest()
	var out strings.Builder
	post := func(path, body string) {
		answer := peertest.Post(t, listener.Addr().String(), path, peertest.Headers(), []byte(body))
		fmt.Fprintf(&out, "%s %s\n%s----\n", path, body, answer)
	}
	call := func(body string) {
		answer := peertest.Post(t, listener.Addr().String(), "/group/words", nil, []byte(body))
		fmt.Fprintf(&out, "/group/words %s\n%s----\n", body, normalizeReply(t, answer))
	}
	call(`{}`)
	post("/group/copies/hello", `{"seen":1,"sum":2,"count":3,"held":4,"about":{"version":"v2","settings":"s2","operator":"o2","started":"2024-01-02T03:04:05Z"}}`)
	post("/group/copies/hello", fmt.Sprintf(`{"seen":%d,"sum":2,"count":3,"held":4}`, versionDigest))
	post("/group/copies/hello", fmt.Sprintf(`{"seen":%d,"sum":%d,"count":3,"held":4}`, versionDigest, node.replica.Digest()))
	post("/group/copies/pull", `{"seen":{},"from":{"kind":"","name":""}}`)
	post("/group/copies/pull", `{"seen":{"life-a":1,"life-b":1},"from":{"kind":"word","name":"w1"}}`)
	post("/group/copies/gone", fmt.Sprintf(`{"seen":%d,"dots":[{"life":"life-b","count":1},{"life":"life-a","count":1}]}`, versionDigest))
	post("/group/copies/gone", `{"seen":1,"dots":[{"life":"life-b","count":1}]}`)
	post("/group/copies/pull", `{`)
	node.mu.Lock()
	node.peers["b"] = peerStatus{
		info: MemberInfo{Version: "v2", SettingsDigest: "s2", OperatorDigest: "o2", StartedAt: goldenStartTime.Add(time.Hour)}, lastContact: time.Now().Add(-2 * time.Hour),
		lastInSync: time.Now().Add(-3 * time.Hour), observedEntries: 1, storedEntries: 2,
	}
	node.traffic["b"] = traffic{messages: 11, bytesOut: 12, bytesIn: 13}
	node.Counters.Rounds.Store(21)
	node.Counters.Chunks.Store(22)
	node.Counters.Merged.Store(23)
	node.Counters.Removed.Store(24)
	node.Counters.Rejected.Store(25)
	node.Counters.PersistFailures.Store(26)
	node.mu.Unlock()
	call(`{"runner":"w1","out":true}`)
	call(`{"runner":"unknown"}`)
	call(`{`)
	node.firstContact = time.Time{}
	post("/group/copies/pull", `{"seen":{},"from":{"kind":"","name":""}}`)
	node.Detach()
	post("/group/copies/hello", `{"seen":1,"sum":2,"count":3,"held":4}`)
	out.WriteString(peertest.Post(t, listener.Addr().String(), "/group/words", nil, []byte(`{}`)))
	goldentest.Check(t, "answers.txt", []byte(out.String()))
}

// goldenPeer answers as a member whose replica differs from goldenReplica: first in its version vector, then only by a removal.
type goldenPeer struct {
	t       *testing.T
	replica *replication.Replica
	digests int // number of digest requests
}

func (p *goldenPeer) answer(path string, body []byte) []byte {
	var request struct {
		Version json.RawMessage    `json:"seen"`
		Cursor  replication.Cursor `json:"from"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		p.t.Error(err)
	}
	switch path {
	case "/group/copies/hello":
		p.digests++
		if p.digests == 1 {
			return []byte(`{"seen":1,"sum":2,"count":2,"held":2,"about":{"version":"v2"}}`)
		}
		buckets := strings.Join(slices.Repeat([]string{"0"}, 64), ",")
		return fmt.Appendf(nil, `{"seen":%s,"sum":2,"sums":[%s],"count":2,"held":2}`, request.Version, buckets)
	case "/group/copies/pull":
		raw, err := json.Marshal(p.replica.NextChunk(replication.VersionVector{}, request.Cursor, 1))
		if err != nil {
			p.t.Error(err)
		}
		return raw
	case "/group/copies/gone":
		return fmt.Appendf(nil, `{"seen":%s,"dots":[{"life":"life-d","count":1}]}`, request.Version)
	}
	p.t.Errorf("unexpected request to %s", path)
	return nil
}

// sortDots returns requests with the dots of the last one sorted, because their order is random.
func sortDots(t *testing.T, requests string) []byte {
	t.Helper()
	bodies := strings.SplitAfter(requests, "\n\n")
	last := bodies[len(bodies)-1]
	var request removals
	if err := json.Unmarshal([]byte(last), &request); err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(request.Dots, func(a, b replication.Dot) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	raw, err := json.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	return []byte(strings.TrimSuffix(requests, last) + string(raw) + "\n")
}

// TestGolden_Requests verifies that the messages to a member with a different replica have the same paths and bodies as in earlier builds:
// a digest, two pulls, a digest, removals.
func TestGolden_Requests(t *testing.T) {
	theirs := &goldenPeer{t: t, replica: replication.New("life-d")}
	for _, name := range []string{"w4", "w5"} {
		entry := replication.Entry{Kind: replication.KindOverride, Name: name, Disabled: true, Member: "b", WrittenAt: 1700000000006}
		if _, err := theirs.replica.Write(entry); err != nil {
			t.Fatal(err)
		}
	}
	node := goldenNode(t)
	b := peertest.NewRecorder(t, theirs.answer)
	node.transport, _ = peertest.NewTransport(t, b.Address())
	if err := node.syncWith(context.Background(), "b"); err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, "requests.txt", sortDots(t, string(b.Text())))
	if names := node.replica.Names(replication.KindOverride); !slices.Equal(names, []string{"w1", "w2", "w5"}) {
		t.Errorf("overrides after the sync: %v, want w1, w2, w5", names)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.caughtUpWith["b"] || node.traffic["b"].messages != 5 || node.Counters.Chunks.Load() != 2 || node.Counters.Merged.Load() != 2 || node.Counters.Removed.Load() != 1 {
		t.Errorf("caught up %t, traffic %+v, counters %v; want true, 5 messages, 2 chunks, 2 merged, 1 removed", node.caughtUpWith["b"], node.traffic["b"], node.Fields())
	}
}

// TestGolden_Call verifies that an operator's call to a member has the same path, headers and body as in earlier builds.
func TestGolden_Call(t *testing.T) {
	raw, err := os.ReadFile(peertest.GoldenPath("reply.json"))
	if err != nil && !peertest.Updating() {
		t.Fatal(err)
	}
	b := peertest.NewRecorder(t, func(string, []byte) []byte { return raw })
	r, err := CallMember(context.Background(), b.Address(), Call{Worker: "w1", Disabled: true})
	if err != nil {
		t.Fatal(err)
	}
	again, err := json.Marshal(r)
	if err != nil || string(again)+"\n" != string(raw) {
		t.Errorf("reply encoded again: %s, %v; want the bytes of reply.json", again, err)
	}
	goldentest.Check(t, "call.txt", b.Text())
}

// TestGolden_Counters verifies that the counters have the same names in log and status as in earlier builds.
func TestGolden_Counters(t *testing.T) {
	s, _ := startNode(t, "a", "")
	peertest.GoldenCounters(t, "counters.txt", s.Fields())
}
