package wire

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"birchfork/internal/store"
	"birchfork/rules"
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
	pool := store.NewPool(func(ctx context.Context, a string) (net.Conn, error) {
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
	if s.Counters.Outcomes[rules.NotSent].Load() != 1 {
		t.Fatal(s.Counters.Fields())
	}
}
