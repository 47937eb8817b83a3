// Package admission decides whether a dispatcher accepts a request, before the decision module decides on workers,
// retries and load shedding. It enforces rate limits, concurrency limits by route, retry budgets, tenant quotas under
// contention, and a limit on all open requests that adapts to the fraction of late responses.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller passes the time, calls Limiter.Admit for
// each request and releases each permit once. The same configuration and the same calls give the same decisions.
package admission

import "time"

// Reason is the reason why a request was rejected, or Admitted.
type Reason uint8

// Reasons, in the order of the reported counters.
const (
	Admitted             Reason = iota
	RateExceeded                // rate limit of the route, or of its tenant or key
	ConcurrencyExceeded         // limit on the route's open requests
	RetryBudgetExhausted        // retry budget of the route
	TenantQuotaExceeded         // quota of the tenant's open requests, under contention
	PriorityShed                // the remaining capacity is reserved for routes of a higher priority
	OpenLimitReached            // limit on all open requests
	QueueFull                   // limit on the route's queued requests
	NumReasons                  // number of reasons
)

// reasonNames are used in the log field names of the counters, which must not change.
var reasonNames = [NumReasons]string{"admitted", "rate", "concurrent", "retry_budget", "tenant_share", "priority", "open", "queue"}

// String returns the name of the reason that is used for its counter.
func (r Reason) String() string { return reasonNames[min(r, NumReasons-1)] }

// Request contains the properties of a request that the limits depend on.
type Request struct {
	Route  int    // index in Config.Routes
	Tenant int    // index in Config.Tenants; -1: none
	Key    uint64 // for rate limits by key
	Retry  bool   // the client has marked the request as a retry
}

// Permit is the reservation of an admitted request. It ends with Limiter.Release. The zero Permit reserves nothing.
type Permit struct {
	route  *routeState
	tenant *tenantState
	sent   bool
}

// Valid reports whether the permit reserves anything.
func (p Permit) Valid() bool { return p.route != nil }

// Decision is the result of Limiter.Admit.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // minimum delay before a retry; 0: unspecified
	Permit     Permit        // to be passed to Limiter.Release; valid only if Reason is Admitted
}

// Outcome is the outcome of an admitted request. The adaptive limit depends on it.
type Outcome uint8

// Outcomes of admitted requests.
const (
	Timely  Outcome = iota // answered within its latency objective
	Late                   // answered late, or shed or failed for lack of capacity
	Ignored                // independent of the load: the client disconnected, or the request was invalid
)
