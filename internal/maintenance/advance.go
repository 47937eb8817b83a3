package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"birchfork/internal/failpoint"
)

// advance applies the leader's proposal: it advances the clock, starts plans that all members have confirmed, moves machines that are
// drained, back in service, warm or overdue to their next phase, and begins to drain the next machine. Each proposal drains at most one
// further machine, so that each choice takes the previous one into account.
func (a *applier) advance(proposal *Advance) {
	// A proposal of a former leader, or one for an older state, is ignored: otherwise its elapsed time would be counted twice.
	if proposal == nil || proposal.StateSeq != a.Seq {
		return
	}
	a.advanceClock(proposal)
	for _, plan := range a.Plans {
		if plan.Phase.active() {
			a.advancePlan(plan, proposal)
		}
	}
	a.drainNextMachine(proposal)
}

// advanceClock advances the group's clock, and raises FenceTimeout and WarmUp to the proposal's values if those are higher.
func (a *applier) advanceClock(proposal *Advance) {
	if proposal.Elapsed > 0 {
		a.Clock += proposal.Elapsed
		a.Seq++ // invalidates other proposals for the same state, which would count this time again
	}
	if proposal.FenceTimeout > a.FenceTimeout {
		a.FenceTimeout = proposal.FenceTimeout
		a.emit("", "", "a member is waited for %v at the longest", a.FenceTimeout)
	}
	a.WarmUp = max(a.WarmUp, proposal.WarmUp)
}

// advancePlan updates an active plan and moves its machines to their next phases. It does not start to drain any machine.
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

// drainNextMachine begins to drain one machine of the first running plan whose budget allows it.
func (a *applier) drainNextMachine(proposal *Advance) {
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

// refreshWorkers updates the workers of a machine that is a host from the endpoint list. While the machine is excluded, workers are only
// added, because attempts may still run at workers that are no longer listed. Before and after that, its workers are those that are listed
// at the host, whatever their names are.
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
		return // no worker has been started yet
	}
	if slices.Equal(workers, machine.Workers) {
		return
	}
	machine.Workers = workers
	a.emit(plan.Name, machine.Name, "its runners are %s", strings.Join(workers, ", "))
}

// workersAt returns the sorted names of the workers that are listed at a host.
func (a *Advance) workersAt(host string) (names []string) {
	for _, name := range slices.Sorted(maps.Keys(a.Fleet)) {
		if worker := a.Fleet[name]; worker.Host == host && !worker.Gone {
			names = append(names, name)
		}
	}
	return names
}

// advanceMachine moves a machine to its next phase if the state and the proposal allow it.
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
		// Members may not know yet that the workers were restarted, so the machine counts as warm only after WarmUp.
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

// isDrained reports whether no attempt of any member runs at a draining machine: either each member has confirmed this, or the fence
// timeout has elapsed. After the fence timeout no lease from before the drain is valid, and no attempt that was started under such a lease
// is running.
func (a *applier) isDrained(machine *MachineState, elapsed time.Duration, proposal *Advance) bool {
	fenced := a.FenceTimeout > 0 && elapsed >= a.FenceTimeout && !failpoint.Enabled(failpoint.WaitForLostMembers)
	return fenced || len(a.blockingMembers(machine, proposal)) == 0
}

// checkOverdue reports whether a phase has taken longer than its limit; 0 means no limit. The first time, it marks the machine as overdue
// and, with OverduePause, pauses the plan.
func (a *applier) checkOverdue(plan *PlanState, machine *MachineState, elapsed, limit time.Duration) bool {
	if limit <= 0 || elapsed < limit {
		return false
	}
	if machine.Overdue {
		return true
	}
	machine.Overdue = true
	a.emit(plan.Name, machine.Name, "overdue: %s for longer than %v", machine.Phase, limit)
	drainsMachines := plan.Phase == PlanRunning || plan.Phase == PlanAnnounced
	if plan.OnOverdue == OverduePause && drainsMachines {
		plan.Phase = PlanPaused
		a.emit(plan.Name, "", "%s", PlanPaused)
	}
	return true
}

// WouldChange reports whether a proposal would have an effect other than advancing the clock. It does not change the state.
func (s *State) WouldChange(proposal *Advance) bool {
	anyActive := slices.ContainsFunc(s.Plans, func(plan *PlanState) bool { return plan.Phase.active() })
	if !anyActive && proposal.FenceTimeout <= s.FenceTimeout {
		return false // fast path: a leader calls this several times a second
	}
	dryRun := &applier{State: s.Clone()}
	dryRun.advance(proposal)
	return len(dryRun.events) > 0
}

// unconfirmedMembers returns the sorted names of the members that have not confirmed a log index.
func (s *State) unconfirmedMembers(index uint64, proposal *Advance) (members []string) {
	for _, name := range s.MemberNames() {
		report := proposal.reportOf(s, name)
		if !report.confirms(s.Members[name], index) {
			members = append(members, name)
		}
	}
	return members
}

// blockingMembers returns the sorted names of the members that keep a machine from being drained: those that have not confirmed the drain,
// and those with attempts running at the machine.
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

// isBusyAt reports whether attempts of the member are or may be running at a machine.
func (r *MemberReport) isBusyAt(machine *Machine) bool {
	if machine.Host != "" && slices.Contains(r.BusyHosts, machine.Host) {
		return true
	}
	return slices.ContainsFunc(machine.Workers, func(worker string) bool { return slices.Contains(r.BusyWorkers, worker) })
}

// WaitReasons returns what each machine of a plan waits for, by machine name. The key "" stands for the whole plan.
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
