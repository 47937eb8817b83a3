package dispatch

import "math"

// A worker's capacity is its learned concurrency limit: the slots that this dispatcher may use there.
const (
	initialCapacity = 2.0     // slots; assumed for a worker before anything has been learned
	capacityStep    = 0.5     // slots of growth for each slot of a request that succeeds at the limit
	minCapacity     = 1.0 / 8 // slots

	// capacityRecoveryRuns is the number of mean run times after which a reduction no longer has an effect:
	// the load from other dispatchers has changed by then.
	capacityRecoveryRuns = 2.0

	// singleSlotReduction is the factor on a capacity of one slot if a request was queued at the worker.
	singleSlotReduction = 0.75

	// loadReportTTL is the time for which a report of free slots is used: slots change within one run time.
	loadReportTTL = 200 * Millisecond

	// maxSizeStep is the maximum number of slots by which one report raises a kind's size: a wrong report
	// must not remove the limit.
	maxSizeStep = 8.0
)

// capacityOf returns a worker's capacity. While this dispatcher has no attempt there and peers report no
// load, a reduced capacity recovers linearly to the mean, scaled by the listed size.
func (d *Dispatcher) capacityOf(w *worker) float64 {
	usual := d.meanCapacity * d.relativeSize(w)
	if w.capacity >= usual || w.slotsInUse > 0 || d.settings.PeerMessages {
		return w.capacity
	}
	age, recovery := float64(d.now-w.capacityReducedAt), capacityRecoveryRuns*d.meanWork*d.fleet.slowdown
	return w.capacity + (usual-w.capacity)*min(1, age/recovery)
}

// growCapacity increases a worker's capacity after a request has succeeded at the limit.
func (w *worker) growCapacity(slots float64) {
	w.capacity += min(w.capacity, slots*capacityStep)
}

// reduceCapacity reduces a worker's capacity to the slots that run there for this dispatcher, or below one
// slot if none runs. Guards against a queue at the worker, which this dispatcher cannot control.
func (d *Dispatcher) reduceCapacity(w *worker) {
	if w.slotsRunning >= 1 {
		w.capacity = min(d.capacityOf(w), w.slotsRunning)
	} else {
		w.capacity = max(minCapacity, min(d.capacityOf(w), 1)*singleSlotReduction)
	}
	w.capacityReducedAt = d.now
}

// limitCapacityToUse reduces a worker's capacity to the slots in use after it has rejected a request.
func (d *Dispatcher) limitCapacityToUse(w *worker) {
	w.capacity = max(minCapacity, min(w.capacity, w.slotsInUse))
	w.capacityReducedAt = d.now
}

// recordLoadReport records a worker's load report. Free slots limit the worker's capacity and never raise it;
// otherwise all dispatchers would send there at once.
func (d *Dispatcher) recordLoadReport(w *worker, report LoadReport) {
	if !report.Known || !(report.FreeSlots >= 0) {
		return
	}
	w.reportedCapacity = w.slotsInUse + report.FreeSlots
	w.reportedCapacityExpiry = d.now + loadReportTTL
	size := math.Floor(min(report.FreeSlots, w.kind.size+maxSizeStep))
	w.kind.size, w.kind.sizeReported = max(w.kind.size, size), true
}

// relativeSize returns a worker's listed size relative to the mean, 1 if it is unknown.
func (d *Dispatcher) relativeSize(w *worker) float64 {
	if d.meanListedWeight > 0 && w.Weight > 0 && !d.settings.WeightsShowLoad {
		return w.Weight / d.meanListedWeight
	}
	return 1
}

// relativeSizeLowerBound returns a lower bound of a worker's size relative to the mean. Guards against
// overloading small workers if the endpoint list has no sizes: all workers are sampled with the same
// probability, and one of many dispatchers sends a worker too few requests to learn its capacity.
func (d *Dispatcher) relativeSizeLowerBound(w *worker) float64 {
	mayDiffer := d.settings.KindCount > 1 && !w.kind.sizeReported
	if mayDiffer && !d.settings.WeightsShowSize && !d.settings.PeerMessages {
		return assumedRelativeSize
	}
	return d.relativeSize(w)
}
