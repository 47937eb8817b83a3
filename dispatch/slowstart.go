package dispatch

import (
	"math"
	"slices"
)

const (
	// slowStartSampleFactor is how often a worker that is warming up is sampled for each request that it
	// gets: other candidates take the rest.
	slowStartSampleFactor = 1.5

	// unknownRelativeSize is the part of the mean size that a worker may have where nothing tells its size.
	unknownRelativeSize = 0.5

	// A worker that an operator has enabled is found by sampling alone for firstRequestMinDelay at least and
	// firstRequestMaxDelay at most; from then on the next request goes there.
	firstRequestMinDelay = 500 * Millisecond
	firstRequestMaxDelay = 3 * Second
)

// slowStartFactor is the share of its capacity that a worker has at the least; 1: it has warmed up.
func (d *Dispatcher) slowStartFactor(w *worker) float64 {
	start := w.lastStart()
	age := max(0, d.now-start)
	if start <= 0 || age >= d.settings.SlowStartWindow {
		return 1
	}
	minFactor := d.settings.SlowStartMinFactor
	return minFactor + (1-minFactor)*float64(age)/float64(d.settings.SlowStartWindow)
}

// isWarmingUp says whether a worker has not its whole capacity yet.
func (d *Dispatcher) isWarmingUp(w *worker) bool { return d.slowStartFactor(w) < 1 }

// slowStartAllows is rule four: a worker that is warming up gets a request only as one of the first
// candidates that were sampled for it (see slowStartChance), and since the news of its start.
func (d *Dispatcher) slowStartAllows(r *request, w *worker) bool {
	return !d.isWarmingUp(w) || r.firstCandidates && r.queuedAt >= w.readmittedAt && r.isCandidate(w)
}

// slowStartChance is the chance by which a sample of a worker that is warming up counts. At full load as many
// requests take a worker as candidate as it could run when it has warmed up, and so many of these samples
// count that hardly any window brings more than it bears. All workers are sampled alike, whatever they can
// do, so one that can do less counts fewer.
func (d *Dispatcher) slowStartChance(w *worker) float64 {
	fullLoad := w.kind.size * float64(d.settings.OverloadWindow) / (d.meanWork * d.slowdownOf(w))
	root := max(0, math.Sqrt(d.settings.OverloadMultiple*d.slowStartFactor(w)*fullLoad+1)-1)
	relativeRate := slowStartSampleFactor * d.minRelativeSize(w) * d.fleet.slowdown / d.slowdownOf(w)
	return min(1, relativeRate*root*root/fullLoad)
}

// sendToWarming sends a request that would be rejected to a worker that is warming up, if one is sampled and
// has capacity: the queues for which it is rejected stand at the others. Without, such workers get the fewer
// requests the more they are needed.
func (d *Dispatcher) sendToWarming(r *request) bool {
	if d.now >= d.warmingUntil || d.settings.PeerMessages { // messages about the load would come too late
		return false
	}
	d.joinQueue(r)
	d.sampleCandidates(r, initialCandidates)
	r.candidates = slices.DeleteFunc(r.candidates, func(w *worker) bool { return !d.isWarmingUp(w) })
	return d.place(r)
}

// scheduleFirstRequest makes sure that a worker that an operator has enabled is used again, as sampling
// seldom finds one that is warming up. Each dispatcher sends it one request, at a moment of its own; of many
// dispatchers only as many do as it bears.
func (d *Dispatcher) scheduleFirstRequest(w *worker) {
	bears := d.settings.OverloadMultiple * d.settings.SlowStartMinFactor * float64(firstRequestMaxDelay) /
		(d.meanWork * d.slowdownOf(w))
	if d.rng.Float64()*float64(d.settings.GroupSize) < max(1, bears) {
		delay := d.rng.Float64() * float64(firstRequestMaxDelay-firstRequestMinDelay)
		w.firstRequestDue = w.enabledAt + firstRequestMinDelay + Time(delay)
		d.awaitingFirstRequest = append(d.awaitingFirstRequest, w)
	}
}

// clearFirstRequest notes that a worker that was enabled has got a request, or gets none as it has been
// disabled again.
func (d *Dispatcher) clearFirstRequest(w *worker) {
	d.awaitingFirstRequest = slices.DeleteFunc(d.awaitingFirstRequest, func(waiting *worker) bool {
		return waiting == w || waiting.disabled
	})
}

// dueFirstRequest returns an enabled worker whose time has come to get a request, nil where there is none.
func (d *Dispatcher) dueFirstRequest() *worker {
	for _, w := range d.awaitingFirstRequest {
		if w.isReady() && d.now >= w.firstRequestDue {
			return w
		}
	}
	return nil
}
