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

// Timeouts and delays of clients.
const (
	dialTimeout    = time.Second
	redialDelay    = 20 * time.Millisecond  // after a failed dial, before the next one
	lateAnswerWait = 400 * time.Millisecond // after the deadline, during which a client still reads a late answer
	minRetryTime   = 5 * time.Millisecond   // least time to the deadline for which a retry is sent
)

// Bodies are slices of one text of paddingBytes that begin within its first maxBodyOffset bytes.
const (
	paddingBytes  = 1 << 16
	maxBodyOffset = 1024
)

// Result is the outcome of a client's request with all its retries.
type Result struct {
	Tries     int
	Outcome   invariant.Outcome // of the last try
	Ended     time.Duration     // of the last try, on the ledger's clock
	Requested bool              // it was started before the run was interrupted
}

// Generator sends the requests of a schedule as an open loop of clients. Run is called once; Find is safe for concurrent use.
type Generator struct {
	schedule    *scenario.Schedule
	ledger      *invariant.Ledger
	dispatchers []*Dispatcher
	padding     []byte

	sentRequests sync.Map // request id to *sentRequest
	results      []Result
	origin       time.Duration // the run's start on the ledger's clock

	OnStart   func()              // called once the run has begun; may be nil
	ReportLag func(time.Duration) // called for each request with the delay of its start
	Done      atomic.Int64        // client requests that have ended
}

// Dispatcher holds the clients' connections to one dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	Address string
	down    atomic.Bool
	pool    pool
}

// Down marks the dispatcher as down, so that clients send new tries to other dispatchers, or as up again.
func (d *Dispatcher) Down(on bool) { d.down.Store(on) }

// New returns a generator for a schedule; addresses are those of the dispatchers, by index.
func New(schedule *scenario.Schedule, l *invariant.Ledger, addresses []string) *Generator {
	g := &Generator{schedule: schedule, ledger: l, results: make([]Result, len(schedule.Requests)), ReportLag: func(time.Duration) {}}
	for _, address := range addresses {
		g.dispatchers = append(g.dispatchers, &Dispatcher{Address: address})
	}
	r := rand.New(rand.NewPCG(schedule.Seed, 0))
	g.padding = make([]byte, paddingBytes)
	for i := range g.padding {
		g.padding[i] = byte(' ' + r.IntN(95)) // printable
	}
	return g
}

// Dispatcher returns dispatcher i.
func (g *Generator) Dispatcher(i int) *Dispatcher { return g.dispatchers[i] }

// Find returns the request that a client sent under an id, and records that a worker has received it.
func (g *Generator) Find(id string) (fakes.ExpectedRequest, bool) {
	o, ok := g.sentRequests.Load(id)
	if !ok {
		return fakes.ExpectedRequest{}, false
	}
	sent := o.(*sentRequest)
	sent.received.Store(true)
	return sent.ExpectedRequest, true
}

// sentRequest is a request that a client sent, and whether a worker has received it.
type sentRequest struct {
	fakes.ExpectedRequest
	received atomic.Bool
}

// Origin returns the run's start on the ledger's clock; it is valid once OnStart has been called.
func (g *Generator) Origin() time.Duration { return g.origin }

// Results returns the result of each client request, in the order of the schedule. It is valid once Run has returned.
func (g *Generator) Results() []Result { return g.results }

// Run starts each request at its time, whether or not earlier ones have ended, and returns when all have ended. When ctx ends,
// no further request is started.
func (g *Generator) Run(ctx context.Context) {
	g.origin = g.ledger.Now()
	if g.OnStart != nil {
		g.OnStart()
	}
	var open sync.WaitGroup
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for i := range g.schedule.Requests {
		planned := &g.schedule.Requests[i]
		if wait := g.origin + planned.At - g.ledger.Now(); wait > 0 {
			timer.Reset(wait)
			select {
			case <-timer.C:
			case <-ctx.Done():
			}
		}
		if ctx.Err() != nil {
			break
		}
		g.ReportLag(g.ledger.Now() - g.origin - planned.At)
		open.Add(1)
		go func() {
			defer open.Done()
			defer g.Done.Add(1)
			g.request(ctx, i)
		}()
	}
	open.Wait()
	for _, d := range g.dispatchers {
		d.pool.close()
	}
}

// request sends the tries of one client request, one after the other.
func (g *Generator) request(ctx context.Context, index int) {
	planned, result := &g.schedule.Requests[index], &g.results[index]
	class := &g.schedule.Scenario.Classes[planned.Class]
	clients := &g.schedule.Scenario.Clients
	deadline := g.origin + planned.At + class.Deadline
	result.Requested = true
	resent := 0
	for number := 0; ; number++ {
		try, answer := g.sendTry(index, number, resent, deadline)
		if g.wasClosedUnread(try) && ctx.Err() == nil && g.ledger.Now() < deadline {
			// The dispatcher closed the idle connection while the request was sent: resend it. It gets another id, so that the
			// invariant checker can distinguish the two if a dispatcher has read both.
			resent++
			number--
			continue
		}
		result.Tries, result.Outcome, result.Ended = number+1, try.Outcome, try.Ended
		settled := try.Outcome == invariant.Served || try.Outcome == invariant.Left
		if settled || number >= clients.Retries || !shouldRetry(class, try) || ctx.Err() != nil {
			return
		}
		wait := clients.RetryWait
		if planned.HonorsRetryAfter && answer.RetryAfter > 0 {
			wait = answer.RetryAfter
		}
		if g.ledger.Now()+wait >= deadline-minRetryTime {
			return
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
	}
}

// wasClosedUnread reports whether a connection from the pool was closed after a request that no worker has received.
func (g *Generator) wasClosedUnread(try *invariant.Try) bool {
	if try.Outcome != invariant.Closed || try.Fresh {
		return false
	}
	sent, ok := g.sentRequests.Load(try.ID)
	return ok && !sent.(*sentRequest).received.Load()
}

// shouldRetry reports whether a client retries after a try that was not served.
func shouldRetry(class *scenario.Class, try *invariant.Try) bool {
	switch class.Retry {
	case scenario.RetryNone:
		return false
	case scenario.RetryRefused:
		return try.Outcome == invariant.Refused || try.Outcome == invariant.Unsent
	default:
		return true
	}
}

// dispatcherFor returns the dispatcher that is hops after the client's own, skipping those that are down unless all are.
func (g *Generator) dispatcherFor(own, hops int) int {
	for k := range g.dispatchers {
		if i := (own + hops + k) % len(g.dispatchers); !g.dispatchers[i].down.Load() {
			return i
		}
	}
	return (own + hops) % len(g.dispatchers)
}
