// Package admission decides whether a dispatcher accepts a request, before the dispatch module decides on workers,
// retries and load shedding. It enforces rate limits, concurrency limits by route, retry budgets, tenants' quotas under
// contention, and a limit on all open requests that follows the measured service.
//
// The package does no I/O, starts no goroutine and reads no clock: the caller passes the time, calls Limiter.Admit for
// each request, and returns each permit once. The same configuration and the same calls give the same decisions.
package admission

import "time"

// Reason is why a request was rejected, or Admitted.
type Reason uint8

// The reasons, in the order in which the counters are reported.
const (
	Admitted             Reason = iota
	RateExceeded                // rate limit of the route, or of its tenant or key
	ConcurrencyExceeded         // limit on the route's open requests
	RetryBudgetExhausted        // more retries than the route's budget allows
	TenantQuotaExceeded         // the tenant's quota of open requests, under contention
	PriorityShed                // the rest of the total is reserved for routes of a higher priority
	OpenLimitReached            // limit on all open requests
	QueueFull                   // limit on the route's requests that wait for a worker
	NumReasons                  // number of reasons
)

// reasonNames are parts of the names of counters that operators read.
var reasonNames = [NumReasons]string{"admitted", "rate", "concurrent", "retry_budget", "tenant_share", "priority", "open", "queue"}

// String returns the reason's name in the counters.
func (r Reason) String() string { return reasonNames[min(r, NumReasons-1)] }

// Request is the input of a decision.
type Request struct {
	Route  int    // the index in Config.Routes
	Tenant int    // the index in Config.Tenants; -1: none
	Key    uint64 // for rate limits by key
	Retry  bool   // the client marks it as a retry
}

// Permit is the reservation of an admitted request until Limiter.Release. The zero Permit reserves nothing.
type Permit struct {
	route  *routeState
	tenant *tenantState
	sent   bool
}

// Valid reports whether the permit reserves anything.
func (p Permit) Valid() bool { return p.route != nil }

// Decision is the result for a Request.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // the minimum time after which to retry; 0: no advice
	Permit     Permit        // to be returned with Limiter.Release; valid only if Reason is Admitted
}

// Outcome is how an admitted request ended. The adaptive limit depends on it.
type Outcome uint8

// The outcomes.
const (
	Timely  Outcome = iota // answered within its latency objective
	Late                   // answered too late, or shed or failed for lack of capacity
	Ignored                // independent of the load: the client left, or the request was invalid
)
