package config

import (
	"fmt"
	"slices"
	"strings"

	"birchfork/internal/admission"
	"birchfork/internal/routes"
	"birchfork/internal/tomlfile"
)

const (
	// defaultRouteName is the name of the route for requests that no other route matches.
	defaultRouteName = "rest"

	// maxRoutes limits the routes of a file.
	maxRoutes = 256

	// maxWeight limits a tenant's weight.
	maxWeight = 1e6
)

// checker checks a file and builds the configuration that it describes. Errors are added to doc.
type checker struct {
	doc      *tomlfile.Document
	file     *operatorFile
	platform Platform
	config   *OperatorConfig
}

// addErrorf adds an error for a key, given by its full path.
func (c *checker) addErrorf(key, format string, args ...any) { c.doc.AddErrorf(key, format, args...) }

// addErrorOncef adds an error for a key unless the same error has been added before: a section is checked once for each
// class and route to which it applies.
func (c *checker) addErrorOncef(key, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	for _, known := range c.doc.Errors() {
		if known.Key == key && known.Reason == reason {
			return
		}
	}
	c.addErrorf(key, "%s", reason)
}

// build checks the file and builds the configuration. The result is complete only if no error was added.
func (c *checker) build() *OperatorConfig {
	config := &OperatorConfig{Settings: c.platform.Settings}
	c.config = config
	c.checkNames()
	c.applyPlatform(&config.Settings)
	c.applyTotal(&config.Admission)
	c.checkPolicies()
	config.Group = c.buildGroup()
	if n := len(c.file.Routes); n > maxRoutes {
		c.addErrorf("route", "too many routes: got %d, at most %d are allowed", n, maxRoutes)
		return config
	}
	operatorRoutes := c.buildRoutes()
	classPolicies := c.buildClassPolicies()
	table := c.buildTable(operatorRoutes, classPolicies)
	if table == nil {
		return config
	}
	c.checkFallbacks(table)
	config.Routes = table
	config.Admission.Routes = table.AdmissionConfigs()
	config.Admission.Tenants = c.tenantConfigs()
	c.checkConcurrency()
	return config
}

// tenantConfigs returns all tenants of the platform with their weights in the file, 1 by default.
func (c *checker) tenantConfigs() []admission.TenantConfig {
	configs := make([]admission.TenantConfig, 0, len(c.platform.TenantNames))
	for _, name := range c.platform.TenantNames {
		config := admission.TenantConfig{Name: name, Weight: 1}
		for _, section := range c.file.Tenants {
			if section.Name == name && section.Weight > 0 {
				config.Weight = section.Weight
			}
		}
		configs = append(configs, config)
	}
	return configs
}

// checkNames checks that the platform has each class and tenant of the file, and that names are unique.
func (c *checker) checkNames() {
	classes := nameChecker{checker: c, section: "class", restricted: true, known: c.platform.ClassNames}
	for i, section := range c.file.Classes {
		classes.check(i, section.Name)
	}
	tenants := nameChecker{checker: c, section: "tenant", restricted: true, known: c.platform.TenantNames}
	for i, section := range c.file.Tenants {
		tenants.check(i, section.Name)
		weightKey := sectionKey("tenant", i) + ".weight"
		validWeight := section.Weight > 0 && section.Weight <= maxWeight
		if c.doc.Has(weightKey) && !validWeight {
			c.addErrorf(weightKey, "invalid value %v: must be greater than 0 and at most %v", section.Weight, maxWeight)
		}
	}
	routeNames := nameChecker{checker: c, section: "route"}
	for i, section := range c.file.Routes {
		routeNames.check(i, section.Name)
		if section.Name == defaultRouteName {
			c.addErrorf(sectionKey("route", i)+".name", "reserved name %q: it is the route of requests that match no other route", defaultRouteName)
		}
	}
}

// nameChecker checks the names of the sections of one array.
type nameChecker struct {
	*checker
	section    string
	restricted bool // only known names are allowed
	known      []string
	used       []string
}

func (n *nameChecker) check(i int, name string) {
	key := sectionKey(n.section, i) + ".name"
	switch {
	case name == "":
		n.addErrorf(key, "missing name")
	case slices.Contains(n.used, name):
		n.addErrorf(key, "duplicate name %q", name)
	case n.restricted && !slices.Contains(n.known, name):
		n.addErrorf(key, "unknown %s %q; the platform has %s", n.section, name, joinNames(n.known))
	}
	n.used = append(n.used, name)
}

// joinNames lists names for an error.
func joinNames(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// checkFallbacks checks the limits of routes together with their fallbacks.
func (c *checker) checkFallbacks(table *routes.Table) {
	for i := range c.file.Routes {
		if chain := table.Chain(i); len(chain) > 1 {
			c.checkChain(table, chain)
		}
	}
}

// checkChain checks a route, the first of the chain, with its fallbacks.
func (c *checker) checkChain(table *routes.Table, chain []int) {
	first, last := chain[0], chain[len(chain)-1]
	key := sectionKey("route", first) + ".fallback"
	if table.Route(last).Fallback >= 0 {
		c.addErrorf(key, "the fallbacks form a cycle, or the chain of fallbacks is too long")
		return
	}
	maxAttempts := c.platform.Settings.MaxAttempts
	if attempts := table.RouteLimits(first, maxAttempts).MaxAttempts; attempts > maxAttempts {
		c.addErrorf(key, "%s and its fallbacks allow %d attempts together, more than the platform's limit of %d", table.Route(first).Name, attempts, maxAttempts)
	}
	for _, fallback := range chain[1:] {
		reachable := c.reachableClasses(&c.file.Routes[fallback])
		for _, classID := range c.reachableClasses(&c.file.Routes[first]) {
			if !slices.Contains(reachable, classID) {
				c.addErrorf(key, "requests of class %s would fall back to %q, which does not match them", c.platform.ClassNames[classID], table.Route(fallback).Name)
			}
		}
	}
}

// checkConcurrency checks the routes' limits on open requests against the total or, without a total, their sum against
// the available connections.
func (c *checker) checkConcurrency() {
	table, total := c.config.Routes, c.config.Admission.MaxOpen
	if total > 0 {
		for i := range c.file.Routes {
			if limit := table.Route(i).Admission.MaxConcurrent; limit > total {
				c.addErrorf(sectionKey("route", i)+".concurrent", "invalid value %d: must be at most total.concurrent, %d", limit, total)
			}
		}
		return
	}
	sum := 0
	for i := range table.Len() {
		sum += table.Route(i).Admission.MaxConcurrent
	}
	if connections := c.platform.MaxClientConnections; connections > 0 && sum > connections {
		c.addErrorf("route", "the concurrent limits of the routes add up to %d, more than the %d client connections that the file descriptor budget allows: lower them, or set total.concurrent", sum, connections)
	}
}
