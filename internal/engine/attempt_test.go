package engine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

func TestMaySend(t *testing.T) {
	const address = "127.0.0.1:1"
	for _, c := range []struct {
		name    string
		change  func(engine *Engine, request *Request)
		maySend bool
	}{
		{"nothing", func(*Engine, *Request) {}, true},
		{"drain", func(engine *Engine, _ *Request) { engine.UpdateEndpoints(listWith(dispatch.Draining, address, 7)) }, false},
		{"gone", func(engine *Engine, _ *Request) { engine.UpdateEndpoints(listWith(dispatch.Gone, address, 7)) }, false},
		{"left out of a whole list", func(engine *Engine, _ *Request) { engine.UpdateEndpoints(EndpointList{Version: 2, Snapshot: true}) }, false},
		{"moved", func(engine *Engine, _ *Request) { engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:2", 7)) }, false},
		{"restarted", func(engine *Engine, _ *Request) { engine.UpdateEndpoints(listWith(dispatch.Ready, address, 8)) }, false},
		{"answered", func(_ *Engine, request *Request) { request.Close() }, false},
		{"overdue", func(*Engine, *Request) { time.Sleep(6 * time.Second) }, false},
		{"before the time in which it is dropped is over", func(*Engine, *Request) { time.Sleep(999 * time.Millisecond) }, true},
		{"after it", func(*Engine, *Request) { time.Sleep(1001 * time.Millisecond) }, false},
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
				t.Errorf("%s: clear is %v", c.name, got)
			}
			attempt.Finish(dispatch.ResultNotSent, nil)
		})
	}
}

func TestAttempt_ContextEndsByCancelAndTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{respond: func(event *dispatch.Event) []dispatch.Action {
			switch event.Kind {
			case dispatch.RequestArrived:
				return []dispatch.Action{{Kind: dispatch.Send, Request: event.Request, Wait: dispatch.Second}, {Kind: dispatch.Send, Request: event.Request}}
			case dispatch.AttemptStarted:
				return []dispatch.Action{{Kind: dispatch.Cancel, Request: event.Request, Attempt: 1}, {Kind: dispatch.Cancel, Request: event.Request, Attempt: 9}}
			}
			return nil
		}}
		engine := newEngine(t, decider)
		request := mustOpen(t, engine, "a")
		first, second := (<-request.Decisions()).Attempt, (<-request.Decisions()).Attempt
		first.ReportStarted()
		if !second.Cancelled() || second.Context().Err() == nil || first.Cancelled() || first.Context().Err() != nil {
			t.Fatal("not the second attempt alone is cancelled")
		}
		time.Sleep(1001 * time.Millisecond)
		if first.Context().Err() == nil || first.Cancelled() {
			t.Fatal("the first attempt did not time out")
		}
		first.Finish(dispatch.ResultTimedOut, nil)
		second.Finish(dispatch.ResultCancelled, nil)
		request.Close()
	})
}

// What a worker cannot use is the request's own fault: it ends at once, and the module learns nothing of the worker.
func TestReportInvalidRequest_BlamesNoWorker(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
	request := mustOpen(t, engine, "a")
	(<-request.Decisions()).Attempt.ReportInvalidRequest()
	if decision := <-request.Decisions(); decision.Kind != DecisionInvalid {
		t.Fatalf("order %+v", decision)
	}
	request.Close()
	if events := decider.eventsOf(dispatch.AttemptEnded); len(events) != 1 || events[0].Result != dispatch.ResultNotSent || !events[0].Final || len(decider.eventsOf(dispatch.RequestAbandoned)) != 1 {
		t.Fatalf("events %+v", decider.events)
	}
	if engine.OpenRequests() != 0 || engine.requests[request.id] != nil || engine.Counters.ClientsGone.Load() != 0 {
		t.Fatal("the request is still kept")
	}
}

// A client's time does not stretch an attempt over what the group waits for, and a shorter one counts.
func TestSetMaxAttemptDuration_BoundsDeadline(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	for i, c := range []struct{ timeLeft, bound, want time.Duration }{
		{time.Hour, 0, time.Hour}, {time.Hour, time.Minute, time.Minute}, {time.Second, time.Minute, time.Second},
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
			t.Errorf("%+v: it ends in %v", c, left)
		}
		request.Close()
	}
}
