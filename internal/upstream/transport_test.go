package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/engine/enginetest"
	"birchfork/internal/upstream/upstreamtest"
)

// discard reads and discards all data from a connection.
func discard(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

// newTransport returns a transport that opens connections with dial.
func newTransport(e *engine.Engine, dial DialFunc) *Transport {
	return &Transport{Pool: NewPool(dial, &e.Counters, 8, time.Minute), Counters: &e.Counters}
}

// closeSpy is a connection that calls onClose before it is closed and records the linger time that was set last.
type closeSpy struct {
	net.Conn
	onClose func()
	linger  *int // seconds
}

func (s closeSpy) SetLinger(seconds int) error {
	*s.linger = seconds
	return nil
}

func (s closeSpy) Close() error {
	s.onClose()
	return s.Conn.Close()
}

// The connection to a machine that has disappeared accepts the request and delivers no response. The attempt has to time out, and its
// connection has to be closed before the outcome is reported. Otherwise a retry could run concurrently with the first attempt. Data of the
// request that the kernel has not delivered must be discarded.
func TestTransport_SilentWorkerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := enginetest.New(t, 0)
		e.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
		near, far := net.Pipe()
		go discard(far)
		early, linger := false, -1
		spy := closeSpy{near, func() { early = early || e.Counters.Outcomes[dispatch.ResultTimedOut].Load() == 0 }, &linger}
		transport := newTransport(e, func(context.Context, string) (net.Conn, error) { return spy, nil })
		_, a := upstreamtest.OpenAttempt(t, e, "quick", 60*time.Millisecond)
		transport.Do(a, &Request{Method: "POST", Target: "/search", ID: "id-1"})
		if e.Counters.Outcomes[dispatch.ResultTimedOut].Load() != 1 {
			t.Fatal("want 1 attempt timed out; counters", e.Counters.Fields())
		}
		if open, _ := transport.Pool.Counts(); open != 0 || !early || linger != 0 {
			t.Fatalf("%d connections open; closed before the outcome was reported: %v; linger time %d s, want 0, true and 0 s", open, early, linger)
		}
	})
}

// The other idle connections to a machine that has disappeared would accept further requests. Only the dial of a new connection fails.
func TestTransport_SilentWorkerClosesIdleConns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := enginetest.New(t, 0)
		e.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
		transport := newTransport(e, func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go discard(far)
			return near, nil
		})
		idle := make([]*Conn, 0, 2)
		for range 2 {
			c, err := transport.Pool.Get(t.Context(), "127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			idle = append(idle, c)
		}
		for _, c := range idle {
			transport.Pool.Put(c)
		}
		_, a := upstreamtest.OpenAttempt(t, e, "search", 5*time.Second)
		transport.Do(a, &Request{Method: "POST", Target: "/search", ID: "id-1"})
		if open, _ := transport.Pool.Counts(); open != 0 || e.Counters.ReusedConns.Load() != 1 {
			t.Fatalf("%d connections open, %d reused, want 0 and 1", open, e.Counters.ReusedConns.Load())
		}
	})
}

// A request whose last byte was not sent cannot have run. It can be retried even if it must not run twice.
func TestTransport_PartialWriteNeverRan(t *testing.T) {
	e := enginetest.New(t, 0)
	e.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
	near, far := net.Pipe()
	go func() {
		_, _ = io.ReadFull(far, make([]byte, 30)) // reads a part of the request
		far.Close()
	}()
	transport := newTransport(e, func(context.Context, string) (net.Conn, error) { return near, nil })
	_, a := upstreamtest.OpenAttempt(t, e, "search", 5*time.Second)
	transport.Do(a, &Request{Method: "POST", Target: "/search", ID: "id-1", Body: make([]byte, 1000)})
	if e.Counters.Outcomes[dispatch.ResultUnreachable].Load() != 1 {
		t.Fatal("want 1 attempt unreachable; counters", e.Counters.Fields())
	}
}

// No request may be sent to a worker that has begun to drain during the dial.
func TestTransport_DrainDuringDial(t *testing.T) {
	e := enginetest.New(t, 0)
	e.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
	near, far := net.Pipe()
	transport := newTransport(e, func(context.Context, string) (net.Conn, error) {
		list := upstreamtest.ListWithWorker("127.0.0.1:1")
		list.Endpoints[0].State = dispatch.Draining
		e.UpdateEndpoints(list)
		return near, nil
	})
	r, a := upstreamtest.OpenAttempt(t, e, "search", 5*time.Second)
	transport.Do(a, &Request{Method: "POST", Target: "/search", ID: "id-1"})
	if e.Counters.Outcomes[dispatch.ResultNotSent].Load() != 1 {
		t.Fatal("want 1 attempt not sent; counters", e.Counters.Fields())
	}
	far.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if n, err := far.Read(make([]byte, 1)); n != 0 || errors.Is(err, io.EOF) {
		t.Fatalf("%d bytes received, error %v: want the connection open and unused", n, err)
	}
	r.Close()
}

// A worker whose dial times out counts as unreachable, but not if the request's deadline interrupted the dial.
func TestTransport_DialTimeouts(t *testing.T) {
	for _, c := range []struct {
		name string
		dial DialFunc
		want dispatch.Result
	}{
		{"dial timeout", func(context.Context, string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }, dispatch.ResultUnreachable},
		{"request deadline", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, dispatch.ResultNotSent},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := enginetest.New(t, 0)
			e.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
			transport := newTransport(e, c.dial)
			_, a := upstreamtest.OpenAttempt(t, e, "quick", 60*time.Millisecond)
			transport.Do(a, &Request{Method: "POST", Target: "/search", ID: "id-1"})
			if e.Counters.Outcomes[c.want].Load() != 1 {
				t.Errorf("%s: want 1 attempt with result %v; counters %v", c.name, c.want, e.Counters.Fields())
			}
		})
	}
}

// An attempt that fails because of this process's limit on connections does not count as a failure of the worker.
func TestTransport_NoDescriptorLeft(t *testing.T) {
	e := enginetest.New(t, 0)
	e.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
	transport := &Transport{Pool: NewPool(nil, &e.Counters, 0, time.Minute), Counters: &e.Counters}
	_, a := upstreamtest.OpenAttempt(t, e, "search", 5*time.Second)
	transport.Do(a, &Request{})
	if e.Counters.Outcomes[dispatch.ResultNotSent].Load() != 1 || e.Counters.NoFileDescriptor.Load() != 1 {
		t.Fatal("want 1 attempt not sent for lack of a file descriptor; counters", e.Counters.Fields())
	}
}

// Whatever a worker sends, the attempt ends exactly once and its connection is released.
func FuzzTransportResponse(f *testing.F) {
	f.Add([]byte(upstreamtest.Answer(upstreamtest.StatusLine("id-1", "done", `,"result":"r"`))))
	f.Add([]byte("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n\r\n"))
	f.Add([]byte(upstreamtest.OKHead + "5\r\n{\"id\"\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		e := enginetest.New(t, 0)
		e.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
		near, far := net.Pipe()
		go func() {
			_, _ = http.ReadRequest(bufio.NewReader(far))
			_, _ = far.Write(raw) // fails if the transport has already closed the connection
			far.Close()
		}()
		transport := newTransport(e, func(context.Context, string) (net.Conn, error) { return near, nil })
		r, err := e.Open(engine.RequestSpec{ID: "id-1", Class: "search", TimeLeft: 5 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Close()
		a := (<-r.Decisions()).Attempt
		transport.Do(a, &Request{Method: "POST", Target: "/search", ID: "id-1"})
		ended := int64(0)
		for i := range e.Counters.Outcomes {
			ended += e.Counters.Outcomes[i].Load()
		}
		if open, idle := transport.Pool.Counts(); ended != 1 || open != idle {
			t.Fatalf("%d attempts ended, %d connections in use, want 1 and 0", ended, open-idle)
		}
	})
}
