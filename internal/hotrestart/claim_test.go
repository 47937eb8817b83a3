package hotrestart

import (
	"errors"
	"os"
	"testing"
)

// Siblings are reported with their state while they are alive; claims of processes that have ended are removed.
func TestSiblings_AppearAndDisappear(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n")
	want := func(w Siblings) {
		t.Helper()
		if got := a.Siblings(); got != w {
			t.Errorf("%+v, want %+v", got, w)
		}
	}
	want(Siblings{})
	mark(t, open(t, dir, "other").MarkServing)
	want(Siblings{})
	b := open(t, dir, "n")
	want(Siblings{Alive: 1, Newer: true})
	if o := b.Siblings(); o.Newer {
		t.Errorf("siblings of the newer process: %+v", o)
	}
	mark(t, b.MarkServing)
	want(Siblings{Alive: 1, Serving: true, Newer: true})
	mark(t, b.MarkLeaving)
	want(Siblings{Alive: 1, Newer: true})
	c := open(t, dir, "n")
	mark(t, c.MarkServing)
	want(Siblings{Alive: 2, Serving: true, Newer: true})
	path := c.claimPath()
	c.claimFile.Close() // as if the process were killed: the lock is released, the file stays
	c.claimFile = nil
	want(Siblings{Alive: 1, Newer: true})
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the claim of a process that has ended is not removed: %v", err)
	}
	b.Close()
	want(Siblings{})
}
