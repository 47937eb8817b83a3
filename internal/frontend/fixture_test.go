package frontend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchfork/internal/engine"
	"birchfork/internal/engine/enginetest"
	"birchfork/internal/memory"
	"birchfork/internal/upstream"
	"birchfork/internal/upstream/upstreamtest"
)

// harness is a handler with its server, its engine and at most one worker.
type harness struct {
	engine  *engine.Engine
	pool    *upstream.Pool
	handler *Handler
	url     string

	server *http.Server
	heads  memory.Budget // of the clients
}

// newHarness starts a harness that stops when the test ends. worker is the worker's address, or empty for none: discovery has sent a list with
// it, or an empty one. maxOpen limits the open requests; 0: no limit.
func newHarness(t testing.TB, worker string, maxOpen int) *harness {
	t.Helper()
	h := newSilentHarness(t, maxOpen)
	list := engine.EndpointList{Snapshot: true}
	if worker != "" {
		list = upstreamtest.ListWithWorker(worker)
	}
	h.engine.UpdateEndpoints(list)
	return h
}

// newSilentHarness is newHarness without a list from discovery.
func newSilentHarness(t testing.TB, maxOpen int) *harness {
	t.Helper()
	h := &harness{engine: enginetest.New(t, maxOpen)}
	d := net.Dialer{Timeout: 250 * time.Millisecond}
	h.pool = upstream.NewPool(func(ctx context.Context, a string) (net.Conn, error) { return d.DialContext(ctx, "tcp", a) },
		&h.engine.Counters, 8, time.Minute)
	h.engine.OnEndpointRetired(func(w engine.RetiredEndpoint) { h.pool.CloseIdleTo(w.Address) })
	h.heads.SetLimit(8 << 20)
	clients := &ConnTracker{SoftLimit: 50, Counters: &h.engine.Counters, HeadBudget: &h.heads}
	h.handler = NewHandler(h.engine, &upstream.Transport{Pool: h.pool, Counters: &h.engine.Counters}, clients)
	h.handler.BodyBudget.SetLimit(1 << 20)
	s := httptest.NewUnstartedServer(nil)
	s.Listener = clients.WrapListener(s.Listener)
	s.Config = h.handler.HTTPServer()
	s.Start()
	h.server = s.Config
	t.Cleanup(func() {
		s.Close()
		h.pool.Close()
	})
	h.url = s.URL
	return h
}

// settled waits until no attempt is in flight and no connection to a worker is in use, as must be the case however requests end.
func (h *harness) settled(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		var ended int64
		for i := range h.engine.Counters.Outcomes {
			ended += h.engine.Counters.Outcomes[i].Load()
		}
		open, idle := h.pool.Counts()
		if ended == h.engine.Counters.AttemptsSent.Load() && open == idle && h.engine.OpenRequests() == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d of %d attempts ended, %d connections in use", ended, h.engine.Counters.AttemptsSent.Load(), open-idle)
		}
	}
}

// setSoftLimit sets the soft limit without the evictions of ConnTracker.SetLimits.
func (h *harness) setSoftLimit(n int) {
	h.handler.Conns.mu.Lock()
	defer h.handler.Conns.mu.Unlock()
	h.handler.Conns.SoftLimit = n
}

// countClass counts the connections of an eviction class.
func (h *harness) countClass(class evictionClass) (n int) {
	h.handler.Conns.mu.Lock()
	defer h.handler.Conns.mu.Unlock()
	for c := range h.handler.Conns.conns {
		if got, _ := c.evictionClass(time.Now()); got == class {
			n++
		}
	}
	return n
}

// newRequest returns a valid request.
func newRequest(t testing.TB, url, class, id, body string) *http.Request {
	t.Helper()
	r, err := http.NewRequest("POST", url+"/"+class+"/x%20y?q=1", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Tenant": "acme", "X-Deadline-Ms": "5000"} {
		r.Header.Set(k, v)
	}
	return r
}

// doRequest sends a request and returns the status, the body and the headers of the response.
func doRequest(t testing.TB, r *http.Request) (int, string, http.Header) {
	t.Helper()
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(b), res.Header
}

// rawRequestHead is the head of a request without the header that frames the body and the final empty line.
const rawRequestHead = "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\n"

// sendRaw writes bytes on a new connection and returns it.
func sendRaw(t *testing.T, h *harness, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// readResponse reads a response to the end of its body. It returns the status, which is 0 if the head cannot be read, and whether the
// response announces that the connection is closed after it.
func readResponse(in *bufio.Reader) (status int, last bool, err error) {
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, false, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, res.Close, err
}

// serve serves a further listener with the harness's handler until the test ends.
func (h *harness) serve(t *testing.T, listener net.Listener) {
	t.Helper()
	server := h.handler.HTTPServer()
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(h.handler.Conns.WrapListener(listener)) }() // ends when the server is closed
}

// readToClose reads a response and returns its status, 0 if there is none, and whether the connection ends after it without further data.
func readToClose(t *testing.T, c net.Conn) (status int, closed bool) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(c)
	status, _, err := readResponse(in)
	if status == 0 {
		return 0, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	}
	_, err = in.ReadByte()
	return status, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// waitFor waits until ok returns true. what is the condition in words, for the failure message.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out after 10 s waiting until " + what)
		}
	}
}

// startGatedWorker starts a worker that answers only after open has been called.
func startGatedWorker(t *testing.T) (w *upstreamtest.Worker, open func()) {
	t.Helper()
	release := make(chan bool)
	w = upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return upstreamtest.RespondDone(c, r) })
	var opened atomic.Bool
	open = func() {
		if !opened.Swap(true) {
			close(release)
		}
	}
	t.Cleanup(open)
	return w, open
}

// serverSideConn returns the handler's side of the only client connection.
func serverSideConn(t *testing.T, h *harness) (c *clientConn) {
	t.Helper()
	tracker := h.handler.Conns
	waitFor(t, "the connection is tracked", func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		for conn := range tracker.conns {
			c = conn
		}
		return c != nil
	})
	return c
}

// connectClient connects a client to a tracker and returns the tracker's side and the client's side of the connection.
func connectClient(t *testing.T, tracker *ConnTracker) (*clientConn, net.Conn) {
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
	conn := tracker.track(near)
	t.Cleanup(func() {
		_ = conn.Close()
		far.Close()
	})
	return conn, far
}
