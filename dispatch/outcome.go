package dispatch

// handleAttempt handles an event about an attempt in flight.
func (d *Dispatcher) handleAttempt(r *request, a *attempt, event *Event) {
	switch event.Kind {
	case AttemptStarted:
		if a.startedAt == 0 {
			d.handleStarted(r, a)
		}
	case AttemptProgressed:
		a.lastSignalAt, a.stalled = d.now, false
		a.worker.markResponsive()
		d.schedule(r)
	case ResponseStarted:
		a.lastSignalAt, r.deadline = d.now, never
	case AttemptEnded:
		d.handleEnded(r, a, event)
	}
}

// handleStarted handles the report that an attempt has begun to run. If the request could be hedged, its
// other attempts are cancelled.
func (d *Dispatcher) handleStarted(r *request, a *attempt) {
	w := a.worker
	w.markResponsive()
	w.slotsRunning += r.slots
	a.startedAt, a.lastSignalAt = d.now, d.now
	w.kind.size = max(w.kind.size, w.slotsRunning)
	if !a.queueDetected && !w.kind.sizeReported {
		w.kind.size = max(w.kind.size, min(a.groupLoad, w.kind.size+1))
	}
	d.recordStartDelay(w, max(1, d.now-a.sentAt))
	if !a.late {
		d.adjustShedding(-shedDecrease)
	}
	if r.open && d.canHedge(r) {
		d.dequeue(r)
		d.cancelAttempts(r, a)
	}
	d.schedule(r)
}

// recordStartDelay updates the start delays of the worker's zone and kind with the time from a send to its
// start.
func (d *Dispatcher) recordStartDelay(w *worker, delay Time) {
	zone := d.zoneOf(w)
	zone.startDelay = min(zone.startDelay, delay)
	zone.connectFailureRate *= 1 - fastEWMAWeight
	wait := float64(max(0, delay-zone.startDelay-startSlack)) / (d.meanWork * d.fleet.slowdown)
	w.kind.queueWait += (wait - w.kind.queueWait) * fastEWMAWeight
	zone.queueWait += (wait - zone.queueWait) * fastEWMAWeight
}

// handleEnded handles the end of an attempt: the request is closed, answered or retried, or waits for another
// attempt.
func (d *Dispatcher) handleEnded(r *request, a *attempt, event *Event) {
	w := a.worker
	wasAtCapacity := w.slotsInUse+r.slots > w.capacity
	a.neverRan = event.Result.neverRan()
	d.releaseSlots(r, a)
	d.recordLoadReport(w, event.Report)
	d.backOff(r)
	switch event.Result {
	case ResultOK:
		d.recordOutcome(w, 0)
		w.markResponsive()
		d.recordRunTime(r, a)
		d.recordCompletion(w)
		if wasAtCapacity && !a.queueDetected {
			w.growCapacity(r.slots)
		}
	case ResultOverloaded:
		d.limitCapacityToUse(w)
		d.sendToAggregator(w, OverloadNotice)
	case ResultTimedOut: // the work may still occupy the worker, unknown to its aggregator
		d.sendToAggregator(w, OverloadNotice)
	case ResultUnreachable:
		zone := d.zoneOf(w)
		zone.connectFailureRate += (1 - zone.connectFailureRate) * fastEWMAWeight
		d.markUnresponsive(w) // a dead worker fails every request and always has capacity
	case ResultFailed, ResultDisconnected:
		d.recordOutcome(w, 1)
	}
	d.meanCapacity += (w.capacity - d.meanCapacity) * slowEWMAWeight
	d.continueRequest(r, a, event.Final)
	d.dispatchNext(w)
}

// continueRequest closes, retries or answers a request, if necessary, after its attempt a has ended.
func (d *Dispatcher) continueRequest(r *request, a *attempt, isFinal bool) {
	if isFinal || !r.open {
		d.closeRequest(r)
		return
	}
	if r.queueTicket != 0 || r.isRunning() {
		return
	}
	isRetried := d.now < r.deadline && d.retry(r, a)
	if !isRetried && r.inFlight() == 0 {
		d.respond(r)
	}
}

// neverRan reports whether the result proves that the attempt never ran.
func (r Result) neverRan() bool {
	return r == ResultOverloaded || r == ResultNotSent || r == ResultUnreachable
}
