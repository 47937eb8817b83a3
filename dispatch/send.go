package dispatch

// This file emits attempts and final answers and enforces the four rules: every attempt is sent by send,
// every answer to a client by respond.

// maySend reports whether the rules allow sending r to w.
func (d *Dispatcher) maySend(r *request, w *worker) bool {
	inTime := r.open && d.now < r.deadline && d.now >= r.retryNotBefore
	mayAttempt := inTime && len(r.attempts) < d.maxAttempts(r) // rule one
	return mayAttempt &&
		r.inFlight() < 2 && d.mayRetry(r, w) && // rule two
		w.isReady() && // rule three: not even within the drain grace
		d.slowStartAllows(r, w) // rule four
}

// maxAttempts returns the maximum number of attempts of a request. The current settings apply too, so that a
// request makes no attempt that new settings no longer allow.
func (d *Dispatcher) maxAttempts(r *request) int {
	if r.limits.MaxAttempts > 0 {
		return min(r.limits.MaxAttempts, r.maxAttempts, d.settings.MaxAttempts)
	}
	return min(r.maxAttempts, d.settings.MaxAttempts)
}

// send sends r to w if the rules allow it, and reports whether it did.
func (d *Dispatcher) send(r *request, w *worker) bool {
	if !d.maySend(r, w) {
		return false
	}
	d.dequeue(r)
	a := attempt{worker: w, sentAt: d.now, lastSignalAt: d.now, inFlight: true}
	if d.knowsGroupLoad(w) {
		w.groupLoad += r.slots
		a.groupLoad = w.groupLoad
	}
	if w.ejected || w.unresponsive {
		d.scheduleProbe(w)
	}
	sendBefore := d.retryDeadline(r) // derived from earlier attempts only
	r.attempts = append(r.attempts, a)
	if len(d.awaitingFirstRequest) > 0 {
		d.clearFirstRequest(w)
	}
	if d.isWarmingUp(w) {
		w.warmingSends.add(d.now, d.settings.OverloadWindow)
	}
	w.slotsInUse += r.slots
	d.slotsInUse += r.slots
	timeout := r.limits.AttemptTimeout
	d.emit(Action{Kind: Send, Request: r.id, Worker: w.ID, Wait: timeout, SendBefore: sendBefore})
	d.sendToAggregator(w, UsageUpdate)
	d.schedule(r)
	return true
}

// releaseSlots marks an attempt as no longer in flight and frees its slots.
func (d *Dispatcher) releaseSlots(r *request, a *attempt) {
	a.inFlight = false
	a.worker.slotsInUse -= r.slots
	d.slotsInUse -= r.slots
	if a.startedAt > 0 {
		a.worker.slotsRunning -= r.slots
	}
	d.sendToAggregator(a.worker, UsageUpdate)
}

// cancelAttempts cancels a request's attempts in flight except one. The end of a cancelled attempt is
// reported by an event like any other.
func (d *Dispatcher) cancelAttempts(r *request, except *attempt) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !a.cancelled && a != except {
			a.cancelled = true
			d.emit(Action{Kind: Cancel, Request: r.id, Attempt: i})
		}
	}
}

// respond sends the final answer: a rejection if a retry by the client cannot cause a duplicate effect, else
// a failure.
func (d *Dispatcher) respond(r *request) {
	if !r.open {
		return
	}
	answer := Action{Kind: Reject, Request: r.id}
	dropsRepeats := r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere
	if r.mayHaveRun() && r.class.Idempotency != Idempotent && !dropsRepeats {
		answer.Kind = Fail
	} else if d.settings.RetryAfter {
		answer.Wait = min(d.backlogDelay(r), d.settings.MaxRetryAfter)
	}
	d.emit(answer)
	d.closeRequest(r)
}
