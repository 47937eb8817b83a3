package engine

import (
	"slices"
	"strings"
	"testing"

	"birchfork/dispatch"
)

// reconfigureTo applies settings that are given in the platform's JSON.
func reconfigureTo(t *testing.T, engine *Engine, settingsJSON string) {
	t.Helper()
	decoded, names := decodeSettings(t, settingsJSON)
	engine.Reconfigure(Reconfiguration{Settings: decoded, Names: names, MaxOpen: 9})
}

// A change of the settings does not affect open requests: they keep their ids, classes and attempts. New requests use the names of
// the new settings.
func TestReconfigure_KeepsOpenRequests(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	request := mustOpen(t, engine, "a")
	attempt := (<-request.Decisions()).Attempt
	reconfigureTo(t, engine, strings.Replace(basicSettings, `"name":"search"`, `"name":"find"`, 1))
	if _, err := engine.Open(specOf("b")); !isExactly(err, ErrUnknownClass) {
		t.Errorf("request of a removed class: error %v, want ErrUnknownClass", err)
	}
	spec := specOf("c")
	spec.Class = "find"
	if _, err := engine.Open(spec); err != nil {
		t.Errorf("request of an added class: %v", err)
	}
	if !attempt.MaySend() {
		t.Error("MaySend returned false for an attempt that was started before the change")
	}
	attempt.Finish(dispatch.ResultOK, []byte("r"))
	if decision := <-request.Decisions(); decision.Kind != DecisionServe || string(decision.Result) != "r" {
		t.Errorf("decision %+v, want DecisionServe with result r", decision)
	}
	events := decider.eventsOf(dispatch.SettingsChanged)
	if len(events) != 1 {
		t.Fatalf("SettingsChanged events %+v, want one", events)
	}
	if !slices.Equal(events[0].OldClasses, []int{-1}) || !slices.Equal(events[0].OldTenants, []int{0}) {
		t.Errorf("old classes %v, want [-1]; old tenants %v, want [0]", events[0].OldClasses, events[0].OldTenants)
	}
}

// The channel of a request has capacity only for the maximum number of attempts at its opening. If the settings raise the maximum, an
// additional attempt of an open request would block the engine.
func TestReconfigure_MoreAttemptsDoNotBlock(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	request := mustOpen(t, engine, "a")
	reconfigureTo(t, engine, strings.Replace(basicSettings, `"attempts_cap":3`, `"attempts_cap":30`, 1))
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
		t.Errorf("%d attempts, %d invalid actions, want 3 and 17", len(request.attempts), engine.Counters.InvalidActions.Load())
	}
}
