package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"birchfork/internal/hotrestart"
	"birchfork/internal/peer"
	"birchfork/internal/replication"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDispatcher is a dispatcher as a Spread sees it: its words in force, which count up.
type fakeDispatcher struct {
	mu       sync.Mutex
	disabled map[string]bool
	version  int64
}

func (d *fakeDispatcher) applyOverride(worker string, disabled bool) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.disabled[worker] = disabled
	return d.version
}

func (d *fakeDispatcher) isDisabled(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disabled[worker]
}

func startNode(t *testing.T, name, dir string, peers ...string) (*Node, *fakeDispatcher) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	dispatcher := &fakeDispatcher{disabled: map[string]bool{}}
	s, err := New(Options{Group: "g", Self: name, Dir: dir, Peers: peers, ApplyOverride: dispatcher.applyOverride, Log: log,
		SetOverride: func(string, bool) (string, error) { return "", nil }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, dispatcher
}

// Guards against one that has lost its disk, and takes from one with a disk of before what all others have forgotten.
func TestNode_RejectsPullsBeforeCatchUp(t *testing.T) {
	s, _ := startNode(t, "a", t.TempDir(), "b", "c")
	pullOnce := func() error {
		_, err := s.handlePull(context.Background(), peer.Sender{Name: "b"}, []byte("{}"))
		return err
	}
	if err := pullOnce(); err != errNotCaughtUp {
		t.Errorf("right after its start: %v", err)
	}
	s.markCaughtUp("b")
	if s.markCaughtUp("c"); pullOnce() != nil {
		t.Errorf("two others have told all they had: %v", pullOnce())
	}
	clear(s.caughtUpWith)
	if s.startedAt = s.startedAt.Add(-time.Hour); pullOnce() != errNotCaughtUp {
		t.Errorf("it was alone all the time: %v", pullOnce())
	}
	if s.firstContact = time.Now().Add(-2 * catchUpTimeout); pullOnce() != nil {
		t.Errorf("only one other has been there for long: %v", pullOnce())
	}
}

// attachAll puts members on links, and returns what parts them again.
func attachAll(t *testing.T, nodes ...*Node) (detachAll func()) {
	t.Helper()
	var listeners []net.Listener
	var peers []peer.Member
	for _, s := range nodes {
		transport, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners, peers = append(listeners, transport), append(peers, peer.Member{Name: s.options.Self, Address: transport.Addr().String()})
	}
	var links []*peer.Transport
	for i, s := range nodes {
		transport := peer.NewTransport(peer.Options{
			Group: "g", Self: s.options.Self, Members: peers, Log: s.options.Log, OnUnreachable: func(string) {}, IsStale: func(string, string) bool { return false },
			Identity: func() peer.Sender { return peer.Sender{Name: s.options.Self, Incarnation: "1"} },
		})
		s.Attach(transport)
		transport.Serve(listeners[i])
		links = append(links, transport)
	}
	return func() {
		for i, s := range nodes {
			s.Detach()
			links[i].Close()
		}
	}
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("in vain: ", what)
		}
	}
}

// A word reaches all, is there after a restart, and a word back that all have is forgotten by all.
func TestNode_OverrideReachesAllMembers(t *testing.T) {
	folder := t.TempDir()
	a, atA := startNode(t, "a", folder, "b", "c")
	b, atB := startNode(t, "b", t.TempDir(), "a", "c")
	c, atC := startNode(t, "c", "", "a", "b")
	detachAll := attachAll(t, a, b, c)
	if note, err := a.SetOverride("r", true, 1); note != "" || err != nil {
		t.Errorf("note %q, %v", note, err)
	}
	if note, _ := c.SetOverride("q", true, 1); !strings.Contains(note, "no folder") {
		t.Errorf("one that keeps nothing says %q", note)
	}
	await(t, "all have both", func() bool {
		return atB.isDisabled("r") && atC.isDisabled("r") && atA.isDisabled("q") && atB.isDisabled("q")
	})
	const data = `{"x":1}` // an entry of a newer build is kept and passed on
	has := func(s *Node) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		all := s.replica.Get("later", "r")
		return len(all) == 1 && string(all[0].Data) == data
	}
	c.mu.Lock()
	if _, err := c.replica.Write(replication.Entry{Kind: "later", Name: "r", Member: "c", Data: []byte(data)}); err != nil {
		t.Error(err)
	}
	c.mu.Unlock()
	c.wake()
	await(t, "the others have what they do not know", func() bool { return has(a) && has(b) })
	detachAll()
	a.Close()
	again, at := startNode(t, "a", folder, "b", "c")
	if !at.isDisabled("r") || !at.isDisabled("q") || !has(again) {
		t.Errorf("a restart has %v, and what it does not know: %t", at.disabled, has(again))
	}
	b.mu.Lock() // what it had, on its disk; it has a place again
	if err := b.openReplica(); err != nil {
		t.Fatal(err)
	}
	b.mu.Unlock()
	c2, _ := startNode(t, "c", "", "a", "b")
	detachAll = attachAll(t, again, b, c2)
	defer detachAll()
	again.SetOverride("r", false, 9)
	again.SetOverride("q", false, 9)
	await(t, "one that lost its disk has it again", func() bool { return has(c2) })
	await(t, "nothing is left of it", func() bool {
		for _, s := range []*Node{again, b, c2} {
			s.mu.Lock()
			n := len(s.replica.Names(replication.KindOverride))
			s.mu.Unlock()
			if n > 0 || atB.isDisabled("r") {
				return false
			}
		}
		return true
	})
	again.mu.Lock()
	version := again.replica.Version()
	again.mu.Unlock()
	again.Close()
	restored := replication.New("z")
	if d, _, err := openStorage(folder, "g", restored, nil); err != nil || restored.Version().Digest() != version.Digest() {
		t.Errorf("%v; its disk has seen %v, not %v", err, restored.Version(), version)
	} else {
		d.close()
	}
}

// A disk that stands still holds up nobody but who is told that a word is kept.
func TestNode_StalledStorageBlocksOnlyItsWriter(t *testing.T) {
	a, at := startNode(t, "a", t.TempDir())
	b, _ := startNode(t, "b", "")
	a.options.Peers, b.options.Peers, a.persistTimeout = []string{"b"}, []string{"a"}, time.Hour
	tx, err := a.storage.db.Begin(true) // no other write gets through
	if err != nil {
		t.Fatal(err)
	}
	detachAll := attachAll(t, a, b)
	yes := make(chan string, 1)
	go func() {
		note, err := a.SetOverride("r", true, 1)
		yes <- fmt.Sprint(note, err)
	}()
	if _, err := b.SetOverride("q", true, 1); err != nil {
		t.Fatal(err)
	}
	await(t, "what the other one was told binds here", func() bool { return at.isDisabled("q") })
	a.MergeLocalOverrides(nil)
	a.CaughtUp()
	select {
	case reply := <-yes:
		t.Fatalf("yes before the word was synced: %s", reply)
	default:
	}
	if err := tx.Rollback(); err != nil {
		t.Fatal(err)
	}
	if reply := <-yes; reply != "<nil>" {
		t.Errorf("%s", reply)
	}
	detachAll()
}

// What one let go of may be replaced by what the asker has not seen: then it does not say so.
func TestNode_RemovalsNeedEqualVersions(t *testing.T) {
	s, _ := startNode(t, "a", "")
	s.SetOverride("r", true, 1)
	old := s.replica.Get(replication.KindOverride, "r")[0].Dot
	s.SetOverride("r", false, 2)
	for seen, want := range map[uint64]bool{s.replica.Version().Digest(): true, replication.VersionVector{old.Incarnation: 1}.Digest(): false} {
		body, err := json.Marshal(removals{seen, []replication.Dot{old}})
		if err != nil {
			t.Fatal(err)
		}
		out, err := s.handleRemovals(context.Background(), peer.Sender{Name: "b"}, body)
		if removed := strings.Contains(string(out), old.Incarnation); removed != want || (err == nil) != want {
			t.Errorf("%s, %v; want it told: %t", out, err, want)
		}
	}
}

// A word ends a conflict, also the one that counts already.
func TestNode_OverrideEndsConflict(t *testing.T) {
	s, _ := startNode(t, "a", "")
	other := replication.New("other")
	other.Write(replication.Entry{Kind: replication.KindOverride, Name: "r", Member: "b"})
	s.SetOverride("r", true, 1)
	if _, err := s.replica.Merge(&replication.PullProgress{}, other.NextChunk(nil, replication.Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	if r := s.status(); len(r.Overrides) != 1 || !r.Overrides[0].Conflict || !r.Overrides[0].Disabled {
		t.Errorf("%+v", r.Overrides)
	}
	s.SetOverride("r", true, 2)
	if r := s.status(); len(r.Overrides[0].Writes) != 1 || r.Overrides[0].Conflict || !r.Overrides[0].Disabled {
		t.Errorf("%+v", r.Overrides)
	}
}

// What this dispatcher's processes were told: new words go into the copy, those from before do only where the copy knows nothing
// of a runner and the others had their time.
func TestNode_MergesLocalOverrides(t *testing.T) {
	s, at := startNode(t, "a", "", "b")
	if _, err := s.replica.Write(replication.Entry{Kind: replication.KindOverride, Name: "known", Disabled: true, Member: "b"}); err != nil {
		t.Fatal(err)
	}
	before := hotrestart.Overrides{"known": {Disabled: false, At: 3}, "lost": {Disabled: true, At: 3}, "back": {Disabled: false, At: 3}}
	s.MergeLocalOverrides(before)
	if !at.isDisabled("known") || s.replica.Len() != 1 {
		t.Errorf("known is out: %t; %d entries", at.isDisabled("known"), s.replica.Len())
	}
	if _, applied := at.disabled["lost"]; applied || !s.inherited["lost"] {
		t.Errorf("what was out before is left as it was until the others had their time: %v", at.disabled)
	}
	if s.CaughtUp() {
		t.Error("caught up without a word of the others")
	}
	s.startedAt = s.startedAt.Add(-2 * catchUpTimeout)
	if !s.CaughtUp() {
		t.Error("the others are waited for for ever")
	}
	before["known"] = hotrestart.Override{Disabled: true, At: s.localVersions["known"]}
	s.MergeLocalOverrides(before)
	if s.replica.Len() != 2 || !s.isDisabled("lost") {
		t.Errorf("%d entries, lost is out: %t", s.replica.Len(), s.isDisabled("lost"))
	}
	before["lost"] = hotrestart.Override{Disabled: false, At: before["lost"].At} // a file that was not written yet
	s.MergeLocalOverrides(before)
	if !s.isDisabled("lost") {
		t.Error("an old word was said again")
	}
	before["known"] = hotrestart.Override{Disabled: false, At: 99} // said to the process beside us
	s.MergeLocalOverrides(before)
	s.MergeLocalOverrides(before)
	if all := s.replica.Get(replication.KindOverride, "known"); len(all) != 1 || all[0].Disabled || !all[0].CausalContext.Contains(replication.Dot{Incarnation: all[0].Incarnation, Counter: 1}) {
		t.Errorf("%+v", all)
	}
}

// A disk that cannot be used is told to staff with each word; another group's is refused; a torn one is put aside.
func TestNode_UnusableStorage(t *testing.T) {
	dir := t.TempDir()
	s, _ := startNode(t, "a", dir)
	s.SetOverride("r", true, 1)
	s.Close()
	file := filepath.Join(dir, fileName)
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(Options{Group: "other", Dir: dir, Log: s.options.Log}); err == nil || !strings.Contains(err.Error(), `group "g", not 1, "other"`) {
		t.Errorf("another group's: %v", err)
	}
	lost := 0
	for offset := 0; offset < len(raw); offset += 512 { // torn, or bits of a page turned
		for _, torn := range [][]byte{raw[:offset], append(append(append([]byte{}, raw[:offset]...), 0xff), raw[offset+1:]...)} {
			if err := os.WriteFile(file, torn, 0o600); err != nil {
				t.Fatal(err)
			}
			s, at := startNode(t, "a", dir)
			if n := s.replica.Len(); n > 1 || n == 1 && !at.isDisabled("r") {
				t.Errorf("cut at %d: %d entries, %v", offset, n, at.disabled)
			} else {
				lost += 1 - n
			}
			s.Close()
		}
	}
	if lost == 0 {
		t.Error("no torn disk lost anything: nothing was tried")
	}
	bad := t.TempDir()
	if err := os.Mkdir(filepath.Join(bad, fileName), 0o700); err != nil { // the system refuses it: it may be whole
		t.Fatal(err)
	}
	s, _ = startNode(t, "a", bad)
	if note, err := s.SetOverride("r", true, 1); err != nil || !strings.Contains(note, "does not keep it over a restart") {
		t.Errorf("a file that is a folder: %q, %v", note, err)
	}
	if _, err := os.Stat(filepath.Join(bad, fileName)); err != nil {
		t.Errorf("it was put aside: %v", err)
	}
	bad = filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(bad, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s, _ = startNode(t, "a", t.TempDir())
	s.storage.db.Close() // it takes nothing any more
	if note, err := s.SetOverride("r", true, 1); err != nil || !strings.Contains(note, "does not keep it over a restart: the group's disk") || s.Counters.PersistFailures.Load() != 1 {
		t.Errorf("a disk that fails: %q, %v", note, err)
	}
	s.mu.Lock()
	if !s.writeFailed || !s.dirty[replication.Key{Kind: replication.KindOverride, Name: "r"}] {
		t.Error("what the disk did not take is not given to it again")
	}
	s.mu.Unlock()
	s, _ = startNode(t, "a", bad)
	if note, err := s.SetOverride("r", true, 1); err != nil || !strings.Contains(note, "does not keep it over a restart") {
		t.Errorf("a folder that is a file: %q, %v", note, err)
	}
}

// Messages that make no sense are refused by name, and nothing of them is taken.
func TestNode_RejectsMalformedMessages(t *testing.T) {
	s, _ := startNode(t, "a", "", "b")
	long := strings.Repeat("x", replication.MaxNameLength+1)
	for _, body := range []string{"", "{", "[]", `{"seen":"x"}`, `{"seen":-1}`} {
		for _, h := range []peer.Handler{s.handleDigest, s.handlePull, s.handleRemovals} {
			if out, err := h(context.Background(), peer.Sender{Name: "b"}, []byte(body)); err == nil && len(out) > 4096 {
				t.Errorf("%q: %d bytes", body, len(out))
			}
		}
	}
	if n := s.Counters.Rejected.Load(); n < 10 {
		t.Errorf("%d counted", n)
	}
	good := replication.Entry{Kind: replication.KindOverride, Name: "r", Dot: replication.Dot{Incarnation: "l", Counter: 1}}
	for what, change := range map[string]func(*replication.Chunk){
		"kind": func(p *replication.Chunk) { p.Entries[1].Kind = "" }, "long kind": func(p *replication.Chunk) { p.Entries[1].Kind = replication.EntryKind(long) },
		"data": func(p *replication.Chunk) { p.Entries[1].Data = []byte(strings.Repeat("1", 2000)) }, "zero": func(p *replication.Chunk) { p.Entries[1].Name = "a\x00b" },
		"name":    func(p *replication.Chunk) { p.Entries[1].Name = long },
		"no name": func(p *replication.Chunk) { p.Entries[1].Name = "" }, "count": func(p *replication.Chunk) { p.Entries[1].Counter = 0 },
		"life": func(p *replication.Chunk) { p.Incarnation = "" }, "member": func(p *replication.Chunk) { p.Entries[1].Member = long },
		"from": func(p *replication.Chunk) { p.From.Name = "z" },
	} {
		p := replication.Chunk{Incarnation: "l", Entries: []replication.Entry{good, good}, Done: true}
		change(&p)
		if _, err := s.replica.Merge(&replication.PullProgress{}, p); err == nil || s.replica.Len() > 0 {
			t.Errorf("%s: %v, %d entries", what, err, s.replica.Len())
		}
	}
	if _, err := s.replica.Write(replication.Entry{Kind: replication.KindOverride, Name: long}); err == nil {
		t.Error("a name that is too long was said")
	}
}
