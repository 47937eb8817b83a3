package frontend

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/engine/enginetest"
	"birchfork/internal/upstream"
)

// Crossings at an end, each forced on real sockets: docs/endings.md names the end that each belongs to.

// startGatedWorker is a worker that answers only once it is opened; it tells each request that it has.
func startGatedWorker(t *testing.T) (w *fakeWorker, open func()) {
	t.Helper()
	release := make(chan bool)
	w = startWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return respondDone(c, r) })
	var opened atomic.Bool
	open = func() {
		if !opened.Swap(true) {
			close(release)
		}
	}
	t.Cleanup(open)
	return w, open
}

// serverSideConn is the front's side of its one connection.
func serverSideConn(t *testing.T, h *harness) (c *clientConn) {
	t.Helper()
	tracker := h.handler.Conns
	waitFor(t, "the connection is known", func() bool {
		tracker.mu.Lock()
		defer tracker.mu.Unlock()
		for c = range tracker.conns {
		}
		return c != nil
	})
	return c
}

// At the end of all an order to send and the end are both ready, and which of two ready cases a select takes is chance.
func TestHandler_ForceCloseSendsNothing(t *testing.T) {
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	h.handler.DisableKeepAlives()
	h.handler.ForceClose()
	for i := range 40 { // without the guard half of them go out
		status, _, _ := doRequest(t, newRequest(t, h.url, "book", strconv.Itoa(i), ""))
		if status != 503 { // nothing of it ran: a refusal, after which the client may come again
			t.Fatalf("request %d: status %d", i, status)
		}
	}
	if n := w.requestCount(); n != 0 {
		t.Fatalf("%d of 40 requests that were read after the end were sent on", n)
	}
	h.settled(t)
}

// net/http stops looking at the first byte behind a request, so a client that goes after that was seen only by its answer.
func TestHandler_SeesClientGoBehindSurplusBytes(t *testing.T) {
	w, open := startGatedWorker(t)
	h := newHarness(t, w.addr, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.requestCount() == 1 })
	serverSide := serverSideConn(t, h)
	io.WriteString(c, "POST /search HT")
	waitFor(t, "the further bytes are read", func() bool {
		serverSide.mu.Lock()
		defer serverSide.mu.Unlock()
		return serverSide.surplus
	})
	c.Close()
	waitFor(t, "the client counts as gone", func() bool { return h.engine.Counters.ClientsGone.Load() == 1 })
	open()
	h.settled(t)
}

// Whoever sends on and on behind its request is no client to wait for, and what it sends takes no memory.
func TestHandler_SurplusFloodEndsRequest(t *testing.T) {
	w, _ := startGatedWorker(t)
	h := newHarness(t, w.addr, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.requestCount() == 1 })
	go c.Write(make([]byte, 4*maxSurplusBytes))
	waitFor(t, "the client counts as gone", func() bool { return h.engine.Counters.ClientsGone.Load() == 1 })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if b, _ := io.ReadAll(c); len(b) != 0 {
		t.Fatalf("it was told %q", b)
	}
}

// A client that has ended its sending alone still reads: it must not take net/http's own empty answer for a result.
func TestHandler_HalfClosedClientGetsNoResponse(t *testing.T) {
	w, _ := startGatedWorker(t)
	h := newHarness(t, w.addr, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.requestCount() == 1 })
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if len(b) != 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("it was told %q, %v", b, err)
	}
	waitFor(t, "it counts as gone", func() bool { return h.engine.Counters.ClientsGone.Load() == 1 })
}

// departedClient is the front's side of a connection whose client has left, and nobody has read that.
func departedClient(t *testing.T) *clientConn {
	t.Helper()
	c, far := connectClient(t, &ConnTracker{Counters: new(engine.Counters)})
	if c.clientGone() {
		t.Fatal("a client that is there counts as gone")
	}
	far.Close()
	waitFor(t, "its leaving is here", c.clientGone)
	return c
}

// A client whose leaving has come and was not read yet, as after a stall, must get nothing sent on.
func TestTransport_SendsNothingForGoneClient(t *testing.T) {
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	_, a := openAttempt(t, h.engine, "search", 5*time.Second)
	(&Transport{Pool: h.pool, Counters: &h.engine.Counters}).do(a, &upstreamRequest{method: "POST", target: "/search", id: "id-1", clientConn: departedClient(t)})
	if h.engine.Counters.Outcomes[dispatch.ResultNotSent].Load() != 1 || w.requestCount() != 0 {
		t.Fatalf("%d requests at the worker, %v", w.requestCount(), h.engine.Counters.Fields())
	}
}

// A request that is read after its client has left is not opened at all.
func TestHandler_GoneClientIsNotOpened(t *testing.T) {
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		c, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, strings.Replace(rawRequestHead, "Id: a", fmt.Sprintf("Id: %d", i), 1)+"Content-Length: 4\r\n\r\nbody")
		c.Close()
	}
	delayed := &delayedListener{Listener: listener, ready: make(chan bool)}
	server := h.handler.HTTPServer()
	defer server.Close()
	go server.Serve(h.handler.Conns.WrapListener(delayed))
	close(delayed.ready) // all of it has come, and all have left, before the first is read
	waitFor(t, "all were read", func() bool { return h.engine.Counters.ClientsGoneEarly.Load() == 20 })
	if sent, accepted := h.engine.Counters.AttemptsSent.Load(), h.engine.Counters.Accepted.Load(); sent != 0 || accepted != 0 || w.requestCount() != 0 {
		t.Fatalf("%d opened, %d attempts, %d at the worker", accepted, sent, w.requestCount())
	}
}

// delayedListener is a listener whose connections are accepted once ready is closed.
type delayedListener struct {
	net.Listener
	ready chan bool
}

func (l *delayedListener) Accept() (net.Conn, error) {
	<-l.ready
	return l.Listener.Accept()
}

// setSmallReceiveBuffer leaves a client little room for what it has not read, roomy the front all that it has to say.
func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	return errors.Join(controlErr, err)
}

type largeSendBufferListener struct{ net.Listener }

func (l largeSendBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(2 << 20)
	}
	return c, err
}

// A close over unread bytes resets the connection, and the rest of the answer that the kernel still has goes with it.
func TestHandler_FinalResponseSurvivesSurplusBytes(t *testing.T) {
	for _, late := range []time.Duration{lingerTimeout / 4, 2 * lingerTimeout} { // while we wait for the client's close, and after
		testLastResponse(t, late)
	}
}

// testLastResponse is one request whose client sends something behind the answer and reads that so late.
func testLastResponse(t *testing.T, late time.Duration) {
	t.Helper()
	const size = 512 << 10 // more than a client takes before it reads
	result := strings.Repeat("r", size)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, okHead+chunk(statusLine(r.Header.Get("X-Request-Id"), "done", `,"result":"`+result+`"`))+"0\r\n\r\n")
		return true
	})
	h := newHarness(t, w.addr, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := h.handler.HTTPServer()
	defer server.Close()
	go server.Serve(h.handler.Conns.WrapListener(largeSendBufferListener{l}))
	d := net.Dialer{Control: setSmallReceiveBuffer}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The first request's answer is the last one, as something came behind it.
	io.WriteString(c, strings.Replace(rawRequestHead, "Host: h", "Host: h\r\nConnection: close", 1)+"Content-Length: 0\r\n\r\n")
	serverSide := serverSideConn(t, h)
	waitFor(t, "the answer is with the kernel", func() bool {
		serverSide.mu.Lock()
		defer serverSide.mu.Unlock()
		return serverSide.noMoreRequests && !serverSide.responding && !serverSide.awaitingResponse
	})
	io.WriteString(c, "POST /search HTTP/1.1\r\n")
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(late)
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != size {
		t.Fatalf("read %v late: %d of %d bytes came, %v", late, n, size, err)
	}
}

// A further attempt tells its worker what is left to the client then, not what was left at the first.
func TestTransport_RetrySendsTimeLeft(t *testing.T) {
	type observation struct {
		at time.Time
		ms int64
	}
	observations := make(chan observation, 8)
	first := atomic.Bool{}
	first.Store(true)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool {
		ms, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
		observations <- observation{time.Now(), ms}
		if first.Swap(false) {
			time.Sleep(60 * time.Millisecond) // time that the first attempt takes from the client
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return respondDone(c, r)
	})
	h := newHarness(t, w.addr, 0)
	h.handler.Engine = enginetest.NewWith(t, 0, strings.Replace(enginetest.Settings, `"attempts_cap":1`, `"attempts_cap":3`, 1))
	h.handler.Engine.UpdateEndpoints(listWithWorker(w.addr))
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", "")); status != 200 {
		t.Fatalf("status %d", status)
	}
	retried, two := <-observations, <-observations
	if elapsed := two.at.Sub(retried.at).Milliseconds(); elapsed < 60 || two.ms > retried.ms-elapsed+1 {
		t.Fatalf("%d ms told at first, %d ms %d ms later", retried.ms, two.ms, elapsed)
	}
}

// The time in which repeats are dropped may end while a connection comes up.
func TestTransport_RetryStaysWithinWindow(t *testing.T) {
	e := enginetest.NewWith(t, 0, strings.NewReplacer(`"attempts_cap":1`, `"attempts_cap":3`, `"name":"search","deadline":5,"aim":0.4,"effect":"free"`,
		`"name":"search","deadline":5,"aim":4,"effect":"guarded","group":"all","window":0.2`).Replace(enginetest.Settings))
	w := startWorker(t, func(c net.Conn, r *http.Request) bool { // whichever is tried first fails
		io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	l := listWithWorker(w.addr)
	l.Endpoints = append(l.Endpoints, l.Endpoints[0])
	l.Endpoints[1].Name = "v"
	e.UpdateEndpoints(l)
	h := newHarness(t, "", 0)
	var dials atomic.Int32
	pool := upstream.NewPool(func(ctx context.Context, a string) (net.Conn, error) {
		if dials.Add(1) == 2 { // the repeat's connection comes up when its window is over
			time.Sleep(250 * time.Millisecond)
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", a)
	}, &e.Counters, 8, time.Nanosecond) // none is kept
	defer pool.Close()
	h.handler.Engine, h.handler.Transport = e, &Transport{Pool: pool, Counters: &e.Counters}
	status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", ""))
	if dials.Load() < 2 || w.requestCount() != 1 || status == 200 {
		t.Fatalf("status %d, %d requests at workers, %d dials", status, w.requestCount(), dials.Load())
	}
	if e.Counters.Outcomes[dispatch.ResultNotSent].Load() != 1 {
		t.Fatal(e.Counters.Fields())
	}
}
