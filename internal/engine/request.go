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
	TimeLeft time.Duration // until its client gives up
	Slots    int           // that it takes at a worker; below 1 counts as 1
	Memory   float64
	Retry    bool   // its client marks it as a retry
	Key      string // affinity key: the data that the request needs; empty: none
	Method   string // Method and Path are matched by the operators' routes
	Path     string
}

// Errors of Open. Clients read their texts, which must not change.
var (
	ErrUnknownClass  = errors.New("the class is not in the settings")
	ErrUnknownTenant = errors.New("the tenant is not in the settings")
	ErrDuplicateID   = errors.New("a request with this id is open, or was of late")
	ErrTooManyOpen   = errors.New("too many requests are open")
)

// DecisionKind is the type of a Decision.
type DecisionKind uint8

// The kinds of decisions, with the fields of Decision that each uses. All but DecisionSend are final.
const (
	DecisionSend    DecisionKind = iota // Attempt: to be carried out
	DecisionServe                       // Result: answers the request
	DecisionShed                        // RetryAfter: the request is rejected, and no attempt of it has run
	DecisionFail                        // the request has failed, and may have run
	DecisionInvalid                     // the request is invalid, according to a worker
)

// Decision is the next step for one request.
type Decision struct {
	Kind       DecisionKind
	Attempt    *Attempt
	Result     []byte
	RetryAfter time.Duration // 0: no advice
}

// Request is an open request. Whoever opened it reads its decisions until a final one arrives, and always closes it.
type Request struct {
	engine      *Engine
	id          dispatch.RequestID
	deadline    time.Time // when its client gives up
	decisions   chan Decision
	maxAttempts int // capacity of decisions, without the final one

	// Guarded by the engine's lock.
	attempts    []*Attempt
	finished    bool        // no answer is required any more
	reservation reservation // its use of the operators' limits
}

// Open admits a request and passes it to the decision module. It returns ErrUnknownClass, ErrUnknownTenant, ErrTooManyOpen, ErrDuplicateID
// or a *LimitError for a request that is not admitted, of which the decision module is not notified.
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
	// Guards against a client that sends the id of another client's request: it gets neither that request's answer nor its attempts, and
	// causes no second effect. Clients use a new id for each request.
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

// classAndTenant returns the ids of a request's class and tenant; the tenant's is -1 if there is none. The caller must hold the lock.
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

// addRequest registers and counts a request that has been admitted. The caller must hold the lock.
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

// Decisions returns the channel on which the decisions on the request arrive in order. It is never closed.
func (r *Request) Decisions() <-chan Decision { return r.decisions }

// Close ends the caller's use of the request. Without a final decision, its client has disconnected. Attempts that have begun continue
// until they end by themselves or are cancelled. Close may be called more than once.
func (r *Request) Close() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if !r.finished {
		r.engine.Counters.ClientDisconnects.Add(1)
		r.abandon()
	}
	r.drainDecisions()
}

// Abort ends the request because its time is up, or because this process stops. It returns the final decision: the decision module's if
// that has arrived meanwhile, otherwise DecisionShed if the request cannot have run, and DecisionFail if it may have.
func (r *Request) Abort() Decision {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if r.finished {
		return r.drainDecisions()
	}
	r.engine.Counters.Overdue.Add(1)
	r.abandon()
	r.drainDecisions() // an attempt that was not received from the channel never ran
	for _, attempt := range r.attempts {
		if !attempt.neverRan {
			return Decision{Kind: DecisionFail}
		}
	}
	return Decision{Kind: DecisionShed}
}

// abandon ends a request without a decision of the decision module, and notifies the module that its client has gone. The caller must hold
// the lock.
func (r *Request) abandon() {
	r.finish()
	r.reservation.release(r.engine.now(), admission.Ignored)
	r.engine.handle(r.engine.now(), &dispatch.Event{Kind: dispatch.RequestAbandoned, Request: r.id})
	r.engine.names.RequestAnswered(r.id)
	r.engine.releaseID(r)
}

// finish records that no answer is required any more. The caller must hold the lock.
func (r *Request) finish() {
	r.finished = true
	r.engine.openRequests--
}

// drainDecisions receives the remaining decisions and returns the final one, if it is among them. It guards against an attempt that nobody
// carries out, and so nobody ends. The caller must hold the lock.
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

// respond ends a request with a final decision; a second one is ignored. The caller must hold the lock.
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

// runTime returns how long the request has run until now at the worker where it started first. The caller must hold the lock.
func (r *Request) runTime(now dispatch.Time) (longest dispatch.Time) {
	for _, attempt := range r.attempts {
		if attempt.startedAt > 0 {
			longest = max(longest, now-attempt.startedAt)
		}
	}
	return longest
}

// releaseID removes a request whose id has been released: it is finished, and so are all its attempts. The caller must hold the lock.
func (e *Engine) releaseID(request *Request) {
	if e.names.RequestName(request.id) == "" && e.requests[request.id] == request {
		e.requests[request.id] = nil
	}
}
