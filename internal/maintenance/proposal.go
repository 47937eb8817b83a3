package maintenance

import "time"

// Advance is the leader's proposal: what it knows of the members and of the fleet, and the time that has passed. State.Compact
// makes it smaller without changing its effect.
type Advance struct {
	StateSeq     uint64                  `json:"seq"`    // State.Seq that the proposal was made for; with any other it has no effect
	Elapsed      time.Duration           `json:"waited"` // since the proposer has had that state
	FenceTimeout time.Duration           `json:"bound"`  // lease, clock drift and longest attempt, the highest of all members
	WarmUp       time.Duration           `json:"warm"`   // time until a started worker takes its full share
	Reports      map[string]MemberReport `json:"words"`  // by member
	Fleet        map[string]Worker       `json:"fleet"`  // by worker

	// Set in a compact proposal. Members that Reports does not name have applied this log index and block nothing.
	DefaultApplied uint64 `json:"agreed,omitempty"`
	// Set in a compact proposal: workers that Fleet does not name, which are in no plan and in full service.
	UnnamedWorkers []WorkerGroup `json:"rest,omitempty"`
}

// WorkerGroup stands for a number of workers that differ only in their names.
type WorkerGroup struct {
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Weight float64 `json:"weight"` // of each
	Count  int     `json:"count"`
}

// MemberReport is the last report of a member on itself.
type MemberReport struct {
	Incarnation string   `json:"life"`
	Applied     uint64   `json:"applied"`           // log index up to which its dispatcher follows the state
	SoleProcess bool     `json:"alone"`             // no other process of this dispatcher runs, and no attempts of an earlier one do
	BusyWorkers []string `json:"busy,omitempty"`    // workers at which attempts of this member run or may run
	BusyHosts   []string `json:"busy_at,omitempty"` // the hosts of these
}

// confirms reports whether the member, in its present incarnation, follows the state up to a log index in all its processes.
func (r *MemberReport) confirms(member *Member, index uint64) bool {
	return r.Incarnation == member.Incarnation && r.Applied >= index && r.SoleProcess
}

// Worker is what members know of a worker.
type Worker struct {
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Host        string  `json:"host,omitempty"`
	Weight      float64 `json:"weight"`
	Unavailable bool    `json:"down,omitempty"` // draining or gone
	Gone        bool    `json:"gone,omitempty"` // has left the endpoint list
	WarmingUp   bool    `json:"cold,omitempty"`
	Disabled    bool    `json:"hand,omitempty"` // by an operator's override at some dispatcher
}

// outOfService reports whether the worker takes less than its full share of requests.
func (w *Worker) outOfService() bool { return w.Unavailable || w.WarmingUp || w.Disabled }

func (a *Advance) isCompact() bool { return a.DefaultApplied > 0 || len(a.UnnamedWorkers) > 0 }

// reportOf returns what a member of the state reported; the zero MemberReport if it did not. A member that a compact proposal does
// not name blocks nothing.
func (a *Advance) reportOf(state *State, name string) MemberReport {
	report, named := a.Reports[name]
	if named || a.DefaultApplied == 0 {
		return report
	}
	return MemberReport{Incarnation: state.Members[name].Incarnation, Applied: a.DefaultApplied, SoleProcess: true}
}

// inService reports whether all workers of a machine are listed and take their full share of requests.
func (a *Advance) inService(machine *MachineState) bool { return len(a.serviceObstacles(machine)) == 0 }

// serviceObstacles returns, for each worker of a machine that is not in full service, the reason.
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

// zoneOf returns the zone of a machine's first listed worker; empty if none is listed.
func (a *Advance) zoneOf(machine *MachineState) string {
	for _, name := range machine.Workers {
		if worker, listed := a.Fleet[name]; listed {
			return worker.Zone
		}
	}
	return ""
}

// weightInService returns the weight of those workers that take their full share.
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
