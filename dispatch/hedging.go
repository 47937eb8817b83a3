package dispatch

const (
	// startSlack is how far past twice the shortest of its zone a start is still taken for one without a
	// queue.
	startSlack = 40 * Millisecond

	// hedgeStartSlack is the same where an attempt elsewhere costs next to nothing.
	hedgeStartSlack = 10 * Millisecond

	// progressSlack is how late a progress report may be: after that the worker has stalled.
	progressSlack = 400 * Millisecond

	// maxCancelPrice is the price of an attempt that is cancelled, its work and its fetch, up to which
	// waiting requests are hedged, migrated and cancelled.
	maxCancelPrice = 0.1
)

// canCancel says whether attempts that wait, or that nobody waits for, are cancelled: where waste is cheap,
// as elsewhere a cancel may stop nothing. Guards against workers that are full of work that is worth nothing
// any more.
func (d *Dispatcher) canCancel() bool {
	isCheap := d.settings.PriceWaste+d.settings.PriceFetch <= maxCancelPrice
	return d.settings.CanCancel && d.settings.ReportsStart && isCheap
}

// canHedge says whether a request that waits at a worker is sent to another one too, or migrated. The first
// start cancels the other attempt.
func (d *Dispatcher) canHedge(r *request) bool {
	mayRunTwice := r.class.Idempotency == Idempotent && !r.limits.RetryNotRunOnly
	mayHedge := d.settings.CanHedge && mayRunTwice && !r.limits.NoHedging
	return d.canCancel() && mayHedge || d.canMigrate(r)
}

// canMigrate says whether a request that waits at a worker is cancelled there first and then sent to another
// one.
func (d *Dispatcher) canMigrate(r *request) bool {
	mayRunAgain := r.class.Idempotency != NonIdempotent && !r.limits.RetryNotRunOnly
	return d.canCancel() && !d.settings.CanHedge && mayRunAgain
}

// isHopeless says whether a request only waits at workers, in queues, and has no weight after its latency
// objective.
func (d *Dispatcher) isHopeless(r *request) bool {
	return r.class.LateWeight <= 0 && d.canCancel() && r.inFlight() > 0 && !r.isRunning()
}

// startAllowance is how long after its send a request has started if nothing waits at the worker.
func (d *Dispatcher) startAllowance(r *request, w *worker) Time {
	slack := startSlack
	if d.canHedge(r) {
		slack = hedgeStartSlack
	}
	if d.canMigrate(r) { // attempts are few: they must not be used up at once
		slack = hedgeStartSlack << min(len(r.attempts)-1, maxDoublings)
	}
	return 2*d.zoneOf(w).startDelay + slack
}

// signalDue is when an attempt's start, or its next progress, is overdue; never: no signal is due.
func (d *Dispatcher) signalDue(r *request, a *attempt) Time {
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
		return a.sentAt + d.startAllowance(r, a.worker)
	case !a.hedgeDecided:
		return a.sentAt + r.limits.HedgeDelay
	case !a.late:
		return max(d.latestOnTimeSend(r), a.sentAt+1)
	}
	return never
}

// handleOverdueSignal judges a worker by an attempt whose signal is overdue, and hedges or migrates the
// request.
func (d *Dispatcher) handleOverdueSignal(r *request, a *attempt) {
	if d.now < d.signalDue(r, a) {
		return
	}
	switch {
	case a.startedAt > 0:
		a.stalled = true
		d.markUnresponsive(a.worker) // guards against a worker that takes requests and answers none
		return
	case a.hedgeDecided:
		a.late = true
		if !d.canMigrate(r) { // one that migrates has met several queues and leaves the last at its objective
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

// hedge sends a request that waits at a worker, in the attempt a, to another one, where rules and prices
// allow it.
func (d *Dispatcher) hedge(r *request, a *attempt) {
	if !d.canHedge(r) || len(r.attempts) >= d.maxAttempts(r) || r.isRunning() || r.queueTicket != 0 {
		return
	}
	switch {
	case d.canMigrate(r):
		d.cancelAttempts(r, nil) // its end brings the next
	case r.inFlight() == 1:
		d.enqueue(r)
	default:
		d.cancelAttempts(r, a) // the other's end brings the next
	}
}
