package cluster

import (
	"fmt"
	"slices"
	"time"
)

// The kinds of faults.
const (
	Partition             = "cut"    // nothing passes between the member and the others
	DropInbound           = "deaf"   // nothing reaches the member; what it sends arrives
	DropOutbound          = "mute"   // nothing that the member sends arrives
	PartitionFromLeader   = "apart"  // nothing passes between the member and the present leader; all else does
	FlappingPartition     = "flap"   // as Partition, for 300 ms out of 600
	ResetLinks            = "reset"  // its links are reset
	DelayLinks            = "slow"   // its links have 300 ms more latency, one way
	LimitBandwidth        = "narrow" // its links pass 2 kB a second
	BreakLinks            = "torn"   // its links break after 700 bytes
	PauseProcess          = "stop"   // its process is paused
	KillProcess           = "kill"   // its process is killed, and started again with its disk
	CrashMachine          = "crash"  // ... as when its machine goes down: temporary files are lost
	LoseDisk              = "wipe"   // ... and with an empty disk
	OutdatedDisk          = "old"    // it works on, is killed, and started again with the disk that it had when the fault began
	OutdatedDiskElsewhere = "put"    // as OutdatedDisk, on another machine: temporary files are lost too
	ForeignDisk           = "alien"  // killed, and started again with the overrides of the next member's disk
	Terminate             = "term"   // its process is shut down in order and started again
	Upgrade               = "renew"  // a process starts beside it, and takes its place
	SplitInTwo            = "halves" // the group is in two parts: members of even numbers, and of odd ones
	SplitInThree          = "thirds" // ... in three, by their numbers modulo three
	RingTopology          = "ring"   // each member reaches only the one before it and the one after it
	LoseWorkers           = "far"    // nothing passes between the member and the workers
	LoseDiscovery         = "unlist" // nothing passes between the member and discovery
	FailForMember         = "spoilt" // all requests of the member fail at the first worker, those of others do not
	FailForAll            = "errs"   // all requests of all members fail at the first worker
	WorkerCrash           = "down"   // the worker of that number, no member, is killed and starts again cold
	WorkerDrain           = "leaves" // ... is listed as draining and works on all the while, then restarts
	WorkerHang            = "hang"   // requests at the worker of that number do not end by themselves
)

// FaultKinds are all kinds of faults, in the order in which random faults are drawn from them.
var FaultKinds = []string{
	Partition, DropInbound, DropOutbound, PartitionFromLeader, FlappingPartition,
	ResetLinks, DelayLinks, LimitBandwidth, BreakLinks,
	PauseProcess, KillProcess, CrashMachine, LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk, Terminate, Upgrade,
	SplitInTwo, SplitInThree, RingTopology,
	LoseWorkers, LoseDiscovery,
	FailForMember, FailForAll,
	WorkerCrash, WorkerDrain, WorkerHang,
}

var (
	// workerFaults are the kinds whose number is a worker's.
	workerFaults = []string{WorkerCrash, WorkerDrain, WorkerHang}

	// processFaults are the kinds that stop or replace a member's process; a member has one of them at a time.
	processFaults = []string{PauseProcess, KillProcess, CrashMachine, LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk, Terminate, Upgrade}

	// diskLossFaults are the kinds after which a member has forgotten entries of the group's log.
	diskLossFaults = []string{LoseDisk, OutdatedDisk, OutdatedDiskElsewhere}

	// overrideLossFaults are the kinds after which a member may have forgotten an override.
	overrideLossFaults = []string{LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk}

	// externalFaults are the kinds that leave members and the links between them alone.
	externalFaults = []string{WorkerCrash, WorkerDrain, WorkerHang, LoseWorkers, LoseDiscovery, FailForMember, FailForAll}
)

// Fault is one fault of the timetable.
type Fault struct {
	Kind   string        `toml:"kind"`
	Member int           `toml:"member"` // -1: the leader when the fault begins
	At     time.Duration `toml:"at"`     // since the group was bootstrapped and its plan ran
	For    time.Duration `toml:"for"`

	other  int           // PartitionFromLeader: the member at the other side
	lostAt time.Duration // when a disk was lost or replaced, on the ledger's clock; 0: not yet, or none
}

// String describes the fault for people.
func (f Fault) String() string {
	return fmt.Sprintf("%s of member %d at %v for %v", f.Kind, f.Member, f.At, f.For)
}

// isOneOf reports whether the fault's kind is one of kinds.
func (f Fault) isOneOf(kinds []string) bool { return slices.Contains(kinds, f.Kind) }
