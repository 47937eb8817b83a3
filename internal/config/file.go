package config

import (
	"fmt"
	"reflect"
	"time"
)

// operatorFile is the operator's file as it is written.
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

// Policy is what the default section, a class, a tenant or a route can set. Which of its values a section sets is known
// from the file, not from the values: see effectivePolicy.
type Policy struct {
	Timeout             time.Duration `toml:"timeout"` // of a request, from its arrival
	AttemptTimeout      time.Duration `toml:"attempt_timeout"`
	MaxQueueTime        time.Duration `toml:"hold"` // until the first attempt is sent
	MaxAttempts         int           `toml:"attempts"`
	Hedging             bool          `toml:"second_copies"`
	HedgeDelay          time.Duration `toml:"hedge_after"`
	RetryMode           RetryMode     `toml:"repeat"`
	DedupWindow         time.Duration `toml:"repeat_within"` // retries start no later than this after the first attempt
	RetryBackoff        time.Duration `toml:"backoff"`
	MaxRetryBackoff     time.Duration `toml:"backoff_most"`
	BackoffJitter       float64       `toml:"jitter"`       // the part of a backoff that is random, 0 to 1
	RetryBudget         float64       `toml:"retry_budget"` // clients' retries for each first request
	MinRetriesPerSecond float64       `toml:"retry_floor"`
	MaxConcurrent       int           `toml:"concurrent"` // open requests
	MaxQueued           int           `toml:"queue"`      // open requests without an attempt
	Rate                float64       `toml:"rate"`       // requests a second
	Burst               int           `toml:"burst"`      // requests
	RateScope           rateScope     `toml:"rate_by"`
	Priority            int           `toml:"priority"`
	RetryAfter          time.Duration `toml:"retry_after"` // the least that a rejected client is told
}

// The keys of a Policy, as the file has them.
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

// RetryMode says which attempts may be retried.
type RetryMode string

// The modes, as the file has them.
const (
	RetryAllowed RetryMode = "lawful" // whatever the class allows
	RetryNotRun  RetryMode = "unrun"  // only attempts that are known not to have run
	RetryAny     RetryMode = "any"    // also attempts that may have run: for idempotent classes the same as RetryAllowed
)

// rateScope says what a rate limit counts together.
type rateScope string

// The scopes, as the file has them.
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

// sectionKey is the path of one section of an array, such as route[0].
func sectionKey(section string, i int) string { return fmt.Sprintf("%s[%d]", section, i) }
