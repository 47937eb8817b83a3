package maintenance

import (
	"fmt"
	"testing"
)

// TestBudget_LimitsDrainedMachines verifies which machines a plan drains within its budget, and in which order.
func TestBudget_LimitsDrainedMachines(t *testing.T) {
	for name, test := range map[string]struct {
		plan   Plan
		change func(*fixture)
		want   string
	}{
		"one at a time":          {Plan{}, func(*fixture) {}, "m0 leaving"},
		"three, one per zone":    {Plan{MaxUnavailable: 3, MaxUnavailablePerZone: 1}, func(*fixture) {}, "m0 leaving, m1 leaving"},
		"three, one per kind":    {Plan{MaxUnavailable: 3, MaxUnavailablePerKind: 1}, func(*fixture) {}, "m0 leaving, m3 leaving"},
		"19 of 21 stay":          {Plan{MaxUnavailable: 6, MinCapacity: 0.9}, func(*fixture) {}, "m0 leaving"},
		"another is unavailable": {Plan{}, func(f *fixture) { f.proposal.Fleet["x"] = Worker{Zone: "z0", Kind: "k0", Unavailable: true} }, ""},
		"another is disabled":    {Plan{}, func(f *fixture) { f.proposal.Fleet["x"] = Worker{Zone: "z0", Kind: "k0", Disabled: true} }, ""},
		"another is warming up":  {Plan{}, func(f *fixture) { f.proposal.Fleet["x"] = Worker{Zone: "z0", Kind: "k0", WarmingUp: true} }, ""},
		"unavailable first":      {Plan{}, func(f *fixture) { f.changeWorker("r4", func(w *Worker) { w.Unavailable = true }) }, "m4 leaving"},
		"one of two unavailable": {Plan{}, func(f *fixture) {
			for _, name := range []string{"r2", "r4"} {
				f.changeWorker(name, func(w *Worker) { w.Unavailable = true })
			}
		}, "m2 leaving"},
		"a zone unavailable": {Plan{MinCapacity: 0.9}, func(f *fixture) {
			for _, name := range []string{"r1", "r3", "r5"} {
				f.changeWorker(name, func(w *Worker) { w.Unavailable = true })
			}
		}, "m1 leaving"},
		"another zone first": {Plan{MaxUnavailable: 2, Machines: []Machine{
			machineOf("m0", "r0"), machineOf("m2", "r2"), machineOf("m1", "r1"),
		}}, func(f *fixture) {
			for i := range 3 {
				f.changeWorker(fmt.Sprint("r", i), func(w *Worker) { w.Weight = 1 })
			}
		}, "m0 leaving, m1 leaving"},
		"not the last of a kind": {Plan{MaxUnavailable: 9}, func(f *fixture) {
			f.changeWorker("r0", func(w *Worker) { w.Kind = "rare" })
		}, "m1 leaving, m3 leaving, m4 leaving"},
		"not the last of a zone": {Plan{MaxUnavailable: 9}, func(f *fixture) {
			f.changeWorker("r0", func(w *Worker) { w.Zone = "far" })
		}, "m1 leaving, m2 leaving, m3 leaving"},
		"an unknown worker in the plan": {Plan{}, func(f *fixture) { delete(f.proposal.Fleet, "r0") }, "m0 leaving"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, test.plan)
			test.change(f)
			report := MemberReport{Incarnation: "1", SoleProcess: true}
			for i := range 6 { // attempts at all workers, so that no machine is drained
				report.BusyWorkers = append(report.BusyWorkers, fmt.Sprint("r", i))
			}
			f.proposal.Reports["b"] = report
			f.startPlan()
			for range 8 {
				f.advance(second / 100)
			}
			f.expectPhases(test.want)
			if test.want == "" && len(f.state.WaitReasons(f.state.Plans[0], &f.proposal)) != len(f.state.Plans[0].MachineStates) {
				t.Errorf("reasons: %v, want one per machine", f.state.WaitReasons(f.state.Plans[0], &f.proposal))
			}
		})
	}
}

// TestBudget_SharedByPlans verifies that a machine that one plan has taken out of service counts against the budget of another plan.
func TestBudget_SharedByPlans(t *testing.T) {
	f := newFixture(t, Plan{Machines: []Machine{machineOf("m0", "r0")}})
	f.expectCode(CodeOK, Command{Kind: CommandSubmitPlan, Plan: &Plan{
		Name: "q", MaxUnavailable: 1, OnOverdue: OverdueWait, Machines: []Machine{machineOf("n1", "r1")},
	}})
	f.expectCode(CodeOK, Command{Kind: CommandStartPlan, Name: "q"})
	f.startPlan()
	f.advance(second)
	_, n1 := f.state.FindMachine("q", "n1")
	_, m0 := f.state.FindMachine("p", "m0")
	if excluded := len(f.state.Excluded().Workers); excluded != 1 {
		t.Errorf("%d workers excluded, want 1; m0 is %s, n1 is %s", excluded, m0.Phase, n1.Phase)
	}
	f.expectCode(CodeOK, Command{Kind: CommandAbortPlan, Name: "p"})
	for range 4 {
		f.advance(3 * second)
	}
	if n1.Phase != MachineDrained {
		t.Errorf("after the other plan has ended, n1 is %s, want drained", n1.Phase)
	}
}
