package dispatch

import (
	"math"
	"slices"
)

// How much a worker that is warming up is sent. What counts is what has completed and what was sent, not what
// arrives: with many dispatchers, each of which sees little, nothing else shows what the fleet can run.

const (
	// slowStartShare is the part of a warming worker's budget that all dispatchers together send it: the rest
	// is for chance, as no dispatcher knows what the others send.
	slowStartShare = 0.8

	// minSampleWinRate is the least part of the counted samples of warming workers that are assumed to be
	// sent there: the other candidate gets the rest.
	minSampleWinRate = 2.0 / 3

	// unknownThroughputShare is the part of the arrivals that counts as throughput where no worker shows what
	// the fleet can run, since all are warming up.
	unknownThroughputShare = 0.5

	// minThroughputShare is the part of the arrivals that counts as throughput at least.
	minThroughputShare = 0.1

	// referenceInterval is how often the capacity of the workers that have warmed up is summed up again.
	referenceInterval = 1 * Second
)

// slowStartChance returns the probability that a sample of a worker that is warming up counts, out of a list
// of that many workers. What warmed-up workers have completed lately bounds it, for each request that has
// arrived: whatever arrives, fails or waits elsewhere, all dispatchers together send the worker a share of
// its budget, by what the others carry. A chance by arrivals alone passed bursts on to it.
func (d *Dispatcher) slowStartChance(w *worker, sampledFrom int) float64 {
	arrivals := d.arrived.at(d.now, d.settings.OverloadWindow) // this one included
	share := slowStartShare * d.slowStartRatio(w) * d.carriedLoad(w) / max(arrivals, 1)
	return min(1, share/d.sampleWinRate*float64(sampledFrom)/initialCandidates)
}

// endFirstSamples ends the samples of a request that has arrived among workers that are warming up.
func (d *Dispatcher) endFirstSamples(r *request) {
	r.mayJoinWarming = false
	if d.now < d.warmingUntil {
		d.recordSampleOutcome(r)
	}
}

// recordSampleOutcome counts, if a worker that is warming up was among the candidates of a request that has
// arrived, whether it was sent there.
func (d *Dispatcher) recordSampleOutcome(r *request) {
	if !slices.ContainsFunc(r.candidates, d.isWarmingUp) {
		return
	}
	won := 0.0
	if len(r.attempts) > 0 && d.isWarmingUp(r.attempts[0].worker) {
		won = 1
	}
	d.sampleWinRate = max(minSampleWinRate, d.sampleWinRate+(won-d.sampleWinRate)*fastEWMAWeight)
}

// hasSlowStartBudget reports whether a further send keeps the number within the overload window below this
// dispatcher's part of the budget, by its own throughput; one request is always part of it. Guards against
// requests that are queued at the worker and released together.
func (d *Dispatcher) hasSlowStartBudget(w *worker) bool {
	budget := max(1, d.slowStartRatio(w)*d.carriedLoad(w))
	return w.warmingSends.at(d.now, d.settings.OverloadWindow) <= budget-1+1/math.E
}

// slowStartRatio returns how much a worker that is warming up may be sent, relative to its capacity weight.
func (d *Dispatcher) slowStartRatio(w *worker) float64 {
	weight := d.minRelativeSize(w) / d.slowdownOf(w)
	return d.settings.OverloadMultiple * d.slowStartFactor(w) * weight
}

// carriedLoad returns how many of this dispatcher's requests a worker of one capacity weight has completed
// lately: a warmed-up one of w's zone, or of all zones if that has none. A part of the arrivals is the least,
// so that warming workers are used where the others complete nothing.
func (d *Dispatcher) carriedLoad(w *worker) float64 {
	d.updateReferences()
	window := d.settings.OverloadWindow
	carried, arrivalShare := 0.0, minThroughputShare
	switch zone := d.zoneOf(w); {
	case zone.warmCapacity > 0:
		carried = zone.completed.at(d.now, window) / zone.warmCapacity
	case d.warmCapacity > 0:
		carried = d.completed.at(d.now, window) / d.warmCapacity
	default:
		arrivalShare = unknownThroughputShare
	}
	if d.readyCapacity <= 0 {
		return carried
	}
	return max(carried, arrivalShare*d.arrived.at(d.now, window)/d.readyCapacity)
}

// updateReferences sums up the capacity weights of the workers that have warmed up.
func (d *Dispatcher) updateReferences() {
	if d.now < d.referencesUntil {
		return
	}
	d.referencesUntil = d.now + referenceInterval
	d.warmCapacity, d.readyCapacity = 0, 0
	for i := range d.zones {
		d.zones[i].warmCapacity = 0
	}
	for _, w := range d.ready {
		weight := d.relativeSize(w) / w.kind.slowdown
		d.readyCapacity += weight
		if !d.isWarmingUp(w) {
			d.warmCapacity += weight
			d.zoneOf(w).warmCapacity += weight
		}
	}
}

// recordCompletion counts a request that a worker has completed, if it has warmed up.
func (d *Dispatcher) recordCompletion(w *worker) {
	if !d.isWarmingUp(w) {
		d.completed.add(d.now, d.settings.OverloadWindow)
		d.zoneOf(w).completed.add(d.now, d.settings.OverloadWindow)
	}
}
