package admission

import "time"

// RateScope says what a route's rate limit counts together.
type RateScope uint8

// The scopes.
const (
	PerRoute  RateScope = iota // all requests of the route
	PerTenant                  // the requests of each tenant
	PerKey                     // the requests of each key
)

// MaxPriority is the highest priority of a route.
const MaxPriority = 9

// RouteConfig limits one route. Zero values limit nothing.
type RouteConfig struct {
	Name                string
	RateLimited         bool    // Rate counts; with a Rate of 0 nothing is admitted
	Rate                float64 // requests a second
	Burst               int     // requests that may come at once, at least 1
	RateScope           RateScope
	MaxConcurrent       int           // open requests; 0: no limit
	MaxQueued           int           // open requests that have not been sent to a worker yet; 0: no limit
	RetryBudgeted       bool          // RetryBudget and MinRetriesPerSecond count
	RetryBudget         float64       // retries for each first request
	MinRetriesPerSecond float64       // retries a second that are allowed in any case
	Priority            int           // from 0 to MaxPriority
	RetryAfter          time.Duration // the least Retry-After of a rejection
}

// TenantConfig is a tenant's part of the total under contention.
type TenantConfig struct {
	Name   string
	Weight float64 // against the weights of the other active tenants
}

// Config is the configuration of a Limiter.
type Config struct {
	Routes     []RouteConfig
	Tenants    []TenantConfig
	MaxOpen    int  // open requests over all routes; 0: no limit
	Adaptive   bool // the limit on open requests follows measured service, between MinOpen and MaxOpen
	MinOpen    int
	MaxBuckets int // rate limits by key or tenant that are kept; the longest idle ones are forgotten
}
