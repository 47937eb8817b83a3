package dispatch

import "math"

// admit sends, queues or rejects a request that has arrived. A request that would be rejected may still be
// sent to a worker that is warming up. Rejection guards against queues, at the workers or here, in which
// every request ends late, and against waits that cannot succeed.
func (d *Dispatcher) admit(r *request, isRetry bool) {
	d.retryBudget = min(maxRetryBudget, d.retryBudget+retryBudgetRatio)
	d.meanWork += (d.expectedWork(r) - d.meanWork) * slowEWMAWeight
	r.sampled = isRetry // retries get no warming worker: a burst of them would overload it
	if !isRetry {
		d.arrived.add(d.now, d.settings.OverloadWindow)
		r.maySampleWarming = true // in its initial sampling only: each arrival is counted once
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

// latestOnTimeSend returns the latest time to send a request so that a typical worker answers it within its
// latency objective. A request with much work keeps at least a quarter of the time from its arrival to its
// objective. If the work is unknown, the expected estimation error is added to the run time; otherwise half
// of the requests would be late. An error changes the run time by its own amount and the objective by
// ObjectiveStretch times that amount.
func (d *Dispatcher) latestOnTimeSend(r *request) Time {
	run := d.expectedWork(r) * d.fleet.slowdown
	if r.work == 0 {
		run += r.class.relativeDeviation * math.Abs(r.class.ObjectiveStretch-1) * run
	}
	return max(r.objectiveAt-Time(run), r.arrivedAt+(r.objectiveAt-r.arrivedAt)/4)
}

// backlogDelay estimates the time until the work queued ahead of a request is completed, from the work in
// flight (Little's law). It is at most about twice the actual delay, the age of the oldest queued request.
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
