package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/internal/engine"
)

// pipeDialer implements a DialFunc that opens pipes and stores their remote ends.
type pipeDialer struct{ remotes []net.Conn }

func (p *pipeDialer) dial(context.Context, string) (net.Conn, error) {
	local, remote := net.Pipe()
	p.remotes = append(p.remotes, remote)
	return local, nil
}

func mustGet(t *testing.T, pool *Pool, address string) *Conn {
	t.Helper()
	conn, err := pool.Get(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	return conn
}

// An idle connection is reused for the same address only, and only until the idle timeout.
func TestPool_ReusesIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counters engine.Counters
		pool := NewPool((&pipeDialer{}).dial, &counters, 9, time.Second)
		first := mustGet(t, pool, "h:1")
		pool.Put(first)
		if second := mustGet(t, pool, "h:1"); second != first {
			t.Fatal("an idle connection was not reused")
		}
		pool.Put(first)
		if second := mustGet(t, pool, "h:2"); second == first {
			t.Fatal("a connection to another address was reused")
		}
		time.Sleep(1001 * time.Millisecond)
		if second := mustGet(t, pool, "h:1"); second == first {
			t.Fatal("a connection was reused after the idle timeout")
		}
		pool.CloseExpired()
		if open, idle := pool.Counts(); open != 2 || idle != 0 {
			t.Fatalf("%d open, %d idle, want 2 and 0", open, idle)
		}
	})
}

// At the limit, the connection that has been idle longest is closed, but none in use. A second Close must not release capacity again.
func TestPool_KeepsMaxConns(t *testing.T) {
	var counters engine.Counters
	pool := NewPool((&pipeDialer{}).dial, &counters, 2, time.Minute)
	first, second := mustGet(t, pool, "h:1"), mustGet(t, pool, "h:1")
	if _, err := pool.Get(context.Background(), "h:2"); !errors.Is(err, ErrNoFileDescriptor) {
		t.Fatalf("above the limit: error %v, want ErrNoFileDescriptor", err)
	}
	pool.Put(second)
	pool.Put(first)
	third := mustGet(t, pool, "h:2") // closes the connection that has been idle longest
	if open, idle := pool.Counts(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle, want 2 and 1", open, idle)
	}
	if got := mustGet(t, pool, "h:1"); got != first {
		t.Fatal("the connection that had been idle for less time was closed")
	}
	_ = third.Close()
	_ = third.Close()
	_ = first.Close()
	if open, _ := pool.Counts(); open != 0 {
		t.Fatalf("%d connections open after all were closed, want 0", open)
	}
}

// CloseIdleTo closes idle connections to the given address only, and no connection in use.
func TestPool_CloseIdleTo(t *testing.T) {
	var counters engine.Counters
	pool := NewPool((&pipeDialer{}).dial, &counters, 9, time.Minute)
	first, second, used := mustGet(t, pool, "h:1"), mustGet(t, pool, "h:2"), mustGet(t, pool, "h:1")
	pool.Put(first)
	pool.Put(second)
	pool.CloseIdleTo("h:1")
	if open, idle := pool.Counts(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle, want 2 and 1", open, idle)
	}
	used.SetReadDeadline(time.Unix(1, 0))
	if _, err := used.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("a connection in use was closed: error %v, want a timeout", err)
	}
	pool.Close()
	if _, err := second.Write([]byte("x")); err == nil {
		t.Fatal("an idle connection is open after Close")
	}
}

// A connection that the worker has closed or reset, or on which it has sent unexpected data, must not be reused. A request on it would be
// lost although the worker never received it.
func TestPool_DetectsEndedIdleConnection(t *testing.T) {
	for name, breakConn := range map[string]func(net.Conn){
		"closed":    func(c net.Conn) { c.Close() },
		"reset":     func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"sent data": func(c net.Conn) { io.WriteString(c, "HTTP/1.1 408 x\r\n") },
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		var d net.Dialer
		var c engine.Counters
		pool := NewPool(func(ctx context.Context, addr string) (net.Conn, error) { return d.DialContext(ctx, "tcp", addr) },
			&c, 9, time.Minute)
		first := mustGet(t, pool, l.Addr().String())
		remote, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		pool.Put(first)
		if !first.isReusable() {
			t.Fatalf("%s: the open connection is not reusable", name)
		}
		breakConn(remote)
		for deadline := time.Now().Add(5 * time.Second); first.isReusable(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the connection is still reusable after 5 s", name)
			}
		}
		if second := mustGet(t, pool, l.Addr().String()); second == first || c.StaleConns.Load() != 1 {
			t.Fatalf("%s: the ended connection was reused", name)
		}
		if open, _ := pool.Counts(); open != 1 {
			t.Fatalf("%s: %d open, want 1", name, open)
		}
		pool.Close()
		l.Close()
		remote.Close()
	}
}

// A failed dial releases its capacity. It counts as a failure of the worker unless this process has no file descriptor available.
func TestPool_FailedDialReleasesCapacity(t *testing.T) {
	var counters engine.Counters
	fail := error(syscall.ECONNREFUSED)
	pool := NewPool(func(context.Context, string) (net.Conn, error) { return nil, fmt.Errorf("dial: %w", fail) }, &counters, 1, time.Minute)
	for range 3 {
		if _, err := pool.Get(context.Background(), "h:1"); err == nil || errors.Is(err, ErrNoFileDescriptor) {
			t.Fatalf("refused connection: error %v, want one other than ErrNoFileDescriptor", err)
		}
	}
	fail = syscall.EMFILE // the process has no file descriptor available, which is not a failure of the worker
	if _, err := pool.Get(context.Background(), "h:1"); !errors.Is(err, ErrNoFileDescriptor) {
		t.Fatalf("no file descriptor available: error %v, want ErrNoFileDescriptor", err)
	}
	if open, _ := pool.Counts(); open != 0 || counters.NoFileDescriptor.Load() != 1 {
		t.Fatalf("%d connections open, %d attempts without a file descriptor, want 0 and 1", open, counters.NoFileDescriptor.Load())
	}
}

// A lower limit immediately closes as many idle connections as necessary, the longest idle first.
func TestPool_SetMaxConnsClosesIdle(t *testing.T) {
	var counters engine.Counters
	pool := NewPool((&pipeDialer{}).dial, &counters, 4, time.Minute)
	first, second, third := mustGet(t, pool, "h:1"), mustGet(t, pool, "h:1"), mustGet(t, pool, "h:1")
	pool.Put(first)
	pool.Put(second)
	pool.SetMaxConns(2)
	if open, idle := pool.Counts(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle, want 2 and 1", open, idle)
	}
	if got := mustGet(t, pool, "h:1"); got != second {
		t.Fatal("the most recently used connection was closed")
	}
	if _, err := pool.Get(context.Background(), "h:1"); !errors.Is(err, ErrNoFileDescriptor) {
		t.Fatalf("above the limit: error %v, want ErrNoFileDescriptor", err)
	}
	pool.SetMaxConns(1)
	_ = third.Close()
	pool.Put(second)
	if open, _ := pool.Counts(); open != 1 {
		t.Fatalf("%d open, want 1", open)
	}
}
