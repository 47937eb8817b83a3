package dispatch

import "math"

// admit decides on a request that has arrived: it is queued, sent, or rejected. A request that would be
// rejected may still be sent to a worker that is warming up. Rejection guards against queues in which every
// request ends late, at the workers or here, and against waits that cannot succeed.
func (d *Dispatcher) admit(r *request, isRetry bool) {
	d.retryBudget = min(maxRetryBudget, d.retryBudget+retryBudgetRatio)
	d.meanWork += (d.expectedWork(r) - d.meanWork) * slowEWMAWeight
	r.sampled = isRetry // retries get no worker that is warming up: a burst of them would overload it
	if !isRetry {
		d.arrived.add(d.now, d.settings.OverloadWindow)
		r.maySampleWarming = true // by its first samples only: each arrival is counted once
		defer d.endInitialSampling(r)
	}
	quotaWeight := 1.0
	if d.overQuota(r, isRetry) {
		r.band, quotaWeight = bandOverQuota, d.settings.OverQuotaWeight
	}
	d.adjustShedding(0)
	latestSend := d.latestOnTimeSend(r)
	fitsBacklog := d.now+d.backlogDelay(r) <= latestSend
	switch {
	case fitsBacklog && d.rng.Float64() >= math.Pow(d.shedding, shedExponent*quotaWeight):
		d.enqueue(r)
	case d.now > latestSend || !d.sendToWarming(r):
		d.respond(r)
	}
}

// latestOnTimeSend returns the last moment to send a request for an answer of full weight by a typical
// worker. A request with much work gets at least a quarter of its time. Where the work is unknown, the
// expected error is added, without which half of the requests would be late: a deviation changes the run time
// once, and the objective by ObjectiveStretch times as much.
func (d *Dispatcher) latestOnTimeSend(r *request) Time {
	run := d.expectedWork(r) * d.fleet.slowdown
	if r.work == 0 {
		run += r.class.relativeDeviation * math.Abs(r.class.ObjectiveStretch-1) * run
	}
	return max(r.objectiveAt-Time(run), r.arrivedAt+(r.objectiveAt-r.arrivedAt)/4)
}

// backlogDelay estimates how long the work queued ahead of a request takes at the rate of the work in flight
// (Little's law), bounded by how long requests have actually been queued.
func (d *Dispatcher) backlogDelay(r *request) Time {
	ahead := d.queuedSlots[bandNormal]
	if r.band == bandOverQuota {
		ahead += d.queuedSlots[bandOverQuota]
	}
	if r.queueTicket != 0 {
		ahead -= r.slots
	}
	delay := Time(max(0, ahead) * d.meanWork * d.fleet.slowdown / max(d.slotsInUse, 1))
	return min(delay, candidateInterval+2*d.queues[r.band].headAge(d.now))
}
