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

// pipeDialer is a DialFunc that stores the remote ends of the connections it opens.
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

// Idle connections are reused for their own address until the idle timeout.
func TestPool_ReusesIdleConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var counters engine.Counters
		pool := NewPool((&pipeDialer{}).dial, &counters, 9, time.Second)
		first := mustGet(t, pool, "h:1")
		pool.Put(first)
		if second := mustGet(t, pool, "h:1"); second != first {
			t.Fatal("an idle connection was not used again")
		}
		pool.Put(first)
		if second := mustGet(t, pool, "h:2"); second == first {
			t.Fatal("a connection to another address was used")
		}
		time.Sleep(1001 * time.Millisecond)
		if second := mustGet(t, pool, "h:1"); second == first {
			t.Fatal("a connection was used that had been idle for long")
		}
		pool.CloseExpired()
		if open, idle := pool.Counts(); open != 2 || idle != 0 {
			t.Fatalf("%d open, %d idle", open, idle)
		}
	})
}

// At the limit the longest idle connection is closed, and none in use; closing one twice releases one place.
func TestPool_KeepsMaxConns(t *testing.T) {
	var counters engine.Counters
	pool := NewPool((&pipeDialer{}).dial, &counters, 2, time.Minute)
	first, second := mustGet(t, pool, "h:1"), mustGet(t, pool, "h:1")
	if _, err := pool.Get(context.Background(), "h:2"); !errors.Is(err, ErrNoFileDescriptor) {
		t.Fatalf("over the limit: %v", err)
	}
	pool.Put(second)
	pool.Put(first)
	third := mustGet(t, pool, "h:2") // the longest idle one is closed
	if open, idle := pool.Counts(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	if got := mustGet(t, pool, "h:1"); got != first {
		t.Fatal("the one that had been idle for less was closed")
	}
	_ = third.Close()
	_ = third.Close()
	_ = first.Close()
	if open, _ := pool.Counts(); open != 0 {
		t.Fatalf("%d open after all were closed", open)
	}
}

// CloseIdleTo closes idle connections to the address, and none in use.
func TestPool_CloseIdleTo(t *testing.T) {
	var counters engine.Counters
	pool := NewPool((&pipeDialer{}).dial, &counters, 9, time.Minute)
	first, second, used := mustGet(t, pool, "h:1"), mustGet(t, pool, "h:2"), mustGet(t, pool, "h:1")
	pool.Put(first)
	pool.Put(second)
	pool.CloseIdleTo("h:1")
	if open, idle := pool.Counts(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	used.SetReadDeadline(time.Unix(1, 0))
	if _, err := used.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("one in use was closed: %v", err)
	}
	pool.Close()
	if _, err := second.Write([]byte("x")); err == nil {
		t.Fatal("an idle one is open still")
	}
}

// A connection that its worker has closed or reset, or on which it has sent unexpected data, must not get a request: the request would be
// lost although it was never sent.
func TestPool_DetectsEndedIdleConnection(t *testing.T) {
	for name, breakConn := range map[string]func(net.Conn){
		"closed": func(c net.Conn) { c.Close() },
		"reset":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() },
		"spoke":  func(c net.Conn) { io.WriteString(c, "HTTP/1.1 408 x\r\n") },
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
			t.Fatalf("%s: open before it", name)
		}
		breakConn(remote)
		for deadline := time.Now().Add(5 * time.Second); first.isReusable(); time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: the connection still passes for open", name)
			}
		}
		if second := mustGet(t, pool, l.Addr().String()); second == first || c.StaleConns.Load() != 1 {
			t.Fatalf("%s: the ended connection was used", name)
		}
		if open, _ := pool.Counts(); open != 1 {
			t.Fatalf("%s: %d open", name, open)
		}
		pool.Close()
		l.Close()
		remote.Close()
	}
}

// A failed dial occupies no place, and is the worker's fault unless this process has no descriptor left.
func TestPool_FailedDialReleasesCapacity(t *testing.T) {
	var counters engine.Counters
	fail := error(syscall.ECONNREFUSED)
	pool := NewPool(func(context.Context, string) (net.Conn, error) { return nil, fmt.Errorf("dial: %w", fail) }, &counters, 1, time.Minute)
	for range 3 {
		if _, err := pool.Get(context.Background(), "h:1"); err == nil || errors.Is(err, ErrNoFileDescriptor) {
			t.Fatalf("a refused connection: %v", err)
		}
	}
	fail = syscall.EMFILE // the process is out of descriptors: no fault of the worker's
	if _, err := pool.Get(context.Background(), "h:1"); !errors.Is(err, ErrNoFileDescriptor) {
		t.Fatalf("out of descriptors: %v", err)
	}
	if open, _ := pool.Counts(); open != 0 || counters.NoFileDescriptor.Load() != 1 {
		t.Fatalf("%d open, %d without a descriptor", open, counters.NoFileDescriptor.Load())
	}
}

// A lower limit immediately closes idle connections, the longest idle first, and no more than necessary.
func TestPool_SetMaxConnsClosesIdle(t *testing.T) {
	var counters engine.Counters
	pool := NewPool((&pipeDialer{}).dial, &counters, 4, time.Minute)
	first, second, third := mustGet(t, pool, "h:1"), mustGet(t, pool, "h:1"), mustGet(t, pool, "h:1")
	pool.Put(first)
	pool.Put(second)
	pool.SetMaxConns(2)
	if open, idle := pool.Counts(); open != 2 || idle != 1 {
		t.Fatalf("%d open, %d idle", open, idle)
	}
	if got := mustGet(t, pool, "h:1"); got != second {
		t.Fatal("the one that was used last is not left")
	}
	if _, err := pool.Get(context.Background(), "h:1"); !errors.Is(err, ErrNoFileDescriptor) {
		t.Fatalf("over the limit: %v", err)
	}
	pool.SetMaxConns(1)
	_ = third.Close()
	pool.Put(second)
	if open, _ := pool.Counts(); open != 1 {
		t.Fatalf("%d open", open)
	}
}
