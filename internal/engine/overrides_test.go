package engine

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// disabled is an override that disables one worker.
func disabled(name string, at time.Time) map[string]Override {
	return map[string]Override{name: {Disabled: true, At: at}}
}

// enabled is an override that enables one worker.
func enabled(name string, at time.Time) map[string]Override {
	return map[string]Override{name: {At: at}}
}

// An attempt that was ordered before its worker was disabled is not sent after that, not even once the worker is enabled: the
// process for which it was meant has ended.
func TestMaySend_FalseAfterWorkerWasDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{respond: sendToFirstWorker}
		engine := newEngine(t, decider)
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
		var retired []string
		engine.OnEndpointRetired(func(endpoint RetiredEndpoint) { retired = append(retired, endpoint.Address) })
		attempt := mustStart(t, engine, "a")
		if !attempt.MaySend() {
			t.Fatal("it may not be sent at all")
		}
		engine.ApplyOverrides(disabled("w", time.Now()))
		if attempt.MaySend() {
			t.Fatal("it is sent to a disabled worker")
		}
		whileDisabled := mustOpen(t, engine, "c")
		late := (<-whileDisabled.Decisions()).Attempt
		if late.MaySend() { // whatever the decision module orders
			t.Fatal("one that is ordered meanwhile is sent")
		}
		late.Finish(dispatch.ResultNotSent, nil)
		whileDisabled.Close()
		if available, _ := engine.Ready(); available {
			t.Fatal("a worker is available though the only one is disabled")
		}
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
		time.Sleep(time.Second)
		engine.ApplyOverrides(enabled("w", time.Now()))
		if attempt.MaySend() {
			t.Fatal("it is sent to the process after the one that it was ordered for")
		}
		if want := []string{"a:1", "a:1"}; !slices.Equal(retired, want) {
			t.Fatalf("endpoints retired: %v, want %v", retired, want)
		}
		attempt.Finish(dispatch.ResultNotSent, nil)
		if afterEnabled := mustStart(t, engine, "b"); !afterEnabled.MaySend() {
			t.Fatal("nothing is sent to the enabled worker")
		}
		excluded, included := decider.eventsOf(dispatch.WorkerDisabled), decider.eventsOf(dispatch.WorkerEnabled)
		if len(excluded) != 1 || len(included) != 1 || excluded[0].Worker != 0 {
			t.Fatalf("excluded %v, included %v", excluded, included)
		}
	})
}

// The newest override of a worker counts, in whatever order they arrive. One from a while ago counts from its time.
func TestApplyOverrides_IgnoresOlder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{}
		engine := newEngine(t, decider)
		began := time.Now()
		time.Sleep(3 * time.Second)
		engine.ApplyOverrides(disabled("w", began.Add(2*time.Second)))
		engine.ApplyOverrides(enabled("w", began.Add(time.Second)))
		engine.ApplyOverrides(disabled("w", began.Add(2*time.Second)))
		if got := engine.DisabledWorkers(); !slices.Equal(got, []string{"w"}) {
			t.Fatalf("disabled: %v", got)
		}
		engine.ApplyOverrides(enabled("w", began.Add(2500*time.Millisecond)))
		included := decider.eventsOf(dispatch.WorkerEnabled)
		if len(engine.DisabledWorkers()) != 0 || decider.count(dispatch.WorkerDisabled) != 1 {
			t.Fatalf("disabled: %v, events %+v", engine.DisabledWorkers(), decider.events)
		}
		if len(included) != 1 || included[0].Elapsed != 500*dispatch.Millisecond {
			t.Fatalf("enabled: %+v", included)
		}
	})
}
