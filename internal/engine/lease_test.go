package engine

import (
	"testing"
	"time"

	"birchfork/dispatch"
)

// MaySend checks the group's restrictions and lease immediately before the first byte, whatever attempts the decision module has
// requested before.
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
			t.Errorf("%s: MaySend %t, NeedsLease %t, want %t and %t", what, attempt.MaySend(), attempt.NeedsLease(), maySend, needsLease)
		}
	}
	attempt := newAttempt("a")
	check("no group", attempt, true, false)
	engine.SetRestrictions(Restrictions{LeasedWorkers: all})
	check("no lease", attempt, false, true)
	if events := decider.eventsOf(dispatch.WorkerDisabled); len(events) != 1 {
		t.Errorf("%d WorkerDisabled events, want 1", len(events))
	}
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	check("valid lease", attempt, true, true)
	engine.SetLeaseExpiry(time.Now().Add(-time.Nanosecond))
	check("expired lease", attempt, false, true)
	engine.SetLeaseExpiry(time.Now().Add(time.Hour))
	engine.SetRestrictions(Restrictions{LeasedWorkers: all, MaintenanceWorkers: all})
	check("under maintenance", attempt, false, true)
	engine.SetRestrictions(Restrictions{LeasedWorkers: all})
	check("after the maintenance, attempt started before", attempt, false, true)
	later := newAttempt("b")
	check("after the maintenance, attempt started afterwards", later, true, true)
	engine.SetRestrictions(Restrictions{})
	check("after the end of the plan", later, true, false)
	engine.SetPlansUnknown(true)
	engine.SetLeaseExpiry(time.Time{})
	check("plans unknown", later, false, true)
	if available, _ := engine.Ready(); available {
		t.Error("the engine is ready without a usable worker")
	}
	engine.SetPlansUnknown(false)
	check("plans known", later, true, false)
}

// A worker that was excluded only because the lease had expired counts as started at its listed start. A worker that was enabled by
// an override meanwhile counts as started at that time.
func TestSetLeaseExpiry_KeepsStartTimes(t *testing.T) {
	for _, c := range []struct {
		name           string
		started        time.Duration // age of the listed start
		overridden     bool          // disabled and enabled while the lease has expired
		minAge, maxAge time.Duration
	}{
		{"started recently", 3 * time.Second, false, 2 * time.Second, 4 * time.Second},
		{"enabled by override", time.Hour, true, 0, time.Second},
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
			t.Fatalf("%s: %d WorkerEnabled events, want 1", c.name, len(events))
		}
		if age := time.Duration(events[0].Elapsed) * time.Microsecond; age < c.minAge || age > c.maxAge {
			t.Errorf("%s: worker age %v, want %v to %v", c.name, age, c.minAge, c.maxAge)
		}
	}
}

// While plans are unknown, the decision module is notified of a worker's exclusion before it receives the endpoint update with the
// worker. It is also notified when the lease expires.
func TestSetLeaseExpiry_NotifiesDecider(t *testing.T) {
	decider := &scriptedDecider{}
	engine := newEngine(t, decider)
	engine.SetPlansUnknown(true)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	if len(decider.events) < 2 || decider.events[0].Kind != dispatch.WorkerDisabled || decider.events[1].Kind != dispatch.EndpointUpdate {
		t.Errorf("events %+v, want WorkerDisabled before EndpointUpdate", decider.events)
	}
	engine.SetLeaseExpiry(time.Now().Add(2 * time.Millisecond))
	before := decider.count(dispatch.WorkerDisabled)
	time.Sleep(3 * time.Millisecond)
	engine.Heartbeat()
	if n := decider.count(dispatch.WorkerDisabled); n != before+1 {
		t.Errorf("%d WorkerDisabled events for an expired lease, want 1", n-before)
	}
}
