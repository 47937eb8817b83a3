package engine

import (
	"errors"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/routes"
)

// routesOf returns routes and limits with one route r for the class search, and a default route.
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

// The operators' limit rejects with its reason before the decision module gets a request, and each way in which a request ends
// releases its reservation once.
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
					t.Errorf("the decision module gets %+v", event.RouteLimits)
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
			t.Fatalf("the second request: %v", err)
		}
		if want := (LimitError{Reason: admission.ConcurrencyExceeded, Route: "r", RetryAfter: 70 * time.Millisecond}); *limited != want {
			t.Fatalf("the second request: %+v, want %+v", *limited, want)
		}
		if decider.count(dispatch.RequestArrived) != arrived {
			t.Error("the decision module saw a request that the limits rejected")
		}
		end(request)
		if fields := engine.LimitFields(); fields["limit_held"] != 0 {
			t.Fatalf("after end %d, %v requests are held", i, fields["limit_held"])
		}
	}
	request := mustOpen(t, engine, "z")
	request.reservation.release(engine.now(), admission.Timely)
	request.Close() // a second release has no effect
	if fields := engine.LimitFields(); fields["limit_held"] != 0 {
		t.Errorf("%v requests are held after one was released twice", fields["limit_held"])
	}
	if fields := engine.LimitFields(); fields["limit_concurrent"] != int64(4) || fields["limit_admitted"] != int64(5) {
		t.Errorf("counted %v", fields)
	}
}

// A reload keeps the reservations of open requests, and what they were allowed.
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
		t.Fatal("admitted over the new limit")
	}
	first.Close()
	if _, err := engine.Open(specOf("d")); err == nil {
		t.Fatal("admitted at the new limit")
	}
	second.Close()
	mustOpen(t, engine, "e").Close()
	if fields := engine.LimitFields(); fields["limit_held"] != 0 {
		t.Errorf("%v requests are still held", fields["limit_held"])
	}
}

// If a route is at its limit a request takes its fallback; if all are, it is rejected with the reason of the first one.
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
		t.Errorf("with no room anywhere: %v", err)
	}
}
