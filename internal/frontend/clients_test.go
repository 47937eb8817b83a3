package frontend

import (
	"io"
	"net"
	"testing"
	"time"

	"birchfork/internal/engine"
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
	c := &Clients{Most: 9, Hard: 9, Counters: &engine.Counters{}}
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
// A crowd of idle connections over the limit costs each that comes one look at the others, and no memory that grows with them: the
// dispatcher's time belongs to those that are served.
func TestACrowdCostsAConnectionAlone(t *testing.T) {
	for _, most := range []int{10, 1000} {
		c := &Clients{Most: most, Counters: new(engine.Counters)}
		for range most {
			near, far := net.Pipe()
			defer far.Close()
			c.add(near)
		}
		near, far := net.Pipe()
		defer far.Close()
		one := &clientConn{Conn: near, clients: c, since: time.Now()}
		allocs := testing.AllocsPerRun(20, func() {
			c.mu.Lock()
			c.open[one] = true
			cut := c.choose(one)
			for _, k := range cut { // for the next run
				k.cut, c.open[k] = false, true
			}
			delete(c.open, one)
			c.mu.Unlock()
			if len(cut) != 1 {
				t.Fatalf("%d of %d were cut for one", len(cut), most)
			}
		})
		if allocs > 2 {
			t.Errorf("with %d connections one that comes takes %v pieces of memory, want 2 at the most", most, allocs)
		}
	}
}

// Of those that may go the one goes first that is least of use, and of these the longest silent.
func TestWhoGoesFirst(t *testing.T) {
	now := time.Now()
	c := &Clients{Counters: new(engine.Counters)}
	c.open = map[*clientConn]bool{}
	add := func(change func(*clientConn)) *clientConn {
		near, far := net.Pipe()
		t.Cleanup(func() { far.Close() })
		k := &clientConn{Conn: near, clients: c, since: now.Add(-time.Minute)}
		change(k)
		c.open[k] = true
		return k
	}
	add(func(k *clientConn) { k.taken = true })
	order := []*clientConn{
		add(func(k *clientConn) { k.last = true }),
		add(func(k *clientConn) { k.since = now.Add(-2 * time.Minute) }),
		add(func(k *clientConn) {}),
		add(func(k *clientConn) { k.proper, k.since = true, now.Add(-3*time.Minute) }),
		add(func(k *clientConn) { k.proper = true }),
		add(func(k *clientConn) { k.since = now.Add(time.Minute) }), // has just come
	}
	for most := len(order); most > 0; most-- {
		c.Most = most
		cut := c.choose(nil)
		if want := order[len(order)-most]; len(cut) != 1 || cut[0] != want {
			t.Fatalf("%d too many: not the one that goes first", len(order)-most+1)
		}
	}
	if c.Most = 0; len(c.open) != 1 {
		t.Fatalf("%d are left", len(c.open))
	}
	c.Most = 1
	if near, _ := net.Pipe(); len(c.choose(&clientConn{Conn: near})) != 0 {
		t.Fatal("one that is owed an answer was cut")
	}
}

func TestOwingIsWhatMayStillHaveToBeAnswered(t *testing.T) {
	c := &Clients{Most: 9, Hard: 9, Counters: &engine.Counters{}}
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
