package simulation

import (
	"cmp"
	"fmt"
	"math/rand/v2"
)

// FaultKind is what a Fault does.
type FaultKind string

// The kinds of faults.
const (
	Partition         FaultKind = "cut"    // messages between the member and all others are lost, in both directions or one
	Link              FaultKind = "link"   // messages from the member to another one are lost
	Pause             FaultKind = "stop"   // the member's process is paused
	PauseAndPartition FaultKind = "asleep" // like Pause, and the member is partitioned for longer than that
	KillAndRestart    FaultKind = "kill"   // the process is killed and restarted at once with its disk
	LoseDisk          FaultKind = "wipe"   // like Kill, with an empty disk if all voters have joined
	Outage            FaultKind = "down"   // a machine has an outage
)

// Direction selects the messages that a Partition drops.
type Direction int

// The directions, as seen from the member.
const (
	BothDirections Direction = iota
	Incoming
	Outgoing
)

// Fault is one fault of a history.
type Fault struct {
	Tick      int
	Kind      FaultKind
	Member    int       // index; negative: the leader at that time
	Other     int       // index of a member for Link, of a machine for Outage
	Direction Direction // of a Partition
	Ticks     int       // duration
}

func (f Fault) String() string {
	return fmt.Sprintf("%s of member %d (other %d, direction %d) for %d ticks", f.Kind, f.Member, f.Other, f.Direction, f.Ticks)
}

// bootstrapTicks is the number of ticks at the start in which no member is killed, so that all members can join.
const bootstrapTicks = 40

// RandomFaults returns random faults for a history, in order of their ticks.
func RandomFaults(options Options) []Fault {
	random := rand.New(rand.NewPCG(options.Seed, faultStream))
	interval := cmp.Or(options.FaultInterval, defaultFaultInterval)
	kinds := []FaultKind{Partition, Link, Pause, PauseAndPartition, KillAndRestart, KillAndRestart, Outage}
	faults := []Fault{}
	for tick := range options.Ticks {
		if random.IntN(interval) > 0 {
			continue
		}
		fault := Fault{
			Tick:      tick,
			Kind:      kinds[random.IntN(len(kinds))],
			Member:    random.IntN(options.Members),
			Other:     random.IntN(options.Members),
			Direction: Direction(random.IntN(3)),
			Ticks:     2 + random.IntN(80),
		}
		switch {
		case fault.Kind == KillAndRestart && tick < bootstrapTicks:
			continue
		case fault.Kind == KillAndRestart && random.IntN(6) == 0:
			fault.Kind = LoseDisk
		case fault.Kind == PauseAndPartition:
			fault.Ticks += 20 + random.IntN(120)
		case fault.Kind == Outage:
			fault.Other = random.IntN(options.withDefaults().Machines)
			fault.Ticks += maxReportDelay + random.IntN(200) // a shorter outage may end before the group knows of it
		}
		faults = append(faults, fault)
	}
	return faults
}
