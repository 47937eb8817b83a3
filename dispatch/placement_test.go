package dispatch

import "testing"

func TestPlace_ChoosesLeastUtilised(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	got := map[WorkerID]int{}
	for range 4 {
		_, w := h.arriveAndSend(classIdempotent, 100*ms)
		got[w]++
	}
	// Both candidates may be the same worker, but four requests have to use the full capacity of both workers, two each.
	if got[0] != 2 || got[1] != 2 {
		t.Fatalf("sends by worker %v, want two each", got)
	}
	_, actions := h.arrive(classIdempotent, 100*ms)
	wantKinds(t, actions)
}

func TestDispatchNext_SendsOldestFirst(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	a, _ := h.arriveAndSend(classIdempotent, 100*ms)
	h.arriveAndSend(classIdempotent, 100*ms)
	h.start(a, 0)
	c, actions := h.arrive(classIdempotent, 100*ms)
	wantKinds(t, actions)
	h.arrive(classIdempotent, 100*ms)
	h.wait(20 * ms)
	actions = h.end(a, 0, ResultOK)
	if len(actions) == 0 || actions[0].Kind != Send || actions[0].Request != c {
		t.Fatalf("got %v, want the oldest queued request %d sent first", actions, c)
	}
	if n := countKind(actions, Send); n > 2 {
		t.Fatalf("%d sends for one free slot and one step of capacity, want at most 2", n)
	}
}

func TestSampleCandidates_AddsWorkersAfterInterval(t *testing.T) {
	s := testSettings()
	s.PriceCrossZone = 0.1 // the candidates are in the local zone, which has only worker 0
	h := newHarness(t, s, Worker{ID: 0, Zone: 0}, Worker{ID: 1, Zone: 1})
	for range 2 {
		if _, w := h.arriveAndSend(classIdempotent, 100*ms); w != 0 {
			t.Fatalf("sent to worker %d, want that of the local zone", w)
		}
	}
	_, actions := h.arrive(classIdempotent, 100*ms)
	wantKinds(t, actions)
	wantKinds(t, h.wait(candidateInterval-ms))
	actions = h.wait(candidateInterval + 40*ms)
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Worker != 1 {
		t.Fatalf("got %v, want a send to the worker of the other zone", actions)
	}
}

func TestPlace_RequiredWorkerKind(t *testing.T) {
	s := testSettings()
	s.Classes[0].WorkerKind = 1
	h := newHarness(t, s, Worker{ID: 0, Kind: 0}, Worker{ID: 1, Kind: 1})
	sends := 0
	for range 8 {
		_, actions := h.arrive(classIdempotent, 100*ms)
		for _, a := range append(actions, h.wait(15*ms)...) {
			if a.Kind == Send {
				sends++
			}
			if a.Kind == Send && a.Worker != 1 {
				t.Fatalf("got %v, want the worker of kind 1", a)
			}
		}
	}
	if sends != 2 {
		t.Fatalf("%d sends, want two, as the capacity allows", sends)
	}
}

func TestSampleCandidates_IsBounded(t *testing.T) {
	countCandidates := func(n int) int {
		h := newHarness(t, testSettings(), fleet(n)...)
		for _, w := range h.dispatcher.workers {
			w.slotsInUse = 100 // no worker has capacity, so a queued request samples further workers
		}
		id, _ := h.arrive(classIdempotent, 100*ms)
		h.wait(200 * ms)
		return len(h.dispatcher.request(id).candidates)
	}
	if a, b := countCandidates(200), countCandidates(2000); a > maxCandidates || b > maxCandidates {
		t.Fatalf("%d and %d candidates for one request, want at most %d", a, b, maxCandidates)
	}
}

func TestWeights_LoadNotSize(t *testing.T) {
	list := taggedFleet(2)
	list[0].Weight, list[1].Weight = 6, 2.5
	h := newHarness(t, loadWeightSettings(), list...)
	h.dispatcher.workers[0].capacityReducedAt, h.dispatcher.workers[1].capacityReducedAt = 0, 0
	h.dispatcher.workers[0].capacity = 1
	if capacity := h.dispatcher.capacityOf(h.dispatcher.workers[0]); capacity != h.dispatcher.meanCapacity {
		t.Errorf("capacity %v of an idle worker, want the mean %v: its weight is not its size", capacity, h.dispatcher.meanCapacity)
	}
	r := &request{class: &h.dispatcher.classes[classIdempotent], maxAttempts: 4, slots: 1, open: true, deadline: never, queuedAt: h.now}
	if idle, busy := h.dispatcher.placementCost(r, h.dispatcher.workers[0]), h.dispatcher.placementCost(r, h.dispatcher.workers[1]); idle >= busy {
		t.Errorf("cost %v of the idle worker, %v of the busy one, want the first lower", idle, busy)
	}
	list[1].Weight = 1
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: list[1:]})
	w := h.dispatcher.workers[1]
	if h.dispatcher.hasCapacity(r, w) {
		t.Error("a worker with a sixth of the weight of the other has capacity immediately")
	}
	if h.now += h.dispatcher.crossZoneDelay(); !func() bool { h.dispatcher.now = h.now; return h.dispatcher.hasCapacity(r, w) }() {
		t.Error("the worker has no capacity after the delay: an old weight must not exclude it permanently")
	}
}

func TestWeights_ZeroOrEqual(t *testing.T) {
	for name, weights := range map[string][3]float64{
		"zero": {}, "one": {1, 1, 1}, "one listed": {0, 6, 0}, "negative": {-3, -3, -3}, "far apart": {1e-300, 1, 1e300},
	} {
		list := fleet(3)
		for i := range list {
			list[i].Weight = weights[i]
		}
		h := newHarness(t, loadWeightSettings(), list...)
		sends := 0
		for range 20 {
			id, actions := h.arrive(classIdempotent, 50*ms)
			actions = append(actions, h.wait(100*ms)...)
			sends += countKind(actions, Send)
			if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 {
				h.startAndEnd(id, 0)
			}
		}
		if sends < 20 {
			t.Errorf("weights %s: %d sends for 20 requests, want at least 20", name, sends)
		}
	}
}
