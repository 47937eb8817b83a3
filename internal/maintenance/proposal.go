package maintenance

import "time"

// Advance is the leader's proposal: what it knows about the members and the fleet, and the elapsed time. State.Compact returns a shorter
// one with the same effect.
type Advance struct {
	StateSeq     uint64                  `json:"seq"`    // State.Seq for which the proposal was made; it has no effect with any other
	Elapsed      time.Duration           `json:"waited"` // since the proposer reached that state
	FenceTimeout time.Duration           `json:"bound"`  // lease plus longest attempt, with clock drift; the highest of all members
	WarmUp       time.Duration           `json:"warm"`   // time until a started worker gets its full share of requests
	Reports      map[string]MemberReport `json:"words"`  // by member
	Fleet        map[string]Worker       `json:"fleet"`  // by worker

	// DefaultApplied is set in a compact proposal: members that are missing in Reports have applied this log index and block nothing.
	DefaultApplied uint64 `json:"agreed,omitempty"`
	// UnnamedWorkers is set in a compact proposal: workers that are missing in Fleet, are in no plan and are in full service.
	UnnamedWorkers []WorkerGroup `json:"rest,omitempty"`
}

// WorkerGroup stands for a number of workers that differ only in their names.
type WorkerGroup struct {
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Weight float64 `json:"weight"` // of each
	Count  int     `json:"count"`
}

// MemberReport is a member's newest report about itself.
type MemberReport struct {
	Incarnation string   `json:"life"`
	Applied     uint64   `json:"applied"`           // log index up to which its dispatcher has applied the state
	SoleProcess bool     `json:"alone"`             // no other process of this dispatcher is running, nor any attempt of an earlier process
	BusyWorkers []string `json:"busy,omitempty"`    // workers at which attempts of this member are or may be running
	BusyHosts   []string `json:"busy_at,omitempty"` // the hosts of these workers
}

// confirms reports whether the member's present incarnation has applied a log index in all its processes.
func (r *MemberReport) confirms(member *Member, index uint64) bool {
	return r.Incarnation == member.Incarnation && r.Applied >= index && r.SoleProcess
}

// Worker is what members know about a worker.
type Worker struct {
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Host        string  `json:"host,omitempty"`
	Weight      float64 `json:"weight"`
	Unavailable bool    `json:"down,omitempty"` // draining or gone
	Gone        bool    `json:"gone,omitempty"` // no longer on the endpoint list
	WarmingUp   bool    `json:"cold,omitempty"`
	Disabled    bool    `json:"hand,omitempty"` // by an operator's override at some dispatcher
}

// outOfService reports whether the worker gets less than its full share of requests.
func (w *Worker) outOfService() bool { return w.Unavailable || w.WarmingUp || w.Disabled }

func (a *Advance) isCompact() bool { return a.DefaultApplied > 0 || len(a.UnnamedWorkers) > 0 }

// reportOf returns the report of a member of the state, or the zero MemberReport if the proposal has none. A member that is missing in a
// compact proposal gets a report that blocks nothing.
func (a *Advance) reportOf(state *State, name string) MemberReport {
	report, named := a.Reports[name]
	if named || a.DefaultApplied == 0 {
		return report
	}
	return MemberReport{Incarnation: state.Members[name].Incarnation, Applied: a.DefaultApplied, SoleProcess: true}
}

// inService reports whether all workers of a machine are listed and get their full share of requests.
func (a *Advance) inService(machine *MachineState) bool { return len(a.serviceObstacles(machine)) == 0 }

// serviceObstacles returns the reason for each worker of a machine that is not in full service.
func (a *Advance) serviceObstacles(machine *MachineState) (obstacles []string) {
	for _, name := range machine.Workers {
		worker, listed := a.Fleet[name]
		switch {
		case !listed:
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

// zoneOf returns the zone of a machine's first listed worker, or an empty string.
func (a *Advance) zoneOf(machine *MachineState) string {
	for _, name := range machine.Workers {
		if worker, listed := a.Fleet[name]; listed {
			return worker.Zone
		}
	}
	return ""
}

// weightInService returns the total weight of those workers that get their full share of requests.
func (a *Advance) weightInService(workers []string) float64 {
	weight := 0.0
	for _, name := range workers {
		worker, listed := a.Fleet[name]
		if listed && !worker.outOfService() {
			weight += worker.Weight
		}
	}
	return weight
}
