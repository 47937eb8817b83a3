package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// A panic in the decision module loses one decision, but does not end the process.
func TestDecide_RecoversFromPanic(t *testing.T) {
	decider := &scriptedDecider{respond: func(event *dispatch.Event) []dispatch.Action {
		if event.Kind == dispatch.RequestArrived {
			panic("no such thing")
		}
		return nil
	}}
	engine := newEngine(t, decider)
	request := mustOpen(t, engine, "a")
	request.Close()
	if engine.Counters.Panics.Load() != 1 || decider.count(dispatch.RequestAbandoned) != 1 || engine.OpenRequests() != 0 {
		t.Fatalf("panics %d, want 1; events %+v, want one RequestAbandoned and no open request", engine.Counters.Panics.Load(), decider.events)
	}
}

// With the real decision module, every request ends and no state of it is left.
func TestEngine_RealDeciderLeavesNothingOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := newEngine(t, nil)
		list := EndpointList{Version: 1, Snapshot: true}
		for _, name := range []string{"u", "v", "w"} {
			list.Endpoints = append(list.Endpoints, Endpoint{Name: name, Address: name + ":1", Zone: "a", Kind: "big", State: dispatch.Ready})
		}
		engine.UpdateEndpoints(list)
		results := []dispatch.Result{
			dispatch.ResultOK, dispatch.ResultFailed, dispatch.ResultUnreachable, dispatch.ResultOverloaded, dispatch.ResultDisconnected,
			dispatch.ResultNotSent,
		}
		next := 0
		served := 0
		for i := range 60 {
			request := mustOpen(t, engine, string(rune('A'+i)))
			for done := false; !done; {
				decision := <-request.Decisions()
				switch decision.Kind {
				case DecisionSend:
					decision.Attempt.Finish(results[next%len(results)], []byte("x"))
					next++
				case DecisionServe:
					served++
					done = true
				default:
					done = true
				}
			}
			request.Close()
			time.Sleep(300 * time.Millisecond)
		}
		for id, request := range engine.requests {
			if request != nil {
				t.Errorf("request %d is still stored after its end", id)
			}
		}
		broken := engine.Counters.Panics.Load() + engine.Counters.InvalidActions.Load()
		if engine.OpenRequests() != 0 || served == 0 || broken > 0 {
			t.Fatalf("%d requests open, want 0; %d served, want at least 1; counters %v, want no panics and no invalid actions",
				engine.OpenRequests(), served, engine.Counters.Fields())
		}
	})
}
