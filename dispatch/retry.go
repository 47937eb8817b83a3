package dispatch

const (
	retryBudgetRatio = 0.15 // retries added to the budget per arrival: bounds retry storms
	maxRetryBudget   = 10.0 // maximum number of retries in the budget
	maxDoublings     = 20   // maximum doublings of a pause or slack, one per attempt: avoids an overflow
)

// mayRetry reports whether an attempt at w cannot cause a duplicate effect, whatever the outcome of earlier
// attempts.
func (d *Dispatcher) mayRetry(r *request, w *worker) bool {
	for i := range r.attempts {
		if d.forbidsRetry(r, &r.attempts[i], w) {
			return false
		}
	}
	return d.now < d.retryDeadline(r)
}

// forbidsRetry reports whether the earlier attempt a forbids an attempt at w.
func (d *Dispatcher) forbidsRetry(r *request, a *attempt, w *worker) bool {
	if a.neverRan {
		return false
	}
	if !r.mayRunAgain(a.worker, w) {
		return true
	}
	mayHedge := d.settings.CanHedge && !r.limits.NoHedging && a.worker != w
	return a.inFlight && !mayHedge
}

// mayRunAgain reports whether a request that may have run at one worker may run at another.
func (r *request) mayRunAgain(ranAt, w *worker) bool {
	if r.limits.RetryNotRunOnly {
		return false
	}
	switch r.class.Idempotency {
	case Idempotent:
		return true
	case Deduplicated:
		return sameDedupScope(r.class.DedupScope, ranAt, w)
	}
	return false
}

// retryDeadline returns the time before which the first byte of a further attempt has to be sent. Workers
// drop repeats for the deduplication window. It is measured from the Send action of the first attempt that
// may have run, since the attempt cannot have been sent earlier.
func (d *Dispatcher) retryDeadline(r *request) Time {
	return r.mayHaveRunSince() + r.dedupWindow - d.settings.Tick
}

// retry queues a request for a further attempt after the attempt a, if the rules, the retry budget and the
// remaining time allow one, and reports whether it did.
func (d *Dispatcher) retry(r *request, a *attempt) bool {
	if d.now >= d.queueDeadline(r) || len(r.attempts) >= d.maxAttempts(r) {
		return false
	}
	if r.mayHaveRun() {
		if r.limits.RetryNotRunOnly {
			return false
		}
		if !a.cancelled && !d.takeRetryBudget(r) {
			return false
		}
	}
	d.enqueue(r)
	return true
}

// takeRetryBudget takes one retry from the budget and reports whether one was available. Guards against a
// retry storm when all workers are slow or failing.
func (d *Dispatcher) takeRetryBudget(r *request) bool {
	if r.class.Idempotency == NonIdempotent || d.retryBudget < 1 {
		return false
	}
	d.retryBudget--
	return true
}

// backOff sets the pause before the next attempt, which gives the workers time to recover.
func (d *Dispatcher) backOff(r *request) {
	limits := &r.limits
	if limits.RetryBackoff <= 0 {
		return
	}
	doublings := min(len(r.attempts)-1, maxDoublings)
	pause := min(limits.RetryBackoff<<doublings, max(limits.MaxRetryBackoff, limits.RetryBackoff))
	r.retryNotBefore = d.now + Time(float64(pause)*(1-limits.BackoffJitter*d.rng.Float64()))
}
