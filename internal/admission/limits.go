// Package admission decides on admission: which request a dispatcher takes at all, before the decision module decides on
// workers, repeats and refusals. Rates, concurrency by route, retry budgets, shares of tenants while short, and a limit on
// all that is open which follows measured service.
//
// The package does no I/O, starts no goroutine and reads no clock. The caller hands in the time, asks for each request,
// and gives each slot back once. The same configuration and calls give the same answers. A Gate is for one goroutine at a
// time.
package admission

import (
	"math"
	"time"
)

// Reason says why a request is not taken.
type Reason uint8

// The reasons. Each has a counter of its own.
const (
	Admitted             Reason = iota
	RateExceeded                // the route's rate, or its caller's
	ConcurrencyExceeded         // the route has as many open as it may
	RetryBudgetExhausted        // repeats beyond the route's budget
	TenantQuotaExceeded         // its tenant has its share while all is short
	PriorityShed                // what is left is kept for routes that come first
	OpenLimitReached            // as many are open as may be
	QueueFull                   // as many of the route wait for a worker as may
	NumReasons                  // how many there are
)

var reasonNames = [NumReasons]string{"admitted", "rate", "concurrent", "retry_budget", "tenant_share", "priority", "open", "queue"}

func (r Reason) String() string { return reasonNames[min(r, NumReasons-1)] }

// RateScope says whose rate a route's rate is.
type RateScope uint8

// Whose rate it is.
const (
	PerRoute  RateScope = iota // of all that comes on the route
	PerTenant                  // of each tenant
	PerKey                     // of each key
)

// MaxPriority is the highest priority.
const MaxPriority = 9

// RouteConfig is what one route allows. Zero values allow everything.
type RouteConfig struct {
	Name                string
	RateLimited         bool    // Rate counts; a rate of 0 lets nothing through
	Rate                float64 // requests a second
	Burst               int     // requests that may come at once, from 1
	RateScope           RateScope
	MaxConcurrent       int  // requests open at a time; 0: no limit
	MaxQueued           int  // of them so many that no worker has been sent yet; 0: no limit
	RetryBudgeted       bool // Budget and Floor count
	RetryBudget         float64
	MinRetriesPerSecond float64       // repeats a second that are allowed whatever else comes
	Priority            int           // 0 to Top
	RetryAfter          time.Duration // the least advice on when to come back
}

// TenantConfig is a customer's part while short.
type TenantConfig struct {
	Name   string
	Weight float64 // against the other active tenants' weights
}

// Config is all that a Gate is made of.
type Config struct {
	Routes     []RouteConfig
	Tenants    []TenantConfig
	MaxOpen    int // requests open at a time over all routes; 0: no limit
	Adaptive   bool
	MinOpen    int // the adaptive limit does not go below this
	MaxBuckets int // rates by key or tenant that are remembered; the longest idle are forgotten
}

// How shares and the adaptive limit work.
const (
	contentionThreshold = 0.75                   // of the limit, from which tenants keep to their shares
	priorityReserve     = 0.3                    // of the limit, that the lowest priority leaves to the highest
	tenantActiveFor     = 2 * time.Second        // a tenant counts as active so long after it asked
	adaptWindow         = 250 * time.Millisecond // the adaptive limit changes once in this
	minSamples          = 5                      // answers in a window that tell anything
	maxLateFraction     = 0.1                    // part of the answers that may be late
	decreaseFactor      = 0.9                    // factor on the limit where more are
	increaseFraction    = 0.04                   // part of the configured limit that it grows by where none are, and it is used
	maxSavedBudget      = 10 * time.Second       // of a usual stream's budget may be saved up
	unlimitedRate       = 1e9                    // requests a second: above, no limit is felt
	maxWait             = time.Duration(math.MaxInt64 / 4)
)

// Request is a request that wants to be taken.
type Request struct {
	Route  int
	Tenant int // -1: none
	Key    uint64
	Retry  bool // its client repeats an earlier one
}

// Permit is what an admitted request holds until Done. The zero Slot holds nothing.
type Permit struct {
	route  *routeState
	tenant *tenantState
	sent   bool
}

// Valid tells whether the slot holds anything.
func (p Permit) Valid() bool { return p.route != nil }

// Decision is the answer to an Ask.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration // when to come back, at the least; 0: no word
	Permit     Permit        // to be given back with Done; only where Admitted
}

// Outcome is how an admitted request ended, for the adaptive limit.
type Outcome uint8

// The ends.
const (
	Timely  Outcome = iota // answered within the wanted time
	Late                   // answered too late, refused or failed for want of room
	Ignored                // tells nothing: its client left, or it was at fault itself
)

type routeState struct {
	RouteConfig
	open        int
	queued      int         // of them, not sent yet
	tokens      tokenBucket // of ByRoute
	retryTokens float64     // repeats that may come
	refilledAt  time.Duration
}

type tenantState struct {
	TenantConfig
	open          int
	lastRequestAt time.Duration
	everActive    bool
}

// Limiter decides on admission.
type Limiter struct {
	config      Config
	now         time.Duration
	routes      []*routeState
	tenants     []*tenantState
	buckets     *bucketCache
	open        int
	limit       float64 // the adaptive one; Config.Open at the most
	windowStart time.Duration
	timely      int
	late        int
	peakOpen    int // most open within the window
	counts      [NumReasons]int64
}

// New returns a Gate that has nothing open.
func New(config Config) *Limiter {
	limiter := &Limiter{}
	limiter.Reconfigure(0, config)
	return limiter
}

// Reconfigure goes over to another configuration. What is open keeps its slots; a route or tenant that goes by the same name
// keeps its buckets and its count.
func (l *Limiter) Reconfigure(now time.Duration, config Config) {
	l.advance(now)
	oldRoutes, oldTenants := map[string]*routeState{}, map[string]*tenantState{}
	for _, route := range l.routes {
		oldRoutes[route.Name] = route
	}
	for _, tenant := range l.tenants {
		oldTenants[tenant.Name] = tenant
	}
	l.routes, l.tenants = nil, nil
	for _, route := range config.Routes {
		state := oldRoutes[route.Name]
		if state == nil {
			state = &routeState{retryTokens: route.MinRetriesPerSecond, refilledAt: l.now}
		}
		route.Burst = max(route.Burst, 1)
		state.RouteConfig = route
		state.retryTokens = min(state.retryTokens, l.maxRetryTokens(state))
		l.routes = append(l.routes, state)
	}
	for _, tenant := range config.Tenants {
		state := oldTenants[tenant.Name]
		if state == nil {
			state = &tenantState{}
		}
		state.TenantConfig = tenant
		l.tenants = append(l.tenants, state)
	}
	oldMaxOpen := l.config.MaxOpen
	l.config = config
	if l.limit == 0 || oldMaxOpen != config.MaxOpen || !config.Adaptive {
		l.limit = float64(config.MaxOpen)
	}
	if l.buckets == nil || l.buckets.maxSize != config.MaxBuckets {
		l.buckets = newBucketCache(config.MaxBuckets)
	}
}

// advance goes on to a moment. A clock that goes back stands still here until it is past again.
func (l *Limiter) advance(now time.Duration) { l.now = max(l.now, now) }

// OpenRequests is how many requests are open.
func (l *Limiter) OpenRequests() int { return l.open }

// CurrentLimit is how many may be open now; 0: no limit.
func (l *Limiter) CurrentLimit() int { return int(l.limit) }

// Counts are how many asks ended for each reason.
func (l *Limiter) Counts() [NumReasons]int64 { return l.counts }

// OpenOnRoute is how many requests are open on a route.
func (l *Limiter) OpenOnRoute(route int) int { return l.routes[route].open }

// Admit decides on one request. Nothing is used up by a request that is not taken.
func (l *Limiter) Admit(now time.Duration, request Request) Decision {
	l.advance(now)
	l.adaptLimit()
	route := l.routes[request.Route]
	var tenant *tenantState
	if request.Tenant >= 0 && request.Tenant < len(l.tenants) {
		tenant = l.tenants[request.Tenant]
		tenant.lastRequestAt, tenant.everActive = l.now, true
	}
	decision := l.decide(route, tenant, request)
	l.counts[decision.Reason]++
	if decision.Reason != Admitted {
		decision.RetryAfter = max(decision.RetryAfter, route.RetryAfter)
		return decision
	}
	route.open++
	route.queued++
	l.open++
	l.peakOpen = max(l.peakOpen, l.open)
	if tenant != nil {
		tenant.open++
	}
	decision.Permit = Permit{route: route, tenant: tenant}
	return decision
}

// decide looks at one limit after the other; the one that takes something comes last.
func (l *Limiter) decide(route *routeState, tenant *tenantState, request Request) Decision {
	if route.MaxConcurrent > 0 && route.open >= route.MaxConcurrent {
		return Decision{Reason: ConcurrencyExceeded}
	}
	if route.MaxQueued > 0 && route.queued >= route.MaxQueued {
		return Decision{Reason: QueueFull}
	}
	if l.limit > 0 {
		open := float64(l.open)
		if open >= math.Floor(l.limit) {
			return Decision{Reason: OpenLimitReached}
		}
		if priorityLimit := l.limit * (1 - priorityReserve*float64(MaxPriority-route.Priority)/MaxPriority); open >= priorityLimit {
			return Decision{Reason: PriorityShed}
		}
		// Guards against one tenant that takes all: what it may have is its part of the limit among those that ask.
		if tenant != nil && open >= contentionThreshold*l.limit && float64(tenant.open) >= l.tenantQuota(tenant) {
			return Decision{Reason: TenantQuotaExceeded}
		}
	}
	l.refillRetryTokens(route)
	if request.Retry && route.RetryBudgeted && route.retryTokens < 1 {
		return Decision{Reason: RetryBudgetExhausted, RetryAfter: l.retryTokenWait(route)}
	}
	if route.RateLimited {
		if wait := l.tokenBucketFor(route, request).take(l.now, route.Rate, route.Burst); wait > 0 {
			return Decision{Reason: RateExceeded, RetryAfter: min(wait, maxWait)}
		}
	}
	if route.RetryBudgeted {
		if request.Retry {
			route.retryTokens--
		} else {
			route.retryTokens = min(route.retryTokens+route.RetryBudget, l.maxRetryTokens(route))
		}
	}
	return Decision{}
}

// tenantQuota is how many requests a tenant may have open while short.
func (l *Limiter) tenantQuota(tenant *tenantState) float64 {
	activeWeight := 0.0
	for _, other := range l.tenants {
		if other.open > 0 || other.everActive && l.now-other.lastRequestAt < tenantActiveFor {
			activeWeight += other.Weight
		}
	}
	if activeWeight <= 0 {
		return math.Inf(1)
	}
	return max(1, l.limit*tenant.Weight/activeWeight)
}

// maxRetryTokens bounds the repeats that may be saved up: a quiet hour buys no storm.
func (l *Limiter) maxRetryTokens(route *routeState) float64 {
	return max(1, route.MinRetriesPerSecond, route.MinRetriesPerSecond*maxSavedBudget.Seconds(), route.RetryBudget*100)
}

// refillRetryTokens gives a route the repeats that are allowed whatever else comes.
func (l *Limiter) refillRetryTokens(route *routeState) {
	if route.RetryBudgeted {
		route.retryTokens = min(route.retryTokens+route.MinRetriesPerSecond*(l.now-route.refilledAt).Seconds(), l.maxRetryTokens(route))
	}
	route.refilledAt = l.now
}

// retryTokenWait is when the floor alone has brought one more repeat.
func (l *Limiter) retryTokenWait(route *routeState) time.Duration {
	if route.MinRetriesPerSecond <= 0 {
		return time.Second
	}
	return time.Duration(min((1-route.retryTokens)/route.MinRetriesPerSecond, 3600) * float64(time.Second))
}

func (l *Limiter) tokenBucketFor(route *routeState, request Request) *tokenBucket {
	switch {
	case route.RateScope == PerTenant && request.Tenant >= 0:
		return l.buckets.get(route.Name, uint64(request.Tenant))
	case route.RateScope == PerKey:
		return l.buckets.get(route.Name, request.Key)
	default:
		return &route.tokens
	}
}

// MarkSent says that a request has been sent to a worker for the first time.
func (l *Limiter) MarkSent(permit *Permit) {
	if permit.Valid() && !permit.sent {
		permit.sent = true
		permit.route.queued--
	}
}

// Release gives a slot back, once.
func (l *Limiter) Release(now time.Duration, permit Permit, outcome Outcome) {
	if !permit.Valid() {
		return
	}
	l.advance(now)
	l.MarkSent(&permit)
	permit.route.open--
	l.open--
	if permit.tenant != nil {
		permit.tenant.open--
	}
	switch outcome {
	case Timely:
		l.timely++
	case Late:
		l.late++
	}
	l.adaptLimit()
}

// adaptLimit lets the limit follow measured service: additive increase, multiplicative decrease, once in a window. It never
// goes over what is configured.
func (l *Limiter) adaptLimit() {
	if !l.config.Adaptive || l.config.MaxOpen == 0 || l.now < l.windowStart+adaptWindow {
		return
	}
	if samples := l.timely + l.late; samples >= minSamples {
		maxOpen := float64(l.config.MaxOpen)
		switch {
		case float64(l.late) > maxLateFraction*float64(samples):
			// From what was in use: a limit far above it would be lowered for long without any effect.
			l.limit = max(float64(min(l.config.MinOpen, l.config.MaxOpen)), min(l.limit, float64(l.peakOpen))*decreaseFactor, 1)
		case float64(l.peakOpen) >= contentionThreshold*l.limit:
			l.limit = min(maxOpen, l.limit+max(1, increaseFraction*maxOpen))
		}
	} else if l.open == 0 {
		l.limit = float64(l.config.MaxOpen) // nothing is open, so nothing is short
	}
	l.windowStart, l.timely, l.late, l.peakOpen = l.now, 0, 0, l.open
}
