package simulation

import (
	"slices"

	"birchfork/internal/maintenance"
)

// maxReportDelay is how many ticks may pass from an update of a member's endpoint list until the leader has the member's report on it.
const maxReportDelay = 60

// checkMaintenance checks, when operators take a machine, that they have no more machines than the plan allows and that no attempt runs
// at this one.
func (w *world) checkMaintenance(index int, name string) {
	if len(w.maintenanceSince) > maxUnavailable {
		w.violation("budget: %d machines are with staff, %d may be", len(w.maintenanceSince), maxUnavailable)
	}
	for _, a := range w.attempts {
		if a.machine == index {
			w.violation("clear: an attempt of member %d runs at %s", a.member, name)
		}
	}
}

// checkBudget checks each drain of a machine when the first member applies it, for a proposal of a given tick. Between the two a leader
// may have changed, seconds later. A machine that has had an outage itself is exempt.
func (w *world) checkBudget(state *maintenance.State, proposedTick int) {
	for _, plan := range state.Plans {
		for i, machine := range plan.MachineStates {
			if machine.Phase != maintenance.MachineDraining || w.drainChecked[machine.Name] {
				continue
			}
			w.drainChecked[machine.Name] = true
			unavailable := w.countUnavailable(plan, i, proposedTick)
			if unavailable > maxUnavailable && !w.hadOutage(i) && w.options.Mutant != NoBudget {
				w.violation("budget: %d machines are away when %s is taken, %d may be", unavailable, machine.Name, maxUnavailable)
			}
		}
	}
}

// countUnavailable counts the machines that count against the budget when one of them is drained: those that the plan has taken, and
// others with an outage that the proposer must have known.
func (w *world) countUnavailable(plan *maintenance.PlanState, drained, proposedTick int) int {
	count := 0
	for i, machine := range plan.MachineStates {
		if isOutOfService(machine.Phase) || i != drained && w.hasKnownOutage(i, proposedTick) {
			count++
		}
	}
	return count
}

// isOutOfService reports whether a machine in this phase is out of service by its plan.
func isOutOfService(phase maintenance.MachinePhase) bool {
	switch phase {
	case maintenance.MachineWaiting, maintenance.MachineWarm, maintenance.MachineDone, maintenance.MachineSkipped:
		return false
	default:
		return true
	}
}

// hasKnownOutage reports whether a machine has an outage, of which every leader knew by a tick.
func (w *world) hasKnownOutage(machine, tick int) bool {
	return slices.ContainsFunc(w.outages, func(o outage) bool {
		return o.machine == machine && o.from+maxEndpointLag+maxReportDelay < tick && w.tick < o.until
	})
}

// hadOutage reports whether a machine has an outage or has had one.
func (w *world) hadOutage(machine int) bool {
	return slices.ContainsFunc(w.outages, func(o outage) bool { return o.machine == machine && o.from < w.tick })
}
