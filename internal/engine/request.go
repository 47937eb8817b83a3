package engine

import (
	"context"
	"errors"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/settings"
)

// RequestSpec is a request as a front has decoded it.
type RequestSpec struct {
	ID       string
	Class    string
	Tenant   string // empty: none
	TimeLeft time.Duration
	Slots    int
	Memory   float64
	Retry    bool
	Key      string // what the request is about; empty: none
	Method   string // this and the next are for the operator's routes
	Path     string
}

// What Open turns away. None of it reaches the module.
var (
	ErrUnknownClass  = errors.New("the class is not in the settings")
	ErrUnknownTenant = errors.New("the tenant is not in the settings")
	ErrDuplicateID   = errors.New("a request with this id is open, or was of late")
	ErrTooManyOpen   = errors.New("too many requests are open")
)

// DecisionKind tells orders apart.
type DecisionKind uint8

// The orders. All but SendOut end the request.
const (
	DecisionSend  DecisionKind = iota // Attempt
	DecisionServe                     // Result
	DecisionShed                      // RetryAfter
	DecisionFail
	DecisionInvalid // a worker could not use the request: it is at fault itself
)

// Decision is what is to be done next for one request.
type Decision struct {
	Kind       DecisionKind
	Attempt    *Attempt
	Result     []byte
	RetryAfter time.Duration
}

// Request is one open request. Its front takes orders until one ends it, and calls Leave at the end in any case.
type Request struct {
	engine      *Engine
	id          dispatch.RequestID
	deadline    time.Time // when its client stops waiting
	decisions   chan Decision
	attempts    []*Attempt
	maxAttempts int         // attempts that there is room for among the orders
	finished    bool        // no answer is owed any more
	reservation reservation // what it holds of the operator's limits
}

// Open takes a request in and lets the module decide on it.
func (e *Engine) Open(spec RequestSpec) (*Request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	class, err := e.names.ClassID([]byte(settings.NormalizeName(spec.Class)))
	if err != nil {
		return nil, ErrUnknownClass
	}
	tenant := -1
	if e.names.HasTenants() && spec.Tenant != "" {
		if tenant, err = e.names.TenantID([]byte(settings.NormalizeName(spec.Tenant))); err != nil {
			return nil, ErrUnknownTenant
		}
	}
	if e.maxOpen > 0 && e.openRequests >= e.maxOpen {
		return nil, ErrTooManyOpen
	}
	// Guards against a stranger who asks under the id of another's request: he gets neither its answer nor its attempts,
	// and no second effect. Clients take a new id for each request.
	if e.recentIDs.contains(spec.ID) {
		return nil, ErrDuplicateID
	}
	now := e.now()
	reserved, routeLimits, err := e.admit(now, &spec, class, tenant)
	if err != nil {
		return nil, err
	}
	id, err := e.names.OpenRequest([]byte(spec.ID))
	if err != nil {
		reserved.release(now, admission.Ignored)
		return nil, ErrDuplicateID
	}
	e.recentIDs.add(spec.ID)
	request := &Request{engine: e, id: id, deadline: time.Now().Add(spec.TimeLeft), decisions: make(chan Decision, e.maxAttempts+1), maxAttempts: e.maxAttempts, reservation: reserved}
	for int(id) >= len(e.requests) {
		e.requests = append(e.requests, nil)
	}
	e.requests[id] = request
	e.openRequests++
	e.Counters.Accepted.Add(1)
	e.handle(now, &dispatch.Event{
		Kind: dispatch.RequestArrived, Request: id, Class: class, Tenant: tenant, TimeLeft: dispatch.Time(spec.TimeLeft.Microseconds()),
		Slots: max(spec.Slots, 1), Memory: spec.Memory, Retry: spec.Retry, RouteLimits: routeLimits, AffinityKey: settings.HashKey(spec.Key),
	})
	return request, nil
}

// Decisions is where the module's orders for the request arrive, in their order.
func (r *Request) Decisions() <-chan Decision { return r.decisions }

// Close says that the front is through with the request. Where no answer had been decided on, its client has gone.
// Attempts that are out go on until they end by themselves or by the module.
func (r *Request) Close() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if !r.finished {
		r.engine.Counters.ClientsGone.Add(1)
		r.abandon()
	}
	r.drainDecisions()
}

// Abort ends the request, as its time is up or this process ends. It returns the order that answers it: the module's, where that has
// come meanwhile, else a failure, or a refusal where nothing of it can have run.
func (r *Request) Abort() Decision {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if r.finished {
		return r.drainDecisions()
	}
	r.engine.Counters.Overdue.Add(1)
	r.abandon()
	r.drainDecisions() // what nobody has begun with never ran
	for _, attempt := range r.attempts {
		if !attempt.neverRan {
			return Decision{Kind: DecisionFail}
		}
	}
	return Decision{Kind: DecisionShed}
}

// abandon ends a request that the module has not answered: to the module its client has gone. The lock is held.
func (r *Request) abandon() {
	r.finished = true
	r.engine.openRequests--
	r.reservation.release(r.engine.now(), admission.Ignored)
	r.engine.handle(r.engine.now(), &dispatch.Event{Kind: dispatch.RequestAbandoned, Request: r.id})
	r.engine.names.RequestAnswered(r.id)
	r.engine.releaseID(r)
}

// drainDecisions takes the orders that are left and returns the final one, if it is among them. Guards against an attempt that
// nobody starts, and so nobody ends. The lock is held.
func (r *Request) drainDecisions() (final Decision) {
	for {
		select {
		case decision := <-r.decisions:
			if decision.Attempt != nil {
				decision.Attempt.finish(dispatch.ResultNotSent, nil)
			} else {
				final = decision
			}
		default:
			return final
		}
	}
}

// respond gives the final order. The lock is held.
func (r *Request) respond(decision Decision) {
	if r.finished {
		return
	}
	r.finished = true
	r.engine.openRequests--
	r.engine.Counters.recordAnswer(decision.Kind)
	if decision.Kind == DecisionShed {
		decision.RetryAfter = max(decision.RetryAfter, r.reservation.retryAfter)
	}
	r.reservation.finish(r, decision.Kind)
	r.decisions <- decision
	if decision.Kind != DecisionServe { // an attempt's end notes that one itself
		r.engine.names.RequestAnswered(r.id)
		r.engine.releaseID(r)
	}
}

// releaseID forgets a request whose id nothing can name any more.
func (e *Engine) releaseID(request *Request) {
	if e.names.RequestName(request.id) == "" && e.requests[request.id] == request {
		e.requests[request.id] = nil
	}
}

var (
	errCancelled = errors.New("the attempt was cancelled")
	errEnded     = errors.New("the attempt has ended")
)

// Attempt is one attempt of a request at a worker. Whoever carries it out reports its signs of life and its end.
type Attempt struct {
	request               *Request
	number                int
	worker                dispatch.WorkerID
	address               string
	workerStartedAtMillis int64 // the worker's start, as the list told it
	workerGeneration      int   // see workerView
	sentAt                dispatch.Time
	sendBefore            dispatch.Time // its first byte goes out before, or it does not go out; 0: no bound
	startedAt             dispatch.Time // when the job's start was told; 0: it was not
	ctx                   context.Context
	cancel                context.CancelCauseFunc
	stop                  context.CancelFunc
	finished              bool

	neverRan bool // by its outcome
}

func (r *Request) startAttempt(now dispatch.Time, action *dispatch.Action) {
	deadline := r.deadline
	if action.Wait > 0 {
		if bound := time.Now().Add(time.Duration(action.Wait) * time.Microsecond); bound.Before(deadline) {
			deadline = bound
		}
	}
	if limit := r.engine.maxAttemptDuration; limit > 0 {
		if bound := time.Now().Add(limit); bound.Before(deadline) {
			deadline = bound
		}
	}
	r.engine.names.AttemptSent(r.id)
	r.reservation.markSent()
	attempt := &Attempt{request: r, number: len(r.attempts), worker: action.Worker, sentAt: now, sendBefore: action.SendBefore}
	if int(action.Worker) < len(r.engine.workers) {
		worker := &r.engine.workers[action.Worker]
		attempt.address, attempt.workerStartedAtMillis, attempt.workerGeneration = worker.endpoint.Address, worker.endpoint.StartedAtMillis, worker.generation
		worker.inFlight++
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	attempt.cancel = cancel
	attempt.ctx, attempt.stop = context.WithDeadline(ctx, deadline)
	r.attempts = append(r.attempts, attempt)
	r.engine.Counters.AttemptsSent.Add(1)
	r.decisions <- Decision{Kind: DecisionSend, Attempt: attempt}
}

// Context ends at the attempt's time-out, or when the module cancels it.
func (a *Attempt) Context() context.Context { return a.ctx }

// Cancelled tells whether the module cancelled the attempt.
func (a *Attempt) Cancelled() bool { return errors.Is(context.Cause(a.ctx), errCancelled) }

// Address is where the worker listens.
func (a *Attempt) Address() string { return a.address }

// MaySend tells whether the attempt may still go out: to be asked right before its first byte. Guards against a drain, a
// deadline, or the end of the time in which repeats are dropped, that came while the connection was set up.
func (a *Attempt) MaySend() bool {
	engine := a.request.engine
	engine.waitAfterStall(a.ctx)
	if a.ctx.Err() != nil {
		return false
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if int(a.worker) >= len(engine.workers) || a.request.finished || a.sendBefore > 0 && engine.now() >= a.sendBefore {
		return false
	}
	worker := &engine.workers[a.worker]
	return worker.ready() && worker.exclusions == 0 && engine.leaseAllows(worker) && worker.endpoint.Address == a.address && worker.endpoint.StartedAtMillis == a.workerStartedAtMillis && worker.generation == a.workerGeneration
}

// NeedsLease tells whether the attempt may go out under the group's lease only: its last byte is then to leave by itself, right
// behind a further look at Clear.
func (a *Attempt) NeedsLease() bool {
	engine := a.request.engine
	if !engine.leaseInUse.Load() {
		return false // where there is no group
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.plansUnknown || int(a.worker) < len(engine.workers) && engine.workers[a.worker].needsLease
}

// ReportStarted reports that the job began to run.
func (a *Attempt) ReportStarted() { a.report(dispatch.Event{Kind: dispatch.AttemptStarted}) }

// ReportProgress reports the share that is done.
func (a *Attempt) ReportProgress(fraction float64) {
	a.report(dispatch.Event{Kind: dispatch.AttemptProgressed, Progress: fraction})
}

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

// ReportInvalidRequest reports that the worker cannot use the request, as it is none. It never ran, no worker is to blame, and no
// other could use it either: the request ends here.
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

// Finish reports the attempt's outcome; answer is the worker's result where it was served. Only the first call counts.
func (a *Attempt) Finish(result dispatch.Result, answer []byte) {
	a.request.engine.mu.Lock()
	defer a.request.engine.mu.Unlock()
	a.finish(result, answer)
}

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
