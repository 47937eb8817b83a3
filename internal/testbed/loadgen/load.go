package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

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

// Result is what became of a wish.
type Result struct {
	Tries   int
	Outcome invariant.Outcome // of the last try
	Ended   time.Duration     // since the run's start; when its last try ended
	Asked   bool              // it was begun before the run was broken off
}

// Load plays the day's clients.
type Load struct {
	day    *scenario.Day
	ledger *invariant.Ledger
	fronts []*Front
	pad    []byte

	book    sync.Map // id to fleet.Order
	results []Result
	origin  time.Duration // the day's start on the ledger's clock

	Began func()              // called once the day has begun; may be nil
	Lag   func(time.Duration) // hears how late each arrival was begun
	Done  atomic.Int64        // wishes that have ended
}

// Front is one dispatcher as clients reach it.
type Front struct {
	Address string
	down    atomic.Bool
	pool    pool
}

// Down says that the front deals out no further connections to the dispatcher, or does again.
func (f *Front) Down(on bool) { f.down.Store(on) }

// New returns the clients of a day.
func New(day *scenario.Day, l *invariant.Ledger, addresses []string) *Load {
	x := &Load{day: day, ledger: l, results: make([]Result, len(day.Wishes)), Lag: func(time.Duration) {}}
	for _, a := range addresses {
		x.fronts = append(x.fronts, &Front{Address: a})
	}
	r := rand.New(rand.NewPCG(day.Seed, 0))
	x.pad = make([]byte, 1<<16)
	for i := range x.pad {
		x.pad[i] = byte(' ' + r.IntN(95))
	}
	return x
}

// Front is the way to a dispatcher.
func (x *Load) Front(i int) *Front { return x.fronts[i] }

// Find is the fleet's look into what clients sent.
func (x *Load) Find(id string) (fakes.Order, bool) {
	o, ok := x.book.Load(id)
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

// Origin is the day's start on the ledger's clock.
func (x *Load) Origin() time.Duration { return x.origin }

// Results are what became of the wishes; call it when Run has returned.
func (x *Load) Results() []Result { return x.results }

// Run plays the arrivals at their times, whatever becomes of those before, and returns when all have ended. Where ctx
// ends, no further one is begun.
func (x *Load) Run(ctx context.Context) {
	x.origin = x.ledger.Now()
	if x.Began != nil {
		x.Began()
	}
	var out sync.WaitGroup
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i := range x.day.Wishes {
		w := &x.day.Wishes[i]
		if wait := x.origin + w.At - x.ledger.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		x.Lag(x.ledger.Now() - x.origin - w.At)
		out.Add(1)
		go func() {
			defer out.Done()
			defer x.Done.Add(1)
			x.wish(ctx, i)
		}()
	}
	out.Wait()
	for _, f := range x.fronts {
		f.pool.close()
	}
}

// wish is the life of one wish: its tries, one after the other.
func (x *Load) wish(ctx context.Context, i int) {
	w, res := &x.day.Wishes[i], &x.results[i]
	class := &x.day.Scenario.Classes[w.Class]
	clients := &x.day.Scenario.Clients
	end := x.origin + w.At + class.Patience
	res.Asked = true
	crossed := 0
	for n := 0; ; n++ {
		t, a := x.try(i, n, crossed, end)
		if x.crossed(t) && ctx.Err() == nil && x.ledger.Now() < end {
			// A close between requests crossed this one: it is sent once more. The lab gives it another id, so that the
			// judge can tell the two apart where a dispatcher has read both.
			crossed++
			n--
			continue
		}
		res.Tries, res.Outcome, res.Ended = n+1, t.Outcome, t.Ended
		if t.Outcome == invariant.Served || t.Outcome == invariant.Left || n >= clients.Retries || !asksAgain(class, t) || ctx.Err() != nil {
			return
		}
		wait := clients.RetryWait
		if w.Obeys && a.RetryAfter > 0 {
			wait = a.RetryAfter
		}
		if x.ledger.Now()+wait >= end-5*time.Millisecond {
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
func (x *Load) crossed(t *invariant.Try) bool {
	if t.Outcome != invariant.Closed || t.Fresh {
		return false
	}
	b, ok := x.book.Load(t.ID)
	return ok && !b.(*booked).seen.Load()
}

// asksAgain tells whether a client asks again by itself.
func asksAgain(c *scenario.Class, t *invariant.Try) bool {
	switch c.Retry {
	case scenario.RetryNone:
		return false
	case scenario.RetryRefused:
		return t.Outcome == invariant.Refused || t.Outcome == invariant.Unsent
	default:
		return true
	}
}

// front is where a try goes: home, or where home is down the next that is up.
func (x *Load) front(home, n int) int {
	for k := range x.fronts {
		if i := (home + n + k) % len(x.fronts); !x.fronts[i].down.Load() {
			return i
		}
	}
	return (home + n) % len(x.fronts)
}

// try sends one request and waits for its answer.
func (x *Load) try(wish, n, crossed int, end time.Duration) (*invariant.Try, Answer) {
	w := &x.day.Wishes[wish]
	class := &x.day.Scenario.Classes[w.Class]
	id := fmt.Sprintf("%016x", xxhash.Sum64String(fmt.Sprintf("%d/%d/%d/%d", x.day.Seed, wish, n, crossed)))
	t := &invariant.Try{ID: id, Wish: wish, Number: n, Class: w.Class}
	q := &Request{
		ID: id, Class: class.Name, Target: "/" + class.Name + "/lab?w=" + fmt.Sprint(wish), Retry: n > 0 && x.day.Scenario.Clients.Mark,
		Body: x.pad[wish%1024:][:w.Body],
	}
	if len(q.Body) == 0 {
		q.Body = nil
	}
	if w.Tenant >= 0 {
		q.Tenant = x.day.Scenario.Tenants[w.Tenant].Name
	}
	if class.Slots > 1 || class.Memory > 0 {
		q.Extras = fmt.Sprintf("slots=%d,memory=%g", class.Slots, class.Memory)
	}
	x.book.Store(id, &booked{Order: fakes.Order{Work: w.Work, Slots: class.Slots, Memory: class.Memory, Kind: class.Kind, Target: q.Target, Body: xxhash.Sum64(q.Body)}})
	x.ledger.Try(t)
	var a Answer
	settle := func(o invariant.Outcome) {
		x.ledger.Do(func() {
			t.Outcome, t.Status, t.Ended = o, a.Status, x.ledger.Now()
			if o == invariant.Served {
				t.Result = a.Hash()
			}
		})
	}
	var c *Conn
	for hop := 0; ; {
		t.Dispatcher = x.front(w.Dispatcher, hop)
		f := x.fronts[t.Dispatcher]
		if c = f.pool.take(); c == nil {
			var err error
			if c, err = Dial(f.Address, dialWait); err != nil {
				if hop++; hop >= 2*len(x.fronts) || x.ledger.Now()+elsewhere >= end {
					settle(invariant.Unsent)
					return t, a
				}
				time.Sleep(elsewhere)
				continue
			}
		}
		q.Left = (end - x.ledger.Now()).Truncate(time.Millisecond)
		if q.Left < time.Millisecond {
			f.pool.put(c)
			settle(invariant.Unsent)
			return t, a
		}
		t.Fresh = c.fresh
		before := x.ledger.Now()
		err := c.Send(q)
		x.ledger.Do(func() { t.Sent, t.Due = x.ledger.Now(), before+q.Left })
		if err == nil {
			var again bool
			stays, leaves := t.Due+overtime, x.origin+w.At+w.Leaves
			going := w.Leaves > 0 && leaves < stays
			if going {
				stays = leaves
			}
			a, again, err = c.Receive(time.Now().Add(stays - x.ledger.Now()))
			if err != nil && going && x.ledger.Now() >= leaves {
				c.Close()
				settle(invariant.Left)
				return t, a
			}
			if err == nil || errors.Is(err, errMore) {
				settle(outcomeOf(a.Status))
				if err != nil {
					x.ledger.Do(func() { t.Twice = true })
				}
				c.last = func() { x.ledger.Do(func() { t.Twice = true }) }
				if again {
					f.pool.put(c)
				} else {
					c.Close()
				}
				return t, a
			}
		}
		c.Close()
		var timeout interface{ Timeout() bool }
		switch {
		case errors.As(err, &timeout) && timeout.Timeout():
			settle(invariant.Unknown)
			return t, a
		case t.Sent == 0:
			settle(invariant.Unsent)
		default:
			settle(invariant.Closed)
		}
		return t, a
	}
}

// outcomeOf is what a status says.
func outcomeOf(status int) invariant.Outcome {
	switch status {
	case 200:
		return invariant.Served
	case 429, 503:
		return invariant.Refused
	default:
		return invariant.Failed
	}
}
