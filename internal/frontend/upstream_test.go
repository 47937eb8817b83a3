package frontend

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/engine/enginetest"
	"birchfork/internal/upstream"
	"birchfork/internal/upstream/upstreamtest"
)

// A worker receives the request as the client sent it, and the client receives the worker's result. The connection is reused.
func TestTransport_ForwardsRequestAndResult(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	for i, id := range []string{"one", "two"} {
		sent := newRequest(t, h.url, "search", id, "the body")
		sent.Header.Set("Idempotency-Key", "job 7")
		status, body, _ := doRequest(t, sent)
		if status != 200 || body != `made "it"` {
			t.Fatalf("status %d, body %q, want 200 and the worker's result", status, body)
		}
		h.settled(t)
		r, received := w.Request(i)
		if r.Method != "POST" || r.RequestURI != "/search/x%20y?q=1" || received != "the body" || r.Header.Get("X-Request-Id") != id {
			t.Fatalf("the worker saw %s %s, %q, %v", r.Method, r.RequestURI, received, r.Header)
		}
		for _, name := range []string{"Idempotency-Key", "X-Class", "X-Tenant"} { // workers drop repeats by the Idempotency-Key
			if got, want := r.Header.Get(name), sent.Header.Get(name); got != want {
				t.Errorf("the worker saw %s %q, want %q", name, got, want)
			}
		}
		if ms := r.Header.Get("X-Deadline-Ms"); len(ms) != 4 || ms >= "5000" || ms < "4000" {
			t.Fatalf("X-Deadline-Ms %q, want 4000 to 4999", ms)
		}
	}
	if w.ConnCount() != 1 {
		t.Fatalf("%d connections for two successive requests, want 1", w.ConnCount())
	}
}

// answerCase is a worker's answer to the request with the id "ID", and the expected effect.
type answerCase struct {
	name   string
	answer string
	keep   bool // the worker leaves the connection open
	want   dispatch.Result
	reused bool  // the connection is kept for the next request
	bad    int64 // expected BadWorkerLines
}

// answerCases returns the answers that the protocol allows, and malformed ones that a faulty worker may send.
func answerCases() []answerCase {
	long := strings.Repeat("x", upstream.MaxLineBytes+8192)
	return []answerCase{
		{"done", upstreamtest.Answer(upstreamtest.StatusLine("ID", "done", `,"result":"r"`)), true, dispatch.ResultOK, true, 0},
		{"done, then closed", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "done", `,"result":""`)), false, dispatch.ResultOK, false, 0},
		{"done without chunked coding", "HTTP/1.1 200 OK\r\n\r\n" + upstreamtest.StatusLine("ID", "done", `,"result":"r"`), false, dispatch.ResultOK, false, 0},
		{"done, with Connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
			upstreamtest.Chunk(upstreamtest.StatusLine("ID", "done", `,"result":"r"`)) + "0\r\n\r\n", true, dispatch.ResultOK, false, 0},
		{"failed", upstreamtest.Answer(upstreamtest.StatusLine("ID", "failed", "")), true, dispatch.ResultFailed, true, 0},
		{"returned", upstreamtest.Answer(upstreamtest.StatusLine("ID", "returned", "")), true, dispatch.ResultOverloaded, true, 0},
		{"lost", upstreamtest.Answer(upstreamtest.StatusLine("ID", "lost", "")), true, dispatch.ResultDisconnected, true, 0},
		{"500", "HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nno", true, dispatch.ResultFailed, true, 0},
		{"503 not run", "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultOverloaded, true, 0},
		{"504 not run", "HTTP/1.1 504 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultOverloaded, true, 0},
		{"503 that may have run", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultFailed, true, 0},
		{"500 not run", "HTTP/1.1 500 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultFailed, true, 0},
		{"400", "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultNotSent, true, 0},
		{"404", "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.ResultNotSent, true, 0},
		{"closed without an answer", "", false, dispatch.ResultDisconnected, false, 0},
		{"truncated head", "HTTP/1.1 200 OK\r\nTransf", false, dispatch.ResultDisconnected, false, 1},
		{"ended before the last line", upstreamtest.Answer(upstreamtest.StatusLine("ID", "started", "")), true, dispatch.ResultDisconnected, false, 0},
		{"closed after a start", upstreamtest.OKHead + upstreamtest.Chunk(upstreamtest.StatusLine("ID", "started", "")), false, dispatch.ResultDisconnected, false, 0},
		{"truncated chunk", upstreamtest.OKHead + "ff\r\n" + `{"id":"ID","state":"done","result":"r"}`, false, dispatch.ResultDisconnected, false, 0},
		{"truncated last line", upstreamtest.Answer(`{"id":"ID","state":"done","resu`), true, dispatch.ResultDisconnected, false, 1},
		{"malformed head", "hello\r\n\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"an endless head", "HTTP/1.1 200 OK\r\nX: " + long, true, dispatch.ResultDisconnected, false, 1},
		{"an endless line", upstreamtest.OKHead + upstreamtest.Chunk(long), true, dispatch.ResultDisconnected, false, 1},
		{"the id of another request", upstreamtest.Answer(upstreamtest.StatusLine("other", "done", `,"result":"r"`)), true, dispatch.ResultDisconnected, false, 1},
		{"an unknown state", upstreamtest.Answer(upstreamtest.StatusLine("ID", "resting", "")), true, dispatch.ResultDisconnected, false, 1},
		{"no result", upstreamtest.Answer(upstreamtest.StatusLine("ID", "done", "")), true, dispatch.ResultDisconnected, false, 1},
		{"a share beyond 1", upstreamtest.Answer(upstreamtest.StatusLine("ID", "running", `,"share":1.5`)), true, dispatch.ResultDisconnected, false, 1},
		{"malformed chunk size", upstreamtest.OKHead + "zz\r\n", true, dispatch.ResultDisconnected, false, 1},
		{"empty lines in between", upstreamtest.OKHead + upstreamtest.Chunk("\n\r\n"+upstreamtest.StatusLine("ID", "done", `,"result":"r"`)+"\n") + "0\r\n\r\n", true, dispatch.ResultOK, true, 0},
	}
}

// Each answer of a worker leads to the expected outcome.
func TestTransport_Outcomes(t *testing.T) {
	for _, c := range answerCases() {
		t.Run(c.name, func(t *testing.T) { c.check(t) })
	}
}

func (c *answerCase) check(t *testing.T) {
	t.Helper()
	w := upstreamtest.StartWorker(t, func(conn net.Conn, _ *http.Request) bool {
		io.WriteString(conn, c.answer)
		return c.keep
	})
	h := newHarness(t, w.Address, 0)
	status, _, _ := doRequest(t, newRequest(t, h.url, "book", "ID", ""))
	h.settled(t)
	if got := h.engine.Counters.Outcomes[c.want].Load(); got != 1 {
		t.Fatalf("outcome %d not counted: %v", c.want, h.engine.Counters.Fields())
	}
	if (status == 200) != (c.want == dispatch.ResultOK) || (status == 400) != (c.want == dispatch.ResultNotSent) {
		t.Errorf("status %d does not match outcome %d", status, c.want)
	}
	if rejected := status == 503 || status == 429; rejected != (c.want == dispatch.ResultOverloaded) {
		t.Errorf("status %d: only a request that did not run may be shed", status)
	}
	if _, idle := h.pool.Counts(); (idle == 1) != c.reused {
		t.Errorf("%d idle connections, want reused %v", idle, c.reused)
	}
	if n := h.engine.Counters.BadWorkerLines.Load(); n != c.bad {
		t.Errorf("%d bad lines counted, want %d", n, c.bad)
	}
}

// A request whose worker accepts no connection never ran, and is shed.
func TestTransport_ConnectionRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	h := newHarness(t, l.Addr().String(), 0)
	if status, _, _ := doRequest(t, newRequest(t, h.url, "book", "id-1", "")); status != 503 {
		t.Fatalf("status %d, want 503", status)
	}
	if h.settled(t); h.engine.Counters.Outcomes[dispatch.ResultUnreachable].Load() != 1 {
		t.Fatal("want 1 attempt at an unreachable worker:", h.engine.Counters.Fields())
	}
}

// A retry forwards the time that the client has left, not that of the first attempt.
func TestTransport_RetrySendsTimeLeft(t *testing.T) {
	type observation struct {
		at time.Time
		ms int64
	}
	observations := make(chan observation, 8)
	first := atomic.Bool{}
	first.Store(true)
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool {
		ms, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
		observations <- observation{time.Now(), ms}
		if first.Swap(false) {
			time.Sleep(60 * time.Millisecond) // the first attempt uses up some of the client's time
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return upstreamtest.RespondDone(c, r)
	})
	h := newHarness(t, w.Address, 0)
	h.handler.Engine = enginetest.NewWith(t, 0, strings.Replace(enginetest.Settings, `"attempts_cap":1`, `"attempts_cap":3`, 1))
	h.handler.Engine.UpdateEndpoints(upstreamtest.ListWithWorker(w.Address))
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", "")); status != 200 {
		t.Fatalf("status %d", status)
	}
	initial, retry := <-observations, <-observations
	if elapsed := retry.at.Sub(initial.at).Milliseconds(); elapsed < 60 || retry.ms > initial.ms-elapsed+1 {
		t.Fatalf("%d ms forwarded at first, %d ms forwarded %d ms later, want at least 60 ms later and that much less", initial.ms, retry.ms, elapsed)
	}
}

// A retry is not sent if the window in which workers drop repeats ended while its connection was being established.
func TestTransport_RetryStaysWithinWindow(t *testing.T) {
	e := enginetest.NewWith(t, 0, strings.NewReplacer(`"attempts_cap":1`, `"attempts_cap":3`, `"name":"search","deadline":5,"aim":0.4,"effect":"free"`,
		`"name":"search","deadline":5,"aim":4,"effect":"guarded","group":"all","window":0.2`).Replace(enginetest.Settings))
	w := upstreamtest.StartWorker(t, func(c net.Conn, _ *http.Request) bool { // the first attempt fails, at whichever endpoint
		io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	l := upstreamtest.ListWithWorker(w.Address)
	l.Endpoints = append(l.Endpoints, l.Endpoints[0])
	l.Endpoints[1].Name = "v"
	e.UpdateEndpoints(l)
	h := newHarness(t, "", 0)
	var dials atomic.Int32
	pool := upstream.NewPool(func(ctx context.Context, a string) (net.Conn, error) {
		if dials.Add(1) == 2 { // the retry's connection is established after the end of the window
			time.Sleep(250 * time.Millisecond)
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", a)
	}, &e.Counters, 8, time.Nanosecond) // no connection is kept
	defer pool.Close()
	h.handler.Engine, h.handler.Transport = e, &upstream.Transport{Pool: pool, Counters: &e.Counters}
	status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", ""))
	if dials.Load() < 2 || w.RequestCount() != 1 || status == 200 {
		t.Fatalf("status %d, %d requests at workers, %d dials, want no success, 1 request and at least 2 dials", status, w.RequestCount(), dials.Load())
	}
	if e.Counters.Outcomes[dispatch.ResultNotSent].Load() != 1 {
		t.Fatal("want 1 attempt not sent:", e.Counters.Fields())
	}
}

// An answer that continues after its final line must neither occupy its connection forever nor be mixed with the next answer.
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
		t.Fatalf("%d connections open, want 0", open)
	}
}

// Surplus bytes after an answer must not be taken for the answer to the next request.
func TestTransport_ReusedConnStartsClean(t *testing.T) {
	first := true
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		more := ""
		if first {
			more = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		first = false
		io.WriteString(c, upstreamtest.Answer(upstreamtest.StatusLine(id, "done", `,"result":"`+id+`"`))+more)
		return true
	})
	h := newHarness(t, w.Address, 0)
	for _, id := range []string{"a", "b"} {
		if status, body, _ := doRequest(t, newRequest(t, h.url, "search", id, "")); status != 200 || body != id {
			t.Fatalf("status %d, body %q, want 200 and %q", status, body, id)
		}
		h.settled(t)
		time.Sleep(5 * time.Millisecond) // the surplus may arrive slightly later than its answer
	}
	if w.ConnCount() != 2 {
		t.Fatalf("%d connections, want 2", w.ConnCount())
	}
}

// writeSpy is a connection that calls onWrite with the size of each write.
type writeSpy struct {
	net.Conn
	onWrite func(n int)
}

func (s *writeSpy) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.onWrite(n)
	return n, err
}

// If a worker requires the group's lease, the last byte of a request is sent in a separate write, which is omitted if the lease has expired:
// the worker does not begin, and the request is shed, so that the client may retry.
func TestTransport_LastByteNeedsLease(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	var mu sync.Mutex
	var sizes []int
	leaseEnds := true
	h.pool.Reconfigure(func(_ context.Context, a string) (net.Conn, error) {
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
			t.Errorf("%s: status %d, want %d; received by the worker: %t; writes of %v bytes", id, status, want, received, sizes)
		}
		mu.Unlock()
	}
	if n := h.engine.Counters.Outcomes[dispatch.ResultNotSent].Load(); n != 1 {
		t.Errorf("%d attempts counted as not sent, want 1", n)
	}
}
