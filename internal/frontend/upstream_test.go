package frontend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/upstream"
	"birchfork/internal/upstream/upstreamtest"
)

func TestTransport_ForwardsRequestAndResult(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	for i, id := range []string{"one", "two"} {
		sent := newRequest(t, h.url, "search", id, "the body")
		sent.Header.Set("Idempotency-Key", "job 7")
		status, body, _ := doRequest(t, sent)
		if status != 200 || body != `made "it"` {
			t.Fatalf("status %d, body %q", status, body)
		}
		h.settled(t)
		r, received := w.Request(i)
		if r.Method != "POST" || r.RequestURI != "/search/x%20y?q=1" || received != "the body" || r.Header.Get("X-Request-Id") != id {
			t.Fatalf("the worker saw %s %s, %q, %v", r.Method, r.RequestURI, received, r.Header)
		}
		for _, name := range []string{"Idempotency-Key", "X-Class", "X-Tenant"} { // workers drop repeats by the first
			if got, want := r.Header.Get(name), sent.Header.Get(name); got != want {
				t.Errorf("the worker saw %s %q, want %q", name, got, want)
			}
		}
		if ms := r.Header.Get("X-Deadline-Ms"); len(ms) != 4 || ms >= "5000" || ms < "4000" {
			t.Fatalf("X-Deadline-Ms %q", ms)
		}
	}
	if w.ConnCount() != 1 {
		t.Fatalf("%d connections for two requests in turn", w.ConnCount())
	}
}

// Each row of the protocol's table, and what a broken worker may make of it.
func TestTransport_Outcomes(t *testing.T) {
	long := strings.Repeat("x", upstream.MaxLineBytes+8192)
	for _, c := range []struct {
		name   string
		answer string // to the request ID
		keep   bool   // the worker leaves the connection open
		want   dispatch.Result
		reused bool
		bad    int64
	}{
		{"done", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "done", `,"result":"r"`)) + "0\r\n\r\n", true, dispatch.ResultOK, true, 0},
		{"done, then closed", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "done", `,"result":""`)), false, dispatch.ResultOK, false, 0},
		{"done without a chunked form", "HTTP/1.1 200 OK\r\n\r\n" + upstreamtest.StatusLine("ID", "done", `,"result":"r"`), false, dispatch.ResultOK, false, 0},
		{"done, told to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
			upstreamtest.Chunk(upstreamtest.StatusLine("ID", "done", `,"result":"r"`)) + "0\r\n\r\n", true, dispatch.ResultOK, false, 0},
		{"failed", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "failed", "")) + "0\r\n\r\n", true, dispatch.ResultFailed, true, 0},
		{"returned", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "returned", "")) + "0\r\n\r\n", true, dispatch.ResultOverloaded, true, 0},
		{"lost", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "lost", "")) + "0\r\n\r\n", true, dispatch.ResultDisconnected, true, 0},
		{"500", "HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nno", true, dispatch.ResultFailed, true, 0},
		{"503 not run", "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultOverloaded, true, 0},
		{"504 not run", "HTTP/1.1 504 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultOverloaded, true, 0},
		{"503 that may have run", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultFailed, true, 0},
		{"500 not run", "HTTP/1.1 500 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultFailed, true, 0},
		{"400", "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultNotSent, true, 0},
		{"404", "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultNotSent, true, 0},
		{"closed at once", "", false, dispatch.ResultDisconnected, false, 0},
		{"half a head", "HTTP/1.1 200 OK\r\nTransf", false, dispatch.ResultDisconnected, false, 1},
		{"ended before the last line", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "started", "")) + "0\r\n\r\n", true, dispatch.ResultDisconnected, false, 0},
		{"broke after a start", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "started", "")), false, dispatch.ResultDisconnected, false, 0},
		{"a cut chunk", upstreamtest.OKHead + "ff\r\n" + `{"id":"ID","state":"done","result":"r"}`, false, dispatch.ResultDisconnected, false, 0},
		{"half a last line", upstreamtest.OKHead + upstreamtest.Chunk(`{"id":"ID","state":"done","resu`) + "0\r\n\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"no HTTP", "hello\r\n\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"an endless head", "HTTP/1.1 200 OK\r\nX: " + long, true, dispatch.ResultDisconnected, false, 1},
		{"an endless line", upstreamtest.OKHead + upstreamtest.Chunk(long), true, dispatch.ResultDisconnected, false, 1},
		{"another's id", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("other", "done", `,"result":"r"`)) + "0\r\n\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"an unknown state", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "resting", "")) + "0\r\n\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"no result", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "done", "")) + "0\r\n\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"a share beyond 1", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "running", `,"share":1.5`)) + "0\r\n\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"a bad chunk size", upstreamtest.OKHead + "zz\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"empty lines between", upstreamtest.OKHead + upstreamtest.Chunk("\n\r\n"+upstreamtest.StatusLine("ID", "done", `,"result":"r"`)+"\n") + "0\r\n\r\n", true, dispatch.ResultOK, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := upstreamtest.StartWorker(t, func(conn net.Conn, r *http.Request) bool {
				io.WriteString(conn, c.answer)
				return c.keep
			})
			h := newHarness(t, w.Address, 0)
			status, _, _ := doRequest(t, newRequest(t, h.url, "book", "ID", ""))
			h.settled(t)
			if got := h.engine.Counters.Outcomes[c.want].Load(); got != 1 {
				t.Fatalf("no outcome %d: %v", c.want, h.engine.Counters.Fields())
			}
			if (status == 200) != (c.want == dispatch.ResultOK) || (status == 400) != (c.want == dispatch.ResultNotSent) {
				t.Errorf("status %d", status)
			}
			if rejected := status == 503 || status == 429; rejected != (c.want == dispatch.ResultOverloaded) {
				t.Errorf("status %d for a job that may have run", status)
			}
			if _, idle := h.pool.Counts(); (idle == 1) != c.reused {
				t.Errorf("%d idle connections", idle)
			}
			if n := h.engine.Counters.BadWorkerLines.Load(); n != c.bad {
				t.Errorf("%d bad lines counted", n)
			}
		})
	}
}

func TestTransport_ConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	h := newHarness(t, l.Addr().String(), 0)
	if status, _, _ := doRequest(t, newRequest(t, h.url, "book", "id-1", "")); status != 503 {
		t.Fatalf("status %d, want a refusal", status)
	}
	if h.settled(t); h.engine.Counters.Outcomes[dispatch.ResultUnreachable].Load() != 1 {
		t.Fatal(h.engine.Counters.Fields())
	}
}

// An answer that goes on for ever after its outcome must not hold its connection for ever, nor be mixed with the next.
func TestTransport_ClosesConnOnEndlessResponse(t *testing.T) {
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, upstreamtest.OKHead+upstreamtest.Chunk(upstreamtest.StatusLine(r.Header.Get("X-Request-Id"), "done", `,"result":"r"`)))
		for {
			if _, err := io.WriteString(c, upstreamtest.Chunk(strings.Repeat("x", 8000))); err != nil {
				return false
			}
		}
	})
	h := newHarness(t, w.Address, 0)
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", "")); status != 200 {
		t.Fatalf("status %d", status)
	}
	h.settled(t)
	if open, _ := h.pool.Counts(); open != 0 {
		t.Fatalf("%d connections open", open)
	}
}

// A late second line of an earlier answer must not pass for the answer of the next request.
func TestTransport_ReusedConnStartsClean(t *testing.T) {
	first := true
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		more := ""
		if first {
			more = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		first = false
		io.WriteString(c, upstreamtest.OKHead+upstreamtest.Chunk(upstreamtest.StatusLine(id, "done", `,"result":"`+id+`"`))+"0\r\n\r\n"+more)
		return true
	})
	h := newHarness(t, w.Address, 0)
	for _, id := range []string{"a", "b"} {
		if status, body, _ := doRequest(t, newRequest(t, h.url, "search", id, "")); status != 200 || body != id {
			t.Fatalf("status %d, body %q", status, body)
		}
		h.settled(t)
		time.Sleep(5 * time.Millisecond) // the surplus may come a little later than its answer
	}
	if w.ConnCount() != 2 {
		t.Fatalf("%d connections", w.ConnCount())
	}
}

// writeSpy is a connection that tells of its writes.
type writeSpy struct {
	net.Conn
	onWrite func(n int)
}

func (s *writeSpy) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.onWrite(n)
	return n, err
}

// Under the group's lease the last byte of a request is a write of its own, and stays where the lease ends before it: the
// runner never begins, and the client is told that asking again is harmless.
func TestTransport_LastByteNeedsLease(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	var mu sync.Mutex
	var sizes []int
	leaseEnds := true
	h.pool.Reconfigure(func(ctx context.Context, a string) (net.Conn, error) {
		c, err := net.Dial("tcp", a)
		return &writeSpy{c, func(n int) {
			mu.Lock()
			defer mu.Unlock()
			if sizes = append(sizes, n); leaseEnds {
				h.engine.SetLeaseExpiry(time.Now())
			}
		}}, err
	}, time.Minute)
	h.engine.SetRestrictions(engine.Restrictions{LeasedWorkers: map[string]bool{"w": true}})
	for id, want := range map[string]int{"A": 503, "B": 200} {
		h.engine.SetLeaseExpiry(time.Now().Add(time.Hour))
		mu.Lock()
		sizes, leaseEnds = nil, want == 503
		mu.Unlock()
		status, _, _ := doRequest(t, newRequest(t, h.url, "book", id, "the body"))
		mu.Lock()
		received := false
		if n := w.RequestCount(); n > 0 {
			last, _ := w.Request(n - 1)
			received = last.Header.Get("X-Request-Id") == id
		}
		if complete := len(sizes) == 2 && sizes[1] == 1; status != want || received != complete || complete != (want == 200) || len(sizes) > 2 {
			t.Errorf("%s: status %d, want %d; the runner saw it: %t; writes of %v bytes", id, status, want, received, sizes)
		}
		mu.Unlock()
	}
	if n := h.engine.Counters.Outcomes[dispatch.ResultNotSent].Load(); n != 1 {
		t.Errorf("%d attempts count as not sent", n)
	}
}
