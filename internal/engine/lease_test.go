package engine

import (
	"testing"
	"time"

	"birchfork/dispatch"
)

// The group's restrictions and its lease apply right before the first byte, whatever the decision module has ordered before.
func TestMaySend_FollowsRestrictionsAndLease(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	name := listWith(dispatch.Ready, "a:1", 0).Endpoints[0].Name
	all := map[string]bool{name: true}
	newAttempt := func(id string) *Attempt { return mustStart(t, engine, id) }
	check := func(what string, attempt *Attempt, maySend, needsLease bool) {
		t.Helper()
		if attempt.MaySend() != maySend || attempt.NeedsLease() != needsLease {
			t.Errorf("%s: may send %t, needs the lease %t", what, attempt.MaySend(), attempt.NeedsLease())
		}
	}
	attempt := newAttempt("a")
	check("no group", attempt, true, false)
	engine.SetRestrictions(Restrictions{LeasedWorkers: all})
	check("no lease", attempt, false, true)
	if events := decider.eventsOf(dispatch.WorkerDisabled); len(events) != 1 {
		t.Errorf("the decision module was notified %d times that it may not send there", len(events))
	}
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	check("a lease", attempt, true, true)
	engine.SetLeaseExpiry(time.Now().Add(-time.Nanosecond))
	check("a lease that has run out", attempt, false, true)
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	engine.SetRestrictions(Restrictions{LeasedWorkers: all, MaintenanceWorkers: all})
	check("under maintenance", attempt, false, true)
	engine.SetRestrictions(Restrictions{LeasedWorkers: all})
	check("back, and ordered before the maintenance", attempt, false, true)
	later := newAttempt("b")
	check("ordered since", later, true, true)
	engine.SetRestrictions(Restrictions{})
	check("the plan has ended", later, true, false)
	engine.SetPlansUnknown(true)
	engine.SetLeaseExpiry(time.Time{})
	check("plans unknown", later, false, true)
	if available, _ := engine.Ready(); available {
		t.Error("ready without a worker that it may use")
	}
	engine.SetPlansUnknown(false)
	check("plans known", later, true, false)
}

// A worker that was excluded only for lack of the lease warms up from its listed start; one that was enabled by an override, from
// then on.
func TestSetLeaseExpiry_KeepsStartTimes(t *testing.T) {
	for _, c := range []struct {
		name           string
		started        time.Duration // listed start, as time before now
		overridden     bool          // disabled and enabled while the lease has expired
		minAge, maxAge time.Duration
	}{
		{"started lately", 3 * time.Second, false, 2 * time.Second, 4 * time.Second},
		{"enabled meanwhile", time.Hour, true, 0, time.Second},
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
			t.Fatalf("%s: enabled %d times", c.name, len(events))
		}
		if age := time.Duration(events[0].Elapsed) * time.Microsecond; age < c.minAge || age > c.maxAge {
			t.Errorf("%s: counts as started %v ago", c.name, age)
		}
	}
}

// If plans are unknown, the decision module is notified that it must not use a worker before it is notified of the worker. It is
// also notified when a lease expires.
func TestSetLeaseExpiry_NotifiesDecider(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	engine.SetPlansUnknown(true)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	if len(decider.events) < 2 || decider.events[0].Kind != dispatch.WorkerDisabled || decider.events[1].Kind != dispatch.EndpointUpdate {
		t.Errorf("events %+v", decider.events)
	}
	engine.SetLeaseExpiry(time.Now().Add(2 * time.Millisecond))
	before := decider.count(dispatch.WorkerDisabled)
	time.Sleep(3 * time.Millisecond)
	engine.Heartbeat()
	if n := decider.count(dispatch.WorkerDisabled); n != before+1 {
		t.Errorf("notified %d times of a lease that has run out", n-before)
	}
}
