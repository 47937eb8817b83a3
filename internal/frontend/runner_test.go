package frontend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

func TestJobGoesOnUnchangedAndItsResultComesBack(t *testing.T) {
	w := runner(t, serves)
	g := newRig(t, w.addr, 0)
	for i, id := range []string{"one", "two"} {
		sent := request(t, g.url, "search", id, "the body")
		sent.Header.Set("Idempotency-Key", "job 7")
		status, body, _ := do(t, sent)
		if status != 200 || body != `made "it"` {
			t.Fatalf("status %d, body %q", status, body)
		}
		g.settled(t)
		r := w.seen[i]
		if r.Method != "POST" || r.RequestURI != "/search/x%20y?q=1" || w.body[i] != "the body" || r.Header.Get("X-Request-Id") != id {
			t.Fatalf("the worker saw %s %s, %q, %v", r.Method, r.RequestURI, w.body[i], r.Header)
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
	if w.conns() != 1 {
		t.Fatalf("%d connections for two requests in turn", w.conns())
	}
}

// Each row of the protocol's table, and what a broken worker may make of it.
func TestOutcomes(t *testing.T) {
	long := strings.Repeat("x", lineMost+8192)
	for _, c := range []struct {
		name   string
		answer string // to the request ID
		keep   bool   // the worker leaves the connection open
		want   dispatch.Result
		reused bool
		bad    int64
	}{
		{"done", okHead + chunk(line("ID", "done", `,"result":"r"`)) + "0\r\n\r\n", true, dispatch.OK, true, 0},
		{"done, then closed", okHead + chunk(line("ID", "done", `,"result":""`)), false, dispatch.OK, false, 0},
		{"done without a chunked form", "HTTP/1.1 200 OK\r\n\r\n" + line("ID", "done", `,"result":"r"`), false, dispatch.OK, false, 0},
		{"done, told to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" +
			chunk(line("ID", "done", `,"result":"r"`)) + "0\r\n\r\n", true, dispatch.OK, false, 0},
		{"failed", okHead + chunk(line("ID", "failed", "")) + "0\r\n\r\n", true, dispatch.Failed, true, 0},
		{"returned", okHead + chunk(line("ID", "returned", "")) + "0\r\n\r\n", true, dispatch.Full, true, 0},
		{"lost", okHead + chunk(line("ID", "lost", "")) + "0\r\n\r\n", true, dispatch.Disconnected, true, 0},
		{"500", "HTTP/1.1 500 x\r\nContent-Length: 2\r\n\r\nno", true, dispatch.Failed, true, 0},
		{"503 not run", "HTTP/1.1 503 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.Full, true, 0},
		{"504 not run", "HTTP/1.1 504 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.Full, true, 0},
		{"503 that may have run", "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.Failed, true, 0},
		{"500 not run", "HTTP/1.1 500 x\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true, dispatch.Failed, true, 0},
		{"400", "HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.NotSent, true, 0},
		{"404", "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", true, dispatch.NotSent, true, 0},
		{"closed at once", "", false, dispatch.Disconnected, false, 0},
		{"half a head", "HTTP/1.1 200 OK\r\nTransf", false, dispatch.Disconnected, false, 1},
		{"ended before the last line", okHead + chunk(line("ID", "started", "")) + "0\r\n\r\n", true, dispatch.Disconnected, false, 0},
		{"broke after a start", okHead + chunk(line("ID", "started", "")), false, dispatch.Disconnected, false, 0},
		{"a cut chunk", okHead + "ff\r\n" + `{"id":"ID","state":"done","result":"r"}`, false, dispatch.Disconnected, false, 0},
		{"half a last line", okHead + chunk(`{"id":"ID","state":"done","resu`) + "0\r\n\r\n", true, dispatch.Disconnected, false, 1},
		{"no HTTP", "hello\r\n\r\n", true, dispatch.Disconnected, false, 1},
		{"an endless head", "HTTP/1.1 200 OK\r\nX: " + long, true, dispatch.Disconnected, false, 1},
		{"an endless line", okHead + chunk(long), true, dispatch.Disconnected, false, 1},
		{"another's id", okHead + chunk(line("other", "done", `,"result":"r"`)) + "0\r\n\r\n", true, dispatch.Disconnected, false, 1},
		{"an unknown state", okHead + chunk(line("ID", "resting", "")) + "0\r\n\r\n", true, dispatch.Disconnected, false, 1},
		{"no result", okHead + chunk(line("ID", "done", "")) + "0\r\n\r\n", true, dispatch.Disconnected, false, 1},
		{"a share beyond 1", okHead + chunk(line("ID", "running", `,"share":1.5`)) + "0\r\n\r\n", true, dispatch.Disconnected, false, 1},
		{"a bad chunk size", okHead + "zz\r\n", true, dispatch.Disconnected, false, 1},
		{"empty lines between", okHead + chunk("\n\r\n"+line("ID", "done", `,"result":"r"`)+"\n") + "0\r\n\r\n", true, dispatch.OK, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := runner(t, func(conn net.Conn, r *http.Request) bool {
				io.WriteString(conn, c.answer)
				return c.keep
			})
			g := newRig(t, w.addr, 0)
			status, _, _ := do(t, request(t, g.url, "book", "ID", ""))
			g.settled(t)
			if got := g.store.Counters.Outcomes[c.want].Load(); got != 1 {
				t.Fatalf("no outcome %d: %v", c.want, g.store.Counters.Fields())
			}
			if (status == 200) != (c.want == dispatch.OK) || (status == 400) != (c.want == dispatch.NotSent) {
				t.Errorf("status %d", status)
			}
			if refused := status == 503 || status == 429; refused != (c.want == dispatch.Full) {
				t.Errorf("status %d for a job that may have run", status)
			}
			if _, idle := g.pool.Open(); (idle == 1) != c.reused {
				t.Errorf("%d idle connections", idle)
			}
			if n := g.store.Counters.BadRunnerLines.Load(); n != c.bad {
				t.Errorf("%d bad lines counted", n)
			}
		})
	}
}

func TestWorkerThatRefusesConnectionsNeverRanIt(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l.Close()
	g := newRig(t, l.Addr().String(), 0)
	if status, _, _ := do(t, request(t, g.url, "book", "id-1", "")); status != 503 {
		t.Fatalf("status %d, want a refusal", status)
	}
	if g.settled(t); g.store.Counters.Outcomes[dispatch.Unreachable].Load() != 1 {
		t.Fatal(g.store.Counters.Fields())
	}
}

// attemptOf opens a request and returns its first attempt.
func attemptOf(t *testing.T, s *engine.Store, class string, left time.Duration) (*engine.Request, *engine.Attempt) {
	t.Helper()
	r, err := s.Open(engine.Job{ID: "id-1", Class: class, Left: left})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Leave)
	o := <-r.Orders()
	if o.Attempt == nil {
		t.Fatalf("order %+v", o)
	}
	return r, o.Attempt
}

// piped is a Runners whose connections are the given ones.
func piped(s *engine.Store, dial engine.Dial) *Runners {
	return &Runners{Pool: engine.NewPool(dial, &s.Counters, 8, time.Minute), Counters: &s.Counters}
}

// closeSpy tells when a connection is closed.
type closeSpy struct {
	net.Conn
	closed func()
	linger *int // seconds
}

func (c closeSpy) SetLinger(seconds int) error {
	*c.linger = seconds
	return nil
}

func (c closeSpy) Close() error {
	c.closed()
	return c.Conn.Close()
}

// A vanished machine takes the request and says nothing: the attempt must end by itself, its connection with it, and
// before its end is told: a further attempt would be a second copy while the connection is open. What the kernel holds of the
// request goes with it.
func TestSilentWorkerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, 0)
		s.News(upAt("127.0.0.1:1"))
		near, far := net.Pipe()
		go io.Copy(io.Discard, far)
		early, linger := false, -1
		spy := closeSpy{near, func() { early = early || s.Counters.Outcomes[dispatch.TimedOut].Load() == 0 }, &linger}
		x := piped(s, func(context.Context, string) (net.Conn, error) { return spy, nil })
		_, a := attemptOf(t, s, "quick", 60*time.Millisecond)
		x.attempt(a, &call{method: "POST", target: "/search", id: "id-1"})
		if s.Counters.Outcomes[dispatch.TimedOut].Load() != 1 {
			t.Fatal(s.Counters.Fields())
		}
		if open, _ := x.Pool.Open(); open != 0 || !early || linger != 0 {
			t.Fatalf("%d connections stayed open; closed before the end was told: %v; what is written lingers for %d s", open, early, linger)
		}
	})
}

// The other idle connections of a machine that vanished would swallow further jobs; a new one tells that it is gone.
func TestSilentWorkerLosesItsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore(t, 0)
		s.News(upAt("127.0.0.1:1"))
		x := piped(s, func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go io.Copy(io.Discard, far)
			return near, nil
		})
		var idle []*engine.Conn
		for range 2 {
			c, err := x.Pool.Get(t.Context(), "127.0.0.1:1")
			if err != nil {
				t.Fatal(err)
			}
			idle = append(idle, c)
		}
		for _, c := range idle {
			x.Pool.Put(c)
		}
		_, a := attemptOf(t, s, "search", 5*time.Second)
		x.attempt(a, &call{method: "POST", target: "/search", id: "id-1"})
		if open, _ := x.Pool.Open(); open != 0 || s.Counters.Reused.Load() != 1 {
			t.Fatalf("%d connections are left, %d were used again", open, s.Counters.Reused.Load())
		}
	})
}

// The request's last byte never left, so the job cannot have run: not even an unsafe one is lost.
func TestWorkerThatEndsInsideTheRequestNeverRanIt(t *testing.T) {
	s := newStore(t, 0)
	s.News(upAt("127.0.0.1:1"))
	near, far := net.Pipe()
	go func() {
		io.ReadFull(far, make([]byte, 30))
		far.Close()
	}()
	x := piped(s, func(context.Context, string) (net.Conn, error) { return near, nil })
	_, a := attemptOf(t, s, "search", 5*time.Second)
	x.attempt(a, &call{method: "POST", target: "/search", id: "id-1", body: make([]byte, 1000)})
	if s.Counters.Outcomes[dispatch.Unreachable].Load() != 1 {
		t.Fatal(s.Counters.Fields())
	}
}

// Nothing may go to a worker that was told to drain while the connection to it was set up.
func TestDrainDuringTheDial(t *testing.T) {
	s := newStore(t, 0)
	s.News(upAt("127.0.0.1:1"))
	near, far := net.Pipe()
	x := piped(s, func(context.Context, string) (net.Conn, error) {
		l := upAt("127.0.0.1:1")
		l.Entries[0].State = dispatch.Draining
		s.News(l)
		return near, nil
	})
	r, a := attemptOf(t, s, "search", 5*time.Second)
	x.attempt(a, &call{method: "POST", target: "/search", id: "id-1"})
	if s.Counters.Outcomes[dispatch.NotSent].Load() != 1 {
		t.Fatal(s.Counters.Fields())
	}
	far.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	if n, err := far.Read(make([]byte, 1)); n != 0 || errors.Is(err, io.EOF) {
		t.Fatalf("%d bytes came, %v: the unused connection should stay, silent", n, err)
	}
	r.Leave()
}

// A worker is suspected when it takes no connection, so a dial that our own time cut short must not count as that.
func TestDialThatEnds(t *testing.T) {
	for _, c := range []struct {
		name string
		dial engine.Dial
		want dispatch.Result
	}{
		{"by its own time-out", func(context.Context, string) (net.Conn, error) { return nil, os.ErrDeadlineExceeded }, dispatch.Unreachable},
		{"by the request's deadline", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, dispatch.NotSent},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newStore(t, 0)
			s.News(upAt("127.0.0.1:1"))
			x := piped(s, c.dial)
			_, a := attemptOf(t, s, "quick", 60*time.Millisecond)
			x.attempt(a, &call{method: "POST", target: "/search", id: "id-1"})
			if s.Counters.Outcomes[c.want].Load() != 1 {
				t.Errorf("%s: %v", c.name, s.Counters.Fields())
			}
		})
	}
}

func TestNoDescriptorIsNoFaultOfTheWorkers(t *testing.T) {
	s := newStore(t, 0)
	s.News(upAt("127.0.0.1:1"))
	x := &Runners{Pool: engine.NewPool(nil, &s.Counters, 0, time.Minute), Counters: &s.Counters}
	_, a := attemptOf(t, s, "search", 5*time.Second)
	x.attempt(a, &call{})
	if s.Counters.Outcomes[dispatch.NotSent].Load() != 1 || s.Counters.NoDescriptor.Load() != 1 {
		t.Fatal(s.Counters.Fields())
	}
}

// An answer that goes on for ever after its outcome must not hold its connection for ever, nor be mixed with the next.
func TestConnectionWithAnUnfinishedAnswerIsClosed(t *testing.T) {
	w := runner(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, okHead+chunk(line(r.Header.Get("X-Request-Id"), "done", `,"result":"r"`)))
		for {
			if _, err := io.WriteString(c, chunk(strings.Repeat("x", 8000))); err != nil {
				return false
			}
		}
	})
	g := newRig(t, w.addr, 0)
	if status, _, _ := do(t, request(t, g.url, "search", "a", "")); status != 200 {
		t.Fatalf("status %d", status)
	}
	g.settled(t)
	if open, _ := g.pool.Open(); open != 0 {
		t.Fatalf("%d connections open", open)
	}
}

// A late second line of an earlier answer must not pass for the answer of the next request.
func TestReusedConnectionStartsClean(t *testing.T) {
	first := true
	w := runner(t, func(c net.Conn, r *http.Request) bool {
		id := r.Header.Get("X-Request-Id")
		more := ""
		if first {
			more = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		}
		first = false
		io.WriteString(c, okHead+chunk(line(id, "done", `,"result":"`+id+`"`))+"0\r\n\r\n"+more)
		return true
	})
	g := newRig(t, w.addr, 0)
	for _, id := range []string{"a", "b"} {
		if status, body, _ := do(t, request(t, g.url, "search", id, "")); status != 200 || body != id {
			t.Fatalf("status %d, body %q", status, body)
		}
		g.settled(t)
		time.Sleep(5 * time.Millisecond) // the surplus may come a little later than its answer
	}
	if w.conns() != 2 {
		t.Fatalf("%d connections", w.conns())
	}
}

func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okHead + chunk(line("id-1", "done", `,"result":"r"`)) + "0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n\r\n"))
	f.Add([]byte(okHead + "5\r\n{\"id\"\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newStore(t, 0)
		s.News(upAt("127.0.0.1:1"))
		near, far := net.Pipe()
		go func() {
			http.ReadRequest(bufio.NewReader(far))
			far.Write(raw)
			far.Close()
		}()
		x := piped(s, func(context.Context, string) (net.Conn, error) { return near, nil })
		r, err := s.Open(engine.Job{ID: "id-1", Class: "search", Left: 5 * time.Second})
		if err != nil {
			t.Fatal(err)
		}
		defer r.Leave()
		a := (<-r.Orders()).Attempt
		x.attempt(a, &call{method: "POST", target: "/search", id: "id-1"})
		ended := int64(0)
		for i := range s.Counters.Outcomes {
			ended += s.Counters.Outcomes[i].Load()
		}
		if open, idle := x.Pool.Open(); ended != 1 || open != idle {
			t.Fatalf("%d ends, %d connections in use", ended, open-idle)
		}
	})
}

// watched is a connection that tells of its writes.
type watched struct {
	net.Conn
	wrote func(n int)
}

func (c *watched) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.wrote(n)
	return n, err
}

// Under the group's lease the last byte of a request is a write of its own, and stays where the lease ends before it: the
// runner never begins, and the client is told that asking again is harmless.
func TestTheLastByteGoesUnderTheLease(t *testing.T) {
	w := runner(t, serves)
	g := newRig(t, w.addr, 0)
	var mu sync.Mutex
	var sizes []int
	ends := true
	g.pool.Tune(func(ctx context.Context, a string) (net.Conn, error) {
		c, err := net.Dial("tcp", a)
		return &watched{c, func(n int) {
			mu.Lock()
			defer mu.Unlock()
			if sizes = append(sizes, n); ends {
				g.store.Lease(time.Now())
			}
		}}, err
	}, time.Minute)
	g.store.Guard(engine.Guard{Leased: map[string]bool{"w": true}})
	for id, want := range map[string]int{"A": 503, "B": 200} {
		g.store.Lease(time.Now().Add(time.Hour))
		mu.Lock()
		sizes, ends = nil, want == 503
		mu.Unlock()
		status, _, _ := do(t, request(t, g.url, "book", id, "the body"))
		mu.Lock()
		seen := len(w.seen) > 0 && w.seen[len(w.seen)-1].Header.Get("X-Request-Id") == id
		if whole := len(sizes) == 2 && sizes[1] == 1; status != want || seen != whole || whole != (want == 200) || len(sizes) > 2 {
			t.Errorf("%s: status %d, want %d; the runner saw it: %t; writes of %v bytes", id, status, want, seen, sizes)
		}
		mu.Unlock()
	}
	if n := g.store.Counters.Outcomes[dispatch.NotSent].Load(); n != 1 {
		t.Errorf("%d attempts count as not sent", n)
	}
}
