package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

// The kinds of troubles.
const (
	Partition = "cut"    // nothing passes between the member and the others, both ways or one
	Link      = "link"   // nothing passes from the member to another one
	Stop      = "stop"   // the member stands still
	Asleep    = "asleep" // ... and is cut off for longer
	Kill      = "kill"   // its process dies and starts again at once with its disk
	Wipe      = "wipe"   // ... without, if all voters have their place
	Down      = "down"   // the machine of that number is away by itself
)

// Fault is one thing that goes wrong.
type Fault struct {
	Tick   int
	Kind   string
	Member int // below 0: the one that leads then
	Other  int // member or machine
	Way    int // of a cut: 1 what comes, 2 what goes; 0 both
	For    int // ticks
}

func (t Fault) String() string {
	return fmt.Sprintf("%s of member %d (other %d, way %d) for %d ticks", t.Kind, t.Member, t.Other, t.Way, t.For)
}

// DrawFaults draws troubles from the seed, in the order of time.
func DrawFaults(o Options) []Fault {
	r := rand.New(rand.NewPCG(o.Seed, 4712))
	kinds := []string{Partition, Link, Stop, Asleep, Kill, Kill, Down}
	out := []Fault{}
	for tick := range o.Ticks {
		if r.IntN(cmp.Or(o.FaultInterval, defaultFaultInterval)) > 0 {
			continue
		}
		t := Fault{Tick: tick, Kind: kinds[r.IntN(len(kinds))], Member: r.IntN(o.Members), Other: r.IntN(o.Members), Way: r.IntN(3), For: 2 + r.IntN(80)}
		switch {
		case t.Kind == Kill && tick < 40: // the group is being founded
			continue
		case t.Kind == Kill && r.IntN(6) == 0:
			t.Kind = Wipe
		case t.Kind == Asleep:
			t.For += 20 + r.IntN(120)
		case t.Kind == Down:
			t.Other = r.IntN(cmp.Or(o.Machines, defaultMachines))
			t.For += known + r.IntN(200) // else the group need not know of it
		}
		out = append(out, t)
	}
	return out
}

// rule is which one a history breaks first; empty: none.
func (r *Result) rule() string {
	if len(r.Broken) == 0 {
		return ""
	}
	_, text, _ := strings.Cut(r.Broken[0], " ") // behind the time
	rule, _, _ := strings.Cut(text, ":")
	return rule
}

// maxMinimizeTries bounds the histories that are played to cut one down: a few seconds.
const maxMinimizeTries = 400

// Minimize takes as much as it can out of a history that breaks a rule, such that it still breaks that one: what comes behind, then
// troubles, by halves, quarters and so on down to single ones.
func Minimize(o Options) (Options, *Result, error) {
	o.Trace = nil
	r, err := Simulate(o)
	if err != nil || r.rule() == "" {
		return o, r, err
	}
	if o.Faults == nil {
		o.Faults = DrawFaults(o)
	}
	o.Ticks = r.Ticks
	o.Faults = slices.DeleteFunc(slices.Clone(o.Faults), func(t Fault) bool { return t.Tick >= o.Ticks })
	tries := maxMinimizeTries
	for size := len(o.Faults); size > 0; {
		cut := false
		for at := 0; at < len(o.Faults) && tries > 0; tries-- {
			less := o
			less.Faults = slices.Delete(slices.Clone(o.Faults), at, min(at+size, len(o.Faults)))
			now, err := Simulate(less)
			if err != nil {
				return o, r, err
			}
			if now.rule() == r.rule() {
				o, r, cut = less, now, true
				o.Ticks = min(o.Ticks, now.Ticks)
			} else {
				at += size
			}
		}
		if !cut || size > len(o.Faults) {
			size = min(size/2, len(o.Faults))
		}
	}
	return o, r, nil
}
