package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
)

// doubtText says why no plan begins after a group was founded again.
const doubtText = "machines may be with staff by a plan that was forgotten when the group was founded again; once none is: birchfork group trust"

// precheck answers what needs no entry; nil: it needs one. The lock is held.
func (c *Coordinator) precheck(call *Call) *Reply {
	command := call.Command
	if command.ID == "" {
		return &Reply{Code: maintenance.CodeInvalid, Text: "a call without an id"}
	}
	if previous, ok := c.state.Result(command.ID); ok && !failpoint.Enabled(failpoint.RepeatCommands) {
		return &Reply{Code: previous.Code, Text: previous.Text}
	}
	if silent, older := c.membersBelowLevel(command.RequiredLevel()); len(older) > 0 {
		return &Reply{Code: maintenance.CodeRetryLater, Text: "of a build that does not know this call: " + strings.Join(older, ", ")}
	} else if len(silent) > 0 {
		return &Reply{Code: maintenance.CodeRetryLater, Text: "not heard of yet by this leader, and may be of a build that does not know this call: " + strings.Join(silent, ", ")}
	}
	switch command.Kind {
	case maintenance.CommandJoinMember, maintenance.CommandAdvance:
		return &Reply{Code: maintenance.CodeInvalid, Text: "no call of staff"}
	case maintenance.CommandSubmitPlan:
		if command.Plan == nil {
			return &Reply{Code: maintenance.CodeInvalid, Text: "there is no plan in the call"}
		}
		problems := append(c.state.ValidatePlan(command.Plan), c.fleetMismatches(command.Plan)...)
		if len(problems) > 0 {
			return &Reply{Code: maintenance.CodeInvalid, Text: strings.Join(problems, "\n")}
		}
		if call.Check {
			return &Reply{Text: "good"}
		}
	case maintenance.CommandStartPlan:
		if reason := c.startObstacle(); reason != "" {
			return &Reply{Code: maintenance.CodeRetryLater, Text: reason}
		}
	case maintenance.CommandClaimMachine:
		if plan, machine := c.state.FindMachine(command.Name, command.Machine); machine != nil && (machine.Phase == maintenance.MachineWaiting || machine.Phase == maintenance.MachineDraining) {
			reasons := c.state.WaitReasons(plan, c.collectAdvance())
			return &Reply{Code: maintenance.CodeRetryLater, Text: strings.TrimSuffix(fmt.Sprintf("%s is %s: %s", machine.Name, machine.Phase, reasons[machine.Name]), ": ")}
		}
	}
	return nil
}

// fleetMismatches is what of a plan does not fit the fleet as it is, by key. The lock is held.
func (c *Coordinator) fleetMismatches(plan *maintenance.Plan) (problems []string) {
	fleet := c.collectAdvance().Fleet
	machineAtHost := map[string]int{} // hosts that are machines
	for i, machine := range plan.Machines {
		if machine.Host == "" {
			continue
		}
		machineAtHost[machine.Host] = i
		isListedThere := func(name string) bool { return fleet[name].Host == machine.Host && !fleet[name].Gone }
		if !slices.ContainsFunc(slices.Collect(maps.Keys(fleet)), isListedThere) {
			problems = append(problems, fmt.Sprintf("machine[%d].host: no runner is listed at %q; hosts are as in the list's addresses", i, machine.Host))
		}
	}
	problems = append(problems, c.overlaps(plan, fleet)...)
	for i, machine := range plan.Machines {
		for _, name := range machine.Workers {
			worker, ok := fleet[name]
			if !ok {
				problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is not on the list", i, name))
			} else if j, both := machineAtHost[worker.Host]; both {
				problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is at the host of machine[%d]", i, name, j))
			}
		}
	}
	return problems
}

// overlaps are machines of a plan that another one has under the other of a runner's names, its own and its host's: they would
// count twice against the budget. The lock is held.
func (c *Coordinator) overlaps(plan *maintenance.Plan, fleet map[string]maintenance.Worker) (problems []string) {
	for _, otherPlan := range c.state.Plans {
		if otherPlan.Phase == maintenance.PlanEnded {
			continue
		}
		for _, other := range otherPlan.MachineStates {
			if other.Phase == maintenance.MachineDone || other.Phase == maintenance.MachineSkipped {
				continue
			}
			for i, machine := range plan.Machines {
				for _, worker := range machine.Workers {
					if other.Host != "" && fleet[worker].Host == other.Host {
						problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is at host %s, which is in plan %q", i, worker, other.Host, otherPlan.Name))
					}
				}
				for _, worker := range other.Workers {
					if machine.Host != "" && other.Host == "" && fleet[worker].Host == machine.Host {
						problems = append(problems, fmt.Sprintf("machine[%d].host: %q, which is there, is in plan %q", i, worker, otherPlan.Name))
					}
				}
			}
		}
	}
	return problems
}

// membersBelowLevel are the members that may not know a level of entries, where nothing that is settled needs it yet: those that this leader
// has not heard of, and those whose build is older. The lock is held.
func (c *Coordinator) membersBelowLevel(level int) (silent, older []string) {
	if level <= max(c.state.Level, 1) {
		return nil, nil
	}
	for _, name := range c.state.MemberNames() {
		if report, ok := c.lastReports[name]; !ok {
			silent = append(silent, name)
		} else if report.Level < level {
			older = append(older, name)
		}
	}
	return silent, older
}

// startObstacle says why no plan may start: each member by our file has to be in, and in use of plans, as one that knows of no group
// sends where it likes. The lock is held.
func (c *Coordinator) startObstacle() string {
	var missing, silent, withoutPlans []string
	for _, member := range c.options.Group.Members {
		if c.state.Members[member.Name] == nil {
			missing = append(missing, member.Name)
		} else if report, ok := c.lastReports[member.Name]; !ok {
			silent = append(silent, member.Name)
		} else if !report.Plans {
			withoutPlans = append(withoutPlans, member.Name)
		}
	}
	switch {
	case len(missing) > 0:
		return "not in the group yet: " + strings.Join(missing, ", ")
	case len(silent) > 0:
		return "not heard of yet by this leader: " + strings.Join(silent, ", ")
	case c.state.HistoryLost:
		return doubtText
	case len(withoutPlans) > 0 || !c.options.Group.MaintenancePlans:
		return "without plans = true in [group]: " + strings.Join(withoutPlans, ", ")
	}
	return ""
}
