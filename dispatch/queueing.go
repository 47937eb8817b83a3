package dispatch

// candidateInterval is the time that a request waits for its candidates before further workers are sampled.
const candidateInterval = 10 * Millisecond

// enqueue queues a request at random ready workers and sends it at once if one of them has capacity.
func (d *Dispatcher) enqueue(r *request) {
	d.joinQueue(r)
	d.sampleCandidates(r, initialCandidates)
	if !d.place(r) {
		d.schedule(r)
	}
}

// queueDeadline returns the latest time to send a queued request that has no attempt in flight.
func (d *Dispatcher) queueDeadline(r *request) Time {
	if r.limits.MaxQueueTime > 0 {
		return min(d.latestOnTimeSend(r), r.arrivedAt+r.limits.MaxQueueTime)
	}
	return d.latestOnTimeSend(r)
}

// dispatchNext sends queued requests to a worker while it has capacity. The oldest requests of the worker's
// queue come first, then the oldest of all queued requests that have waited long enough to use any worker.
func (d *Dispatcher) dispatchNext(w *worker) {
	queuedBefore := d.now - candidateInterval
	if w.Zone != d.settings.Zone {
		queuedBefore = d.now - d.crossZoneDelay()
	}
	for band := range bandCount {
		own, others := w.queues[band].oldest(d.now), d.queues[band].oldest(queuedBefore)
		for _, r := range append(own, others...) {
			if r.queueTicket != 0 && d.hasCapacity(r, w) {
				d.send(r, w)
			}
		}
	}
}

// placeQueued places the requests that have waited for the load of w.
func (d *Dispatcher) placeQueued(w *worker) {
	for band := range w.queues {
		for _, r := range w.queues[band].oldest(d.now) {
			d.place(r)
		}
	}
}

// reevaluate performs the checks and steps that have become due for a request.
func (d *Dispatcher) reevaluate(r *request) {
	for i := range r.attempts {
		d.checkOverdueAttempt(r, &r.attempts[i])
	}
	switch {
	case d.mustRespond(r):
		d.respond(r)
	case r.queueTicket != 0 && d.now >= r.nextSamplingAt:
		r.samplingRound++
		if !d.place(r) {
			d.sampleCandidates(r, furtherCandidates)
			d.place(r)
		}
	}
	if r.open {
		d.schedule(r)
	}
}

// mustRespond reports whether a request has to be answered now, since waiting longer cannot succeed.
func (d *Dispatcher) mustRespond(r *request) bool {
	if d.now >= r.deadline || d.now >= r.objectiveAt && d.expiresAtObjective(r) {
		return true
	}
	return r.isWaitingUnsent() && (d.now >= d.queueDeadline(r) || len(r.attempts) >= d.maxAttempts(r))
}
