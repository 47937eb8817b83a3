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
	Name     string
	Match    Match
	Narrow   dispatch.Narrow
	Limit    admission.Route
	Fallback int // where a request goes on that finds no room here, or has used up its attempts; -1: nowhere
}

// matches tells whether a request is one of the route's.
func (m *Match) matches(r *Request) bool {
	return (m.Class == "" || m.Class == r.Class) && (m.Tenant == "" || m.Tenant == r.Tenant) &&
		(m.Method == "" || m.Method == r.Method) && strings.HasPrefix(r.Path, m.Path)
}

// within tells whether all that m matches is matched by o too.
func (m *Match) within(o *Match) bool {
	same := func(mine, other string) bool { return other == "" || mine == other }
	return same(m.Class, o.Class) && same(m.Tenant, o.Tenant) && same(m.Method, o.Method) && strings.HasPrefix(m.Path, o.Path)
}

// meets tells whether some request is matched by both.
func (m *Match) meets(o *Match) bool {
	meet := func(a, b string) bool { return a == "" || b == "" || a == b }
	return meet(m.Class, o.Class) && meet(m.Tenant, o.Tenant) && meet(m.Method, o.Method) &&
		(strings.HasPrefix(m.Path, o.Path) || strings.HasPrefix(o.Path, m.Path))
}

// fallbacksMost bounds a chain of fallbacks.
const fallbacksMost = 4

// Table finds routes. The last one is for what no other matches.
type Table struct{ routes []Route }

// Clash is two routes that a request could go by, neither more exact than the other.
type Clash struct{ A, B int }

func (c Clash) Error() string { return fmt.Sprintf("routes %d and %d clash", c.A, c.B) }

// New makes a table. rest allows what is left. Its error joins a Clash for each two routes of which neither is more exact
// where both match, and no third one is just that.
func New(all []Route, rest Route) (*Table, error) {
	var errs []error
	for i := range all {
		for j := range all[:i] {
			a, b := &all[j].Match, &all[i].Match
			if a.meets(b) && (!a.within(b) && !b.within(a) || *a == *b) && !settled(all, a, b) {
				errs = append(errs, Clash{j, i})
			}
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	rest.Match, rest.Fallback = Match{}, -1
	return &Table{append(append([]Route(nil), all...), rest)}, nil
}

// settled tells whether a third route is just what two have in common.
func settled(all []Route, a, b *Match) bool {
	if *a == *b {
		return false
	}
	longer := func(x, y string) string {
		if len(x) > len(y) {
			return x
		}
		return y
	}
	both := Match{longer(a.Class, b.Class), longer(a.Path, b.Path), longer(a.Tenant, b.Tenant), longer(a.Method, b.Method)}
	for i := range all {
		if all[i].Match == both {
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
func (t *Table) Find(r *Request) int {
	best := len(t.routes) - 1
	for i := range t.routes[:best] {
		if t.routes[i].Match.matches(r) && t.routes[i].Match.within(&t.routes[best].Match) {
			best = i
		}
	}
	return best
}

// Limits are the routes' limits, for a Gate, in their order.
func (t *Table) Limits() []admission.Route {
	out := make([]admission.Route, len(t.routes))
	for i := range t.routes {
		out[i] = t.routes[i].Limit
	}
	return out
}

// Chain are a route and its fallbacks in their order. A circle ends where it closes.
func (t *Table) Chain(i int) []int {
	out := []int{i}
	for next := t.routes[i].Fallback; next >= 0 && len(out) < fallbacksMost; next = t.routes[next].Fallback {
		for _, seen := range out {
			if seen == next {
				return out
			}
		}
		out = append(out, next)
	}
	return out
}

// Narrow is what a request is allowed that begins on a route: its own figures, and the attempts of the fallbacks besides.
// most is what the platform allows.
func (t *Table) Narrow(i, most int) dispatch.Narrow {
	n := t.routes[i].Narrow
	for _, k := range t.Chain(i)[1:] {
		o := &t.routes[k].Narrow
		n.Attempts = attempts(n, most) + attempts(*o, most)
		n.Wait = wider(n.Wait, o.Wait)
		n.Single, n.Strict = n.Single || o.Single, n.Strict || o.Strict
	}
	return n
}

func attempts(n dispatch.Narrow, most int) int {
	if n.Attempts > 0 {
		return min(n.Attempts, most)
	}
	return most
}

// wider is the longer of two times of which 0 is without end.
func wider(a, b dispatch.Time) dispatch.Time {
	if a == 0 || b == 0 {
		return 0
	}
	return max(a, b)
}

// Micro is a length of time as the module has it.
func Micro(d time.Duration) dispatch.Time { return dispatch.Time(d.Microseconds()) }
