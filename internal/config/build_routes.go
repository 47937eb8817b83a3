package config

import (
	"errors"
	"net/http"
	"slices"
	"strings"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
)

// noFallback is the Fallback of a route without one.
const noFallback = -1

// buildRoutes checks and builds the routes of the file, in order.
func (c *checker) buildRoutes() []routes.Route {
	built := make([]routes.Route, len(c.file.Routes))
	for i := range c.file.Routes {
		built[i] = c.buildRoute(i)
	}
	return built
}

// buildRoute checks and builds one route of the file.
func (c *checker) buildRoute(i int) routes.Route {
	section := &c.file.Routes[i]
	key := sectionKey("route", i)
	classIDs := c.reachableClasses(section)
	c.checkMatch(section, key, len(classIDs) > 0)
	policy := c.overlay(c.routeLayers(i, classIDs)...)
	c.checkPolicy(policy, classIDs, "route "+section.Name)
	match := routes.Match{Class: section.Class, Path: section.Path, Tenant: section.Tenant, Method: section.Method}
	route := newRoute(section.Name, match, policy)
	if section.Fallback != "" {
		route.Fallback = c.findFallback(i)
	}
	for _, classID := range classIDs {
		c.explainPolicy("route "+section.Name+", "+c.platform.ClassNames[classID], policy, classID)
	}
	return route
}

// checkMatch adds an error for each reason why no request can match a route. reachable reports whether the route matches
// any class.
func (c *checker) checkMatch(section *routeSection, key string, reachable bool) {
	classKnown := section.Class == "" || slices.Contains(c.platform.ClassNames, section.Class)
	if !classKnown {
		c.addErrorf(key+".class", "no request can match this route: unknown class %q; the platform has %s", section.Class, joinNames(c.platform.ClassNames))
	}
	if section.Tenant != "" && !slices.Contains(c.platform.TenantNames, section.Tenant) {
		c.addErrorf(key+".tenant", "no request can match this route: unknown tenant %q; the platform has %s", section.Tenant, joinNames(c.platform.TenantNames))
	}
	if section.Method != "" && section.Method != http.MethodPost {
		c.addErrorf(key+".method", "no request can match this route: requests have the method POST, not %q", section.Method)
	}
	switch {
	case section.Path == "":
	case !strings.HasPrefix(section.Path, "/"):
		c.addErrorf(key+".path", "no request can match this route: paths begin with /, and %q does not", section.Path)
	case !reachable && classKnown:
		c.addErrorf(key+".path", "no request can match this route: paths begin with the request's class, and %q begins with no class that the route matches", section.Path)
	}
}

// reachableClasses returns the ids of the classes whose requests a route can match: the first element of a path is the
// class.
func (c *checker) reachableClasses(section *routeSection) []int {
	var classIDs []int
	for classID, name := range c.platform.ClassNames {
		classMatches := section.Class == "" || section.Class == name
		if classMatches && pathReaches(section.Path, name) {
			classIDs = append(classIDs, classID)
		}
	}
	return classIDs
}

// pathReaches reports whether a path prefix matches any request of a class.
func pathReaches(prefix, className string) bool {
	classPath := "/" + className
	insideClass := prefix == classPath || strings.HasPrefix(prefix, classPath+"/") || strings.HasPrefix(prefix, classPath+"?")
	return insideClass || strings.HasPrefix(classPath, prefix)
}

// routeLayers returns the layers of a route of the file. The layer of a class is included only if the route matches
// no other class.
func (c *checker) routeLayers(i int, classIDs []int) []policyLayer {
	section := &c.file.Routes[i]
	layers := []policyLayer{c.defaultLayer()}
	if len(classIDs) == 1 {
		layers = c.baseLayers(c.platform.ClassNames[classIDs[0]])
	}
	if section.Tenant != "" {
		layers = append(layers, c.tenantLayers(section.Tenant)...)
	}
	return append(layers, policyLayer{sectionKey("route", i), "route " + section.Name, &section.Policy})
}

// findFallback returns the index of a route's fallback, and adds an error if it does not exist or is the route itself.
func (c *checker) findFallback(i int) int {
	name := c.file.Routes[i].Fallback
	key := sectionKey("route", i) + ".fallback"
	fallback := slices.IndexFunc(c.file.Routes, func(other routeSection) bool { return other.Name == name })
	switch fallback {
	case -1:
		c.addErrorf(key, "unknown route %q", name)
	case i:
		c.addErrorf(key, "a route cannot fall back to itself")
	}
	return fallback
}

// buildClassPolicies returns the policy in force, by class, for requests that no route of the file matches.
func (c *checker) buildClassPolicies() []*effectivePolicy {
	policies := make([]*effectivePolicy, 0, len(c.platform.ClassNames))
	for classID, name := range c.platform.ClassNames {
		policy := c.overlay(c.baseLayers(name)...)
		c.checkPolicy(policy, []int{classID}, defaultRouteName)
		c.explainPolicy(name+" on no route", policy, classID)
		policies = append(policies, policy)
	}
	return policies
}

func (c *checker) explainPolicy(title string, policy *effectivePolicy, classID int) {
	class := &c.platform.Settings.Classes[classID]
	c.config.Explanation = append(c.config.Explanation, policy.explain(title, &c.platform, class)...)
}

// buildTable builds the table of all routes. Requests that no route of the file matches take a route made for their
// class, or for their class and tenant, so that the sections of classes and tenants apply to them. It returns nil if
// routes are in conflict.
func (c *checker) buildTable(list []routes.Route, classPolicies []*effectivePolicy) *routes.Table {
	for classID, policy := range classPolicies {
		if policy.isDefault() {
			continue
		}
		name := c.platform.ClassNames[classID]
		list = appendUnlessMatched(list, newRoute("class "+name, routes.Match{Class: name}, policy))
	}
	for i := range c.file.Tenants {
		if c.setsPolicy(sectionKey("tenant", i)) {
			list = c.appendTenantRoutes(list, i)
		}
	}
	table, err := routes.New(list, routes.Route{Name: defaultRouteName})
	var conflictErr *routes.ConflictError
	if errors.As(err, &conflictErr) {
		c.addConflicts(list, conflictErr.Conflicts)
		return nil
	}
	return table
}

// appendTenantRoutes adds a route for each class of a tenant that has a section.
func (c *checker) appendTenantRoutes(list []routes.Route, i int) []routes.Route {
	tenant := c.file.Tenants[i].Name
	for classID, className := range c.platform.ClassNames {
		policy := c.overlay(append(c.baseLayers(className), c.tenantLayer(i))...)
		c.checkPolicy(policy, []int{classID}, "tenant "+tenant)
		match := routes.Match{Class: className, Tenant: tenant}
		list = appendUnlessMatched(list, newRoute("class "+className+", tenant "+tenant, match, policy))
	}
	return list
}

// appendUnlessMatched adds a route unless there is one with the same match.
func appendUnlessMatched(list []routes.Route, route routes.Route) []routes.Route {
	if slices.ContainsFunc(list, func(other routes.Route) bool { return other.Match == route.Match }) {
		return list
	}
	return append(list, route)
}

// setsPolicy reports whether a section sets any value of a policy.
func (c *checker) setsPolicy(section string) bool {
	return slices.ContainsFunc(policyKeys, func(key string) bool { return c.doc.Has(section + "." + key) })
}

// addConflicts adds an error for each conflict that a route of the file is part of.
func (c *checker) addConflicts(list []routes.Route, conflicts []routes.Conflict) {
	inFile := len(c.file.Routes)
	for _, conflict := range conflicts {
		switch {
		case conflict.B < inFile:
			c.addErrorf(sectionKey("route", conflict.B), "a request could match both this route and %q, and neither is more specific: add a condition of one to the other, or add a route for the requests that match both", list[conflict.A].Name)
		case conflict.A < inFile:
			c.addErrorf(sectionKey("route", conflict.A), "a request could match both this route and the limits of %s, and neither is more specific: name the class and the tenant in the route", list[conflict.B].Name)
		}
	}
}

// newRoute creates a route with the limits and the admission of a policy.
func newRoute(name string, match routes.Match, policy *effectivePolicy) routes.Route {
	return routes.Route{Name: name, Match: match, Fallback: noFallback, Limits: routeLimits(policy), Admission: routeAdmission(name, policy)}
}

func routeLimits(policy *effectivePolicy) dispatch.RouteLimits {
	return dispatch.RouteLimits{
		Timeout:         routes.ToTime(policy.Timeout),
		AttemptTimeout:  routes.ToTime(policy.AttemptTimeout),
		MaxQueueTime:    routes.ToTime(policy.MaxQueueTime),
		MaxAttempts:     policy.MaxAttempts,
		NoHedging:       policy.hedgingOff(),
		HedgeDelay:      routes.ToTime(policy.HedgeDelay),
		RetryNotRunOnly: policy.RetryMode == RetryNotRun,
		DedupWindow:     routes.ToTime(policy.DedupWindow),
		RetryBackoff:    routes.ToTime(policy.RetryBackoff),
		MaxRetryBackoff: routes.ToTime(policy.MaxRetryBackoff),
		BackoffJitter:   policy.BackoffJitter,
	}
}

func routeAdmission(name string, policy *effectivePolicy) admission.RouteConfig {
	config := admission.RouteConfig{
		Name:                name,
		RateLimited:         policy.isSet(keyRate),
		Rate:                policy.Rate,
		Burst:               max(policy.Burst, 1),
		RateScope:           admission.PerRoute,
		MaxConcurrent:       policy.MaxConcurrent,
		MaxQueued:           policy.MaxQueued,
		RetryBudgeted:       policy.isSet(keyRetryBudget),
		RetryBudget:         policy.RetryBudget,
		MinRetriesPerSecond: policy.MinRetriesPerSecond,
		Priority:            policy.Priority,
		RetryAfter:          policy.RetryAfter,
	}
	if !policy.isSet(keyPriority) {
		config.Priority = admission.MaxPriority
	}
	switch policy.RateScope {
	case rateByTenant:
		config.RateScope = admission.PerTenant
	case rateByKey:
		config.RateScope = admission.PerKey
	case rateByRoute:
	}
	return config
}
