package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"

	"birchfork/internal/failpoint"
)

// budgetUnit is a unit that a disruption budget counts: a machine of a plan, or a worker that belongs to no such machine.
type budgetUnit struct {
	workers          []string
	unavailable      bool // out of service, for any reason
	underMaintenance bool // out of service because of a plan
}

// machineUnitName and workerUnitName return names of budget units. Machines sort before workers.
func machineUnitName(name string) string { return "machine " + name }
func workerUnitName(name string) string  { return "runner " + name }

// budgetUnits returns the whole fleet as budget units, by name.
func (s *State) budgetUnits(proposal *Advance) map[string]*budgetUnit {
	units := map[string]*budgetUnit{}
	unitOfWorker := map[string]*budgetUnit{}
	for _, plan := range s.Plans {
		if plan.Phase == PlanEnded {
			continue
		}
		for _, machine := range plan.MachineStates {
			if machine.Phase.finished() {
				continue
			}
			disrupted := machine.Phase != MachineWaiting && machine.Phase != MachineWarm
			unit := &budgetUnit{workers: machine.Workers, unavailable: disrupted, underMaintenance: disrupted}
			units[machineUnitName(machine.Name)] = unit
			for _, worker := range machine.Workers {
				unitOfWorker[worker] = unit
			}
		}
	}
	returnedHosts := s.returnedHosts()
	for name, worker := range proposal.Fleet {
		// A worker at the host may have another name since the maintenance: its former name must not count as unavailable.
		returned := returnedHosts[worker.Host]
		if returned != nil && worker.Gone && !slices.Contains(returned.Workers, name) {
			continue
		}
		unit := unitOfWorker[name]
		if unit == nil {
			unit = &budgetUnit{workers: []string{name}}
			units[workerUnitName(name)] = unit
		}
		if worker.outOfService() && !failpoint.Enabled(failpoint.IgnoreUnavailable) {
			unit.unavailable = true
		}
	}
	return units
}

// returnedHosts returns the machines that are hosts and were returned or skipped, by host.
func (s *State) returnedHosts() map[string]*MachineState {
	returned := map[string]*MachineState{}
	for _, plan := range s.Plans {
		for _, machine := range plan.MachineStates {
			if machine.Host != "" && machine.Phase != MachineWaiting && !machine.Phase.excluded() {
				returned[machine.Host] = machine
			}
		}
	}
	return returned
}

// NextMachine returns the machine that a plan would drain next, or nil if the budget allows none. reasons has, by name, why each other
// waiting machine may not be drained.
//
// Machines that are already out of service go first, then those with the lowest weight in service, then those of another zone than the
// machine that was drained last, then by the plan's order.
func (s *State) NextMachine(plan *PlanState, proposal *Advance) (next *MachineState, reasons map[string]string) {
	reasons = map[string]string{}
	units := s.budgetUnits(proposal)
	var nextRank machineRank
	for _, machine := range plan.MachineStates {
		if machine.Phase != MachineWaiting {
			continue
		}
		if reason := budgetViolation(plan, machine, proposal, units); reason != "" {
			reasons[machine.Name] = reason
			continue
		}
		rank := rankOf(plan, machine, proposal)
		if next == nil || rank.compare(nextRank) < 0 {
			next, nextRank = machine, rank
		}
	}
	return next, reasons
}

// machineRank orders the machines that a plan may drain.
type machineRank struct {
	inService bool    // at least one worker is in service
	weight    float64 // of the workers in service
	sameZone  bool    // as the machine that was drained last
}

func rankOf(plan *PlanState, machine *MachineState, proposal *Advance) machineRank {
	weight := proposal.weightInService(machine.Workers)
	if failpoint.Enabled(failpoint.RandomMachineOrder) {
		weight = float64(rand.Int())
	}
	return machineRank{inService: weight != 0, weight: weight, sameZone: proposal.zoneOf(machine) == plan.LastZone}
}

// compare returns a negative number if a machine of this rank goes before one of the other rank.
func (r machineRank) compare(other machineRank) int {
	return cmp.Or(
		falseFirst(r.inService, other.inService),
		cmp.Compare(r.weight, other.weight),
		falseFirst(r.sameZone, other.sameZone),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// budgetUsage is the part of the fleet that would be out of service if a plan drained one more machine.
type budgetUsage struct {
	alreadyUnavailable bool     // the machine itself is out of service before its drain
	unavailable        int      // number of units, including the machine itself
	otherUnits         []string // sorted names of these units, without the machine itself
	unavailableByZone  map[string]int
	unavailableByKind  map[string]int

	knownWorkers    int // each group of unnamed workers counts as one
	totalWeight     float64
	weightInService float64
	zonesInService  map[string]bool // zones and kinds that keep a worker in service
	kindsInService  map[string]bool
}

// usageIfDrained returns the usage if a machine were drained.
//
// Draining a machine that is already out of service does not reduce the capacity. For such a machine only units under maintenance are
// counted: otherwise two failed machines would block each other's repair.
func usageIfDrained(machine *MachineState, proposal *Advance, units map[string]*budgetUnit) *budgetUsage {
	own := machineUnitName(machine.Name)
	usage := &budgetUsage{
		alreadyUnavailable: units[own].unavailable,
		unavailableByZone:  map[string]int{},
		unavailableByKind:  map[string]int{},
		zonesInService:     map[string]bool{},
		kindsInService:     map[string]bool{},
	}
	for _, group := range proposal.UnnamedWorkers {
		usage.knownWorkers++
		usage.totalWeight += group.Weight * float64(group.Count)
		usage.weightInService += group.Weight * float64(group.Count)
		usage.zonesInService[group.Zone] = true
		usage.kindsInService[group.Kind] = true
	}
	for _, name := range slices.Sorted(maps.Keys(units)) { // in a fixed order, because floating-point sums of weights depend on it
		unit := units[name]
		unavailable := unit.unavailable && (unit.underMaintenance || !usage.alreadyUnavailable)
		usage.addUnit(unit, proposal, unavailable || name == own)
		if unavailable && name != own {
			usage.otherUnits = append(usage.otherUnits, name)
		}
	}
	return usage
}

// addUnit adds a unit that would be unavailable or in service.
func (u *budgetUsage) addUnit(unit *budgetUnit, proposal *Advance, unavailable bool) {
	zones, kinds := map[string]bool{}, map[string]bool{}
	for _, name := range unit.workers {
		worker, listed := proposal.Fleet[name]
		if !listed {
			continue
		}
		u.knownWorkers++
		u.totalWeight += worker.Weight
		zones[worker.Zone] = true
		kinds[worker.Kind] = true
		if !unavailable {
			u.weightInService += worker.Weight
			u.zonesInService[worker.Zone] = true
			u.kindsInService[worker.Kind] = true
		}
	}
	if !unavailable {
		return
	}
	u.unavailable++
	for zone := range zones {
		u.unavailableByZone[zone]++
	}
	for kind := range kinds {
		u.unavailableByKind[kind]++
	}
}

// budgetViolation returns the reason why a plan may not drain a machine now; empty if it may.
func budgetViolation(plan *PlanState, machine *MachineState, proposal *Advance, units map[string]*budgetUnit) string {
	if failpoint.Enabled(failpoint.IgnoreBudget) {
		return ""
	}
	usage := usageIfDrained(machine, proposal, units)
	if usage.unavailable > plan.MaxUnavailable {
		state := "away"
		if usage.alreadyUnavailable {
			state = "taken"
		}
		return fmt.Sprintf("%d machines would be %s, %d may be%s", usage.unavailable, state, plan.MaxUnavailable, formatOthers(usage.otherUnits))
	}
	for _, name := range machine.Workers {
		worker, listed := proposal.Fleet[name]
		if !listed {
			continue
		}
		if reason := usage.violationAt(plan, worker.Zone, worker.Kind); reason != "" {
			return reason
		}
	}
	if usage.weightInService < plan.MinCapacity*usage.totalWeight && !usage.alreadyUnavailable {
		percent := 100 * usage.weightInService / usage.totalWeight
		return fmt.Sprintf("%.0f%% of the capacity would stay, %.0f%% has to", percent, 100*plan.MinCapacity)
	}
	if usage.knownWorkers == 0 {
		return "no runner is known"
	}
	return ""
}

// violationAt returns the reason why no further worker of a zone and kind may be out of service; empty if one may.
func (u *budgetUsage) violationAt(plan *PlanState, zone, kind string) string {
	inZone, ofKind := u.unavailableByZone[zone], u.unavailableByKind[kind]
	switch {
	case plan.MaxUnavailablePerZone > 0 && inZone > plan.MaxUnavailablePerZone:
		return fmt.Sprintf("%d machines of zone %s would be away, %d may be", inZone, zone, plan.MaxUnavailablePerZone)
	case plan.MaxUnavailablePerKind > 0 && ofKind > plan.MaxUnavailablePerKind:
		return fmt.Sprintf("%d machines of kind %s would be away, %d may be", ofKind, kind, plan.MaxUnavailablePerKind)
	case u.alreadyUnavailable:
		return ""
	case !u.zonesInService[zone]:
		return fmt.Sprintf("it is the last of zone %s", zone)
	case !u.kindsInService[kind]:
		return fmt.Sprintf("it is the last of kind %s", kind)
	}
	return ""
}

// maxNamesInReason is the maximum number of unit names that a reason lists.
const maxNamesInReason = 5

// formatOthers returns the names of the units that are already unavailable, formatted as the end of a reason.
func formatOthers(names []string) string {
	if len(names) == 0 {
		return ""
	}
	rest := ""
	if len(names) > maxNamesInReason {
		names, rest = names[:maxNamesInReason], ", ..."
	}
	return ": " + strings.Join(names, ", ") + rest
}
