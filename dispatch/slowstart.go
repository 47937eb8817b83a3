package dispatch

import "slices"

const (
	// assumedRelativeSize is the assumed size of a worker, relative to the mean, if its size is unknown.
	assumedRelativeSize = 0.5

	// A worker that has been enabled again receives requests only by sampling for a random time between
	// firstRequestMinDelay and firstRequestMaxDelay. If it received none, the next request is sent there.
	firstRequestMinDelay = 500 * Millisecond
	firstRequestMaxDelay = 3 * Second
)

// slowStartFactor returns the lower bound of the share of its capacity that a worker has reached; 1: it has
// warmed up.
func (d *Dispatcher) slowStartFactor(w *worker) float64 {
	start := w.lastStart()
	age := max(0, d.now-start)
	if start <= 0 || age >= d.settings.SlowStartWindow {
		return 1
	}
	minFactor := d.settings.SlowStartMinFactor
	return minFactor + (1-minFactor)*float64(age)/float64(d.settings.SlowStartWindow)
}

// isWarmingUp reports whether a worker has not reached its full capacity yet.
func (d *Dispatcher) isWarmingUp(w *worker) bool { return d.slowStartFactor(w) < 1 }

// slowStartAllows enforces rule four: a worker that is warming up receives a request only if it is one of the
// request's initial candidates (see samplingProbability), the request was queued after the worker's start
// became known, and this dispatcher's part of the worker's budget is not used up.
func (d *Dispatcher) slowStartAllows(r *request, w *worker) bool {
	if !d.isWarmingUp(w) {
		return true
	}
	wasSampled := r.hasInitialCandidates && r.queuedAt >= w.readmittedAt && r.isCandidate(w)
	return wasSampled && d.hasSlowStartBudget(w)
}

// sendToWarming sends a request that would be rejected to a worker that is warming up, if one is sampled and
// has capacity. The queues that cause the rejection are at other workers: without this step, workers that are
// warming up would receive the fewest requests when they are needed most.
func (d *Dispatcher) sendToWarming(r *request) bool {
	if d.now >= d.allWarmedUpAt || d.settings.PeerMessages { // load messages would arrive too late
		return false
	}
	d.joinQueue(r)
	d.sampleCandidates(r, initialCandidates)
	r.candidates = slices.DeleteFunc(r.candidates, func(w *worker) bool { return !d.isWarmingUp(w) })
	return d.place(r)
}

// scheduleFirstRequest ensures that a worker that has been enabled again is used, since sampling rarely
// selects a worker that is warming up. Each dispatcher sends it one request at a random time. In a
// large group only a random part does so: together about as many requests as the worker can run by then.
func (d *Dispatcher) scheduleFirstRequest(w *worker) {
	maxFirstRequests := d.settings.OverloadMultiple * d.settings.SlowStartMinFactor *
		float64(firstRequestMaxDelay) / (d.meanWork * d.slowdownOf(w))
	if d.rng.Float64()*float64(d.settings.GroupSize) < max(1, maxFirstRequests) {
		delay := d.rng.Float64() * float64(firstRequestMaxDelay-firstRequestMinDelay)
		w.firstRequestDue = w.enabledAt + firstRequestMinDelay + Time(delay)
		d.awaitingFirstRequest = append(d.awaitingFirstRequest, w)
	}
}

// clearFirstRequest removes w and all disabled workers from those that await a first request.
func (d *Dispatcher) clearFirstRequest(w *worker) {
	d.awaitingFirstRequest = slices.DeleteFunc(d.awaitingFirstRequest, func(waiting *worker) bool {
		return waiting == w || waiting.disabled
	})
}

// dueFirstRequest returns an enabled worker whose first request is due, nil if there is none.
func (d *Dispatcher) dueFirstRequest() *worker {
	for _, w := range d.awaitingFirstRequest {
		if w.isReady() && d.now >= w.firstRequestDue {
			return w
		}
	}
	return nil
}
