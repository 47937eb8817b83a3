package engine

import (
	"context"
	"errors"
	"time"

	"birchfork/dispatch"
)

// Causes of the cancellation of an attempt's context.
var (
	errCancelled = errors.New("attempt cancelled")
	errEnded     = errors.New("attempt ended")
)

// Attempt is one attempt of a request at a worker. Its user calls MaySend immediately before it sends the first byte, reports the
// start and the progress of the request, and always ends the attempt with Finish or ReportInvalidRequest.
type Attempt struct {
	request    *Request
	number     int // index among the attempts of the request
	worker     dispatch.WorkerID
	address    string
	sentAt     dispatch.Time // time at which the decision module requested the attempt
	sendBefore dispatch.Time // deadline for the first byte of the attempt; 0: none
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stop       context.CancelFunc // releases the timer of ctx

	// The worker process for which the attempt was started: see workerState. The attempt is not sent to a later process of the worker.
	workerStartedAtMillis int64
	workerGeneration      int

	// Guarded by the engine's lock.
	startedAt dispatch.Time // time at which the worker reported that the request runs; 0: not yet
	finished  bool
	neverRan  bool // according to the outcome
}

// startAttempt starts an attempt that the decision module has requested. The caller must hold the lock.
func (r *Request) startAttempt(now dispatch.Time, action *dispatch.Action) {
	r.engine.names.AttemptSent(r.id)
	r.reservation.markSent()
	attempt := &Attempt{
		request: r, number: len(r.attempts), worker: action.Worker, sentAt: now, sendBefore: action.SendBefore,
	}
	if worker := r.engine.knownWorker(action.Worker); worker != nil {
		attempt.address = worker.endpoint.Address
		attempt.workerStartedAtMillis = worker.endpoint.StartedAtMillis
		attempt.workerGeneration = worker.generation
		worker.inFlight++
		if worker.isWarmingUp(now, r.engine.slowStartWindow) {
			worker.sentToWarming++
			r.engine.Counters.SentToWarming.Add(1)
		}
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt.cancel = cancel
	attempt.ctx, attempt.stop = context.WithDeadline(ctx, r.attemptDeadline(duration(action.Wait)))
	r.attempts = append(r.attempts, attempt)
	r.engine.Counters.AttemptsSent.Add(1)
	r.decisions <- Decision{Kind: DecisionSend, Attempt: attempt}
}

// attemptDeadline returns the deadline of an attempt that starts now. It is the earliest of the request's deadline, the attempt's timeout
// (0: none) and the maximum duration that the group allows. The caller must hold the lock.
func (r *Request) attemptDeadline(timeout time.Duration) time.Time {
	deadline := r.deadline
	for _, limit := range [...]time.Duration{timeout, r.engine.maxAttemptDuration} {
		if limit <= 0 {
			continue
		}
		if limited := time.Now().Add(limit); limited.Before(deadline) {
			deadline = limited
		}
	}
	return deadline
}

// Context returns the attempt's context. It is done at the attempt's deadline, or when the attempt is cancelled or has ended.
func (a *Attempt) Context() context.Context { return a.ctx }

// Cancelled reports whether the decision module cancelled the attempt.
func (a *Attempt) Cancelled() bool { return errors.Is(context.Cause(a.ctx), errCancelled) }

// Address returns the worker's address, as host:port.
func (a *Attempt) Address() string { return a.address }

// MaySend reports whether the attempt may still be sent. It must be called immediately before the first byte is sent, because the state may
// have changed while the connection was set up: the worker drains, the lease has expired, a deadline has passed, or the time has elapsed
// within which workers drop duplicates. After a stall of the process MaySend waits: see waitAfterStall.
func (a *Attempt) MaySend() bool {
	engine := a.request.engine
	engine.waitAfterStall(a.ctx)
	if a.ctx.Err() != nil {
		return false
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	worker := engine.knownWorker(a.worker)
	if worker == nil || a.request.finished {
		return false
	}
	if a.sendBefore > 0 && engine.now() >= a.sendBefore {
		return false
	}
	return worker.usable() && engine.leaseAllows(worker) && a.isForSameProcess(worker)
}

// isForSameProcess reports whether the worker is still the process for which the attempt was started. The caller must hold the lock.
func (a *Attempt) isForSameProcess(worker *workerState) bool {
	return worker.endpoint.Address == a.address &&
		worker.endpoint.StartedAtMillis == a.workerStartedAtMillis &&
		worker.generation == a.workerGeneration
}

// NeedsLease reports whether the attempt may be sent only while the group's lease is valid. The last byte then has to be sent separately,
// immediately after another call of MaySend.
func (a *Attempt) NeedsLease() bool {
	engine := a.request.engine
	if !engine.leaseInUse.Load() {
		return false // avoids the lock if there is no group
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.plansUnknown {
		return true
	}
	worker := engine.knownWorker(a.worker)
	return worker != nil && worker.needsLease
}

// ReportStarted reports that the worker has started to run the request.
func (a *Attempt) ReportStarted() { a.report(dispatch.Event{Kind: dispatch.AttemptStarted}) }

// ReportProgress reports the completed fraction of the request, between 0 and 1.
func (a *Attempt) ReportProgress(fraction float64) {
	a.report(dispatch.Event{Kind: dispatch.AttemptProgressed, Progress: fraction})
}

// report passes an event of the attempt to the decision module, unless the attempt has ended.
func (a *Attempt) report(event dispatch.Event) {
	engine := a.request.engine
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if a.finished {
		return
	}
	event.Request, event.Attempt, event.Worker = a.request.id, a.number, a.worker
	now := engine.now()
	if event.Kind == dispatch.AttemptStarted && a.startedAt == 0 {
		a.startedAt = now
	}
	engine.handle(now, &event)
}

// ReportInvalidRequest ends the attempt and its request because the worker reported the request as invalid. The request never ran. It does
// not count as a failure of the worker, and a retry at another worker would fail too.
func (a *Attempt) ReportInvalidRequest() {
	request := a.request
	request.engine.mu.Lock()
	defer request.engine.mu.Unlock()
	if !request.finished {
		request.decisions <- Decision{Kind: DecisionInvalid}
		request.abandon()
	}
	a.finish(dispatch.ResultNotSent, nil)
}

// Finish ends the attempt with the given outcome. If the outcome is dispatch.ResultOK, answer is the worker's result. Further calls have no
// effect.
func (a *Attempt) Finish(result dispatch.Result, answer []byte) {
	a.request.engine.mu.Lock()
	defer a.request.engine.mu.Unlock()
	a.finish(result, answer)
}

// finish is Finish with the lock held.
func (a *Attempt) finish(result dispatch.Result, answer []byte) {
	if a.finished {
		return
	}
	a.finished = true
	a.neverRan = result == dispatch.ResultOverloaded || result == dispatch.ResultNotSent || result == dispatch.ResultUnreachable
	a.stop()
	a.cancel(errEnded)
	request, engine := a.request, a.request.engine
	engine.Counters.recordOutcome(result)
	engine.recordAttemptEnd(a, result)
	engine.trackFailures(a.worker, result)
	if result == dispatch.ResultOK {
		request.respond(Decision{Kind: DecisionServe, Result: answer})
	}
	now := engine.now()
	engine.handle(now, &dispatch.Event{
		Kind: dispatch.AttemptEnded, Request: request.id, Attempt: a.number, Worker: a.worker, Result: result, Final: request.finished,
		Elapsed: now - a.sentAt, Report: dispatch.LoadReport{FreeSlots: -1, QueueLength: -1},
	})
	engine.names.AttemptEnded(request.id, request.finished)
	engine.releaseID(request)
}
