package engine

import (
	"errors"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
)

// tableOf is one route for the class, and what is left.
func tableOf(t *testing.T, r routes.Route) (*routes.Table, admission.Config) {
	t.Helper()
	r.Name, r.Limit.Name, r.Match.Class, r.Fallback = "r", "r", "search", -1
	r.Limit.Priority = admission.Top
	table, err := routes.New([]routes.Route{r}, routes.Route{Name: "rest"})
	if err != nil {
		t.Fatal(err)
	}
	return table, admission.Config{Routes: table.Limits()}
}

// The operator's limit refuses with its reason before the module hears of it, and each way that a request ends gives its
// place back, once.
func TestEveryEndGivesThePlaceBack(t *testing.T) {
	m := &script{}
	s := newStore(t, m)
	table, c := tableOf(t, routes.Route{Limit: admission.Route{Concurrent: 1, ComeBack: 70 * time.Millisecond}, Narrow: dispatch.Narrow{Attempts: 2}})
	s.Limit(table, c, []dispatch.Class{{Aim: dispatch.Second, Deadline: dispatch.Second}})
	s.News(listOf(dispatch.Ready, "127.0.0.1:9", 0))
	for i, end := range []func(r *Request){
		func(r *Request) { r.Leave() },
		func(r *Request) { r.Fail(); r.Leave() },
		func(r *Request) { (<-r.Orders()).Attempt.Ended(dispatch.OK, []byte("x")); <-r.Orders(); r.Leave() },
		func(r *Request) { (<-r.Orders()).Attempt.Rejected(); <-r.Orders(); r.Leave() },
	} {
		m.on = func(e *dispatch.Event) []dispatch.Action {
			if e.Kind == dispatch.Arrived {
				if e.Narrow.Attempts != 2 {
					t.Errorf("the module is told %+v", e.Narrow)
				}
				return sends(e)
			}
			return nil
		}
		r := mustOpen(t, s, string(rune('a'+2*i)))
		arrived := len(m.of(dispatch.Arrived))
		_, err := s.Open(one(string(rune('b' + 2*i))))
		var limited *Limited
		if !errors.As(err, &limited) || limited.Reason != admission.Concurrent || limited.ComeBack != 70*time.Millisecond || limited.Route != "r" {
			t.Fatalf("the second request: %v", err)
		}
		if len(m.of(dispatch.Arrived)) != arrived {
			t.Error("the module heard of a request that the limits refused")
		}
		end(r)
		if f := s.LimitFields(); f["limit_held"] != 0 {
			t.Fatalf("end %d left %v places taken", i, f["limit_held"])
		}
	}
	r := mustOpen(t, s, "z")
	r.hold.release(s.now(), admission.Timely)
	r.Leave() // releases again, which counts for nothing
	if f := s.LimitFields(); f["limit_held"] != 0 {
		t.Errorf("%v places are taken after one was given back twice", f["limit_held"])
	}
	if f := s.LimitFields(); f["limit_concurrent"] != int64(4) || f["limit_admitted"] != int64(5) {
		t.Errorf("counted %v", f)
	}
}

// A reload with requests open keeps what they hold, and what they were allowed.
func TestReloadKeepsWhatIsOpen(t *testing.T) {
	m := &script{}
	s := newStore(t, m)
	set := func(n int) {
		table, c := tableOf(t, routes.Route{Limit: admission.Route{Concurrent: n}})
		s.Limit(table, c, []dispatch.Class{{Aim: dispatch.Second}})
	}
	set(3)
	a, b := mustOpen(t, s, "a"), mustOpen(t, s, "b")
	set(1)
	if _, err := s.Open(one("c")); err == nil {
		t.Fatal("let in over the new limit")
	}
	a.Leave()
	if _, err := s.Open(one("d")); err == nil {
		t.Fatal("let in at the new limit")
	}
	b.Leave()
	mustOpen(t, s, "e").Leave()
	if f := s.LimitFields(); f["limit_held"] != 0 {
		t.Errorf("%v places are still taken", f["limit_held"])
	}
}

// Where a route has no room a request goes on by its fallback; the first one's reason is told where none has any.
func TestFallback(t *testing.T) {
	s := newStore(t, &script{})
	s.mostOpen = 0
	list := []routes.Route{
		{Name: "first", Match: routes.Match{Class: "search", Path: "/"}, Limit: admission.Route{Name: "first", Concurrent: 1, Priority: admission.Top}, Fallback: 1},
		{Name: "second", Match: routes.Match{Class: "search"}, Limit: admission.Route{Name: "second", Limited: true, Rate: 0.001, Burst: 1, Priority: admission.Top}, Fallback: -1},
	}
	table, err := routes.New(list, routes.Route{Name: "rest"})
	if err != nil {
		t.Fatal(err)
	}
	s.Limit(table, admission.Config{Routes: table.Limits()}, []dispatch.Class{{}})
	open := func(id string) error {
		j := one(id)
		j.Path = "/search"
		_, err := s.Open(j)
		return err
	}
	var limited *Limited
	if err := errors.Join(open("a"), open("b")); err != nil {
		t.Fatal(err)
	}
	if err := open("c"); !errors.As(err, &limited) || limited.Route != "first" || limited.Reason != admission.Concurrent {
		t.Errorf("with no room anywhere: %v", err)
	}
}
