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

// LimitError is the error for a request that exceeds one of the operators' limits.
type LimitError struct {
	Reason     admission.Reason
	Route      string
	RetryAfter time.Duration // minimum delay before a retry; 0: unspecified
}

// Error returns the text of the response to the client, which must not change.
func (l *LimitError) Error() string {
	return fmt.Sprintf("no place left: %s of %s", l.Reason, l.Route)
}

// admitter applies the operators' routes and limits. It is immutable except for the limiter, which is guarded by the engine's lock.
type admitter struct {
	routes      *routes.Table
	limiter     *admission.Limiter
	classes     []dispatch.Class
	routeLimits []dispatch.RouteLimits // by route index, including the limits of the fallbacks
}

// reservation is what a request uses of the operators' limits. It is released once. The zero reservation uses nothing.
type reservation struct {
	limiter    *admission.Limiter // nil: nothing is reserved
	permit     admission.Permit
	class      *dispatch.Class
	arrivedAt  dispatch.Time
	retryAfter time.Duration // minimum Retry-After if the request is rejected; 0: none
}

// SetLimits replaces the operators' routes and limits. Open requests keep their reservations and their route limits. A route that keeps its
// name keeps its rate limiter state and its counts.
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

// LimitFields returns the log fields for the operators' limits, with a counter for each reason, or nil if there are no limits. The field
// names must not change, because operators rely on them.
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

// admit checks a request against the operators' limits of its route and then of each fallback. If all of them reject the request, the error
// is a *LimitError with the reason of the first route. The caller must hold the lock.
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

// release returns the permit to the limiter. Further calls have no effect.
func (r *reservation) release(now dispatch.Time, outcome admission.Outcome) {
	if r.limiter != nil {
		r.limiter.Release(duration(now), r.permit, outcome)
		r.limiter = nil
	}
}

// markSent records that an attempt of the request has been started, so that the request no longer counts as queued.
func (r *reservation) markSent() {
	if r.limiter != nil {
		r.limiter.MarkSent(&r.permit)
	}
}

// finish releases the reservation of a request that has a final decision. A request that was served within the latency objective counts as
// timely, any other request as late.
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

// withinObjective reports whether a response at the given time is within the latency objective of the class. The objective grows with the
// request's run time.
func (r *reservation) withinObjective(now, runTime dispatch.Time) bool {
	objective := float64(r.class.LatencyObjective) + r.class.ObjectiveStretch*float64(runTime)
	return float64(now-r.arrivedAt) <= objective
}
