package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
)

// pipes is a Dial that keeps the far ends.
type pipes struct{ far []net.Conn }

func (p *pipes) dial(context.Context, string) (net.Conn, error) {
	a, b := net.Pipe()
	p.far = append(p.far, b)
	return a, nil
}

func get(t *testing.T, p *Pool, addr string) *Conn {
	t.Helper()
	c, err := p.Get(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestPoolReusesUntilIdleForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Counters
		p := NewPool((&pipes{}).dial, &c, 9, time.Second)
		a := get(t, p, "h:1")
		p.Put(a)
		if b := get(t, p, "h:1"); b != a {
			t.Fatal("an idle connection was not used again")
		}
		p.Put(a)
		if b := get(t, p, "h:2"); b == a {
			t.Fatal("a connection to another address was used")
		}
		time.Sleep(1001 * time.Millisecond)
		if b := get(t, p, "h:1"); b == a {
			t.Fatal("a connection was used that had been idle for long")
		}
		p.Sweep()
		if open, idle := p.Open(); open != 2 || idle != 0 {
			t.Fatalf("%d open, %d idle", open, idle)
		}
	})
}

func TestPoolKeepsItsLimit(t *testing.T) {
	var c Counters
	p := NewPool((&pipes{}).dial, &c, 2, time.Minute)
	a, b := get(t, p, "h:1"), get(t, p, "h:1")
	if _, err := p.Get(context.Background(), "h:2"); !errors.Is(err, ErrNoDescriptor) {
		t.Fatalf("over the limit: %v", err)
	}
	p.Put(b)
	p.Put(a)
	d := get(t, p, "h:2") // the longest idle one gives way
	if open, idle := p.Open(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	if got := get(t, p, "h:1"); got != a {
		t.Fatal("the one that had been idle for less was closed")
	}
	d.Close()
	d.Close()
	a.Close()
	if open, _ := p.Open(); open != 0 {
		t.Fatalf("%d open after all were closed", open)
	}
}

func TestPoolDropsAnAddress(t *testing.T) {
	var c Counters
	p := NewPool((&pipes{}).dial, &c, 9, time.Minute)
	a, b, used := get(t, p, "h:1"), get(t, p, "h:2"), get(t, p, "h:1")
	p.Put(a)
	p.Put(b)
	p.Drop("h:1")
	if open, idle := p.Open(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	used.SetReadDeadline(time.Unix(1, 0))
	if _, err := used.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("one in use was closed: %v", err)
	}
	p.Close()
	if _, err := b.Write([]byte("x")); err == nil {
		t.Fatal("an idle one is open still")
	}
}

// A connection that its worker has closed or reset, or that says what nobody asked for, must not get a request: the
// request would be lost though it never went out.
func TestPoolSeesThatAnIdleConnectionHasEnded(t *testing.T) {
	for name, spoil := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() },
		"spoke":  func(c net.Conn) { c.Write([]byte("HTTP/1.1 408 x\r\n")) },
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var d net.Dialer
		var c Counters
		p := NewPool(func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
			&c, 9, time.Minute)
		a := get(t, p, l.Addr().String())
		far, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		p.Put(a)
		if !a.unused() {
			t.Fatalf("%s: open before it", name)
		}
		spoil(far)
		for deadline := time.Now().Add(5 * time.Second); a.unused(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the connection still passes for open", name)
			}
		}
		if b := get(t, p, l.Addr().String()); b == a || c.StaleConns.Load() != 1 {
			t.Fatalf("%s: the ended connection was used", name)
		}
		if open, _ := p.Open(); open != 1 {
			t.Fatalf("%s: %d open", name, open)
		}
		p.Close()
		l.Close()
		far.Close()
	}
}

func TestFailedDialsGiveTheirPlaceBack(t *testing.T) {
	var c Counters
	fail := error(syscall.ECONNREFUSED)
	p := NewPool(func(context.Context, string) (net.Conn, error) { return nil, fmt.Errorf("dial: %w", fail) }, &c, 1, time.Minute)
	for range 3 {
		if _, err := p.Get(context.Background(), "h:1"); err == nil || errors.Is(err, ErrNoDescriptor) {
			t.Fatalf("a refused connection: %v", err)
		}
	}
	fail = syscall.EMFILE // the process is out of descriptors: no fault of the worker's
	if _, err := p.Get(context.Background(), "h:1"); !errors.Is(err, ErrNoDescriptor) {
		t.Fatalf("out of descriptors: %v", err)
	}
	if open, _ := p.Open(); open != 0 || c.NoDescriptor.Load() != 1 {
		t.Fatalf("%d open, %d without a descriptor", open, c.NoDescriptor.Load())
	}
}

// A limit that sinks closes idle connections at once, the longest idle first, and no more than are too many.
func TestPoolFollowsItsLimit(t *testing.T) {
	var c Counters
	p := NewPool((&pipes{}).dial, &c, 4, time.Minute)
	a, b, d := get(t, p, "h:1"), get(t, p, "h:1"), get(t, p, "h:1")
	p.Put(a)
	p.Put(b)
	p.SetMost(2)
	if open, idle := p.Open(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	if got := get(t, p, "h:1"); got != b {
		t.Fatal("the one that was used last is not left")
	}
	if _, err := p.Get(context.Background(), "h:1"); !errors.Is(err, ErrNoDescriptor) {
		t.Fatalf("over the limit: %v", err)
	}
	p.SetMost(1)
	d.Close()
	p.Put(b)
	if open, _ := p.Open(); open != 1 {
		t.Fatalf("%d open", open)
	}
}
