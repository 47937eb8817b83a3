// Package admission decides whether a dispatcher accepts a request at all, before the dispatch module decides on workers,
// retries and load shedding. It enforces rate limits, concurrency limits by route, retry budgets, tenants' quotas under
// contention, and a limit on all open requests that follows measured service.
//
// The package does no I/O, starts no goroutine and reads no clock: the caller passes the time, asks for each request, and
// returns each permit once. The same configuration and the same calls give the same decisions.
package admission

import "time"

// Reason says why a request was rejected.
type Reason uint8

// The reasons, in the order in which the counters are reported.
const (
	Admitted             Reason = iota
	RateExceeded                // the rate limit of the route, or of its tenant or key
	ConcurrencyExceeded         // the route has as many open requests as it may have
	RetryBudgetExhausted        // more retries than the route's budget allows
	TenantQuotaExceeded         // the tenant has its quota of open requests while there is contention
	PriorityShed                // what is left of the total is reserved for routes of a higher priority
	OpenLimitReached            // as many requests are open in total as may be
	QueueFull                   // as many of the route's requests wait for a worker as may
	NumReasons                  // the number of reasons
)

// reasonNames are parts of the names of counters that operators read.
var reasonNames = [NumReasons]string{"admitted", "rate", "concurrent", "retry_budget", "tenant_share", "priority", "open", "queue"}

// String returns the reason as the counters name it.
func (r Reason) String() string { return reasonNames[min(r, NumReasons-1)] }

// Request is what a decision depends on.
type Request struct {
	Route  int    // the index in Config.Routes
	Tenant int    // the index in Config.Tenants; -1: none
	Key    uint64 // for rate limits by key
	Retry  bool   // the client repeats an earlier request
}

// Permit is what an admitted request holds until Limiter.Release. The zero Permit holds nothing.
type Permit struct {
	route  *routeState
	tenant *tenantState
	sent   bool
}

// Valid reports whether the permit holds anything.
func (p Permit) Valid() bool { return p.route != nil }

// Decision is the answer to a Request.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // the least time after which to try again; 0: no advice
	Permit     Permit        // to be returned with Limiter.Release; valid only where Reason is Admitted
}

// Outcome is how an admitted request ended. The adaptive limit follows it.
type Outcome uint8

// The outcomes.
const (
	Timely  Outcome = iota // answered within its latency objective
	Late                   // answered too late, or shed or failed for want of capacity
	Ignored                // says nothing of the load: the client left, or the request was at fault
)
