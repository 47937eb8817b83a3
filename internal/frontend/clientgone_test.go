package frontend

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/upstream"
	"birchfork/internal/upstream/upstreamtest"
)

// A client that closes its connection ends its request, but not the attempt in progress at the worker.
func TestHandler_ClientCloseEndsRequest(t *testing.T) {
	release := make(chan bool)
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return upstreamtest.RespondDone(c, r) })
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the request is at the worker", func() bool { return w.RequestCount() == 1 })
	c.Close()
	waitFor(t, "the disconnect is counted", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
	close(release)
	h.settled(t) // the attempt still completes
	if h.engine.Counters.Served.Load() != 0 || h.engine.Counters.Outcomes[dispatch.ResultOK].Load() != 1 {
		t.Fatal("want no request served and 1 successful attempt:", h.engine.Counters.Fields())
	}
}

// net/http stops reading at the first byte after a request. A client that sends such bytes and then disconnects would be noticed only when
// the response is written.
func TestHandler_DetectsDisconnectAfterSurplusBytes(t *testing.T) {
	w, open := startGatedWorker(t)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the request is at the worker", func() bool { return w.RequestCount() == 1 })
	serverSide := serverSideConn(t, h)
	io.WriteString(c, "POST /search HT")
	waitFor(t, "the surplus bytes are read", func() bool {
		serverSide.mu.Lock()
		defer serverSide.mu.Unlock()
		return serverSide.surplus
	})
	c.Close()
	waitFor(t, "the disconnect is counted", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
	open()
	h.settled(t)
}

// A client that sends an endless stream after its request is disconnected, and its data takes no memory.
func TestHandler_SurplusFloodEndsRequest(t *testing.T) {
	w, _ := startGatedWorker(t)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the request is at the worker", func() bool { return w.RequestCount() == 1 })
	go func() { _, _ = c.Write(make([]byte, 4*maxSurplusBytes)) }() // until the connection is closed
	waitFor(t, "the disconnect is counted", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if b, _ := io.ReadAll(c); len(b) != 0 {
		t.Fatalf("the client received %q, want nothing", b)
	}
}

// A client that has closed only its sending direction still reads: it must not receive the empty response that net/http writes by default.
func TestHandler_HalfClosedClientGetsNoResponse(t *testing.T) {
	w, _ := startGatedWorker(t)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the request is at the worker", func() bool { return w.RequestCount() == 1 })
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if len(b) != 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("the client received %q, %v, want nothing", b, err)
	}
	waitFor(t, "the disconnect is counted", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
}

// A request that is read after its client has disconnected is not opened at the engine.
func TestHandler_DisconnectedClientIsNotOpened(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
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
	h.serve(t, delayed)
	close(delayed.ready) // all requests have arrived, and all clients have disconnected, before the first is read
	waitFor(t, "all requests have been read", func() bool { return h.engine.Counters.EarlyClientDisconnects.Load() == 20 })
	if sent, accepted := h.engine.Counters.AttemptsSent.Load(), h.engine.Counters.Accepted.Load(); sent != 0 || accepted != 0 || w.RequestCount() != 0 {
		t.Fatalf("%d requests opened, %d attempts sent, %d requests at the worker, want 0", accepted, sent, w.RequestCount())
	}
}

// delayedListener is a listener that accepts connections once ready is closed.
type delayedListener struct {
	net.Listener
	ready chan bool
}

func (l *delayedListener) Accept() (net.Conn, error) {
	<-l.ready
	return l.Listener.Accept()
}

// disconnectedClient returns the handler's side of a connection whose client has disconnected, which has not been read yet.
func disconnectedClient(t *testing.T) *clientConn {
	t.Helper()
	c, far := connectClient(t, &ConnTracker{Counters: new(engine.Counters)})
	if c.ClientGone() {
		t.Fatal("a connected client is reported as gone")
	}
	far.Close()
	waitFor(t, "the disconnect has arrived", c.ClientGone)
	return c
}

// Nothing must be sent to a worker for a client whose disconnect has arrived, even if it has not been read yet, for example after a stall.
func TestTransport_SendsNothingForDisconnectedClient(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	_, a := upstreamtest.OpenAttempt(t, h.engine, "search", 5*time.Second)
	(&upstream.Transport{Pool: h.pool, Counters: &h.engine.Counters}).Do(a, &upstream.Request{Method: "POST", Target: "/search", ID: "id-1", Client: disconnectedClient(t)})
	if h.engine.Counters.Outcomes[dispatch.ResultNotSent].Load() != 1 || w.RequestCount() != 0 {
		t.Fatalf("%d requests at the worker, want 0 and 1 attempt not sent: %v", w.RequestCount(), h.engine.Counters.Fields())
	}
}
