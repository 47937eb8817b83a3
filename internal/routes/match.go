package routes

import "strings"

// Match defines the requests to which a route applies. An empty field matches any value.
type Match struct {
	Class, Tenant, Method string
	Path                  string // prefix of the path
}

// Request contains the properties of a request that determine its route.
type Request struct {
	Class, Path, Tenant, Method string
}

// matches reports whether m matches a request.
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

// overlaps reports whether any request is matched by both m and other.
func (m *Match) overlaps(other *Match) bool {
	compatible := func(a, b string) bool { return a == "" || b == "" || a == b }
	return compatible(m.Class, other.Class) &&
		compatible(m.Tenant, other.Tenant) &&
		compatible(m.Method, other.Method) &&
		(strings.HasPrefix(m.Path, other.Path) || strings.HasPrefix(other.Path, m.Path))
}

// intersection returns a Match of the requests that both m and other match. The two have to overlap.
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
