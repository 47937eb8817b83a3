package simulation

import (
	"fmt"

	"birchfork/internal/maintenance"
)

const (
	planName      = "p"
	operatorsTick = 60 // the first tick in which operators act
	claimInterval = 4  // mean ticks until operators claim a drained machine
)

// advanceOperators makes the operators submit and start the plan and maintain its machines, with calls to the last member that considers
// itself the leader.
func (w *world) advanceOperators() {
	leader := w.currentLeader()
	if leader == nil || w.tick < operatorsTick || len(leader.state.Members) < w.options.Members {
		return
	}
	if w.result.Bootstrapped == 0 {
		w.result.Bootstrapped = w.now
		clear(w.result.Costs)
	}
	if w.options.Idle {
		return
	}
	if len(leader.state.Plans) == 0 {
		w.submitPlan(leader)
		return
	}
	plan := leader.state.Plans[0]
	w.recordPlanPhase(plan.Phase)
	for i, machine := range plan.MachineStates {
		w.operateMachine(leader, i, machine)
	}
}

// currentLeader returns the last running member that considers itself the leader, or nil if there is none.
func (w *world) currentLeader() *member {
	var leader *member
	for _, m := range w.members {
		if m.isRunning() && m.core.Status().IsLeader {
			leader = m
		}
	}
	return leader
}

// submitPlan submits and starts a plan with all machines.
func (w *world) submitPlan(leader *member) {
	plan := &maintenance.Plan{Name: planName, MaxUnavailable: maxUnavailable, MaxUnavailablePerZone: 1, OnOverdue: maintenance.OverdueWait}
	for i := range w.options.Machines {
		plan.Machines = append(plan.Machines, planMachine(i))
	}
	if w.options.Mutant == NoBudget {
		plan.MaxUnavailable, plan.MaxUnavailablePerZone = w.options.Machines, 0
	}
	leader.propose(maintenance.Command{ID: "hand", Kind: maintenance.CommandSubmitPlan, Plan: plan})
	leader.propose(maintenance.Command{ID: "start", Kind: maintenance.CommandStartPlan, Name: planName})
}

// planMachine returns the plan's entry for a machine.
func planMachine(machine int) maintenance.Machine {
	if isNamedByHost(machine) {
		return maintenance.Machine{Name: machineName(machine), Host: hostName(machine)}
	}
	return maintenance.Machine{Name: machineName(machine), Workers: []string{initialWorkerName(machine)}}
}

// isNamedByHost reports whether the plan names a machine by its host. The worker of such a machine gets a new name in maintenance.
func isNamedByHost(machine int) bool { return machine%2 == 1 }

// recordPlanPhase records when the plan starts and when it ends.
func (w *world) recordPlanPhase(phase maintenance.PlanPhase) {
	if w.result.Started == 0 && phase != maintenance.PlanSubmitted {
		w.result.Started = w.now
		clear(w.result.Costs)
	}
	if w.result.Ended == 0 && phase == maintenance.PlanEnded {
		w.result.Ended = w.now
	}
}

// operateMachine performs the operators' next step for a machine.
func (w *world) operateMachine(leader *member, index int, machine *maintenance.MachineState) {
	since, inMaintenance := w.maintenanceSince[machine.Name]
	switch {
	case machine.Phase == maintenance.MachineDrained && w.random.IntN(claimInterval) == 0:
		if w.result.Drained == 0 {
			w.result.Drained = w.now
		}
		leader.propose(maintenance.Command{ID: "take" + machine.Name, Kind: maintenance.CommandClaimMachine, Machine: machine.Name})
	case machine.Phase == maintenance.MachineInMaintenance && w.returned[machine.Name]: // repeated because a proposal may be dropped
		leader.propose(maintenance.Command{ID: "done" + machine.Name, Kind: maintenance.CommandReturnMachine, Machine: machine.Name})
	case machine.Phase == maintenance.MachineInMaintenance && !inMaintenance:
		w.beginMaintenance(leader, index, machine.Name)
	case inMaintenance && w.now-since > maintenanceDuration:
		delete(w.maintenanceSince, machine.Name) // from now on members may send to the machine
		w.returned[machine.Name] = true
	}
}

// beginMaintenance begins the maintenance of a machine that a member reports as drained, and checks that it is. If the plan names the
// machine by its host, its worker restarts under a new name halfway through the work.
func (w *world) beginMaintenance(leader *member, index int, name string) {
	w.trace("%s is reported as drained by member %d", name, leader.index)
	w.maintenanceSince[name] = w.now
	w.checkMaintenance(index, name)
	if isNamedByHost(index) {
		restart := w.tick + int(maintenanceDuration/tickInterval)/2
		renamed := fmt.Sprintf("%s-%d", initialWorkerName(index), w.tick)
		w.workerNames[index] = append(w.workerNames[index], workerName{since: restart, name: renamed})
	}
}
