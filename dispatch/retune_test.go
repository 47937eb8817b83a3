package dispatch

import "testing"

func (k *desk) retune(s Settings, classes ...int) []Action {
	return k.do(Event{Kind: Retuned, Settings: &s, Classes: classes})
}

// A job keeps the class that it came under, and new ones have the new: here a safe class turns into an unsafe one.
func TestJobsUnderWayKeepTheirClass(t *testing.T) {
	s := settings()
	k := newDesk(t, s, fleet(3)...)
	old, acts := k.land(safe, 100*ms)
	if len(sentTo(acts)) != 1 {
		t.Fatalf("%v", acts)
	}
	s.Classes = []Class{s.Classes[unsafe], s.Classes[safe]}
	k.retune(s, -1, unsafe) // the first is new under its name
	if acts := k.do(Event{Kind: Ended, Request: old, Result: Failed}); len(sentTo(acts)) != 1 {
		t.Fatalf("a safe job was not repeated: %v", acts)
	}
	young, acts := k.land(0, 100*ms)
	if len(sentTo(acts)) != 1 {
		t.Fatalf("%v", acts)
	}
	if acts := k.do(Event{Kind: Ended, Request: young, Result: Failed}); len(acts) != 1 || acts[0].Kind != GiveUp {
		t.Fatalf("an unsafe job that failed: %v", acts)
	}
	if _, acts := k.land(2, 100*ms); len(acts) != 0 {
		t.Fatalf("a class that is gone: %v", acts)
	}
}

// What a class has learned goes on under its name, wherever it stands now.
func TestWhatAClassLearnedGoesOn(t *testing.T) {
	s := settings()
	k := newDesk(t, s, fleet(1)...)
	k.d.classes[keyedAll].run, k.d.classes[keyedAll].runs = 12345, 9
	s.Classes = []Class{s.Classes[keyedAll], s.Classes[unsafe]}
	s.Classes[0].Aim++
	k.retune(s, keyedAll, 77)
	if c := k.d.classes[0]; c.run != 12345 || c.runs != 9 || c.Aim != s.Classes[0].Aim {
		t.Errorf("%+v", c)
	}
	if c := k.d.classes[1]; c.run != float64(c.Aim) || c.runs != 0 {
		t.Errorf("a class from nowhere: %+v", c)
	}
}

// Fewer attempts bind jobs under way at once; more bind only those that come.
func TestFewerAttemptsBindAtOnce(t *testing.T) {
	s := settings()
	k := newDesk(t, s, fleet(4)...)
	id, _ := k.land(safe, 100*ms)
	few := s
	few.MaxAttempts = 1
	k.retune(few, 0, 1, 2, 3)
	if acts := k.do(Event{Kind: Ended, Request: id, Result: Failed}); len(acts) != 1 || acts[0].Kind != Refuse {
		t.Fatalf("after its only attempt: %v", acts)
	}
	id, _ = k.land(safe, 100*ms)
	k.retune(s, 0, 1, 2, 3)
	if acts := k.do(Event{Kind: Ended, Request: id, Result: Failed}); len(acts) != 1 || acts[0].Kind != Refuse {
		t.Fatalf("one that came while one attempt was allowed: %v", acts)
	}
	id, _ = k.land(safe, 100*ms)
	if acts := k.do(Event{Kind: Ended, Request: id, Result: Failed}); len(sentTo(acts)) != 1 {
		t.Fatalf("one that came since: %v", acts)
	}
}

// A job that is held for an attempt that it may not make any more ends at once, as its effect allows.
func TestHeldJobsWithoutAnAttemptLeftEnd(t *testing.T) {
	s := settings()
	k := newDesk(t, s, fleet(2)...)
	id, _ := k.land(safe, 100*ms)
	k.do(Event{Kind: ListSnapshot, Version: 2}) // nobody to send to
	if acts := k.do(Event{Kind: Ended, Request: id, Result: Failed}); len(acts) != 0 {
		t.Fatalf("it is not held: %v", acts)
	}
	fresh, acts := k.land(safe, 100*ms)
	if len(acts) != 0 {
		t.Fatalf("%v", acts)
	}
	s.MaxAttempts = 1
	if acts := k.retune(s, 0, 1, 2, 3); len(acts) != 1 || acts[0].Kind != Refuse || acts[0].Request != id {
		t.Fatalf("%v, want the end of %d alone and not of %d, which has made none", acts, id, fresh)
	}
}

// New zones and kinds come behind those that are known, and each worker stays with what its own have shown.
func TestZonesAndKindsKeepTheirNumbers(t *testing.T) {
	s := settings()
	k := newDesk(t, s, Worker{ID: 0, Zone: 0, Kind: 1}, Worker{ID: 1, Zone: 5, Kind: 7})
	k.d.kinds[1].pace, k.d.kinds[2].pace = 3, 4
	k.d.zones[0].wait, k.d.zones[2].wait = 5, 6
	s.Zones, s.Kinds, s.Zone = 4, 3, 3
	k.retune(s, 0, 1, 2, 3)
	a, b := k.d.workers[0], k.d.workers[1]
	if a.kind.pace != 3 || b.kind.pace != 4 || k.d.zone(a).wait != 5 || k.d.zone(b).wait != 6 || len(k.d.near) != 0 {
		t.Fatalf("%v %v %v %v", a.kind, b.kind, k.d.zone(a), k.d.zone(b))
	}
	s.Zones, s.Kinds, s.Zone = 1, 1, 0 // fewer are named: those that are known stay
	k.retune(s, 0, 1, 2, 3)
	if k.d.s.Zones != 4 || len(k.d.zones) != 5 || len(k.d.near) != 1 || a.kind.pace != 3 {
		t.Fatalf("%+v", k.d.s)
	}
}

func TestSettingsThatMakeNoSenseArePassedOver(t *testing.T) {
	s := settings()
	k := newDesk(t, s, fleet(1)...)
	k.do(Event{Kind: Retuned})
	for _, bad := range []func(*Settings){
		func(s *Settings) { s.Classes = nil },
		func(s *Settings) { s.MaxAttempts = 0 },
		func(s *Settings) { s.Zone = s.Zones },
	} {
		b := s
		bad(&b)
		k.retune(b, 0)
	}
	if k.d.s.MaxAttempts != s.MaxAttempts || len(k.d.classes) != len(s.Classes) {
		t.Fatalf("%+v", k.d.s)
	}
}
