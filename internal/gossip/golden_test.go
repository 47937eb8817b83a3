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

// goldenCopy has an override that replaced another one, two in conflict, and an entry of a kind that this build does not know.
func goldenCopy(t *testing.T) *replication.Copy {
	t.Helper()
	mine, theirs := replication.New("life-a"), replication.New("life-b")
	say := func(c *replication.Copy, e replication.Entry) {
		if _, err := c.Say(e); err != nil {
			t.Fatal(err)
		}
	}
	say(theirs, replication.Entry{Kind: replication.Word, Name: "w1", Out: true, Member: "b", At: 1700000000001})
	if _, err := mine.Take(&replication.Pull{}, theirs.News(nil, replication.Mark{}, 9)); err != nil {
		t.Fatal(err)
	}
	say(mine, replication.Entry{Kind: replication.Word, Name: "w1", Out: true, Member: "a", At: 1700000000002})
	say(mine, replication.Entry{Kind: replication.Word, Name: "w2", Member: "a", At: 1700000000003})
	say(theirs, replication.Entry{Kind: replication.Word, Name: "w2", Out: true, Member: "b", At: 1700000000004})
	say(theirs, replication.Entry{Kind: "later", Name: "w3", Member: "b", At: 1700000000005, Data: json.RawMessage(`{"x":1}`)})
	if _, err := mine.Take(&replication.Pull{}, theirs.News(mine.Seen(), replication.Mark{}, 9)); err != nil {
		t.Fatal(err)
	}
	return mine
}

// goldenRefs are all entries of goldenCopy.
var goldenRefs = map[replication.Ref]bool{{Kind: replication.Word, Name: "w1"}: true, {Kind: replication.Word, Name: "w2"}: true, {Kind: "later", Name: "w3"}: true}

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
	want := goldenCopy(t)
	dir := t.TempDir()
	d, _, err := openDisk(dir, "g", replication.New("life-c"), func(*disk, *batch) {})
	if err != nil {
		t.Fatal(err)
	}
	b, err := d.put(want, goldenRefs)
	if err != nil {
		t.Fatal(err)
	}
	if <-b.tried; b.err != nil {
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
	s, at := start(t, "a", dir, "b")
	if s.copy.Sum() != want.Sum() || s.copy.Seen().Sum() != want.Seen().Sum() {
		t.Errorf("it has %v, want %v", s.copy.Seen(), want.Seen())
	}
	for _, name := range []string{"w1", "w2", "w3"} {
		if at.is(name) != (name != "w3") {
			t.Errorf("%s is out: %t", name, at.is(name))
		}
	}
	if data := s.copy.Get("later", "w3"); len(data) != 1 || string(data[0].Data) != `{"x":1}` {
		t.Errorf("%+v", data)
	}
	peertest.Golden(t, "words.db.txt", dump(t, s.disk.db))
}

// Each message and each reply keeps its encoding, with all fields.
func TestGolden_Messages(t *testing.T) {
	dots := []replication.Dot{{Life: "life-a", Count: 1}, {Life: "life-b", Count: 2}}
	about := About{Version: "v", Settings: "s", Operator: "o", Started: goldenStarted}
	peertest.GoldenJSON(t, "hello.json", hello{Seen: 1 << 63, Sum: 2, Sums: []uint64{3, 1<<64 - 1}, Count: 4, Held: 5, About: about})
	peertest.GoldenJSON(t, "pull.json", pull{Seen: replication.Seen{"life-a": 1, "life-b": 2}, From: replication.Mark{Kind: replication.Word, Name: "w1"}})
	peertest.GoldenJSON(t, "gone.json", gone{Seen: 1 << 62, Dots: dots})
	peertest.GoldenJSON(t, "piece.json", replication.Piece{
		Life: "life-a", From: replication.Mark{Kind: replication.Word, Name: "w1"}, Last: replication.Mark{Kind: "later", Name: "w2"}, Done: true,
		Seen: replication.Seen{"life-a": 3}, Entries: []replication.Entry{{
			Kind: "later", Name: "w2", Dot: dots[1], Saw: replication.Seen{"life-a": 1}, Member: "b", At: 1700000000001, Out: true,
			Data: json.RawMessage(`{"x":1}`),
		}},
	})
	peertest.GoldenJSON(t, "call.json", Call{Runner: "w1", Out: true})
	peertest.GoldenJSON(t, "reply.json", Reply{
		Told: "a", Text: "text", Wrong: true, CaughtUp: true, Unkept: "unkept", Digest: "digest", Lives: 1,
		Words: []WordStatus{{Runner: "w1", Out: true, Conflict: true, Said: []Said{{Out: true, Member: "b", At: goldenStarted}}}},
		Members: []MemberStatus{{
			Name: "b", About: about, Met: 2, Same: 3, Behind: 4, Held: 5, Messages: 6, BytesOut: 7, BytesIn: 8,
		}},
		Counters: map[string]int64{"words_rounds": 9},
	})
}

// goldenNode is member a of the group g with member b, and has goldenCopy.
func goldenNode(t *testing.T) *Spread {
	t.Helper()
	s, _ := start(t, "a", "", "b")
	s.o.About = func() About { return About{Version: "v", Settings: "s", Operator: "o", Started: goldenStarted} }
	s.o.Say = func(runner string, out bool) (string, error) {
		if runner == "unknown" {
			return "", fmt.Errorf("no such runner: %s, out %t", runner, out)
		}
		return "a note on " + runner, nil
	}
	s.copy = goldenCopy(t)
	s.first = time.Now().Add(-time.Hour)
	return s
}

// goldenLinks are a node's, where member b has the address.
func goldenLinks(t *testing.T, b string) (l *peer.Links, on net.Listener) {
	t.Helper()
	on, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l = peer.Open(peer.Options{
		Group: "g", Self: "a", Peers: []peer.Peer{{Name: "a", Link: on.Addr().String()}, {Name: "b", Link: b}}, Lost: func(string) {},
		Who: func() peer.Sender { return peer.Sender{Name: "a", Life: "l", Founded: "f"} }, Old: func(string, string) bool { return false },
	})
	t.Cleanup(l.Close)
	return l, on
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
		r.Members[i].Met, r.Members[i].Same = r.Members[i].Met.Round(time.Hour), r.Members[i].Same.Round(time.Hour)
	}
	for _, w := range r.Words {
		for i := range w.Said {
			w.Said[i].At = w.Said[i].At.UTC()
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
	s := goldenNode(t)
	s.quit, s.done = func() {}, make(chan struct{})
	close(s.done)
	l, on := goldenLinks(t, "127.0.0.1:1")
	s.links = l
	l.Handle("/group/copies/hello", s.onHello)
	l.Handle("/group/copies/pull", s.onPull)
	l.Handle("/group/copies/gone", s.onGone)
	l.HandleStaff("/group/words", s.onStaff)
	l.Serve(on)
	seen := s.copy.Seen().Sum()
	var out strings.Builder
	post := func(path, body string) string {
		answer := peertest.Post(t, on.Addr().String(), path, peertest.Headers(), []byte(body))
		fmt.Fprintf(&out, "%s %s\n%s----\n", path, body, answer)
		return answer
	}
	call := func(body string) {
		answer := peertest.Post(t, on.Addr().String(), "/group/words", nil, []byte(body))
		fmt.Fprintf(&out, "/group/words %s\n%s----\n", body, plainStatus(t, answer))
	}
	call(`{}`)
	post("/group/copies/hello", `{"seen":1,"sum":2,"count":3,"held":4,"about":{"version":"v2","settings":"s2","operator":"o2","started":"2024-01-02T03:04:05Z"}}`)
	post("/group/copies/hello", fmt.Sprintf(`{"seen":%d,"sum":2,"count":3,"held":4}`, seen))
	post("/group/copies/hello", fmt.Sprintf(`{"seen":%d,"sum":%d,"count":3,"held":4}`, seen, s.copy.Sum()))
	post("/group/copies/pull", `{"seen":{},"from":{"kind":"","name":""}}`)
	post("/group/copies/pull", `{"seen":{"life-a":1,"life-b":1},"from":{"kind":"word","name":"w1"}}`)
	post("/group/copies/gone", fmt.Sprintf(`{"seen":%d,"dots":[{"life":"life-b","count":1},{"life":"life-a","count":1}]}`, seen))
	post("/group/copies/gone", `{"seen":1,"dots":[{"life":"life-b","count":1}]}`)
	post("/group/copies/pull", `{`)
	s.mu.Lock()
	s.others["b"] = met{
		about: About{Version: "v2", Settings: "s2", Operator: "o2", Started: goldenStarted.Add(time.Hour)}, at: time.Now().Add(-2 * time.Hour),
		same: time.Now().Add(-3 * time.Hour), seen: 1, held: 2,
	}
	s.passed["b"] = passed{messages: 11, out: 12, in: 13}
	s.Counters.Rounds.Store(21)
	s.Counters.Pieces.Store(22)
	s.Counters.Taken.Store(23)
	s.Counters.Dropped.Store(24)
	s.Counters.Refused.Store(25)
	s.Counters.Unkept.Store(26)
	s.mu.Unlock()
	call(`{"runner":"w1","out":true}`)
	call(`{"runner":"unknown"}`)
	call(`{`)
	s.first = time.Time{}
	post("/group/copies/pull", `{"seen":{},"from":{"kind":"","name":""}}`)
	s.Leave()
	post("/group/copies/hello", `{"seen":1,"sum":2,"count":3,"held":4}`)
	out.WriteString(peertest.Post(t, on.Addr().String(), "/group/words", nil, []byte(`{}`)))
	peertest.Golden(t, "answers.txt", []byte(out.String()))
}

// What a member sends to one that has something else keeps paths and bodies: hello, pull in two chunks, hello, gone.
func TestGolden_Requests(t *testing.T) {
	theirs := replication.New("life-d")
	for _, name := range []string{"w4", "w5"} {
		if _, err := theirs.Say(replication.Entry{Kind: replication.Word, Name: name, Out: true, Member: "b", At: 1700000000006}); err != nil {
			t.Fatal(err)
		}
	}
	s := goldenNode(t)
	hellos := 0
	answer := func(path string, body []byte) []byte {
		var out any
		var in struct {
			Seen json.RawMessage   `json:"seen"`
			From replication.Mark  `json:"from"`
			Dots []replication.Dot `json:"dots"`
		}
		if err := json.Unmarshal(body, &in); err != nil {
			t.Error(err)
		}
		switch path {
		case "/group/copies/hello":
			if hellos++; hellos == 1 {
				out = json.RawMessage(`{"seen":1,"sum":2,"count":2,"held":2,"about":{"version":"v2"}}`)
			} else { // the same was seen, and not all of it is there
				out = json.RawMessage(fmt.Sprintf(`{"seen":%s,"sum":2,"sums":[%s],"count":2,"held":2}`, in.Seen, strings.Join(slices.Repeat([]string{"0"}, 64), ",")))
			}
		case "/group/copies/pull":
			out = theirs.News(replication.Seen{}, in.From, 1)
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
	l, _ := goldenLinks(t, b.Address())
	s.links = l
	if err := s.visit(context.Background(), "b"); err != nil {
		t.Fatal(err)
	}
	text := b.Text()
	// The last request names entries in no order.
	requests := strings.SplitAfter(string(text), "\n\n")
	last := requests[len(requests)-1]
	var g gone
	if err := json.Unmarshal([]byte(last), &g); err != nil {
		t.Fatal(err)
	}
	slices.SortFunc(g.Dots, func(a, b replication.Dot) int { return strings.Compare(fmt.Sprint(a), fmt.Sprint(b)) })
	raw, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	peertest.Golden(t, "requests.txt", append([]byte(strings.TrimSuffix(string(text), last)), append(raw, '\n')...))
	if names := s.copy.Names(replication.Word); !slices.Equal(names, []string{"w1", "w2", "w5"}) {
		t.Errorf("it has %v", names)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.caught["b"] || s.passed["b"].messages != 5 || s.Counters.Pieces.Load() != 2 || s.Counters.Taken.Load() != 2 || s.Counters.Dropped.Load() != 1 {
		t.Errorf("caught up %t, %+v, %v", s.caught["b"], s.passed["b"], s.Fields())
	}
}

// An operator's call at a member keeps path, headers and body.
func TestGolden_Call(t *testing.T) {
	raw, err := os.ReadFile(peertest.GoldenPath("reply.json"))
	if err != nil && !peertest.Updating() {
		t.Fatal(err)
	}
	b := peertest.NewRecorder(t, func(string, []byte) []byte { return raw })
	r, err := Ask(context.Background(), b.Address(), Call{Runner: "w1", Out: true})
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
	s, _ := start(t, "a", "")
	peertest.GoldenCounters(t, "counters.txt", s.Fields())
}
