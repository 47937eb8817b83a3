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

// Attempt is one attempt of a request at a worker. Whoever carries it out looks at MaySend right before its first byte, reports what
// the worker says of the job, and ends it with Finish or ReportInvalidRequest in any case.
type Attempt struct {
	request    *Request
	number     int // among the attempts of its request, from 0
	worker     dispatch.WorkerID
	address    string
	sentAt     dispatch.Time // when it was ordered
	sendBefore dispatch.Time // its first byte is sent before, or it is not sent at all; 0: no bound
	ctx        context.Context
	cancel     context.CancelCauseFunc
	stop       context.CancelFunc // releases the timer of ctx

	// The worker's process that the attempt is meant for: see workerState. It is not sent to a later one.
	workerStartedAtMillis int64
	workerGeneration      int

	// Guarded by the engine's lock.
	startedAt dispatch.Time // when the start of the job was reported; 0: it was not
	finished  bool
	neverRan  bool // by its outcome
}

// startAttempt begins an attempt as the decision module has ordered. The lock is held.
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
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt.cancel = cancel
	attempt.ctx, attempt.stop = context.WithDeadline(ctx, r.attemptDeadline(duration(action.Wait)))
	r.attempts = append(r.attempts, attempt)
	r.engine.Counters.AttemptsSent.Add(1)
	r.decisions <- Decision{Kind: DecisionSend, Attempt: attempt}
}

// attemptDeadline returns when an attempt that begins now ends at the latest: with its request, after its timeout, which is none where
// it is 0, or after the longest duration that the group allows. The lock is held.
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

// Cancelled tells whether the decision module cancelled the attempt.
func (a *Attempt) Cancelled() bool { return errors.Is(context.Cause(a.ctx), errCancelled) }

// Address returns where the worker listens, as host:port.
func (a *Attempt) Address() string { return a.address }

// MaySend tells whether the attempt may still be sent; it is to be asked right before the first byte. It guards against what came
// while the connection was set up: a drain, a lease that ran out, a deadline, or the end of the time in which workers drop repeats.
// After a stall of the process it waits for a moment: see waitAfterStall.
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
	return worker.usable() && engine.leaseAllows(worker) && a.isFor(worker)
}

// isFor tells whether the worker is still the process that the attempt was meant for. The lock is held.
func (a *Attempt) isFor(worker *workerState) bool {
	return worker.endpoint.Address == a.address &&
		worker.endpoint.StartedAtMillis == a.workerStartedAtMillis &&
		worker.generation == a.workerGeneration
}

// NeedsLease tells whether the attempt may be sent under the group's lease only. Its last byte is then to be sent by itself, right
// after a further look at MaySend.
func (a *Attempt) NeedsLease() bool {
	engine := a.request.engine
	if !engine.leaseInUse.Load() {
		return false // without a group, and without the lock
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.plansUnknown {
		return true
	}
	worker := engine.knownWorker(a.worker)
	return worker != nil && worker.needsLease
}

// ReportStarted reports that the job began to run.
func (a *Attempt) ReportStarted() { a.report(dispatch.Event{Kind: dispatch.AttemptStarted}) }

// ReportProgress reports which part of the job is done, from 0 to 1.
func (a *Attempt) ReportProgress(fraction float64) {
	a.report(dispatch.Event{Kind: dispatch.AttemptProgressed, Progress: fraction})
}

// report tells the decision module of an event of an attempt that has not ended.
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

// ReportInvalidRequest ends the attempt and its request, as the worker cannot use the request. It never ran, no worker is to blame, and
// no other worker could use it either.
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

// Finish ends the attempt with its outcome; answer is the worker's result where that is dispatch.ResultOK. Only the first call counts.
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
	engine.noteAttemptEnd(a, result)
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
