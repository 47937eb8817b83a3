package maintenance

import (
	"slices"
	"time"
)

// MaxMachines is the maximum number of machines in a plan.
const MaxMachines = 1000

// OverdueAction is what a plan does when a phase of a machine takes longer than the plan allows.
type OverdueAction string

// The actions.
const (
	OverdueWait  OverdueAction = "wait"  // emits an event only
	OverduePause OverdueAction = "pause" // pauses the plan; a machine that is not back in service in time has failed
	OverdueSkip  OverdueAction = "skip"  // skips a machine that is not drained in time; one that is not back in service in time has failed
)

// Plan is a maintenance plan as operators submit it.
type Plan struct {
	Name     string    `json:"name"`
	Machines []Machine `json:"machines"`

	// The disruption budget: the maximum number of machines that may be out of service at a time for any reason, in the whole fleet, per
	// zone and per kind. For zones and kinds 0 means no limit.
	MaxUnavailable        int     `json:"out"`
	MaxUnavailablePerZone int     `json:"zone_out"`
	MaxUnavailablePerKind int     `json:"kind_out"`
	MinCapacity           float64 `json:"capacity"` // minimum share of the fleet's weight that stays in service, from 0 to 1

	// How long the drain, the work and the return to service of a machine may take. 0 means no limit.
	DrainTimeout  time.Duration `json:"leave"`
	WorkTimeout   time.Duration `json:"work"`
	ReturnTimeout time.Duration `json:"back"`
	OnOverdue     OverdueAction `json:"overdue"` // what the plan does at a timeout
}

// Machine is a set of workers that are drained and maintained together: either named workers, or all workers at a host, whatever their
// names are at the time.
type Machine struct {
	Name    string   `json:"name"`
	Workers []string `json:"runners"`
	Host    string   `json:"host,omitempty"`
}

// PlanPhase is the phase of a plan as a whole.
type PlanPhase string

// The phases of a plan.
const (
	PlanSubmitted PlanPhase = "handed in" // not started
	PlanAnnounced PlanPhase = "announced" // started; runs once each member has confirmed that it knows the plan
	PlanRunning   PlanPhase = "running"
	PlanPaused    PlanPhase = "paused"   // drains no further machine
	PlanAborting  PlanPhase = "aborting" // drains no further machine, and ends once all are back in service
	PlanEnded     PlanPhase = "ended"
)

// active reports whether members need a lease to send requests to the plan's machines.
func (p PlanPhase) active() bool { return p != PlanSubmitted && p != PlanEnded }

// MachinePhase is the phase of a machine of a plan.
type MachinePhase string

// The phases of a machine, in order. MachineSkipped and MachineFailed replace MachineDone: MachineSkipped is final, MachineFailed lasts
// until the machine is back in service or skipped.
const (
	MachineWaiting       MachinePhase = "waiting"
	MachineDraining      MachinePhase = "leaving"   // its workers get no new requests; running attempts end
	MachineDrained       MachinePhase = "clear"     // no member has an attempt running at its workers or can start one
	MachineInMaintenance MachinePhase = "out"       // claimed by operators, who were notified that it is drained
	MachineReturning     MachinePhase = "returning" // may get requests again; not yet in full service
	MachineWarm          MachinePhase = "warm"      // in full service
	MachineDone          MachinePhase = "done"
	MachineSkipped       MachinePhase = "skipped"
	MachineFailed        MachinePhase = "failed" // was not back in service in time
)

// excluded reports whether members must not send requests to a machine in this phase.
func (p MachinePhase) excluded() bool {
	return p == MachineDraining || p == MachineDrained || p == MachineInMaintenance
}

// finished reports whether the phase is final for the plan.
func (p MachinePhase) finished() bool { return p == MachineDone || p == MachineSkipped }

// PlanState is a plan with its progress.
type PlanState struct {
	Plan
	Phase          PlanPhase       `json:"phase"`
	AnnouncedIndex uint64          `json:"at"` // log index of the command that started the plan
	MachineStates  []*MachineState `json:"places"`
	LastZone       string          `json:"zone,omitempty"` // of the machine that was drained last
}

// MachineState is a machine of a plan with its progress.
type MachineState struct {
	Machine
	Phase      MachinePhase  `json:"step"`
	PhaseIndex uint64        `json:"at"`                // log index of the command that began the phase
	PhaseStart time.Duration `json:"since"`             // on the group's clock
	Overdue    bool          `json:"overdue,omitempty"` // the phase has taken longer than the plan allows
	Withdrawn  bool          `json:"left,omitempty"`    // put back into service before operators claimed it; ends as skipped
}

func (p *PlanState) clone() *PlanState {
	clone := *p
	clone.MachineStates = nil
	for _, machine := range p.MachineStates {
		machineClone := *machine
		clone.MachineStates = append(clone.MachineStates, &machineClone)
	}
	return &clone
}

// finished reports whether all machines of the plan are done or skipped.
func (p *PlanState) finished() bool {
	return !slices.ContainsFunc(p.MachineStates, func(machine *MachineState) bool { return !machine.Phase.finished() })
}

// includesWorker reports whether a worker belongs to a machine of the plan that is not done or skipped.
func (p *PlanState) includesWorker(worker string) bool {
	return slices.ContainsFunc(p.MachineStates, func(machine *MachineState) bool {
		return !machine.Phase.finished() && slices.Contains(machine.Workers, worker)
	})
}

// includesHost reports whether a host is a machine of the plan that is not done or skipped.
func (p *PlanState) includesHost(host string) bool {
	return slices.ContainsFunc(p.MachineStates, func(machine *MachineState) bool {
		return !machine.Phase.finished() && machine.Host == host
	})
}

// FindPlan returns the oldest plan with the given name; nil if there is none.
func (s *State) FindPlan(name string) *PlanState {
	for _, plan := range s.Plans {
		if plan.Name == name {
			return plan
		}
	}
	return nil
}

// FindMachine returns a machine by name, and its plan; nil if there is none. If planName is empty, it searches all plans: it prefers active
// plans to submitted ones, submitted ones to ended ones, and among equals the newest. Ended plans are included so that a call that is
// repeated after the end of its plan still gets its result.
func (s *State) FindMachine(planName, machineName string) (plan *PlanState, machine *MachineState) {
	for _, candidate := range s.Plans {
		if planName != "" && candidate.Name != planName {
			continue
		}
		if plan != nil && candidate.Phase.searchRank() < plan.Phase.searchRank() {
			continue
		}
		for _, found := range candidate.MachineStates {
			if found.Name == machineName {
				plan, machine = candidate, found
			}
		}
	}
	return plan, machine
}

// searchRank is FindMachine's preference for plans in a phase; the highest is preferred.
func (p PlanPhase) searchRank() int {
	switch {
	case p.active():
		return 2
	case p == PlanSubmitted:
		return 1
	}
	return 0
}

// WorkerSet is a set of workers: named ones, and all workers at some hosts.
type WorkerSet struct{ Workers, Hosts map[string]bool }

// Excluded returns the workers to which members must not send requests, because these are draining, drained or under maintenance.
func (s *State) Excluded() WorkerSet {
	return s.workerSet(func(_ *PlanState, machine *MachineState) bool { return machine.Phase.excluded() })
}

// Leased returns the workers to which a member may send requests only while it holds the lease: those of active plans, until their machine
// is done or skipped.
func (s *State) Leased() WorkerSet {
	return s.workerSet(func(plan *PlanState, machine *MachineState) bool {
		return plan.Phase.active() && !machine.Phase.finished()
	})
}

func (s *State) workerSet(selected func(*PlanState, *MachineState) bool) WorkerSet {
	set := WorkerSet{Workers: map[string]bool{}, Hosts: map[string]bool{}}
	for _, plan := range s.Plans {
		for _, machine := range plan.MachineStates {
			if selected(plan, machine) {
				set.addMachine(&machine.Machine)
			}
		}
	}
	return set
}

// addMachine adds the workers of a machine: all at its host if it has one, else the named ones.
func (w WorkerSet) addMachine(machine *Machine) {
	if machine.Host != "" {
		w.Hosts[machine.Host] = true
		return
	}
	for _, worker := range machine.Workers {
		w.Workers[worker] = true
	}
}
