package consensus

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3/raftpb"
)

// A witness speaks for one life in one run of the machine, and says nothing where it is not whole.
func TestWitness(t *testing.T) {
	path := filepath.Join(t.TempDir(), "mark")
	open := func() *Witness {
		w, err := OpenWitness(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { w.Close() })
		return w
	}
	long, short := Mark{Term: 1 << 60, Last: 1 << 60, LastTerm: 1 << 60}, Mark{Term: 2, Last: 9, LastTerm: 1}
	for _, m := range []Mark{long, short} {
		if err := open().saw("a", m); err != nil {
			t.Fatal(err)
		}
		if is, ok := open().Knows("a"); !ok || is != m {
			t.Errorf("%+v, %t, want %+v", is, ok, m)
		}
	}
	if _, ok := open().Knows("b"); ok {
		t.Error("it speaks for another life")
	}
	w := open()
	w.boot = "another"
	if _, ok := w.Knows("a"); ok {
		t.Error("it speaks for another run of the machine")
	}
	for n := range int64(40) {
		if err := os.Truncate(path, n); err != nil {
			t.Fatal(err)
		}
		if _, ok := open().Knows("a"); ok {
			t.Errorf("%d bytes of it speak", n)
		}
	}
	if _, ok := (*Witness)(nil).Knows("a"); ok || (*Witness)(nil).saw("a", short) != nil {
		t.Error("none speaks, or fails")
	}
}

// A member that may have forgotten gives no vote in a term in which it may have given one, nor to a log that may lack what it has
// acknowledged, and asks for none before its own has that.
func TestWhatMayBeForgottenBoundsVotes(t *testing.T) {
	quiet := logrus.New()
	quiet.SetLevel(logrus.PanicLevel)
	bound := Mark{Term: 5, Last: 9, LastTerm: 4}
	d, err := OpenDisk("", Identity{Name: "a", Life: "l", ID: 1})
	if err == nil {
		err = Found(d, "f", make([]byte, 16))
	}
	if err != nil {
		t.Fatal(err)
	}
	sent := 0
	c, err := NewCore(Options{Disk: d, Bound: &bound, Machine: &chain{}, Log: quiet, Send: func(uint64, []byte, bool) { sent++ }}, 1)
	if err != nil {
		t.Fatal(err)
	}
	if m := d.Mark(); m.Term != 5 {
		t.Errorf("its disk is in term %d, not in that of the bound", m.Term)
	}
	for range 10 * election {
		c.Tick(false)
	}
	if c.Status().Leads {
		t.Error("it leads with a log that is shorter than what it may have acknowledged")
	}
	from, to := uint64(2), uint64(1)
	for _, ask := range []struct {
		term, last, lastTerm uint64
		barred               bool
	}{{5, 9, 4, true}, {6, 9, 4, false}, {6, 8, 4, true}, {6, 20, 3, true}, {6, 1, 5, false}} {
		for _, kind := range []raftpb.MessageType{raftpb.MsgVote, raftpb.MsgPreVote} {
			if got := c.bars(&raftpb.Message{Type: &kind, From: &from, To: &to, Term: &ask.term, Index: &ask.last, LogTerm: &ask.lastTerm}); got != ask.barred {
				t.Errorf("%+v by %s: barred %t", ask, kind, got)
			}
		}
	}
	kind := raftpb.MsgApp
	if c.bars(&raftpb.Message{Type: &kind, Term: &bound.Term}) {
		t.Error("entries are barred")
	}
	c.o.Bound = &Mark{Term: 5, Last: 1, LastTerm: 1} // its log has that
	for range 10 * election {
		c.Tick(false)
	}
	if !c.Status().Leads || c.Status().Term <= bound.Term {
		t.Errorf("%+v: it does not lead though it has all", c.Status())
	}
}
