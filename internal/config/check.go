package config

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/tomlfile"
)

// Whose rate a rate is, in the file.
const (
	rateByRoute  = "route"
	rateByTenant = "tenant"
	rateByKey    = "key"
)

// Bounds on what a file may ask for.
const (
	maxRoutes            = 256
	maxDuration          = time.Hour
	maxRetryBudget       = 0.5
	bytesPerKey          = 200 // a remembered rate takes about so much
	bytesPerOpenRequest  = 24 << 10
	keysMemoryDivisor    = 8 // one part in so many of the memory may hold keys
	openMemoryDivisor    = 2 // and one for what is open
	defaultMaxKeys       = 10_000
	defaultMinConcurrent = 8
)

// checker turns a file into a plan and names what is wrong with it.
type checker struct {
	doc      *tomlfile.Document
	file     *operatorFile
	platform Platform
	config   *OperatorConfig
}

func (c *checker) addErrorf(key, format string, args ...any) { c.doc.AddErrorf(key, format, args...) }

// build checks all and builds the plan; it is only good where no fault was noted.
func (c *checker) build() *OperatorConfig {
	file := c.file
	config := &OperatorConfig{Settings: c.platform.Settings}
	c.config = config
	c.checkNames()
	c.applyPlatform(&config.Settings)
	c.checkTotal(&config.Admission)
	c.checkPolicies()
	config.Group = c.buildGroup()
	if len(file.Routes) > maxRoutes {
		c.addErrorf("route", "%d are more than %d", len(file.Routes), maxRoutes)
		return config
	}
	operatorRoutes := make([]routes.Route, len(file.Routes))
	for i := range file.Routes {
		operatorRoutes[i] = c.buildRoute(i)
	}
	defaultRoute := routes.Route{Name: defaultRouteName, Fallback: -1}
	var classPolicies []*effectivePolicy // of the rest, by class
	for classID := range c.platform.ClassNames {
		policy := c.overlay(c.defaultLayer(), c.classLayer(c.platform.ClassNames[classID]))
		classPolicies = append(classPolicies, policy)
		c.checkPolicy(policy, []int{classID}, "rest")
		config.Explanation = append(config.Explanation, policy.explain(c.platform.ClassNames[classID]+" on no route", &c.platform, &c.platform.Settings.Classes[classID])...)
	}
	table, err := c.buildTable(operatorRoutes, defaultRoute, classPolicies)
	if err != nil {
		return config
	}
	config.Routes = table
	c.checkFallbacks(table)
	config.Admission.Routes = table.AdmissionConfigs()
	for _, name := range c.platform.TenantNames {
		tenant := admission.TenantConfig{Name: name, Weight: 1}
		for _, section := range file.Tenants {
			if section.Name == name && section.Weight > 0 {
				tenant.Weight = section.Weight
			}
		}
		config.Admission.Tenants = append(config.Admission.Tenants, tenant)
	}
	c.checkConcurrency(config)
	return config
}

// buildTable builds the routes. What matches no route of the operator's goes by a route for its class, so that classes and
// tenants with figures of their own are routes like any other.
func (c *checker) buildTable(operatorRoutes []routes.Route, defaultRoute routes.Route, classPolicies []*effectivePolicy) (*routes.Table, error) {
	for classID, policy := range classPolicies {
		if len(policy.origins) == 0 {
			continue
		}
		match := routes.Match{Class: c.platform.ClassNames[classID]}
		if !slices.ContainsFunc(operatorRoutes, func(route routes.Route) bool { return route.Match == match }) {
			operatorRoutes = append(operatorRoutes, c.compileRoute("class "+c.platform.ClassNames[classID], match, policy, []int{classID}))
		}
	}
	for i := range c.file.Tenants {
		section := &c.file.Tenants[i]
		if !c.setsAnyPolicy(fmt.Sprintf("tenant[%d]", i)) {
			continue
		}
		for classID, className := range c.platform.ClassNames {
			match := routes.Match{Class: className, Tenant: section.Name}
			policy := c.overlay(c.defaultLayer(), c.classLayer(className), policyLayer{fmt.Sprintf("tenant[%d]", i), "tenant " + section.Name, &section.Policy})
			c.checkPolicy(policy, []int{classID}, "tenant "+section.Name)
			if !slices.ContainsFunc(operatorRoutes, func(route routes.Route) bool { return route.Match == match }) {
				operatorRoutes = append(operatorRoutes, c.compileRoute("class "+className+", tenant "+section.Name, match, policy, []int{classID}))
			}
		}
	}
	table, err := routes.New(operatorRoutes, defaultRoute)
	if err == nil {
		return table, nil
	}
	for _, conflict := range conflictsIn(err) {
		if conflict.B < len(c.file.Routes) {
			c.addErrorf(fmt.Sprintf("route[%d]", conflict.B), "a request could go by this route and by %q, and neither is more exact: give one a match of the other's besides, or write a third for what both match", operatorRoutes[conflict.A].Name)
		} else if conflict.A < len(c.file.Routes) {
			c.addErrorf(fmt.Sprintf("route[%d]", conflict.A), "a request could go by this route and by the figures of %s, and neither is more exact: name the class and the tenant in the route", operatorRoutes[conflict.B].Name)
		}
	}
	return nil, err
}

func conflictsIn(err error) (conflicts []routes.Conflict) {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, inner := range joined.Unwrap() {
			var conflict routes.Conflict
			if errors.As(inner, &conflict) {
				conflicts = append(conflicts, conflict)
			}
		}
	}
	return conflicts
}

func (c *checker) defaultLayer() policyLayer {
	return policyLayer{"default", "default", &c.file.Default}
}

// classLayer is what the file says of a class.
func (c *checker) classLayer(name string) policyLayer {
	for i := range c.file.Classes {
		if c.file.Classes[i].Name == name {
			return policyLayer{fmt.Sprintf("class[%d]", i), "class " + name, &c.file.Classes[i].Policy}
		}
	}
	return policyLayer{}
}

func (c *checker) tenantLayer(name string) policyLayer {
	for i := range c.file.Tenants {
		if c.file.Tenants[i].Name == name {
			return policyLayer{fmt.Sprintf("tenant[%d]", i), "tenant " + name, &c.file.Tenants[i].Policy}
		}
	}
	return policyLayer{}
}

func (c *checker) setsAnyPolicy(section string) bool {
	return slices.ContainsFunc(policyKeys, func(key string) bool { return c.doc.Has(section + "." + key) })
}

// checkNames checks that classes and tenants are the platform's, and that each stands once.
func (c *checker) checkNames() {
	used := map[string]bool{}
	checkName := func(section string, i int, name string, known []string) {
		key := fmt.Sprintf("%s[%d].name", section, i)
		switch {
		case name == "":
			c.addErrorf(key, "it has no name")
		case used[section+" "+name]:
			c.addErrorf(key, "%q stands twice", name)
		case known != nil && !slices.Contains(known, name):
			c.addErrorf(key, "the platform has no %s %q; it has %s", section, name, joinNames(known))
		}
		used[section+" "+name] = true
	}
	for i, entry := range c.file.Classes {
		checkName("class", i, entry.Name, append([]string{}, c.platform.ClassNames...))
	}
	for i, entry := range c.file.Tenants {
		checkName("tenant", i, entry.Name, append([]string{}, c.platform.TenantNames...))
		if c.doc.Has(fmt.Sprintf("tenant[%d].weight", i)) && !(entry.Weight > 0 && entry.Weight <= 1e6) {
			c.addErrorf(fmt.Sprintf("tenant[%d].weight", i), "%v is not above 0", entry.Weight)
		}
	}
	for i, entry := range c.file.Routes {
		checkName("route", i, entry.Name, nil)
		if entry.Name == defaultRouteName {
			c.addErrorf(fmt.Sprintf("route[%d].name", i), "%q is what goes by no route: take another name", defaultRouteName)
		}
	}
}

// applyPlatform narrows the rules' figures and refuses to widen them.
func (c *checker) applyPlatform(settings *dispatch.Settings) {
	section := &c.file.Platform
	if c.doc.Has("platform.drain_grace") {
		if value := routes.ToTime(section.DrainGrace); value > settings.DrainGrace || value < 0 {
			c.addErrorf("platform.drain_grace", "%v is beyond the platform's %v: nothing may be sent to a draining worker later than that", section.DrainGrace, formatMicros(settings.DrainGrace))
		} else {
			settings.DrainGrace = value
		}
	}
	if c.doc.Has("platform.warm_within") {
		if value := routes.ToTime(section.WarmWithin); value < settings.SlowStartWindow || section.WarmWithin > maxDuration {
			c.addErrorf("platform.warm_within", "%v is less than the platform's %v, or more than %v: a cold worker would be taken for a warm one", section.WarmWithin, formatMicros(settings.SlowStartWindow), maxDuration)
		} else {
			settings.SlowStartWindow = value
		}
	}
	if c.doc.Has("platform.fall_multiple") {
		if !(section.FallMultiple >= 1 && section.FallMultiple <= settings.OverloadMultiple) {
			c.addErrorf("platform.fall_multiple", "%v is not from 1 to the platform's %v: a cold worker would be pushed over", section.FallMultiple, settings.OverloadMultiple)
		} else {
			settings.OverloadMultiple = section.FallMultiple
		}
	}
	if c.doc.Has("platform.cold_from") {
		if !(section.ColdFrom > 0 && section.ColdFrom <= settings.SlowStartMinFactor) {
			c.addErrorf("platform.cold_from", "%v is not above 0 and at most the platform's %v: a cold worker would be pushed over", section.ColdFrom, settings.SlowStartMinFactor)
		} else {
			settings.SlowStartMinFactor = section.ColdFrom
		}
	}
}

// checkTotal checks what holds over all routes.
func (c *checker) checkTotal(config *admission.Config) {
	section := &c.file.Total
	config.MaxOpen, config.Adaptive, config.MinOpen, config.MaxBuckets = section.MaxConcurrent, section.Adaptive, section.MinConcurrent, section.MaxKeys
	if c.doc.Has("total.concurrent") && section.MaxConcurrent < 1 {
		c.addErrorf("total.concurrent", "%d is less than 1: nothing could be taken; leave the key out for no limit", section.MaxConcurrent)
	}
	if section.MaxConcurrent > c.platform.MaxClientConnections && c.platform.MaxClientConnections > 0 {
		c.addErrorf("total.concurrent", "%d are more than the %d clients' connections that the descriptors leave room for", section.MaxConcurrent, c.platform.MaxClientConnections)
	}
	if c.platform.MemoryBytes > 0 && int64(section.MaxConcurrent) > c.platform.MemoryBytes/openMemoryDivisor/bytesPerOpenRequest {
		c.addErrorf("total.concurrent", "%d open requests take up to %d MB, more than half of the %d MB that there are", section.MaxConcurrent, int64(section.MaxConcurrent)*bytesPerOpenRequest>>20, c.platform.MemoryBytes>>20)
	}
	if section.Adaptive && section.MaxConcurrent == 0 {
		c.addErrorf("total.adaptive", "it lowers total.concurrent, which is missing")
	}
	if !c.doc.Has("total.least") {
		config.MinOpen = min(defaultMinConcurrent, max(section.MaxConcurrent, 1))
	} else if section.MinConcurrent < 1 || section.MaxConcurrent > 0 && section.MinConcurrent > section.MaxConcurrent {
		c.addErrorf("total.least", "%d is not from 1 to total.concurrent", section.MinConcurrent)
	} else if !section.Adaptive {
		c.addErrorf("total.least", "it bounds the adaptive limit, which is off: set total.adaptive = true")
	}
	if !c.doc.Has("total.keys") {
		config.MaxBuckets = defaultMaxKeys
	} else if section.MaxKeys < 1 {
		c.addErrorf("total.keys", "%d is less than 1", section.MaxKeys)
	} else if c.platform.MemoryBytes > 0 && int64(section.MaxKeys)*bytesPerKey > c.platform.MemoryBytes/keysMemoryDivisor {
		c.addErrorf("total.keys", "%d keys take about %d MB, more than an eighth of the %d MB that there are", section.MaxKeys, int64(section.MaxKeys)*bytesPerKey>>20, c.platform.MemoryBytes>>20)
	}
}

// checkPolicies checks each figure by itself, where it stands.
func (c *checker) checkPolicies() {
	c.checkPolicyValues("default", &c.file.Default)
	for i := range c.file.Classes {
		c.checkPolicyValues(fmt.Sprintf("class[%d]", i), &c.file.Classes[i].Policy)
	}
	for i := range c.file.Tenants {
		c.checkPolicyValues(fmt.Sprintf("tenant[%d]", i), &c.file.Tenants[i].Policy)
	}
	for i := range c.file.Routes {
		c.checkPolicyValues(fmt.Sprintf("route[%d]", i), &c.file.Routes[i].Policy)
	}
}

func (c *checker) checkPolicyValues(section string, policy *Policy) {
	has := func(key string) bool { return c.doc.Has(section + "." + key) }
	for _, duration := range []struct {
		key      string
		value    time.Duration
		minValue time.Duration
	}{
		{"timeout", policy.Timeout, time.Millisecond}, {"attempt_timeout", policy.AttemptTimeout, time.Millisecond}, {"hold", policy.QueueTimeout, time.Millisecond},
		{"hedge_after", policy.HedgeDelay, 0}, {"repeat_within", policy.RetryWindow, time.Millisecond}, {"backoff", policy.Backoff, 0},
		{"backoff_most", policy.MaxBackoff, 0}, {"retry_after", policy.RetryAfter, 0},
	} {
		if has(duration.key) && (duration.value < duration.minValue || duration.value > maxDuration) {
			c.addErrorf(section+"."+duration.key, "%v is not from %v to %v", duration.value, duration.minValue, maxDuration)
		}
	}
	checkRange := func(key string, value, minValue, maxValue float64) {
		if has(key) && !(value >= minValue && value <= maxValue) {
			c.addErrorf(section+"."+key, "%v is not from %v to %v", value, minValue, maxValue)
		}
	}
	checkRange("jitter", policy.Jitter, 0, 1)
	checkRange("rate", policy.Rate, 0, 1e9)
	checkRange("burst", float64(policy.Burst), 1, 1e6)
	checkRange("concurrent", float64(policy.MaxConcurrent), 1, 1e6)
	checkRange("queue", float64(policy.MaxQueued), 1, 1e6)
	checkRange("priority", float64(policy.Priority), 0, admission.MaxPriority)
	checkRange("retry_floor", policy.MinRetriesPerSecond, 0, 1e6)
	if has("retry_budget") && !(policy.RetryBudget >= 0 && policy.RetryBudget <= maxRetryBudget) {
		c.addErrorf(section+".retry_budget", "%v is not from 0 to %v: more repeats than that keep a storm alive by themselves", policy.RetryBudget, maxRetryBudget)
	}
	if has("repeat") && !slices.Contains([]string{RetryAllowed, RetryNotRun, RetryAny}, policy.RetryMode) {
		c.addErrorf(section+".repeat", "%q is not one of %s, %s, %s", policy.RetryMode, RetryAllowed, RetryNotRun, RetryAny)
	}
	if has("rate_by") && !slices.Contains([]string{rateByRoute, rateByTenant, rateByKey}, policy.RateScope) {
		c.addErrorf(section+".rate_by", "%q is not one of %s, %s, %s", policy.RateScope, rateByRoute, rateByTenant, rateByKey)
	}
}

// buildRoute checks one route and compiles it.
func (c *checker) buildRoute(i int) routes.Route {
	section, key := &c.file.Routes[i], fmt.Sprintf("route[%d]", i)
	if section.Class != "" && !slices.Contains(c.platform.ClassNames, section.Class) {
		c.addErrorf(key+".class", "no request can go by this route: the platform has no class %q; it has %s", section.Class, joinNames(c.platform.ClassNames))
	}
	if section.Tenant != "" && !slices.Contains(c.platform.TenantNames, section.Tenant) {
		c.addErrorf(key+".tenant", "no request can go by this route: the platform has no tenant %q; it has %s", section.Tenant, joinNames(c.platform.TenantNames))
	}
	if section.Method != "" && section.Method != "POST" {
		c.addErrorf(key+".method", "no request can go by this route: jobs come by POST, not by %q", section.Method)
	}
	if section.Path != "" && !strings.HasPrefix(section.Path, "/") {
		c.addErrorf(key+".path", "no request can go by this route: a path begins with /, and %q does not", section.Path)
	}
	classIDs := c.reachableClasses(section)
	if section.Path != "" && strings.HasPrefix(section.Path, "/") && len(classIDs) == 0 && (section.Class == "" || slices.Contains(c.platform.ClassNames, section.Class)) {
		c.addErrorf(key+".path", "no request can go by this route: a path begins with the request's class, and %q with none that the route matches", section.Path)
	}
	layers := []policyLayer{c.defaultLayer()}
	if len(classIDs) == 1 {
		layers = append(layers, c.classLayer(c.platform.ClassNames[classIDs[0]]))
	}
	if section.Tenant != "" {
		layers = append(layers, c.tenantLayer(section.Tenant))
	}
	layers = append(layers, policyLayer{key, "route " + section.Name, &section.Policy})
	policy := c.overlay(layers...)
	c.checkPolicy(policy, classIDs, "route "+section.Name)
	match := routes.Match{Class: section.Class, Path: section.Path, Tenant: section.Tenant, Method: section.Method}
	compiled := c.compileRoute(section.Name, match, policy, classIDs)
	if section.Fallback != "" {
		compiled.Fallback = slices.IndexFunc(c.file.Routes, func(other routeSection) bool { return other.Name == section.Fallback })
		if compiled.Fallback < 0 {
			c.addErrorf(key+".fallback", "there is no route %q", section.Fallback)
		} else if compiled.Fallback == i {
			c.addErrorf(key+".fallback", "a route cannot fall back on itself")
		}
	}
	for _, classID := range classIDs {
		c.config.Explanation = append(c.config.Explanation, policy.explain("route "+section.Name+", "+c.platform.ClassNames[classID], &c.platform, &c.platform.Settings.Classes[classID])...)
	}
	return compiled
}

// reachableClasses are the classes that a route can get requests of: the first part of a path is the class.
func (c *checker) reachableClasses(section *routeSection) (classIDs []int) {
	for classID, name := range c.platform.ClassNames {
		if section.Class != "" && section.Class != name {
			continue
		}
		prefix := "/" + name
		inClass := section.Path == prefix || strings.HasPrefix(section.Path, prefix+"/") || strings.HasPrefix(section.Path, prefix+"?")
		if section.Path == "" || inClass || strings.HasPrefix(prefix, section.Path) {
			classIDs = append(classIDs, classID)
		}
	}
	return classIDs
}

// checkPolicy checks figures in force against the rules of the classes that they hold for. who is named in the message.
func (c *checker) checkPolicy(policy *effectivePolicy, classIDs []int, subject string) {
	settings := &c.platform.Settings
	connectTimeout := time.Duration(settings.ConnectTimeout) * time.Microsecond
	for _, key := range []string{"timeout", "attempt_timeout"} {
		timeout := policy.Timeout
		if key == "attempt_timeout" {
			timeout = policy.AttemptTimeout
		}
		if policy.isSet(key) && timeout > 0 && timeout <= connectTimeout {
			c.addErrorOncef(policy.keyPath(key), "%v is no longer than a connection to a worker may take, %v", timeout, connectTimeout)
		}
	}
	if policy.isSet("timeout") && policy.isSet("attempt_timeout") && policy.AttemptTimeout > policy.Timeout {
		c.addErrorOncef(policy.keyPath("attempt_timeout"), "%v is longer than the whole may take, %v", policy.AttemptTimeout, policy.Timeout)
	}
	if policy.isSet("hold") && policy.isSet("timeout") && policy.QueueTimeout > policy.Timeout {
		c.addErrorOncef(policy.keyPath("hold"), "%v is longer than the whole may take, %v", policy.QueueTimeout, policy.Timeout)
	}
	if policy.isSet("attempts") && (policy.MaxAttempts < 1 || policy.MaxAttempts > settings.MaxAttempts) {
		c.addErrorOncef(policy.keyPath("attempts"), "%d is not from 1 to the platform's %d", policy.MaxAttempts, settings.MaxAttempts)
	}
	if policy.isSet("hedge_after") && policy.isSet("second_copies") && !policy.Hedging {
		c.addErrorOncef(policy.keyPath("hedge_after"), "a delay for second copies, which are off")
	}
	if policy.Hedging && !settings.CanHedge {
		c.addErrorOncef(policy.keyPath("second_copies"), "the platform allows no second copies")
	}
	if policy.isSet("backoff_most") && (!policy.isSet("backoff") || policy.MaxBackoff < policy.Backoff) {
		c.addErrorOncef(policy.keyPath("backoff_most"), "%v is less than backoff, %v", policy.MaxBackoff, policy.Backoff)
	}
	if policy.isSet("jitter") && !policy.isSet("backoff") {
		c.addErrorOncef(policy.keyPath("jitter"), "it spreads backoff, which is missing")
	}
	if policy.isSet("queue") && policy.isSet("concurrent") && policy.MaxQueued > policy.MaxConcurrent {
		c.addErrorOncef(policy.keyPath("queue"), "%d are more than concurrent, %d: those that wait are open too", policy.MaxQueued, policy.MaxConcurrent)
	}
	if policy.isSet("burst") && !policy.isSet("rate") {
		c.addErrorOncef(policy.keyPath("burst"), "it goes with rate, which is missing")
	}
	if policy.isSet("rate_by") && !policy.isSet("rate") {
		c.addErrorOncef(policy.keyPath("rate_by"), "it goes with rate, which is missing")
	}
	if policy.isSet("retry_floor") && !policy.isSet("retry_budget") {
		c.addErrorOncef(policy.keyPath("retry_floor"), "it goes with retry_budget, which is missing")
	}
	if policy.isSet("retry_floor") && policy.isSet("rate") && policy.MinRetriesPerSecond > policy.Rate {
		c.addErrorOncef(policy.keyPath("retry_floor"), "%v repeats a second are more than the rate of all, %v: a storm would take the whole rate", policy.MinRetriesPerSecond, policy.Rate)
	}
	if policy.RetryAfter > 0 && (!settings.RetryAfter || policy.RetryAfter > time.Duration(settings.MaxRetryAfter)*time.Microsecond) {
		c.addErrorOncef(policy.keyPath("retry_after"), "%v is more than the platform lets clients be told, %v", policy.RetryAfter, formatMicros(settings.MaxRetryAfter))
	}
	if attempts := max(policy.MaxAttempts, 1); policy.isSet("attempts") && policy.isSet("retry_budget") && float64(attempts)*(1+policy.RetryBudget) > float64(settings.MaxAttempts) {
		c.addErrorOncef(policy.keyPath("retry_budget"), "%d attempts for each request and %v repeats of it by its client come to %.1f, over the platform's %d: a storm would multiply", attempts, policy.RetryBudget, float64(attempts)*(1+policy.RetryBudget), settings.MaxAttempts)
	}
	for _, classID := range classIDs {
		c.checkPolicyForClass(policy, classID, subject)
	}
}

// checkPolicyForClass checks figures against one class.
func (c *checker) checkPolicyForClass(policy *effectivePolicy, classID int, subject string) {
	class, name := &c.platform.Settings.Classes[classID], c.platform.ClassNames[classID]
	deadline := time.Duration(class.Deadline) * time.Microsecond
	if policy.Timeout > deadline {
		c.addErrorOncef(policy.keyPath("timeout"), "%v is longer than clients of %s wait, %v", policy.Timeout, name, deadline)
	}
	if policy.AttemptTimeout > deadline {
		c.addErrorOncef(policy.keyPath("attempt_timeout"), "%v is longer than clients of %s wait, %v", policy.AttemptTimeout, name, deadline)
	}
	if policy.QueueTimeout > deadline {
		c.addErrorOncef(policy.keyPath("hold"), "%v is longer than clients of %s wait, %v", policy.QueueTimeout, name, deadline)
	}
	if policy.Hedging && class.Idempotency != dispatch.Idempotent {
		c.addErrorOncef(policy.keyPath("second_copies"), "%s, which goes by %s, %s: it gets no second copies; name the class in the route, or leave the key to routes of safe classes", name, subject, describeEffect(class.Idempotency))
	}
	if policy.isSet("hedge_after") && class.Idempotency != dispatch.Idempotent && !(policy.isSet("second_copies") && !policy.Hedging) {
		c.addErrorOncef(policy.keyPath("hedge_after"), "%s, which goes by %s, %s: it gets no second copies, so there is nothing to delay", name, subject, describeEffect(class.Idempotency))
	}
	if policy.RetryMode == RetryAny && class.Idempotency != dispatch.Idempotent {
		c.addErrorOncef(policy.keyPath("repeat"), "%s, which goes by %s, %s: what may have run is not sent again; write %q or %q", name, subject, describeEffect(class.Idempotency), RetryAllowed, RetryNotRun)
	}
	if policy.isSet("repeat_within") && class.Idempotency != dispatch.Deduplicated && len(policy.origins) > 0 {
		c.addErrorOncef(policy.keyPath("repeat_within"), "%s, which goes by %s, is not keyed: there is no window of repeats", name, subject)
	}
	if window := time.Duration(class.DedupWindow) * time.Microsecond; class.Idempotency == dispatch.Deduplicated && policy.RetryWindow > window {
		c.addErrorOncef(policy.keyPath("repeat_within"), "%v is past the window of %s, %v, in which workers drop repeats", policy.RetryWindow, name, window)
	}
}

// addErrorOncef notes a fault of a key unless it has been noted in the same words.
func (c *checker) addErrorOncef(key, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	for _, known := range c.doc.Errors() {
		if known.Key == key && known.Reason == reason {
			return
		}
	}
	c.addErrorf(key, "%s", reason)
}

// compileRoute turns figures in force into a route.
func (c *checker) compileRoute(name string, match routes.Match, policy *effectivePolicy, classIDs []int) routes.Route {
	route := routes.Route{Name: name, Match: match, Fallback: -1}
	route.Limits = dispatch.RouteLimits{
		Timeout: routes.ToTime(policy.Timeout), AttemptTimeout: routes.ToTime(policy.AttemptTimeout), MaxQueueTime: routes.ToTime(policy.QueueTimeout), MaxAttempts: policy.MaxAttempts,
		NoHedging: policy.isSet("second_copies") && !policy.Hedging, HedgeDelay: routes.ToTime(policy.HedgeDelay), RetryNotRunOnly: policy.RetryMode == RetryNotRun,
		DedupWindow: routes.ToTime(policy.RetryWindow), RetryBackoff: routes.ToTime(policy.Backoff), MaxRetryBackoff: routes.ToTime(policy.MaxBackoff), BackoffJitter: policy.Jitter,
	}
	route.Admission = admission.RouteConfig{
		Name: name, RateLimited: policy.isSet("rate"), Rate: policy.Rate, Burst: max(policy.Burst, 1), MaxConcurrent: policy.MaxConcurrent, MaxQueued: policy.MaxQueued, RetryBudgeted: policy.isSet("retry_budget"),
		RetryBudget: policy.RetryBudget, MinRetriesPerSecond: policy.MinRetriesPerSecond, Priority: policy.Priority, RetryAfter: policy.RetryAfter,
	}
	if !policy.isSet("priority") {
		route.Admission.Priority = admission.MaxPriority
	}
	route.Admission.RateScope = map[string]admission.RateScope{rateByTenant: admission.PerTenant, rateByKey: admission.PerKey}[policy.RateScope]
	return route
}

// checkFallbacks checks what routes allow together with those that they fall back on.
func (c *checker) checkFallbacks(table *routes.Table) {
	maxAttempts := c.platform.Settings.MaxAttempts
	for i := range c.file.Routes {
		chain := table.Chain(i)
		if len(chain) == 1 {
			continue
		}
		key := fmt.Sprintf("route[%d].fallback", i)
		if last := table.Route(chain[len(chain)-1]); last.Fallback >= 0 {
			c.addErrorf(key, "the fallbacks go in a circle, or there are too many one after the other")
			continue
		}
		if attempts := table.RouteLimits(i, maxAttempts).MaxAttempts; attempts > maxAttempts {
			c.addErrorf(key, "%s and its fallbacks allow %d attempts together, more than the platform's %d", table.Route(i).Name, attempts, maxAttempts)
		}
		for _, fallback := range chain[1:] {
			for _, classID := range c.reachableClasses(&c.file.Routes[i]) {
				if !slices.Contains(c.reachableClasses(&c.file.Routes[fallback]), classID) {
					c.addErrorf(key, "requests of %s would go on by %q, which does not match them", c.platform.ClassNames[classID], table.Route(fallback).Name)
				}
			}
		}
	}
}

// checkConcurrency checks what the limits add up to.
func (c *checker) checkConcurrency(config *OperatorConfig) {
	if config.Admission.MaxOpen > 0 {
		for i := range c.file.Routes {
			if concurrent := config.Routes.Route(i).Admission.MaxConcurrent; concurrent > config.Admission.MaxOpen {
				c.addErrorf(fmt.Sprintf("route[%d].concurrent", i), "%d are more than total.concurrent, %d", concurrent, config.Admission.MaxOpen)
			}
		}
		return
	}
	sum := 0
	for i := range config.Routes.Len() {
		sum += config.Routes.Route(i).Admission.MaxConcurrent
	}
	if sum > c.platform.MaxClientConnections && c.platform.MaxClientConnections > 0 {
		c.addErrorf("route", "the routes' concurrent figures add up to %d, more than the %d clients' connections that the descriptors leave room for: lower them, or set total.concurrent", sum, c.platform.MaxClientConnections)
	}
}
