// Package maintenance decides in which order machines are taken out for work, by settled entries alone: it has no I/O, no clock
// and no goroutine. The same entries give the same state at each member, byte by byte. What members know of the fleet, and
// the time that has gone by, come with the entries.
package maintenance

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"birchfork/internal/failpoint"
)

// MachinePhase is where a machine of a plan stands.
type MachinePhase string

// The steps, in their order; the last three end a machine besides Done.
const (
	MachineWaiting       MachinePhase = "waiting"
	MachineDraining      MachinePhase = "leaving"   // nothing new goes there; what is there ends
	MachineDrained       MachinePhase = "clear"     // nothing of any member is there, and nothing can come
	MachineInMaintenance MachinePhase = "out"       // staff were told so and have it
	MachineReturning     MachinePhase = "returning" // put back, cold
	MachineWarm          MachinePhase = "warm"      // takes its full part again
	MachineDone          MachinePhase = "done"
	MachineSkipped       MachinePhase = "skipped"
	MachineFailed        MachinePhase = "failed" // it did not come back in time
)

// excluded tells whether nothing may be sent to a machine in this step.
func (p MachinePhase) excluded() bool {
	return p == MachineDraining || p == MachineDrained || p == MachineInMaintenance
}

// finished tells whether the plan is through with the machine.
func (p MachinePhase) finished() bool { return p == MachineDone || p == MachineSkipped }

// PlanPhase is where a plan stands.
type PlanPhase string

// The phases.
const (
	PlanSubmitted PlanPhase = "handed in" // not begun
	PlanAnnounced PlanPhase = "announced" // begins once each member has it in force
	PlanRunning   PlanPhase = "running"
	PlanPaused    PlanPhase = "paused" // takes no further machine
	PlanAborting  PlanPhase = "aborting"
	PlanEnded     PlanPhase = "ended"
)

// active tells whether members need a lease for the machines of a plan.
func (p PlanPhase) active() bool { return p != PlanSubmitted && p != PlanEnded }

// What happens when a step takes too long.
const (
	OverdueWait  = "wait"  // it is told, and nothing else
	OverduePause = "pause" // the plan takes no further machine
	OverdueSkip  = "skip"  // a machine that does not get clear in time is put back and left out; else as Pause
)

// Plan is what staff hand in.
type Plan struct {
	Name                  string        `json:"name"`
	Machines              []Machine     `json:"machines"`
	MaxUnavailable        int           `json:"out"`      // machines away at a time, in the fleet
	MaxUnavailablePerZone int           `json:"zone_out"` // ... in a zone; 0: no bound of its own
	MaxUnavailablePerKind int           `json:"kind_out"` // ... of a kind
	MinCapacity           float64       `json:"capacity"` // the least share of the listed weight that stays
	DrainTimeout          time.Duration `json:"leave"`    // so long a machine may take to get clear
	WorkTimeout           time.Duration `json:"work"`     // so long staff may have it
	ReturnTimeout         time.Duration `json:"back"`     // so long it may take to be warm again
	OnOverdue             string        `json:"overdue"`  // what happens then
}

// Machine is a set of runners that are worked on together: named ones, or all at a host, whatever they are called then.
type Machine struct {
	Name    string   `json:"name"`
	Workers []string `json:"runners"`
	Host    string   `json:"host,omitempty"`
}

// Member is a dispatcher of the group.
type Member struct {
	Name             string            `json:"name"`
	Incarnation      string            `json:"life"` // drawn anew with each empty disk
	RaftID           uint64            `json:"id"`   // raft's, of this life
	Voter            bool              `json:"voter"`
	PastIncarnations []PastIncarnation `json:"old,omitempty"` // before, not to be heard any more
}

// PastIncarnation is one that a member has had.
type PastIncarnation struct {
	Incarnation string `json:"life"`
	RaftID      uint64 `json:"id"`
}

// HadIncarnation tells whether a life is one before the present.
func (m *Member) HadIncarnation(incarnation string) bool {
	return slices.ContainsFunc(m.PastIncarnations, func(past PastIncarnation) bool { return past.Incarnation == incarnation })
}

// CommandKind is what a command asks for.
type CommandKind string

// The kinds.
const (
	CommandJoinMember    CommandKind = "join"   // Member
	CommandRetireMember  CommandKind = "retire" // Name, of a member
	CommandTrustHistory  CommandKind = "trust"  // no machine is with staff by a plan that was forgotten
	CommandSubmitPlan    CommandKind = "plan"   // Plan
	CommandStartPlan     CommandKind = "start"  // Name, of a plan, as in all that follow
	CommandPausePlan     CommandKind = "pause"
	CommandResumePlan    CommandKind = "resume"
	CommandAbortPlan     CommandKind = "abort"
	CommandClaimMachine  CommandKind = "wait"    // Machine: staff have been told that it is clear
	CommandSkipMachine   CommandKind = "skip"    // Machine
	CommandReturnMachine CommandKind = "done"    // Machine
	CommandAdvance       CommandKind = "advance" // Advance
)

// Command is one settled entry.
type Command struct {
	ID      string      `json:"id,omitempty"` // of a call of staff: one that comes twice acts once
	Kind    CommandKind `json:"kind"`
	Name    string      `json:"name,omitempty"`
	Machine string      `json:"machine,omitempty"`
	Plan    *Plan       `json:"plan,omitempty"`
	Member  *Member     `json:"member,omitempty"`
	Advance *Advance    `json:"advance,omitempty"`
	Level   int         `json:"needs,omitempty"` // the level that a build has to know to carry this out; see Level
}

// MaxLevel is what this build knows of entries: 1 machines by name, 2 machines by host, brief entries and doubt.
const MaxLevel = 2

// SupportedLevel is Level, or one less where a build of before is played.
func SupportedLevel() int {
	if failpoint.Enabled(failpoint.OlderBuild) {
		return MaxLevel - 1
	}
	return MaxLevel
}

// RequiredLevel is the level that a command needs.
func (c *Command) RequiredLevel() int {
	switch {
	case c.Plan != nil && slices.ContainsFunc(c.Plan.Machines, func(machine Machine) bool { return machine.Host != "" }):
		return 2
	case c.Advance != nil && (c.Advance.DefaultApplied > 0 || len(c.Advance.UnnamedWorkers) > 0), c.Kind == CommandTrustHistory:
		return 2
	}
	return 1
}

// Advance is what the leader has heard, for the core to go on by.
type Advance struct {
	StateSeq     uint64                  `json:"seq"`    // of the state that it was drawn up from: for any other it counts nothing
	Elapsed      time.Duration           `json:"waited"` // since its proposer had that state
	FenceTimeout time.Duration           `json:"bound"`  // the lease, its drift and the longest attempt, at the most over all members
	WarmUp       time.Duration           `json:"warm"`   // until a started runner is warm
	Reports      map[string]MemberReport `json:"words"`  // by member
	Fleet        map[string]Worker       `json:"fleet"`  // by runner
	// In place of what would be said of each member and runner of hundreds, in a Brief one:
	DefaultApplied uint64        `json:"agreed,omitempty"` // those that Words does not name have told that this is in force, and nothing of theirs is in the way
	UnnamedWorkers []WorkerGroup `json:"rest,omitempty"`   // runners that Fleet does not name: in no plan, and in full use
}

// WorkerGroup are runners of a kind.
type WorkerGroup struct {
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Weight float64 `json:"weight"` // of each
	Count  int     `json:"count"`
}

// MemberReport is what a member has told of itself last.
type MemberReport struct {
	Incarnation string   `json:"life"`
	Applied     uint64   `json:"applied"`           // the entries up to this index are in force at it
	SoleProcess bool     `json:"alone"`             // no other process of this dispatcher lives, and none left work behind
	BusyWorkers []string `json:"busy,omitempty"`    // runners where something of its own runs or may run
	BusyHosts   []string `json:"busy_at,omitempty"` // ... and their hosts
}

// Worker is what members know of a runner.
type Worker struct {
	Zone        string  `json:"zone"`
	Kind        string  `json:"kind"`
	Host        string  `json:"host,omitempty"`
	Weight      float64 `json:"weight"`
	Unavailable bool    `json:"down,omitempty"` // gone, or draining
	Gone        bool    `json:"gone,omitempty"`
	WarmingUp   bool    `json:"cold,omitempty"`
	Disabled    bool    `json:"hand,omitempty"` // left out by hand at some dispatcher
}

func (w Worker) outOfService() bool { return w.Unavailable || w.WarmingUp || w.Disabled }

// Result is what a call came to.
type Result struct {
	ID   string `json:"id"`
	Code int    `json:"code"` // 0: done; 1: wrong; 2: not now
	Text string `json:"text"`
}

// The codes of answers, which are the exit statuses of the command line too.
const (
	CodeOK         = 0
	CodeInvalid    = 1
	CodeRetryLater = 2
)

// Event is something that was settled, for logs.
type Event struct {
	Plan    string `json:"plan,omitempty"`
	Machine string `json:"machine,omitempty"`
	Text    string `json:"what"`
}

// MachineState is a machine of a plan under way.
type MachineState struct {
	Machine
	Phase      MachinePhase  `json:"step"`
	PhaseIndex uint64        `json:"at"`                // the entry that began the step
	PhaseStart time.Duration `json:"since"`             // on the group's clock
	Overdue    bool          `json:"overdue,omitempty"` // the step has taken longer than the plan allows
	Withdrawn  bool          `json:"left,omitempty"`    // put back before staff had it: it ends as skipped, not done
}

// PlanState is a plan with its machines.
type PlanState struct {
	Plan
	Phase          PlanPhase       `json:"phase"`
	AnnouncedIndex uint64          `json:"at"` // the entry that announced it
	MachineStates  []*MachineState `json:"places"`
	LastZone       string          `json:"zone,omitempty"` // of the machine that was taken last
}

// State is all that is settled.
type State struct {
	Seq          uint64             `json:"seq"`             // counts the commands that changed anything
	Level        int                `json:"level,omitempty"` // the highest that a settled command has needed
	HistoryLost  bool               `json:"doubt,omitempty"` // machines may be with staff by a plan that was forgotten: none begins
	AppliedIndex uint64             `json:"index"`
	Clock        time.Duration      `json:"clock"` // of the group: never more than what has gone by
	FenceTimeout time.Duration      `json:"bound"`
	WarmUp       time.Duration      `json:"warm"`
	Members      map[string]*Member `json:"members"`
	Plans        []*PlanState       `json:"plans"`
	Results      []Result           `json:"answers"` // of the newest calls
}

// Bounds on what is kept.
const (
	maxResults  = 512 // calls that may be made again without acting twice
	maxPlans    = 32  // ended ones go first
	MaxMachines = 1000
)

// New returns the state of a group that begins.
func New() *State { return &State{Members: map[string]*Member{}} }

// Encode is the state as bytes, the same for equal states.
func (s *State) Encode() ([]byte, error) { return json.Marshal(s) }

// Decode reads what Encode wrote.
func Decode(raw []byte) (*State, error) {
	s := New()
	if err := json.Unmarshal(raw, s); err != nil {
		return nil, fmt.Errorf("the settled state: %w", err)
	}
	if s.Level > SupportedLevel() {
		return nil, fmt.Errorf("the settled state is of a newer build: level %d, here is %d", s.Level, SupportedLevel())
	}
	return s, nil
}

// Clone is a copy that shares nothing that changes: a plan's text and its machines' lists of runners are replaced, never changed.
func (s *State) Clone() *State {
	clone := *s
	clone.Members, clone.Plans, clone.Results = map[string]*Member{}, nil, slices.Clone(s.Results)
	for name, member := range s.Members {
		memberCopy := *member
		memberCopy.PastIncarnations = slices.Clone(member.PastIncarnations)
		clone.Members[name] = &memberCopy
	}
	for _, plan := range s.Plans {
		planCopy := *plan
		planCopy.MachineStates = nil
		for _, machine := range plan.MachineStates {
			machineCopy := *machine
			planCopy.MachineStates = append(planCopy.MachineStates, &machineCopy)
		}
		clone.Plans = append(clone.Plans, &planCopy)
	}
	return &clone
}

// Apply carries out one settled entry. It panics at one of a newer build: a member that passed over what the others carry out would
// have another state than they, and say that it has in force what it has not.
func (s *State) Apply(index uint64, raw []byte) (events []Event) {
	if index <= s.AppliedIndex { // in the snapshot already
		return nil
	}
	var command Command
	if err := json.Unmarshal(raw, &command); err != nil || command.Level > SupportedLevel() {
		panic(fmt.Sprintf("entry %d is of a newer build: level %d, here is %d (%v)", index, command.Level, SupportedLevel(), err))
	}
	s.AppliedIndex, s.Level = index, max(s.Level, command.Level)
	if command.ID != "" {
		if _, ok := s.Result(command.ID); ok && !failpoint.Enabled(failpoint.RepeatCommands) {
			return nil
		}
	}
	a := &applier{State: s}
	code, text := a.execute(&command)
	if command.ID != "" {
		s.Results = append(s.Results, Result{command.ID, code, text})
		s.Results = s.Results[max(0, len(s.Results)-maxResults):]
	}
	if len(a.events) > 0 {
		s.Seq++
	}
	return a.events
}

// Result is what a call of this id came to.
func (s *State) Result(id string) (Result, bool) {
	i := slices.IndexFunc(s.Results, func(result Result) bool { return result.ID == id })
	if i < 0 {
		return Result{}, false
	}
	return s.Results[i], true
}

// WorkerSet are runners, and hosts whose runners are meant all together.
type WorkerSet struct{ Workers, Hosts map[string]bool }

// InMaintenance are those to which nothing may be sent.
func (s *State) InMaintenance() WorkerSet {
	return s.workerSet(func(_ *PlanState, machine *MachineState) bool { return machine.Phase.excluded() })
}

// Leased are those to which members may send only under the lease: all of plans that are not through with them.
func (s *State) Leased() WorkerSet {
	return s.workerSet(func(plan *PlanState, machine *MachineState) bool {
		return plan.Phase.active() && !machine.Phase.finished()
	})
}

func (s *State) workerSet(selected func(*PlanState, *MachineState) bool) WorkerSet {
	set := WorkerSet{map[string]bool{}, map[string]bool{}}
	for _, plan := range s.Plans {
		for _, machine := range plan.MachineStates {
			switch {
			case !selected(plan, machine):
			case machine.Host != "":
				set.Hosts[machine.Host] = true
			default:
				for _, worker := range machine.Workers {
					set.Workers[worker] = true
				}
			}
		}
	}
	return set
}

// FindPlan is the plan of a name; nil where there is none.
func (s *State) FindPlan(name string) *PlanState {
	for _, plan := range s.Plans {
		if plan.Name == name {
			return plan
		}
	}
	return nil
}

// FindMachine is the place of a machine in the plan of a name, or, where that is empty, in the one that is under way, else handed in,
// else the newest that has ended: a call that is made again is answered then too. Nil where there is none.
func (s *State) FindMachine(planName, machineName string) (plan *PlanState, machine *MachineState) {
	rank := func(p PlanPhase) int {
		switch {
		case p.active():
			return 2
		case p == PlanSubmitted:
			return 1
		}
		return 0
	}
	for _, candidate := range s.Plans {
		if planName != "" && candidate.Name != planName || plan != nil && rank(candidate.Phase) < rank(plan.Phase) {
			continue
		}
		for _, p := range candidate.MachineStates {
			if p.Name == machineName {
				plan, machine = candidate, p
			}
		}
	}
	return plan, machine
}

// MemberNames are the members' names, sorted.
func (s *State) MemberNames() []string { return slices.Sorted(maps.Keys(s.Members)) }
