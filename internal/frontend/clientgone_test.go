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

// A client that closes its connection ends its request, though not the attempt that the worker has.
func TestHandler_ClientCloseEndsRequest(t *testing.T) {
	release := make(chan bool)
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return upstreamtest.RespondDone(c, r) })
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.RequestCount() == 1 })
	c.Close()
	waitFor(t, "the client counts as gone", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
	close(release)
	h.settled(t) // the attempt still ends properly
	if h.engine.Counters.Served.Load() != 0 || h.engine.Counters.Outcomes[dispatch.ResultOK].Load() != 1 {
		t.Fatal(h.engine.Counters.Fields())
	}
}

// net/http stops reading at the first byte after a request, and would notice a client that leaves after that only when it writes the
// response.
func TestHandler_SeesClientGoBehindSurplusBytes(t *testing.T) {
	w, open := startGatedWorker(t)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.RequestCount() == 1 })
	serverSide := serverSideConn(t, h)
	io.WriteString(c, "POST /search HT")
	waitFor(t, "the further bytes are read", func() bool {
		serverSide.mu.Lock()
		defer serverSide.mu.Unlock()
		return serverSide.surplus
	})
	c.Close()
	waitFor(t, "the client counts as gone", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
	open()
	h.settled(t)
}

// A client that sends endlessly after its request is not waited for, and its data takes no memory.
func TestHandler_SurplusFloodEndsRequest(t *testing.T) {
	w, _ := startGatedWorker(t)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.RequestCount() == 1 })
	go func() { _, _ = c.Write(make([]byte, 4*maxSurplusBytes)) }() // until the connection is closed
	waitFor(t, "the client counts as gone", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if b, _ := io.ReadAll(c); len(b) != 0 {
		t.Fatalf("it received %q", b)
	}
}

// A client that has closed only its sending direction still reads: it must not take an empty response of net/http's for a result.
func TestHandler_HalfClosedClientGetsNoResponse(t *testing.T) {
	w, _ := startGatedWorker(t)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.RequestCount() == 1 })
	if err := c.(*net.TCPConn).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if len(b) != 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("it received %q, %v", b, err)
	}
	waitFor(t, "it counts as gone", func() bool { return h.engine.Counters.ClientDisconnects.Load() == 1 })
}

// A request that is read after its client has disconnected is not opened at the engine.
func TestHandler_GoneClientIsNotOpened(t *testing.T) {
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
	close(delayed.ready) // all have arrived, and all clients have left, before the first is read
	waitFor(t, "all were read", func() bool { return h.engine.Counters.EarlyClientDisconnects.Load() == 20 })
	if sent, accepted := h.engine.Counters.AttemptsSent.Load(), h.engine.Counters.Accepted.Load(); sent != 0 || accepted != 0 || w.RequestCount() != 0 {
		t.Fatalf("%d opened, %d attempts, %d at the worker", accepted, sent, w.RequestCount())
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

// departedClient returns the handler's side of a connection whose client has left, which has not been read yet.
func departedClient(t *testing.T) *clientConn {
	t.Helper()
	c, far := connectClient(t, &ConnTracker{Counters: new(engine.Counters)})
	if c.ClientGone() {
		t.Fatal("a client that is there counts as gone")
	}
	far.Close()
	waitFor(t, "its leaving is here", c.ClientGone)
	return c
}

// For a client whose disconnect has arrived and was not read yet, as after a stall, nothing must be sent to a worker.
func TestTransport_SendsNothingForGoneClient(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	_, a := upstreamtest.OpenAttempt(t, h.engine, "search", 5*time.Second)
	(&upstream.Transport{Pool: h.pool, Counters: &h.engine.Counters}).Do(a, &upstream.Request{Method: "POST", Target: "/search", ID: "id-1", Client: departedClient(t)})
	if h.engine.Counters.Outcomes[dispatch.ResultNotSent].Load() != 1 || w.RequestCount() != 0 {
		t.Fatalf("%d requests at the worker, %v", w.RequestCount(), h.engine.Counters.Fields())
	}
}
