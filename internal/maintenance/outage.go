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

// Step is where a machine of a plan stands.
type Step string

// The steps, in their order; the last three end a machine besides Done.
const (
	Waiting   Step = "waiting"
	Leaving   Step = "leaving"   // nothing new goes there; what is there ends
	Clear     Step = "clear"     // nothing of any member is there, and nothing can come
	Out       Step = "out"       // staff were told so and have it
	Returning Step = "returning" // put back, cold
	Warm      Step = "warm"      // takes its full part again
	Done      Step = "done"
	Skipped   Step = "skipped"
	Failed    Step = "failed" // it did not come back in time
)

// away tells whether nothing may be sent to a machine in this step.
func (s Step) away() bool { return s == Leaving || s == Clear || s == Out }

// over tells whether the plan is through with the machine.
func (s Step) over() bool { return s == Done || s == Skipped }

// Phase is where a plan stands.
type Phase string

// The phases.
const (
	HandedIn  Phase = "handed in" // not begun
	Announced Phase = "announced" // begins once each member has it in force
	Running   Phase = "running"
	Paused    Phase = "paused" // takes no further machine
	Aborting  Phase = "aborting"
	Ended     Phase = "ended"
)

// open tells whether members need a lease for the machines of a plan.
func (p Phase) open() bool { return p != HandedIn && p != Ended }

// What happens when a step takes too long.
const (
	Wait  = "wait"  // it is told, and nothing else
	Pause = "pause" // the plan takes no further machine
	Skip  = "skip"  // a machine that does not get clear in time is put back and left out; else as Pause
)

// Plan is what staff hand in.
type Plan struct {
	Name     string        `json:"name"`
	Machines []Machine     `json:"machines"`
	Out      int           `json:"out"`      // machines away at a time, in the fleet
	ZoneOut  int           `json:"zone_out"` // ... in a zone; 0: no bound of its own
	KindOut  int           `json:"kind_out"` // ... of a kind
	Capacity float64       `json:"capacity"` // the least share of the listed weight that stays
	Leave    time.Duration `json:"leave"`    // so long a machine may take to get clear
	Work     time.Duration `json:"work"`     // so long staff may have it
	Back     time.Duration `json:"back"`     // so long it may take to be warm again
	Overdue  string        `json:"overdue"`  // what happens then
}

// Machine is a set of runners that are worked on together: named ones, or all at a host, whatever they are called then.
type Machine struct {
	Name    string   `json:"name"`
	Runners []string `json:"runners"`
	Host    string   `json:"host,omitempty"`
}

// Member is a dispatcher of the group.
type Member struct {
	Name  string `json:"name"`
	Life  string `json:"life"` // drawn anew with each empty disk
	ID    uint64 `json:"id"`   // raft's, of this life
	Voter bool   `json:"voter"`
	Old   []Life `json:"old,omitempty"` // before, not to be heard any more
}

// Life is one that a member has had.
type Life struct {
	Life string `json:"life"`
	ID   uint64 `json:"id"`
}

// Was tells whether a life is one before the present.
func (m *Member) Was(life string) bool {
	return slices.ContainsFunc(m.Old, func(l Life) bool { return l.Life == life })
}

// Kind is what a command asks for.
type Kind string

// The kinds.
const (
	Join    Kind = "join"   // Member
	Retire  Kind = "retire" // Name, of a member
	Trust   Kind = "trust"  // no machine is with staff by a plan that was forgotten
	HandIn  Kind = "plan"   // Plan
	Start   Kind = "start"  // Name, of a plan, as in all that follow
	Halt    Kind = "pause"
	Resume  Kind = "resume"
	Abort   Kind = "abort"
	Take    Kind = "wait"    // Machine: staff have been told that it is clear
	GiveUp  Kind = "skip"    // Machine
	Return  Kind = "done"    // Machine
	Proceed Kind = "advance" // Advance
)

// Command is one settled entry.
type Command struct {
	ID      string   `json:"id,omitempty"` // of a call of staff: one that comes twice acts once
	Kind    Kind     `json:"kind"`
	Name    string   `json:"name,omitempty"`
	Machine string   `json:"machine,omitempty"`
	Plan    *Plan    `json:"plan,omitempty"`
	Member  *Member  `json:"member,omitempty"`
	Advance *Advance `json:"advance,omitempty"`
	Needs   int      `json:"needs,omitempty"` // the level that a build has to know to carry this out; see Level
}

// Level is what this build knows of entries: 1 machines by name, 2 machines by host, brief entries and doubt.
const Level = 2

// Knows is Level, or one less where a build of before is played.
func Knows() int {
	if failpoint.On(failpoint.Older) {
		return Level - 1
	}
	return Level
}

// Requires is the level that a command needs.
func (c *Command) Requires() int {
	switch {
	case c.Plan != nil && slices.ContainsFunc(c.Plan.Machines, func(m Machine) bool { return m.Host != "" }):
		return 2
	case c.Advance != nil && (c.Advance.Agreed > 0 || len(c.Advance.Rest) > 0), c.Kind == Trust:
		return 2
	}
	return 1
}

// Advance is what the leader has heard, for the core to go on by.
type Advance struct {
	Seq    uint64            `json:"seq"`    // of the state that it was drawn up from: for any other it counts nothing
	Waited time.Duration     `json:"waited"` // since its proposer had that state
	Bound  time.Duration     `json:"bound"`  // the lease, its drift and the longest attempt, at the most over all members
	Warm   time.Duration     `json:"warm"`   // until a started runner is warm
	Words  map[string]Word   `json:"words"`  // by member
	Fleet  map[string]Runner `json:"fleet"`  // by runner
	// In place of what would be said of each member and runner of hundreds, in a Brief one:
	Agreed uint64  `json:"agreed,omitempty"` // those that Words does not name have told that this is in force, and nothing of theirs is in the way
	Rest   []Group `json:"rest,omitempty"`   // runners that Fleet does not name: in no plan, and in full use
}

// Group are runners of a kind.
type Group struct {
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Weight float64 `json:"weight"` // of each
	Count  int     `json:"count"`
}

// Word is what a member has told of itself last.
type Word struct {
	Life    string   `json:"life"`
	Applied uint64   `json:"applied"`           // the entries up to this index are in force at it
	Alone   bool     `json:"alone"`             // no other process of this dispatcher lives, and none left work behind
	Busy    []string `json:"busy,omitempty"`    // runners where something of its own runs or may run
	BusyAt  []string `json:"busy_at,omitempty"` // ... and their hosts
}

// Runner is what members know of a runner.
type Runner struct {
	Zone   string  `json:"zone"`
	Kind   string  `json:"kind"`
	Host   string  `json:"host,omitempty"`
	Weight float64 `json:"weight"`
	Down   bool    `json:"down,omitempty"` // gone, or draining
	Gone   bool    `json:"gone,omitempty"`
	Cold   bool    `json:"cold,omitempty"`
	Hand   bool    `json:"hand,omitempty"` // left out by hand at some dispatcher
}

func (r Runner) away() bool { return r.Down || r.Cold || r.Hand }

// Answer is what a call came to.
type Answer struct {
	ID   string `json:"id"`
	Code int    `json:"code"` // 0: done; 1: wrong; 2: not now
	Text string `json:"text"`
}

// The codes of answers, which are the exit statuses of the command line too.
const (
	Yes    = 0
	Wrong  = 1
	NotNow = 2
)

// Event is something that was settled, for logs.
type Event struct {
	Plan    string `json:"plan,omitempty"`
	Machine string `json:"machine,omitempty"`
	What    string `json:"what"`
}

// Place is a machine of a plan under way.
type Place struct {
	Machine
	Step    Step          `json:"step"`
	At      uint64        `json:"at"`                // the entry that began the step
	Since   time.Duration `json:"since"`             // on the group's clock
	Overdue bool          `json:"overdue,omitempty"` // the step has taken longer than the plan allows
	Left    bool          `json:"left,omitempty"`    // put back before staff had it: it ends as skipped, not done
}

// Under is a plan with its machines.
type Under struct {
	Plan
	Phase  Phase    `json:"phase"`
	At     uint64   `json:"at"` // the entry that announced it
	Places []*Place `json:"places"`
	Zone   string   `json:"zone,omitempty"` // of the machine that was taken last
}

// State is all that is settled.
type State struct {
	Seq     uint64             `json:"seq"`             // counts the commands that changed anything
	Level   int                `json:"level,omitempty"` // the highest that a settled command has needed
	Doubt   bool               `json:"doubt,omitempty"` // machines may be with staff by a plan that was forgotten: none begins
	Index   uint64             `json:"index"`
	Clock   time.Duration      `json:"clock"` // of the group: never more than what has gone by
	Bound   time.Duration      `json:"bound"`
	Warm    time.Duration      `json:"warm"`
	Members map[string]*Member `json:"members"`
	Plans   []*Under           `json:"plans"`
	Answers []Answer           `json:"answers"` // of the newest calls
}

// Bounds on what is kept.
const (
	answersKept = 512 // calls that may be made again without acting twice
	plansKept   = 32  // ended ones go first
	MachineMost = 1000
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
	if s.Level > Knows() {
		return nil, fmt.Errorf("the settled state is of a newer build: level %d, here is %d", s.Level, Knows())
	}
	return s, nil
}

// Clone is a copy that shares nothing that changes: a plan's text and its machines' lists of runners are replaced, never changed.
func (s *State) Clone() *State {
	c := *s
	c.Members, c.Plans, c.Answers = map[string]*Member{}, nil, slices.Clone(s.Answers)
	for name, m := range s.Members {
		member := *m
		member.Old = slices.Clone(m.Old)
		c.Members[name] = &member
	}
	for _, u := range s.Plans {
		under := *u
		under.Places = nil
		for _, p := range u.Places {
			place := *p
			under.Places = append(under.Places, &place)
		}
		c.Plans = append(c.Plans, &under)
	}
	return &c
}

// Apply carries out one settled entry. It panics at one of a newer build: a member that passed over what the others carry out would
// have another state than they, and say that it has in force what it has not.
func (s *State) Apply(index uint64, raw []byte) (events []Event) {
	if index <= s.Index { // in the snapshot already
		return nil
	}
	var c Command
	if err := json.Unmarshal(raw, &c); err != nil || c.Needs > Knows() {
		panic(fmt.Sprintf("entry %d is of a newer build: level %d, here is %d (%v)", index, c.Needs, Knows(), err))
	}
	s.Index, s.Level = index, max(s.Level, c.Needs)
	if c.ID != "" {
		if _, ok := s.Answer(c.ID); ok && !failpoint.On(failpoint.ActsTwice) {
			return nil
		}
	}
	r := &run{State: s}
	code, text := r.do(&c)
	if c.ID != "" {
		s.Answers = append(s.Answers, Answer{c.ID, code, text})
		s.Answers = s.Answers[max(0, len(s.Answers)-answersKept):]
	}
	if len(r.events) > 0 {
		s.Seq++
	}
	return r.events
}

// Answer is what a call of this id came to.
func (s *State) Answer(id string) (Answer, bool) {
	i := slices.IndexFunc(s.Answers, func(a Answer) bool { return a.ID == id })
	if i < 0 {
		return Answer{}, false
	}
	return s.Answers[i], true
}

// Bound are runners, and hosts whose runners are meant all together.
type Bound struct{ Runners, Hosts map[string]bool }

// Away are those to which nothing may be sent.
func (s *State) Away() Bound {
	return s.runners(func(_ *Under, p *Place) bool { return p.Step.away() })
}

// Leased are those to which members may send only under the lease: all of plans that are not through with them.
func (s *State) Leased() Bound {
	return s.runners(func(u *Under, p *Place) bool { return u.Phase.open() && !p.Step.over() })
}

func (s *State) runners(picked func(*Under, *Place) bool) Bound {
	out := Bound{map[string]bool{}, map[string]bool{}}
	for _, u := range s.Plans {
		for _, p := range u.Places {
			switch {
			case !picked(u, p):
			case p.Host != "":
				out.Hosts[p.Host] = true
			default:
				for _, r := range p.Runners {
					out.Runners[r] = true
				}
			}
		}
	}
	return out
}

// Plan is the plan of a name; nil where there is none.
func (s *State) Plan(name string) *Under {
	for _, u := range s.Plans {
		if u.Name == name {
			return u
		}
	}
	return nil
}

// Find is the place of a machine in the plan of a name, or, where that is empty, in the one that is under way, else handed in,
// else the newest that has ended: a call that is made again is answered then too. Nil where there is none.
func (s *State) Find(plan, machine string) (under *Under, place *Place) {
	rank := func(p Phase) int {
		switch {
		case p.open():
			return 2
		case p == HandedIn:
			return 1
		}
		return 0
	}
	for _, u := range s.Plans {
		if plan != "" && u.Name != plan || under != nil && rank(u.Phase) < rank(under.Phase) {
			continue
		}
		for _, p := range u.Places {
			if p.Name == machine {
				under, place = u, p
			}
		}
	}
	return under, place
}

// Names are the members' names, sorted.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.Members)) }
