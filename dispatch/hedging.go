package dispatch

const (
	// startSlack is the time by which a start delay may exceed twice the zone's minimum before the request
	// counts as queued at the worker.
	startSlack = 40 * Millisecond

	// hedgeStartSlack replaces startSlack if an attempt at another worker has almost no cost.
	hedgeStartSlack = 10 * Millisecond

	// progressSlack is the delay of a progress report after which the attempt counts as stalled.
	progressSlack = 400 * Millisecond

	// maxCancelPrice is the maximum price of a cancelled attempt (wasted work plus fetch) at which waiting
	// requests are hedged, migrated and cancelled.
	maxCancelPrice = 0.1
)

// canCancel reports whether attempts that wait, or whose result is no longer needed, are cancelled. Wasted
// work has to be cheap, since a cancellation may come too late to save any. Guards against workers that spend
// their capacity on results that are no longer needed.
func (d *Dispatcher) canCancel() bool {
	isCheap := d.settings.PriceWaste+d.settings.PriceFetch <= maxCancelPrice
	return d.settings.CanCancel && d.settings.ReportsStart && isCheap
}

// canHedge reports whether a request that waits at a worker is also sent to another worker, or migrated
// there. The first attempt to start cancels the other.
func (d *Dispatcher) canHedge(r *request) bool {
	mayRunTwice := r.class.Idempotency == Idempotent && !r.limits.RetryNotRunOnly
	mayHedge := d.settings.CanHedge && mayRunTwice && !r.limits.NoHedging
	return d.canCancel() && mayHedge || d.canMigrate(r)
}

// canMigrate reports whether a request that waits at a worker is cancelled there and then sent to another
// worker.
func (d *Dispatcher) canMigrate(r *request) bool {
	mayRunAgain := r.class.Idempotency != NonIdempotent && !r.limits.RetryNotRunOnly
	return d.canCancel() && !d.settings.CanHedge && mayRunAgain
}

// expiresAtObjective reports whether a request is answered at its latency objective unless it starts: it is
// queued at workers without running, and a late answer has no value.
func (d *Dispatcher) expiresAtObjective(r *request) bool {
	return r.class.LateWeight <= 0 && d.canCancel() && r.inFlight() > 0 && !r.isRunning()
}

// maxUnqueuedStartDelay returns the upper bound of the time from a send to the start of a request at a worker
// with an empty queue.
func (d *Dispatcher) maxUnqueuedStartDelay(r *request, w *worker) Time {
	slack := startSlack
	if d.canHedge(r) {
		slack = hedgeStartSlack
	}
	if d.canMigrate(r) { // doubles, so that the limited number of attempts is not used up at once
		slack = hedgeStartSlack << min(len(r.attempts)-1, maxDoublings)
	}
	return 2*d.zoneOf(w).startDelay + slack
}

// nextCheckAt returns the time of the next check of an attempt: for a missing start or progress report, for a
// hedge, or for lateness.
func (d *Dispatcher) nextCheckAt(r *request, a *attempt) Time {
	switch {
	case !a.inFlight:
		return never
	case a.startedAt > 0:
		if a.stalled || d.settings.ProgressInterval <= 0 {
			return never
		}
		return a.lastSignalAt + d.settings.ProgressInterval + progressSlack
	case !d.settings.ReportsStart:
		return never
	case !a.queueDetected:
		return a.sentAt + d.maxUnqueuedStartDelay(r, a.worker)
	case !a.hedgeDecided:
		return a.sentAt + r.limits.HedgeDelay
	case !a.late:
		return max(d.latestOnTimeSend(r), a.sentAt+1)
	}
	return never
}

// checkOverdueAttempt checks an attempt if its next check is due (see nextCheckAt): it adjusts the state of
// the worker or the shedding, and hedges or migrates the request.
func (d *Dispatcher) checkOverdueAttempt(r *request, a *attempt) {
	if d.now < d.nextCheckAt(r, a) {
		return
	}
	switch {
	case a.startedAt > 0:
		a.stalled = true
		d.markUnresponsive(a.worker) // guards against a worker that accepts requests and never answers
		return
	case a.hedgeDecided:
		a.late = true
		if !d.canMigrate(r) { // a migrating request waits in several queues, the last until its objective
			d.adjustShedding(shedIncrease * (1 - r.class.LateWeight))
		}
		return
	case !a.queueDetected:
		a.queueDetected = true
		d.reduceCapacity(a.worker)
	}
	if d.now >= a.sentAt+r.limits.HedgeDelay {
		a.hedgeDecided = true
		d.hedge(r, a)
	}
}

// hedge hedges or migrates a request whose attempt a waits at a worker, if rules and prices allow it.
func (d *Dispatcher) hedge(r *request, a *attempt) {
	if !d.canHedge(r) || len(r.attempts) >= d.maxAttempts(r) || r.isRunning() || r.queueTicket != 0 {
		return
	}
	switch {
	case d.canMigrate(r):
		d.cancelAttempts(r, nil) // the end of this attempt triggers the next one
	case r.inFlight() == 1:
		d.enqueue(r)
	default:
		d.cancelAttempts(r, a) // the end of the other attempt triggers the next one
	}
}
