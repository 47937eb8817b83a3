// Package routes says which of the operator's routes a request goes by, and what that route allows. It is plain values:
// no I/O, no clock, no lock; a Table is not changed once it is made.
package routes

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
)

// Match is what a route asks of a request. Empty fields match anything.
type Match struct {
	Class, Path, Tenant, Method string // Path is a prefix
}

// Request is what a route is found by.
type Request struct {
	Class, Path, Tenant, Method string
}

// Route is one of the operator's routes.
type Route struct {
	Name      string
	Match     Match
	Limits    dispatch.RouteLimits
	Admission admission.RouteConfig
	Fallback  int // where a request goes on that finds no room here, or has used up its attempts; -1: nowhere
}

// matches tells whether a request is one of the route's.
func (m *Match) matches(request *Request) bool {
	return (m.Class == "" || m.Class == request.Class) && (m.Tenant == "" || m.Tenant == request.Tenant) &&
		(m.Method == "" || m.Method == request.Method) && strings.HasPrefix(request.Path, m.Path)
}

// isSubsetOf tells whether all that m matches is matched by o too.
func (m *Match) isSubsetOf(other *Match) bool {
	covered := func(own, theirs string) bool { return theirs == "" || own == theirs }
	return covered(m.Class, other.Class) && covered(m.Tenant, other.Tenant) && covered(m.Method, other.Method) && strings.HasPrefix(m.Path, other.Path)
}

// overlaps tells whether some request is matched by both.
func (m *Match) overlaps(other *Match) bool {
	compatible := func(a, b string) bool { return a == "" || b == "" || a == b }
	return compatible(m.Class, other.Class) && compatible(m.Tenant, other.Tenant) && compatible(m.Method, other.Method) &&
		(strings.HasPrefix(m.Path, other.Path) || strings.HasPrefix(other.Path, m.Path))
}

// maxChainLength bounds a chain of fallbacks.
const maxChainLength = 4

// Table finds routes. The last one is for what no other matches.
type Table struct{ routes []Route }

// Conflict is two routes that a request could go by, neither more exact than the other.
type Conflict struct{ A, B int }

func (c Conflict) Error() string { return fmt.Sprintf("routes %d and %d clash", c.A, c.B) }

// New makes a table. rest allows what is left. Its error joins a Clash for each two routes of which neither is more exact
// where both match, and no third one is just that.
func New(list []Route, defaultRoute Route) (*Table, error) {
	var errs []error
	for i := range list {
		for j := range list[:i] {
			a, b := &list[j].Match, &list[i].Match
			if a.overlaps(b) && (!a.isSubsetOf(b) && !b.isSubsetOf(a) || *a == *b) && !hasIntersection(list, a, b) {
				errs = append(errs, Conflict{j, i})
			}
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	defaultRoute.Match, defaultRoute.Fallback = Match{}, -1
	return &Table{append(append([]Route(nil), list...), defaultRoute)}, nil
}

// hasIntersection tells whether a third route is just what two have in common.
func hasIntersection(list []Route, a, b *Match) bool {
	if *a == *b {
		return false
	}
	longer := func(x, y string) string {
		if len(x) > len(y) {
			return x
		}
		return y
	}
	intersection := Match{longer(a.Class, b.Class), longer(a.Path, b.Path), longer(a.Tenant, b.Tenant), longer(a.Method, b.Method)}
	for i := range list {
		if list[i].Match == intersection {
			return true
		}
	}
	return false
}

// Len is how many routes there are, with the one for the rest.
func (t *Table) Len() int { return len(t.routes) }

// Route is one of them.
func (t *Table) Route(i int) *Route { return &t.routes[i] }

// Find returns the most exact route that matches.
func (t *Table) Find(request *Request) int {
	best := len(t.routes) - 1
	for i := range t.routes[:best] {
		if t.routes[i].Match.matches(request) && t.routes[i].Match.isSubsetOf(&t.routes[best].Match) {
			best = i
		}
	}
	return best
}

// AdmissionConfigs are the routes' limits, for a Gate, in their order.
func (t *Table) AdmissionConfigs() []admission.RouteConfig {
	configs := make([]admission.RouteConfig, len(t.routes))
	for i := range t.routes {
		configs[i] = t.routes[i].Admission
	}
	return configs
}

// Chain are a route and its fallbacks in their order. A circle ends where it closes.
func (t *Table) Chain(i int) []int {
	chain := []int{i}
	for next := t.routes[i].Fallback; next >= 0 && len(chain) < maxChainLength; next = t.routes[next].Fallback {
		for _, visited := range chain {
			if visited == next {
				return chain
			}
		}
		chain = append(chain, next)
	}
	return chain
}

// RouteLimits is what a request is allowed that begins on a route: its own figures, and the attempts of the fallbacks besides.
// most is what the platform allows.
func (t *Table) RouteLimits(i, maxAttempts int) dispatch.RouteLimits {
	combined := t.routes[i].Limits
	for _, fallback := range t.Chain(i)[1:] {
		own := &t.routes[fallback].Limits
		combined.MaxAttempts = attemptsOf(combined, maxAttempts) + attemptsOf(*own, maxAttempts)
		combined.AttemptTimeout = longerTimeout(combined.AttemptTimeout, own.AttemptTimeout)
		combined.NoHedging, combined.RetryNotRunOnly = combined.NoHedging || own.NoHedging, combined.RetryNotRunOnly || own.RetryNotRunOnly
	}
	return combined
}

func attemptsOf(routeLimits dispatch.RouteLimits, maxAttempts int) int {
	if routeLimits.MaxAttempts > 0 {
		return min(routeLimits.MaxAttempts, maxAttempts)
	}
	return maxAttempts
}

// longerTimeout is the longer of two times of which 0 is without end.
func longerTimeout(a, b dispatch.Time) dispatch.Time {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// ToTime is a length of time as the module has it.
func ToTime(d time.Duration) dispatch.Time { return dispatch.Time(d.Microseconds()) }
