package engine

import (
	"testing"

	"birchfork/dispatch"
)

// Attempts that fail in a row at one worker are reported, a single failure is not. Reports of others reach the decision module,
// by name.
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
		attempt.finished = false // to finish it again
		attempt.finish(result, nil)
	}
	finish(dispatch.ResultFailed) // before a function is set
	finish(dispatch.ResultFailed)
	engine.OnOutlier(func(worker string) {
		reports++
		if worker != name {
			t.Errorf("%q is reported", worker)
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
			t.Errorf("after %d ends %d reports, want %d", i+1, reports, c.reports)
		}
	}
	engine.HandleOutlierReport("nobody")
	engine.HandleOutlierReport(name)
	if events := decider.eventsOf(dispatch.OutlierReported); len(events) != 1 || events[0].Worker != 0 {
		t.Errorf("events %+v", events)
	}
}
