package engine

import (
	"fmt"
	"testing"
	"time"

	"birchfork/dispatch"
)

// busyWorkerNames returns only the names from BusyWorkers.
func busyWorkerNames(e *Engine) []string {
	names, _ := e.BusyWorkers()
	return names
}

// Restrictions by host apply to every worker that is listed there, whatever its name. A request that runs at a worker which has moved
// to another host still counts as running at the former host.
func TestSetRestrictions_AppliesToHosts(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	endpoint := func(name, address string) Endpoint {
		return Endpoint{Name: name, Address: address, Zone: "a", Kind: "big", State: dispatch.Ready}
	}
	engine.UpdateEndpoints(EndpointList{Version: 1, Snapshot: true, Endpoints: []Endpoint{endpoint("old", "h0:1")}})
	engine.SetRestrictions(Restrictions{LeasedHosts: map[string]bool{"h0": true}})
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	attempt := mustStart(t, engine, "a")
	if !attempt.NeedsLease() || !attempt.MaySend() {
		t.Errorf("NeedsLease %t, MaySend %t, want true for both", attempt.NeedsLease(), attempt.MaySend())
	}
	engine.SetRestrictions(Restrictions{LeasedHosts: map[string]bool{"h0": true}, MaintenanceHosts: map[string]bool{"h0": true}})
	engine.UpdateEndpoints(EndpointList{Version: 2, Snapshot: true, Endpoints: []Endpoint{endpoint("old", "h1:1"), endpoint("new", "h0:1")}})
	if names, hosts := engine.BusyWorkers(); fmt.Sprint(names, hosts) != "[] [h0]" {
		t.Errorf("busy workers %v, hosts %v, want only h0", names, hosts) // old is now at an unrestricted host, its attempt still runs at h0
	}
	engine.SetRestrictions(Restrictions{LeasedHosts: map[string]bool{"h0": true, "h1": true}, MaintenanceHosts: map[string]bool{"h0": true}})
	if names, hosts := engine.BusyWorkers(); fmt.Sprint(names, hosts) != "[old] [h0 h1]" {
		t.Errorf("busy workers %v, hosts %v, want old at h0 and h1", names, hosts)
	}
	excluded := map[dispatch.WorkerID]bool{}
	for _, event := range decider.events {
		switch event.Kind {
		case dispatch.WorkerDisabled:
			excluded[event.Worker] = true
		case dispatch.WorkerEnabled:
			delete(excluded, event.Worker)
		}
	}
	id, _ := engine.names.FindWorker("new")
	if len(excluded) != 1 || !excluded[id] {
		t.Errorf("excluded workers %v, want only %d", excluded, id)
	}
}

// A worker of a plan is busy until it is known that no request of this dispatcher is running there any more.
func TestBusyWorkers_UntilRequestsEnd(t *testing.T) {
	for result, busy := range map[dispatch.Result]bool{
		dispatch.ResultOK:           false,
		dispatch.ResultFailed:       false,
		dispatch.ResultOverloaded:   false,
		dispatch.ResultNotSent:      false,
		dispatch.ResultUnreachable:  false,
		dispatch.ResultTimedOut:     true,
		dispatch.ResultCancelled:    true,
		dispatch.ResultDisconnected: true,
	} {
		decider := &scriptedDecider{respond: sendToFirstWorker}
		engine := newEngine(t, decider)
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
		name := listWith(dispatch.Ready, "a:1", 0).Endpoints[0].Name
		attempt := mustStart(t, engine, "a")
		if len(busyWorkerNames(engine)) != 0 {
			t.Error("a worker that is not part of a plan is busy")
		}
		engine.SetRestrictions(Restrictions{LeasedWorkers: map[string]bool{name: true}})
		if len(busyWorkerNames(engine)) != 1 {
			t.Error("a worker with an attempt in flight is not busy")
		}
		attempt.Finish(result, nil)
		if (len(busyWorkerNames(engine)) == 1) != busy {
			t.Errorf("result %v: busy workers %v, want the worker busy: %t", result, busyWorkerNames(engine), busy)
		}
	}
}
