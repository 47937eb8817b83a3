package dispatch

import "slices"

const (
	// assumedRelativeSize is the size relative to the mean that a worker may have if its size is unknown.
	assumedRelativeSize = 0.5

	// A worker that an operator has enabled gets requests by sampling alone for a time between
	// firstRequestMinDelay and firstRequestMaxDelay; after that the next request goes there.
	firstRequestMinDelay = 500 * Millisecond
	firstRequestMaxDelay = 3 * Second
)

// slowStartFactor returns the least share of its capacity that a worker has; 1: it has warmed up.
func (d *Dispatcher) slowStartFactor(w *worker) float64 {
	start := w.lastStart()
	age := max(0, d.now-start)
	if start <= 0 || age >= d.settings.SlowStartWindow {
		return 1
	}
	minFactor := d.settings.SlowStartMinFactor
	return minFactor + (1-minFactor)*float64(age)/float64(d.settings.SlowStartWindow)
}

// isWarmingUp reports whether a worker does not have its full capacity yet.
func (d *Dispatcher) isWarmingUp(w *worker) bool { return d.slowStartFactor(w) < 1 }

// slowStartAllows enforces rule four: a worker that is warming up gets a request only as one of the first
// candidates that were sampled for it (see samplingProbability), after its start has become known, and within
// this dispatcher's part of the worker's budget.
func (d *Dispatcher) slowStartAllows(r *request, w *worker) bool {
	if !d.isWarmingUp(w) {
		return true
	}
	wasSampled := r.hasInitialCandidates && r.queuedAt >= w.readmittedAt && r.isCandidate(w)
	return wasSampled && d.hasSlowStartBudget(w)
}

// sendToWarming sends a request that would be rejected to a worker that is warming up, if one is sampled and
// has capacity: the queues that cause the rejection are at the others. Otherwise such workers would get the
// fewest requests when they are needed most.
func (d *Dispatcher) sendToWarming(r *request) bool {
	if d.now >= d.allWarmedUpAt || d.settings.PeerMessages { // messages about the load would come too late
		return false
	}
	d.joinQueue(r)
	d.sampleCandidates(r, initialCandidates)
	r.candidates = slices.DeleteFunc(r.candidates, func(w *worker) bool { return !d.isWarmingUp(w) })
	return d.place(r)
}

// scheduleFirstRequest ensures that a worker that an operator has enabled is used again, since sampling
// seldom picks one that is warming up. Each dispatcher sends it one request, at a random time; of many
// dispatchers only as many do so as it can take.
func (d *Dispatcher) scheduleFirstRequest(w *worker) {
	maxFirstRequests := d.settings.OverloadMultiple * d.settings.SlowStartMinFactor *
		float64(firstRequestMaxDelay) / (d.meanWork * d.slowdownOf(w))
	if d.rng.Float64()*float64(d.settings.GroupSize) < max(1, maxFirstRequests) {
		delay := d.rng.Float64() * float64(firstRequestMaxDelay-firstRequestMinDelay)
		w.firstRequestDue = w.enabledAt + firstRequestMinDelay + Time(delay)
		d.awaitingFirstRequest = append(d.awaitingFirstRequest, w)
	}
}

// clearFirstRequest removes a worker from those that await a first request, and all that are disabled.
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
