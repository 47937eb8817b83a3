// Package routes finds the operators' route for a request and returns the limits of that route. It does no I/O, reads no
// clock and takes no lock. A Table is immutable, and therefore safe for concurrent use.
package routes

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
)

// maxChainLength is the maximum number of routes in a chain: a route and its fallbacks.
const maxChainLength = 4

// noFallback is the value of Route.Fallback for a route without a fallback.
const noFallback = -1

// Route is one of the operators' routes.
type Route struct {
	Name      string
	Match     Match
	Limits    dispatch.RouteLimits
	Admission admission.RouteConfig
	Fallback  int // index of the route that is tried next if this one has no capacity or no attempts left; -1: none
}

// Table finds the routes of requests. Its last route is the default route, for requests that match no other route.
type Table struct{ routes []Route }

// Conflict is a pair of route indexes. Both routes match some request, and neither of the two is more specific.
type Conflict struct{ A, B int }

// ConflictError is the error that New returns. It contains all conflicts between routes.
type ConflictError struct{ Conflicts []Conflict }

// Error returns the conflicts, one per line.
func (e *ConflictError) Error() string {
	lines := make([]string, 0, len(e.Conflicts))
	for _, conflict := range e.Conflicts {
		lines = append(lines, fmt.Sprintf("routes %d and %d clash", conflict.A, conflict.B))
	}
	return strings.Join(lines, "\n")
}

// New returns a table of the given routes in order, followed by the default route. Two routes that overlap are in
// conflict unless one is more specific than the other, or another route matches exactly the requests that both match. If
// there are conflicts, the error is a *ConflictError.
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

// Find returns the index of the most specific route that matches a request.
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

// Chain returns the indexes of a route and its fallbacks, in the order in which they are tried. It ends before a fallback
// that it already contains, or after maxChainLength routes.
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

// RouteLimits returns the limits of a request that starts on the given route: the limits of the route, combined with
// those of its fallbacks. Attempts are added up, where the sum so far counts as at most maxAttempts, the platform's
// maximum for one route. The longest attempt timeout applies, and so do all restrictions on hedging and retries.
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

// attemptsOf returns the maximum number of attempts on a route. If the route sets none, it is the platform's maximum.
func attemptsOf(limits *dispatch.RouteLimits, maxAttempts int) int {
	if limits.MaxAttempts > 0 {
		return min(limits.MaxAttempts, maxAttempts)
	}
	return maxAttempts
}

// longerTimeout returns the longer of two timeouts; 0 means no timeout.
func longerTimeout(a, b dispatch.Time) dispatch.Time {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// ToTime converts a duration to the decision module's unit of time, rounded towards 0.
func ToTime(d time.Duration) dispatch.Time { return dispatch.Time(d.Microseconds()) }
