package dispatch

import "testing"

func TestCapacity_GrowsAndIsReducedOnLateStart(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	a, _ := h.arriveAndSend(classIdempotent, 100*ms)
	b, _ := h.arriveAndSend(classIdempotent, 100*ms)
	h.wait(ms)
	h.start(a, 0)
	h.start(b, 0)
	h.wait(100 * ms)
	h.end(a, 0, ResultOK)
	if w := h.dispatcher.workers[0]; w.capacity != 2.5 {
		t.Fatalf("capacity %v after a success at a capacity of 2, want 2.5", w.capacity)
	}
	h.dispatcher.workers[0].capacity = 3
	for range 2 {
		h.arriveAndSend(classIdempotent, 100*ms)
	}
	h.wait(startSlack + 5*ms) // neither of them starts
	if w := h.dispatcher.workers[0]; w.capacity != 1 {
		t.Fatalf("capacity %v with one request running and two queued, want 1", w.capacity)
	}
}

func TestCapacity_FallsBelowOneUnderOthersLoad(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	w := h.dispatcher.workers[0]
	a, _ := h.arriveAndSend(classIdempotent, 100*ms)
	h.wait(2*initialStartDelay + startSlack + ms) // the request does not start although no other request of this dispatcher is at the worker
	if w.capacity >= 1 {
		t.Fatalf("capacity %v after the only request of this dispatcher queued behind those of others, want below 1", w.capacity)
	}
	h.start(a, 0)
	h.wait(ms)
	h.end(a, 0, ResultOK)
	if capacity := h.dispatcher.capacityOf(w); capacity >= 1 {
		t.Fatalf("capacity %v right after a queue was detected, want below 1", capacity)
	}
	h.wait(5 * Second)
	if capacity := h.dispatcher.capacityOf(w); capacity < initialCapacity*0.9 {
		t.Fatalf("capacity %v 5 s after the reduction, want about the initial capacity", capacity)
	}
}

func TestCapacity_OverloadedReducesAndRequestMoves(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	a, w := h.arriveAndSend(classNonIdempotent, 100*ms) // overloaded means that the request never ran, so that even a non-idempotent one may be sent again
	actions := append(h.end(a, 0, ResultOverloaded), h.wait(candidateInterval+ms)...)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Worker == w {
		t.Fatalf("got %v, want a send to the other worker", actions)
	}
	if capacity := h.dispatcher.workers[w].capacity; capacity >= initialCapacity {
		t.Fatalf("capacity %v after a rejection, want it reduced", capacity)
	}
}

func TestCapacity_NewWorkerStartsAtMean(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	h.dispatcher.meanCapacity = 4.5 // as learned from completed attempts
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{{ID: 2}}})
	if capacity := h.dispatcher.workers[2].capacity; capacity != 4.5 {
		t.Fatalf("capacity %v, want the mean 4.5", capacity)
	}
}

func TestCapacity_CountsSlotsAndMemory(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	h.dispatcher.workers[0].capacity = 4
	e := Event{Kind: RequestArrived, Request: 0, Tenant: -1, ExpectedWork: 100 * ms, TimeLeft: 5 * Second, Slots: 2, Memory: 3}
	wantKinds(t, h.handle(e), Send)
	e.Request, e.Slots, e.Memory = 1, 2, 0
	wantKinds(t, h.handle(e)) // does not fit: three of four units are in use
	e.Request, e.Slots = 2, 1
	wantKinds(t, h.handle(e), Send) // fits, although the request ahead of it does not
}

func TestCapacity_KeptUnderSharedSlowdown(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(3)...)
	for range 10 { // all runs take five times their work but start immediately
		for range 6 {
			h.arrive(classIdempotent, 100*ms)
		}
		for range 50 {
			startAllAttempts(h)
			h.wait(9 * ms)
		}
		for id := range h.nextRequest {
			if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 {
				h.wait(ms)
				h.end(id, 0, ResultOK)
				startAllAttempts(h)
			}
		}
	}
	for _, w := range h.dispatcher.ready {
		if w.capacity < initialCapacity || w.ejected || w.unresponsive {
			t.Fatalf("worker %d: capacity %v, ejected %v, unresponsive %v after a shared slowdown, want the initial capacity or more and neither flag set", w.ID, w.capacity, w.ejected, w.unresponsive)
		}
	}
}

func TestLoadReport_CapsCapacityUntilOld(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	a, _ := h.arriveAndSend(classIdempotent, 100*ms)
	b, _ := h.arriveAndSend(classIdempotent, 100*ms)
	h.start(a, 0)
	h.start(b, 0)
	end := func(id RequestID, free float64) {
		h.handle(Event{Kind: AttemptEnded, Request: id, Final: true, Report: LoadReport{Known: true, FreeSlots: free, QueueLength: -1}})
	}
	end(a, 0)
	id, actions := h.arrive(classIdempotent, 100*ms)
	wantKinds(t, actions)
	actions = h.wait(loadReportTTL + candidateInterval + 2*ms)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Request != id {
		t.Fatalf("got %v, want the queued request sent once the report has expired", actions)
	}
	h.dispatcher.workers[0].capacity = 1
	end(b, 1e9)
	_, actions = h.arrive(classIdempotent, 100*ms)
	wantKinds(t, actions) // a load report does not increase the capacity
}

// Guards against a capacity that stays constant because the fraction above its integer part fits no request.
func TestCapacity_GrowsFromAnyFraction(t *testing.T) {
	for _, capacity := range []float64{0.6, 1.3, 1.75, 2.75, 3.9} {
		h := newHarness(t, testSettings(), fleet(1)...)
		w := h.dispatcher.workers[0]
		w.capacity = capacity
		var ids []RequestID
		for w.slotsInUse == 0 || w.slotsInUse+1 <= capacity {
			id, _ := h.arriveAndSend(classIdempotent, 100*ms)
			ids = append(ids, id)
		}
		h.wait(ms)
		h.start(ids[0], 0)
		h.wait(50 * ms)
		h.end(ids[0], 0, ResultOK)
		if w.capacity <= capacity {
			t.Errorf("capacity %v after a success at the limit, want more than %v", w.capacity, capacity)
		}
	}
}

func TestLoadReport_SetsSize(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	w := h.dispatcher.workers[0]
	id, _ := h.arriveAndSend(classIdempotent, 100*ms)
	h.start(id, 0)
	h.handle(Event{Kind: AttemptEnded, Request: id, Final: true, Report: LoadReport{Known: true, FreeSlots: 6.7, QueueLength: -1}})
	if w.kind.size != 6 {
		t.Fatalf("size %v after a report of 6.7 free slots, want 6", w.kind.size)
	}
	for range 20 { // starts in time at a load above the size, since another request had just ended
		id, _ = h.arriveAndSend(classIdempotent, 100*ms)
		h.dispatcher.request(id).attempts[0].groupLoad = w.kind.size + 1
		h.startAndEnd(id, 100*ms)
	}
	if w.kind.size != 6 {
		t.Errorf("size %v after starts in time, want 6 as reported", w.kind.size)
	}
}

func TestLoadReport_ImplausibleValues(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	w := h.dispatcher.workers[0]
	for _, report := range []LoadReport{{}, {Known: true, FreeSlots: -1, QueueLength: -1}, {Known: true, FreeSlots: 0, QueueLength: 1e12}, {FreeSlots: 50}} {
		h.dispatcher.recordLoadReport(w, report)
		if w.kind.size != 1 {
			t.Errorf("size %v after the report %+v, want 1 as before", w.kind.size, report)
		}
	}
	h.dispatcher.recordLoadReport(w, LoadReport{Known: true, FreeSlots: 1e9})
	if w.kind.size > 1+maxSizeStep {
		t.Errorf("size %v after one report of 1e9 free slots, want it limited to one step", w.kind.size)
	}
	h.wait(loadReportTTL) // the report of zero free slots expires
	if _, actions := h.arrive(classIdempotent, 100*ms); countKind(actions, Send) != 1 {
		t.Errorf("got %v, want a send: the reports have expired", actions)
	}
}
