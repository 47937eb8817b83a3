package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"birchfork/internal/peer"
	"birchfork/internal/peer/peertest"
	"birchfork/internal/replication"
)

// The golden files hold what earlier builds have stored, sent and answered. UPDATE_GOLDEN=1 writes them.

// goldenStarted is when each process of these tests has started.
var goldenStarted = time.Date(2024, 5, 6, 7, 8, 9, 10, time.UTC)

// goldenReplica has an override that replaced another one, two in conflict, and an entry of a kind that this build does not know.
func goldenReplica(t *testing.T) *replication.Replica {
	t.Helper()
	mine, theirs := replication.New("life-a"), replication.New("life-b")
	say := func(c *replication.Replica, e replication.Entry) {
		if _, err := c.Write(e); err != nil {
			t.Fatal(err)
		}
	}
	say(theirs, replication.Entry{Kind: replication.KindOverride, Name: "w1", Disabled: true, Member: "b", WrittenAt: 1700000000001})
	if _, err := mine.Merge(&replication.PullProgress{}, theirs.NextChunk(nil, replication.Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	say(mine, replication.Entry{Kind: replication.KindOverride, Name: "w1", Disabled: true, Member: "a", WrittenAt: 1700000000002})
	say(mine, replication.Entry{Kind: replication.KindOverride, Name: "w2", Member: "a", WrittenAt: 1700000000003})
	say(theirs, replication.Entry{Kind: replication.KindOverride, Name: "w2", Disabled: true, Member: "b", WrittenAt: 1700000000004})
	say(theirs, replication.Entry{Kind: "later", Name: "w3", Member: "b", WrittenAt: 1700000000005, Data: json.RawMessage(`{"x":1}`)})
	if _, err := mine.Merge(&replication.PullProgress{}, theirs.NextChunk(mine.Version(), replication.Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	return mine
}

// goldenRefs are all entries of goldenCopy.
var goldenRefs = map[replication.Key]bool{{Kind: replication.KindOverride, Name: "w1"}: true, {Kind: replication.KindOverride, Name: "w2"}: true, {Kind: "later", Name: "w3"}: true}

// dump is the logical content of a bbolt file: buckets, keys and values.
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

// The file keeps buckets, keys and values, and a new build opens a file of an earlier one.
func TestGolden_Disk(t *testing.T) {
	want := goldenReplica(t)
	dir := t.TempDir()
	d, _, err := openStorage(dir, "g", replication.New("life-c"), func(*storage, *batch) {})
	if err != nil {
		t.Fatal(err)
	}
	b, err := d.enqueue(want, goldenRefs)
	if err != nil {
		t.Fatal(err)
	}
	if <-b.done; b.err != nil {
		t.Fatal(b.err)
	}
	peertest.Golden(t, "words.db.txt", dump(t, d.db))
	if err := d.close(); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "words.db")
	if peertest.Updating() {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		peertest.Golden(t, "words.db", raw)
	}
	raw, err := os.ReadFile(peertest.GoldenPath("words.db"))
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	s, at := startNode(t, "a", dir, "b")
	if s.replica.Digest() != want.Digest() || s.replica.Version().Digest() != want.Version().Digest() {
		t.Errorf("it has %v, want %v", s.replica.Version(), want.Version())
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		if at.isDisabled(name) != (name != "w3") {
			t.Errorf("%s is out: %t", name, at.isDisabled(name))
		}
	}
	if data := s.replica.Get("later", "w3"); len(data) != 1 || string(data[0].Data) != `{"x":1}` {
		t.Errorf("%+v", data)
	}
	peertest.Golden(t, "words.db.txt", dump(t, s.storage.db))
}

// Each message and each reply keeps its encoding, with all fields.
func TestGolden_Messages(t *testing.T) {
	dots := []replication.Dot{{Incarnation: "life-a", Counter: 1}, {Incarnation: "life-b", Counter: 2}}
	about := MemberInfo{Version: "v", SettingsDigest: "s", OperatorDigest: "o", StartedAt: goldenStarted}
	peertest.GoldenJSON(t, "hello.json", digest{VersionSum: 1 << 63, EntrySum: 2, BucketSums: []uint64{3, 1<<64 - 1}, ObservedEntries: 4, StoredEntries: 5, Info: about})
	peertest.GoldenJSON(t, "pull.json", pullRequest{VersionVector: replication.VersionVector{"life-a": 1, "life-b": 2}, After: replication.Cursor{Kind: replication.KindOverride, Name: "w1"}})
	peertest.GoldenJSON(t, "gone.json", removals{VersionSum: 1 << 62, Dots: dots})
	peertest.GoldenJSON(t, "piece.json", replication.Chunk{
		Incarnation: "life-a", From: replication.Cursor{Kind: replication.KindOverride, Name: "w1"}, Last: replication.Cursor{Kind: "later", Name: "w2"}, Done: true,
		Version: replication.VersionVector{"life-a": 3}, Entries: []replication.Entry{{
			Kind: "later", Name: "w2", Dot: dots[1], CausalContext: replication.VersionVector{"life-a": 1}, Member: "b", WrittenAt: 1700000000001, Disabled: true,
			Data: json.RawMessage(`{"x":1}`),
		}},
	})
	peertest.GoldenJSON(t, "call.json", Call{Worker: "w1", Disabled: true})
	peertest.GoldenJSON(t, "reply.json", Reply{
		Member: "a", Text: "text", Invalid: true, CaughtUp: true, NotPersisted: "unkept", Digest: "digest", Incarnations: 1,
		Overrides: []OverrideStatus{{Worker: "w1", Disabled: true, Conflict: true, Writes: []OverrideWrite{{Disabled: true, Member: "b", At: goldenStarted}}}},
		Members: []MemberStatus{{
			Name: "b", MemberInfo: about, LastContact: 2, LastInSync: 3, MissingEntries: 4, StoredEntries: 5, Messages: 6, BytesOut: 7, BytesIn: 8,
		}},
		Counters: map[string]int64{"words_rounds": 9},
	})
}

// goldenNode is member a of the group g with member b, and has goldenCopy.
func goldenNode(t *testing.T) *Node {
	t.Helper()
	node, _ := startNode(t, "a", "", "b")
	node.options.Info = func() MemberInfo {
		return MemberInfo{Version: "v", SettingsDigest: "s", OperatorDigest: "o", StartedAt: goldenStarted}
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

// goldenTransport are a node's, where member b has the address.
func goldenTransport(t *testing.T, b string) (transport *peer.Transport, listener net.Listener) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	transport = peer.NewTransport(peer.Options{
		Group: "g", Self: "a", Members: []peer.Member{{Name: "a", Address: listener.Addr().String()}, {Name: "b", Address: b}}, OnUnreachable: func(string) {},
		Identity: func() peer.Sender { return peer.Sender{Name: "a", Incarnation: "l", ClusterID: "f"} }, IsStale: func(string, string) bool { return false },
	})
	t.Cleanup(transport.Close)
	return transport, listener
}

// plainStatus is an operator's reply without what depends on the moment and on the time zone.
func plainStatus(t *testing.T, answer string) string {
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

// What a member answers to messages and calls of an earlier build stays, path by path.
func TestGolden_Answers(t *testing.T) {
	node := goldenNode(t)
	node.cancel, node.done = func() {}, make(chan struct{})
	close(node.done)
	transport, listener := goldenTransport(t, "127.0.0.1:1")
	node.transport = transport
	transport.Handle("/group/copies/hello", node.handleDigest)
	transport.Handle("/group/copies/pull", node.handlePull)
	transport.Handle("/group/copies/gone", node.handleRemovals)
	transport.HandleOperator("/group/words", node.handleOperatorCall)
	transport.Serve(listener)
	versionSum := node.replica.Version().Digest()
	var out strings.Builder
	post := func(path, body string) string {
		answer := peertest.Post(t, listener.Addr().String(), path, peertest.Headers(), []byte(body))
		fmt.Fprintf(&out, "%s %s\n%s----\n", path, body, answer)
		return answer
	}
	call := func(body string) {
		answer := peertest.Post(t, listener.Addr().String(), "/group/words", nil, []byte(body))
		fmt.Fprintf(&out, "/group/words %s\n%s----\n", body, plainStatus(t, answer))
	}
	call(`{}`)
	post("/group/copies/hello", `{"seen":1,"sum":2,"count":3,"held":4,"about":{"version":"v2","settings":"s2","operator":"o2","started":"2024-01-02T03:04:05Z"}}`)
	post("/group/copies/hello", fmt.Sprintf(`{"seen":%d,"sum":2,"count":3,"held":4}`, versionSum))
	post("/group/copies/hello", fmt.Sprintf(`{"seen":%d,"sum":%d,"count":3,"held":4}`, versionSum, node.replica.Digest()))
	post("/group/copies/pull", `{"seen":{},"from":{"kind":"","name":""}}`)
	post("/group/copies/pull", `{"seen":{"life-a":1,"life-b":1},"from":{"kind":"word","name":"w1"}}`)
	post("/group/copies/gone", fmt.Sprintf(`{"seen":%d,"dots":[{"life":"life-b","count":1},{"life":"life-a","count":1}]}`, versionSum))
	post("/group/copies/gone", `{"seen":1,"dots":[{"life":"life-b","count":1}]}`)
	post("/group/copies/pull", `{`)
	node.mu.Lock()
	node.peers["b"] = peerStatus{
		info: MemberInfo{Version: "v2", SettingsDigest: "s2", OperatorDigest: "o2", StartedAt: goldenStarted.Add(time.Hour)}, lastContact: time.Now().Add(-2 * time.Hour),
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
	peertest.Golden(t, "answers.txt", []byte(out.String()))
}

// What a member sends to one that has something else keeps paths and bodies: hello, pull in two chunks, hello, gone.
func TestGolden_Requests(t *testing.T) {
	theirs := replication.New("life-d")
	for _, name := range []string{"w4", "w5"} {
		if _, err := theirs.Write(replication.Entry{Kind: replication.KindOverride, Name: name, Disabled: true, Member: "b", WrittenAt: 1700000000006}); err != nil {
			t.Fatal(err)
		}
	}
	node := goldenNode(t)
	digests := 0
	answer := func(path string, body []byte) []byte {
		var out any
		var in struct {
			Seen json.RawMessage    `json:"seen"`
			From replication.Cursor `json:"from"`
			Dots []replication.Dot  `json:"dots"`
		}
		if err := json.Unmarshal(body, &in); err != nil {
			t.Error(err)
		}
		switch path {
		case "/group/copies/hello":
			if digests++; digests == 1 {
				out = json.RawMessage(`{"seen":1,"sum":2,"count":2,"held":2,"about":{"version":"v2"}}`)
			} else { // the same was seen, and not all of it is there
				out = json.RawMessage(fmt.Sprintf(`{"seen":%s,"sum":2,"sums":[%s],"count":2,"held":2}`, in.Seen, strings.Join(slices.Repeat([]string{"0"}, 64), ",")))
			}
		case "/group/copies/pull":
			out = theirs.NextChunk(replication.VersionVector{}, in.From, 1)
		case "/group/copies/gone":
			out = json.RawMessage(fmt.Sprintf(`{"seen":%s,"dots":[{"life":"life-d","count":1}]}`, in.Seen))
		}
		raw, err := json.Marshal(out)
		if err != nil {
			t.Error(err)
		}
		return raw
	}
	b := peertest.NewRecorder(t, answer)
	transport, _ := goldenTransport(t, b.Address())
	node.transport = transport
	if err := node.syncWith(context.Background(), "b"); err != nil {
		t.Fatal(err)
	}
	text := b.Text()
	// The last request names entries in no order.
	requests := strings.SplitAfter(string(text), "\n\n")
	last := requests[len(requests)-1]
	var g removals
	if err := json.Unmarshal([]byte(last), &g); err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(g.Dots, func(a, b replication.Dot) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	raw, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	peertest.Golden(t, "requests.txt", append([]byte(strings.TrimSuffix(string(text), last)), append(raw, '\n')...))
	if names := node.replica.Names(replication.KindOverride); !slices.Equal(names, []string{"w1", "w2", "w5"}) {
		t.Errorf("it has %v", names)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.caughtUpWith["b"] || node.traffic["b"].messages != 5 || node.Counters.Chunks.Load() != 2 || node.Counters.Merged.Load() != 2 || node.Counters.Removed.Load() != 1 {
		t.Errorf("caught up %t, %+v, %v", node.caughtUpWith["b"], node.traffic["b"], node.Fields())
	}
}

// An operator's call at a member keeps path, headers and body.
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
		t.Errorf("%s, %v", again, err)
	}
	peertest.Golden(t, "call.txt", b.Text())
}

// Counters keep the names that log and status show.
func TestGolden_Counters(t *testing.T) {
	s, _ := startNode(t, "a", "")
	peertest.GoldenCounters(t, "counters.txt", s.Fields())
}
