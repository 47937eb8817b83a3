package maintenance

import (
	"strings"
	"testing"
)

// TestMachine_PassesThroughAllPhases moves one machine through all phases of a plan, and verifies that its drain waits for a silent member
// until the fence timeout and no longer.
func TestMachine_PassesThroughAllPhases(t *testing.T) {
	f := newFixture(t, Plan{})
	f.expectCode(CodeOK, Command{Kind: CommandStartPlan, Name: "p"})
	f.advance(second, "c")
	f.expectPhases("") // not running yet: c has not confirmed the plan
	f.advance(second)
	f.expectPhases("m0 leaving") // the lowest weight goes first
	if excluded := f.state.Excluded().Workers; !excluded["r0"] || excluded["r1"] || !f.state.Leased().Workers["r5"] {
		t.Errorf("excluded %v, want r0 but not r1; leased %v, want r5 too", f.state.Excluded(), f.state.Leased())
	}
	f.expectCode(CodeRetryLater, Command{Kind: CommandClaimMachine, Machine: "m0"})
	f.advance(4*second, "c")
	f.expectPhases("m0 leaving")
	f.advance(second, "c")
	f.expectPhases("m0 clear")
	f.expectCode(CodeOK, Command{Kind: CommandClaimMachine, Machine: "m0"})
	f.expectCode(CodeOK, Command{Kind: CommandClaimMachine, Machine: "m0"}) // a repeated call
	f.expectCode(CodeInvalid, Command{Kind: CommandSkipMachine, Machine: "m0"})
	f.expectCode(CodeInvalid, Command{Kind: CommandReturnMachine, Machine: "m1"})
	f.expectCode(CodeOK, Command{Kind: CommandReturnMachine, Machine: "m0"})
	f.advance(second) // no member reports it as warming up yet, so it does not count as warm
	f.expectPhases("m0 returning")
	f.changeWorker("r0", func(w *Worker) { w.WarmingUp = true })
	f.advance(9 * second)
	f.expectPhases("m0 returning")
	f.changeWorker("r0", func(w *Worker) { w.WarmingUp = false })
	f.advance(second)
	f.expectPhases("m0 warm, m1 leaving") // m1 is in the other zone
	f.advance(second)
	f.expectPhases("m0 done, m1 clear")
	f.expectCode(CodeOK, Command{Kind: CommandAbortPlan, Name: "p"})
	f.expectPhases("m0 done, m1 returning, m2 skipped, m3 skipped, m4 skipped, m5 skipped")
	f.advance(3 * second)
	f.advance(second)
	f.expectPhases("m0 done, m1 skipped, m2 skipped, m3 skipped, m4 skipped, m5 skipped") // m1 was never claimed
	f.expectCode(CodeOK, Command{Kind: CommandReturnMachine, Machine: "m0"})              // a repeated call after the plan has ended
	f.expectCode(CodeInvalid, Command{Kind: CommandClaimMachine, Machine: "m1"})
	if f.state.Plans[0].Phase != PlanEnded {
		t.Errorf("the plan is %s, want ended", f.state.Plans[0].Phase)
	}
}

// TestDrain_BlockedByMember verifies which reports of members keep a machine from being drained before the fence timeout.
func TestDrain_BlockedByMember(t *testing.T) {
	for name, change := range map[string]func(*fixture){
		"a member has an attempt running": func(f *fixture) {
			f.proposal.Reports["b"] = MemberReport{Incarnation: "1", SoleProcess: true, BusyWorkers: []string{"r0"}}
		},
		"the next incarnation reports": func(f *fixture) { f.proposal.Reports["b"] = MemberReport{Incarnation: "2", SoleProcess: true} },
		"another process is running":   func(f *fixture) { f.proposal.Reports["b"] = MemberReport{Incarnation: "1"} },
		"a new member has not reported": func(f *fixture) {
			f.apply(Command{Kind: CommandJoinMember, Member: &Member{Name: "e", Incarnation: "1"}})
		},
	} {
		f := newFixture(t, Plan{})
		f.startPlan()
		change(f)
		f.advance(second)
		f.expectPhases("m0 leaving")
		reason := f.state.WaitReasons(f.state.Plans[0], &f.proposal)["m0"]
		if !strings.Contains(reason, "b") && !strings.Contains(reason, "e") {
			t.Errorf("%s: reason is %q, must name the blocking member", name, reason)
		}
		f.advance(5 * second)
		f.expectPhases("m0 clear")
	}
}

// TestOverdue_FollowsPlanSetting verifies what a plan does when a drain exceeds its timeout, for each OverdueAction.
func TestOverdue_FollowsPlanSetting(t *testing.T) {
	for _, test := range []struct {
		onOverdue OverdueAction
		phases    string
		plan      PlanPhase
	}{
		{OverdueWait, "m0 leaving", PlanRunning}, {OverduePause, "m0 leaving", PlanPaused}, {OverdueSkip, "m0 returning", PlanRunning},
	} {
		f := newFixture(t, Plan{DrainTimeout: 2 * second, OnOverdue: test.onOverdue})
		f.startPlan()
		f.advance(3*second, "c")
		f.expectPhases(test.phases)
		plan := f.state.Plans[0]
		if plan.Phase != test.plan || test.onOverdue != OverdueSkip && !plan.MachineStates[0].Overdue {
			t.Errorf("%s: plan is %s, want %s; machine is %+v, want overdue unless returning",
				test.onOverdue, plan.Phase, test.plan, plan.MachineStates[0])
		}
	}
}

// TestReturn_FailsWhenLate verifies that a machine is marked as overdue when the maintenance exceeds its timeout, that it fails when it is
// not back in service in time, and that it is done once it is back.
func TestReturn_FailsWhenLate(t *testing.T) {
	f := newFixture(t, Plan{WorkTimeout: 2 * second, ReturnTimeout: 5 * second, OnOverdue: OverduePause})
	f.startPlan()
	f.advance(second)
	f.expectCode(CodeOK, Command{Kind: CommandClaimMachine, Machine: "m0"})
	f.advance(3 * second)
	plan := f.state.Plans[0]
	if plan.Phase != PlanPaused || !plan.MachineStates[0].Overdue {
		t.Errorf("plan is %s, want paused; machine is %+v, want overdue", plan.Phase, plan.MachineStates[0])
	}
	f.expectCode(CodeOK, Command{Kind: CommandReturnMachine, Machine: "m0"})
	f.changeWorker("r0", func(w *Worker) { w.Unavailable = true })
	f.advance(6 * second)
	f.expectPhases("m0 failed")
	f.expectCode(CodeInvalid, Command{Kind: CommandClaimMachine, Machine: "m0"})
	f.changeWorker("r0", func(w *Worker) { w.Unavailable = false })
	f.advance(second)
	f.advance(second)
	f.expectPhases("m0 done")
}

// TestAdvance_CountsTimeOnce verifies that the elapsed time of a proposal for a former state is not added to the clock a second time.
func TestAdvance_CountsTimeOnce(t *testing.T) {
	f := newFixture(t, Plan{})
	f.startPlan()
	repeated := f.proposal
	repeated.StateSeq, repeated.Elapsed, repeated.Reports = f.state.Seq, 4*second, nil
	f.apply(Command{Kind: CommandAdvance, Advance: &repeated})
	clock := f.state.Clock
	f.apply(Command{Kind: CommandAdvance, Advance: &repeated}) // for instance from a former leader
	if f.state.Clock != clock {
		t.Errorf("a repeated proposal advanced the clock from %v to %v", clock, f.state.Clock)
	}
}

// TestHost_CoversAllItsWorkers verifies that each worker listed at a host belongs to the host's machine, whatever its name and whenever it
// was added to the list.
func TestHost_CoversAllItsWorkers(t *testing.T) {
	f := newFixture(t, Plan{Machines: []Machine{{Name: "h", Host: "h0"}}})
	for _, name := range []string{"r0", "r1"} {
		f.changeWorker(name, func(w *Worker) { w.Host = "h0" })
	}
	f.startPlan()
	f.expectPhases("h leaving")
	expectWorkers := func(want string) {
		t.Helper()
		if got := strings.Join(f.state.Plans[0].MachineStates[0].Workers, " "); got != want {
			t.Errorf("workers of the host: %q, want %q", got, want)
		}
	}
	expectWorkers("r0 r1")
	if excluded := f.state.Excluded(); !excluded.Hosts["h0"] || len(excluded.Workers) > 0 {
		t.Errorf("excluded: %+v, want host h0 alone", excluded)
	}
	f.changeWorker("r0", func(w *Worker) { w.Gone, w.Unavailable = true, true })
	f.changeWorker("new", func(w *Worker) { *w = Worker{Host: "h0", Zone: "z0", Kind: "k0", Weight: 1, WarmingUp: true} })
	// A member has an attempt at a worker that the leader does not know yet.
	f.proposal.Reports["b"] = MemberReport{Incarnation: "1", SoleProcess: true, BusyHosts: []string{"h0"}}
	f.advance(second)
	f.expectPhases("h leaving")
	expectWorkers("new r0 r1")
	f.proposal.Reports["b"] = MemberReport{Incarnation: "1", SoleProcess: true}
	f.advance(second)
	f.expectCode(CodeOK, Command{Kind: CommandClaimMachine, Machine: "h"})
	f.expectCode(CodeOK, Command{Kind: CommandReturnMachine, Machine: "h"})
	otherPlan := &Plan{Name: "q", MaxUnavailable: 1, OnOverdue: OverdueWait, Machines: []Machine{{Name: "x", Host: "h0"}}}
	problems := strings.Join(f.state.ValidatePlan(otherPlan), " ")
	if !strings.Contains(problems, `machine[0].host: "h0" is in plan "p"`) {
		t.Errorf("problems of a second plan for the host: %s; must name plan p", problems)
	}
	fleet := f.proposal.Fleet // no worker is listed at the host yet, so the machine is not back in service
	f.proposal.Fleet = map[string]Worker{}
	f.advance(9 * second)
	expectWorkers("new r0 r1")
	f.proposal.Fleet = fleet
	f.advance(second)
	expectWorkers("new r1")
	f.expectPhases("h returning")
	f.changeWorker("new", func(w *Worker) { w.WarmingUp = false })
	f.advance(second)
	f.advance(second)
	f.expectPhases("h done")
	// A worker that left the list during the maintenance does not count as unavailable. One that leaves it later does.
	units := f.state.budgetUnits(&f.proposal)
	if units["runner r0"] != nil || units["runner new"].unavailable {
		t.Errorf("budget units after the maintenance: %+v, want none of r0, and that of the new worker available", units)
	}
	f.changeWorker("new", func(w *Worker) { w.Gone, w.Unavailable = true, true })
	units = f.state.budgetUnits(&f.proposal)
	if !units["runner new"].unavailable {
		t.Error("a worker that left the list after the maintenance does not count as unavailable")
	}
}
