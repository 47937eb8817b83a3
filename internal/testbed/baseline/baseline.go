// Package baseline holds simple policies that the testbed compares the decision module with. They run behind the same
// engine and keep the four rules, but do not shed load and learn nothing: a request is sent at once to a random worker,
// the next in turn, or the one with the fewest open requests. Only the testbed uses them.
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

// Times of a baseline.
const (
	endSpare      = 5 * dispatch.Millisecond  // an answer is given so long before the client's time is up
	queueInterval = 10 * dispatch.Millisecond // without a ready worker a request is tried again after this
	maxSamples    = 16                        // draws until a warm enough worker is found
)

// Decider decides by one simple policy. It is not safe for concurrent use.
type Decider struct {
	settings dispatch.Settings
	policy   string
	random   *rand.Rand
	now      dispatch.Time
	workers  []worker
	ready    []int // indexes of ready workers
	next     int
	requests map[dispatch.RequestID]*request
	ends     ends
	queued   []*request
	armed    dispatch.Time
	out      []dispatch.Action
}

type worker struct {
	kind    int
	state   dispatch.WorkerState
	known   bool
	started dispatch.Time
	open    int // our requests there
}

type request struct {
	id       dispatch.RequestID
	class    *dispatch.Class
	end      dispatch.Time
	attempts []attempt
	open     bool
	waits    bool
}

type attempt struct {
	worker   int
	out      bool
	neverRan bool
}

// New returns the decider of a policy; seed determines its random choices. It fails for an unknown policy.
func New(policy string, s dispatch.Settings, seed uint64) (*Decider, error) {
	if !slices.Contains(Policies, policy) {
		return nil, fmt.Errorf("no policy %q; there are %s", policy, strings.Join(Policies, ", "))
	}
	return &Decider{settings: s, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), requests: map[dispatch.RequestID]*request{}}, nil
}

// Handle processes one event at the time now and appends the resulting actions to out.
func (d *Decider) Handle(now dispatch.Time, e *dispatch.Event, out []dispatch.Action) []dispatch.Action {
	d.now, d.out = now, out
	switch e.Kind {
	case dispatch.EndpointSnapshot, dispatch.EndpointUpdate:
		d.updateWorkers(e)
	case dispatch.RequestArrived:
		if e.Class < 0 || e.Class >= len(d.settings.Classes) {
			break
		}
		j := &request{id: e.Request, class: &d.settings.Classes[e.Class], end: now + e.TimeLeft - endSpare, open: true}
		d.requests[j.id] = j
		heap.Push(&d.ends, j)
		d.place(j)
	case dispatch.AttemptEnded:
		d.ended(e)
	case dispatch.RequestAbandoned:
		if j := d.requests[e.Request]; j != nil {
			d.close(j)
		}
	case dispatch.TimerFired:
		d.armed = 0
	case dispatch.SettingsChanged: // jobs under way point to their class, which stays
		d.settings = *e.Settings
	}
	d.due()
	return d.out
}

func (d *Decider) updateWorkers(e *dispatch.Event) {
	if e.Kind == dispatch.EndpointSnapshot {
		for i := range d.workers {
			d.workers[i].state = dispatch.Gone
		}
	}
	for _, w := range e.Workers {
		for int(w.ID) >= len(d.workers) {
			d.workers = append(d.workers, worker{state: dispatch.Gone})
		}
		d.workers[w.ID].state, d.workers[w.ID].started, d.workers[w.ID].known, d.workers[w.ID].kind = w.State, w.StartedAt, true, w.Kind
	}
	d.ready = d.ready[:0]
	for i, w := range d.workers {
		if w.known && w.state == dispatch.Ready {
			d.ready = append(d.ready, i)
		}
	}
	held := d.queued
	d.queued = nil
	for _, j := range held {
		j.waits = false
		d.place(j)
	}
}

// slowStartFactor returns the part of its capacity that a worker has at least, by its age.
func (d *Decider) slowStartFactor(w *worker) float64 {
	age := max(0, d.now-w.started)
	if w.started <= 0 || age >= d.settings.SlowStartWindow {
		return 1
	}
	return d.settings.SlowStartMinFactor + (1-d.settings.SlowStartMinFactor)*float64(age)/float64(d.settings.SlowStartWindow)
}

// choose returns a ready worker that runs the class, or -1. A cold one is taken as seldom as it is cold.
func (d *Decider) choose(c *dispatch.Class) int {
	if len(d.ready) == 0 {
		return -1
	}
	if d.policy == LeastOutstanding {
		best, use := -1, 0.0
		for _, i := range d.ready {
			w := &d.workers[i]
			warm := d.slowStartFactor(w)
			if c.WorkerKind >= 0 && w.kind != c.WorkerKind || warm < 1 && d.random.Float64() >= warm {
				continue
			}
			u := (float64(w.open) + d.random.Float64()/2) / warm // ties at random
			if best < 0 || u < use {
				best, use = i, u
			}
		}
		return best
	}
	for range maxSamples {
		i := d.ready[d.random.IntN(len(d.ready))]
		if d.policy == RoundRobin {
			d.next++
			i = d.ready[d.next%len(d.ready)]
		}
		if c.WorkerKind >= 0 && d.workers[i].kind != c.WorkerKind {
			continue
		}
		if warm := d.slowStartFactor(&d.workers[i]); warm >= 1 || d.random.Float64() < warm {
			return i
		}
	}
	return -1
}

// place sends a request, or holds it where no worker will do.
func (d *Decider) place(j *request) {
	if !j.open || j.waits {
		return
	}
	if len(j.attempts) >= d.settings.MaxAttempts || d.now >= j.end {
		d.finish(j)
		return
	}
	i := d.choose(j.class)
	if i < 0 {
		j.waits = true
		d.queued = append(d.queued, j)
		return
	}
	d.workers[i].open++
	j.attempts = append(j.attempts, attempt{worker: i, out: true})
	d.out = append(d.out, dispatch.Action{Kind: dispatch.Send, Request: j.id, Worker: dispatch.WorkerID(i)})
}

// ended takes an outcome, and tries elsewhere where that can have no second effect.
func (d *Decider) ended(e *dispatch.Event) {
	j := d.requests[e.Request]
	if j == nil || e.Attempt < 0 || e.Attempt >= len(j.attempts) || !j.attempts[e.Attempt].out {
		return
	}
	a := &j.attempts[e.Attempt]
	a.out = false
	switch e.Result {
	case dispatch.ResultOverloaded, dispatch.ResultUnreachable, dispatch.ResultNotSent:
		a.neverRan = true
	}
	d.workers[a.worker].open--
	switch {
	case e.Final || e.Result == dispatch.ResultOK:
		d.close(j)
	case j.open && (a.neverRan || j.class.Idempotency == dispatch.Idempotent):
		d.place(j)
	case j.open:
		d.finish(j)
	}
	d.forget(j)
}

// finish answers: a refusal where asking again is harmless, else a failure.
func (d *Decider) finish(j *request) {
	kind := dispatch.Reject
	for _, a := range j.attempts {
		if !a.neverRan && j.class.Idempotency != dispatch.Idempotent {
			kind = dispatch.Fail
		}
	}
	d.out = append(d.out, dispatch.Action{Kind: kind, Request: j.id})
	d.close(j)
}

// close ends a request; what is out is taken back.
func (d *Decider) close(j *request) {
	if !j.open {
		return
	}
	j.open = false
	for i, a := range j.attempts {
		if a.out && d.settings.CanCancel {
			d.out = append(d.out, dispatch.Action{Kind: dispatch.Cancel, Request: j.id, Attempt: i})
		}
	}
	d.queued = slices.DeleteFunc(d.queued, func(h *request) bool { return h == j })
	d.forget(j)
}

// forget drops a closed request whose attempts have all ended.
func (d *Decider) forget(j *request) {
	if !j.open && !slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.out }) && d.requests[j.id] == j {
		delete(d.requests, j.id)
	}
}

// due answers what has run out of time, tries what is held, and sets the timer.
func (d *Decider) due() {
	for len(d.ends) > 0 && (!d.ends[0].open || d.now >= d.ends[0].end) {
		if j := heap.Pop(&d.ends).(*request); j.open {
			d.finish(j)
		}
	}
	held := d.queued
	d.queued = nil
	for _, j := range held {
		j.waits = false
		d.place(j)
	}
	at := dispatch.Time(0)
	if len(d.ends) > 0 {
		at = d.ends[0].end
	}
	if len(d.queued) > 0 {
		at = min(at, d.now+queueInterval)
	}
	if at > 0 && (d.armed == 0 || at < d.armed) {
		d.armed = at
		d.out = append(d.out, dispatch.Action{Kind: dispatch.SetTimer, Wait: max(at-d.now, dispatch.Millisecond)})
	}
}

// ends is a heap of requests by the end of their time.
type ends []*request

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, k int) bool { return e[i].end < e[k].end }
func (e ends) Swap(i, k int)      { e[i], e[k] = e[k], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(*request)) }
func (e *ends) Pop() any {
	old := *e
	j := old[len(old)-1]
	*e = old[:len(old)-1]
	return j
}
