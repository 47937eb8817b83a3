package maintenance

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// applier carries one entry out.
type applier struct {
	*State
	events []Event
}

func (a *applier) emit(plan, machine, format string, args ...any) {
	a.events = append(a.events, Event{plan, machine, fmt.Sprintf(format, args...)})
}

// execute carries out a command; its answer is for staff.
func (a *applier) execute(command *Command) (code int, text string) {
	switch command.Kind {
	case CommandJoinMember:
		return a.joinMember(command.Member)
	case CommandRetireMember:
		if a.Members[command.Name] == nil {
			return CodeInvalid, fmt.Sprintf("no member is called %q", command.Name)
		}
		delete(a.Members, command.Name)
		a.emit("", "", "member %s is retired", command.Name)
		return CodeOK, "retired"
	case CommandTrustHistory:
		if a.HistoryLost {
			a.HistoryLost = false
			a.emit("", "", "plans may begin: no machine is with staff by a plan that was forgotten")
		}
		return CodeOK, "plans may begin"
	case CommandSubmitPlan:
		return a.submitPlan(command.Plan)
	case CommandAdvance:
		a.advance(command.Advance)
		return CodeOK, ""
	case CommandClaimMachine, CommandReturnMachine, CommandSkipMachine:
		return a.changeMachine(command)
	case CommandStartPlan, CommandPausePlan, CommandResumePlan, CommandAbortPlan:
		return a.changePlan(command)
	}
	return CodeInvalid, fmt.Sprintf("%q is no call that this build knows", command.Kind)
}

func (a *applier) joinMember(member *Member) (int, string) {
	if member == nil || member.Name == "" {
		return CodeInvalid, "a member has a name"
	}
	joined := *member
	if previous := a.Members[member.Name]; previous != nil {
		joined.PastIncarnations = slices.Clone(previous.PastIncarnations)
		if previous.RaftID != member.RaftID {
			joined.PastIncarnations = append(joined.PastIncarnations, PastIncarnation{previous.Incarnation, previous.RaftID})
		}
	}
	a.Members[member.Name] = &joined
	a.emit("", "", "member %s is in, life %s", member.Name, member.Incarnation)
	return CodeOK, "in"
}

func (a *applier) submitPlan(plan *Plan) (int, string) {
	if plan == nil {
		return CodeInvalid, "there is no plan in the call"
	}
	if problems := a.ValidatePlan(plan); len(problems) > 0 {
		return CodeInvalid, strings.Join(problems, "\n")
	}
	state := &PlanState{Plan: *plan, Phase: PlanSubmitted}
	for _, machine := range plan.Machines {
		state.MachineStates = append(state.MachineStates, &MachineState{Machine: machine, Phase: MachineWaiting})
	}
	a.Plans = append(a.Plans, state)
	for i := 0; len(a.Plans) > maxPlans && i < len(a.Plans); {
		if a.Plans[i].Phase == PlanEnded {
			a.Plans = slices.Delete(a.Plans, i, i+1)
		} else {
			i++
		}
	}
	a.emit(plan.Name, "", "handed in, %d machines", len(plan.Machines))
	return CodeOK, "handed in"
}

// ValidatePlan is all that is wrong with a plan beside the plans that there are, by key.
func (s *State) ValidatePlan(p *Plan) (problems []string) {
	report := func(format string, args ...any) { problems = append(problems, fmt.Sprintf(format, args...)) }
	if p.Name == "" {
		report("name: it is missing")
	} else if u := s.FindPlan(p.Name); u != nil && u.Phase != PlanEnded {
		report("name: a plan %q is %s; it needs another name", p.Name, u.Phase)
	}
	if p.MaxUnavailable < 1 {
		report("out: %d machines away at a time are none; at least 1", p.MaxUnavailable)
	}
	if p.MaxUnavailablePerZone < 0 {
		report("zone_out: %d is below 0; 0 sets no bound", p.MaxUnavailablePerZone)
	}
	if p.MaxUnavailablePerKind < 0 {
		report("kind_out: %d is below 0; 0 sets no bound", p.MaxUnavailablePerKind)
	}
	for _, d := range []struct {
		key string
		v   time.Duration
	}{{"leave", p.DrainTimeout}, {"work", p.WorkTimeout}, {"back", p.ReturnTimeout}} {
		if d.v < 0 {
			report("%s: %v is below 0; 0 sets no bound", d.key, d.v)
		}
	}
	if !(p.MinCapacity >= 0 && p.MinCapacity <= 1) {
		report("capacity: %v is no share from 0 to 1", p.MinCapacity)
	}
	if !slices.Contains([]string{OverdueWait, OverduePause, OverdueSkip}, p.OnOverdue) {
		report("overdue: %q is none of %s, %s and %s", p.OnOverdue, OverdueWait, OverduePause, OverdueSkip)
	}
	if len(p.Machines) == 0 || len(p.Machines) > MaxMachines {
		report("machine: there are %d; from 1 to %d", len(p.Machines), MaxMachines)
	}
	names, runners, hosts := map[string]int{}, map[string]int{}, map[string]int{}
	for i, m := range p.Machines {
		if at, twice := names[m.Name]; twice || m.Name == "" {
			report("machine[%d].name: %q is empty or that of machine[%d]", i, m.Name, at)
		}
		names[m.Name] = i
		switch at, twice := hosts[m.Host]; {
		case m.Host == "" && len(m.Workers) == 0:
			report("machine[%d].runners: there is none, and no host", i)
		case m.Host == "":
		case len(m.Workers) > 0:
			report("machine[%d].host: it names runners too; one of both", i)
		case twice:
			report("machine[%d].host: %q is that of machine[%d] already", i, m.Host, at)
		default:
			hosts[m.Host] = i
			for _, u := range s.Plans {
				if u.Phase != PlanEnded && slices.ContainsFunc(u.MachineStates, func(p *MachineState) bool { return !p.Phase.finished() && p.Host == m.Host }) {
					report("machine[%d].host: %q is in plan %q, which is %s", i, m.Host, u.Name, u.Phase)
				}
			}
		}
		for _, w := range m.Workers {
			if at, twice := runners[w]; twice {
				report("machine[%d].runners: %q is in machine[%d] already", i, w, at)
			}
			runners[w] = i
			for _, u := range s.Plans {
				if u.Phase != PlanEnded && u.includesWorker(w) {
					report("machine[%d].runners: %q is in plan %q, which is %s", i, w, u.Name, u.Phase)
				}
			}
		}
	}
	return problems
}

func (p *PlanState) includesWorker(worker string) bool {
	return slices.ContainsFunc(p.MachineStates, func(machine *MachineState) bool {
		return !machine.Phase.finished() && slices.Contains(machine.Workers, worker)
	})
}

// changePlan carries out a call on a whole plan.
func (a *applier) changePlan(command *Command) (int, string) {
	plan := a.FindPlan(command.Name)
	if plan == nil {
		return CodeInvalid, fmt.Sprintf("no plan is called %q", command.Name)
	}
	from := map[CommandKind][]PlanPhase{
		CommandStartPlan: {PlanSubmitted}, CommandPausePlan: {PlanRunning, PlanAnnounced}, CommandResumePlan: {PlanPaused}, CommandAbortPlan: {PlanSubmitted, PlanAnnounced, PlanRunning, PlanPaused},
	}[command.Kind]
	to := map[CommandKind]PlanPhase{CommandStartPlan: PlanAnnounced, CommandPausePlan: PlanPaused, CommandResumePlan: PlanAnnounced, CommandAbortPlan: PlanAborting}[command.Kind]
	if plan.Phase == to || command.Kind == CommandStartPlan && plan.Phase == PlanRunning || command.Kind == CommandResumePlan && plan.Phase == PlanRunning {
		return CodeOK, fmt.Sprintf("%s is %s already", plan.Name, plan.Phase)
	}
	if !slices.Contains(from, plan.Phase) {
		return CodeInvalid, fmt.Sprintf("%s is %s", plan.Name, plan.Phase)
	}
	if command.Kind == CommandStartPlan {
		plan.AnnouncedIndex = a.AppliedIndex // members have to have it in force before it begins
	}
	plan.Phase = to
	if command.Kind == CommandAbortPlan {
		for _, machine := range plan.MachineStates {
			switch machine.Phase {
			case MachineWaiting:
				a.setPhase(plan, machine, MachineSkipped)
			case MachineDraining, MachineDrained: // nobody was told so
				a.withdraw(plan, machine)
			}
		}
		a.endIfFinished(plan)
	}
	a.emit(plan.Name, "", "%s", plan.Phase)
	return CodeOK, string(plan.Phase)
}

// changeMachine carries out a call on one machine.
func (a *applier) changeMachine(command *Command) (int, string) {
	plan, machine := a.FindMachine(command.Name, command.Machine)
	if machine == nil {
		return CodeInvalid, fmt.Sprintf("no plan has a machine %q", command.Machine)
	}
	switch command.Kind {
	case CommandClaimMachine:
		switch {
		case machine.Phase == MachineDrained:
			a.setPhase(plan, machine, MachineInMaintenance)
		case machine.Phase.finished() || machine.Phase == MachineReturning || machine.Phase == MachineWarm || machine.Phase == MachineFailed:
			return CodeInvalid, fmt.Sprintf("%s is %s: it is not to be worked on", machine.Name, machine.Phase)
		case machine.Phase != MachineInMaintenance:
			return CodeRetryLater, fmt.Sprintf("%s is %s", machine.Name, machine.Phase)
		}
		return CodeOK, fmt.Sprintf("%s is clear", machine.Name)
	case CommandReturnMachine:
		switch machine.Phase {
		case MachineInMaintenance, MachineDrained:
			a.setPhase(plan, machine, MachineReturning)
		case MachineReturning, MachineWarm, MachineDone:
		default:
			return CodeInvalid, fmt.Sprintf("%s is %s: it was not out", machine.Name, machine.Phase)
		}
		return CodeOK, fmt.Sprintf("%s is %s", machine.Name, machine.Phase)
	}
	switch machine.Phase { // GiveUp
	case MachineWaiting, MachineFailed:
		a.setPhase(plan, machine, MachineSkipped)
	case MachineDraining, MachineDrained:
		a.withdraw(plan, machine)
	case MachineSkipped:
	case MachineInMaintenance:
		return CodeInvalid, fmt.Sprintf("%s is %s: say done when it is whole", machine.Name, machine.Phase)
	default:
		return CodeInvalid, fmt.Sprintf("%s is %s", machine.Name, machine.Phase)
	}
	return CodeOK, fmt.Sprintf("%s is %s", machine.Name, machine.Phase)
}

// setPhase moves a machine on.
func (a *applier) setPhase(plan *PlanState, machine *MachineState, to MachinePhase) {
	machine.Phase, machine.PhaseIndex, machine.PhaseStart, machine.Overdue = to, a.AppliedIndex, a.Clock, false
	a.emit(plan.Name, machine.Name, "%s", to)
}

// withdraw has a machine come back that nobody was told to be clear.
func (a *applier) withdraw(plan *PlanState, machine *MachineState) {
	machine.Withdrawn = true
	a.setPhase(plan, machine, MachineReturning)
}

// endIfFinished ends a plan that is through with all its machines.
func (a *applier) endIfFinished(plan *PlanState) {
	if plan.Phase == PlanEnded || slices.ContainsFunc(plan.MachineStates, func(machine *MachineState) bool { return !machine.Phase.finished() }) {
		return
	}
	plan.Phase = PlanEnded
	a.emit(plan.Name, "", "%s", PlanEnded)
}
