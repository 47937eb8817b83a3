package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"birchfork/internal/upstream/upstreamtest"
)

// A request that no worker can serve in time is shed, with a Retry-After within the limit of the settings.
func TestHandler_ShedRequestGetsRetryAfter(t *testing.T) {
	h := newHarness(t, "", 0) // without workers, requests are queued until they can no longer be served in time
	r := newRequest(t, h.url, "search", "a", "")
	r.Header.Set("X-Deadline-Ms", "1000")
	status, _, head := doRequest(t, r)
	if status != 503 || h.engine.Counters.Shed.Load() != 1 {
		t.Fatalf("status %d, want 503 and 1 request shed: %v", status, h.engine.Counters.Fields())
	}
	if v := head.Get("Retry-After"); v != "" {
		if e, err := strconv.ParseFloat(v, 64); err != nil || e < 0 || e > 2 {
			t.Fatalf("Retry-After %q, want 0 to 2 s", v)
		}
	}
}

// Requests over the engine's limit on open requests are rejected.
func TestHandler_OpenRequestLimit(t *testing.T) {
	release := make(chan bool)
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return upstreamtest.RespondDone(c, r) })
	h := newHarness(t, w.Address, 1)
	sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the first request is open", func() bool { return h.engine.OpenRequests() == 1 })
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "b", "")); status != 503 || h.engine.Counters.RejectedOverLimit.Load() != 1 {
		t.Fatalf("status %d, want 503, counted as rejected", status)
	}
	close(release)
	h.settled(t)
}

// Above the soft limit on connections, new requests are rejected with the configured Retry-After.
func TestHandler_RejectsOverSoftLimit(t *testing.T) {
	release := make(chan bool)
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return upstreamtest.RespondDone(c, r) })
	h := newHarness(t, w.Address, 0)
	h.setSoftLimit(1)
	sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the first request is open", func() bool { return h.engine.OpenRequests() == 1 })
	for want, delay := range map[string]time.Duration{"": 0, "0.200": 200 * time.Millisecond} {
		h.handler.SetRetryAfter(delay, delay)
		n := h.engine.Counters.RejectedOverLimit.Load()
		status, _, head := doRequest(t, newRequest(t, h.url, "search", "b"+want, ""))
		if status != 503 || h.engine.Counters.RejectedOverLimit.Load() != n+1 {
			t.Fatalf("status %d, want 503, counted as rejected; headers %v", status, head)
		}
		if got := head.Get("Retry-After"); got != want {
			t.Errorf("Retry-After %q, want %q", got, want)
		}
	}
	close(release)
	h.settled(t)
}

// An open request still gets its response when ForceClose ends it, shortly before the platform kills the process.
func TestHandler_ForceCloseFailsOpenRequest(t *testing.T) {
	release := make(chan bool)
	w := upstreamtest.StartWorker(t, func(net.Conn, *http.Request) bool { <-release; return false })
	h := newHarness(t, w.Address, 0)
	answered := make(chan int, 1)
	go func() {
		rec := httptest.NewRecorder()
		r := httptest.NewRequest("POST", "/search", nil)
		for k, v := range map[string]string{"X-Request-Id": "a", "X-Class": "search", "X-Deadline-Ms": "5000"} {
			r.Header.Set(k, v)
		}
		near, far := net.Pipe()
		defer far.Close()
		h.handler.ServeHTTP(rec, r.WithContext(contextWithConn(r.Context(), h.handler.Conns.track(near))))
		answered <- rec.Code
	}()
	waitFor(t, "the request is at the worker", func() bool { return w.RequestCount() == 1 })
	h.handler.DisableKeepAlives()
	h.handler.ForceClose()
	if code := <-answered; code != 500 || h.engine.Counters.Overdue.Load() != 1 {
		t.Fatalf("status %d, want 500, counted as overdue", code)
	}
	close(release)
	h.settled(t)
}

// After ForceClose nothing is sent, although a decision to send may be ready at the same time and select picks any ready case.
func TestHandler_ForceCloseSendsNothing(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	h.handler.DisableKeepAlives()
	h.handler.ForceClose()
	for i := range 40 { // without the check about half of them would be sent
		status, _, _ := doRequest(t, newRequest(t, h.url, "book", strconv.Itoa(i), ""))
		if status != 503 { // it never ran, so it is shed, and the client may retry
			t.Fatalf("request %d: status %d, want 503", i, status)
		}
	}
	if n := w.RequestCount(); n != 0 {
		t.Fatalf("%d of 40 requests were sent to the worker after ForceClose", n)
	}
	h.settled(t)
}

// Guards against a process that serves by the list with which it started, which may lack a drain, although discovery is only silent: it is not
// up, answers requests with 503 at once and forwards none, until a list arrives or firstListTimeout is over.
func TestHandler_ForwardsNothingByInitialList(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	initial := upstreamtest.ListWithWorker(w.Address)
	initial.Stale = true
	status := func(h *harness, id string) int {
		got, _, head := doRequest(t, newRequest(t, h.url, "search", id, ""))
		if retryAfter := head.Get("Retry-After"); got == http.StatusServiceUnavailable && retryAfter != "0.200" {
			t.Errorf("Retry-After %q, want 0.200", retryAfter)
		}
		return got
	}
	for name, hear := range map[string]func(*harness){
		"a list from discovery":    func(h *harness) { h.engine.UpdateEndpoints(upstreamtest.ListWithWorker(w.Address)) },
		"the list of a sibling":    func(h *harness) { h.handler.InheritEndpoints(initial) },
		"firstListTimeout is over": func(h *harness) { h.handler.startedAt = h.handler.startedAt.Add(-2 * firstListTimeout) },
	} {
		h := newSilentHarness(t, 0)
		h.handler.SetRetryAfter(200*time.Millisecond, time.Second)
		h.engine.UpdateEndpoints(initial)
		sent := w.RequestCount()
		h.handler.startedAt = time.Now().Add(-8 * time.Second) // discovery may be silent for some seconds
		for i := range 3 {
			if got := status(h, "early-"+strconv.Itoa(i)); got != http.StatusServiceUnavailable || h.handler.Up() {
				t.Errorf("%s: status %d, up %v before it, want 503 and not up", name, got, h.handler.Up())
			}
		}
		if n := w.RequestCount() - sent; n != 0 {
			t.Errorf("%s: %d requests forwarded before it", name, n)
		}
		hear(h)
		if got := status(h, "late"); got != http.StatusOK || !h.handler.Up() {
			t.Errorf("%s: status %d, up %v after it, want 200 and up", name, got, h.handler.Up())
		}
	}
}

// The health check passes while a worker is up and the process is not stopping. A stale list counts only after firstListTimeout.
func TestHandler_Up(t *testing.T) {
	h := newSilentHarness(t, 0)
	up := func() int {
		res, err := http.Get(h.url + "/up")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	if up() != 503 {
		t.Fatal("up without a worker")
	}
	l := upstreamtest.ListWithWorker("127.0.0.1:1")
	l.Stale = true
	h.engine.UpdateEndpoints(l)
	if up() != 503 {
		t.Fatal("up with a stale list before firstListTimeout")
	}
	h.handler.startedAt = h.handler.startedAt.Add(-2 * firstListTimeout)
	if up() != 200 {
		t.Fatal("not up with a stale list after firstListTimeout")
	}
	h.handler.startedAt = time.Now()
	if up() != 503 {
		t.Fatal("up with a stale list at the start")
	}
	h.engine.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
	if up() != 200 {
		t.Fatal("not up with a current list")
	}
	h.handler.DisableKeepAlives()
	if up() != 503 {
		t.Fatal("up while stopping")
	}
}

// With keep-alives disabled, requests are served as before, and connections are closed after the response.
func TestHandler_ServesWithKeepAlivesDisabled(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	h.handler.DisableKeepAlives()
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	in := bufio.NewReader(c)
	if status, last, err := readResponse(in); err != nil || status != 200 || !last {
		t.Fatalf("status %d, last response %v, error %v, want 200 and the last response", status, last, err)
	}
	if _, err := in.ReadByte(); err != io.EOF {
		t.Fatalf("the connection was not closed: %v", err)
	}
}

// A client that never reads its response must not occupy its connection and its request forever.
func TestHandler_UnreadResponseTimesOut(t *testing.T) {
	defer func(d time.Duration) { writeTimeout = d }(writeTimeout)
	writeTimeout = 50 * time.Millisecond
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	near, far := net.Pipe() // has no buffer
	defer far.Close()
	h.serve(t, &singleConnListener{conn: near, done: make(chan bool)})
	io.WriteString(far, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the write fails", func() bool { return h.engine.Counters.WriteFailures.Load() == 1 })
}

// singleConnListener is a listener with one connection.
type singleConnListener struct {
	conn net.Conn
	done chan bool
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}

func (l *singleConnListener) Close() error { close(l.done); return nil }

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// The write timeout of a response does not apply to the next response on the same connection.
func TestHandler_WriteTimeoutIsPerResponse(t *testing.T) {
	defer func(d time.Duration) { writeTimeout = d }(writeTimeout)
	writeTimeout = 200 * time.Millisecond
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	in := bufio.NewReader(c)
	for i, want := range []int{200, 200, 503} {
		if status, _, err := readResponse(in); err != nil || status != want {
			t.Fatalf("response %d: status %d, error %v, want %d", i, status, err, want)
		}
		time.Sleep(2 * writeTimeout)
		if i == 0 {
			io.WriteString(c, strings.Replace(rawRequestHead, "Id: a", "Id: b", 1)+"Content-Length: 0\r\n\r\n")
		}
		if i == 1 {
			h.handler.DisableKeepAlives()
			io.WriteString(c, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}
}

// The timeout for reading a request ends with its body, and must not later be mistaken for a disconnect of the client.
func TestHandler_RequestTimeoutEndsWithBody(t *testing.T) {
	defer func(d time.Duration) { requestTimeout = d }(requestTimeout)
	requestTimeout = 300 * time.Millisecond
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(2 * requestTimeout)
		return upstreamtest.RespondDone(c, r)
	})
	h := newHarness(t, w.Address, 0)
	r := newRequest(t, h.url, "search", "a", "body")
	if status, _, _ := doRequest(t, r); status != 200 || h.engine.Counters.ClientDisconnects.Load() != 0 {
		t.Fatalf("status %d, %d disconnects counted, want 200 and 0", status, h.engine.Counters.ClientDisconnects.Load())
	}
}

// A client that does not send its complete request in time after connecting must not occupy a connection.
func TestHandler_SlowRequestsTimeOut(t *testing.T) {
	defer func(d time.Duration) { requestTimeout = d }(requestTimeout)
	requestTimeout = 100 * time.Millisecond
	h := newHarness(t, "", 0)
	for name, send := range map[string]string{
		"nothing": "", "half a head": rawRequestHead, "half a body": rawRequestHead + "Content-Length: 10\r\n\r\nhalf",
		"a chunk": rawRequestHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
	} {
		c := sendRaw(t, h, send)
		stop := make(chan bool)
		if send != "" {
			go func() { // continues byte by byte
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						_, _ = c.Write([]byte("x")) // until the connection is closed
					}
				}
			}()
		}
		if name == "half a body" {
			close(stop)
		}
		if status, closed := readToClose(t, c); status != 0 && status != 400 || !closed {
			t.Errorf("%s: status %d, closed %v, want closed with no response or status 400", name, status, closed)
		}
		if name != "half a body" {
			close(stop)
		}
	}
	if h.engine.Counters.Accepted.Load() != 0 {
		t.Error("an incomplete request was accepted")
	}
}
