package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchfork/internal/failpoint"
)

// advance carries out the leader's proposal: it advances the clock, starts plans that all members have confirmed, moves machines that are
// drained, back in service, warm or overdue to their next phase, and takes the next machine. It takes one machine at a time, so that each
// choice depends on the one before.
func (a *applier) advance(proposal *Advance) {
	// Guards against a proposal of a former leader, or one that another has overtaken: its time would be counted twice.
	if proposal == nil || proposal.StateSeq != a.Seq {
		return
	}
	a.advanceClock(proposal)
	for _, plan := range a.Plans {
		if plan.Phase.active() {
			a.advancePlan(plan, proposal)
		}
	}
	a.takeNextMachine(proposal)
}

// advanceClock advances the group's clock, and raises FenceTimeout and WarmUp to the proposal's.
func (a *applier) advanceClock(proposal *Advance) {
	if proposal.Elapsed > 0 {
		a.Clock += proposal.Elapsed
		a.Seq++ // no other proposal for the same state may count this time again
	}
	if proposal.FenceTimeout > a.FenceTimeout {
		a.FenceTimeout = proposal.FenceTimeout
		a.emit("", "", "a member is waited for %v at the longest", a.FenceTimeout)
	}
	a.WarmUp = max(a.WarmUp, proposal.WarmUp)
}

// advancePlan updates an active plan and moves its machines to their next phases, but takes no further machine.
func (a *applier) advancePlan(plan *PlanState, proposal *Advance) {
	if plan.Phase == PlanAnnounced && len(a.unconfirmedMembers(plan.AnnouncedIndex, proposal)) == 0 {
		plan.Phase = PlanRunning
		a.emit(plan.Name, "", "%s", PlanRunning)
	}
	for _, machine := range plan.MachineStates {
		a.refreshWorkers(plan, machine, proposal)
		a.advanceMachine(plan, machine, proposal)
	}
	a.endIfFinished(plan)
}

// takeNextMachine begins to drain one machine of the first running plan that may take one.
func (a *applier) takeNextMachine(proposal *Advance) {
	for _, plan := range a.Plans {
		if plan.Phase != PlanRunning {
			continue
		}
		machine, _ := a.NextMachine(plan, proposal)
		if machine == nil {
			continue
		}
		plan.LastZone = proposal.zoneOf(machine)
		a.setPhase(plan, machine, MachineDraining)
		return
	}
}

// refreshWorkers updates the workers of a machine that is a host by those that are listed there. While nothing may be sent to the
// machine, workers are only added, as attempts may still run at those that were listed; once it is put back, its workers are those that
// have been started since, whatever their names are.
func (a *applier) refreshWorkers(plan *PlanState, machine *MachineState, proposal *Advance) {
	if machine.Host == "" || machine.Phase.finished() {
		return
	}
	workers := proposal.workersAt(machine.Host)
	if machine.Phase.excluded() {
		workers = append(workers, machine.Workers...)
		slices.Sort(workers)
		workers = slices.Compact(workers)
	} else if len(workers) == 0 && machine.Phase != MachineWaiting {
		return // none has been started yet
	}
	if slices.Equal(workers, machine.Workers) {
		return
	}
	machine.Workers = workers
	a.emit(plan.Name, machine.Name, "its runners are %s", strings.Join(workers, ", "))
}

// workersAt returns the names of the workers that are listed at a host, sorted.
func (a *Advance) workersAt(host string) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(a.Fleet)) {
		if worker := a.Fleet[name]; worker.Host == host && !worker.Gone {
			names = append(names, name)
		}
	}
	return names
}

// advanceMachine moves a machine to its next phase if the proposal allows it.
func (a *applier) advanceMachine(plan *PlanState, machine *MachineState, proposal *Advance) {
	elapsed := a.Clock - machine.PhaseStart
	switch machine.Phase {
	case MachineDraining:
		if a.isDrained(machine, elapsed, proposal) {
			a.setPhase(plan, machine, MachineDrained)
		} else if a.checkOverdue(plan, machine, elapsed, plan.DrainTimeout) && plan.OnOverdue == OverdueSkip {
			a.withdraw(plan, machine)
		}
	case MachineInMaintenance:
		a.checkOverdue(plan, machine, elapsed, plan.WorkTimeout)
	case MachineReturning:
		// The members may not know yet that the workers were restarted: these count as warm only after WarmUp.
		if proposal.inService(machine) && elapsed >= a.WarmUp {
			a.setPhase(plan, machine, MachineWarm)
		} else if a.checkOverdue(plan, machine, elapsed, plan.ReturnTimeout) && plan.OnOverdue != OverdueWait {
			a.setPhase(plan, machine, MachineFailed)
		}
	case MachineFailed:
		if proposal.inService(machine) {
			a.setPhase(plan, machine, MachineWarm)
		}
	case MachineWarm:
		if machine.Withdrawn {
			a.setPhase(plan, machine, MachineSkipped)
		} else {
			a.setPhase(plan, machine, MachineDone)
		}
	}
}

// isDrained reports whether no attempt of any member runs at a draining machine: each member has confirmed this, or the fence timeout has
// passed. After that no lease from before the drain is valid, and no attempt that was started under such a lease is running.
func (a *applier) isDrained(machine *MachineState, elapsed time.Duration, proposal *Advance) bool {
	fenced := a.FenceTimeout > 0 && elapsed >= a.FenceTimeout && !failpoint.Enabled(failpoint.WaitForLostMembers)
	return fenced || len(a.blockingMembers(machine, proposal)) == 0
}

// checkOverdue reports whether a phase has taken longer than its limit; 0 is no limit. The first time it marks the machine, and
// pauses the plan if the plan says so.
func (a *applier) checkOverdue(plan *PlanState, machine *MachineState, elapsed, limit time.Duration) bool {
	if limit <= 0 || elapsed < limit {
		return false
	}
	if machine.Overdue {
		return true
	}
	machine.Overdue = true
	a.emit(plan.Name, machine.Name, "overdue: %s for longer than %v", machine.Phase, limit)
	takesMachines := plan.Phase == PlanRunning || plan.Phase == PlanAnnounced
	if plan.OnOverdue == OverduePause && takesMachines {
		plan.Phase = PlanPaused
		a.emit(plan.Name, "", "%s", PlanPaused)
	}
	return true
}

// WouldChange reports whether a proposal would have any effect besides advancing the clock. It does not change the state.
func (s *State) WouldChange(proposal *Advance) bool {
	anyActive := slices.ContainsFunc(s.Plans, func(plan *PlanState) bool { return plan.Phase.active() })
	if !anyActive && proposal.FenceTimeout <= s.FenceTimeout {
		return false // the usual case, and a leader calls this several times a second
	}
	dryRun := &applier{State: s.Clone()}
	dryRun.advance(proposal)
	return len(dryRun.events) > 0
}

// unconfirmedMembers returns the members that have not confirmed a log index, sorted.
func (s *State) unconfirmedMembers(index uint64, proposal *Advance) (members []string) {
	for _, name := range s.MemberNames() {
		report := proposal.reportOf(s, name)
		if !report.confirms(s.Members[name], index) {
			members = append(members, name)
		}
	}
	return members
}

// blockingMembers returns the members for which a draining machine is not drained yet, sorted: those that have not confirmed the
// drain, and those that have attempts running at the machine.
func (s *State) blockingMembers(machine *MachineState, proposal *Advance) []string {
	if failpoint.Enabled(failpoint.IgnoreMemberReports) {
		return nil
	}
	members := s.unconfirmedMembers(machine.PhaseIndex, proposal)
	for _, name := range s.MemberNames() {
		report := proposal.reportOf(s, name)
		if report.isBusyAt(&machine.Machine) && !slices.Contains(members, name) {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// isBusyAt reports whether attempts of the member run or may run at a machine.
func (r *MemberReport) isBusyAt(machine *Machine) bool {
	if machine.Host != "" && slices.Contains(r.BusyHosts, machine.Host) {
		return true
	}
	return slices.ContainsFunc(machine.Workers, func(worker string) bool { return slices.Contains(r.BusyWorkers, worker) })
}

// WaitReasons returns, by machine, what each machine of a plan waits for; "" stands for the plan as a whole.
func (s *State) WaitReasons(plan *PlanState, proposal *Advance) map[string]string {
	reasons := map[string]string{}
	switch plan.Phase {
	case PlanAnnounced:
		_, reasons = s.NextMachine(plan, proposal)
		reasons[""] = fmt.Sprintf("waits until members have it in force: %v", s.unconfirmedMembers(plan.AnnouncedIndex, proposal))
	case PlanRunning:
		_, reasons = s.NextMachine(plan, proposal)
	}
	for _, machine := range plan.MachineStates {
		switch machine.Phase {
		case MachineDraining:
			remaining := max(0, s.FenceTimeout-(s.Clock-machine.PhaseStart))
			reasons[machine.Name] = fmt.Sprintf("waits for %v, at the longest %v more", s.blockingMembers(machine, proposal), remaining)
		case MachineReturning, MachineFailed:
			reasons[machine.Name] = strings.Join(proposal.serviceObstacles(machine), ", ")
		}
	}
	return reasons
}
