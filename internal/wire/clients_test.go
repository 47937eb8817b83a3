package wire

import (
	"io"
	"net"
	"testing"
	"time"

	"birchfork/internal/store"
)

// joined is a client's connection and its far end.
func joined(t *testing.T, c *Clients) (*clientConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	far, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	near, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	k := c.add(near)
	t.Cleanup(func() { k.Close(); far.Close() })
	return k, far
}

// A limit that sinks closes those at once that are too many and are owed nothing.
func TestClientsFollowTheirLimit(t *testing.T) {
	c := &Clients{Most: 9, Hard: 9, Counters: &store.Counters{}}
	for i := range 6 {
		k, _ := joined(t, c)
		k.proper, k.taken = true, i < 3
	}
	c.SetMost(4, 5)
	if len(c.open) != 4 || c.Counters.ClientsCut.Load() != 2 {
		t.Errorf("%d are open, %d were cut", len(c.open), c.Counters.ClientsCut.Load())
	}
	c.SetMost(1, 2)
	if len(c.open) != 3 || c.Counters.ClientsCut.Load() != 3 {
		t.Errorf("%d are open, %d were cut: those that are owed an answer stay", len(c.open), c.Counters.ClientsCut.Load())
	}
}

// A process that leaves waits for what has begun to come, waits unread, or may come at once, and for nothing else.
func TestOwingIsWhatMayStillHaveToBeAnswered(t *testing.T) {
	c := &Clients{Most: 9, Hard: 9, Counters: &store.Counters{}}
	idle, _ := joined(t, c)
	idle.proper = true
	strange, _ := joined(t, c)
	strange.since = time.Now().Add(-2 * freshFor)
	want := func(n int, what string) {
		t.Helper()
		if got := c.Owing(); got != n {
			t.Errorf("%s: %d, want %d", what, got, n)
		}
	}
	want(0, "idle and silent ones")
	unread, far := joined(t, c)
	unread.proper = true
	io.WriteString(far, "POST")
	for !unread.waiting() {
		time.Sleep(time.Millisecond)
	}
	want(1, "bytes that nobody has read")
	if _, err := unread.Read(make([]byte, 9)); err != nil {
		t.Fatal(err)
	}
	want(1, "half a request")
	idle.taken = true
	want(2, "a whole one")
	fresh, _ := joined(t, c)
	fresh.since = time.Now().Add(time.Hour) // has just come, however slow this machine is
	want(3, "one that has just come")
}

// What bodies hold stays taken where the whole changes.
func TestBudgetIsSetAnew(t *testing.T) {
	var b Budget
	b.Set(100)
	if !b.take(60) {
		t.Fatal("there is none")
	}
	b.Set(50)
	if b.take(1) {
		t.Error("more is taken than there is")
	}
	b.left.Add(60) // given back
	if !b.take(50) || b.take(1) {
		t.Error("not all is there again, or more than all")
	}
}
