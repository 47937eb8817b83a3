package dispatch

import "testing"

func TestRespond_BeforeDeadline(t *testing.T) {
	for _, class := range []int{classIdempotent, classDedupEverywhere, classNonIdempotent} {
		h := newHarness(t, testSettings(), fleet(1)...)
		id, _ := h.arriveAndSend(class, 100*ms)
		began := h.now
		h.start(id, 0)
		var final Action
		for h.now < began+6*Second {
			for _, a := range h.wait(10 * ms) {
				if a.Kind == Reject || a.Kind == Fail {
					final = a
				}
			}
			if final.Kind != Send {
				break
			}
		}
		if final.Kind == Send || h.now > began+5*Second {
			t.Fatalf("class %d: final answer %v, %v after the arrival, want one within 5 s", class, final, h.now-began)
		}
		if class == classNonIdempotent && final.Kind != Fail {
			t.Fatalf("got %v for a non-idempotent request that may have run, want a failure", final)
		}
	}
}

func TestSend_NothingToDrainingOrGone(t *testing.T) {
	for _, st := range []WorkerState{Draining, Gone} {
		h := newHarness(t, testSettings(), fleet(2)...)
		h.handle(Event{Kind: EndpointUpdate, Version: 2, Workers: []Worker{{ID: 0, State: st}}})
		h.handle(Event{Kind: EndpointUpdate, Version: 1, Workers: []Worker{{ID: 0}}}) // an older version
		for range 6 {
			_, actions := h.arrive(classIdempotent, 100*ms)
			for _, a := range append(actions, h.wait(100*ms)...) {
				if a.Kind == Send && a.Worker == 0 {
					t.Fatalf("sent to a worker in state %v, want no send", st)
				}
			}
		}
	}
}

func TestReevaluate_RejectsQueuedThatIsLate(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	a, _ := h.arriveAndSend(classIdempotent, 400*ms)
	b, _ := h.arriveAndSend(classIdempotent, 400*ms)
	h.start(a, 0)
	h.start(b, 0)
	old, actions := h.arrive(classIdempotent, 200*ms)
	wantKinds(t, actions)
	actions = h.wait(Second)
	if len(actions) != 1 || actions[0].Kind != Reject || actions[0].Request != old {
		t.Fatalf("got %v, want the queued request rejected once it would be late", actions)
	}
}

func TestReevaluate_NoSendPastClientTimeout(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(1)...)
	actions := h.handle(Event{Kind: RequestArrived, Request: 0, Tenant: -1, ExpectedWork: Second, TimeLeft: 1200 * ms, Slots: 1})
	actions = append(actions, h.wait(1200*ms)...)
	wantKinds(t, actions, Reject)
}

func TestHandle_IgnoresUnknown(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	id, _ := h.arriveAndSend(classIdempotent, 100*ms)
	for _, e := range []Event{
		{Kind: AttemptEnded, Request: 99, Result: ResultOK, Final: true},
		{Kind: AttemptEnded, Request: id, Attempt: 7, Result: ResultFailed},
		{Kind: AttemptEnded, Request: id, Attempt: -1, Result: ResultFailed},
		{Kind: AttemptStarted, Request: 99}, {Kind: AttemptProgressed, Request: 99}, {Kind: RequestAbandoned, Request: 99},
		{Kind: RequestArrived, Request: id, Class: classIdempotent, TimeLeft: Second}, // the id of an open request
		{Kind: RequestArrived, Request: 50, Class: 77, TimeLeft: Second},
		{Kind: EventKind(200)},
	} {
		if actions := h.handle(e); len(actions) != 0 {
			t.Fatalf("event %+v: got %v, want no actions", e, actions)
		}
	}
	h.end(id, 0, ResultOK)
	if actions := h.end(id, 0, ResultOK); len(actions) != 0 {
		t.Fatalf("got %v for the second end of an attempt, want no actions", actions)
	}
}
