package engine

import (
	"errors"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/settings"
)

// RequestSpec is a request as decoded by a frontend.
type RequestSpec struct {
	ID       string
	Class    string
	Tenant   string        // empty: none
	TimeLeft time.Duration // time until the client times out
	Slots    int           // slots that the request occupies at a worker; values below 1 count as 1
	Memory   float64
	Retry    bool   // the client has marked the request as a retry
	Key      string // affinity key, which identifies the data that the request needs; empty: none
	Method   string // Method and Path are matched by the operators' routes
	Path     string
}

// Errors of Open. Their texts must not change, because they are sent to clients.
var (
	ErrUnknownClass  = errors.New("the class is not in the settings")
	ErrUnknownTenant = errors.New("the tenant is not in the settings")
	ErrDuplicateID   = errors.New("a request with this id is open, or was of late")
	ErrTooManyOpen   = errors.New("too many requests are open")
)

// DecisionKind is the type of a Decision.
type DecisionKind uint8

// The kinds of decisions, each with the field of Decision that it uses. All kinds except DecisionSend are final.
const (
	DecisionSend    DecisionKind = iota // Attempt: the attempt to execute
	DecisionServe                       // Result: the response to the client
	DecisionShed                        // RetryAfter: the request is rejected; none of its attempts has run
	DecisionFail                        // the request has failed, and may have run
	DecisionInvalid                     // the request is invalid, according to a worker
)

// Decision is the next step for one request.
type Decision struct {
	Kind       DecisionKind
	Attempt    *Attempt
	Result     []byte
	RetryAfter time.Duration // 0: unspecified
}

// Request is an open request. The caller of Open receives its decisions until a final one arrives, and always closes it.
type Request struct {
	engine      *Engine
	id          dispatch.RequestID
	deadline    time.Time // time at which the client times out
	decisions   chan Decision
	maxAttempts int // maximum number of attempts; decisions has this capacity plus one for the final decision

	// Guarded by the engine's lock.
	attempts    []*Attempt
	finished    bool        // the request has been answered or abandoned
	reservation reservation // what the request uses of the operators' limits
}

// Open admits a request and passes it to the decision module. For a request that is not admitted it returns ErrUnknownClass,
// ErrUnknownTenant, ErrTooManyOpen, ErrDuplicateID or a *LimitError, and does not notify the decision module.
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
	// A client may send the id of another client's request. It must not receive the response to that request, use its attempts, or cause a
	// second effect. Clients use a new id for each request. The other client's request may be open at another process.
	if e.recentIDs.contains(spec.ID) {
		return nil, ErrDuplicateID
	}
	now := e.now()
	reserved, routeLimits, err := e.admit(now, &spec, class, tenant)
	if err != nil {
		return nil, err
	}
	if !e.claimID(spec.ID) {
		reserved.release(now, admission.Ignored)
		return nil, ErrDuplicateID
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

// classAndTenant returns the ids of a request's class and tenant; the tenant id is -1 if there is none. The caller must hold the lock.
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

// addRequest registers and counts an admitted request. The caller must hold the lock.
func (e *Engine) addRequest(id dispatch.RequestID, spec *RequestSpec, reserved reservation) *Request {
	request := &Request{
		engine:      e,
		id:          id,
		deadline:    time.Now().Add(spec.TimeLeft),
		decisions:   make(chan Decision, e.maxAttempts+1), // room for all attempts and the final decision, so that sending never blocks
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

// Decisions returns the channel that delivers the decisions on the request in order. It is never closed.
func (r *Request) Decisions() <-chan Decision { return r.decisions }

// Close ends the caller's use of the request. A request without a final decision is abandoned, because its client has disconnected. Running
// attempts continue until they end by themselves or are cancelled. Close may be called more than once.
func (r *Request) Close() {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if !r.finished {
		r.engine.Counters.ClientDisconnects.Add(1)
		r.abandon()
	}
	r.drainDecisions()
}

// Abort ends the request because its deadline has passed or this process stops. It returns the decision module's final decision if there is
// one. Otherwise it returns DecisionShed if the request cannot have run, or DecisionFail if it may have run.
func (r *Request) Abort() Decision {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	if r.finished {
		return r.drainDecisions()
	}
	r.engine.Counters.Overdue.Add(1)
	r.abandon()
	r.drainDecisions() // an attempt that has not been received from the channel never ran
	for _, attempt := range r.attempts {
		if !attempt.neverRan {
			return Decision{Kind: DecisionFail}
		}
	}
	return Decision{Kind: DecisionShed}
}

// abandon ends a request without a final decision of the decision module, and notifies the module that the request was abandoned. The
// caller must hold the lock.
func (r *Request) abandon() {
	r.finish()
	r.reservation.release(r.engine.now(), admission.Ignored)
	r.engine.handle(r.engine.now(), &dispatch.Event{Kind: dispatch.RequestAbandoned, Request: r.id})
	r.engine.names.RequestAnswered(r.id)
	r.engine.releaseID(r)
}

// finish records that the request has been answered or abandoned. The caller must hold the lock.
func (r *Request) finish() {
	r.finished = true
	r.engine.openRequests--
}

// drainDecisions receives the remaining decisions and returns the final one if it is among them. It finishes the attempts among them, since
// no caller will execute and finish them. The caller must hold the lock.
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

// respond ends a request with a final decision. Further final decisions are ignored. The caller must hold the lock.
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
	if decision.Kind != DecisionServe { // after DecisionServe, the end of the successful attempt does both
		r.engine.names.RequestAnswered(r.id)
		r.engine.releaseID(r)
	}
}

// runTime returns the time since the request first started to run at a worker; 0 if it has not started. The caller must hold the lock.
func (r *Request) runTime(now dispatch.Time) (longest dispatch.Time) {
	for _, attempt := range r.attempts {
		if attempt.startedAt > 0 {
			longest = max(longest, now-attempt.startedAt)
		}
	}
	return longest
}

// releaseID removes a request if its id has been released because the request and all its attempts are finished. The caller must hold the
// lock.
func (e *Engine) releaseID(request *Request) {
	if e.names.RequestName(request.id) == "" && e.requests[request.id] == request {
		e.requests[request.id] = nil
	}
}
