package engine

import (
	"testing"

	"birchfork/dispatch"
)

// Others hear of jobs that fail in a row at one worker, not of a chance failure; what they say reaches the module, by name.
func TestOnOutlier_ReportsConsecutiveFailures(t *testing.T) {
	decider := &scriptedDecider{respond: sendToFirstWorker}
	engine := newEngine(t, decider)
	engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
	name := listWith(dispatch.Ready, "a:1", 0).Endpoints[0].Name
	reports := 0
	attempt := (<-mustOpen(t, engine, "a").Decisions()).Attempt
	finish := func(result dispatch.Result) {
		engine.mu.Lock()
		defer engine.mu.Unlock()
		attempt.finished = false // once more
		attempt.finish(result, nil)
	}
	finish(dispatch.ResultFailed) // nobody hears
	finish(dispatch.ResultFailed)
	engine.OnOutlier(func(worker string) {
		if reports++; worker != name {
			t.Errorf("told of %q", worker)
		}
	})
	for i, c := range []struct {
		result  dispatch.Result
		reports int
	}{{dispatch.ResultFailed, 0}, {dispatch.ResultOK, 0}, {dispatch.ResultDisconnected, 0}, {dispatch.ResultNotSent, 0}, {dispatch.ResultFailed, 1}, {dispatch.ResultTimedOut, 1}, {dispatch.ResultFailed, 2}} {
		if finish(c.result); reports != c.reports {
			t.Errorf("after %d ends told %d times, want %d", i+1, reports, c.reports)
		}
	}
	engine.HandleOutlierReport("nobody")
	engine.HandleOutlierReport(name)
	if events := decider.eventsOf(dispatch.OutlierReported); len(events) != 1 || events[0].Worker != 0 {
		t.Errorf("the module heard %+v", events)
	}
}
