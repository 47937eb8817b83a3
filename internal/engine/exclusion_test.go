package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// A worker is excluded while other members know a later state of it, and then warms up from its listed start. Its latest listed
// start is kept if a later entry of the draining worker has no start.
func TestExcludeOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{respond: sendToFirstWorker}
		engine := newEngine(t, decider)
		began := time.Now()
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", began.UnixMilli()))
		attempt := mustStart(t, engine, "a")
		engine.ExcludeOutdated([]string{"w", "unknown"})
		if available, _ := engine.Ready(); available || attempt.MaySend() || engine.KnowsWorker("unknown") {
			t.Fatal("the worker is still usable, or a name from another member counts as known")
		}
		attempt.Finish(dispatch.ResultNotSent, nil)
		time.Sleep(time.Second)
		engine.ExcludeOutdated(nil)
		engine.ExcludeOutdated(nil)
		if included := decider.eventsOf(dispatch.WorkerEnabled); len(included) != 1 || included[0].Elapsed != dispatch.Second {
			t.Fatalf("WorkerEnabled events %+v, want one with 1 s elapsed", included)
		}
		engine.UpdateEndpoints(listWith(dispatch.Draining, "a:1", 0))
		workers, synced := engine.ListedWorkers(time.Hour)
		if want := (ListedWorker{"w", began.UnixMilli(), dispatch.Draining}); !synced || len(workers) != 1 || workers[0] != want {
			t.Fatalf("synced %t, workers %+v, want %+v", synced, workers, want)
		}
	})
}
