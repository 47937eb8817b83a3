package engine

import (
	"context"
	"errors"
	"time"

	"birchfork/dispatch"
)

// Causes of the end of an attempt's context.
var (
	errCancelled = errors.New("the attempt was cancelled")
	errEnded     = errors.New("the attempt has ended")
)

// Attempt is one attempt of a request at a worker. Its user calls MaySend immediately before sending the first byte, reports what the
// worker says about the request, and always ends it with Finish or ReportInvalidRequest.
type Attempt struct {
	request    *Request
	number     int // index among the attempts of its request, from 0
	worker     dispatch.WorkerID
	address    string
	sentAt     dispatch.Time // when it was ordered
	sendBefore dispatch.Time // the attempt is sent only if its first byte goes out before this time; 0: no bound
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stop       context.CancelFunc // releases the timer of ctx

	// The worker process that the attempt is meant for: see workerState. It is not sent to a later one.
	workerStartedAtMillis int64
	workerGeneration      int

	// Guarded by the engine's lock.
	startedAt dispatch.Time // when the worker reported that the request runs; 0: not yet
	finished  bool
	neverRan  bool // according to its outcome
}

// startAttempt begins an attempt that the decision module has ordered. The caller must hold the lock.
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

// attemptDeadline returns the latest end of an attempt that begins now: the request's deadline, the attempt's timeout (0: none) or the
// longest duration that the group allows, whichever is first. The caller must hold the lock.
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

// Context returns the attempt's context. It ends at the attempt's deadline, or when the attempt is cancelled or has ended.
func (a *Attempt) Context() context.Context { return a.ctx }

// Cancelled reports whether the decision module cancelled the attempt.
func (a *Attempt) Cancelled() bool { return errors.Is(context.Cause(a.ctx), errCancelled) }

// Address returns the worker's address, as host:port.
func (a *Attempt) Address() string { return a.address }

// MaySend reports whether the attempt may still be sent. It must be called immediately before the first byte. It guards against changes
// while the connection was set up: a drain, an expired lease, a deadline, or the end of the time within which workers drop repeats. After a
// stall of the process it waits: see waitAfterStall.
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

// isForSameProcess reports whether the worker is still the process that the attempt was meant for. The caller must hold the lock.
func (a *Attempt) isForSameProcess(worker *workerState) bool {
	return worker.endpoint.Address == a.address &&
		worker.endpoint.StartedAtMillis == a.workerStartedAtMillis &&
		worker.generation == a.workerGeneration
}

// NeedsLease reports whether the attempt may be sent only under the group's lease. Its last byte then has to be sent separately,
// immediately after a further call of MaySend.
func (a *Attempt) NeedsLease() bool {
	engine := a.request.engine
	if !engine.leaseInUse.Load() {
		return false // without a group; the lock is not needed
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.plansUnknown {
		return true
	}
	worker := engine.knownWorker(a.worker)
	return worker != nil && worker.needsLease
}

// ReportStarted reports that the worker has begun to run the request.
func (a *Attempt) ReportStarted() { a.report(dispatch.Event{Kind: dispatch.AttemptStarted}) }

// ReportProgress reports the completed fraction of the request, from 0 to 1.
func (a *Attempt) ReportProgress(fraction float64) {
	a.report(dispatch.Event{Kind: dispatch.AttemptProgressed, Progress: fraction})
}

// report passes an event of an attempt that has not ended to the decision module.
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

// ReportInvalidRequest ends the attempt and its request because the request is invalid to the worker. It never ran, the worker is not at
// fault, and no other worker could use it either.
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

// Finish ends the attempt with its outcome; answer is the worker's result if the outcome is dispatch.ResultOK. Only the first call has an
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
