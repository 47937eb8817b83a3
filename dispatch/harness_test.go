package dispatch

import (
	"slices"
	"testing"
)

const ms = Millisecond

// harness drives one dispatcher: it advances the clock, fires the requested timers and collects the actions.
type harness struct {
	t           *testing.T
	dispatcher  *Dispatcher
	now         Time
	timer       Time
	actions     []Action
	nextRequest RequestID
}

func newHarness(t *testing.T, s Settings, workers ...Worker) *harness {
	t.Helper()
	d, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	h := &harness{t: t, dispatcher: d, now: 100 * Second, timer: never}
	if workers != nil {
		h.handle(Event{Kind: EndpointSnapshot, Workers: workers, Version: 1})
	}
	return h
}

// handle passes one event and returns the actions other than timers.
func (h *harness) handle(event Event) []Action {
	h.actions = h.dispatcher.Handle(h.now, &event, h.actions[:0])
	var out []Action
	for _, a := range h.actions {
		if a.Kind == SetTimer {
			h.timer = min(h.timer, h.now+a.Wait)
		} else {
			out = append(out, a)
		}
	}
	return out
}

// wait advances the clock by t, fires timers that become due, and returns the actions.
func (h *harness) wait(t Time) []Action {
	var out []Action
	for end := h.now + t; ; {
		if h.timer > end {
			h.now = end
			return out
		}
		h.now, h.timer = max(h.timer, h.now), never
		out = append(out, h.handle(Event{Kind: TimerFired})...)
	}
}

func (h *harness) arrive(class int, work Time) (RequestID, []Action) {
	id := h.nextRequest
	h.nextRequest++
	return id, h.handle(Event{Kind: RequestArrived, Request: id, Class: class, Tenant: -1, ExpectedWork: work, TimeLeft: 5 * Second, Slots: 1})
}

// arriveAndSend lets a request arrive, which must be sent, and returns its id and its worker.
func (h *harness) arriveAndSend(class int, work Time) (RequestID, WorkerID) {
	h.t.Helper()
	id, actions := h.arrive(class, work)
	if len(actions) == 0 { // both candidates may be the same worker without capacity; more are sampled after an interval
		actions = h.wait(candidateInterval + ms)
	}
	if len(actions) != 1 || actions[0].Kind != Send || actions[0].Request != id {
		h.t.Fatalf("arrival while there is capacity: got %v, want one send", actions)
	}
	return id, actions[0].Worker
}

func (h *harness) end(id RequestID, attempt int, result Result) []Action {
	return h.handle(Event{Kind: AttemptEnded, Request: id, Attempt: attempt, Result: result, Final: result == ResultOK})
}

func (h *harness) start(id RequestID, attempt int) []Action {
	return h.handle(Event{Kind: AttemptStarted, Request: id, Attempt: attempt})
}

// startAndEnd starts the first attempt immediately and ends it successfully after t.
func (h *harness) startAndEnd(id RequestID, t Time) []Action {
	h.start(id, 0)
	out := h.wait(t)
	return append(out, h.end(id, 0, ResultOK)...)
}

// countSendsTo lets requests arrive at intervals of gap and counts the sends to worker. Attempts at worker end with result, all
// others end successfully.
func (h *harness) countSendsTo(worker WorkerID, requests int, work, gap Time, result Result) int {
	n := 0
	for range requests {
		_, actions := h.arrive(classIdempotent, work)
		actions = append(actions, h.wait(gap)...)
		for i := 0; i < len(actions); i++ {
			a := actions[i]
			if a.Kind != Send {
				continue
			}
			attempt := len(h.dispatcher.request(a.Request).attempts) - 1
			if a.Worker == worker {
				n++
				actions = append(actions, h.end(a.Request, attempt, result)...)
				continue
			}
			h.start(a.Request, attempt)
			h.end(a.Request, attempt, ResultOK)
		}
	}
	return n
}

// arriveWithKey lets a request with an affinity key arrive.
func (h *harness) arriveWithKey(key uint64) (RequestID, []Action) {
	id := h.nextRequest
	h.nextRequest++
	actions := h.handle(Event{Kind: RequestArrived, Request: id, Tenant: -1, ExpectedWork: 100 * ms, TimeLeft: 5 * Second, Slots: 1, AffinityKey: key})
	if len(actions) == 0 {
		actions = h.wait(candidateInterval + ms)
	}
	return id, actions
}

// override disables or enables a worker, as an operator does.
func (h *harness) override(disable bool, w WorkerID) {
	kind := WorkerEnabled
	if disable {
		kind = WorkerDisabled
	}
	h.handle(Event{Kind: kind, Worker: w})
}

func (h *harness) changeSettings(s Settings, classes ...int) []Action {
	return h.handle(Event{Kind: SettingsChanged, Settings: &s, OldClasses: classes})
}

// countSends lets requests arrive one at a time and counts the sends to workers for which isTarget returns true.
func (h *harness) countSends(requests int, isTarget func(WorkerID) bool) (n int) {
	for range requests {
		id, actions := h.arrive(classIdempotent, 50*ms)
		actions = append(actions, h.wait(candidateInterval+ms)...)
		for _, a := range actions {
			if a.Kind == Send && isTarget(a.Worker) {
				n++
			}
		}
		if r := h.dispatcher.request(id); r != nil && r.inFlight() > 0 {
			h.startAndEnd(id, 0)
		}
	}
	return n
}

// worker returns the worker with the given id.
func (h *harness) worker(id WorkerID) *worker { return h.dispatcher.workers[id] }

// startAllAttempts reports the start of every attempt.
func startAllAttempts(h *harness) {
	h.wait(ms)
	for id := range h.nextRequest {
		if r := h.dispatcher.request(id); r != nil {
			for i := range r.attempts {
				h.start(id, i)
			}
		}
	}
}

func countKind(actions []Action, kind ActionKind) int {
	n := 0
	for _, a := range actions {
		if a.Kind == kind {
			n++
		}
	}
	return n
}

func wantKinds(t *testing.T, actions []Action, kinds ...ActionKind) {
	t.Helper()
	got := make([]ActionKind, 0, len(actions))
	for _, a := range actions {
		got = append(got, a.Kind)
	}
	if !slices.Equal(got, kinds) {
		t.Fatalf("actions %v, want kinds %v", actions, kinds)
	}
}

func sendTargets(actions []Action) (all []WorkerID) {
	for _, a := range actions {
		if a.Kind == Send {
			all = append(all, a.Worker)
		}
	}
	return all
}
