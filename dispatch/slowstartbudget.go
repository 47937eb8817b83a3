package dispatch

import (
	"math"
	"slices"
)

// This file limits the requests that are sent to a worker that is warming up. The limits derive from
// completed and sent requests rather than from arrivals: with many dispatchers, each of which receives a
// small part of the traffic, only these show how much the fleet can run. The budget of a worker is the number
// of requests that it may be sent within the overload window.

const (
	// slowStartShare is the share of a warming worker's budget that all dispatchers together use. The rest
	// absorbs random variation, since no dispatcher knows how much the others send.
	slowStartShare = 0.8

	// minSampleWinRate is the lower bound of sampleWinRate, the share of the counted samples of warming
	// workers after which the request is sent there. The other candidate receives the rest.
	minSampleWinRate = 2.0 / 3

	// unknownThroughputShare is the share of the arrivals that is assumed as throughput while all workers are
	// warming up: none of them shows how much the fleet can run.
	unknownThroughputShare = 0.5

	// minThroughputShare is the lower bound of the throughput, as a share of the arrivals.
	minThroughputShare = 0.1

	// capacityWeightsTTL is the time after which the sums of capacity weights are computed again.
	capacityWeightsTTL = 1 * Second
)

// samplingProbability returns the probability that a sample of a worker that is warming up counts, where the
// sample was taken from sampledFrom workers. It is a share of the worker's budget, derived from the recent
// throughput of warmed-up workers, divided by the recent arrivals. All dispatchers together therefore send
// the worker a share of its budget, however much arrives, fails or waits elsewhere. A probability that
// depends on the arrivals alone would pass bursts on to the worker.
func (d *Dispatcher) samplingProbability(w *worker, sampledFrom int) float64 {
	arrivals := d.arrived.at(d.now, d.settings.OverloadWindow) // this one included
	share := slowStartShare * d.slowStartCapacityWeight(w) * d.throughputPerCapacity(w) / max(arrivals, 1)
	return min(1, share/d.sampleWinRate*float64(sampledFrom)/initialCandidates)
}

// endInitialSampling ends the initial sampling of a request that has arrived: later samples do not include
// workers that are warming up.
func (d *Dispatcher) endInitialSampling(r *request) {
	r.maySampleWarming = false
	if d.now < d.allWarmedUpAt {
		d.recordSampleOutcome(r)
	}
}

// recordSampleOutcome updates sampleWinRate if the candidates of a request that has arrived include a worker
// that is warming up: the sample has won if the request was sent to such a worker.
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

// hasSlowStartBudget reports whether one more send to a worker stays within this dispatcher's part of the
// worker's budget for the overload window. The part is derived from this dispatcher's own throughput and is
// at least one request. Guards against requests that are queued at the worker and released together.
func (d *Dispatcher) hasSlowStartBudget(w *worker) bool {
	budget := max(1, d.slowStartCapacityWeight(w)*d.throughputPerCapacity(w))
	// 1/e is what remains of the count of one request after the overload window.
	return w.warmingSends.at(d.now, d.settings.OverloadWindow) <= budget-1+1/math.E
}

// slowStartCapacityWeight returns the capacity weight up to which a worker that is warming up may be loaded:
// its current capacity weight times the overload multiple.
func (d *Dispatcher) slowStartCapacityWeight(w *worker) float64 {
	weight := d.relativeSizeLowerBound(w) / d.slowdownOf(w)
	return d.settings.OverloadMultiple * d.slowStartFactor(w) * weight
}

// throughputPerCapacity returns the number of this dispatcher's requests that were completed within the
// overload window, per unit of capacity weight, by the warmed-up workers of w's zone, or of all zones if w's
// zone has none. A share of the arrivals is the lower bound, so that warming workers are used where the
// others complete nothing.
func (d *Dispatcher) throughputPerCapacity(w *worker) float64 {
	d.updateCapacityWeights()
	window := d.settings.OverloadWindow
	throughput, arrivalShare := 0.0, minThroughputShare
	switch zone := d.zoneOf(w); {
	case zone.warmedUpCapacityWeight > 0:
		throughput = zone.completed.at(d.now, window) / zone.warmedUpCapacityWeight
	case d.warmedUpCapacityWeight > 0:
		throughput = d.completed.at(d.now, window) / d.warmedUpCapacityWeight
	default:
		arrivalShare = unknownThroughputShare
	}
	if d.readyCapacityWeight <= 0 {
		return throughput
	}
	return max(throughput, arrivalShare*d.arrived.at(d.now, window)/d.readyCapacityWeight)
}

// updateCapacityWeights recomputes the sums of the capacity weights of ready workers and of those that have
// warmed up, unless the last sums are still valid.
func (d *Dispatcher) updateCapacityWeights() {
	if d.now < d.capacityWeightsExpiry {
		return
	}
	d.capacityWeightsExpiry = d.now + capacityWeightsTTL
	d.warmedUpCapacityWeight, d.readyCapacityWeight = 0, 0
	for i := range d.zones {
		d.zones[i].warmedUpCapacityWeight = 0
	}
	for _, w := range d.ready {
		weight := d.relativeSize(w) / w.kind.slowdown
		d.readyCapacityWeight += weight
		if !d.isWarmingUp(w) {
			d.warmedUpCapacityWeight += weight
			d.zoneOf(w).warmedUpCapacityWeight += weight
		}
	}
}

// recordCompletion counts a request that a worker has completed, if the worker has warmed up.
func (d *Dispatcher) recordCompletion(w *worker) {
	if !d.isWarmingUp(w) {
		d.completed.add(d.now, d.settings.OverloadWindow)
		d.zoneOf(w).completed.add(d.now, d.settings.OverloadWindow)
	}
}
