package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// A worker of which others know a later state is sent nothing until they no longer do, and then warms up from its listed start.
// Its latest start counts, even if it is listed as leaving without one.
func TestExcludeOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{respond: sendToFirstWorker}
		engine := newEngine(t, decider)
		began := time.Now()
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", began.UnixMilli()))
		attempt := mustStart(t, engine, "a")
		engine.ExcludeOutdated([]string{"w", "unknown"})
		if available, _ := engine.Ready(); available || attempt.MaySend() || engine.KnowsWorker("unknown") {
			t.Fatal("it may be sent to still, or a name of another's counts as a known worker")
		}
		attempt.Finish(dispatch.ResultNotSent, nil)
		time.Sleep(time.Second)
		engine.ExcludeOutdated(nil)
		engine.ExcludeOutdated(nil)
		if included := decider.eventsOf(dispatch.WorkerEnabled); len(included) != 1 || included[0].Elapsed != dispatch.Second {
			t.Fatalf("enabled: %+v", included)
		}
		engine.UpdateEndpoints(listWith(dispatch.Draining, "a:1", 0))
		workers, synced := engine.ListedWorkers(time.Hour)
		if want := (ListedWorker{"w", began.UnixMilli(), dispatch.Draining}); !synced || len(workers) != 1 || workers[0] != want {
			t.Fatalf("synced %t, %+v, want %+v", synced, workers, want)
		}
	})
}
