package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// A worker that others know to have come further gets nothing until it is let in again, and is as warm then as the list has it. Its
// latest start counts, also where the word that it leaves has none.
func TestExcludeOutdated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{respond: sendToFirstWorker}
		engine := newEngine(t, decider)
		began := time.Now()
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", began.UnixMilli()))
		attempt := (<-mustOpen(t, engine, "a").Decisions()).Attempt
		engine.ExcludeOutdated([]string{"w", "unknown"})
		if available, _ := engine.Ready(); available || attempt.MaySend() || engine.KnowsWorker("unknown") {
			t.Fatal("it is in use still, or a name from another was taken for a worker's")
		}
		attempt.Finish(dispatch.ResultNotSent, nil)
		time.Sleep(time.Second)
		engine.ExcludeOutdated(nil)
		engine.ExcludeOutdated(nil)
		if included := decider.eventsOf(dispatch.WorkerEnabled); len(included) != 1 || included[0].Elapsed != dispatch.Second {
			t.Fatalf("put back: %+v", included)
		}
		engine.UpdateEndpoints(listWith(dispatch.Draining, "a:1", 0))
		if workers, synced := engine.ListedWorkers(time.Hour); !synced || len(workers) != 1 || workers[0] != (ListedWorker{"w", began.UnixMilli(), dispatch.Draining}) {
			t.Fatalf("%+v", workers)
		}
	})
}
