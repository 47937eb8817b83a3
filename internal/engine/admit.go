package engine

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/settings"
)

// LimitError says that the operator's limits leave a request no place.
type LimitError struct {
	Reason     admission.Reason
	Route      string
	RetryAfter time.Duration // at the least; 0: no word
}

func (l *LimitError) Error() string {
	return fmt.Sprintf("no place left: %s of %s", l.Reason, l.Route)
}

// admitter is the operator's routes and limits. It is used under the store's lock.
type admitter struct {
	routes      *routes.Table
	gate        *admission.Limiter
	maxAttempts int // attempts that the platform allows
	classes     []dispatch.Class
	routeLimits []dispatch.RouteLimits // by route, with what fallbacks add
}

// reservation is what an open request holds of the operator's limits; the zero hold is nothing. It is given back once.
type reservation struct {
	gate       *admission.Limiter
	slot       admission.Permit
	class      *dispatch.Class
	arrivedAt  dispatch.Time
	retryAfter time.Duration
}

// SetLimits sets the operator's routes and limits, or others in their place. Open requests keep what they hold and what they
// were allowed; buckets and counts go on where a route keeps its name.
func (e *Engine) SetLimits(table *routes.Table, config admission.Config, classes []dispatch.Class) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setLimits(table, config, classes)
}

func (e *Engine) setLimits(table *routes.Table, config admission.Config, classes []dispatch.Class) {
	a := &admitter{routes: table, maxAttempts: e.maxAttempts, classes: classes}
	for i := range table.Len() {
		a.routeLimits = append(a.routeLimits, table.RouteLimits(i, e.maxAttempts))
	}
	if e.admitter != nil {
		a.gate = e.admitter.gate
		a.gate.Reconfigure(gateTime(e.now()), config)
	} else {
		a.gate = admission.New(config)
	}
	e.admitter = a
}

// LimitFields are the counters of the limits, by reason; nil where there are none.
func (e *Engine) LimitFields() logrus.Fields {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitter == nil {
		return nil
	}
	fields := logrus.Fields{"limit_held": e.admitter.gate.OpenRequests(), "limit_now": e.admitter.gate.CurrentLimit()}
	for reason, n := range e.admitter.gate.Counts() {
		fields["limit_"+admission.Reason(reason).String()] = n
	}
	return fields
}

// gateTime is a moment of the module's clock as the gate takes it.
func gateTime(t dispatch.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// admit asks the operator's limits, along the fallbacks of the request's route. The lock is held.
func (e *Engine) admit(now dispatch.Time, spec *RequestSpec, class, tenant int) (reservation, dispatch.RouteLimits, error) {
	a := e.admitter
	if a == nil {
		return reservation{}, dispatch.RouteLimits{}, nil
	}
	first := a.routes.Find(&routes.Request{Class: settings.NormalizeName(spec.Class), Path: spec.Path, Tenant: settings.NormalizeName(spec.Tenant), Method: spec.Method})
	var rejection *LimitError
	for _, route := range a.routes.Chain(first) {
		verdict := a.gate.Admit(gateTime(now), admission.Request{Route: route, Tenant: tenant, Key: settings.HashKey(spec.Key), Retry: spec.Retry})
		if verdict.Reason == admission.Admitted {
			reserved := reservation{gate: a.gate, slot: verdict.Permit, class: &a.classes[class], arrivedAt: now, retryAfter: a.routes.Route(route).Admission.RetryAfter}
			return reserved, a.routeLimits[route], nil
		}
		if rejection == nil {
			rejection = &LimitError{Reason: verdict.Reason, Route: a.routes.Route(route).Name, RetryAfter: verdict.RetryAfter}
		}
	}
	return reservation{}, dispatch.RouteLimits{}, rejection
}

// release gives back what a request holds.
func (r *reservation) release(now dispatch.Time, end admission.Outcome) {
	if r.gate != nil {
		r.gate.Release(gateTime(now), r.slot, end)
		r.gate = nil
	}
}

// markSent says that a request has gone out to a worker.
func (r *reservation) markSent() {
	if r.gate != nil {
		r.gate.MarkSent(&r.slot)
	}
}

// finish gives back what a request holds whose final answer has been decided on. It was timely where the answer came within
// the class's aim, with what the job itself took.
func (r *reservation) finish(request *Request, kind DecisionKind) {
	if r.gate == nil {
		return
	}
	now, end := request.engine.now(), admission.Late
	if kind == DecisionServe {
		runTime := dispatch.Time(0)
		for _, attempt := range request.attempts {
			if attempt.startedAt > 0 {
				runTime = max(runTime, now-attempt.startedAt)
			}
		}
		if float64(now-r.arrivedAt) <= float64(r.class.LatencyObjective)+r.class.ObjectiveStretch*float64(runTime) {
			end = admission.Timely
		}
	}
	r.release(now, end)
}
