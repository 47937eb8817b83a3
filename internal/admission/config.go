package admission

import "time"

// RateScope is the set of requests that share one rate limit of a route.
type RateScope uint8

// Scopes of a rate limit.
const (
	PerRoute  RateScope = iota // all requests of the route
	PerTenant                  // the requests of each tenant
	PerKey                     // the requests of each key
)

// MaxPriority is the highest priority of a route.
const MaxPriority = 9

// RouteConfig contains the limits of one route. A zero value means no limit.
type RouteConfig struct {
	Name                string
	RateLimited         bool    // Rate applies; a Rate of 0 rejects every request
	Rate                float64 // requests per second
	Burst               int     // requests that may arrive at the same time, at least 1
	RateScope           RateScope
	MaxConcurrent       int           // maximum number of open requests; 0: no limit
	MaxQueued           int           // maximum number of open requests that have not been sent to a worker; 0: no limit
	RetryBudgeted       bool          // RetryBudget and MinRetriesPerSecond apply
	RetryBudget         float64       // retries per first request
	MinRetriesPerSecond float64       // retries per second that are allowed in addition to RetryBudget
	Priority            int           // from 0 to MaxPriority
	RetryAfter          time.Duration // minimum Retry-After of rejected requests
}

// TenantConfig defines a tenant's quota under contention.
type TenantConfig struct {
	Name   string
	Weight float64 // relative to the weights of the other active tenants
}

// Config is the configuration of a Limiter.
type Config struct {
	Routes     []RouteConfig
	Tenants    []TenantConfig
	MaxOpen    int  // maximum number of open requests of all routes; 0: no limit
	Adaptive   bool // the limit on open requests adapts to the fraction of late responses, between MinOpen and MaxOpen
	MinOpen    int
	MaxBuckets int // maximum number of token buckets by key or tenant; the least recently used are evicted
}
