package dispatch

import (
	"slices"
	"testing"
)

func TestEndpoints_QueuedRequestsLeaveDrainingWorker(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	h.arriveAndSend(classIdempotent, 100*ms)
	h.arriveAndSend(classIdempotent, 100*ms)
	id, actions := h.arrive(classIdempotent, 100*ms)
	wantKinds(t, actions)
	actions = h.handle(Event{Kind: EndpointSnapshot, Version: 2, Workers: []Worker{{ID: 0, State: Draining}, {ID: 1}}})
	actions = append(actions, h.wait(20*ms)...)
	if len(actions) != 1 || actions[0].Request != id || actions[0].Worker != 1 {
		t.Fatalf("got %v, want the queued request sent to the new worker", actions)
	}
}

func TestEndpoints_WatchIsRenewed(t *testing.T) {
	s := testSettings()
	s.EndpointsOnRequest = true
	h := newHarness(t, s)
	wantKinds(t, h.handle(Event{Kind: EndpointSnapshot, Stale: true, Workers: fleet(2), Version: 3}), WatchEndpoints)
	wantKinds(t, h.handle(Event{Kind: EndpointWatchLost}))
	gaps := make([]Time, 0, 6)
	last := h.now
	for range 6 {
		if countKind(h.wait(s.MaxPollInterval), WatchEndpoints) == 0 {
			t.Fatal("no new watch request within the maximum poll interval")
		}
		gaps = append(gaps, h.now-last)
		last = h.now
		h.handle(Event{Kind: EndpointWatchLost})
	}
	wantKinds(t, h.handle(Event{Kind: EndpointUpdate, Version: 4, Workers: []Worker{{ID: 0, State: Draining}}}))
	if actions := h.wait(2 * s.MaxPollInterval); countKind(actions, WatchEndpoints) != 0 {
		t.Fatalf("got %v while the watch is active, want no poll", actions)
	}
	for _, g := range gaps {
		if g > s.MaxPollInterval {
			t.Fatalf("gaps between polls %v, want none above %v", gaps, s.MaxPollInterval)
		}
	}
}

func TestEndpoints_PollBacksOff(t *testing.T) {
	s := testSettings()
	s.EndpointsOnRequest = true
	h := newHarness(t, s)
	h.handle(Event{Kind: EndpointSnapshot, Stale: true, Workers: fleet(2), Version: 3})
	polls := 0
	for range 100 { // for ten seconds every poll fails immediately
		if n := countKind(h.wait(100*ms), WatchEndpoints); n > 0 {
			polls += n
			h.handle(Event{Kind: EndpointWatchLost})
		} else if polls == 0 {
			h.handle(Event{Kind: EndpointWatchLost})
		}
	}
	if polls < 3 || polls > 12 {
		t.Fatalf("%d polls in ten seconds, want 3 to 12", polls)
	}
}

func TestEndpoints_RestartResetsWorker(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	w := h.dispatcher.workers[0]
	w.failureRate, w.unresponsive, w.capacity = 1, true, 9
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{{ID: 0, StartedAt: h.now}}})
	if w.failureRate != 0 || w.unresponsive || w.capacity == 9 || h.dispatcher.slowStartFactor(w) >= 1 {
		t.Fatalf("after a restart: failure rate %v, unresponsive %v, capacity %v, slow-start factor %v, want all reset", w.failureRate, w.unresponsive, w.capacity, h.dispatcher.slowStartFactor(w))
	}
}

func TestEndpoints_QueuedRequestsGetNewCandidate(t *testing.T) {
	s := testSettings()
	s.PriceCrossZone = 0.1 // the candidates are in the local zone, which has only worker 0
	h := newHarness(t, s, Worker{ID: 0, Zone: 0}, Worker{ID: 1, Zone: 1})
	h.dispatcher.workers[0].slotsInUse, h.dispatcher.workers[1].slotsInUse = 100, 100
	id, _ := h.arrive(classIdempotent, 100*ms)
	h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{{ID: 0, State: Draining}}})
	q := h.dispatcher.workers[1].queues[bandNormal]
	if !slices.ContainsFunc(q.items[q.head:], func(e queueEntry) bool { return e.isLive() && e.request.id == id }) {
		t.Fatal("the queued request is not queued at the remaining worker")
	}
}
