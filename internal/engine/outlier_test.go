package engine

import (
	"testing"

	"birchfork/dispatch"
)

// Consecutive failures at a worker are reported, a single failure is not. Reports from other dispatchers are passed to the decision
// module if they name a known worker.
func TestOnOutlier_ReportsConsecutiveFailures(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	name := listWith(dispatch.Ready, "a:1", 0).Endpoints[0].Name
	reports := 0
	attempt := mustStart(t, engine, "a")
	finish := func(result dispatch.Result) {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		attempt.finished = false // allows another finish of the same attempt
		attempt.finish(result, nil)
	}
	finish(dispatch.ResultFailed) // no function is set yet
	finish(dispatch.ResultFailed)
	engine.OnOutlier(func(worker string) {
		reports++
		if worker != name {
			t.Errorf("reported worker %q, want w", worker)
		}
	})
	for i, c := range []struct {
		result  dispatch.Result
		reports int
	}{
		{dispatch.ResultFailed, 0},
		{dispatch.ResultOK, 0},
		{dispatch.ResultDisconnected, 0},
		{dispatch.ResultNotSent, 0},
		{dispatch.ResultFailed, 1},
		{dispatch.ResultTimedOut, 1},
		{dispatch.ResultFailed, 2},
	} {
		finish(c.result)
		if reports != c.reports {
			t.Errorf("after %d attempts: %d reports, want %d", i+1, reports, c.reports)
		}
	}
	engine.HandleOutlierReport("nobody")
	engine.HandleOutlierReport(name)
	if events := decider.eventsOf(dispatch.OutlierReported); len(events) != 1 || events[0].Worker != 0 {
		t.Errorf("OutlierReported events %+v, want one for worker 0", events)
	}
}
