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

// LimitError says which of the operator's limits a request was rejected for.
type LimitError struct {
	Reason     admission.Reason
	Route      string
	RetryAfter time.Duration // at the least; 0: no advice
}

// Error returns the text that clients read, which must not change.
func (l *LimitError) Error() string {
	return fmt.Sprintf("no place left: %s of %s", l.Reason, l.Route)
}

// admitter applies the operator's routes and limits. It is not changed once it is made, but for the limiter, which the engine's lock
// guards.
type admitter struct {
	routes      *routes.Table
	limiter     *admission.Limiter
	classes     []dispatch.Class
	routeLimits []dispatch.RouteLimits // by route, with what its fallbacks add
}

// reservation is what a request holds of the operator's limits, which is given back once. The zero reservation holds nothing.
type reservation struct {
	limiter    *admission.Limiter // nil: nothing is held
	permit     admission.Permit
	class      *dispatch.Class
	arrivedAt  dispatch.Time
	retryAfter time.Duration // the least advice to a client whose request is rejected; 0: none
}

// SetLimits puts the operator's routes and limits in force, in place of those before. Open requests keep what they hold and what they
// were allowed. Rates and counts go on where a route keeps its name.
func (e *Engine) SetLimits(table *routes.Table, config admission.Config, classes []dispatch.Class) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setLimits(table, config, classes)
}

// setLimits is SetLimits with the lock held.
func (e *Engine) setLimits(table *routes.Table, config admission.Config, classes []dispatch.Class) {
	a := &admitter{routes: table, classes: classes}
	for i := range table.Len() {
		a.routeLimits = append(a.routeLimits, table.RouteLimits(i, e.maxAttempts))
	}
	if e.admitter != nil {
		a.limiter = e.admitter.limiter
		a.limiter.Reconfigure(duration(e.now()), config)
	} else {
		a.limiter = admission.New(config)
	}
	e.admitter = a
}

// LimitFields returns the log fields of the operator's limits, with a counter for each reason; nil where there are no limits. Operators
// read their names, which must not change.
func (e *Engine) LimitFields() logrus.Fields {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.admitter == nil {
		return nil
	}
	limiter := e.admitter.limiter
	fields := logrus.Fields{"limit_held": limiter.OpenRequests(), "limit_now": limiter.CurrentLimit()}
	for reason, n := range limiter.Counts() {
		fields["limit_"+admission.Reason(reason).String()] = n
	}
	return fields
}

// admit asks the operator's limits for a request, along the fallbacks of its route. It returns a *LimitError with the reason of the
// first route where none of them has room. The lock is held.
func (e *Engine) admit(now dispatch.Time, spec *RequestSpec, class, tenant int) (reservation, dispatch.RouteLimits, error) {
	a := e.admitter
	if a == nil {
		return reservation{}, dispatch.RouteLimits{}, nil
	}
	first := a.routes.Find(&routes.Request{
		Class: settings.NormalizeName(spec.Class), Path: spec.Path, Tenant: settings.NormalizeName(spec.Tenant), Method: spec.Method,
	})
	var rejection *LimitError
	for _, i := range a.routes.Chain(first) {
		route := a.routes.Route(i)
		verdict := a.limiter.Admit(duration(now), admission.Request{
			Route: i, Tenant: tenant, Key: settings.HashKey(spec.Key), Retry: spec.Retry,
		})
		if verdict.Reason == admission.Admitted {
			reserved := reservation{
				limiter: a.limiter, permit: verdict.Permit, class: &a.classes[class], arrivedAt: now, retryAfter: route.Admission.RetryAfter,
			}
			return reserved, a.routeLimits[i], nil
		}
		if rejection == nil {
			rejection = &LimitError{Reason: verdict.Reason, Route: route.Name, RetryAfter: verdict.RetryAfter}
		}
	}
	return reservation{}, dispatch.RouteLimits{}, rejection
}

// release returns the permit to the limiter; a second call does nothing.
func (r *reservation) release(now dispatch.Time, outcome admission.Outcome) {
	if r.limiter != nil {
		r.limiter.Release(duration(now), r.permit, outcome)
		r.limiter = nil
	}
}

// markSent notes that an attempt of the request has been ordered, so that it is not queued any more.
func (r *reservation) markSent() {
	if r.limiter != nil {
		r.limiter.MarkSent(&r.permit)
	}
}

// finish releases the reservation of a request that has a final decision. A served request counts as timely where it is within the
// latency objective, all others as late.
func (r *reservation) finish(request *Request, kind DecisionKind) {
	if r.limiter == nil {
		return
	}
	now := request.engine.now()
	outcome := admission.Late
	if kind == DecisionServe && r.withinObjective(now, request.runTime(now)) {
		outcome = admission.Timely
	}
	r.release(now, outcome)
}

// withinObjective tells whether an answer now is within the latency objective of the class, which grows with the run time of the job.
func (r *reservation) withinObjective(now, runTime dispatch.Time) bool {
	objective := float64(r.class.LatencyObjective) + r.class.ObjectiveStretch*float64(runTime)
	return float64(now-r.arrivedAt) <= objective
}
