package engine

import (
	"fmt"
	"testing"
	"time"

	"birchfork/dispatch"
)

// The group's word and its lease, right before the first byte, whatever the module has ordered before.
func TestMaySend_FollowsRestrictionsAndLease(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	name := listWith(dispatch.Ready, "a:1", 0).Endpoints[0].Name
	all := map[string]bool{name: true}
	newAttempt := func(id string) *Attempt { return (<-mustOpen(t, engine, id).Decisions()).Attempt }
	check := func(what string, attempt *Attempt, maySend, needsLease bool) {
		t.Helper()
		if attempt.MaySend() != maySend || attempt.NeedsLease() != needsLease {
			t.Errorf("%s: clear %t, leased %t", what, attempt.MaySend(), attempt.NeedsLease())
		}
	}
	attempt := newAttempt("a")
	check("no group", attempt, true, false)
	engine.SetRestrictions(Restrictions{LeasedWorkers: all})
	check("no lease", attempt, false, true)
	if events := decider.eventsOf(dispatch.WorkerDisabled); len(events) != 1 {
		t.Errorf("the module was told %d times that it may not send there", len(events))
	}
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	check("a lease", attempt, true, true)
	engine.SetLeaseExpiry(time.Now().Add(-time.Nanosecond))
	check("a lease that has run out", attempt, false, true)
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	engine.SetRestrictions(Restrictions{LeasedWorkers: all, MaintenanceWorkers: all})
	check("taken out", attempt, false, true)
	engine.SetRestrictions(Restrictions{LeasedWorkers: all})
	check("back, and ordered before it was out", attempt, false, true)
	later := newAttempt("b")
	check("ordered since", later, true, true)
	engine.SetRestrictions(Restrictions{})
	check("the plan is through", later, true, false)
	engine.SetPlansUnknown(true)
	engine.SetLeaseExpiry(time.Time{})
	check("nothing is known of plans", later, false, true)
	if available, _ := engine.Ready(); available {
		t.Error("ready without a worker that it may use")
	}
	engine.SetPlansUnknown(false)
	check("they are", later, true, false)
}

// A worker that was out for want of a lease alone is as cold as its list says; one that was put back is cold from then.
func TestSetLeaseExpiry_KeepsStartTimes(t *testing.T) {
	for _, c := range []struct {
		name           string
		started        time.Duration // the list's start, ago
		overridden     bool          // by hand, while there is no lease
		minAge, maxAge time.Duration
	}{
		{"started lately", 3 * time.Second, false, 2 * time.Second, 4 * time.Second},
		{"put back meanwhile", time.Hour, true, 0, time.Second},
		{"started long ago", time.Hour, false, 59 * time.Minute, 61 * time.Minute},
	} {
		decider := &scriptedDecider{}
		engine := newEngine(t, decider)
		list := listWith(dispatch.Ready, "a:1", time.Now().Add(-c.started).UnixMilli())
		engine.UpdateEndpoints(list)
		name := list.Endpoints[0].Name
		engine.SetRestrictions(Restrictions{LeasedWorkers: map[string]bool{name: true}})
		if c.overridden {
			engine.ApplyOverrides(map[string]Override{name: {Disabled: true, At: time.Now().Add(-time.Second)}})
			engine.ApplyOverrides(map[string]Override{name: {At: time.Now()}})
		}
		engine.SetLeaseExpiry(time.Now().Add(time.Hour))
		events := decider.eventsOf(dispatch.WorkerEnabled)
		if len(events) != 1 {
			t.Fatalf("%s: put back %d times", c.name, len(events))
		}
		if age := time.Duration(events[0].Elapsed) * time.Microsecond; age < c.minAge || age > c.maxAge {
			t.Errorf("%s: counts as started %v ago", c.name, age)
		}
	}
}

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

// Where nothing is known of plans the module hears that it may not use a worker before it hears of the worker; and that a
// lease has run out though nobody says so.
func TestSetLeaseExpiry_TellsDecider(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	engine.SetPlansUnknown(true)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	if len(decider.events) < 2 || decider.events[0].Kind != dispatch.WorkerDisabled || decider.events[1].Kind != dispatch.EndpointUpdate {
		t.Errorf("it heard %+v", decider.events)
	}
	engine.SetLeaseExpiry(time.Now().Add(2 * time.Millisecond))
	before := len(decider.eventsOf(dispatch.WorkerDisabled))
	time.Sleep(3 * time.Millisecond)
	engine.Heartbeat()
	if n := len(decider.eventsOf(dispatch.WorkerDisabled)); n != before+1 {
		t.Errorf("told %d times of a lease that has run out", n-before)
	}
}

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

// A client's time does not stretch an attempt over what the group waits for, and a shorter one counts.
func TestSetMaxAttemptDuration_BoundsDeadline(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	for i, c := range []struct{ timeLeft, bound, want time.Duration }{
		{time.Hour, 0, time.Hour}, {time.Hour, time.Minute, time.Minute}, {time.Second, time.Minute, time.Second},
	} {
		engine.SetMaxAttemptDuration(c.bound)
		spec := specOf(fmt.Sprint(i))
		spec.TimeLeft = c.timeLeft
		request, err := engine.Open(spec)
		if err != nil {
			t.Fatal(err)
		}
		end, _ := (<-request.Decisions()).Attempt.Context().Deadline()
		if left := time.Until(end); left > c.want || left < c.want-time.Second/2 {
			t.Errorf("%+v: it ends in %v", c, left)
		}
		request.Close()
	}
}
