package engine

import (
	"fmt"
	"testing"
	"time"

	"birchfork/dispatch"
)

func busyWorkerNames(e *Engine) []string {
	names, _ := e.BusyWorkers()
	return names
}

// At a host that is taken out nothing goes to a worker of another name either, and what ran at a worker that has moved away
// counts for the host where it ran.
func TestSetRestrictions_BindsHosts(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	endpoint := func(name, address string) Endpoint {
		return Endpoint{Name: name, Address: address, Zone: "a", Kind: "big", State: dispatch.Ready}
	}
	engine.UpdateEndpoints(EndpointList{Version: 1, Snapshot: true, Endpoints: []Endpoint{endpoint("old", "h0:1")}})
	engine.SetRestrictions(Restrictions{LeasedHosts: map[string]bool{"h0": true}})
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	attempt := (<-mustOpen(t, engine, "a").Decisions()).Attempt
	if !attempt.NeedsLease() || !attempt.MaySend() {
		t.Errorf("leased %t, clear %t", attempt.NeedsLease(), attempt.MaySend())
	}
	engine.SetRestrictions(Restrictions{LeasedHosts: map[string]bool{"h0": true}, MaintenanceHosts: map[string]bool{"h0": true}})
	engine.UpdateEndpoints(EndpointList{Version: 2, Snapshot: true, Endpoints: []Endpoint{endpoint("old", "h1:1"), endpoint("new", "h0:1")}})
	if names, hosts := engine.BusyWorkers(); fmt.Sprint(names, hosts) != "[] [h0]" {
		t.Errorf("busy are %v at %v", names, hosts) // old is at a host of no plan now, not so its attempt
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
		t.Errorf("the module may not use %v, want %d alone", excluded, id)
	}
}

// What runs, or may run still, at a worker of a plan is told; what is known to be over is not.
func TestBusyWorkers_UntilAttemptsAreOver(t *testing.T) {
	for result, busy := range map[dispatch.Result]bool{
		dispatch.ResultOK: false, dispatch.ResultFailed: false, dispatch.ResultOverloaded: false, dispatch.ResultNotSent: false, dispatch.ResultUnreachable: false,
		dispatch.ResultTimedOut: true, dispatch.ResultCancelled: true, dispatch.ResultDisconnected: true,
	} {
		decider := &scriptedDecider{respond: sendToFirstWorker}
		engine := newEngine(t, decider)
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
		name := listWith(dispatch.Ready, "a:1", 0).Endpoints[0].Name
		attempt := (<-mustOpen(t, engine, "a").Decisions()).Attempt
		if len(busyWorkerNames(engine)) != 0 {
			t.Error("a worker of no plan is told of")
		}
		engine.SetRestrictions(Restrictions{LeasedWorkers: map[string]bool{name: true}})
		if len(busyWorkerNames(engine)) != 1 {
			t.Error("an attempt that is out is not told of")
		}
		attempt.Finish(result, nil)
		if (len(busyWorkerNames(engine)) == 1) != busy {
			t.Errorf("%v: busy %v", result, busyWorkerNames(engine))
		}
	}
}
