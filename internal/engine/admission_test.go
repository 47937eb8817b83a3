package engine

import (
	"errors"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
)

// routesOf returns a table with the given route, named r, for the class search, and a default route. It also returns the admission
// limits.
func routesOf(t *testing.T, route routes.Route) (*routes.Table, admission.Config) {
	t.Helper()
	route.Name, route.Admission.Name, route.Match.Class, route.Fallback = "r", "r", "search", -1
	route.Admission.Priority = admission.MaxPriority
	table, err := routes.New([]routes.Route{route}, routes.Route{Name: "rest"})
	if err != nil {
		t.Fatal(err)
	}
	return table, admission.Config{Routes: table.AdmissionConfigs()}
}

// A request above the operators' limit is rejected with the limit's reason before the decision module receives it. Every way in which
// a request can end releases its reservation exactly once.
func TestReservation_ReleasedExactlyOnce(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	table, config := routesOf(t, routes.Route{
		Admission: admission.RouteConfig{MaxConcurrent: 1, RetryAfter: 70 * time.Millisecond},
		Limits:    dispatch.RouteLimits{MaxAttempts: 2},
	})
	engine.SetLimits(table, config, []dispatch.Class{{LatencyObjective: dispatch.Second, Deadline: dispatch.Second}})
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:9", 0))
	for i, end := range []func(request *Request){
		func(request *Request) { request.Close() },
		func(request *Request) { request.Abort(); request.Close() },
		func(request *Request) {
			(<-request.Decisions()).Attempt.Finish(dispatch.ResultOK, []byte("x"))
			<-request.Decisions()
			request.Close()
		},
		func(request *Request) {
			(<-request.Decisions()).Attempt.ReportInvalidRequest()
			<-request.Decisions()
			request.Close()
		},
	} {
		decider.respond = func(event *dispatch.Event) []dispatch.Action {
			if event.Kind == dispatch.RequestArrived {
				if event.RouteLimits.MaxAttempts != 2 {
					t.Errorf("route limits in the event: %+v, want 2 attempts", event.RouteLimits)
				}
				return sendToFirstWorker(event)
			}
			return nil
		}
		request := mustOpen(t, engine, string(rune('a'+2*i)))
		arrived := decider.count(dispatch.RequestArrived)
		_, err := engine.Open(specOf(string(rune('b' + 2*i))))
		var limited *LimitError
		if !errors.As(err, &limited) {
			t.Fatalf("second request: error %v, want a LimitError", err)
		}
		if want := (LimitError{Reason: admission.ConcurrencyExceeded, Route: "r", RetryAfter: 70 * time.Millisecond}); *limited != want {
			t.Fatalf("second request: error %+v, want %+v", *limited, want)
		}
		if decider.count(dispatch.RequestArrived) != arrived {
			t.Error("the decision module received a request that was rejected by a limit")
		}
		end(request)
		if fields := engine.LimitFields(); fields["limit_held"] != 0 {
			t.Fatalf("case %d: %v requests hold a reservation after their end, want 0", i, fields["limit_held"])
		}
	}
	request := mustOpen(t, engine, "z")
	request.reservation.release(engine.now(), admission.Timely)
	request.Close() // the second release must have no effect
	if fields := engine.LimitFields(); fields["limit_held"] != 0 {
		t.Errorf("%v requests hold a reservation after a second release, want 0", fields["limit_held"])
	}
	if fields := engine.LimitFields(); fields["limit_concurrent"] != int64(4) || fields["limit_admitted"] != int64(5) {
		t.Errorf("counters %v, want limit_concurrent 4 and limit_admitted 5", fields)
	}
}

// A reload keeps the reservations of open requests, which count towards the new limit.
func TestSetLimits_KeepsOpenReservations(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	setMaxConcurrent := func(limit int) {
		table, config := routesOf(t, routes.Route{Admission: admission.RouteConfig{MaxConcurrent: limit}})
		engine.SetLimits(table, config, []dispatch.Class{{LatencyObjective: dispatch.Second}})
	}
	setMaxConcurrent(3)
	first, second := mustOpen(t, engine, "a"), mustOpen(t, engine, "b")
	setMaxConcurrent(1)
	if _, err := engine.Open(specOf("c")); err == nil {
		t.Fatal("a request was admitted with 2 open requests and a new limit of 1")
	}
	first.Close()
	if _, err := engine.Open(specOf("d")); err == nil {
		t.Fatal("a request was admitted with 1 open request and a new limit of 1")
	}
	second.Close()
	mustOpen(t, engine, "e").Close()
	if fields := engine.LimitFields(); fields["limit_held"] != 0 {
		t.Errorf("%v requests hold a reservation after all were closed, want 0", fields["limit_held"])
	}
}

// A request takes the fallback if its route is at the limit. If all are, the request is rejected with the reason of the first route.
func TestAdmit_FollowsFallbackRoutes(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{})
	engine.maxOpen = 0
	configured := []routes.Route{
		{Name: "first", Match: routes.Match{Class: "search", Path: "/"}, Fallback: 1, Admission: admission.RouteConfig{
			Name: "first", MaxConcurrent: 1, Priority: admission.MaxPriority,
		}},
		{Name: "second", Match: routes.Match{Class: "search"}, Fallback: -1, Admission: admission.RouteConfig{
			Name: "second", RateLimited: true, Rate: 0.001, Burst: 1, Priority: admission.MaxPriority,
		}},
	}
	table, err := routes.New(configured, routes.Route{Name: "rest"})
	if err != nil {
		t.Fatal(err)
	}
	engine.SetLimits(table, admission.Config{Routes: table.AdmissionConfigs()}, []dispatch.Class{{}})
	open := func(id string) error {
		spec := specOf(id)
		spec.Path = "/search"
		_, err := engine.Open(spec)
		return err
	}
	var limited *LimitError
	if err := errors.Join(open("a"), open("b")); err != nil {
		t.Fatal(err)
	}
	err = open("c")
	if !errors.As(err, &limited) || limited.Route != "first" || limited.Reason != admission.ConcurrencyExceeded {
		t.Errorf("error %v, want the concurrency limit of route first", err)
	}
}
