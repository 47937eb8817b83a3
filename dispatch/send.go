package dispatch

// Attempts and final answers. Everything that is sent to a worker passes send, every answer to a client
// passes respond: the four rules are enforced here.

// maySend reports whether the rules allow an attempt of r at w.
func (d *Dispatcher) maySend(r *request, w *worker) bool {
	inTime := r.open && d.now < r.deadline && d.now >= r.retryNotBefore
	mayAttempt := inTime && len(r.attempts) < d.maxAttempts(r) // rule one
	return mayAttempt &&
		r.inFlight() < 2 && d.mayRetry(r, w) && // rule two
		w.isReady() && // rule three: not even within the drain grace
		d.slowStartAllows(r, w) // rule four
}

// maxAttempts returns how many attempts a request may have. Guards against an attempt that new settings no
// longer allow.
func (d *Dispatcher) maxAttempts(r *request) int {
	if r.limits.MaxAttempts > 0 {
		return min(r.limits.MaxAttempts, r.maxAttempts, d.settings.MaxAttempts)
	}
	return min(r.maxAttempts, d.settings.MaxAttempts)
}

// send sends r to w and reports whether the rules allow it.
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
	sendBefore := d.retryDeadline(r) // from the attempts before this one
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

// releaseSlots ends an attempt that was in flight and frees its slots.
func (d *Dispatcher) releaseSlots(r *request, a *attempt) {
	a.inFlight = false
	a.worker.slotsInUse -= r.slots
	d.slotsInUse -= r.slots
	if a.startedAt > 0 {
		a.worker.slotsRunning -= r.slots
	}
	d.sendToAggregator(a.worker, UsageUpdate)
}

// cancelAttempts cancels a request's attempts in flight except one. Their ends are reported like any other.
func (d *Dispatcher) cancelAttempts(r *request, except *attempt) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.inFlight && !a.cancelled && a != except {
			a.cancelled = true
			d.emit(Action{Kind: Cancel, Request: r.id, Attempt: i})
		}
	}
}

// respond gives the final answer: a rejection where a further try by the client cannot cause a second effect,
// else a failure.
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
