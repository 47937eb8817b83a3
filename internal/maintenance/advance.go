package maintenance

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"birchfork/internal/failpoint"
)

// advance goes on by what the leader has heard: machines that are clear, back, warm or overdue, plans that may begin, and
// the next machine. It takes one machine an entry, so that each choice rests on the one before.
func (a *applier) advance(proposal *Advance) {
	// Guards against an entry of a leader that is none any more, or that was overtaken: its time would count twice.
	if proposal == nil || proposal.StateSeq != a.Seq {
		return
	}
	if proposal.Elapsed > 0 { // and so that no later entry counts this time again
		a.Clock += proposal.Elapsed
		a.Seq++
	}
	if proposal.FenceTimeout > a.FenceTimeout {
		a.FenceTimeout = proposal.FenceTimeout
		a.emit("", "", "a member is waited for %v at the longest", a.FenceTimeout)
	}
	a.WarmUp = max(a.WarmUp, proposal.WarmUp)
	for _, plan := range a.Plans {
		if !plan.Phase.active() {
			continue
		}
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
	for _, plan := range a.Plans {
		if plan.Phase != PlanRunning {
			continue
		}
		if machine, _ := a.NextMachine(plan, proposal); machine != nil {
			plan.LastZone = proposal.zoneOf(machine)
			a.setPhase(plan, machine, MachineDraining)
			return
		}
	}
}

// refreshWorkers has the runners of a machine that is a host: those that are there. While it is away further ones are added, as
// what was there may still run something; once it is put back those count that have come, whatever they are called now.
func (a *applier) refreshWorkers(plan *PlanState, machine *MachineState, proposal *Advance) {
	if machine.Host == "" || machine.Phase.finished() {
		return
	}
	var listed []string
	for _, name := range slices.Sorted(maps.Keys(proposal.Fleet)) {
		if worker := proposal.Fleet[name]; worker.Host == machine.Host && !worker.Gone {
			listed = append(listed, name)
		}
	}
	if machine.Phase.excluded() {
		listed = append(listed, machine.Workers...)
		slices.Sort(listed)
		listed = slices.Compact(listed)
	} else if len(listed) == 0 && machine.Phase != MachineWaiting {
		return
	}
	if slices.Equal(listed, machine.Workers) {
		return
	}
	machine.Workers = listed
	a.emit(plan.Name, machine.Name, "its runners are %s", strings.Join(listed, ", "))
}

// WouldChange tells whether an entry would settle anything.
func (s *State) WouldChange(proposal *Advance) bool {
	if proposal.FenceTimeout <= s.FenceTimeout && !slices.ContainsFunc(s.Plans, func(plan *PlanState) bool { return plan.Phase.active() }) {
		return false // the usual case, asked often
	}
	trial := &applier{State: s.Clone()}
	trial.advance(proposal)
	return len(trial.events) > 0
}

// unconfirmedMembers are the members that do not have an entry in force, as far as is known, sorted.
func (s *State) unconfirmedMembers(index uint64, proposal *Advance) (members []string) {
	for _, name := range s.MemberNames() {
		if report := proposal.reportOf(s, name); report.Incarnation != s.Members[name].Incarnation || report.Applied < index || !report.SoleProcess {
			members = append(members, name)
		}
	}
	return members
}

// blockingMembers are the members because of whom a machine that leaves is not clear yet, sorted.
func (s *State) blockingMembers(machine *MachineState, proposal *Advance) []string {
	members := s.unconfirmedMembers(machine.PhaseIndex, proposal)
	if failpoint.Enabled(failpoint.IgnoreMemberReports) {
		return nil
	}
	for _, name := range s.MemberNames() {
		report := proposal.reportOf(s, name)
		busy := slices.ContainsFunc(machine.Workers, func(worker string) bool { return slices.Contains(report.BusyWorkers, worker) })
		busy = busy || machine.Host != "" && slices.Contains(report.BusyHosts, machine.Host)
		if busy && !slices.Contains(members, name) {
			members = append(members, name)
		}
	}
	slices.Sort(members)
	return members
}

// advanceMachine moves one machine on, where what was heard allows it.
func (a *applier) advanceMachine(plan *PlanState, machine *MachineState, proposal *Advance) {
	elapsed := a.Clock - machine.PhaseStart
	switch machine.Phase {
	case MachineDraining:
		// Nobody's lease from before the entry runs any more after Bound, nor any attempt that was begun under it.
		if elapsed >= a.FenceTimeout && a.FenceTimeout > 0 && !failpoint.Enabled(failpoint.WaitForLostMembers) || len(a.blockingMembers(machine, proposal)) == 0 {
			a.setPhase(plan, machine, MachineDrained)
		} else if a.checkOverdue(plan, machine, elapsed, plan.DrainTimeout) && plan.OnOverdue == OverdueSkip {
			a.withdraw(plan, machine)
		}
	case MachineInMaintenance:
		a.checkOverdue(plan, machine, elapsed, plan.WorkTimeout)
	case MachineReturning:
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

// checkOverdue notes a step that takes longer than it may, and pauses the plan where staff wished so.
func (a *applier) checkOverdue(plan *PlanState, machine *MachineState, elapsed, limit time.Duration) bool {
	if limit <= 0 || elapsed < limit {
		return false
	}
	if !machine.Overdue {
		machine.Overdue = true
		a.emit(plan.Name, machine.Name, "overdue: %s for longer than %v", machine.Phase, limit)
		if plan.OnOverdue == OverduePause && (plan.Phase == PlanRunning || plan.Phase == PlanAnnounced) {
			plan.Phase = PlanPaused
			a.emit(plan.Name, "", "%s", PlanPaused)
		}
	}
	return true
}

// inService tells whether all runners of a machine are there and warm.
func (a *Advance) inService(machine *MachineState) bool { return len(a.serviceObstacles(machine)) == 0 }

// serviceObstacles says of a machine's runners what keeps them from their full part.
func (a *Advance) serviceObstacles(machine *MachineState) (obstacles []string) {
	for _, name := range machine.Workers {
		worker, ok := a.Fleet[name]
		switch {
		case !ok:
			obstacles = append(obstacles, name+" is not on the list")
		case worker.Unavailable:
			obstacles = append(obstacles, name+" drains or has gone")
		case worker.Disabled:
			obstacles = append(obstacles, name+" is out by hand")
		case worker.WarmingUp:
			obstacles = append(obstacles, name+" is cold")
		}
	}
	return obstacles
}

// zoneOf is where a machine's first listed runner is.
func (a *Advance) zoneOf(machine *MachineState) string {
	for _, name := range machine.Workers {
		if worker, ok := a.Fleet[name]; ok {
			return worker.Zone
		}
	}
	return ""
}

// budgetUnit is what counts once against a budget: a machine of a plan, or a runner that is in none.
type budgetUnit struct {
	workers          []string
	unavailable      bool
	underMaintenance bool // by a plan
}

// budgetUnits are all of the fleet, by name, with whether each is away: by a plan, by hand, by itself, or not warm yet.
func (s *State) budgetUnits(proposal *Advance) map[string]*budgetUnit {
	units := map[string]*budgetUnit{}
	unitOfWorker := map[string]*budgetUnit{}
	returnedHosts := map[string]*MachineState{} // machines that are hosts and were put back
	for _, plan := range s.Plans {
		for _, machine := range plan.MachineStates {
			if machine.Host != "" && machine.Phase != MachineWaiting && !machine.Phase.excluded() {
				returnedHosts[machine.Host] = machine
			}
		}
		if plan.Phase == PlanEnded {
			continue
		}
		for _, machine := range plan.MachineStates {
			if machine.Phase.finished() {
				continue
			}
			underMaintenance := machine.Phase != MachineWaiting && machine.Phase != MachineWarm
			unit := &budgetUnit{workers: machine.Workers, unavailable: underMaintenance, underMaintenance: underMaintenance}
			units["machine "+machine.Name] = unit
			for _, worker := range machine.Workers {
				unitOfWorker[worker] = unit
			}
		}
	}
	for name, worker := range proposal.Fleet {
		// Guards against a name that went for good while its machine was with staff: what is there now has another.
		if machine := returnedHosts[worker.Host]; machine != nil && worker.Gone && !slices.Contains(machine.Workers, name) {
			continue
		}
		unit := unitOfWorker[name]
		if unit == nil {
			unit = &budgetUnit{workers: []string{name}}
			units["runner "+name] = unit
		}
		unit.unavailable = unit.unavailable || worker.outOfService() && !failpoint.Enabled(failpoint.IgnoreUnavailable)
	}
	return units
}

// NextMachine is the machine that a plan takes next; nil, and why, where it takes none: what is broken already goes first, then
// what costs least weight, another zone than the last one's first, then as the plan has them.
func (s *State) NextMachine(plan *PlanState, proposal *Advance) (*MachineState, map[string]string) {
	var best *MachineState
	var bestRank [3]float64
	reasons := map[string]string{}
	units := s.budgetUnits(proposal)
	for _, machine := range plan.MachineStates {
		if machine.Phase != MachineWaiting {
			continue
		}
		if reason := s.budgetViolation(plan, machine, proposal, units); reason != "" {
			reasons[machine.Name] = reason
			continue
		}
		rank := [3]float64{1, weightInService(proposal, machine.Workers), 0}
		if failpoint.Enabled(failpoint.RandomMachineOrder) {
			rank[1] = float64(rand.Int())
		}
		if rank[1] == 0 {
			rank[0] = 0
		}
		if proposal.zoneOf(machine) == plan.LastZone {
			rank[2] = 1
		}
		if best == nil || slices.Compare(rank[:], bestRank[:]) < 0 {
			best, bestRank = machine, rank
		}
	}
	return best, reasons
}

// weightInService is what runners that are not away bear together.
func weightInService(proposal *Advance, workers []string) (sum float64) {
	for _, name := range workers {
		if worker, ok := proposal.Fleet[name]; ok && !worker.outOfService() {
			sum += worker.Weight
		}
	}
	return sum
}

// budgetViolation says why a machine may not be taken now; empty where it may.
func (s *State) budgetViolation(plan *PlanState, machine *MachineState, proposal *Advance, units map[string]*budgetUnit) string {
	// What is away by itself costs nothing more when it is taken: then what plans have counts alone. Else two machines that died
	// would stand in each other's way, and in the way of their repair.
	key := "machine " + machine.Name
	broken := units[key].unavailable
	var all, gone []string
	fleet, total, stays := 0, 0.0, 0.0
	zones, kinds := map[string]int{}, map[string]int{}
	left := map[string]bool{} // zones and kinds that keep a runner
	for _, g := range proposal.UnnamedWorkers {
		total, stays = total+g.Weight*float64(g.Count), stays+g.Weight*float64(g.Count)
		left["zone "+g.Zone], left["kind "+g.Kind] = true, true
	}
	for _, name := range slices.Sorted(maps.Keys(units)) {
		n := units[name]
		away := n.unavailable && (!broken || n.underMaintenance) || name == key
		inZone, inKind := map[string]bool{}, map[string]bool{}
		for _, w := range n.workers {
			r, ok := proposal.Fleet[w]
			if !ok {
				continue
			}
			all = append(all, w)
			inZone[r.Zone], inKind[r.Kind] = true, true
			if total += r.Weight; !away {
				stays += r.Weight
				left["zone "+r.Zone], left["kind "+r.Kind] = true, true
			}
		}
		if !away {
			continue
		}
		if fleet++; name != key {
			gone = append(gone, name)
		}
		for z := range inZone {
			zones[z]++
		}
		for k := range inKind {
			kinds[k]++
		}
	}
	if failpoint.Enabled(failpoint.IgnoreBudget) {
		return ""
	}
	if fleet > plan.MaxUnavailable && broken {
		return fmt.Sprintf("%d machines would be taken, %d may be%s", fleet, plan.MaxUnavailable, listOthers(gone))
	}
	if fleet > plan.MaxUnavailable {
		return fmt.Sprintf("%d machines would be away, %d may be%s", fleet, plan.MaxUnavailable, listOthers(gone))
	}
	for _, w := range machine.Workers {
		r, ok := proposal.Fleet[w]
		switch {
		case !ok:
			continue
		case plan.MaxUnavailablePerZone > 0 && zones[r.Zone] > plan.MaxUnavailablePerZone:
			return fmt.Sprintf("%d machines of zone %s would be away, %d may be", zones[r.Zone], r.Zone, plan.MaxUnavailablePerZone)
		case plan.MaxUnavailablePerKind > 0 && kinds[r.Kind] > plan.MaxUnavailablePerKind:
			return fmt.Sprintf("%d machines of kind %s would be away, %d may be", kinds[r.Kind], r.Kind, plan.MaxUnavailablePerKind)
		case broken:
		case !left["zone "+r.Zone]:
			return fmt.Sprintf("it is the last of zone %s", r.Zone)
		case !left["kind "+r.Kind]:
			return fmt.Sprintf("it is the last of kind %s", r.Kind)
		}
	}
	if stays < plan.MinCapacity*total && !broken {
		return fmt.Sprintf("%.0f%% of the capacity would stay, %.0f%% has to", 100*stays/total, 100*plan.MinCapacity)
	}
	if len(all) == 0 && len(proposal.UnnamedWorkers) == 0 {
		return "no runner is known"
	}
	return ""
}

// maxNamesInReason bounds the names in a reason.
const maxNamesInReason = 5

// listOthers names what is away already, for a reason.
func listOthers(names []string) string {
	if len(names) == 0 {
		return ""
	}
	more := ""
	if len(names) > maxNamesInReason {
		names, more = names[:maxNamesInReason], ", ..."
	}
	return ": " + strings.Join(names, ", ") + more
}

// WaitReasons says for each machine that does not go on what it waits for.
func (s *State) WaitReasons(plan *PlanState, proposal *Advance) map[string]string {
	_, reasons := s.NextMachine(plan, proposal)
	switch plan.Phase {
	case PlanAnnounced:
		reasons[""] = fmt.Sprintf("waits until members have it in force: %v", s.unconfirmedMembers(plan.AnnouncedIndex, proposal))
	case PlanRunning:
	default:
		clear(reasons)
	}
	for _, machine := range plan.MachineStates {
		switch machine.Phase {
		case MachineDraining:
			reasons[machine.Name] = fmt.Sprintf("waits for %v, at the longest %v more", s.blockingMembers(machine, proposal), max(0, s.FenceTimeout-(s.Clock-machine.PhaseStart)))
		case MachineReturning, MachineFailed:
			reasons[machine.Name] = strings.Join(proposal.serviceObstacles(machine), ", ")
		}
	}
	return reasons
}
