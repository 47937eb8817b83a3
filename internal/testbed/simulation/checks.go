package simulation

import (
	"slices"

	"birchfork/internal/maintenance"
)

// maxReportDelay is the maximum number of ticks from an update of a member's endpoint list until the leader has the member's report of it.
const maxReportDelay = 60

// checkMaintenance checks, when the maintenance of a machine begins, that no more machines are in maintenance than the plan allows and that
// no attempt runs on this machine.
func (w *world) checkMaintenance(index int, name string) {
	if len(w.maintenanceSince) > maxUnavailable {
		w.violation("budget: %d machines are in maintenance, the plan allows %d", len(w.maintenanceSince), maxUnavailable)
	}
	for _, a := range w.attempts {
		if a.machine == index {
			w.violation("clear: an attempt of member %d still runs on %s", a.member, name)
		}
	}
}

// checkBudget checks each drain of a machine when the first member applies it. Outages count as of proposedTick, because a change of leader
// can delay the commit of a proposal by seconds. A machine that has had an outage itself is exempt.
func (w *world) checkBudget(state *maintenance.State, proposedTick int) {
	for _, plan := range state.Plans {
		for i, machine := range plan.MachineStates {
			if machine.Phase != maintenance.MachineDraining || w.drainChecked[machine.Name] {
				continue
			}
			w.drainChecked[machine.Name] = true
			unavailable := w.countUnavailable(plan, i, proposedTick)
			if unavailable > maxUnavailable && !w.hadOutage(i) && w.options.Mutant != NoBudget {
				w.violation("budget: %d machines are unavailable when %s is drained, the plan allows %d", unavailable, machine.Name, maxUnavailable)
			}
		}
	}
}

// countUnavailable counts the machines that use the budget when one of them is drained: those that the plan has taken out of service, and
// others with an outage that the proposer must have known of.
func (w *world) countUnavailable(plan *maintenance.PlanState, drained, proposedTick int) int {
	count := 0
	for i, machine := range plan.MachineStates {
		if isOutOfService(machine.Phase) || i != drained && w.hasKnownOutage(i, proposedTick) {
			count++
		}
	}
	return count
}

// isOutOfService reports whether the plan has taken a machine in this phase out of service.
func isOutOfService(phase maintenance.MachinePhase) bool {
	switch phase {
	case maintenance.MachineWaiting, maintenance.MachineWarm, maintenance.MachineDone, maintenance.MachineSkipped:
		return false
	default:
		return true
	}
}

// hasKnownOutage reports whether a machine has an outage that every leader must have known of by a tick.
func (w *world) hasKnownOutage(machine, tick int) bool {
	return slices.ContainsFunc(w.outages, func(o outage) bool {
		return o.machine == machine && o.from+maxEndpointLag+maxReportDelay < tick && w.tick < o.until
	})
}

// hadOutage reports whether a machine has or had an outage.
func (w *world) hadOutage(machine int) bool {
	return slices.ContainsFunc(w.outages, func(o outage) bool { return o.machine == machine && o.from < w.tick })
}
