package dispatch

import "testing"

func TestHedging_OffBySettings(t *testing.T) {
	s := testSettings()
	s.CanHedge = false
	h := newHarness(t, s, fleet(3)...)
	id, _ := h.arriveAndSend(classIdempotent, 3*Second)
	h.start(id, 0)
	if actions := h.wait(4 * Second); countKind(actions, Send) != 0 {
		t.Fatalf("got %v, want no send beside the first attempt", actions)
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
		t.Fatalf("got %v after the start", actions)
	}
	wantKinds(t, h.end(id, 1, ResultOK))
}

func TestHedging_MovesOnWhileAttemptsLast(t *testing.T) {
	h := newHarness(t, hedgingSettings(), fleet(8)...)
	id, _ := h.arriveAndSend(classIdempotent, 100*ms)
	sends, out := 1, 1
	for range 100 {
		for _, a := range h.wait(5 * ms) {
			switch a.Kind {
			case Send:
				sends++
				out++
			case Cancel:
				out--
				for _, b := range h.end(id, a.Attempt, ResultCancelled) {
					if b.Kind == Send {
						sends++
						out++
					}
				}
			}
		}
		if out > 2 {
			t.Fatalf("%d attempts in flight at once", out)
		}
	}
	if sends != h.dispatcher.settings.MaxAttempts {
		t.Fatalf("%d attempts, want all %d", sends, h.dispatcher.settings.MaxAttempts)
	}
}

func TestHedging_OffWhereWasteIsDearOrNonIdempotent(t *testing.T) {
	dear := hedgingSettings()
	dear.PriceWaste = 0.2
	for _, c := range []struct {
		s     Settings
		class int
	}{{dear, classIdempotent}, {hedgingSettings(), classNonIdempotent}} {
		h := newHarness(t, c.s, fleet(6)...)
		h.arriveAndSend(c.class, 100*ms)
		if actions := h.wait(400 * ms); countKind(actions, Send) != 0 {
			t.Errorf("class %d: got %v", c.class, actions)
		}
	}
}

// A worker must not continue for a client that has disconnected. The slot is in use until the attempt's end is reported.
func TestCancel_AfterRequestAbandoned(t *testing.T) {
	for _, class := range []int{classIdempotent, classNonIdempotent} {
		h := newHarness(t, hedgingSettings(), fleet(3)...)
		id, w := h.arriveAndSend(class, 100*ms)
		h.start(id, 0)
		wantKinds(t, h.handle(Event{Kind: RequestAbandoned, Request: id}), Cancel)
		if h.worker(w).slotsInUse != 1 {
			t.Errorf("class %d: the slot counts as free before the attempt has ended", class)
		}
		wantKinds(t, h.handle(Event{Kind: RequestAbandoned, Request: id}))
		wantKinds(t, h.end(id, 0, ResultCancelled))
		if h.worker(w).slotsInUse != 0 || h.dispatcher.request(id) != nil || h.worker(w).failureRate != 0 {
			t.Errorf("class %d: something is left of the request", class)
		}
	}
	s := hedgingSettings()
	s.PriceWaste = 0.2 // a cancellation may stop nothing, and the count of running requests would be too low
	h := newHarness(t, s, fleet(3)...)
	id, _ := h.arriveAndSend(classIdempotent, 100*ms)
	wantKinds(t, h.handle(Event{Kind: RequestAbandoned, Request: id}))
}

func TestCancel_HopelessRequest(t *testing.T) {
	h := newHarness(t, hedgingSettings(), fleet(1)...)
	h.arriveAndSend(classNonIdempotent, 100*ms)
	actions := h.wait(Second)
	wantKinds(t, actions, Fail, Cancel)
}

func TestHedging_OffWhereFetchIsDear(t *testing.T) {
	s := hedgingSettings()
	s.PriceFetch = 0.1
	h := newHarness(t, s, fleet(6)...)
	h.arriveAndSend(classIdempotent, 100*ms)
	if actions := h.wait(300 * ms); countKind(actions, Send)+countKind(actions, Cancel) != 0 {
		t.Errorf("got %v", actions)
	}
}

func TestMigration_CancelsBeforeResend(t *testing.T) {
	for _, class := range []int{classIdempotent, classDedupEverywhere} {
		h := newHarness(t, migrationSettings(), fleet(12)...)
		id, first := h.arriveAndSend(class, 100*ms)
		wantKinds(t, h.wait(2*initialStartDelay+hedgeStartSlack+ms), Cancel)
		actions := append(h.end(id, 0, ResultCancelled), h.wait(candidateInterval+ms)...)
		if countKind(actions, Send) != 1 || actions[0].Worker == first {
			t.Fatalf("class %d: got %v, want it sent to another worker", class, actions)
		}
		wantKinds(t, h.start(id, 1))
		if actions = h.wait(200 * ms); len(actions) != 0 {
			t.Fatalf("class %d: got %v while it runs", class, actions)
		}
	}
	h := newHarness(t, migrationSettings(), fleet(12)...)
	h.arriveAndSend(classNonIdempotent, 100*ms)
	if actions := h.wait(300 * ms); len(actions) != 0 {
		t.Errorf("a non-idempotent request was migrated: %v", actions)
	}
}

// The number of attempts is limited: five migrations within 80 ms left 467 requests of one day in the last queue that they
// joined.
func TestMigration_IsSpaced(t *testing.T) {
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
				t.Fatalf("migration %d: got %v", len(waits), actions)
			}
		}
		if h.now > 110*Second {
			t.Fatalf("only %d migrations", len(waits))
		}
	}
	for i := range waits[1:] {
		if waits[i+1] < waits[i]+hedgeStartSlack/2 {
			t.Errorf("waits of %v before the migrations, want each longer than the one before", waits)
		}
	}
}

func TestMigration_DelayIsBounded(t *testing.T) {
	h := newHarness(t, migrationSettings(), fleet(2)...)
	r := &request{class: &h.dispatcher.classes[classIdempotent], maxAttempts: 4, attempts: make([]attempt, 80)}
	if wait := h.dispatcher.maxUnqueuedStartDelay(r, h.dispatcher.workers[0]); wait < Second {
		t.Errorf("a wait of %v at the eightieth attempt: shifted out of its bits", wait)
	}
}
