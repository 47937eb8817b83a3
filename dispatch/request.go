package dispatch

import (
	"math"
	"slices"
)

// The bands of queued requests, in descending order of priority.
const (
	bandNormal    = iota
	bandOverQuota // beyond the tenant's quota
	bandCount
)

// attempt is one attempt of a request at a worker.
type attempt struct {
	worker        *worker
	sentAt        Time
	startedAt     Time // when it began to run; 0: not yet
	lastSignalAt  Time // time of the last send, start or progress
	inFlight      bool
	neverRan      bool
	cancelled     bool
	queueDetected bool    // the start is overdue: the attempt is queued at the worker
	hedgeDecided  bool    // the decision whether to hedge or migrate the request has been made
	late          bool    // queued there too long for an answer within the objective
	stalled       bool    // the progress report is overdue
	groupLoad     float64 // slots in use at the worker by all dispatchers, including this attempt; 0: unknown
}

// request is the state of a request that has no answer yet or has an attempt in flight.
type request struct {
	id          RequestID
	class       *classState
	tenant      *tenantState // nil: none
	band        int
	slots       float64 // the greater of its slots and its units of memory
	workHint    Time    // expected work according to the client; 0: unknown
	work        Time    // workHint, corrected by the accuracy of earlier hints; 0: unknown
	affinityKey uint64  // 0: none
	limits      RouteLimits
	maxAttempts int  // according to the settings at its arrival
	dedupWindow Time // time for which workers drop repeats; never: unlimited

	arrivedAt   Time
	deadline    Time // latest time for an answer
	objectiveAt Time // latest time for an answer of full weight
	open        bool // an answer is still required
	timerSerial uint64

	attempts       []attempt
	retryNotBefore Time

	queueTicket          uint64 // of its live queue entries; 0: not queued
	queuedAt             Time
	candidates           []*worker // workers whose queues contain the request, in sampling order
	hasInitialCandidates bool      // the candidates are those of the first time that it was queued
	maySampleWarming     bool      // workers that are warming up may be sampled
	sampled              bool      // it has been queued before, or is a client's retry
	samplingRound        int       // number of sampling rounds since it was queued
	nextSamplingAt       Time
	keySamples           uint64 // samples by its affinity key since it was queued
}

// classState is a class and the statistics of its requests.
type classState struct {
	Class
	meanRun           float64 // in microseconds; does not follow a temporary slowdown
	runCount          float64
	relativeDeviation float64 // mean deviation of run times from the expected time, as a share of the latter
	// The regression of the logarithms of run times on the logarithms of hints.
	meanLogHint, meanLogRun            float64
	logHintVariance, logHintCovariance float64
}

// tenantState is a tenant and its token bucket.
type tenantState struct {
	Tenant
	tokens     float64 // number of requests that the quota allows now
	refilledAt Time
}

// newClassState returns a class without statistics.
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

// newRequest creates and registers a request for a RequestArrived event.
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
	elapsed := max(0, r.class.Deadline-event.TimeLeft) // during earlier tries of the client
	objective := r.class.LatencyObjective + Time(r.class.ObjectiveStretch*d.expectedWork(r))
	r.objectiveAt = min(d.now-elapsed+objective, r.deadline)
	for int(r.id) >= len(d.requests) {
		d.requests = append(d.requests, nil)
	}
	d.requests[r.id] = r
	return r
}

// allocateRequest returns a request for reuse, or a new one if none is free.
func (d *Dispatcher) allocateRequest() *request {
	n := len(d.freeRequests)
	if n == 0 {
		return new(request)
	}
	r := d.freeRequests[n-1]
	d.freeRequests = d.freeRequests[:n-1]
	return r
}

// closeRequest closes a request that no longer needs an answer. Each attempt in flight occupies its slots
// until its end is reported. The request is removed when none is left.
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

// isWaitingUnsent reports whether the request is queued without an attempt in flight.
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

// mayHaveRunSince returns the time of the Send action of the first attempt that may have run; never: none.
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

// addCandidate adds a candidate and queues the request there. If there are maxCandidates already, the oldest
// one is dropped.
func (r *request) addCandidate(w *worker) {
	if len(r.candidates) == maxCandidates {
		r.candidates = append(r.candidates[:0], r.candidates[1:]...)
	}
	r.candidates = append(r.candidates, w)
	w.queues[r.band].push(r)
}
