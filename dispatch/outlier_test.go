package dispatch

import "testing"

func TestOutlier_FastFailingWorkerAttractsNoRequests(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(6)...)
	sends := h.countSendsTo(0, 200, 50*ms, 10*ms, ResultFailed)
	if sends > 20 {
		t.Fatalf("%d of 200 requests went to a worker that fails every request, want at most 20 probes", sends)
	}
	if !h.dispatcher.workers[0].ejected {
		t.Fatal("the failing worker is not ejected")
	}
	h.wait(5 * Second)
	h.dispatcher.workers[1].slotsInUse += 100 // only the worker that failed has capacity
	for i := 2; i < 6; i++ {
		h.dispatcher.workers[i].slotsInUse += 100
	}
	probes := 0
	for range 40 {
		_, actions := h.arrive(classIdempotent, 50*ms)
		for _, a := range append(actions, h.wait(250*ms)...) {
			if a.Kind == Send && a.Worker == 0 {
				probes++
				attempt := len(h.dispatcher.request(a.Request).attempts) - 1
				h.start(a.Request, attempt)
				h.end(a.Request, attempt, ResultOK)
			}
		}
	}
	if probes < 1 || h.dispatcher.workers[0].ejected {
		t.Fatalf("%d probes, ejected %v: a worker that succeeds again must be readmitted", probes, h.dispatcher.workers[0].ejected)
	}
}

func TestOutlier_EjectsAtMostAThird(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(6)...)
	for range 100 {
		id, actions := h.arrive(classIdempotent, 50*ms)
		for _, a := range actions {
			if a.Kind == Send {
				h.end(id, len(h.dispatcher.request(id).attempts)-1, ResultFailed)
			}
		}
		h.wait(20 * ms)
	}
	ejected := 0
	for _, w := range h.dispatcher.workers {
		if w.ejected {
			ejected++
		}
	}
	if ejected > 2 {
		t.Fatalf("%d of 6 workers ejected although all fail equally, want at most a third", ejected)
	}
}

func TestOutlier_UnreachableWorkerIsProbed(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(3)...)
	probes := h.countSendsTo(0, 400, 20*ms, 20*ms, ResultUnreachable) // over eight seconds
	if probes < 3 || probes > 12 {
		t.Fatalf("%d sends to an unreachable worker in eight seconds, want 3 to 12 probes", probes)
	}
}

func TestOutlier_StalledWorkerIsUnresponsive(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	id, w := h.arriveAndSend(classIdempotent, 600*ms)
	h.wait(ms)
	h.start(id, 0)
	h.wait(Second)
	h.handle(Event{Kind: AttemptProgressed, Request: id, Progress: 0.4})
	if actions := h.wait(Second); len(actions) != 0 {
		t.Fatalf("got %v before the progress report was overdue", actions)
	}
	h.wait(progressSlack + 20*ms)
	if !h.dispatcher.workers[w].unresponsive {
		t.Fatal("the stalled worker is not marked as unresponsive")
	}
	h.handle(Event{Kind: AttemptProgressed, Request: id, Progress: 0.6})
	if h.dispatcher.workers[w].unresponsive {
		t.Fatal("the worker is still marked as unresponsive after a progress report")
	}
}

func TestOutlier_UnreachableZoneIsLeftOut(t *testing.T) {
	s := testSettings()
	s.Zone, s.MaxAttempts = -1, 1
	list := make([]Worker, 0, 40)
	for i := range 40 {
		list = append(list, Worker{ID: WorkerID(i), Zone: i % 2})
	}
	h := newHarness(t, s, list...)
	lost := 0
	for range 100 {
		_, actions := h.arrive(classIdempotent, 20*ms)
		for _, a := range append(actions, h.wait(20*ms)...) {
			switch {
			case a.Kind != Send:
			case a.Worker%2 == 1:
				lost++
				h.end(a.Request, 0, ResultUnreachable)
			default:
				h.startAndEnd(a.Request, 0)
			}
		}
	}
	if lost > 20 {
		t.Fatalf("%d of 100 requests went to the twenty workers of an unreachable zone, want at most 20", lost)
	}
}

// countSendsToWorker0 lets n requests arrive, all of which succeed, and returns the number of sends to worker 0.
func countSendsToWorker0(h *harness, class, n int) (got int) {
	for range n {
		id, actions := h.arrive(class, 10*ms)
		for _, w := range sendTargets(actions) {
			if w == 0 {
				got++
			}
		}
		h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultOK, Final: true})
	}
	return got
}

// A worker that another dispatcher reports as an outlier receives no non-idempotent request until a probe succeeds. After that,
// further reports within outlierReportInterval are ignored. At most a third of the workers are ejected.
func TestOutlierReported_LimitsToProbes(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(6)...)
	countSends := func(class, n int) int { return countSendsToWorker0(h, class, n) }
	reportOutlier := func(w WorkerID) { h.handle(Event{Kind: OutlierReported, Worker: w}) }
	reportOutlier(-1)
	reportOutlier(99)
	if countSends(classNonIdempotent, 60) == 0 {
		t.Fatal("no request went to the worker before the report, want some")
	}
	reportOutlier(0)
	if n := countSends(classNonIdempotent, 60); n > 0 {
		t.Errorf("%d non-idempotent requests went to an ejected worker, want none", n)
	}
	h.wait(Second)
	if n := countSends(classIdempotent, 60); n == 0 {
		t.Error("the ejected worker was not probed")
	}
	if reportOutlier(0); countSends(classNonIdempotent, 60) == 0 {
		t.Error("a report ejected a worker right after a successful probe")
	}
	h.wait(outlierReportInterval)
	if reportOutlier(0); countSends(classNonIdempotent, 60) > 0 {
		t.Error("a report after the interval was ignored")
	}
	h.wait(Second)
	failed := 0
	for failed == 0 { // the first probe fails: the worker stays ejected
		id, actions := h.arrive(classIdempotent, 10*ms)
		to := sendTargets(actions)[0]
		if to == 0 {
			failed++
			h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultFailed, Final: true})
		} else {
			h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultOK, Final: true})
		}
	}
	if n := countSends(classNonIdempotent, 60); n > 0 {
		t.Errorf("%d non-idempotent requests went to the worker after a failed probe, want none", n)
	}
	for w := range WorkerID(6) {
		reportOutlier(w)
	}
	ejected := 0
	for _, w := range h.dispatcher.ready {
		if w.ejected {
			ejected++
		}
	}
	if ejected != 2 {
		t.Errorf("%d of 6 workers are ejected, want 2", ejected)
	}
}
