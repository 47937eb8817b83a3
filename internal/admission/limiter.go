package admission

import (
	"math"
	"time"
)

// tenantActiveFor is the time for which a tenant counts as active after its latest request.
const tenantActiveFor = 2 * time.Second

// Limiter decides on the admission of requests. It is not safe for concurrent use.
type Limiter struct {
	now     time.Duration
	routes  []*routeState
	tenants []*tenantState
	buckets *bucketCache // for rate limits by tenant or key
	total   concurrencyLimit
	counts  [NumReasons]int64
}

type routeState struct {
	RouteConfig
	open    int
	queued  int         // open requests that have not been sent to a worker
	bucket  tokenBucket // for rate limits by route
	retries retryBudget
}

type tenantState struct {
	TenantConfig
	open          int
	lastRequestAt time.Duration
	everActive    bool
}

// New returns a Limiter at time 0 without open requests.
func New(config Config) *Limiter {
	limiter := &Limiter{}
	limiter.Reconfigure(0, config)
	return limiter
}

// Reconfigure replaces the configuration. Open requests keep their permits. Routes and tenants that keep their names keep
// their token buckets and counts.
func (l *Limiter) Reconfigure(now time.Duration, config Config) {
	l.advance(now)
	l.replaceRoutes(config.Routes)
	l.replaceTenants(config.Tenants)
	l.total.configure(&config)
	if l.buckets == nil || l.buckets.maxSize != config.MaxBuckets {
		l.buckets = newBucketCache(config.MaxBuckets)
	}
}

func (l *Limiter) replaceRoutes(configs []RouteConfig) {
	old := map[string]*routeState{}
	for _, route := range l.routes {
		old[route.Name] = route
	}
	l.routes = nil
	for _, config := range configs {
		state := old[config.Name]
		if state == nil {
			state = &routeState{retries: newRetryBudget(l.now, &config)}
		}
		config.Burst = max(config.Burst, 1)
		state.RouteConfig = config
		state.retries.configure(&config)
		l.routes = append(l.routes, state)
	}
}

func (l *Limiter) replaceTenants(configs []TenantConfig) {
	old := map[string]*tenantState{}
	for _, tenant := range l.tenants {
		old[tenant.Name] = tenant
	}
	l.tenants = nil
	for _, config := range configs {
		state := old[config.Name]
		if state == nil {
			state = &tenantState{}
		}
		state.TenantConfig = config
		l.tenants = append(l.tenants, state)
	}
}

// advance sets the time. If the clock goes back, the time remains unchanged until the clock has caught up.
func (l *Limiter) advance(now time.Duration) { l.now = max(l.now, now) }

// OpenRequests returns the number of open requests.
func (l *Limiter) OpenRequests() int { return l.total.open }

// CurrentLimit returns the current limit on open requests; 0: no limit.
func (l *Limiter) CurrentLimit() int { return int(l.total.current) }

// Counts returns the number of decisions by reason.
func (l *Limiter) Counts() [NumReasons]int64 { return l.counts }

// OpenRequestsOnRoute returns the number of open requests of a route, given by its index.
func (l *Limiter) OpenRequestsOnRoute(route int) int { return l.routes[route].open }

// Admit decides whether a request is admitted. A rejected request uses no capacity, token or retry budget.
func (l *Limiter) Admit(now time.Duration, request Request) Decision {
	l.advance(now)
	l.total.adapt(l.now)
	route := l.routes[request.Route]
	tenant := l.activeTenant(request.Tenant)
	decision := l.decide(route, tenant, request)
	l.counts[decision.Reason]++
	if decision.Reason != Admitted {
		decision.RetryAfter = max(decision.RetryAfter, route.RetryAfter)
		return decision
	}
	l.total.acquire()
	route.open++
	route.queued++
	if tenant != nil {
		tenant.open++
	}
	decision.Permit = Permit{route: route, tenant: tenant}
	return decision
}

// activeTenant records a request of a tenant and returns the tenant's state, or nil if the index is not that of a tenant.
func (l *Limiter) activeTenant(index int) *tenantState {
	if index < 0 || index >= len(l.tenants) {
		return nil
	}
	tenant := l.tenants[index]
	tenant.lastRequestAt = l.now
	tenant.everActive = true
	return tenant
}

// decide checks the limits in order. It checks limits that consume tokens last, so that a rejected request consumes none.
func (l *Limiter) decide(route *routeState, tenant *tenantState, request Request) Decision {
	if reason := route.checkCapacity(); reason != Admitted {
		return Decision{Reason: reason}
	}
	if reason := l.checkTotal(route, tenant); reason != Admitted {
		return Decision{Reason: reason}
	}
	route.retries.refill(l.now)
	if !route.retries.allows(request.Retry) {
		return Decision{Reason: RetryBudgetExhausted, RetryAfter: route.retries.wait()}
	}
	if wait := l.takeToken(route, request); wait > 0 {
		return Decision{Reason: RateExceeded, RetryAfter: min(wait, maxWait)}
	}
	route.retries.account(request.Retry)
	return Decision{Reason: Admitted}
}

// checkCapacity checks the route's own limits on open and queued requests.
func (r *routeState) checkCapacity() Reason {
	switch {
	case r.MaxConcurrent > 0 && r.open >= r.MaxConcurrent:
		return ConcurrencyExceeded
	case r.MaxQueued > 0 && r.queued >= r.MaxQueued:
		return QueueFull
	}
	return Admitted
}

// checkTotal checks the limit on open requests of all routes, and the parts of it that are available to the route's
// priority and to the tenant.
func (l *Limiter) checkTotal(route *routeState, tenant *tenantState) Reason {
	switch {
	case !l.total.limited():
		return Admitted
	case l.total.full():
		return OpenLimitReached
	case l.total.isReservedFrom(route.Priority):
		return PriorityShed
	case tenant != nil && l.total.contended() && float64(tenant.open) >= l.tenantQuota(tenant):
		return TenantQuotaExceeded
	}
	return Admitted
}

// tenantQuota returns the maximum number of a tenant's open requests under contention: the tenant's weighted share of the
// limit among the active tenants. It prevents one tenant from using up the limit.
func (l *Limiter) tenantQuota(tenant *tenantState) float64 {
	activeWeight := 0.0
	for _, other := range l.tenants {
		if other.isActive(l.now) {
			activeWeight += other.Weight
		}
	}
	if activeWeight <= 0 {
		return math.Inf(1)
	}
	return max(1, l.total.current*tenant.Weight/activeWeight)
}

func (t *tenantState) isActive(now time.Duration) bool {
	return t.open > 0 || t.everActive && now-t.lastRequestAt < tenantActiveFor
}

// takeToken takes a token from the route's rate limit. It returns 0, or the time until a token is available.
func (l *Limiter) takeToken(route *routeState, request Request) time.Duration {
	if !route.RateLimited {
		return 0
	}
	return l.bucketFor(route, request).take(l.now, route.Rate, route.Burst)
}

func (l *Limiter) bucketFor(route *routeState, request Request) *tokenBucket {
	switch {
	case route.RateScope == PerTenant && request.Tenant >= 0:
		return l.buckets.get(route.Name, uint64(request.Tenant))
	case route.RateScope == PerKey:
		return l.buckets.get(route.Name, request.Key)
	default:
		return &route.bucket
	}
}

// MarkSent records that a request has been sent to a worker and is no longer queued. Further calls have no effect.
func (l *Limiter) MarkSent(permit *Permit) {
	if permit.Valid() && !permit.sent {
		permit.sent = true
		permit.route.queued--
	}
}

// Release releases a permit. It must be called once for each admitted request. An invalid permit has no effect.
func (l *Limiter) Release(now time.Duration, permit Permit, outcome Outcome) {
	if !permit.Valid() {
		return
	}
	l.advance(now)
	l.MarkSent(&permit)
	l.total.release()
	permit.route.open--
	if permit.tenant != nil {
		permit.tenant.open--
	}
	l.total.record(outcome)
	l.total.adapt(l.now)
}
