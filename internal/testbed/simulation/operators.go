package simulation

import (
	"fmt"

	"birchfork/internal/maintenance"
)

const (
	planName      = "p"
	operatorsTick = 60 // the first tick in which operators act
	claimInterval = 4  // operators claim a drained machine in one of so many ticks, on average
)

// advanceOperators has the operators submit and start the plan and take care of its machines, by calls at the last member that takes
// itself for the leader.
func (w *world) advanceOperators() {
	leader := w.presentLeader()
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

// presentLeader returns the last running member that takes itself for the leader; nil if none does.
func (w *world) presentLeader() *member {
	var leader *member
	for _, m := range w.members {
		if m.isRunning() && m.core.Status().IsLeader {
			leader = m
		}
	}
	return leader
}

// submitPlan submits and starts a plan of all machines.
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

// planMachine returns a machine as the plan names it.
func planMachine(machine int) maintenance.Machine {
	if isNamedByHost(machine) {
		return maintenance.Machine{Name: machineName(machine), Host: hostName(machine)}
	}
	return maintenance.Machine{Name: machineName(machine), Workers: []string{initialWorkerName(machine)}}
}

// isNamedByHost reports whether the plan names a machine by its host. Its worker gets another name with each restart.
func isNamedByHost(machine int) bool { return machine%2 == 1 }

// recordPlanPhase notes when the plan is started and when it ends.
func (w *world) recordPlanPhase(phase maintenance.PlanPhase) {
	if w.result.Started == 0 && phase != maintenance.PlanSubmitted {
		w.result.Started = w.now
		clear(w.result.Costs)
	}
	if w.result.Ended == 0 && phase == maintenance.PlanEnded {
		w.result.Ended = w.now
	}
}

// operateMachine does what the operators have to do next for one machine.
func (w *world) operateMachine(leader *member, index int, machine *maintenance.MachineState) {
	since, inMaintenance := w.maintenanceSince[machine.Name]
	switch {
	case machine.Phase == maintenance.MachineDrained && w.random.IntN(claimInterval) == 0:
		if w.result.Drained == 0 {
			w.result.Drained = w.now
		}
		leader.propose(maintenance.Command{ID: "take" + machine.Name, Kind: maintenance.CommandClaimMachine, Machine: machine.Name})
	case machine.Phase == maintenance.MachineInMaintenance && w.returned[machine.Name]: // repeated, as a proposal may be dropped
		leader.propose(maintenance.Command{ID: "done" + machine.Name, Kind: maintenance.CommandReturnMachine, Machine: machine.Name})
	case machine.Phase == maintenance.MachineInMaintenance && !inMaintenance:
		w.beginMaintenance(leader, index, machine.Name)
	case inMaintenance && w.now-since > maintenanceDuration:
		delete(w.maintenanceSince, machine.Name) // from now on members may send to it
		w.returned[machine.Name] = true
	}
}

// beginMaintenance has operators take a machine that a member reports as drained, and checks that it is. A worker without a name in the
// plan is restarted under another one, halfway through the work.
func (w *world) beginMaintenance(leader *member, index int, name string) {
	w.trace("%s is clear, says member %d", name, leader.index)
	w.maintenanceSince[name] = w.now
	w.checkMaintenance(index, name)
	if isNamedByHost(index) {
		restart := w.tick + int(maintenanceDuration/tickInterval)/2
		renamed := fmt.Sprintf("%s-%d", initialWorkerName(index), w.tick)
		w.workerNames[index] = append(w.workerNames[index], workerName{since: restart, name: renamed})
	}
}
