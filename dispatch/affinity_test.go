package dispatch

import (
	"slices"
	"testing"
)

func TestAffinity_SameWorkerAtEveryDispatcher(t *testing.T) {
	workersByKey := map[uint64]map[WorkerID]bool{}
	all := map[WorkerID]bool{}
	for seed := range uint64(4) {
		d, err := New(affinitySettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		h := &harness{t: t, dispatcher: d, now: 100 * Second, timer: never}
		h.handle(Event{Kind: EndpointSnapshot, Workers: taggedFleet(30), Version: 1})
		for key := uint64(1); key <= 40; key++ {
			id, actions := h.arriveWithKey(key)
			if countKind(actions, Send) != 1 {
				t.Fatalf("key %d: got %v, want one send", key, actions)
			}
			if workersByKey[key] == nil {
				workersByKey[key] = map[WorkerID]bool{}
			}
			workersByKey[key][actions[0].Worker], all[actions[0].Worker] = true, true
			h.startAndEnd(id, 100*ms)
		}
	}
	for key, w := range workersByKey {
		if len(w) != 1 {
			t.Errorf("key %d was sent to %d workers, want one", key, len(w))
		}
	}
	if len(all) < 15 {
		t.Errorf("40 keys were sent to %d of 30 workers, want at least 15", len(all))
	}
}

func TestAffinity_OnlyWhereFetchHasPrice(t *testing.T) {
	h := newHarness(t, testSettings(), taggedFleet(30)...)
	workers := map[WorkerID]bool{}
	for range 40 {
		id, actions := h.arriveWithKey(7)
		if countKind(actions, Send) != 1 {
			t.Fatalf("got %v, want one send", actions)
		}
		workers[actions[0].Worker] = true
		h.startAndEnd(id, 100*ms)
	}
	if len(workers) < 10 {
		t.Errorf("40 requests of one key were sent to %d of 30 workers, want at least 10: a fetch has no price", len(workers))
	}
}

func TestAffinity_MovesOnFromDrainingWorker(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	id, actions := h.arriveWithKey(7)
	affinityWorker := actions[0].Worker
	h.startAndEnd(id, 100*ms)
	ring := &h.dispatcher.ring[0]
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{{ID: affinityWorker, Tag: taggedFleet(30)[affinityWorker].Tag, State: Draining}}})
	next := map[WorkerID]bool{}
	for range 5 {
		id, actions = h.arriveWithKey(7)
		if countKind(actions, Send) != 1 || actions[0].Worker == affinityWorker {
			t.Fatalf("got %v, want a send to a worker other than %d", actions, affinityWorker)
		}
		next[actions[0].Worker] = true
		h.startAndEnd(id, 100*ms)
	}
	if len(next) != 1 {
		t.Errorf("the key was sent to %d workers after its worker began to drain, want one", len(next))
	}
	for _, w := range h.dispatcher.workers {
		w.slotsInUse = 100
	}
	id, _ = h.arriveWithKey(7)
	if r := h.dispatcher.request(id); r.isCandidate(h.dispatcher.workers[affinityWorker]) {
		t.Error("the draining worker is a candidate of a queued request")
	}
	if &h.dispatcher.ring[0] != ring {
		t.Error("the ring was rebuilt after a change of the endpoint list, which costs more CPU time than the platform allows")
	}
	if bare := newHarness(t, testSettings(), taggedFleet(30)...); len(bare.dispatcher.ring) != 0 {
		t.Error("the dispatcher has a ring although a fetch has no price")
	}
}

// Guards against a hash that sends all requests of a key to one worker while that worker is warming up.
func TestAffinity_WarmingWorkerGetsEvenShare(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	id, actions := h.arriveWithKey(7)
	affinityWorker := actions[0].Worker
	h.startAndEnd(id, 100*ms)
	warming := taggedFleet(30)[affinityWorker]
	warming.StartedAt = h.now
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{warming}})
	sends := 0
	for range 100 {
		id, actions := h.arriveWithKey(7)
		for _, a := range actions {
			if a.Kind == Send && a.Worker == affinityWorker {
				sends++
			}
		}
		h.startAndEnd(id, 10*ms)
	}
	if sends > 15 {
		t.Errorf("%d of 100 requests of a key went to its worker while that was warming up, want at most 15: one in 30 samples", sends)
	}
}

// Guards against a ring that keeps the points of gone workers: workers are replaced for weeks, and the points of those that remain
// would become too few.
func TestAffinity_RingForgetsGoneWorkers(t *testing.T) {
	h := newHarness(t, affinitySettings())
	list := taggedFleet(3000)
	for i := range 100 { // each release replaces all 30 workers
		h.handle(Event{Kind: EndpointSnapshot, Version: uint64(i + 1), Workers: list[30*i : 30*i+30]})
		id, _ := h.arriveWithKey(7)
		h.startAndEnd(id, 10*ms)
	}
	if n := len(h.dispatcher.ring); n != 30*pointsPerWorker {
		t.Fatalf("the ring has %d points, want those of 30 workers", n)
	}
	h.handle(Event{Kind: EndpointUpdate, Version: 101, Workers: []Worker{{ID: 2999, Tag: list[2999].Tag, State: Gone}, list[0]}})
	h.arriveWithKey(8)
	h.handle(Event{Kind: EndpointUpdate, Version: 102, Workers: []Worker{list[2999], list[1]}}) // worker 2999 returns
	h.arriveWithKey(9)
	if n := len(h.dispatcher.ring); n != 32*pointsPerWorker {
		t.Errorf("the ring has %d points, want those of 32 workers: a worker that returns gets its points back exactly once", n)
	}
}

func TestAffinity_RingIsEven(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	keysByWorker := make([]int, 30)
	for key := range uint64(3000) {
		keysByWorker[h.dispatcher.sampleWorker(&request{affinityKey: key + 1}, h.dispatcher.ready).ID]++
	}
	if highest := slices.Max(keysByWorker); highest > 200 {
		t.Errorf("a worker is the first of %d keys, want at most 200: the mean is 100, and the data that a worker caches is limited", highest)
	}
}

func TestAffinity_RejectedGoesToNextOnRing(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	r := &request{affinityKey: 7}
	h.dispatcher.sampleWorker(r, h.dispatcher.ready)
	next := h.dispatcher.sampleWorker(r, h.dispatcher.ready)
	id, _ := h.arriveWithKey(7)
	actions := append(h.end(id, 0, ResultOverloaded), h.wait(candidateInterval+ms)...)
	if countKind(actions, Send) != 1 || actions[0].Worker != next.ID {
		t.Errorf("got %v, want a send to worker %d, the second in the order of the key", actions, next.ID)
	}
}

func TestAffinity_EarlierCandidateIsPreferred(t *testing.T) {
	h := newHarness(t, affinitySettings(), taggedFleet(30)...)
	id, actions := h.arriveWithKey(7)
	affinityWorker := actions[0].Worker
	h.start(id, 0)
	if _, actions = h.arriveWithKey(7); countKind(actions, Send) != 1 || actions[0].Worker != affinityWorker {
		t.Errorf("got %v, want a send to the worker of the key, %d: it has capacity and is preferred to an idle worker", actions, affinityWorker)
	}
}

func TestAffinity_OneWorkerOrNone(t *testing.T) {
	h := newHarness(t, affinitySettings())
	if _, actions := h.arriveWithKey(7); len(actions) != 0 {
		t.Fatalf("got %v without an endpoint list, want no actions", actions)
	}
	h.handle(Event{Kind: EndpointSnapshot, Version: 1})
	id, actions := h.arriveWithKey(7)
	wantKinds(t, actions)
	actions = append(h.handle(Event{Kind: EndpointSnapshot, Version: 2, Workers: taggedFleet(1)}), h.wait(2*candidateInterval)...)
	if countKind(actions, Send) == 0 || h.dispatcher.request(id) == nil {
		t.Fatalf("got %v after a worker was listed, want a send", actions)
	}
}
