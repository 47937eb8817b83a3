package engine

import (
	"errors"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/settings"
)

// RequestSpec is a request as a frontend has decoded it.
type RequestSpec struct {
	ID       string
	Class    string
	Tenant   string        // empty: none
	TimeLeft time.Duration // until its client stops waiting
	Slots    int           // that its job takes of a worker; below 1 counts as 1
	Memory   float64
	Retry    bool   // its client marks it as a repeat
	Key      string // affinity key: what the request is about; empty: none
	Method   string // Method and Path are what the operator's routes match
	Path     string
}

// Errors of Open. Clients read their texts, which must not change.
var (
	ErrUnknownClass  = errors.New("the class is not in the settings")
	ErrUnknownTenant = errors.New("the tenant is not in the settings")
	ErrDuplicateID   = errors.New("a request with this id is open, or was of late")
	ErrTooManyOpen   = errors.New("too many requests are open")
)

// DecisionKind tells decisions apart.
type DecisionKind uint8

// The kinds of decisions, and the fields of a Decision that each uses. All but DecisionSend are final.
const (
	DecisionSend    DecisionKind = iota // Attempt: is to be carried out
	DecisionServe                       // Result: answers the request
	DecisionShed                        // RetryAfter: the request is rejected, and nothing of it has run
	DecisionFail                        // the request has failed, and may have run
	DecisionInvalid                     // a worker could not use the request, which is at fault itself
)

// Decision is what is to be done next for one request.
type Decision struct {
	Kind       DecisionKind
	Attempt    *Attempt
	Result     []byte
	RetryAfter time.Duration // 0: no advice
}

// Request is an open request. Whoever opened it takes its decisions until a final one comes, and closes it in any case.
type Request struct {
	engine      *Engine
	id          dispatch.RequestID
	deadline    time.Time // when its client stops waiting
	decisions   chan Decision
	maxAttempts int // that there is room for among the decisions

	// Guarded by the engine's lock.
	attempts    []*Attempt
	finished    bool        // no answer is owed any more
	reservation reservation // what it holds of the operator's limits
}

// Open admits a request and lets the decision module decide on it. It returns ErrUnknownClass, ErrUnknownTenant, ErrTooManyOpen,
// ErrDuplicateID or a *LimitError for one that is not admitted; the decision module is not notified of that one.
func (e *Engine) Open(spec RequestSpec) (*Request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	class, tenant, err := e.classAndTenant(&spec)
	if err != nil {
		return nil, err
	}
	if e.maxOpen > 0 && e.openRequests >= e.maxOpen {
		return nil, ErrTooManyOpen
	}
	// Guards against somebody who asks with the id of another's request: he gets neither its answer nor its attempts, and no second
	// effect. Clients take a new id for each request.
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
	request := e.addRequest(id, &spec, reserved)
	e.handle(now, &dispatch.Event{
		Kind: dispatch.RequestArrived, Request: id, Class: class, Tenant: tenant, TimeLeft: microseconds(spec.TimeLeft),
		Slots: max(spec.Slots, 1), Memory: spec.Memory, Retry: spec.Retry, RouteLimits: routeLimits, AffinityKey: settings.HashKey(spec.Key),
	})
	return request, nil
}

// classAndTenant returns the ids of a request's class and tenant; the tenant's is -1 where there is none. The lock is held.
func (e *Engine) classAndTenant(spec *RequestSpec) (class, tenant int, err error) {
	class, err = e.names.ClassID([]byte(settings.NormalizeName(spec.Class)))
	if err != nil {
		return 0, 0, ErrUnknownClass
	}
	if spec.Tenant == "" || !e.names.HasTenants() {
		return class, -1, nil
	}
	tenant, err = e.names.TenantID([]byte(settings.NormalizeName(spec.Tenant)))
	if err != nil {
		return 0, 0, ErrUnknownTenant
	}
	return class, tenant, nil
}

// addRequest counts a request that has been admitted. The lock is held.
func (e *Engine) addRequest(id dispatch.RequestID, spec *RequestSpec, reserved reservation) *Request {
	request := &Request{
		engine:      e,
		id:          id,
		deadline:    time.Now().Add(spec.TimeLeft),
		decisions:   make(chan Decision, e.maxAttempts+1), // all attempts and the final decision: sending never blocks
		maxAttempts: e.maxAttempts,
		reservation: reserved,
	}
	for int(id) >= len(e.requests) {
		e.requests = append(e.requests, nil)
	}
	e.requests[id] = request
	e.recentIDs.add(spec.ID)
	e.openRequests++
	e.Counters.Accepted.Add(1)
	return request
}

// Decisions returns the channel on which the decisions on the request come, in their order. It is never closed.
func (r *Request) Decisions() <-chan Decision { return r.decisions }

// Close ends the caller's part in the request. Without a final decision, its client has gone. Attempts that have begun
// go on until they end by themselves or are cancelled. Close may be called more than once.
func (r *Request) Close() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if !r.finished {
		r.engine.Counters.ClientsGone.Add(1)
		r.abandon()
	}
	r.drainDecisions()
}

// Abort ends the request as its time is up, or as this process stops. It returns the final decision: the decision module's, where
// that has come meanwhile, else DecisionShed where nothing of the request can have run, and DecisionFail where it may have.
func (r *Request) Abort() Decision {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if r.finished {
		return r.drainDecisions()
	}
	r.engine.Counters.Overdue.Add(1)
	r.abandon()
	r.drainDecisions() // an attempt that nobody has taken never ran
	for _, attempt := range r.attempts {
		if !attempt.neverRan {
			return Decision{Kind: DecisionFail}
		}
	}
	return Decision{Kind: DecisionShed}
}

// abandon ends a request without a decision of the decision module, to which its client has gone. The lock is held.
func (r *Request) abandon() {
	r.finish()
	r.reservation.release(r.engine.now(), admission.Ignored)
	r.engine.handle(r.engine.now(), &dispatch.Event{Kind: dispatch.RequestAbandoned, Request: r.id})
	r.engine.names.RequestAnswered(r.id)
	r.engine.releaseID(r)
}

// finish notes that no answer is owed any more. The lock is held.
func (r *Request) finish() {
	r.finished = true
	r.engine.openRequests--
}

// drainDecisions takes the decisions that are left and returns the final one, if it is among them. It guards against an attempt that
// nobody carries out, and so nobody ends. The lock is held.
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

// respond ends a request with a final decision; a second one is passed over. The lock is held.
func (r *Request) respond(decision Decision) {
	if r.finished {
		return
	}
	r.finish()
	r.engine.Counters.recordAnswer(decision.Kind)
	if decision.Kind == DecisionShed {
		decision.RetryAfter = max(decision.RetryAfter, r.reservation.retryAfter)
	}
	r.reservation.finish(r, decision.Kind)
	r.decisions <- decision
	if decision.Kind != DecisionServe { // with DecisionServe, the end of the attempt that has just succeeded does both
		r.engine.names.RequestAnswered(r.id)
		r.engine.releaseID(r)
	}
}

// runTime returns for how long the job has run by now at the worker where it started first. The lock is held.
func (r *Request) runTime(now dispatch.Time) (longest dispatch.Time) {
	for _, attempt := range r.attempts {
		if attempt.startedAt > 0 {
			longest = max(longest, now-attempt.startedAt)
		}
	}
	return longest
}

// releaseID forgets a request whose id has been given back: it is finished, and so are all its attempts. The lock is held.
func (e *Engine) releaseID(request *Request) {
	if e.names.RequestName(request.id) == "" && e.requests[request.id] == request {
		e.requests[request.id] = nil
	}
}
