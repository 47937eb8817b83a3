package config

import (
	"fmt"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
)

const (
	// maxRetryBudget is the largest retry budget: with a larger one a retry storm sustains itself.
	maxRetryBudget = 0.5

	maxRate                = 1e9 // requests per second
	maxBurst               = 1e6
	maxOpenRequests        = 1e6
	maxMinRetriesPerSecond = 1e6
)

// checkPolicies checks each value of each section separately.
func (c *checker) checkPolicies() {
	c.checkValues("default", &c.file.Default)
	for i := range c.file.Classes {
		c.checkValues(sectionKey("class", i), &c.file.Classes[i].Policy)
	}
	for i := range c.file.Tenants {
		c.checkValues(sectionKey("tenant", i), &c.file.Tenants[i].Policy)
	}
	for i := range c.file.Routes {
		c.checkValues(sectionKey("route", i), &c.file.Routes[i].Policy)
	}
}

// checkValues checks the values that one section sets.
func (c *checker) checkValues(section string, policy *Policy) {
	for _, check := range []struct {
		key   string
		value time.Duration
		min   time.Duration
	}{
		{keyTimeout, policy.Timeout, time.Millisecond},
		{keyAttemptTimeout, policy.AttemptTimeout, time.Millisecond},
		{keyMaxQueueTime, policy.MaxQueueTime, time.Millisecond},
		{keyHedgeDelay, policy.HedgeDelay, 0},
		{keyDedupWindow, policy.DedupWindow, time.Millisecond},
		{keyRetryBackoff, policy.RetryBackoff, 0},
		{keyMaxRetryBackoff, policy.MaxRetryBackoff, 0},
		{keyRetryAfter, policy.RetryAfter, 0},
	} {
		key := section + "." + check.key
		if c.doc.Has(key) && (check.value < check.min || check.value > maxDuration) {
			c.addErrorf(key, "invalid value %v: must be between %v and %v", check.value, check.min, maxDuration)
		}
	}
	for _, check := range []struct {
		key             string
		value, min, max float64
	}{
		{keyBackoffJitter, policy.BackoffJitter, 0, 1},
		{keyRate, policy.Rate, 0, maxRate},
		{keyBurst, float64(policy.Burst), 1, maxBurst},
		{keyMaxConcurrent, float64(policy.MaxConcurrent), 1, maxOpenRequests},
		{keyMaxQueued, float64(policy.MaxQueued), 1, maxOpenRequests},
		{keyPriority, float64(policy.Priority), 0, admission.MaxPriority},
		{keyMinRetriesPerSecond, policy.MinRetriesPerSecond, 0, maxMinRetriesPerSecond},
	} {
		key := section + "." + check.key
		if c.doc.Has(key) && (check.value < check.min || check.value > check.max) {
			c.addErrorf(key, "invalid value %v: must be between %v and %v", check.value, check.min, check.max)
		}
	}
	c.checkRetryBudgetValue(section+"."+keyRetryBudget, policy.RetryBudget)
	c.checkRetryModeValue(section+"."+keyRetryMode, policy.RetryMode)
	c.checkRateScopeValue(section+"."+keyRateScope, policy.RateScope)
}

func (c *checker) checkRetryBudgetValue(key string, budget float64) {
	if c.doc.Has(key) && (budget < 0 || budget > maxRetryBudget) {
		c.addErrorf(key, "invalid value %v: must be between 0 and %v; with a larger budget a retry storm sustains itself", budget, maxRetryBudget)
	}
}

func (c *checker) checkRetryModeValue(key string, mode RetryMode) {
	if c.doc.Has(key) && !slices.Contains([]RetryMode{RetryAllowed, RetryNotRun, RetryAny}, mode) {
		c.addErrorf(key, "invalid value %q: must be one of %s, %s, %s", mode, RetryAllowed, RetryNotRun, RetryAny)
	}
}

func (c *checker) checkRateScopeValue(key string, scope rateScope) {
	if c.doc.Has(key) && !slices.Contains([]rateScope{rateByRoute, rateByTenant, rateByKey}, scope) {
		c.addErrorf(key, "invalid value %q: must be one of %s, %s, %s", scope, rateByRoute, rateByTenant, rateByKey)
	}
}

// checkPolicy checks the values in force for consistency with each other, with the platform, and with the classes to
// which they apply. subject names the route in errors.
func (c *checker) checkPolicy(policy *effectivePolicy, classIDs []int, subject string) {
	c.checkTimeouts(policy)
	c.checkAttemptsAndHedging(policy)
	c.checkBackoff(policy)
	c.checkRateAndQueue(policy)
	c.checkRetryFloor(policy)
	c.checkRetryAfter(policy)
	c.checkRetryBudget(policy)
	for _, classID := range classIDs {
		class, name := &c.platform.Settings.Classes[classID], c.platform.ClassNames[classID]
		c.checkDeadline(policy, class, name)
		c.checkIdempotency(policy, class, name, subject)
		c.checkDedupWindow(policy, class, name, subject)
	}
}

func (c *checker) checkTimeouts(policy *effectivePolicy) {
	connectTimeout := toDuration(c.platform.Settings.ConnectTimeout)
	for _, check := range []struct {
		key     string
		timeout time.Duration
	}{
		{keyTimeout, policy.Timeout},
		{keyAttemptTimeout, policy.AttemptTimeout},
	} {
		if policy.isSet(check.key) && check.timeout > 0 && check.timeout <= connectTimeout {
			c.addErrorOncef(policy.keyPath(check.key), "invalid value %v: must be longer than the connect timeout, %v", check.timeout, connectTimeout)
		}
	}
	for _, check := range []struct {
		key  string
		part time.Duration
	}{
		{keyAttemptTimeout, policy.AttemptTimeout},
		{keyMaxQueueTime, policy.MaxQueueTime},
	} {
		if policy.isSet(keyTimeout) && policy.isSet(check.key) && check.part > policy.Timeout {
			c.addErrorOncef(policy.keyPath(check.key), "invalid value %v: must be at most the timeout of the request, %v", check.part, policy.Timeout)
		}
	}
}

func (c *checker) checkAttemptsAndHedging(policy *effectivePolicy) {
	settings := &c.platform.Settings
	if policy.isSet(keyMaxAttempts) && (policy.MaxAttempts < 1 || policy.MaxAttempts > settings.MaxAttempts) {
		c.addErrorOncef(policy.keyPath(keyMaxAttempts), "invalid value %d: must be between 1 and the platform's limit of %d", policy.MaxAttempts, settings.MaxAttempts)
	}
	if policy.isSet(keyHedgeDelay) && policy.hedgingOff() {
		c.addErrorOncef(policy.keyPath(keyHedgeDelay), "requires second_copies, which is set to false")
	}
	if policy.Hedging && !settings.CanHedge {
		c.addErrorOncef(policy.keyPath(keyHedging), "the platform allows no second copies")
	}
}

func (c *checker) checkBackoff(policy *effectivePolicy) {
	if policy.isSet(keyMaxRetryBackoff) && (!policy.isSet(keyRetryBackoff) || policy.MaxRetryBackoff < policy.RetryBackoff) {
		c.addErrorOncef(policy.keyPath(keyMaxRetryBackoff), "invalid value %v: must be at least backoff, %v, and backoff must be set", policy.MaxRetryBackoff, policy.RetryBackoff)
	}
	if policy.isSet(keyBackoffJitter) && !policy.isSet(keyRetryBackoff) {
		c.addErrorOncef(policy.keyPath(keyBackoffJitter), "requires backoff, which is missing")
	}
}

func (c *checker) checkRateAndQueue(policy *effectivePolicy) {
	if policy.isSet(keyMaxQueued) && policy.isSet(keyMaxConcurrent) && policy.MaxQueued > policy.MaxConcurrent {
		c.addErrorOncef(policy.keyPath(keyMaxQueued), "invalid value %d: must be at most concurrent, %d, which includes queued requests", policy.MaxQueued, policy.MaxConcurrent)
	}
	if policy.isSet(keyBurst) && !policy.isSet(keyRate) {
		c.addErrorOncef(policy.keyPath(keyBurst), "requires rate, which is missing")
	}
	if policy.isSet(keyRateScope) && !policy.isSet(keyRate) {
		c.addErrorOncef(policy.keyPath(keyRateScope), "requires rate, which is missing")
	}
}

func (c *checker) checkRetryFloor(policy *effectivePolicy) {
	if !policy.isSet(keyMinRetriesPerSecond) {
		return
	}
	key := policy.keyPath(keyMinRetriesPerSecond)
	if !policy.isSet(keyRetryBudget) {
		c.addErrorOncef(key, "requires retry_budget, which is missing")
	}
	if policy.isSet(keyRate) && policy.MinRetriesPerSecond > policy.Rate {
		c.addErrorOncef(key, "invalid value %v: must be at most rate, %v per second; otherwise a retry storm could use the whole rate", policy.MinRetriesPerSecond, policy.Rate)
	}
}

func (c *checker) checkRetryAfter(policy *effectivePolicy) {
	settings := &c.platform.Settings
	tooLong := !settings.RetryAfter || policy.RetryAfter > toDuration(settings.MaxRetryAfter)
	if policy.RetryAfter > 0 && tooLong {
		c.addErrorOncef(policy.keyPath(keyRetryAfter), "invalid value %v: must be at most %v, the longest Retry-After that the platform allows", policy.RetryAfter, formatTime(settings.MaxRetryAfter))
	}
}

// checkRetryBudget limits the attempts that result from a request and its client's retries, so that retries on two
// levels do not multiply.
func (c *checker) checkRetryBudget(policy *effectivePolicy) {
	if !policy.isSet(keyMaxAttempts) || !policy.isSet(keyRetryBudget) {
		return
	}
	attempts, maxAttempts := max(policy.MaxAttempts, 1), c.platform.Settings.MaxAttempts
	total := float64(attempts) * (1 + policy.RetryBudget)
	if total > float64(maxAttempts) {
		c.addErrorOncef(policy.keyPath(keyRetryBudget), "%d attempts per request and %v client retries per request come to %.1f attempts, more than the platform's limit of %d: a retry storm would multiply",
			attempts, policy.RetryBudget, total, maxAttempts)
	}
}

// checkDeadline checks that no time limit exceeds the deadline of a class, which is how long its clients wait.
func (c *checker) checkDeadline(policy *effectivePolicy, class *dispatch.Class, name string) {
	deadline := toDuration(class.Deadline)
	for _, check := range []struct {
		key   string
		value time.Duration
	}{
		{keyTimeout, policy.Timeout},
		{keyAttemptTimeout, policy.AttemptTimeout},
		{keyMaxQueueTime, policy.MaxQueueTime},
	} {
		if check.value > deadline {
			c.addErrorOncef(policy.keyPath(check.key), "invalid value %v: must be at most the deadline of class %s, %v", check.value, name, deadline)
		}
	}
}

// checkIdempotency checks that only idempotent classes are hedged, or retried after an attempt that may have run.
func (c *checker) checkIdempotency(policy *effectivePolicy, class *dispatch.Class, name, subject string) {
	if class.Idempotency == dispatch.Idempotent {
		return
	}
	request := fmt.Sprintf("%s, which goes by %s, %s", name, subject, describeIdempotency(class.Idempotency))
	if policy.Hedging {
		c.addErrorOncef(policy.keyPath(keyHedging), "%s: it gets no second copies; name the class in the route, or leave the key to routes of safe classes", request)
	}
	if policy.isSet(keyHedgeDelay) && !policy.hedgingOff() {
		c.addErrorOncef(policy.keyPath(keyHedgeDelay), "%s: it gets no second copies, so there is nothing to delay", request)
	}
	if policy.RetryMode == RetryAny {
		c.addErrorOncef(policy.keyPath(keyRetryMode), "%s: attempts that may have run are not retried; use %q or %q", request, RetryAllowed, RetryNotRun)
	}
}

func (c *checker) checkDedupWindow(policy *effectivePolicy, class *dispatch.Class, name, subject string) {
	key := policy.keyPath(keyDedupWindow)
	if class.Idempotency != dispatch.Deduplicated {
		if policy.isSet(keyDedupWindow) {
			c.addErrorOncef(key, "%s, which goes by %s, is not keyed: it has no deduplication window", name, subject)
		}
		return
	}
	if window := toDuration(class.DedupWindow); policy.DedupWindow > window {
		c.addErrorOncef(key, "invalid value %v: must be at most the deduplication window of class %s, %v", policy.DedupWindow, name, window)
	}
}
