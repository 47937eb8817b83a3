package engine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// An attempt may be sent only while its worker is ready and the same process, its request is open and no deadline has passed.
func TestMaySend(t *testing.T) {
	const address = "127.0.0.1:1"
	update := func(list EndpointList) func(*Engine, *Request) {
		return func(engine *Engine, _ *Request) { engine.UpdateEndpoints(list) }
	}
	for _, c := range []struct {
		name    string
		change  func(engine *Engine, request *Request)
		maySend bool
	}{
		{"nothing", func(*Engine, *Request) {}, true},
		{"drain", update(listWith(dispatch.Draining, address, 7)), false},
		{"gone", update(listWith(dispatch.Gone, address, 7)), false},
		{"missing in a snapshot", update(EndpointList{Version: 2, Snapshot: true}), false},
		{"moved", update(listWith(dispatch.Ready, "127.0.0.1:2", 7)), false},
		{"restarted", update(listWith(dispatch.Ready, address, 8)), false},
		{"answered", func(_ *Engine, request *Request) { request.Close() }, false},
		{"overdue", func(*Engine, *Request) { time.Sleep(6 * time.Second) }, false},
		{"before SendBefore", func(*Engine, *Request) { time.Sleep(999 * time.Millisecond) }, true},
		{"after SendBefore", func(*Engine, *Request) { time.Sleep(1001 * time.Millisecond) }, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			var engine *Engine
			engine = newEngine(t, &scriptedDecider{respond: func(event *dispatch.Event) []dispatch.Action {
				actions := sendToFirstWorker(event)
				for i := range actions {
					actions[i].SendBefore = engine.now() + dispatch.Second
				}
				return actions
			}})
			engine.UpdateEndpoints(listWith(dispatch.Ready, address, 7))
			request := mustOpen(t, engine, "a")
			attempt := (<-request.Decisions()).Attempt
			c.change(engine, request)
			if got := attempt.MaySend(); got != c.maySend {
				t.Errorf("%s: MaySend returned %v, want %v", c.name, got, c.maySend)
			}
			attempt.Finish(dispatch.ResultNotSent, nil)
		})
	}
}

// The cancellation or timeout of one attempt ends the context of that attempt only.
func TestAttempt_ContextEndsByCancelAndTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{respond: func(event *dispatch.Event) []dispatch.Action {
			switch event.Kind {
			case dispatch.RequestArrived:
				return []dispatch.Action{
					{Kind: dispatch.Send, Request: event.Request, Wait: dispatch.Second},
					{Kind: dispatch.Send, Request: event.Request},
				}
			case dispatch.AttemptStarted:
				return []dispatch.Action{
					{Kind: dispatch.Cancel, Request: event.Request, Attempt: 1},
					{Kind: dispatch.Cancel, Request: event.Request, Attempt: 9},
				}
			}
			return nil
		}}
		engine := newEngine(t, decider)
		request := mustOpen(t, engine, "a")
		first, second := (<-request.Decisions()).Attempt, (<-request.Decisions()).Attempt
		first.ReportStarted()
		if !second.Cancelled() || second.Context().Err() == nil || first.Cancelled() || first.Context().Err() != nil {
			t.Fatal("want the second attempt cancelled and the first one not")
		}
		time.Sleep(1001 * time.Millisecond)
		if first.Context().Err() == nil || first.Cancelled() {
			t.Fatal("the first attempt has not timed out after its timeout of 1 s")
		}
		first.Finish(dispatch.ResultTimedOut, nil)
		second.Finish(dispatch.ResultCancelled, nil)
		request.Close()
	})
}

// A request that a worker reports as invalid ends immediately, and the decision module records no failure of the worker.
func TestReportInvalidRequest_IsNotWorkerFailure(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	(<-request.Decisions()).Attempt.ReportInvalidRequest()
	if decision := <-request.Decisions(); decision.Kind != DecisionInvalid {
		t.Fatalf("decision %+v, want DecisionInvalid", decision)
	}
	request.Close()
	ends := decider.eventsOf(dispatch.AttemptEnded)
	if len(ends) != 1 || ends[0].Result != dispatch.ResultNotSent || !ends[0].Final || decider.count(dispatch.RequestAbandoned) != 1 {
		t.Fatalf("events %+v, want one end that is final and not sent, and one abandoned request", decider.events)
	}
	if engine.OpenRequests() != 0 || engine.requests[request.id] != nil || engine.Counters.ClientDisconnects.Load() != 0 {
		t.Fatal("the request is still open or stored, or counts as a client disconnect")
	}
}

// The deadline of an attempt is the request's deadline, or the end of the group's maximum duration if that is earlier.
func TestSetMaxAttemptDuration_BoundsDeadline(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	for i, c := range []struct{ timeLeft, bound, want time.Duration }{
		{time.Hour, 0, time.Hour},
		{time.Hour, time.Minute, time.Minute},
		{time.Second, time.Minute, time.Second},
	} {
		engine.SetMaxAttemptDuration(c.bound)
		spec := specOf(fmt.Sprint(i))
		spec.TimeLeft = c.timeLeft
		request, err := engine.Open(spec)
		if err != nil {
			t.Fatal(err)
		}
		end, _ := (<-request.Decisions()).Attempt.Context().Deadline()
		if left := time.Until(end); left > c.want || left < c.want-time.Second/2 {
			t.Errorf("%+v: the attempt's deadline is in %v, want %v or up to 0.5 s less", c, left, c.want)
		}
		request.Close()
	}
}
