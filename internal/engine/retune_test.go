package engine

import (
	"strings"
	"testing"

	"birchfork/dispatch"
)

func (e *Engine) reconfigureTo(t *testing.T, settingsJSON string) {
	t.Helper()
	decoded, names := decodeSettings(t, settingsJSON)
	e.Reconfigure(Reconfiguration{Settings: decoded, Names: names, MaxOpen: 9})
}

// What is open goes on over a change of settings: its id, its class's figures and its orders. Names are as the new
// settings have them.
func TestReconfigure_KeepsOpenRequests(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	request := mustOpen(t, engine, "a")
	attempt := (<-request.Decisions()).Attempt
	engine.reconfigureTo(t, strings.Replace(basicSettings, `"name":"search"`, `"name":"find"`, 1))
	if _, err := engine.Open(specOf("b")); err != ErrUnknownClass {
		t.Errorf("a class that is gone: %v", err)
	}
	spec := specOf("c")
	spec.Class = "find"
	if _, err := engine.Open(spec); err != nil {
		t.Errorf("a new class: %v", err)
	}
	if !attempt.MaySend() {
		t.Error("what was ordered before may not go out")
	}
	attempt.Finish(dispatch.ResultOK, []byte("r"))
	if decision := <-request.Decisions(); decision.Kind != DecisionServe || string(decision.Result) != "r" {
		t.Errorf("%+v", decision)
	}
	if events := decider.eventsOf(dispatch.SettingsChanged); len(events) != 1 || len(events[0].OldClasses) != 1 || events[0].OldClasses[0] != -1 || len(events[0].OldTenants) != 1 || events[0].OldTenants[0] != 0 {
		t.Errorf("%+v", events)
	}
}

// More attempts than a request was opened with have no room among its orders: a send beyond would hold up all.
func TestReconfigure_MoreAttemptsDoNotBlock(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	request := mustOpen(t, engine, "a")
	engine.reconfigureTo(t, strings.Replace(basicSettings, `"attempts_cap":3`, `"attempts_cap":30`, 1))
	decider.respond = func(event *dispatch.Event) (actions []dispatch.Action) {
		if event.Kind == dispatch.TimerFired {
			for range 20 {
				actions = append(actions, dispatch.Action{Kind: dispatch.Send, Request: request.id})
			}
		}
		return actions
	}
	engine.mu.Lock()
	engine.handle(engine.now(), &dispatch.Event{Kind: dispatch.TimerFired})
	engine.mu.Unlock()
	if len(request.attempts) != 3 || engine.Counters.InvalidActions.Load() != 17 {
		t.Errorf("%d attempts, %d faults, want 3 and 17", len(request.attempts), engine.Counters.InvalidActions.Load())
	}
}
