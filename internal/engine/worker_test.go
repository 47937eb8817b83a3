package engine

import (
	"fmt"
	"testing"
	"time"

	"birchfork/dispatch"
)

// The members of a group exchange the statuses that WorkerStatuses returns.
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
		endpoint("started", dispatch.Ready, time.Second), endpoint("serving", dispatch.Ready, time.Hour),
		endpoint("draining", dispatch.Draining, 0), endpoint("gone", dispatch.Ready, 0),
		endpoint("disabled", dispatch.Ready, 0), endpoint("enabled", dispatch.Ready, 0),
	}})
	engine.UpdateEndpoints(EndpointList{Version: 2, Endpoints: []Endpoint{endpoint("gone", dispatch.Gone, 0)}})
	engine.ApplyOverrides(disabled("disabled", time.Now()))
	engine.ApplyOverrides(disabled("enabled", time.Now().Add(-time.Second)))
	engine.ApplyOverrides(enabled("enabled", time.Now()))
	got := map[string]string{}
	for _, status := range engine.WorkerStatuses(time.Hour, time.Minute) {
		if status.Zone != "a" || status.Kind != "big" || status.Weight != 2 {
			t.Errorf("status %+v, want zone a, kind big and weight 2", status)
		}
		got[status.Name] = fmt.Sprintf("unavailable %t, warming up %t, disabled %t", status.Unavailable, status.WarmingUp, status.Disabled)
	}
	for name, want := range map[string]string{
		"started":  "unavailable false, warming up true, disabled false",
		"serving":  "unavailable false, warming up false, disabled false",
		"draining": "unavailable true, warming up false, disabled false",
		"gone":     "unavailable true, warming up false, disabled false",
		"disabled": "unavailable false, warming up false, disabled true",
		"enabled":  "unavailable false, warming up true, disabled false",
	} {
		if got[name] != want {
			t.Errorf("%s: %q, want %q", name, got[name], want)
		}
	}
	time.Sleep(2 * time.Millisecond)
	for _, status := range engine.WorkerStatuses(time.Millisecond, time.Minute) {
		if status.Name == "gone" {
			t.Error("a worker that has been gone for longer than goneFor still has a status")
		}
	}
}

// A worker is known after it was listed, even as gone, or named by an override.
func TestKnowsWorker_ListedOrDisabled(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{})
	if engine.KnowsWorker("w") || engine.KnowsWorker("v") {
		t.Fatal("a worker is known before any list or override")
	}
	engine.UpdateEndpoints(listWith(dispatch.Gone, "a:1", 0))
	engine.ApplyOverrides(disabled("v", time.Now()))
	if !engine.KnowsWorker("w") || !engine.KnowsWorker("v") || engine.KnowsWorker("") {
		t.Fatal("a listed or disabled worker is unknown, or the empty name is known")
	}
}
