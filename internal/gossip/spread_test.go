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

// seat is a dispatcher as a Spread sees it: its words in force, which count up.
type seat struct {
	mu  sync.Mutex
	out map[string]bool
	at  int64
}

func (s *seat) changed(runner string, out bool) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	s.out[runner] = out
	return s.at
}

func (s *seat) is(runner string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out[runner]
}

func start(t *testing.T, name, folder string, peers ...string) (*Spread, *seat) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	at := &seat{out: map[string]bool{}}
	s, err := New(Options{Group: "g", Self: name, Folder: folder, Peers: peers, Changed: at.changed, Log: log,
		Say: func(string, bool) (string, error) { return "", nil }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, at
}

// Guards against one that has lost its disk, and takes from one with a disk of before what all others have forgotten.
func TestWhoHasJustStartedTellsNothing(t *testing.T) {
	s, _ := start(t, "a", t.TempDir(), "b", "c")
	ask := func() error {
		_, err := s.onPull(context.Background(), peer.Sender{Name: "b"}, []byte("{}"))
		return err
	}
	if err := ask(); err != errStarted {
		t.Errorf("right after its start: %v", err)
	}
	s.caughtBy("b")
	if s.caughtBy("c"); ask() != nil {
		t.Errorf("two others have told all they had: %v", ask())
	}
	clear(s.caught)
	if s.began = s.began.Add(-time.Hour); ask() != errStarted {
		t.Errorf("it was alone all the time: %v", ask())
	}
	if s.first = time.Now().Add(-2 * caughtWait); ask() != nil {
		t.Errorf("only one other has been there for long: %v", ask())
	}
}

// join puts members on links, and returns what parts them again.
func join(t *testing.T, all ...*Spread) (part func()) {
	t.Helper()
	var on []net.Listener
	var peers []peer.Peer
	for _, s := range all {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		on, peers = append(on, l), append(peers, peer.Peer{Name: s.o.Self, Link: l.Addr().String()})
	}
	var links []*peer.Links
	for i, s := range all {
		l := peer.Open(peer.Options{
			Group: "g", Self: s.o.Self, Peers: peers, Log: s.o.Log, Lost: func(string) {}, Old: func(string, string) bool { return false },
			Who: func() peer.Sender { return peer.Sender{Name: s.o.Self, Life: "1"} },
		})
		s.Enter(l)
		l.Serve(on[i])
		links = append(links, l)
	}
	return func() {
		for i, s := range all {
			s.Leave()
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
func TestAWordsWay(t *testing.T) {
	folder := t.TempDir()
	a, atA := start(t, "a", folder, "b", "c")
	b, atB := start(t, "b", t.TempDir(), "a", "c")
	c, atC := start(t, "c", "", "a", "b")
	part := join(t, a, b, c)
	if note, err := a.Say("r", true, 1); note != "" || err != nil {
		t.Errorf("note %q, %v", note, err)
	}
	if note, _ := c.Say("q", true, 1); !strings.Contains(note, "no folder") {
		t.Errorf("one that keeps nothing says %q", note)
	}
	await(t, "all have both", func() bool { return atB.is("r") && atC.is("r") && atA.is("q") && atB.is("q") })
	const data = `{"x":1}` // an entry of a newer build is kept and passed on
	has := func(s *Spread) bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		all := s.copy.Get("later", "r")
		return len(all) == 1 && string(all[0].Data) == data
	}
	c.mu.Lock()
	if _, err := c.copy.Say(replication.Entry{Kind: "later", Name: "r", Member: "c", Data: []byte(data)}); err != nil {
		t.Error(err)
	}
	c.mu.Unlock()
	c.poke()
	await(t, "the others have what they do not know", func() bool { return has(a) && has(b) })
	part()
	a.Close()
	again, at := start(t, "a", folder, "b", "c")
	if !at.is("r") || !at.is("q") || !has(again) {
		t.Errorf("a restart has %v, and what it does not know: %t", at.out, has(again))
	}
	b.mu.Lock() // what it had, on its disk; it has a place again
	if err := b.open(); err != nil {
		t.Fatal(err)
	}
	b.mu.Unlock()
	c2, _ := start(t, "c", "", "a", "b")
	part = join(t, again, b, c2)
	defer part()
	again.Say("r", false, 9)
	again.Say("q", false, 9)
	await(t, "one that lost its disk has it again", func() bool { return has(c2) })
	await(t, "nothing is left of it", func() bool {
		for _, s := range []*Spread{again, b, c2} {
			s.mu.Lock()
			n := len(s.copy.Names(replication.Word))
			s.mu.Unlock()
			if n > 0 || atB.is("r") {
				return false
			}
		}
		return true
	})
	again.mu.Lock()
	seen := again.copy.Seen()
	again.mu.Unlock()
	again.Close()
	kept := replication.New("z")
	if d, _, err := openDisk(folder, "g", kept, nil); err != nil || kept.Seen().Sum() != seen.Sum() {
		t.Errorf("%v; its disk has seen %v, not %v", err, kept.Seen(), seen)
	} else {
		d.close()
	}
}

// A disk that stands still holds up nobody but who is told that a word is kept.
func TestADiskThatStandsStill(t *testing.T) {
	a, at := start(t, "a", t.TempDir())
	b, _ := start(t, "b", "")
	a.o.Peers, b.o.Peers, a.patience = []string{"b"}, []string{"a"}, time.Hour
	tx, err := a.disk.db.Begin(true) // no other write gets through
	if err != nil {
		t.Fatal(err)
	}
	part := join(t, a, b)
	yes := make(chan string, 1)
	go func() {
		note, err := a.Say("r", true, 1)
		yes <- fmt.Sprint(note, err)
	}()
	if _, err := b.Say("q", true, 1); err != nil {
		t.Fatal(err)
	}
	await(t, "what the other one was told binds here", func() bool { return at.is("q") })
	a.Local(nil)
	a.CaughtUp()
	select {
	case said := <-yes:
		t.Fatalf("yes before the word was synced: %s", said)
	default:
	}
	if err := tx.Rollback(); err != nil {
		t.Fatal(err)
	}
	if said := <-yes; said != "<nil>" {
		t.Errorf("%s", said)
	}
	part()
}

// What one let go of may be replaced by what the asker has not seen: then it does not say so.
func TestGoneNeedsTheSameSight(t *testing.T) {
	s, _ := start(t, "a", "")
	s.Say("r", true, 1)
	old := s.copy.Get(replication.Word, "r")[0].Dot
	s.Say("r", false, 2)
	for seen, want := range map[uint64]bool{s.copy.Seen().Sum(): true, replication.Seen{old.Life: 1}.Sum(): false} {
		body, err := json.Marshal(gone{seen, []replication.Dot{old}})
		if err != nil {
			t.Fatal(err)
		}
		out, err := s.onGone(context.Background(), peer.Sender{Name: "b"}, body)
		if told := strings.Contains(string(out), old.Life); told != want || (err == nil) != want {
			t.Errorf("%s, %v; want it told: %t", out, err, want)
		}
	}
}

// A word ends a conflict, also the one that counts already.
func TestAWordEndsAConflict(t *testing.T) {
	s, _ := start(t, "a", "")
	other := replication.New("other")
	other.Say(replication.Entry{Kind: replication.Word, Name: "r", Member: "b"})
	s.Say("r", true, 1)
	if _, err := s.copy.Take(&replication.Pull{}, other.News(nil, replication.Mark{}, 9)); err != nil {
		t.Fatal(err)
	}
	if r := s.status(); len(r.Words) != 1 || !r.Words[0].Conflict || !r.Words[0].Out {
		t.Errorf("%+v", r.Words)
	}
	s.Say("r", true, 2)
	if r := s.status(); len(r.Words[0].Said) != 1 || r.Words[0].Conflict || !r.Words[0].Out {
		t.Errorf("%+v", r.Words)
	}
}

// What this dispatcher's processes were told: new words go into the copy, those from before do only where the copy knows nothing
// of a runner and the others had their time.
func TestLocalWords(t *testing.T) {
	s, at := start(t, "a", "", "b")
	if _, err := s.copy.Say(replication.Entry{Kind: replication.Word, Name: "known", Out: true, Member: "b"}); err != nil {
		t.Fatal(err)
	}
	before := hotrestart.Words{"known": {Out: false, At: 3}, "lost": {Out: true, At: 3}, "back": {Out: false, At: 3}}
	s.Local(before)
	if !at.is("known") || s.copy.Len() != 1 {
		t.Errorf("known is out: %t; %d entries", at.is("known"), s.copy.Len())
	}
	if _, told := at.out["lost"]; told || !s.before["lost"] {
		t.Errorf("what was out before is left as it was until the others had their time: %v", at.out)
	}
	if s.CaughtUp() {
		t.Error("caught up without a word of the others")
	}
	s.began = s.began.Add(-2 * caughtWait)
	if !s.CaughtUp() {
		t.Error("the others are waited for for ever")
	}
	before["known"] = hotrestart.Word{Out: true, At: s.known["known"]}
	s.Local(before)
	if s.copy.Len() != 2 || !s.out("lost") {
		t.Errorf("%d entries, lost is out: %t", s.copy.Len(), s.out("lost"))
	}
	before["lost"] = hotrestart.Word{Out: false, At: before["lost"].At} // a file that was not written yet
	s.Local(before)
	if !s.out("lost") {
		t.Error("an old word was said again")
	}
	before["known"] = hotrestart.Word{Out: false, At: 99} // said to the process beside us
	s.Local(before)
	s.Local(before)
	if all := s.copy.Get(replication.Word, "known"); len(all) != 1 || all[0].Out || !all[0].Saw.Has(replication.Dot{Life: all[0].Life, Count: 1}) {
		t.Errorf("%+v", all)
	}
}

// A disk that cannot be used is told to staff with each word; another group's is refused; a torn one is put aside.
func TestDisks(t *testing.T) {
	folder := t.TempDir()
	s, _ := start(t, "a", folder)
	s.Say("r", true, 1)
	s.Close()
	file := filepath.Join(folder, diskFile)
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := New(Options{Group: "other", Folder: folder, Log: s.o.Log}); err == nil || !strings.Contains(err.Error(), `group "g", not 1, "other"`) {
		t.Errorf("another group's: %v", err)
	}
	lost := 0
	for cut := 0; cut < len(raw); cut += 512 { // torn, or bits of a page turned
		for _, torn := range [][]byte{raw[:cut], append(append(append([]byte{}, raw[:cut]...), 0xff), raw[cut+1:]...)} {
			if err := os.WriteFile(file, torn, 0o600); err != nil {
				t.Fatal(err)
			}
			s, at := start(t, "a", folder)
			if n := s.copy.Len(); n > 1 || n == 1 && !at.is("r") {
				t.Errorf("cut at %d: %d entries, %v", cut, n, at.out)
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
	if err := os.Mkdir(filepath.Join(bad, diskFile), 0o700); err != nil { // the system refuses it: it may be whole
		t.Fatal(err)
	}
	s, _ = start(t, "a", bad)
	if note, err := s.Say("r", true, 1); err != nil || !strings.Contains(note, "does not keep it over a restart") {
		t.Errorf("a file that is a folder: %q, %v", note, err)
	}
	if _, err := os.Stat(filepath.Join(bad, diskFile)); err != nil {
		t.Errorf("it was put aside: %v", err)
	}
	bad = filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(bad, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	s, _ = start(t, "a", t.TempDir())
	s.disk.db.Close() // it takes nothing any more
	if note, err := s.Say("r", true, 1); err != nil || !strings.Contains(note, "does not keep it over a restart: the group's disk") || s.Counters.Unkept.Load() != 1 {
		t.Errorf("a disk that fails: %q, %v", note, err)
	}
	s.mu.Lock()
	if !s.refused || !s.dirty[replication.Ref{Kind: replication.Word, Name: "r"}] {
		t.Error("what the disk did not take is not given to it again")
	}
	s.mu.Unlock()
	s, _ = start(t, "a", bad)
	if note, err := s.Say("r", true, 1); err != nil || !strings.Contains(note, "does not keep it over a restart") {
		t.Errorf("a folder that is a file: %q, %v", note, err)
	}
}

// Messages that make no sense are refused by name, and nothing of them is taken.
func TestHostileMessages(t *testing.T) {
	s, _ := start(t, "a", "", "b")
	long := strings.Repeat("x", replication.NameMost+1)
	for _, body := range []string{"", "{", "[]", `{"seen":"x"}`, `{"seen":-1}`} {
		for _, h := range []peer.Handler{s.onHello, s.onPull, s.onGone} {
			if out, err := h(context.Background(), peer.Sender{Name: "b"}, []byte(body)); err == nil && len(out) > 4096 {
				t.Errorf("%q: %d bytes", body, len(out))
			}
		}
	}
	if n := s.Counters.Refused.Load(); n < 10 {
		t.Errorf("%d counted", n)
	}
	good := replication.Entry{Kind: replication.Word, Name: "r", Dot: replication.Dot{Life: "l", Count: 1}}
	for what, change := range map[string]func(*replication.Piece){
		"kind": func(p *replication.Piece) { p.Entries[1].Kind = "" }, "long kind": func(p *replication.Piece) { p.Entries[1].Kind = replication.Kind(long) },
		"data": func(p *replication.Piece) { p.Entries[1].Data = []byte(strings.Repeat("1", 2000)) }, "zero": func(p *replication.Piece) { p.Entries[1].Name = "a\x00b" },
		"name":    func(p *replication.Piece) { p.Entries[1].Name = long },
		"no name": func(p *replication.Piece) { p.Entries[1].Name = "" }, "count": func(p *replication.Piece) { p.Entries[1].Count = 0 },
		"life": func(p *replication.Piece) { p.Life = "" }, "member": func(p *replication.Piece) { p.Entries[1].Member = long },
		"from": func(p *replication.Piece) { p.From.Name = "z" },
	} {
		p := replication.Piece{Life: "l", Entries: []replication.Entry{good, good}, Done: true}
		change(&p)
		if _, err := s.copy.Take(&replication.Pull{}, p); err == nil || s.copy.Len() > 0 {
			t.Errorf("%s: %v, %d entries", what, err, s.copy.Len())
		}
	}
	if _, err := s.copy.Say(replication.Entry{Kind: replication.Word, Name: long}); err == nil {
		t.Error("a name that is too long was said")
	}
}
