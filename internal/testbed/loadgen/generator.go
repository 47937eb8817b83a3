package loadgen

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// Times of clients.
const (
	dialWait  = time.Second
	elsewhere = 20 * time.Millisecond  // after a refused connection, before another dispatcher is tried
	overtime  = 400 * time.Millisecond // past its time a client of the lab stays, to see a late answer
)

// Result is the outcome of a client's request with all its retries.
type Result struct {
	Tries     int
	Outcome   invariant.Outcome // of the last try
	Ended     time.Duration     // since the run's start; when its last try ended
	Requested bool              // it was begun before the run was broken off
}

// Generator plays the clients of a generated day as an open loop. Run is called once; Find is safe for concurrent use.
type Generator struct {
	day         *scenario.Day
	ledger      *invariant.Ledger
	dispatchers []*Dispatcher
	pad         []byte

	book    sync.Map // id to fleet.Order
	results []Result
	origin  time.Duration // the day's start on the ledger's clock

	Began func()              // called once the day has begun; may be nil
	Lag   func(time.Duration) // hears how late each arrival was begun
	Done  atomic.Int64        // wishes that have ended
}

// Dispatcher is the clients' access to one dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	Address string
	down    atomic.Bool
	pool    pool
}

// Down makes clients send new tries to other dispatchers, or ends that.
func (f *Dispatcher) Down(on bool) { f.down.Store(on) }

// New returns the clients of a day; addresses are those of the dispatchers, in their order.
func New(day *scenario.Day, l *invariant.Ledger, addresses []string) *Generator {
	x := &Generator{day: day, ledger: l, results: make([]Result, len(day.Requests)), Lag: func(time.Duration) {}}
	for _, a := range addresses {
		x.dispatchers = append(x.dispatchers, &Dispatcher{Address: a})
	}
	r := rand.New(rand.NewPCG(day.Seed, 0))
	x.pad = make([]byte, 1<<16)
	for i := range x.pad {
		x.pad[i] = byte(' ' + r.IntN(95))
	}
	return x
}

// Dispatcher returns the access to dispatcher i.
func (g *Generator) Dispatcher(i int) *Dispatcher { return g.dispatchers[i] }

// Find returns what a client sent under a request id, and notes that a worker has seen it.
func (g *Generator) Find(id string) (fakes.Order, bool) {
	o, ok := g.book.Load(id)
	if !ok {
		return fakes.Order{}, false
	}
	b := o.(*booked)
	b.seen.Store(true)
	return b.Order, true
}

// booked is what a client asked for, and whether a worker has seen it.
type booked struct {
	fakes.Order
	seen atomic.Bool
}

// Origin returns the day's start on the ledger's clock; it is valid once Began was called.
func (g *Generator) Origin() time.Duration { return g.origin }

// Results returns the outcome of each client request, in the order of the day. It is valid once Run has returned.
func (g *Generator) Results() []Result { return g.results }

// Run starts each request at its time, however earlier ones go, and returns when all have ended. When ctx ends, no
// further one is started.
func (g *Generator) Run(ctx context.Context) {
	g.origin = g.ledger.Now()
	if g.Began != nil {
		g.Began()
	}
	var out sync.WaitGroup
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i := range g.day.Requests {
		w := &g.day.Requests[i]
		if wait := g.origin + w.At - g.ledger.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		g.Lag(g.ledger.Now() - g.origin - w.At)
		out.Add(1)
		go func() {
			defer out.Done()
			defer g.Done.Add(1)
			g.request(ctx, i)
		}()
	}
	out.Wait()
	for _, f := range g.dispatchers {
		f.pool.close()
	}
}

// request is the life of one wish: its tries, one after the other.
func (g *Generator) request(ctx context.Context, i int) {
	w, res := &g.day.Requests[i], &g.results[i]
	class := &g.day.Scenario.Classes[w.Class]
	clients := &g.day.Scenario.Clients
	end := g.origin + w.At + class.Deadline
	res.Requested = true
	crossed := 0
	for n := 0; ; n++ {
		t, a := g.sendTry(i, n, crossed, end)
		if g.crossed(t) && ctx.Err() == nil && g.ledger.Now() < end {
			// A close between requests crossed this one: it is sent once more. The lab gives it another id, so that the
			// judge can tell the two apart where a dispatcher has read both.
			crossed++
			n--
			continue
		}
		res.Tries, res.Outcome, res.Ended = n+1, t.Outcome, t.Ended
		settled := t.Outcome == invariant.Served || t.Outcome == invariant.Left
		if settled || n >= clients.Retries || !shouldRetry(class, t) || ctx.Err() != nil {
			return
		}
		wait := clients.RetryWait
		if w.Obeys && a.RetryAfter > 0 {
			wait = a.RetryAfter
		}
		if g.ledger.Now()+wait >= end-5*time.Millisecond {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// crossed tells whether a kept connection was closed on a request that nobody has read.
func (g *Generator) crossed(t *invariant.Try) bool {
	if t.Outcome != invariant.Closed || t.Fresh {
		return false
	}
	b, ok := g.book.Load(t.ID)
	return ok && !b.(*booked).seen.Load()
}

// shouldRetry tells whether a client asks again by itself.
func shouldRetry(c *scenario.Class, t *invariant.Try) bool {
	switch c.Retry {
	case scenario.RetryNone:
		return false
	case scenario.RetryRefused:
		return t.Outcome == invariant.Refused || t.Outcome == invariant.Unsent
	default:
		return true
	}
}

// dispatcherFor is where a try goes: home, or where home is down the next that is up.
func (g *Generator) dispatcherFor(home, n int) int {
	for k := range g.dispatchers {
		if i := (home + n + k) % len(g.dispatchers); !g.dispatchers[i].down.Load() {
			return i
		}
	}
	return (home + n) % len(g.dispatchers)
}
