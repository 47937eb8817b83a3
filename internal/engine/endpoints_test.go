package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// A start that is converted again with every update would move with the wall clock, and a different start is a restart.
func TestUpdateEndpoints_ConvertsStartTimesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{}
		engine := newEngine(t, decider)
		startedAtMillis := time.Now().Add(-3 * time.Second).UnixMilli()
		engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", startedAtMillis))
		engine.epoch += 3600 * dispatch.Second // as if the wall clock had been set
		engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", startedAtMillis))
		engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 0))
		events := decider.eventsOf(dispatch.EndpointUpdate)
		age := decider.times[0] - events[0].Workers[0].StartedAt
		if age < 3*dispatch.Second || age > 3*dispatch.Second+2*dispatch.Millisecond {
			t.Errorf("a worker started 3 s ago counts as started %v us ago", age)
		}
		if events[0].Workers[0].StartedAt != events[1].Workers[0].StartedAt || events[2].Workers[0].StartedAt != 0 {
			t.Errorf("starts %v, %v, %v", events[0].Workers[0].StartedAt, events[1].Workers[0].StartedAt, events[2].Workers[0].StartedAt)
		}
	})
}

// Connections are of no use any more if a worker has restarted, moved or left, or drains; an update without a change retires
// none.
func TestOnEndpointRetired(t *testing.T) {
	engine := newEngine(t, &scriptedDecider{})
	var retired []string
	engine.OnEndpointRetired(func(endpoint RetiredEndpoint) { retired = append(retired, endpoint.Address) })
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:1", 5))
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:1", 5))
	if len(retired) != 0 {
		t.Fatalf("retired %v for no change", retired)
	}
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:1", 6))    // restarted
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:2", 6))    // moved
	engine.UpdateEndpoints(listWith(dispatch.Draining, "h:2", 6)) // drains
	engine.UpdateEndpoints(listWith(dispatch.Ready, "h:3", 6))
	engine.UpdateEndpoints(EndpointList{Snapshot: true}) // left
	if got := len(retired); got != 5 || retired[4] != "h:3" {
		t.Fatalf("retired %v", retired)
	}
	if available, synced := engine.Ready(); available || !synced {
		t.Fatalf("available %v, synced %v", available, synced)
	}
}

// Discovery's version may restart from a lower number; the decision module would take a lower one for a late update.
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
		t.Fatalf("events %+v", events)
	}
}
