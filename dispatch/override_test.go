package dispatch

import (
	"math/rand/v2"
	"testing"
)

// A disabled worker gets nothing, whatever the endpoint list says: ready, gone and listed again, restarted, a new snapshot.
func TestWorkerDisabled_NoEndpointListEnables(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	h.override(true, 0)
	h.override(true, 0)
	for i, lists := range [][]Event{
		{},
		{{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, State: Ready}}}},
		{{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, State: Gone}}}, {Kind: EndpointUpdate, Workers: []Worker{{ID: 0}}}},
		{{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, StartedAt: h.now}}}},
		{{Kind: EndpointSnapshot, Workers: []Worker{{ID: 1}}}, {Kind: EndpointSnapshot, Workers: fleet(2)}},
	} {
		for j := range lists {
			lists[j].Version = uint64(10*i + j + 2)
			h.handle(lists[j])
		}
		for range 10 {
			id, actions := h.arrive(classIdempotent, 10*ms)
			for _, w := range sendTargets(actions) {
				if w == 0 {
					t.Fatalf("after lists %d: sent to the disabled worker", i)
				}
			}
			h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultOK, Final: true})
		}
	}
	h.override(false, 0) // enabled once after it was disabled twice
	h.wait(30 * Second)
	var got [2]int
	for range 40 {
		id, actions := h.arrive(classIdempotent, 10*ms)
		for _, w := range sendTargets(actions) {
			got[w]++
		}
		h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultOK, Final: true})
	}
	if got[0] == 0 || got[1] == 0 {
		t.Fatalf("after it was enabled and has warmed up: %v", got)
	}
}

// A worker that is disabled before it is listed stays disabled when it is.
func TestWorkerDisabled_BeforeListed(t *testing.T) {
	h := newHarness(t, testSettings())
	h.override(true, 0)
	h.handle(Event{Kind: EndpointSnapshot, Workers: fleet(1), Version: 1})
	if _, actions := h.arrive(classIdempotent, 10*ms); len(sendTargets(actions)) > 0 {
		t.Fatalf("sent: %v", actions)
	}
	if w := h.dispatcher.workers[0]; !w.everListed || w.capacity != initialCapacity {
		t.Fatalf("not readmitted when it was listed: %+v", w)
	}
}

// With all workers disabled nothing is sent, and requests are answered in time.
func TestWorkerDisabled_AllRejects(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	h.override(true, 0)
	h.override(true, 1)
	_, actions := h.arrive(classIdempotent, 10*ms)
	actions = append(actions, h.wait(6*Second)...)
	if len(actions) != 1 || actions[0].Kind != Reject {
		t.Fatalf("%v", actions)
	}
}

// Requests queued at a worker that is disabled are queued at another one immediately.
func TestWorkerDisabled_QueuedRequestsMove(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	for range 3 { // the initial capacity is two
		h.arrive(classIdempotent, 100*ms)
	}
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 1}}, Version: 2})
	h.override(true, 0)
	for b := range h.dispatcher.workers[0].queues {
		if q := h.dispatcher.workers[0].queues[b]; len(q.items) > 0 {
			t.Fatalf("%d entries are left at the worker", len(q.items))
		}
	}
	if sent := sendTargets(h.wait(candidateInterval)); len(sent) != 1 || sent[0] != 1 {
		t.Fatalf("sent to %v, want 1", sent)
	}
}

// An enabled worker warms up from then on, whether or not, and however late, the endpoint list shows a start.
func TestWorkerEnabled_StartsWarmingUp(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, fleet(2)...)
	w := h.dispatcher.workers[0]
	h.override(true, 0)
	h.wait(2 * Second)
	h.override(false, 0)
	if got := h.dispatcher.slowStartFactor(w); got > s.SlowStartMinFactor {
		t.Fatalf("slow-start factor %v when it is enabled, want %v", got, s.SlowStartMinFactor)
	}
	back := h.now
	h.wait(s.SlowStartWindow / 2)
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, StartedAt: back - Second}}, Version: 2})
	if got := h.dispatcher.slowStartFactor(w); got < 0.5 || got > 0.6 {
		t.Fatalf("slow-start factor %v half way, after the list told the start late", got)
	}
	if w.readmittedAt != back {
		t.Fatal("a start that was known counts as another restart")
	}
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, StartedAt: h.now}}, Version: 3})
	if got := h.dispatcher.slowStartFactor(w); got > s.SlowStartMinFactor {
		t.Fatalf("slow-start factor %v after a restart on the list", got)
	}
	// A start that was listed while it was disabled is the operators' restart.
	h.override(true, 0)
	h.wait(Second)
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, StartedAt: h.now}}, Version: 4})
	h.wait(s.SlowStartWindow / 2)
	h.override(false, 0)
	if got := h.dispatcher.slowStartFactor(w); got < 0.5 || got > 0.6 {
		t.Fatalf("slow-start factor %v half way from the start that was told", got)
	}
	// Another process of this dispatcher enabled it a while ago.
	h.handle(Event{Kind: WorkerEnabled, Worker: 1, Elapsed: s.SlowStartWindow / 2})
	if got := h.dispatcher.slowStartFactor(h.dispatcher.workers[1]); got < 0.5 || got > 0.6 {
		t.Fatalf("slow-start factor %v half way after an override that was told late", got)
	}
}

// Enabling a worker that was never disabled, or is unknown, has no effect that could violate a rule.
func TestWorkerEnabled_UnknownOrNotDisabled(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	for _, id := range []WorkerID{-1, 7} {
		h.override(false, id)
		h.override(true, id)
	}
	if _, actions := h.arrive(classIdempotent, 10*ms); len(sendTargets(actions)) != 1 {
		t.Fatalf("%v", actions)
	}
}

// A worker that is warming up is sampled too rarely if there is little traffic: one that was enabled gets a request nevertheless,
// only one for this reason, and from no more dispatchers than it can take.
func TestWorkerEnabled_GetsFirstRequest(t *testing.T) {
	s := testSettings()
	s.SlowStartMinFactor, s.SlowStartWindow = 0.01, 1000*Second // almost never sampled
	used, waiting := 0, 0
	for seed := range uint64(40) {
		h := newHarness(t, s, fleet(8)...)
		h.dispatcher.rng = rand.New(rand.NewPCG(seed, 3))
		h.override(true, 0)
		h.wait(Second)
		h.override(false, 0)
		got := 0
		for range 25 { // five per second, most of the time nothing else runs
			h.wait(200 * ms)
			id, actions := h.arrive(classIdempotent, 10*ms)
			for _, w := range sendTargets(actions) {
				if w == 0 {
					got++
				}
			}
			h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultOK, Final: true})
		}
		if got > 0 {
			used++
		}
		if got > 4 {
			t.Errorf("seed %d: %d requests to a worker that bears next to nothing", seed, got)
		}
	}
	if used != 40 {
		t.Errorf("used again in %d of 40 histories", used)
	}
	s.GroupSize = 400
	for seed := range uint64(400) {
		h := newHarness(t, s, fleet(2)...)
		h.dispatcher.rng = rand.New(rand.NewPCG(seed, 3))
		h.override(true, 0)
		h.override(false, 0)
		waiting += len(h.dispatcher.awaitingFirstRequest)
	}
	if waiting < 1 || waiting > 12 {
		t.Errorf("%d of 400 dispatchers have a first request for it", waiting)
	}
}

// A worker that is disabled again, or leaves, gets no first request and does not affect others.
func TestWorkerEnabled_NoFirstRequestOnceGoneOrDisabled(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(3)...)
	for _, w := range []WorkerID{0, 1} {
		h.override(true, w)
		h.override(false, w)
	}
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, State: Gone}}, Version: 2})
	h.wait(firstRequestMaxDelay)
	h.handle(Event{Kind: TimerFired})
	if w := h.dispatcher.dueFirstRequest(); w != h.dispatcher.workers[1] {
		t.Errorf("first request due for %+v", w)
	}
	h.override(true, 1)
	if w := h.dispatcher.dueFirstRequest(); w != nil || len(h.dispatcher.awaitingFirstRequest) != 1 {
		t.Errorf("first request due for %+v, awaited by %d", w, len(h.dispatcher.awaitingFirstRequest))
	}
}

// A start from before the worker was disabled is not its restart, whichever process received the override.
func TestWorkerEnabled_IgnoresEarlierStart(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, Worker{ID: 0, StartedAt: Second}, Worker{ID: 1, StartedAt: Second})
	h.override(true, 0)
	h.wait(Second)
	h.override(false, 0)
	h.override(false, 1) // another process disabled and enabled it
	for i, w := range h.dispatcher.workers {
		if got := h.dispatcher.slowStartFactor(w); got > s.SlowStartMinFactor {
			t.Errorf("worker %d: slow-start factor %v when it is enabled, want %v", i, got, s.SlowStartMinFactor)
		}
	}
}
