package dispatch

import "testing"

// A worker that fails for another dispatcher gets no job that may not be repeated until it gives a sign to us; then that one's word
// is not heeded for a while. What all are said to share is no one's fault.
func TestOutlierReported_LimitsToProbes(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(6)...)
	requestsAt := func(class, n int) (got int) {
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
	reportOutlier := func(w WorkerID) { h.handle(Event{Kind: OutlierReported, Worker: w}) }
	reportOutlier(-1)
	reportOutlier(99)
	if requestsAt(classNonIdempotent, 60) == 0 {
		t.Fatal("nothing goes to the worker in the first place")
	}
	reportOutlier(0)
	if n := requestsAt(classNonIdempotent, 60); n > 0 {
		t.Errorf("%d jobs that may not be repeated went to a doubted worker", n)
	}
	h.wait(Second)
	if n := requestsAt(classIdempotent, 60); n == 0 {
		t.Error("no trial")
	}
	if reportOutlier(0); requestsAt(classNonIdempotent, 60) == 0 {
		t.Error("a worker that has proved good for us is left alone by another's word")
	}
	h.wait(outlierReportInterval)
	if reportOutlier(0); requestsAt(classNonIdempotent, 60) > 0 {
		t.Error("a later word is not heeded")
	}
	h.wait(Second)
	failed := 0
	for failed == 0 { // its first trial fails: that is no reason to trust it
		id, actions := h.arrive(classIdempotent, 10*ms)
		to := sendTargets(actions)[0]
		if to == 0 {
			failed++
			h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultFailed, Final: true})
		} else {
			h.handle(Event{Kind: AttemptEnded, Request: id, Result: ResultOK, Final: true})
		}
	}
	if n := requestsAt(classNonIdempotent, 60); n > 0 {
		t.Errorf("%d jobs that may not be repeated went there after a trial that failed", n)
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
		t.Errorf("%d of 6 are doubted", ejected)
	}
}
