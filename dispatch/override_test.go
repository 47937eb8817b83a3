package dispatch

import (
	"math/rand/v2"
	"testing"
)

// A disabled worker receives no requests whatever the endpoint list reports: ready, gone and listed again, restarted, new snapshot.
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
					t.Fatalf("after the lists of case %d: sent to the disabled worker", i)
				}
			}
			h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultOK, Final: true})
		}
	}
	h.override(false, 0) // one enable is enough after two disables
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
		t.Fatalf("sends by worker %v after worker 0 was enabled and has warmed up, want some to each", got)
	}
}

// A worker that is disabled before it is listed stays disabled once it is listed.
func TestWorkerDisabled_BeforeListed(t *testing.T) {
	h := newHarness(t, testSettings())
	h.override(true, 0)
	h.handle(Event{Kind: EndpointSnapshot, Workers: fleet(1), Version: 1})
	if _, actions := h.arrive(classIdempotent, 10*ms); len(sendTargets(actions)) > 0 {
		t.Fatalf("got %v, want no send to the disabled worker", actions)
	}
	if w := h.dispatcher.workers[0]; !w.everListed || w.capacity != initialCapacity {
		t.Fatalf("the worker was not readmitted when it was listed: %+v", w)
	}
}

// If all workers are disabled, no request is sent, and requests are rejected by their deadlines.
func TestWorkerDisabled_AllRejects(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	h.override(true, 0)
	h.override(true, 1)
	_, actions := h.arrive(classIdempotent, 10*ms)
	actions = append(actions, h.wait(6*Second)...)
	if len(actions) != 1 || actions[0].Kind != Reject {
		t.Fatalf("got %v, want one rejection", actions)
	}
}

// Requests that are queued at a worker move to another worker as soon as the first one is disabled.
func TestWorkerDisabled_QueuedRequestsMove(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	for range 3 { // the initial capacity is two
		h.arrive(classIdempotent, 100*ms)
	}
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 1}}, Version: 2})
	h.override(true, 0)
	for b := range h.dispatcher.workers[0].queues {
		if q := h.dispatcher.workers[0].queues[b]; len(q.items) > 0 {
			t.Fatalf("%d entries remain in the queue of the disabled worker", len(q.items))
		}
	}
	if sent := sendTargets(h.wait(candidateInterval)); len(sent) != 1 || sent[0] != 1 {
		t.Fatalf("sent to %v, want one send to worker 1", sent)
	}
}

// A worker warms up from the time at which it is enabled, whether or not the endpoint list reports a start, and however late.
func TestWorkerEnabled_StartsWarmingUp(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, fleet(2)...)
	w := h.dispatcher.workers[0]
	h.override(true, 0)
	h.wait(2 * Second)
	h.override(false, 0)
	if got := h.dispatcher.slowStartFactor(w); got > s.SlowStartMinFactor {
		t.Fatalf("slow-start factor %v when the worker is enabled, want %v", got, s.SlowStartMinFactor)
	}
	enabledAt := h.now
	h.wait(s.SlowStartWindow / 2)
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, StartedAt: enabledAt - Second}}, Version: 2})
	if got := h.dispatcher.slowStartFactor(w); got < 0.5 || got > 0.6 {
		t.Fatalf("slow-start factor %v after half of the window, with a start that was listed late, want 0.5 to 0.6", got)
	}
	if w.readmittedAt != enabledAt {
		t.Fatal("a start that was already known counts as another restart")
	}
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, StartedAt: h.now}}, Version: 3})
	if got := h.dispatcher.slowStartFactor(w); got > s.SlowStartMinFactor {
		t.Fatalf("slow-start factor %v after a listed restart, want the minimum", got)
	}
	// A start that was listed while the worker was disabled is a restart by the operators: the warm-up counts from it.
	h.override(true, 0)
	h.wait(Second)
	h.handle(Event{Kind: EndpointUpdate, Workers: []Worker{{ID: 0, StartedAt: h.now}}, Version: 4})
	h.wait(s.SlowStartWindow / 2)
	h.override(false, 0)
	if got := h.dispatcher.slowStartFactor(w); got < 0.5 || got > 0.6 {
		t.Fatalf("slow-start factor %v half a window after the listed start, want 0.5 to 0.6", got)
	}
	// Another process of this dispatcher has enabled worker 1 half a window earlier.
	h.handle(Event{Kind: WorkerEnabled, Worker: 1, Elapsed: s.SlowStartWindow / 2})
	if got := h.dispatcher.slowStartFactor(h.dispatcher.workers[1]); got < 0.5 || got > 0.6 {
		t.Fatalf("slow-start factor %v half a window after an override that was received late, want 0.5 to 0.6", got)
	}
}

// Overrides of an unknown worker, and enabling a worker that was not disabled, have no effect that could violate a rule.
func TestWorkerEnabled_UnknownOrNotDisabled(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	for _, id := range []WorkerID{-1, 7} {
		h.override(false, id)
		h.override(true, id)
	}
	if _, actions := h.arrive(classIdempotent, 10*ms); len(sendTargets(actions)) != 1 {
		t.Fatalf("got %v, want one send", actions)
	}
}

// With little traffic a worker that is warming up is hardly ever sampled. An enabled worker therefore receives one request without
// being sampled, from no more dispatchers than it can serve.
func TestWorkerEnabled_GetsFirstRequest(t *testing.T) {
	s := testSettings()
	s.SlowStartMinFactor, s.SlowStartWindow = 0.01, 1000*Second // warming workers are almost never sampled
	used, waiting := 0, 0
	for seed := range uint64(40) {
		h := newHarness(t, s, fleet(8)...)
		h.dispatcher.rng = rand.New(rand.NewPCG(seed, 3))
		h.override(true, 0)
		h.wait(Second)
		h.override(false, 0)
		got := 0
		for range 25 { // five per second, so that mostly nothing else is running
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
			t.Errorf("seed %d: %d requests to a worker with almost no capacity, want at most 4", seed, got)
		}
	}
	if used != 40 {
		t.Errorf("the enabled worker was used in %d of 40 runs, want all", used)
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
		t.Errorf("%d of 400 dispatchers schedule a first request for the worker, want 1 to 12", waiting)
	}
}

// A worker that is disabled again or leaves receives no first request and does not affect the first requests of others.
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
		t.Errorf("first request is due for %+v, want worker 1", w)
	}
	h.override(true, 1)
	if w := h.dispatcher.dueFirstRequest(); w != nil || len(h.dispatcher.awaitingFirstRequest) != 1 {
		t.Errorf("first request is due for %+v, %d workers await one, want none due and one waiting", w, len(h.dispatcher.awaitingFirstRequest))
	}
}

// A start before the worker was disabled does not count as its restart, whichever process received the override.
func TestWorkerEnabled_IgnoresEarlierStart(t *testing.T) {
	s := testSettings()
	h := newHarness(t, s, Worker{ID: 0, StartedAt: Second}, Worker{ID: 1, StartedAt: Second})
	h.override(true, 0)
	h.wait(Second)
	h.override(false, 0)
	h.override(false, 1) // another process has disabled and enabled it
	for i, w := range h.dispatcher.workers {
		if got := h.dispatcher.slowStartFactor(w); got > s.SlowStartMinFactor {
			t.Errorf("worker %d: slow-start factor %v when the worker is enabled, want %v", i, got, s.SlowStartMinFactor)
		}
	}
}
