package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// A start that is converted again with every update would change with the wall clock, and the decision module would take it for a
// restart.
func TestUpdateEndpoints_ConvertsStartTimesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{}
		engine := newEngine(t, decider)
		startedAtMillis := time.Now().Add(-3 * time.Second).UnixMilli()
		engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", startedAtMillis))
		engine.epoch += 3600 * dispatch.Second // simulates a step of the wall clock
		engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", startedAtMillis))
		engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
		events := decider.eventsOf(dispatch.EndpointUpdate)
		age := decider.times[0] - events[0].Workers[0].StartedAt
		if age < 3*dispatch.Second || age > 3*dispatch.Second+2*dispatch.Millisecond {
			t.Errorf("worker age %v us, want 3 s", age)
		}
		if events[0].Workers[0].StartedAt != events[1].Workers[0].StartedAt || events[2].Workers[0].StartedAt != 0 {
			t.Errorf("starts %v, %v, %v, want equal ones and 0", events[0].Workers[0].StartedAt, events[1].Workers[0].StartedAt, events[2].Workers[0].StartedAt)
		}
	})
}

// An endpoint is retired if its worker has restarted, moved or left the list, or drains. An update without a change retires no
// endpoint.
func TestOnEndpointRetired(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{})
	var retired []string
	engine.OnEndpointRetired(func(endpoint RetiredEndpoint) { retired = append(retired, endpoint.Address) })
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:1", 5))
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:1", 5))
	if len(retired) != 0 {
		t.Fatalf("an update without a change retired %v", retired)
	}
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:1", 6))    // restarted
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:2", 6))    // moved
	engine.UpdateEndpoints(listWith(dispatch.Draining, "h:2", 6)) // drains
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:3", 6))
	engine.UpdateEndpoints(EndpointList{Snapshot: true}) // left
	if got := len(retired); got != 5 || retired[4] != "h:3" {
		t.Fatalf("retired %v, want 5 endpoints, the last h:3", retired)
	}
	if available, synced := engine.Ready(); available || !synced {
		t.Fatalf("available %v, synced %v, want false and true", available, synced)
	}
}

// Discovery's version may restart from a lower number. The decision module would ignore a lower version as an outdated update.
func TestUpdateEndpoints_AcceptsLowerVersion(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(EndpointList{Version: 90, Snapshot: true, Stale: true})
	if _, synced := engine.Ready(); synced {
		t.Fatal("a stale list counts as synced")
	}
	engine.UpdateEndpoints(EndpointList{Version: 3, Snapshot: true})
	events := decider.eventsOf(dispatch.EndpointSnapshot)
	if len(events) != 2 || events[1].Version <= events[0].Version || !events[0].Stale || events[1].Stale {
		t.Fatalf("events %+v, want a stale list and then one with a higher version that is not stale", events)
	}
}
