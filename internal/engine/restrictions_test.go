package engine

import (
	"fmt"
	"testing"
	"time"

	"birchfork/dispatch"
)

// busyWorkerNames returns the names of BusyWorkers alone.
func busyWorkerNames(e *Engine) []string {
	names, _ := e.BusyWorkers()
	return names
}

// At a host under maintenance nothing is sent to a worker with another name either, and what runs at a worker that has moved away
// counts for the host where it runs.
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
		t.Errorf("needs the lease %t, may send %t", attempt.NeedsLease(), attempt.MaySend())
	}
	engine.SetRestrictions(Restrictions{LeasedHosts: map[string]bool{"h0": true}, MaintenanceHosts: map[string]bool{"h0": true}})
	engine.UpdateEndpoints(EndpointList{Version: 2, Snapshot: true, Endpoints: []Endpoint{endpoint("old", "h1:1"), endpoint("new", "h0:1")}})
	if names, hosts := engine.BusyWorkers(); fmt.Sprint(names, hosts) != "[] [h0]" {
		t.Errorf("busy are %v at %v", names, hosts) // old is now at a host of no plan; its attempt is not
	}
	engine.SetRestrictions(Restrictions{LeasedHosts: map[string]bool{"h0": true, "h1": true}, MaintenanceHosts: map[string]bool{"h0": true}})
	if names, hosts := engine.BusyWorkers(); fmt.Sprint(names, hosts) != "[old] [h0 h1]" {
		t.Errorf("busy are %v at %v", names, hosts)
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
		t.Errorf("the decision module may not use %v, want %d alone", excluded, id)
	}
}

// A worker of a plan is busy while a request runs there, or may still run; not once it is known to have ended.
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
			t.Error("a worker of no plan is busy")
		}
		engine.SetRestrictions(Restrictions{LeasedWorkers: map[string]bool{name: true}})
		if len(busyWorkerNames(engine)) != 1 {
			t.Error("a worker with an attempt in flight is not busy")
		}
		attempt.Finish(result, nil)
		if (len(busyWorkerNames(engine)) == 1) != busy {
			t.Errorf("%v: busy %v", result, busyWorkerNames(engine))
		}
	}
}
