package config

import (
	"fmt"
	"reflect"
	"time"
)

// operatorFile is the operator's file before it is checked.
type operatorFile struct {
	Total    totalSection    `toml:"total"`
	Platform platformSection `toml:"platform"`
	Group    groupSection    `toml:"group"`
	Default  Policy          `toml:"default"`
	Classes  []classSection  `toml:"class"`
	Tenants  []tenantSection `toml:"tenant"`
	Routes   []routeSection  `toml:"route"`
}

// totalSection limits all routes together.
type totalSection struct {
	MaxConcurrent int  `toml:"concurrent"`
	Adaptive      bool `toml:"adaptive"`
	MinConcurrent int  `toml:"least"`
	MaxKeys       int  `toml:"keys"`
}

// platformSection narrows the platform's rules.
type platformSection struct {
	DrainGrace         time.Duration `toml:"drain_grace"`
	SlowStartWindow    time.Duration `toml:"warm_within"`
	OverloadMultiple   float64       `toml:"fall_multiple"`
	SlowStartMinFactor float64       `toml:"cold_from"`
}

type classSection struct {
	Name string `toml:"name"`
	Policy
}

type tenantSection struct {
	Name   string  `toml:"name"`
	Weight float64 `toml:"weight"`
	Policy
}

type routeSection struct {
	Name     string `toml:"name"`
	Class    string `toml:"class"`
	Path     string `toml:"path"`
	Tenant   string `toml:"tenant"`
	Method   string `toml:"method"`
	Fallback string `toml:"fallback"`
	Policy
}

// Policy holds the values that the default section, a class, a tenant or a route can set. The keys in the file, not the
// values, determine which of them a section sets: see effectivePolicy.
type Policy struct {
	Timeout             time.Duration `toml:"timeout"` // of a request, from its arrival
	AttemptTimeout      time.Duration `toml:"attempt_timeout"`
	MaxQueueTime        time.Duration `toml:"hold"` // until the first attempt is sent
	MaxAttempts         int           `toml:"attempts"`
	Hedging             bool          `toml:"second_copies"`
	HedgeDelay          time.Duration `toml:"hedge_after"`
	RetryMode           RetryMode     `toml:"repeat"`
	DedupWindow         time.Duration `toml:"repeat_within"` // maximum time from the first attempt to a retry
	RetryBackoff        time.Duration `toml:"backoff"`
	MaxRetryBackoff     time.Duration `toml:"backoff_most"`
	BackoffJitter       float64       `toml:"jitter"`       // the random fraction of a backoff, 0 to 1
	RetryBudget         float64       `toml:"retry_budget"` // clients' retries per first request
	MinRetriesPerSecond float64       `toml:"retry_floor"`
	MaxConcurrent       int           `toml:"concurrent"` // open requests
	MaxQueued           int           `toml:"queue"`      // open requests without an attempt
	Rate                float64       `toml:"rate"`       // requests per second
	Burst               int           `toml:"burst"`      // requests
	RateScope           rateScope     `toml:"rate_by"`
	Priority            int           `toml:"priority"`
	RetryAfter          time.Duration `toml:"retry_after"` // minimum Retry-After of a rejected client
}

// The keys of a Policy, as in the file.
const (
	keyTimeout             = "timeout"
	keyAttemptTimeout      = "attempt_timeout"
	keyMaxQueueTime        = "hold"
	keyMaxAttempts         = "attempts"
	keyHedging             = "second_copies"
	keyHedgeDelay          = "hedge_after"
	keyRetryMode           = "repeat"
	keyDedupWindow         = "repeat_within"
	keyRetryBackoff        = "backoff"
	keyMaxRetryBackoff     = "backoff_most"
	keyBackoffJitter       = "jitter"
	keyRetryBudget         = "retry_budget"
	keyMinRetriesPerSecond = "retry_floor"
	keyMaxConcurrent       = "concurrent"
	keyMaxQueued           = "queue"
	keyRate                = "rate"
	keyBurst               = "burst"
	keyRateScope           = "rate_by"
	keyPriority            = "priority"
	keyRetryAfter          = "retry_after"
)

// RetryMode is the set of attempts that may be retried.
type RetryMode string

// The modes, as in the file.
const (
	RetryAllowed RetryMode = "lawful" // all that the class allows
	RetryNotRun  RetryMode = "unrun"  // only attempts that are known not to have run
	RetryAny     RetryMode = "any"    // also attempts that may have run: for idempotent classes the same as RetryAllowed
)

// rateScope is the set of requests that a rate limit counts together.
type rateScope string

// The scopes, as in the file.
const (
	rateByRoute  rateScope = "route"
	rateByTenant rateScope = "tenant"
	rateByKey    rateScope = "key"
)

// policyKeys are the keys of Policy in the order of its fields.
var policyKeys = func() []string {
	policy := reflect.TypeFor[Policy]()
	keys := make([]string, policy.NumField())
	for i := range keys {
		keys[i] = policy.Field(i).Tag.Get("toml")
	}
	return keys
}()

// sectionKey returns the path of one section of an array, such as route[0].
func sectionKey(section string, i int) string { return fmt.Sprintf("%s[%d]", section, i) }
