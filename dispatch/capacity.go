package dispatch

import "math"

// Capacity is a worker's learned concurrency limit: the slots that this dispatcher uses there.
const (
	initialCapacity = 2.0     // slots; every dispatcher takes this of a worker whose size nobody knows
	capacityStep    = 0.5     // slots of growth for each slot of a success at the limit
	minCapacity     = 1.0 / 8 // slots

	// capacityRecoveryRuns is after how many usual runs a reduction is forgotten: others' load has changed by
	// then.
	capacityRecoveryRuns = 2.0

	// singleSlotReduction is the factor on a capacity of one slot whose request queued behind others'.
	singleSlotReduction = 0.75

	// loadReportTTL is how long a report of free slots counts: slots turn over within a run.
	loadReportTTL = 200 * Millisecond

	// maxSizeStep is by how many slots one report raises a kind's size at the most: an absurd one must not
	// open all.
	maxSizeStep = 8.0
)

// capacityOf is a worker's capacity. With nothing of this dispatcher's there and no load reported by peers, a
// reduction fades to the mean by listed size.
func (d *Dispatcher) capacityOf(w *worker) float64 {
	usual := d.meanCapacity * d.relativeSize(w)
	if w.capacity >= usual || w.slotsInUse > 0 || d.settings.PeerMessages {
		return w.capacity
	}
	age, recovery := float64(d.now-w.capacityReducedAt), capacityRecoveryRuns*d.meanWork*d.fleet.slowdown
	return w.capacity + (usual-w.capacity)*min(1, age/recovery)
}

// growCapacity raises a worker's capacity after a success at the limit.
func (w *worker) growCapacity(slots float64) {
	w.capacity += min(w.capacity, slots*capacityStep)
}

// reduceCapacity guards against a queue at the worker, out of this dispatcher's reach: its capacity becomes
// what runs there of ours, or less than one slot.
func (d *Dispatcher) reduceCapacity(w *worker) {
	if w.slotsRunning >= 1 {
		w.capacity = min(d.capacityOf(w), w.slotsRunning)
	} else {
		w.capacity = max(minCapacity, min(d.capacityOf(w), 1)*singleSlotReduction)
	}
	w.capacityReducedAt = d.now
}

// limitCapacityToUse reduces a worker's capacity to what is in use after it has rejected a request.
func (d *Dispatcher) limitCapacityToUse(w *worker) {
	w.capacity = max(minCapacity, min(w.capacity, w.slotsInUse))
	w.capacityReducedAt = d.now
}

// recordLoadReport takes a worker's load report. Free slots bound its capacity and never raise it: all
// dispatchers would flock there.
func (d *Dispatcher) recordLoadReport(w *worker, report LoadReport) {
	if !report.Known || !(report.FreeSlots >= 0) {
		return
	}
	w.reportedCapacity = w.slotsInUse + report.FreeSlots
	w.reportedCapacityUntil = d.now + loadReportTTL
	size := math.Floor(min(report.FreeSlots, w.kind.size+maxSizeStep))
	w.kind.size, w.kind.sizeReported = max(w.kind.size, size), true
}

// relativeSize is a worker's listed size against the mean, 1 where none is known.
func (d *Dispatcher) relativeSize(w *worker) float64 {
	if d.meanListedWeight > 0 && w.Weight > 0 && !d.settings.WeightsShowLoad {
		return w.Weight / d.meanListedWeight
	}
	return 1
}

// minRelativeSize is the least that a worker's size may be against the mean. Guards against small workers of
// a fleet whose endpoint list tells no sizes: all are sampled alike, and one of many dispatchers sees too
// little of a worker to learn what it can do.
func (d *Dispatcher) minRelativeSize(w *worker) float64 {
	mayDiffer := d.settings.KindCount > 1 && !w.kind.sizeReported
	if mayDiffer && !d.settings.WeightsShowSize && !d.settings.PeerMessages {
		return unknownRelativeSize
	}
	return d.relativeSize(w)
}
