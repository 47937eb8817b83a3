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
)

// Crossings at an end, each forced on real sockets: docs/endings.md names the end that each belongs to.

// gate is a worker that answers only once it is opened; it tells each request that it has.
func gate(t *testing.T) (w *fakeRunner, open func()) {
	t.Helper()
	release := make(chan bool)
	w = runner(t, func(c net.Conn, r *http.Request) bool { <-release; return serves(c, r) })
	var done atomic.Bool
	open = func() {
		if !done.Swap(true) {
			close(release)
		}
	}
	t.Cleanup(open)
	return w, open
}

// serverConn is the front's side of its one connection.
func serverConn(t *testing.T, g *rig) (c *clientConn) {
	t.Helper()
	clients := g.front.Clients
	until(t, "the connection is known", func() bool {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		for c = range clients.open {
		}
		return c != nil
	})
	return c
}

// At the end of all an order to send and the end are both ready, and which of two ready cases a select takes is chance.
func TestNothingIsSentOnAfterTheEnd(t *testing.T) {
	w := runner(t, serves)
	g := newRig(t, w.addr, 0)
	g.front.Stop()
	g.front.Hurry()
	for i := range 40 { // without the guard half of them go out
		status, _, _ := do(t, request(t, g.url, "book", strconv.Itoa(i), ""))
		if status != 503 { // nothing of it ran: a refusal, after which the client may come again
			t.Fatalf("request %d: status %d", i, status)
		}
	}
	if n := w.requests(); n != 0 {
		t.Fatalf("%d of 40 requests that were read after the end were sent on", n)
	}
	g.settled(t)
}

// net/http stops looking at the first byte behind a request, so a client that goes after that was seen only by its answer.
func TestAClientThatLeavesBehindAFurtherByteIsGone(t *testing.T) {
	w, open := gate(t)
	g := newRig(t, w.addr, 0)
	c := raw(t, g, rawHead+"Content-Length: 0\r\n\r\n")
	until(t, "the worker has it", func() bool { return w.requests() == 1 })
	seen := serverConn(t, g)
	io.WriteString(c, "POST /search HT")
	until(t, "the further bytes are read", func() bool {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		return seen.extra
	})
	c.Close()
	until(t, "the client counts as gone", func() bool { return g.store.Counters.Gone.Load() == 1 })
	open()
	g.settled(t)
}

// Whoever sends on and on behind its request is no client to wait for, and what it sends takes no memory.
func TestAFloodBehindARequestEndsIt(t *testing.T) {
	w, _ := gate(t)
	g := newRig(t, w.addr, 0)
	c := raw(t, g, rawHead+"Content-Length: 0\r\n\r\n")
	until(t, "the worker has it", func() bool { return w.requests() == 1 })
	go c.Write(make([]byte, 4*behindMost))
	until(t, "the client counts as gone", func() bool { return g.store.Counters.Gone.Load() == 1 })
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	if b, _ := io.ReadAll(c); len(b) != 0 {
		t.Fatalf("it was told %q", b)
	}
}

// A client that has ended its sending alone still reads: it must not take net/http's own empty answer for a result.
func TestAClientThatEndsItsSendingIsToldNothing(t *testing.T) {
	w, _ := gate(t)
	g := newRig(t, w.addr, 0)
	c := raw(t, g, rawHead+"Content-Length: 0\r\n\r\n")
	until(t, "the worker has it", func() bool { return w.requests() == 1 })
	c.(*net.TCPConn).CloseWrite()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	b, err := io.ReadAll(c)
	if len(b) != 0 || err != nil && !strings.Contains(err.Error(), "reset") {
		t.Fatalf("it was told %q, %v", b, err)
	}
	until(t, "it counts as gone", func() bool { return g.store.Counters.Gone.Load() == 1 })
}

// goneClient is the front's side of a connection whose client has left, and nobody has read that.
func goneClient(t *testing.T) *clientConn {
	t.Helper()
	c, far := joined(t, &Clients{Counters: new(engine.Counters)})
	if c.gone() {
		t.Fatal("a client that is there counts as gone")
	}
	far.Close()
	until(t, "its leaving is here", c.gone)
	return c
}

// A client whose leaving has come and was not read yet, as after a stall, must get nothing sent on.
func TestNothingIsSentOnForAClientThatHasLeft(t *testing.T) {
	w := runner(t, serves)
	g := newRig(t, w.addr, 0)
	_, a := attemptOf(t, g.store, "search", 5*time.Second)
	(&Runners{Pool: g.pool, Counters: &g.store.Counters}).attempt(a, &call{method: "POST", target: "/search", id: "id-1", client: goneClient(t)})
	if g.store.Counters.Outcomes[dispatch.NotSent].Load() != 1 || w.requests() != 0 {
		t.Fatalf("%d requests at the worker, %v", w.requests(), g.store.Counters.Fields())
	}
}

// A request that is read after its client has left is not opened at all.
func TestARequestWhoseClientHasLeftIsNotOpened(t *testing.T) {
	w := runner(t, serves)
	g := newRig(t, w.addr, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	for i := range 20 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, strings.Replace(rawHead, "Id: a", fmt.Sprintf("Id: %d", i), 1)+"Content-Length: 4\r\n\r\nbody")
		c.Close()
	}
	held := &backlog{Listener: l, ready: make(chan bool)}
	server := g.front.Server()
	defer server.Close()
	go server.Serve(g.front.Clients.Listen(held))
	close(held.ready) // all of it has come, and all have left, before the first is read
	until(t, "all were read", func() bool { return g.store.Counters.GoneEarly.Load() == 20 })
	if sent, taken := g.store.Counters.Sent.Load(), g.store.Counters.Taken.Load(); sent != 0 || taken != 0 || w.requests() != 0 {
		t.Fatalf("%d opened, %d attempts, %d at the worker", taken, sent, w.requests())
	}
}

// backlog is a listener whose connections are accepted once ready is closed.
type backlog struct {
	net.Listener
	ready chan bool
}

func (l *backlog) Accept() (net.Conn, error) {
	<-l.ready
	return l.Listener.Accept()
}

// smallReceive leaves a client little room for what it has not read, roomy the front all that it has to say.
func smallReceive(_, _ string, raw syscall.RawConn) (err error) {
	outer := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	return errors.Join(outer, err)
}

type roomy struct{ net.Listener }

func (l roomy) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(2 << 20)
	}
	return c, err
}

// A close over unread bytes resets the connection, and the rest of the answer that the kernel still has goes with it.
func TestTheLastAnswerArrivesThoughBytesCameBehindTheRequest(t *testing.T) {
	for _, late := range []time.Duration{lingerMost / 4, 2 * lingerMost} { // while we wait for the client's close, and after
		lastAnswer(t, late)
	}
}

// lastAnswer is one request whose client sends something behind the answer and reads that so late.
func lastAnswer(t *testing.T, late time.Duration) {
	t.Helper()
	const size = 512 << 10 // more than a client takes before it reads
	result := strings.Repeat("r", size)
	w := runner(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, okHead+chunk(line(r.Header.Get("X-Request-Id"), "done", `,"result":"`+result+`"`))+"0\r\n\r\n")
		return true
	})
	g := newRig(t, w.addr, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := g.front.Server()
	defer server.Close()
	go server.Serve(g.front.Clients.Listen(roomy{l}))
	d := net.Dialer{Control: smallReceive}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The first request's answer is the last one, as something came behind it.
	io.WriteString(c, strings.Replace(rawHead, "Host: h", "Host: h\r\nConnection: close", 1)+"Content-Length: 0\r\n\r\n")
	seen := serverConn(t, g)
	until(t, "the answer is with the kernel", func() bool {
		seen.mu.Lock()
		defer seen.mu.Unlock()
		return seen.last && !seen.answering && !seen.taken
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
func TestAFurtherAttemptTellsTheTimeThatIsLeft(t *testing.T) {
	type told struct {
		at time.Time
		ms int64
	}
	tells := make(chan told, 8)
	first := atomic.Bool{}
	first.Store(true)
	w := runner(t, func(c net.Conn, r *http.Request) bool {
		ms, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
		tells <- told{time.Now(), ms}
		if first.Swap(false) {
			time.Sleep(60 * time.Millisecond) // time that the first attempt takes from the client
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		return serves(c, r)
	})
	g := newRig(t, w.addr, 0)
	g.front.Store = newStoreOf(t, 0, strings.Replace(basic, `"attempts_cap":1`, `"attempts_cap":3`, 1))
	g.front.Store.News(upAt(w.addr))
	if status, _, _ := do(t, request(t, g.url, "search", "a", "")); status != 200 {
		t.Fatalf("status %d", status)
	}
	one, two := <-tells, <-tells
	if gone := two.at.Sub(one.at).Milliseconds(); gone < 60 || two.ms > one.ms-gone+1 {
		t.Fatalf("%d ms told at first, %d ms %d ms later", one.ms, two.ms, gone)
	}
}

// The time in which repeats are dropped may end while a connection comes up.
func TestARepeatDoesNotGoOutAfterItsWindow(t *testing.T) {
	s := newStoreOf(t, 0, strings.NewReplacer(`"attempts_cap":1`, `"attempts_cap":3`, `"name":"search","deadline":5,"aim":0.4,"effect":"free"`,
		`"name":"search","deadline":5,"aim":4,"effect":"guarded","group":"all","window":0.2`).Replace(basic))
	w := runner(t, func(c net.Conn, r *http.Request) bool { // whichever is tried first fails
		io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	l := upAt(w.addr)
	l.Entries = append(l.Entries, l.Entries[0])
	l.Entries[1].Name = "v"
	s.News(l)
	g := newRig(t, "", 0)
	var dials atomic.Int32
	pool := engine.NewPool(func(ctx context.Context, a string) (net.Conn, error) {
		if dials.Add(1) == 2 { // the repeat's connection comes up when its window is over
			time.Sleep(250 * time.Millisecond)
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", a)
	}, &s.Counters, 8, time.Nanosecond) // none is kept
	defer pool.Close()
	g.front.Store, g.front.Runners = s, &Runners{Pool: pool, Counters: &s.Counters}
	status, _, _ := do(t, request(t, g.url, "search", "a", ""))
	if dials.Load() < 2 || w.requests() != 1 || status == 200 {
		t.Fatalf("status %d, %d requests at workers, %d dials", status, w.requests(), dials.Load())
	}
	if s.Counters.Outcomes[dispatch.NotSent].Load() != 1 {
		t.Fatal(s.Counters.Fields())
	}
}
