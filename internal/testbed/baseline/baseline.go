// Package baseline provides simple policies with which the testbed compares the decision module. They run in the same engine
// and keep the four rules, but they do not shed load and learn nothing: a request is sent at once to a random worker, the next one
// in round-robin order, or the one with the fewest open attempts. Only the testbed uses them.
package baseline

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"birchfork/dispatch"
)

// The names of the policies.
const (
	Random           = "random"
	RoundRobin       = "round-robin"
	LeastOutstanding = "least"
)

// Policies lists all policies.
var Policies = []string{Random, RoundRobin, LeastOutstanding}

const (
	deadlineMargin = 5 * dispatch.Millisecond  // an open request is answered this long before its deadline
	queueInterval  = 10 * dispatch.Millisecond // after which queued requests are placed again
	maxSamples     = 16                        // workers that are tried for a request before it is queued
)

// Decider implements one of the policies. It is not safe for concurrent use.
type Decider struct {
	settings        dispatch.Settings
	policy          string
	random          *rand.Rand
	now             dispatch.Time
	workers         []worker
	ready           []int // indexes of ready workers
	roundRobinIndex int   // incremented for each worker that is tried
	requests        map[dispatch.RequestID]*request
	timeouts        requestHeap
	queue           []*request
	timerAt         dispatch.Time // when the timer fires; 0: not set
	actions         []dispatch.Action
}

type worker struct {
	kind      int
	state     dispatch.WorkerState
	known     bool // it has been in an endpoint list
	startedAt dispatch.Time
	open      int // attempts
}

type request struct {
	id       dispatch.RequestID
	class    *dispatch.Class
	deadline dispatch.Time
	attempts []attempt
	open     bool // not answered
	queued   bool
}

type attempt struct {
	worker   int
	open     bool
	neverRan bool // it has ended and is known not to have run
}

// New returns a Decider with the named policy. The seed determines its random choices.
func New(policy string, s dispatch.Settings, seed uint64) (*Decider, error) {
	if !slices.Contains(Policies, policy) {
		return nil, fmt.Errorf("unknown policy %q: must be one of %s", policy, strings.Join(Policies, ", "))
	}
	return &Decider{settings: s, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), requests: map[dispatch.RequestID]*request{}}, nil
}

// Handle processes one event at the time now and appends the resulting actions to out.
func (d *Decider) Handle(now dispatch.Time, e *dispatch.Event, out []dispatch.Action) []dispatch.Action {
	d.now, d.actions = now, out
	switch e.Kind {
	case dispatch.EndpointSnapshot, dispatch.EndpointUpdate:
		d.updateWorkers(e)
	case dispatch.RequestArrived:
		d.accept(e)
	case dispatch.AttemptEnded:
		d.attemptEnded(e)
	case dispatch.RequestAbandoned:
		if r := d.requests[e.Request]; r != nil {
			d.close(r)
		}
	case dispatch.TimerFired:
		d.timerAt = 0
	case dispatch.SettingsChanged: // open requests keep pointing to their class in the old settings
		d.settings = *e.Settings
	}
	d.expire()
	d.placeQueued()
	d.setTimer()
	return d.actions
}

// updateWorkers applies an endpoint update and places the queued requests.
func (d *Decider) updateWorkers(e *dispatch.Event) {
	if e.Kind == dispatch.EndpointSnapshot {
		for i := range d.workers {
			d.workers[i].state = dispatch.Gone
		}
	}
	for _, endpoint := range e.Workers {
		for int(endpoint.ID) >= len(d.workers) {
			d.workers = append(d.workers, worker{state: dispatch.Gone})
		}
		w := &d.workers[endpoint.ID]
		w.state, w.startedAt, w.kind, w.known = endpoint.State, endpoint.StartedAt, endpoint.Kind, true
	}
	d.ready = d.ready[:0]
	for i, w := range d.workers {
		if w.known && w.state == dispatch.Ready {
			d.ready = append(d.ready, i)
		}
	}
	d.placeQueued()
}

// accept handles a new request. It ignores requests of an unknown class.
func (d *Decider) accept(e *dispatch.Event) {
	if e.Class < 0 || e.Class >= len(d.settings.Classes) {
		return
	}
	r := &request{id: e.Request, class: &d.settings.Classes[e.Class], deadline: d.now + e.TimeLeft - deadlineMargin, open: true}
	d.requests[r.id] = r
	heap.Push(&d.timeouts, r)
	d.place(r)
}

// slowStartFactor returns the minimum share of its capacity that a worker has at its age.
func (d *Decider) slowStartFactor(w *worker) float64 {
	age := max(0, d.now-w.startedAt)
	if w.startedAt <= 0 || age >= d.settings.SlowStartWindow {
		return 1
	}
	return d.settings.SlowStartMinFactor + (1-d.settings.SlowStartMinFactor)*float64(age)/float64(d.settings.SlowStartWindow)
}

// slowStartAllows decides at random whether a worker may take a request, with its slow-start factor as the probability.
func (d *Decider) slowStartAllows(factor float64) bool {
	return factor >= 1 || d.random.Float64() < factor
}

// choose returns the index of a ready worker for a request of a class, or -1.
func (d *Decider) choose(c *dispatch.Class) int {
	if len(d.ready) == 0 {
		return -1
	}
	if d.policy == LeastOutstanding {
		return d.chooseLeastOutstanding(c)
	}
	for range maxSamples {
		i := d.ready[d.random.IntN(len(d.ready))]
		if d.policy == RoundRobin {
			d.roundRobinIndex++
			i = d.ready[d.roundRobinIndex%len(d.ready)]
		}
		w := &d.workers[i]
		if w.runs(c) && d.slowStartAllows(d.slowStartFactor(w)) {
			return i
		}
	}
	return -1
}

// chooseLeastOutstanding returns the index of the ready worker with the fewest open attempts in proportion to its slow-start
// factor, or -1. Ties are broken at random.
func (d *Decider) chooseLeastOutstanding(c *dispatch.Class) int {
	best, lowest := -1, 0.0
	for _, i := range d.ready {
		w := &d.workers[i]
		factor := d.slowStartFactor(w)
		if !w.runs(c) || !d.slowStartAllows(factor) {
			continue
		}
		utilisation := (float64(w.open) + d.random.Float64()/2) / factor
		if best < 0 || utilisation < lowest {
			best, lowest = i, utilisation
		}
	}
	return best
}

// runs reports whether a worker is of the kind that a class needs.
func (w *worker) runs(c *dispatch.Class) bool {
	return c.WorkerKind < 0 || w.kind == c.WorkerKind
}

// place sends a request to a worker, or queues it if no worker may take it.
func (d *Decider) place(r *request) {
	if !r.open || r.queued {
		return
	}
	if len(r.attempts) >= d.settings.MaxAttempts || d.now >= r.deadline {
		d.respond(r)
		return
	}
	i := d.choose(r.class)
	if i < 0 {
		r.queued = true
		d.queue = append(d.queue, r)
		return
	}
	d.workers[i].open++
	r.attempts = append(r.attempts, attempt{worker: i, open: true})
	d.actions = append(d.actions, dispatch.Action{Kind: dispatch.Send, Request: r.id, Worker: dispatch.WorkerID(i)})
}

// attemptEnded handles the end of an attempt and retries the request if that cannot have a second effect.
func (d *Decider) attemptEnded(e *dispatch.Event) {
	r := d.requests[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || !r.attempts[e.Attempt].open {
		return
	}
	a := &r.attempts[e.Attempt]
	a.open = false
	switch e.Result {
	case dispatch.ResultOverloaded, dispatch.ResultUnreachable, dispatch.ResultNotSent:
		a.neverRan = true
	}
	d.workers[a.worker].open--
	switch {
	case e.Final || e.Result == dispatch.ResultOK:
		d.close(r)
	case r.open && (a.neverRan || r.class.Idempotency == dispatch.Idempotent):
		d.place(r)
	case r.open:
		d.respond(r)
	}
	d.forget(r)
}

// respond rejects a request if a retry by the client is safe, and fails it otherwise.
func (d *Decider) respond(r *request) {
	kind := dispatch.Reject
	for _, a := range r.attempts {
		if !a.neverRan && r.class.Idempotency != dispatch.Idempotent {
			kind = dispatch.Fail
		}
	}
	d.actions = append(d.actions, dispatch.Action{Kind: kind, Request: r.id})
	d.close(r)
}

// close ends a request and cancels its open attempts.
func (d *Decider) close(r *request) {
	if !r.open {
		return
	}
	r.open = false
	for i, a := range r.attempts {
		if a.open && d.settings.CanCancel {
			d.actions = append(d.actions, dispatch.Action{Kind: dispatch.Cancel, Request: r.id, Attempt: i})
		}
	}
	d.queue = slices.DeleteFunc(d.queue, func(other *request) bool { return other == r })
	d.forget(r)
}

// forget removes a closed request whose attempts have all ended.
func (d *Decider) forget(r *request) {
	hasOpenAttempt := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.open })
	if !r.open && !hasOpenAttempt && d.requests[r.id] == r {
		delete(d.requests, r.id)
	}
}

// expire answers the open requests whose deadline has been reached.
func (d *Decider) expire() {
	for len(d.timeouts) > 0 && (!d.timeouts[0].open || d.now >= d.timeouts[0].deadline) {
		if r := heap.Pop(&d.timeouts).(*request); r.open {
			d.respond(r)
		}
	}
}

// placeQueued tries to place the queued requests. Those without a worker are queued again.
func (d *Decider) placeQueued() {
	queue := d.queue
	d.queue = nil
	for _, r := range queue {
		r.queued = false
		d.place(r)
	}
}

// setTimer sets the timer to the next deadline or the next attempt to place queued requests.
func (d *Decider) setTimer() {
	at := dispatch.Time(0)
	if len(d.timeouts) > 0 {
		at = d.timeouts[0].deadline
	}
	if len(d.queue) > 0 {
		at = min(at, d.now+queueInterval)
	}
	if at > 0 && (d.timerAt == 0 || at < d.timerAt) {
		d.timerAt = at
		d.actions = append(d.actions, dispatch.Action{Kind: dispatch.SetTimer, Wait: max(at-d.now, dispatch.Millisecond)})
	}
}

// requestHeap is a heap of requests by their deadline, for container/heap.
type requestHeap []*request

func (h requestHeap) Len() int           { return len(h) }
func (h requestHeap) Less(i, k int) bool { return h[i].deadline < h[k].deadline }
func (h requestHeap) Swap(i, k int)      { h[i], h[k] = h[k], h[i] }

// Push appends a request.
func (h *requestHeap) Push(x any) { *h = append(*h, x.(*request)) }

// Pop removes the last request.
func (h *requestHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	*h = old[:len(old)-1]
	return r
}
