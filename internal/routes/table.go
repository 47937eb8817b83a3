// Package routes finds the operator's route that a request takes, and what that route allows. It contains plain values:
// no I/O, no clock, no lock. A Table is immutable, and so safe for concurrent use.
package routes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
)

// maxChainLength limits a route and its fallbacks.
const maxChainLength = 4

// noFallback is the Fallback of a route without one.
const noFallback = -1

// Route is one of the operator's routes.
type Route struct {
	Name      string
	Match     Match
	Limits    dispatch.RouteLimits
	Admission admission.RouteConfig
	Fallback  int // the route that a request takes next if this one has no capacity or no attempts left; -1: none
}

// Table finds routes. Its last route is the default route, for requests that no other one matches.
type Table struct{ routes []Route }

// Conflict is a pair of routes, by index, that can match the same request while neither is more specific.
type Conflict struct{ A, B int }

// ConflictError is the error of New. It contains all conflicts between routes.
type ConflictError struct{ Conflicts []Conflict }

// Error names the conflicts, one per line.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.Conflicts))
	for _, conflict := range e.Conflicts {
		lines = append(lines, fmt.Sprintf("routes %d and %d clash", conflict.A, conflict.B))
	}
	return strings.Join(lines, "\n")
}

// New returns a table of the given routes in order, followed by the default route. Two routes that overlap are in
// conflict unless one is more specific than the other, or a third one matches exactly what they have in common. If
// there are conflicts the error is a *ConflictError.
func New(list []Route, defaultRoute Route) (*Table, error) {
	if conflicts := findConflicts(list); len(conflicts) > 0 {
		return nil, &ConflictError{conflicts}
	}
	defaultRoute.Match = Match{}
	defaultRoute.Fallback = noFallback
	return &Table{append(slices.Clone(list), defaultRoute)}, nil
}

func findConflicts(list []Route) []Conflict {
	var conflicts []Conflict
	for i := range list {
		for j := range list[:i] {
			if inConflict(list, &list[j].Match, &list[i].Match) {
				conflicts = append(conflicts, Conflict{j, i})
			}
		}
	}
	return conflicts
}

func inConflict(list []Route, a, b *Match) bool {
	if *a == *b {
		return true
	}
	if !a.overlaps(b) || a.isSubsetOf(b) || b.isSubsetOf(a) {
		return false
	}
	common := a.intersection(b)
	return !slices.ContainsFunc(list, func(r Route) bool { return r.Match == common })
}

// Len returns the number of routes, including the default route.
func (t *Table) Len() int { return len(t.routes) }

// Route returns a route by its index.
func (t *Table) Route(i int) *Route { return &t.routes[i] }

// Find returns the index of the most specific route that matches.
func (t *Table) Find(request *Request) int {
	best := len(t.routes) - 1
	for i := range t.routes[:best] {
		match := &t.routes[i].Match
		if match.matches(request) && match.isSubsetOf(&t.routes[best].Match) {
			best = i
		}
	}
	return best
}

// AdmissionConfigs returns the admission limits of the routes, in order.
func (t *Table) AdmissionConfigs() []admission.RouteConfig {
	configs := make([]admission.RouteConfig, len(t.routes))
	for i := range t.routes {
		configs[i] = t.routes[i].Admission
	}
	return configs
}

// Chain returns the indexes of a route and its fallbacks, in the order in which a request takes them. It ends before a
// fallback that is already in it, or after maxChainLength routes.
func (t *Table) Chain(i int) []int {
	chain := []int{i}
	for len(chain) < maxChainLength {
		next := t.routes[chain[len(chain)-1]].Fallback
		if next < 0 || slices.Contains(chain, next) {
			break
		}
		chain = append(chain, next)
	}
	return chain
}

// RouteLimits returns the limits of a request that starts on a route: the route's own limits, with the attempts of its
// fallbacks added. maxAttempts is what the platform allows for one route.
func (t *Table) RouteLimits(i, maxAttempts int) dispatch.RouteLimits {
	combined := t.routes[i].Limits
	for _, fallback := range t.Chain(i)[1:] {
		added := &t.routes[fallback].Limits
		combined.MaxAttempts = attemptsOf(&combined, maxAttempts) + attemptsOf(added, maxAttempts)
		combined.AttemptTimeout = longerTimeout(combined.AttemptTimeout, added.AttemptTimeout)
		combined.NoHedging = combined.NoHedging || added.NoHedging
		combined.RetryNotRunOnly = combined.RetryNotRunOnly || added.RetryNotRunOnly
	}
	return combined
}

// attemptsOf returns a route's number of attempts; 0 means what the platform allows.
func attemptsOf(limits *dispatch.RouteLimits, maxAttempts int) int {
	if limits.MaxAttempts > 0 {
		return min(limits.MaxAttempts, maxAttempts)
	}
	return maxAttempts
}

// longerTimeout returns the longer of two timeouts; 0 is no timeout.
func longerTimeout(a, b dispatch.Time) dispatch.Time {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// ToTime converts a duration to the unit of the dispatch module, rounded towards 0.
func ToTime(d time.Duration) dispatch.Time { return dispatch.Time(d.Microseconds()) }
