package coordinator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
)

// historyLostText is the reason why no plan may start after the group was created again.
const historyLostText = "machines may be with staff by a plan that was forgotten when the group was founded again; once none is: birchfork group trust"

// precheck returns the reply to a call whose command needs no entry because it was executed already, is only to be validated, or cannot be
// executed. It returns nil if the command needs an entry. c.mu must be held.
func (c *Coordinator) precheck(call *Call) *Reply {
	command := call.Command
	if command.ID == "" {
		return invalid("missing command ID")
	}
	if result, ok := c.state.Result(command.ID); ok && !failpoint.Enabled(failpoint.RepeatCommands) {
		return &Reply{Code: result.Code, Text: result.Text}
	}
	if reply := c.precheckLevel(command); reply != nil {
		return reply
	}
	switch command.Kind {
	case maintenance.CommandJoinMember, maintenance.CommandAdvance:
		return invalid("command is not available to operators")
	case maintenance.CommandSubmitPlan:
		return c.precheckPlan(command.Plan, call.Check)
	case maintenance.CommandStartPlan:
		if rejection := c.startRejection(); rejection != "" {
			return &Reply{Code: maintenance.CodeRetryLater, Text: rejection}
		}
	case maintenance.CommandClaimMachine:
		return c.precheckClaim(command)
	}
	return nil
}

// precheckLevel returns the reply to a command that some member's build may not support, or nil. c.mu must be held.
func (c *Coordinator) precheckLevel(command *maintenance.Command) *Reply {
	unreported, older := c.membersBelowLevel(command.RequiredLevel())
	switch {
	case len(older) > 0:
		return retryLater("of a build that does not know this call: %s", strings.Join(older, ", "))
	case len(unreported) > 0:
		return retryLater("not heard of yet by this leader, and may be of a build that does not know this call: %s", strings.Join(unreported, ", "))
	}
	return nil
}

// membersBelowLevel returns the members that may not support entries of a level: those from which this leader has not received a report
// yet, and those with an older build. It returns none if a committed entry has already required the level. c.mu must be held.
func (c *Coordinator) membersBelowLevel(level int) (unreported, older []string) {
	if level <= max(c.state.Level, 1) {
		return nil, nil
	}
	for _, name := range c.state.MemberNames() {
		report, ok := c.lastReports[name]
		switch {
		case !ok:
			unreported = append(unreported, name)
		case report.Level < level:
			older = append(older, name)
		}
	}
	return unreported, older
}

// precheckPlan returns the reply to a plan that is invalid or only to be validated, or nil. c.mu must be held.
func (c *Coordinator) precheckPlan(plan *maintenance.Plan, validateOnly bool) *Reply {
	if plan == nil {
		return invalid("there is no plan in the call")
	}
	problems := slices.Concat(c.state.ValidatePlan(plan), c.fleetMismatches(plan))
	if len(problems) > 0 {
		return &Reply{Code: maintenance.CodeInvalid, Text: strings.Join(problems, "\n")}
	}
	if validateOnly {
		return &Reply{Text: "good"}
	}
	return nil
}

// precheckClaim returns the reply to a claim of a machine that is not drained yet, with the reason, or nil. c.mu must be held.
func (c *Coordinator) precheckClaim(command *maintenance.Command) *Reply {
	plan, machine := c.state.FindMachine(command.Name, command.Machine)
	if machine == nil {
		return nil
	}
	isBeforeDrained := machine.Phase == maintenance.MachineWaiting || machine.Phase == maintenance.MachineDraining
	if !isBeforeDrained {
		return nil
	}
	text := fmt.Sprintf("%s is %s", machine.Name, machine.Phase)
	if reason := c.state.WaitReasons(plan, c.collectAdvance())[machine.Name]; reason != "" {
		text += ": " + reason
	}
	return &Reply{Code: maintenance.CodeRetryLater, Text: text}
}

// startRejection returns the reason why no plan may start, or an empty string if plans may start. Each member in the operator's file must
// be in the group and have plans enabled, because a dispatcher outside the group sends to every worker. c.mu must be held.
func (c *Coordinator) startRejection() string {
	var missing, unreported, withoutPlans []string
	for _, member := range c.options.Group.Members {
		report, hasReport := c.lastReports[member.Name]
		switch {
		case c.state.Members[member.Name] == nil:
			missing = append(missing, member.Name)
		case !hasReport:
			unreported = append(unreported, member.Name)
		case !report.Plans:
			withoutPlans = append(withoutPlans, member.Name)
		}
	}
	switch {
	case len(missing) > 0:
		return "not in the group yet: " + strings.Join(missing, ", ")
	case len(unreported) > 0:
		return "not heard of yet by this leader: " + strings.Join(unreported, ", ")
	case c.state.HistoryLost:
		return historyLostText
	case len(withoutPlans) > 0 || !c.options.Group.MaintenancePlans:
		return "without plans = true in [group]: " + strings.Join(withoutPlans, ", ")
	}
	return ""
}

// fleetMismatches returns the mismatches between a plan and the current fleet, each prefixed with the key in the plan. c.mu must be held.
func (c *Coordinator) fleetMismatches(plan *maintenance.Plan) (problems []string) {
	fleet := c.collectAdvance().Fleet
	hostMachines := map[string]int{} // index of the machine that is given by host, by that host
	for i, machine := range plan.Machines {
		if machine.Host == "" {
			continue
		}
		hostMachines[machine.Host] = i
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
			} else if j, isGivenByHost := hostMachines[worker.Host]; isGivenByHost {
				problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is at the host of machine[%d]", i, name, j))
			}
		}
	}
	return problems
}

// overlaps returns the machines of a plan that another open plan also contains but specifies differently: by host instead of by the names
// of workers, or vice versa. They would count twice against the budget. c.mu must be held.
func (c *Coordinator) overlaps(plan *maintenance.Plan, fleet map[string]maintenance.Worker) (problems []string) {
	for _, otherPlan := range c.state.Plans {
		if otherPlan.Phase == maintenance.PlanEnded {
			continue
		}
		for _, other := range otherPlan.MachineStates {
			isFinished := other.Phase == maintenance.MachineDone || other.Phase == maintenance.MachineSkipped
			if isFinished {
				continue
			}
			for i, machine := range plan.Machines {
				problems = append(problems, machineOverlaps(i, machine, other.Machine, otherPlan.Name, fleet)...)
			}
		}
	}
	return problems
}

// machineOverlaps returns the overlaps of the machine at index i of a plan with a machine of another plan.
func machineOverlaps(i int, machine, other maintenance.Machine, otherPlan string, fleet map[string]maintenance.Worker) (problems []string) {
	for _, name := range machine.Workers {
		if other.Host != "" && fleet[name].Host == other.Host {
			problems = append(problems, fmt.Sprintf("machine[%d].runners: %q is at host %s, which is in plan %q", i, name, other.Host, otherPlan))
		}
	}
	for _, name := range other.Workers {
		if machine.Host != "" && other.Host == "" && fleet[name].Host == machine.Host {
			problems = append(problems, fmt.Sprintf("machine[%d].host: %q, which is there, is in plan %q", i, name, otherPlan))
		}
	}
	return problems
}
