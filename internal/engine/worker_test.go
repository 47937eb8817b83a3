package engine

import (
	"fmt"
	"testing"
	"time"

	"birchfork/dispatch"
)

// What other members are told of workers.
func TestWorkerStatuses(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{})
	endpoint := func(name string, state dispatch.WorkerState, age time.Duration) Endpoint {
		listed := Endpoint{Name: name, Address: name + ":1", Zone: "a", Kind: "big", State: state, Weight: 2}
		if age > 0 {
			listed.StartedAtMillis = time.Now().Add(-age).UnixMilli()
		}
		return listed
	}
	engine.UpdateEndpoints(EndpointList{Version: 1, Snapshot: true, Endpoints: []Endpoint{
		endpoint("cold", dispatch.Ready, time.Second), endpoint("warm", dispatch.Ready, time.Hour), endpoint("drains", dispatch.Draining, 0),
		endpoint("gone", dispatch.Ready, 0), endpoint("hand", dispatch.Ready, 0), endpoint("back", dispatch.Ready, 0),
	}})
	engine.UpdateEndpoints(EndpointList{Version: 2, Endpoints: []Endpoint{endpoint("gone", dispatch.Gone, 0)}})
	engine.ApplyOverrides(map[string]Override{"hand": {Disabled: true, At: time.Now()}, "back": {Disabled: true, At: time.Now().Add(-time.Second)}})
	engine.ApplyOverrides(map[string]Override{"back": {At: time.Now()}})
	got := map[string]string{}
	for _, status := range engine.WorkerStatuses(time.Hour, time.Minute) {
		if status.Zone != "a" || status.Kind != "big" || status.Weight != 2 {
			t.Errorf("%+v", status)
		}
		got[status.Name] = fmt.Sprintf("down %t, cold %t, hand %t", status.Unavailable, status.WarmingUp, status.Disabled)
	}
	for name, want := range map[string]string{
		"cold": "down false, cold true, hand false", "warm": "down false, cold false, hand false", "drains": "down true, cold false, hand false",
		"gone": "down true, cold false, hand false", "hand": "down false, cold false, hand true", "back": "down false, cold true, hand false",
	} {
		if got[name] != want {
			t.Errorf("%s: %q, want %q", name, got[name], want)
		}
	}
	time.Sleep(2 * time.Millisecond)
	for _, status := range engine.WorkerStatuses(time.Millisecond, time.Minute) {
		if status.Name == "gone" {
			t.Error("one that left long ago is told of still")
		}
	}
}

func TestKnowsWorker_ListedOrDisabled(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{})
	if engine.KnowsWorker("w") || engine.KnowsWorker("v") {
		t.Fatal("known before any list")
	}
	engine.UpdateEndpoints(listWith(dispatch.Gone, "a:1", 0))
	engine.ApplyOverrides(disabled("v", time.Now()))
	if !engine.KnowsWorker("w") || !engine.KnowsWorker("v") || engine.KnowsWorker("") {
		t.Fatal("not known")
	}
}
