package dispatch

import "testing"

func TestHedging_OffBySettings(t *testing.T) {
	s := testSettings()
	s.CanHedge = false
	h := newHarness(t, s, fleet(3)...)
	id, _ := h.arriveAndSend(classIdempotent, 3*Second)
	h.start(id, 0)
	if actions := h.wait(4 * Second); countKind(actions, Send) != 0 {
		t.Fatalf("got %v, want no second attempt", actions)
	}
}

func TestHedging_FirstStartCancelsOther(t *testing.T) {
	h := newHarness(t, hedgingSettings(), fleet(6)...)
	id, first := h.arriveAndSend(classIdempotent, 100*ms)
	actions := h.wait(2*initialStartDelay + hedgeStartSlack + candidateInterval)
	if countKind(actions, Send) != 1 || actions[0].Request != id || actions[0].Worker == first {
		t.Fatalf("got %v, want the waiting request sent to a second worker", actions)
	}
	wantKinds(t, h.start(id, 1), Cancel)
	if actions = h.end(id, 0, ResultCancelled); countKind(actions, Send) != 0 {
		t.Fatalf("got %v after the second attempt started, want no send", actions)
	}
	wantKinds(t, h.end(id, 1, ResultOK))
}

func TestHedging_UsesAllAttemptsTwoAtATime(t *testing.T) {
	h := newHarness(t, hedgingSettings(), fleet(8)...)
	id, _ := h.arriveAndSend(classIdempotent, 100*ms)
	sends, inFlight := 1, 1
	for range 100 {
		for _, a := range h.wait(5 * ms) {
			switch a.Kind {
			case Send:
				sends++
				inFlight++
			case Cancel:
				inFlight--
				for _, b := range h.end(id, a.Attempt, ResultCancelled) {
					if b.Kind == Send {
						sends++
						inFlight++
					}
				}
			}
		}
		if inFlight > 2 {
			t.Fatalf("%d attempts in flight, want at most two", inFlight)
		}
	}
	if sends != h.dispatcher.settings.MaxAttempts {
		t.Fatalf("%d attempts, want the maximum %d", sends, h.dispatcher.settings.MaxAttempts)
	}
}

func TestHedging_OffWhereWasteIsExpensiveOrNonIdempotent(t *testing.T) {
	expensive := hedgingSettings()
	expensive.PriceWaste = 0.2
	for _, c := range []struct {
		s     Settings
		class int
	}{{expensive, classIdempotent}, {hedgingSettings(), classNonIdempotent}} {
		h := newHarness(t, c.s, fleet(6)...)
		h.arriveAndSend(c.class, 100*ms)
		if actions := h.wait(400 * ms); countKind(actions, Send) != 0 {
			t.Errorf("class %d: got %v, want no hedge", c.class, actions)
		}
	}
}

// Guards against workers that continue to run requests of disconnected clients. The slot is in use until the end of the attempt is
// reported.
func TestCancel_AfterRequestAbandoned(t *testing.T) {
	for _, class := range []int{classIdempotent, classNonIdempotent} {
		h := newHarness(t, hedgingSettings(), fleet(3)...)
		id, w := h.arriveAndSend(class, 100*ms)
		h.start(id, 0)
		wantKinds(t, h.handle(Event{Kind: RequestAbandoned, Request: id}), Cancel)
		if h.worker(w).slotsInUse != 1 {
			t.Errorf("class %d: the slot is free before the attempt has ended", class)
		}
		wantKinds(t, h.handle(Event{Kind: RequestAbandoned, Request: id}))
		wantKinds(t, h.end(id, 0, ResultCancelled))
		if h.worker(w).slotsInUse != 0 || h.dispatcher.request(id) != nil || h.worker(w).failureRate != 0 {
			t.Errorf("class %d: the cancelled request left a slot in use, an open request or a failure behind", class)
		}
	}
	s := hedgingSettings()
	s.PriceWaste = 0.2 // cancellations may have no effect, and the number of running requests would be underestimated
	h := newHarness(t, s, fleet(3)...)
	id, _ := h.arriveAndSend(classIdempotent, 100*ms)
	wantKinds(t, h.handle(Event{Kind: RequestAbandoned, Request: id}))
}

func TestCancel_RequestThatExpiresAtObjective(t *testing.T) {
	h := newHarness(t, hedgingSettings(), fleet(1)...)
	h.arriveAndSend(classNonIdempotent, 100*ms)
	actions := h.wait(Second)
	wantKinds(t, actions, Fail, Cancel)
}

func TestHedging_OffWhereFetchIsExpensive(t *testing.T) {
	s := hedgingSettings()
	s.PriceFetch = 0.1
	h := newHarness(t, s, fleet(6)...)
	h.arriveAndSend(classIdempotent, 100*ms)
	if actions := h.wait(300 * ms); countKind(actions, Send)+countKind(actions, Cancel) != 0 {
		t.Errorf("got %v, want neither a hedge nor a cancellation", actions)
	}
}

func TestMigration_CancelsBeforeResend(t *testing.T) {
	for _, class := range []int{classIdempotent, classDedupEverywhere} {
		h := newHarness(t, migrationSettings(), fleet(12)...)
		id, first := h.arriveAndSend(class, 100*ms)
		wantKinds(t, h.wait(2*initialStartDelay+hedgeStartSlack+ms), Cancel)
		actions := append(h.end(id, 0, ResultCancelled), h.wait(candidateInterval+ms)...)
		if countKind(actions, Send) != 1 || actions[0].Worker == first {
			t.Fatalf("class %d: got %v, want a send to another worker", class, actions)
		}
		wantKinds(t, h.start(id, 1))
		if actions = h.wait(200 * ms); len(actions) != 0 {
			t.Fatalf("class %d: got %v while the request is running, want no actions", class, actions)
		}
	}
	h := newHarness(t, migrationSettings(), fleet(12)...)
	h.arriveAndSend(classNonIdempotent, 100*ms)
	if actions := h.wait(300 * ms); len(actions) != 0 {
		t.Errorf("got %v for a non-idempotent request, want no migration", actions)
	}
}

// Guards against migrations that use up the limited number of attempts: five migrations within 80 ms left 467 requests of one run in
// the queue that they had joined last.
func TestMigration_DelayIncreases(t *testing.T) {
	h := newHarness(t, migrationSettings(), fleet(12)...)
	id, _ := h.arriveAndSend(classIdempotent, 300*ms)
	var waits []Time
	for len(waits) < 3 {
		actions := h.wait(ms)
		for _, a := range actions {
			if a.Kind != Cancel {
				continue
			}
			waits = append(waits, h.now-h.dispatcher.request(id).attempts[a.Attempt].sentAt)
			if actions := append(h.end(id, a.Attempt, ResultCancelled), h.wait(candidateInterval+ms)...); countKind(actions, Send) != 1 {
				t.Fatalf("migration %d: got %v, want one send", len(waits), actions)
			}
		}
		if h.now > 110*Second {
			t.Fatalf("only %d migrations within 10 s, want 3", len(waits))
		}
	}
	for i := range waits[1:] {
		if waits[i+1] < waits[i]+hedgeStartSlack/2 {
			t.Errorf("delays %v before the migrations, want each longer than the previous one", waits)
		}
	}
}

func TestMigration_DelayIsBounded(t *testing.T) {
	h := newHarness(t, migrationSettings(), fleet(2)...)
	r := &request{class: &h.dispatcher.classes[classIdempotent], maxAttempts: 4, attempts: make([]attempt, 80)}
	if wait := h.dispatcher.maxUnqueuedStartDelay(r, h.dispatcher.workers[0]); wait < Second {
		t.Errorf("delay %v at the 80th attempt, want at least 1 s: the shift overflowed", wait)
	}
}
