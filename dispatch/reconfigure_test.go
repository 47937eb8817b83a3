package dispatch

import "testing"

// An open request keeps the class with which it arrived, and new requests get the new class. Here the idempotent class becomes
// non-idempotent.
func TestSettingsChanged_OpenRequestsKeepClass(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, fleet(3)...)
	old, actions := h.arrive(classIdempotent, 100*ms)
	if len(sendTargets(actions)) != 1 {
		t.Fatalf("got %v, want one send", actions)
	}
	s.Classes = []Class{s.Classes[classNonIdempotent], s.Classes[classIdempotent]}
	h.changeSettings(s, -1, classNonIdempotent) // the first class is new
	if actions := h.handle(Event{Kind: AttemptEnded, Request: old, Result: ResultFailed}); len(sendTargets(actions)) != 1 {
		t.Fatalf("got %v, want a retry of the idempotent request", actions)
	}
	newer, actions := h.arrive(0, 100*ms)
	if len(sendTargets(actions)) != 1 {
		t.Fatalf("got %v, want one send", actions)
	}
	if actions := h.handle(Event{Kind: AttemptEnded, Request: newer, Result: ResultFailed}); len(actions) != 1 || actions[0].Kind != Fail {
		t.Fatalf("got %v, want a failure of the non-idempotent request", actions)
	}
	if _, actions := h.arrive(2, 100*ms); len(actions) != 0 {
		t.Fatalf("got %v, want no action for a request of a removed class", actions)
	}
}

// The estimates of a class are kept under its name, whatever its new index.
func TestSettingsChanged_KeepsClassEstimates(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, fleet(1)...)
	h.dispatcher.classes[classDedupEverywhere].meanRun, h.dispatcher.classes[classDedupEverywhere].runCount = 12345, 9
	s.Classes = []Class{s.Classes[classDedupEverywhere], s.Classes[classNonIdempotent]}
	s.Classes[0].LatencyObjective++
	h.changeSettings(s, classDedupEverywhere, 77)
	if c := h.dispatcher.classes[0]; c.meanRun != 12345 || c.runCount != 9 || c.LatencyObjective != s.Classes[0].LatencyObjective {
		t.Errorf("class %+v, want the estimates kept and the new objective", c)
	}
	if c := h.dispatcher.classes[1]; c.meanRun != float64(c.LatencyObjective) || c.runCount != 0 {
		t.Errorf("class %+v, want the initial estimates: its old index is unknown", c)
	}
}

// A lower maximum of attempts applies to open requests immediately. A higher one applies only to requests that arrive later.
func TestSettingsChanged_FewerAttemptsApplyAtOnce(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, fleet(4)...)
	id, _ := h.arrive(classIdempotent, 100*ms)
	fewer := s
	fewer.MaxAttempts = 1
	h.changeSettings(fewer, 0, 1, 2, 3)
	if actions := h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultFailed}); len(actions) != 1 || actions[0].Kind != Reject {
		t.Fatalf("got %v after the only attempt, want a rejection", actions)
	}
	id, _ = h.arrive(classIdempotent, 100*ms)
	h.changeSettings(s, 0, 1, 2, 3)
	if actions := h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultFailed}); len(actions) != 1 || actions[0].Kind != Reject {
		t.Fatalf("got %v, want a rejection: the request arrived while one attempt was allowed", actions)
	}
	id, _ = h.arrive(classIdempotent, 100*ms)
	if actions := h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultFailed}); len(sendTargets(actions)) != 1 {
		t.Fatalf("got %v, want a retry: the request arrived after the change", actions)
	}
}

// A request that is queued for an attempt that is no longer allowed is answered immediately, as its idempotency allows.
func TestSettingsChanged_EndsQueuedWithoutAttempts(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, fleet(2)...)
	id, _ := h.arrive(classIdempotent, 100*ms)
	h.handle(Event{Kind: EndpointSnapshot, Version: 2}) // no worker remains
	if actions := h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultFailed}); len(actions) != 0 {
		t.Fatalf("got %v, want the request queued", actions)
	}
	second, actions := h.arrive(classIdempotent, 100*ms)
	if len(actions) != 0 {
		t.Fatalf("got %v, want the second request queued", actions)
	}
	s.MaxAttempts = 1
	if actions := h.changeSettings(s, 0, 1, 2, 3); len(actions) != 1 || actions[0].Kind != Reject || actions[0].Request != id {
		t.Fatalf("got %v, want request %d rejected, and not request %d, which has had no attempt", actions, id, second)
	}
}

// New zones and kinds are appended to the known ones, and the estimates of each worker's zone and kind are kept.
func TestSettingsChanged_KeepsZoneAndKindNumbers(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, Worker{ID: 0, Zone: 0, Kind: 1}, Worker{ID: 1, Zone: 5, Kind: 7})
	h.dispatcher.kinds[1].slowdown, h.dispatcher.kinds[2].slowdown = 3, 4
	h.dispatcher.zones[0].queueWait, h.dispatcher.zones[2].queueWait = 5, 6
	s.ZoneCount, s.KindCount, s.Zone = 4, 3, 3
	h.changeSettings(s, 0, 1, 2, 3)
	a, b := h.dispatcher.workers[0], h.dispatcher.workers[1]
	if a.kind.slowdown != 3 || b.kind.slowdown != 4 || h.dispatcher.zoneOf(a).queueWait != 5 || h.dispatcher.zoneOf(b).queueWait != 6 || len(h.dispatcher.readyInZone) != 0 {
		t.Fatalf("kinds %v and %v, zones %v and %v, want the slowdowns 3 and 4 and the queue waits 5 and 6 kept", a.kind, b.kind, h.dispatcher.zoneOf(a), h.dispatcher.zoneOf(b))
	}
	s.ZoneCount, s.KindCount, s.Zone = 1, 1, 0 // with fewer zones and kinds, the known ones are kept
	h.changeSettings(s, 0, 1, 2, 3)
	if h.dispatcher.settings.ZoneCount != 4 || len(h.dispatcher.zones) != 5 || len(h.dispatcher.readyInZone) != 1 || a.kind.slowdown != 3 {
		t.Fatalf("settings %+v, want 4 zones, one ready worker in the zone and the slowdown of the kind kept", h.dispatcher.settings)
	}
}

func TestSettingsChanged_IgnoresInvalid(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, fleet(1)...)
	h.handle(Event{Kind: SettingsChanged})
	for _, bad := range []func(*Settings){
		func(s *Settings) { s.Classes = nil },
		func(s *Settings) { s.MaxAttempts = 0 },
		func(s *Settings) { s.Zone = s.ZoneCount },
	} {
		b := s
		bad(&b)
		h.changeSettings(b, 0)
	}
	if h.dispatcher.settings.MaxAttempts != s.MaxAttempts || len(h.dispatcher.classes) != len(s.Classes) {
		t.Fatalf("settings %+v, want those from before the invalid ones", h.dispatcher.settings)
	}
}
