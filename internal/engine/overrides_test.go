package engine

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// disabled returns an override that disables one worker.
func disabled(name string, at time.Time) map[string]Override {
	return map[string]Override{name: {Disabled: true, At: at}}
}

// enabled returns an override that enables one worker.
func enabled(name string, at time.Time) map[string]Override {
	return map[string]Override{name: {At: at}}
}

// An attempt that was started before its worker was disabled must not be sent afterwards. This also holds after the worker is enabled
// again, because the process for which the attempt was started has ended.
func TestMaySend_FalseAfterWorkerWasDisabled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		decider := &scriptedDecider{respond: sendToFirstWorker}
		engine := newEngine(t, decider)
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
		var retired []string
		engine.OnEndpointRetired(func(endpoint RetiredEndpoint) { retired = append(retired, endpoint.Address) })
		attempt := mustStart(t, engine, "a")
		if !attempt.MaySend() {
			t.Fatal("MaySend returned false before the worker was disabled")
		}
		engine.ApplyOverrides(disabled("w", time.Now()))
		if attempt.MaySend() {
			t.Fatal("MaySend returned true for a disabled worker")
		}
		whileDisabled := mustOpen(t, engine, "c")
		late := (<-whileDisabled.Decisions()).Attempt
		if late.MaySend() { // although the decision module has requested it
			t.Fatal("MaySend returned true for an attempt that was started while the worker was disabled")
		}
		late.Finish(dispatch.ResultNotSent, nil)
		whileDisabled.Close()
		if available, _ := engine.Ready(); available {
			t.Fatal("the engine is ready although its only worker is disabled")
		}
		engine.UpdateEndpoints(listWith(dispatch.Ready, "a:1", 0))
		time.Sleep(time.Second)
		engine.ApplyOverrides(enabled("w", time.Now()))
		if attempt.MaySend() {
			t.Fatal("MaySend returned true for a later process of the worker")
		}
		if want := []string{"a:1", "a:1"}; !slices.Equal(retired, want) {
			t.Fatalf("retired endpoints %v, want %v", retired, want)
		}
		attempt.Finish(dispatch.ResultNotSent, nil)
		if afterEnabled := mustStart(t, engine, "b"); !afterEnabled.MaySend() {
			t.Fatal("MaySend returned false after the worker was enabled again")
		}
		excluded, included := decider.eventsOf(dispatch.WorkerDisabled), decider.eventsOf(dispatch.WorkerEnabled)
		if len(excluded) != 1 || len(included) != 1 || excluded[0].Worker != 0 {
			t.Fatalf("WorkerDisabled events %v, WorkerEnabled events %v, want one of each", excluded, included)
		}
	})
}

// The newest override of a worker applies, whatever the order of arrival. The time since an override counts from the operator's
// command, not from its arrival.
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
			t.Fatalf("disabled workers %v, want [w]", got)
		}
		engine.ApplyOverrides(enabled("w", began.Add(2500*time.Millisecond)))
		included := decider.eventsOf(dispatch.WorkerEnabled)
		if len(engine.DisabledWorkers()) != 0 || decider.count(dispatch.WorkerDisabled) != 1 {
			t.Fatalf("disabled workers %v, want none; events %+v", engine.DisabledWorkers(), decider.events)
		}
		if len(included) != 1 || included[0].Elapsed != 500*dispatch.Millisecond {
			t.Fatalf("WorkerEnabled events %+v, want one with 500 ms elapsed", included)
		}
	})
}
