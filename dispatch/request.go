package dispatch

import (
	"math"
	"slices"
)

// The bands of queued requests. Requests of a band are served before those of the next.
const (
	bandNormal    = iota
	bandOverQuota // beyond its tenant's quota
	bandCount
)

// attempt is one attempt of a request at a worker.
type attempt struct {
	worker        *worker
	sentAt        Time
	startedAt     Time // when it began to run; 0: it has not
	lastSignalAt  Time // when it was sent, started or last progressed
	inFlight      bool
	neverRan      bool
	cancelled     bool
	queueDetected bool    // its start is overdue: it waits in a queue at the worker
	hedgeDecided  bool    // the request has been hedged or migrated because of it, or will not be
	late          bool    // waited there too long to be answered in time
	stalled       bool    // its progress is overdue
	groupLoad     float64 // slots in use at the worker by all dispatchers, this attempt's included; 0: unknown
}

// request is a request that has no answer yet or has an attempt in flight.
type request struct {
	id          RequestID
	class       *classState
	tenant      *tenantState // nil: none
	band        int
	slots       float64 // slots, or units of memory if that is more
	workHint    Time    // the expected work as given by the client; 0: unknown
	work        Time    // workHint, corrected by how well hints have predicted run times; 0: unknown
	affinityKey uint64  // 0: none
	limits      RouteLimits
	maxAttempts int  // by the settings under which it arrived
	dedupWindow Time // how long workers drop repeats; never: forever

	arrivedAt   Time
	deadline    Time // the last moment for an answer
	objectiveAt Time // the last moment for an answer of full weight
	open        bool // an answer is still required
	timerSerial uint64

	attempts       []attempt
	retryNotBefore Time

	queueTicket          uint64 // of its live entries in queues; 0: it is not queued
	queuedAt             Time
	candidates           []*worker // in whose queues it has an entry, in the order in which they were sampled
	hasInitialCandidates bool      // they are the first that were sampled for it
	maySampleWarming     bool      // samples of workers that are warming up may count
	sampled              bool      // candidates have been sampled for it before
	samplingRound        int       // since it was queued
	nextSamplingAt       Time
	keySamples           uint64 // samples by its affinity key, since it was queued
}

// classState is a class and what was learned from its requests.
type classState struct {
	Class
	meanRun           float64 // in microseconds; too slow to follow a temporary slowdown
	runCount          float64
	relativeDeviation float64 // mean deviation of runs from the expected time, as a share of it
	// The regression of the logarithms of run times on those of hints.
	meanLogHint, meanLogRun            float64
	logHintVariance, logHintCovariance float64
}

// tenantState is a tenant and its token bucket.
type tenantState struct {
	Tenant
	tokens     float64 // requests that the quota allows now
	refilledAt Time
}

// newClassState returns a class about which nothing has been learned.
func newClassState(c Class) classState {
	logObjective := math.Log(float64(max(c.LatencyObjective, 1)))
	return classState{
		Class:             c,
		meanRun:           float64(c.LatencyObjective),
		meanLogHint:       logObjective,
		meanLogRun:        logObjective,
		logHintVariance:   1,
		logHintCovariance: 1,
	}
}

// newRequest creates and registers the request of an event.
func (d *Dispatcher) newRequest(event *Event) *request {
	r := d.allocateRequest()
	*r = request{
		id:          event.Request,
		class:       &d.classes[event.Class],
		slots:       max(float64(event.Slots), event.Memory, 1),
		workHint:    event.ExpectedWork,
		limits:      event.RouteLimits,
		maxAttempts: d.settings.MaxAttempts,
		dedupWindow: never,
		arrivedAt:   d.now,
		deadline:    d.now + event.TimeLeft - d.settings.Tick,
		open:        true,
		attempts:    r.attempts[:0],
		candidates:  r.candidates[:0],
	}
	if r.limits.Timeout > 0 {
		r.deadline = min(r.deadline, d.now+r.limits.Timeout)
	}
	if r.class.Idempotency == Deduplicated {
		r.dedupWindow = r.class.DedupWindow
		if r.limits.DedupWindow > 0 {
			r.dedupWindow = min(r.dedupWindow, r.limits.DedupWindow)
		}
	}
	if d.settings.PriceFetch > 0 {
		r.affinityKey = event.AffinityKey
	}
	r.work = r.class.calibrateHint(r.workHint)
	if event.Tenant >= 0 && event.Tenant < len(d.tenants) {
		r.tenant = &d.tenants[event.Tenant]
	}
	elapsed := max(0, r.class.Deadline-event.TimeLeft) // time used by earlier tries of the client
	objective := r.class.LatencyObjective + Time(r.class.ObjectiveStretch*d.expectedWork(r))
	r.objectiveAt = min(d.now-elapsed+objective, r.deadline)
	for int(r.id) >= len(d.requests) {
		d.requests = append(d.requests, nil)
	}
	d.requests[r.id] = r
	return r
}

// allocateRequest returns an empty request, a reused one if there is one.
func (d *Dispatcher) allocateRequest() *request {
	n := len(d.freeRequests)
	if n == 0 {
		return new(request)
	}
	r := d.freeRequests[n-1]
	d.freeRequests = d.freeRequests[:n-1]
	return r
}

// closeRequest ends a request that needs no answer any more. Its attempts in flight occupy their slots until
// the end of each is reported; after the last one the request is removed.
func (d *Dispatcher) closeRequest(r *request) {
	d.dequeue(r)
	if d.canCancel() {
		d.cancelAttempts(r, nil)
	}
	r.open = false
	if r.inFlight() == 0 {
		d.requests[r.id] = nil
		r.timerSerial = 0
		d.freeRequests = append(d.freeRequests, r)
	}
}

// inFlight returns the number of attempts that have not ended.
func (r *request) inFlight() int {
	n := 0
	for i := range r.attempts {
		if r.attempts[i].inFlight {
			n++
		}
	}
	return n
}

// isWaitingUnsent reports whether the request is queued with nothing in flight.
func (r *request) isWaitingUnsent() bool { return r.queueTicket != 0 && r.inFlight() == 0 }

// isRunning reports whether an attempt in flight has begun to run.
func (r *request) isRunning() bool {
	for i := range r.attempts {
		if r.attempts[i].inFlight && r.attempts[i].startedAt > 0 {
			return true
		}
	}
	return false
}

// hasTried reports whether an attempt at w has been made.
func (r *request) hasTried(w *worker) bool {
	for i := range r.attempts {
		if r.attempts[i].worker == w {
			return true
		}
	}
	return false
}

// mayHaveRun reports whether an attempt may have run.
func (r *request) mayHaveRun() bool { return r.mayHaveRunSince() != never }

// mayHaveRunSince returns when the first attempt that may have run was ordered; never: there is none.
func (r *request) mayHaveRunSince() Time {
	for i := range r.attempts {
		if !r.attempts[i].neverRan {
			return r.attempts[i].sentAt
		}
	}
	return never
}

// isCandidate reports whether w is one of the request's candidates.
func (r *request) isCandidate(w *worker) bool { return slices.Contains(r.candidates, w) }

// addCandidate adds a candidate and queues the request there. The oldest candidate is dropped when there are
// maxCandidates.
func (r *request) addCandidate(w *worker) {
	if len(r.candidates) == maxCandidates {
		r.candidates = append(r.candidates[:0], r.candidates[1:]...)
	}
	r.candidates = append(r.candidates, w)
	w.queues[r.band].push(r)
}
