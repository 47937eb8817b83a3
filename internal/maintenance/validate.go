package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// planValidator collects the problems of a plan before it is submitted.
type planValidator struct {
	state    *State
	plan     *Plan
	problems []string
}

// ValidatePlan returns all problems of a plan, including conflicts with existing plans. Each has the form "key: reason" with a key of the
// plan's file. An empty result means that the plan may be submitted. Apply stores the texts in results, so all builds have to return the
// same ones.
func (s *State) ValidatePlan(plan *Plan) []string {
	v := &planValidator{state: s, plan: plan}
	v.checkName()
	v.checkBudget()
	v.checkTimeouts()
	v.checkMachines()
	return v.problems
}

func (v *planValidator) report(format string, args ...any) {
	v.problems = append(v.problems, fmt.Sprintf(format, args...))
}

func (v *planValidator) checkName() {
	if v.plan.Name == "" {
		v.report("name: it is missing")
		return
	}
	other := v.state.FindPlan(v.plan.Name)
	if other != nil && other.Phase != PlanEnded {
		v.report("name: a plan %q is %s; it needs another name", v.plan.Name, other.Phase)
	}
}

func (v *planValidator) checkBudget() {
	if v.plan.MaxUnavailable < 1 {
		v.report("out: %d machines away at a time are none; at least 1", v.plan.MaxUnavailable)
	}
	if v.plan.MaxUnavailablePerZone < 0 {
		v.report("zone_out: %d is below 0; 0 sets no bound", v.plan.MaxUnavailablePerZone)
	}
	if v.plan.MaxUnavailablePerKind < 0 {
		v.report("kind_out: %d is below 0; 0 sets no bound", v.plan.MaxUnavailablePerKind)
	}
}

func (v *planValidator) checkTimeouts() {
	for _, timeout := range []struct {
		key   string
		value time.Duration
	}{
		{"leave", v.plan.DrainTimeout},
		{"work", v.plan.WorkTimeout},
		{"back", v.plan.ReturnTimeout},
	} {
		if timeout.value < 0 {
			v.report("%s: %v is below 0; 0 sets no bound", timeout.key, timeout.value)
		}
	}
	inRange := v.plan.MinCapacity >= 0 && v.plan.MinCapacity <= 1 // false for NaN too
	if !inRange {
		v.report("capacity: %v is no share from 0 to 1", v.plan.MinCapacity)
	}
	if !slices.Contains([]OverdueAction{OverdueWait, OverduePause, OverdueSkip}, v.plan.OnOverdue) {
		v.report("overdue: %q is none of %s, %s and %s", v.plan.OnOverdue, OverdueWait, OverduePause, OverdueSkip)
	}
}

func (v *planValidator) checkMachines() {
	machines := v.plan.Machines
	if len(machines) == 0 || len(machines) > MaxMachines {
		v.report("machine: there are %d; from 1 to %d", len(machines), MaxMachines)
	}
	// The indexes of the machines, by their name, host and workers.
	names, hosts, workers := map[string]int{}, map[string]int{}, map[string]int{}
	for i := range machines {
		v.checkMachineName(i, names)
		v.checkHost(i, hosts)
		v.checkWorkers(i, workers)
	}
}

func (v *planValidator) checkMachineName(i int, names map[string]int) {
	name := v.plan.Machines[i].Name
	first, used := names[name]
	if used || name == "" {
		v.report("machine[%d].name: %q is empty or that of machine[%d]", i, name, first)
	}
	names[name] = i
}

// checkHost checks that a machine has either a host or workers, and that its host belongs to no other machine of any plan.
func (v *planValidator) checkHost(i int, hosts map[string]int) {
	machine := &v.plan.Machines[i]
	if machine.Host == "" {
		if len(machine.Workers) == 0 {
			v.report("machine[%d].runners: there is none, and no host", i)
		}
		return
	}
	if len(machine.Workers) > 0 {
		v.report("machine[%d].host: it names runners too; one of both", i)
		return
	}
	if first, used := hosts[machine.Host]; used {
		v.report("machine[%d].host: %q is that of machine[%d] already", i, machine.Host, first)
		return
	}
	hosts[machine.Host] = i
	for _, plan := range v.state.Plans {
		if plan.Phase != PlanEnded && plan.includesHost(machine.Host) {
			v.report("machine[%d].host: %q is in plan %q, which is %s", i, machine.Host, plan.Name, plan.Phase)
		}
	}
}

// checkWorkers checks that the workers of a machine belong to no other machine of any plan.
func (v *planValidator) checkWorkers(i int, workers map[string]int) {
	for _, worker := range v.plan.Machines[i].Workers {
		if first, used := workers[worker]; used {
			v.report("machine[%d].runners: %q is in machine[%d] already", i, worker, first)
		}
		workers[worker] = i
		for _, plan := range v.state.Plans {
			if plan.Phase != PlanEnded && plan.includesWorker(worker) {
				v.report("machine[%d].runners: %q is in plan %q, which is %s", i, worker, plan.Name, plan.Phase)
			}
		}
	}
}
