package routes

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// matchesAll reports whether every field of m is empty or matches the given value.
func matchesAll(m Match, class, tenant, path string) bool {
	return (m.Class == "" || m.Class == class) && (m.Tenant == "" || m.Tenant == tenant) && strings.HasPrefix(path, m.Path)
}

// A table finds the most specific matching route, whatever the order of the routes.
func TestTable_FindsMostSpecific(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sample := func(what string, all ...string) string { return rapid.SampledFrom(all).Draw(t, what) }
		count := rapid.IntRange(0, 6).Draw(t, "n")
		list := make([]Route, 0, count)
		for i := range count {
			match := Match{
				Class:  sample("class", "", "a", "b"),
				Path:   sample("path", "", "/a", "/a/x", "/a/xy"),
				Tenant: sample("tenant", "", "t", "u"),
			}
			list = append(list, Route{Name: fmt.Sprint(i), Fallback: noFallback, Match: match})
		}
		table, err := New(list, Route{Name: "default"})
		if err != nil {
			return
		}
		request := Request{Class: sample("of", "a", "b"), Path: sample("at", "/a/xyz", "/a/q", "/b"), Tenant: sample("by", "", "t", "u")}
		found := table.Route(table.Find(&request)).Match
		for _, route := range list {
			if !matchesAll(route.Match, request.Class, request.Tenant, request.Path) {
				if route.Match == found {
					t.Fatalf("the found route %+v does not match %+v", route.Match, request)
				}
				continue
			}
			if !matchesAll(route.Match, found.Class, found.Tenant, found.Path) {
				t.Fatalf("request %+v: found %+v, although it is not more specific than %+v", request, found, route.Match)
			}
		}
	})
}
