package dispatch

import "math"

const (
	initialCandidates = 2  // workers sampled when a request is queued: d in the paper (docs/design.md)
	furtherCandidates = 24 // workers sampled each time that no candidate had capacity
	maxCandidates     = 64 // per request: bounds the work of an event
	maxScan           = 8  // queued requests that are checked for one that fits; samples per candidate

	// crossZoneWait, multiplied by the price of a crossing, is the additional time that a request is queued
	// before workers of other zones become candidates.
	crossZoneWait = 200 * Millisecond

	// priceWeight, multiplied by the price of a crossing or a fetch, is added to the cost of a placement.
	priceWeight = 15.0

	// unreachableZoneRate is the share of failed connects above which a zone counts as unreachable.
	unreachableZoneRate = 0.5
)

// sampleCandidates adds up to n random workers to a request's candidates. If peers report loads, it queries
// the loads that are unknown.
func (d *Dispatcher) sampleCandidates(r *request, n int) {
	r.nextSamplingAt = d.now + candidateInterval
	if d.settings.PeerMessages { // other dispatchers may fill a worker, so its load has to be known
		r.nextSamplingAt = d.now + loadQueryTimeout
		n = min(n, maxLoadQueries)
	}
	for i := range n {
		w := d.sampleCandidate(r, i%2 == 0)
		if w == nil || r.isCandidate(w) {
			continue
		}
		r.addCandidate(w)
		d.queryLoad(w)
	}
}

// crossZoneDelay returns how long a request must have been queued before workers of all zones become its
// candidates.
func (d *Dispatcher) crossZoneDelay() Time {
	return candidateInterval + Time(d.settings.PriceCrossZone*float64(crossZoneWait))
}

// sampleCandidate returns a random worker that may be used, nil if it found none. If inZone is set and a
// crossing has a price, the worker is in this dispatcher's zone.
func (d *Dispatcher) sampleCandidate(r *request, inZone bool) *worker {
	isFirstRound := r.hasInitialCandidates && r.samplingRound == 0
	if w := d.dueFirstRequest(); w != nil && inZone && isFirstRound && r.class.WorkerKind < 0 {
		return w
	}
	workers := d.ready
	if d.staysInZone(r, inZone) {
		workers = d.readyInZone
	}
	for i := range min(maxScan, len(workers)) {
		w := d.sampleWorker(r, workers)
		zone := d.zoneOf(w)
		isWarmingUp := d.isWarmingUp(w)
		switch {
		case d.awaitsProbe(w), d.isUnreachable(zone):
			continue
		case isWarmingUp && i > 0: // only the first sample counts: others would raise the probability
			continue
		case isWarmingUp && !(r.maySampleWarming && d.rng.Float64() < d.samplingProbability(w, len(workers))):
			return nil // a further sample would raise the probability of the other workers
		}
		zone.nextProbeAt = d.now + minProbeInterval
		return w
	}
	return nil
}

// staysInZone reports whether a sample is taken from this dispatcher's zone rather than from all zones. The
// longer starts are delayed in this zone, the more samples are taken from all zones.
func (d *Dispatcher) staysInZone(r *request, inZone bool) bool {
	price := priceWeight * d.settings.PriceCrossZone
	if r.affinityKey != 0 || price <= 0 || len(d.readyInZone) == 0 {
		return false
	}
	if inZone {
		return true
	}
	return d.now < r.queuedAt+d.crossZoneDelay() &&
		math.Sqrt(d.rng.Float64())*price >= d.zones[d.settings.Zone].queueWait
}

// isUnreachable reports whether a zone cannot be reached and is not due for a probe. Guards against a network
// partition.
func (d *Dispatcher) isUnreachable(zone *zoneState) bool {
	return zone.connectFailureRate > unreachableZoneRate && d.now < zone.nextProbeAt
}

// place sends a queued request to the candidate with capacity that has the lowest cost, and reports whether
// it did. Ties are broken at random. While the reply to a load query is awaited, nothing is sent.
func (d *Dispatcher) place(r *request) bool {
	var best *worker
	lowestCost := math.Inf(1)
	for i, w := range r.candidates {
		if d.awaitsLoadReply(w) {
			return false
		}
		if !d.hasCapacity(r, w) {
			continue
		}
		cost := d.placementCost(r, w)
		if r.affinityKey != 0 { // each further worker in the order of the key adds the cost of a fetch
			cost += priceWeight * d.settings.PriceFetch * float64(i)
		}
		if cost < lowestCost || cost == lowestCost && d.rng.IntN(2) == 0 {
			best, lowestCost = w, cost
		}
	}
	return best != nil && d.send(r, best)
}

// placementCost returns the utilisation of w after the send, weighted by its slowdown, plus costs for delayed
// starts and for a worker in another zone.
func (d *Dispatcher) placementCost(r *request, w *worker) float64 {
	var cost float64
	if d.knowsGroupLoad(w) {
		cost = (w.groupLoad + r.slots) / w.kind.size * d.slowdownOf(w) / d.fleet.slowdown
	} else {
		utilisation := (w.slotsInUse + r.slots) / d.capacityOf(w)
		cost = utilisation*d.slowdownOf(w)/d.fleet.slowdown + w.kind.queueWait + d.zoneOf(w).queueWait
	}
	if d.weighsByLoad(w) { // the weight falls as other dispatchers fill the worker
		cost *= d.meanListedWeight / w.Weight * d.meanListedWeight / w.Weight
	}
	if w.Zone != d.settings.Zone {
		cost += priceWeight * d.settings.PriceCrossZone
	}
	return cost
}

// hasCapacity reports whether the rules, w's health and its capacity allow sending r to w.
func (d *Dispatcher) hasCapacity(r *request, w *worker) bool {
	if !d.maySend(r, w) || r.class.WorkerKind >= 0 && w.Kind != r.class.WorkerKind {
		return false
	}
	if r.hasTried(w) && len(d.ready) > 1 { // guards against a worker that fails one request repeatedly
		return false
	}
	slots := w.slotsInUse + r.slots
	knowsLoad := d.knowsGroupLoad(w)
	hasWaited := d.now >= r.queuedAt+d.crossZoneDelay()
	switch {
	case !knowsLoad && d.now < w.reportedCapacityExpiry && slots > w.reportedCapacity:
		return false
	case d.weighsByLoad(w) && w.Weight < d.meanListedWeight/2 && !hasWaited:
		return false // its weight shows that other dispatchers fill it
	case w.ejected || w.unresponsive: // a failing worker always has capacity and would attract requests
		return w.slotsInUse == 0 && d.now >= w.nextProbeAt && r.class.Idempotency != NonIdempotent
	case knowsLoad:
		return w.groupLoad+r.slots <= w.kind.size || w.groupLoad <= w.kind.size && hasWaited
	}
	return slots <= d.capacityOf(w) || w.slotsInUse == 0
}

// weighsByLoad reports whether w's listed weight is the only indication of its load.
func (d *Dispatcher) weighsByLoad(w *worker) bool {
	return !d.settings.PeerMessages && d.settings.WeightsShowLoad && w.Weight > 0
}
