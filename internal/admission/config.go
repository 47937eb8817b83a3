package admission

import "time"

// RateScope is the set of requests that a route's rate limit counts together.
type RateScope uint8

// The scopes.
const (
	PerRoute  RateScope = iota // all requests of the route
	PerTenant                  // the requests of each tenant
	PerKey                     // the requests of each key
)

// MaxPriority is the highest priority of a route.
const MaxPriority = 9

// RouteConfig limits one route. A zero value is no limit.
type RouteConfig struct {
	Name                string
	RateLimited         bool    // Rate is in force; with a Rate of 0 nothing is admitted
	Rate                float64 // requests per second
	Burst               int     // requests that may arrive at once, at least 1
	RateScope           RateScope
	MaxConcurrent       int           // open requests; 0: no limit
	MaxQueued           int           // open requests that have not been sent to a worker yet; 0: no limit
	RetryBudgeted       bool          // RetryBudget and MinRetriesPerSecond are in force
	RetryBudget         float64       // retries per first request
	MinRetriesPerSecond float64       // retries per second that are always allowed
	Priority            int           // from 0 to MaxPriority
	RetryAfter          time.Duration // minimum Retry-After of a rejection
}

// TenantConfig is a tenant's share of the total under contention.
type TenantConfig struct {
	Name   string
	Weight float64 // relative to the weights of the other active tenants
}

// Config is the configuration of a Limiter.
type Config struct {
	Routes     []RouteConfig
	Tenants    []TenantConfig
	MaxOpen    int  // open requests over all routes; 0: no limit
	Adaptive   bool // the limit on open requests follows the measured service, between MinOpen and MaxOpen
	MinOpen    int
	MaxBuckets int // maximum number of buckets of rate limits by key or tenant; the least recently used are evicted
}
