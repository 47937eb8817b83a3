package maintenance

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"birchfork/internal/failpoint"
)

// Apply executes the command at a log index and returns the resulting events. It ignores an index that the state already includes, for
// instance after a snapshot was restored.
//
// It panics on a command that this build cannot decode or does not support. If a member skipped a command that the others execute, its
// state would differ from theirs while it confirms that it has applied all entries.
func (s *State) Apply(index uint64, raw []byte) []Event {
	if index <= s.AppliedIndex {
		return nil
	}
	var command Command
	if err := json.Unmarshal(raw, &command); err != nil || command.Level > SupportedLevel() {
		panic(fmt.Sprintf("entry %d is of a newer build: level %d, this build supports %d (%v)", index, command.Level, SupportedLevel(), err))
	}
	s.AppliedIndex = index
	s.Level = max(s.Level, command.Level)
	if s.isRepeated(&command) {
		return nil
	}
	a := &applier{State: s}
	result := a.execute(&command)
	if command.ID != "" {
		result.ID = command.ID
		s.addResult(result)
	}
	if len(a.events) > 0 {
		s.Seq++
	}
	return a.events
}

// isRepeated reports whether a command repeats a call that has a result already.
func (s *State) isRepeated(command *Command) bool {
	if command.ID == "" || failpoint.Enabled(failpoint.RepeatCommands) {
		return false
	}
	_, known := s.Result(command.ID)
	return known
}

// applier executes one command on its State and collects the events.
type applier struct {
	*State
	events []Event
}

// emit adds an event. plan and machine are empty if the event concerns none.
func (a *applier) emit(plan, machine, format string, args ...any) {
	a.events = append(a.events, Event{Plan: plan, Machine: machine, Text: fmt.Sprintf(format, args...)})
}

// execute executes a command of any kind.
func (a *applier) execute(command *Command) Result {
	switch command.Kind {
	case CommandJoinMember:
		return a.joinMember(command.Member)
	case CommandRetireMember:
		return a.retireMember(command.Name)
	case CommandTrustHistory:
		return a.trustHistory()
	case CommandSubmitPlan:
		return a.submitPlan(command.Plan)
	case CommandStartPlan, CommandPausePlan, CommandResumePlan, CommandAbortPlan:
		return a.changePlan(command)
	case CommandClaimMachine, CommandReturnMachine, CommandSkipMachine:
		return a.changeMachine(command)
	case CommandAdvance:
		a.advance(command.Advance)
		return succeeded("")
	}
	return rejected("%q is no call that this build knows", command.Kind)
}

// submitPlan adds a plan and drops the oldest ended plans beyond maxPlans.
func (a *applier) submitPlan(plan *Plan) Result {
	if plan == nil {
		return rejected("there is no plan in the call")
	}
	if problems := a.ValidatePlan(plan); len(problems) > 0 {
		return rejected("%s", strings.Join(problems, "\n"))
	}
	submitted := &PlanState{Plan: *plan, Phase: PlanSubmitted}
	for _, machine := range plan.Machines {
		submitted.MachineStates = append(submitted.MachineStates, &MachineState{Machine: machine, Phase: MachineWaiting})
	}
	a.Plans = append(a.Plans, submitted)
	a.dropEndedPlans()
	a.emit(plan.Name, "", "handed in, %d machines", len(plan.Machines))
	return succeeded("handed in")
}

// dropEndedPlans drops ended plans, the oldest first, until maxPlans plans or no ended ones are left.
func (a *applier) dropEndedPlans() {
	excess := len(a.Plans) - maxPlans
	a.Plans = slices.DeleteFunc(a.Plans, func(plan *PlanState) bool {
		if excess <= 0 || plan.Phase != PlanEnded {
			return false
		}
		excess--
		return true
	})
}

// planChange describes a command that changes the phase of a plan.
type planChange struct {
	from        []PlanPhase // phases in which the command is allowed
	to          PlanPhase
	unchangedIn []PlanPhase // phases in which the command succeeds without effect: it was executed before
}

var planChanges = map[CommandKind]planChange{
	CommandStartPlan: {
		from:        []PlanPhase{PlanSubmitted},
		to:          PlanAnnounced,
		unchangedIn: []PlanPhase{PlanAnnounced, PlanRunning},
	},
	CommandPausePlan: {
		from:        []PlanPhase{PlanAnnounced, PlanRunning},
		to:          PlanPaused,
		unchangedIn: []PlanPhase{PlanPaused},
	},
	CommandResumePlan: {
		from:        []PlanPhase{PlanPaused},
		to:          PlanAnnounced,
		unchangedIn: []PlanPhase{PlanAnnounced, PlanRunning},
	},
	CommandAbortPlan: {
		from:        []PlanPhase{PlanSubmitted, PlanAnnounced, PlanRunning, PlanPaused},
		to:          PlanAborting,
		unchangedIn: []PlanPhase{PlanAborting},
	},
}

// changePlan executes a command that changes the phase of a plan.
func (a *applier) changePlan(command *Command) Result {
	plan := a.FindPlan(command.Name)
	if plan == nil {
		return rejected("no plan is called %q", command.Name)
	}
	change := planChanges[command.Kind]
	if slices.Contains(change.unchangedIn, plan.Phase) {
		return succeeded("%s is %s already", plan.Name, plan.Phase)
	}
	if !slices.Contains(change.from, plan.Phase) {
		return rejected("%s is %s", plan.Name, plan.Phase)
	}
	plan.Phase = change.to
	switch command.Kind {
	case CommandStartPlan:
		plan.AnnouncedIndex = a.AppliedIndex // each member has to confirm this index before the plan runs
	case CommandAbortPlan:
		a.skipUnclaimedMachines(plan)
	}
	a.emit(plan.Name, "", "%s", plan.Phase)
	return succeeded("%s", plan.Phase)
}

// skipUnclaimedMachines skips the machines of an aborted plan that no operator has claimed.
func (a *applier) skipUnclaimedMachines(plan *PlanState) {
	for _, machine := range plan.MachineStates {
		switch machine.Phase {
		case MachineWaiting:
			a.setPhase(plan, machine, MachineSkipped)
		case MachineDraining, MachineDrained:
			a.withdraw(plan, machine)
		}
	}
	a.endIfFinished(plan)
}

// changeMachine executes an operator's command on one machine.
func (a *applier) changeMachine(command *Command) Result {
	plan, machine := a.FindMachine(command.Name, command.Machine)
	if machine == nil {
		return rejected("no plan has a machine %q", command.Machine)
	}
	switch command.Kind {
	case CommandClaimMachine:
		return a.claimMachine(plan, machine)
	case CommandReturnMachine:
		return a.returnMachine(plan, machine)
	default:
		return a.skipMachine(plan, machine)
	}
}

// claimMachine hands a drained machine to the operators.
func (a *applier) claimMachine(plan *PlanState, machine *MachineState) Result {
	switch machine.Phase {
	case MachineDrained:
		a.setPhase(plan, machine, MachineInMaintenance)
	case MachineInMaintenance: // claimed before
	case MachineReturning, MachineWarm, MachineDone, MachineSkipped, MachineFailed:
		return rejected("%s is %s: it is not to be worked on", machine.Name, machine.Phase)
	default:
		return retryLater("%s is %s", machine.Name, machine.Phase)
	}
	return succeeded("%s is clear", machine.Name)
}

// returnMachine takes a machine back from the operators.
func (a *applier) returnMachine(plan *PlanState, machine *MachineState) Result {
	switch machine.Phase {
	case MachineInMaintenance, MachineDrained:
		a.setPhase(plan, machine, MachineReturning)
	case MachineReturning, MachineWarm, MachineDone: // returned before
	default:
		return rejected("%s is %s: it was not out", machine.Name, machine.Phase)
	}
	return succeeded("%s is %s", machine.Name, machine.Phase)
}

// skipMachine makes a plan skip a machine, unless operators have claimed it.
func (a *applier) skipMachine(plan *PlanState, machine *MachineState) Result {
	switch machine.Phase {
	case MachineWaiting, MachineFailed:
		a.setPhase(plan, machine, MachineSkipped)
	case MachineDraining, MachineDrained:
		a.withdraw(plan, machine)
	case MachineSkipped: // skipped before
	case MachineInMaintenance:
		return rejected("%s is %s: say done when it is whole", machine.Name, machine.Phase)
	default:
		return rejected("%s is %s", machine.Name, machine.Phase)
	}
	return succeeded("%s is %s", machine.Name, machine.Phase)
}

// setPhase moves a machine to a phase that begins at the present index and time.
func (a *applier) setPhase(plan *PlanState, machine *MachineState, phase MachinePhase) {
	machine.Phase = phase
	machine.PhaseIndex = a.AppliedIndex
	machine.PhaseStart = a.Clock
	machine.Overdue = false
	a.emit(plan.Name, machine.Name, "%s", phase)
}

// withdraw puts a machine back into service that no operator has claimed.
func (a *applier) withdraw(plan *PlanState, machine *MachineState) {
	machine.Withdrawn = true
	a.setPhase(plan, machine, MachineReturning)
}

// endIfFinished ends a plan once all its machines are done or skipped.
func (a *applier) endIfFinished(plan *PlanState) {
	if plan.Phase == PlanEnded || !plan.finished() {
		return
	}
	plan.Phase = PlanEnded
	a.emit(plan.Name, "", "%s", PlanEnded)
}
