package dispatch

import "testing"

// runsWithHints returns a dispatcher that has completed requests whose hints of the expected work were correct, or, if misleading
// is set, unrelated to the run times.
func runsWithHints(t *testing.T, misleading bool) *harness {
	h := newHarness(t, testSettings(), fleet(4)...)
	for i := range 200 {
		hint, run := 100*ms, 100*ms
		if i%2 == 0 {
			hint = 900 * ms
		}
		if i%4 < 2 && misleading || i%2 == 0 && !misleading {
			run = 900 * ms
		}
		id, actions := h.arrive(classIdempotent, hint)
		if len(actions) == 0 {
			actions = h.wait(100 * ms)
		}
		if countKind(actions, Send) == 1 {
			h.wait(ms)
			h.startAndEnd(id, run)
		}
	}
	return h
}

func TestCalibrateHint_FollowsCorrelation(t *testing.T) {
	good, misleading := runsWithHints(t, false), runsWithHints(t, true)
	for _, c := range []struct {
		name     string
		harness  *harness
		min, max Time
	}{{"good hints", good, 750 * ms, 950 * ms}, {"hints unrelated to the run times", misleading, 200 * ms, 450 * ms}} {
		if got := c.harness.dispatcher.classes[classIdempotent].calibrateHint(900 * ms); got < c.min || got > c.max {
			t.Errorf("%s: a hint of 0.9 s is calibrated to %v us, want %v to %v", c.name, got, c.min, c.max)
		}
	}
}

func TestRecordRun_SharedSlowdownMovesSlowdownOnly(t *testing.T) {
	h := newHarness(t, testSettings(), fleet(2)...)
	run := 100 * ms
	for i := range 160 {
		if i == 100 {
			run = 300 * ms // all runs take longer from here on
		}
		id, actions := h.arrive(classIdempotent, 0)
		if countKind(append(actions, h.wait(20*ms)...), Send) == 1 {
			h.startAndEnd(id, run)
		}
	}
	meanRun := h.dispatcher.classes[classIdempotent].meanRun
	if meanRun > 200e3 || h.dispatcher.fleet.slowdown < 1.4 {
		t.Fatalf("mean run %v us, slowdown %v after 60 runs that took three times as long, want the slowdown alone increased", meanRun, h.dispatcher.fleet.slowdown)
	}
}

// If the work of a queued request is unknown, it has to be sent earlier the more the run times vary: a short request has an earlier
// objective, and the difference is larger than that of the run times. Requests with hints are not affected.
func TestLatestOnTimeSend_AllowsForRunDeviation(t *testing.T) {
	slack := func(work Time, runs ...Time) Time {
		h := newHarness(t, testSettings(), fleet(1)...)
		for i := range 80 {
			id, _ := h.arriveAndSend(classNonIdempotent, 0)
			h.startAndEnd(id, runs[i%len(runs)])
			h.wait(50 * ms)
		}
		busy, _ := h.arriveAndSend(classNonIdempotent, 0)
		h.start(busy, 0)
		id, _ := h.arrive(classNonIdempotent, work)
		r := h.dispatcher.request(id)
		if r == nil {
			t.Fatal("the request is not queued")
		}
		return r.objectiveAt - h.dispatcher.latestOnTimeSend(r) - Time(h.dispatcher.expectedWork(r)*h.dispatcher.fleet.slowdown)
	}
	even, uneven := slack(0, 200*ms), slack(0, 100*ms, 300*ms)
	if even > 40*ms || uneven < even+30*ms {
		t.Errorf("slack %d us with equal runs, %d us with varying runs, want at most 40 ms and at least 30 ms more", even, uneven)
	}
	if hinted := slack(200*ms, 100*ms, 300*ms); hinted != 0 {
		t.Errorf("slack %d us of a request with a hint, want 0", hinted)
	}
}

// With many dispatchers each sees few runs of each kind, and knows nothing about a new worker: the slowdown of a kind has to adapt
// within a few runs.
func TestSlowdown_KindsDifferAfterFewRuns(t *testing.T) {
	s := testSettings()
	list := fleet(20)
	for i := range list {
		list[i].Kind, list[i].Weight = i%2, float64(1+2*(i%2))
	}
	h := newHarness(t, s, list...)
	if small, big := h.dispatcher.capacityOf(h.dispatcher.workers[0]), h.dispatcher.capacityOf(h.dispatcher.workers[1]); small != initialCapacity/2 || big != initialCapacity*1.5 {
		t.Errorf("new workers with weights 1 and 3 (mean 2) have capacities %v and %v, want 1/2 and 3/2 of the initial capacity", small, big)
	}
	runs := [2]int{}
	for runs[0] < 6 || runs[1] < 6 {
		id, actions := h.arrive(classIdempotent, 100*ms)
		if len(actions) != 1 || actions[0].Kind != Send {
			t.Fatalf("got %v, want a send", actions)
		}
		kind := int(actions[0].Worker) % 2
		runs[kind]++
		h.handle(Event{Kind: AttemptStarted, Request: id, Worker: actions[0].Worker})
		h.wait(Time(300-200*kind) * ms)
		h.end(id, 0, ResultOK)
	}
	if slow, quick := h.dispatcher.kinds[0].slowdown, h.dispatcher.kinds[1].slowdown; slow < 1.5*quick {
		t.Errorf("after %v runs of 300 and 100 ms the slowdowns of the kinds are %.2f and %.2f, want the first at least 1.5 times the second", runs, slow, quick)
	}
}
