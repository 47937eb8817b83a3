package routes

import "strings"

// Match is the set of requests to which a route applies. Empty fields match any request.
type Match struct {
	Class, Tenant, Method string
	Path                  string // a prefix
}

// Request is the part of a request by which its route is found.
type Request struct {
	Class, Path, Tenant, Method string
}

// matches reports whether the route applies to a request.
func (m *Match) matches(request *Request) bool {
	return (m.Class == "" || m.Class == request.Class) &&
		(m.Tenant == "" || m.Tenant == request.Tenant) &&
		(m.Method == "" || m.Method == request.Method) &&
		strings.HasPrefix(request.Path, m.Path)
}

// isSubsetOf reports whether other matches every request that m matches.
func (m *Match) isSubsetOf(other *Match) bool {
	covered := func(own, theirs string) bool { return theirs == "" || own == theirs }
	return covered(m.Class, other.Class) &&
		covered(m.Tenant, other.Tenant) &&
		covered(m.Method, other.Method) &&
		strings.HasPrefix(m.Path, other.Path)
}

// overlaps reports whether there are requests that both match.
func (m *Match) overlaps(other *Match) bool {
	compatible := func(a, b string) bool { return a == "" || b == "" || a == b }
	return compatible(m.Class, other.Class) &&
		compatible(m.Tenant, other.Tenant) &&
		compatible(m.Method, other.Method) &&
		(strings.HasPrefix(m.Path, other.Path) || strings.HasPrefix(other.Path, m.Path))
}

// intersection returns a Match of the requests that two overlapping matches have in common.
func (m *Match) intersection(other *Match) Match {
	longer := func(a, b string) string {
		if len(a) > len(b) {
			return a
		}
		return b
	}
	return Match{
		Class:  longer(m.Class, other.Class),
		Path:   longer(m.Path, other.Path),
		Tenant: longer(m.Tenant, other.Tenant),
		Method: longer(m.Method, other.Method),
	}
}
