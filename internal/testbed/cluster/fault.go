package cluster

import (
	"fmt"
	"slices"
	"time"
)

// The kinds of faults.
const (
	Partition             = "cut"    // blocks all traffic between the member and the others
	DropInbound           = "deaf"   // blocks messages to the member; its own messages arrive
	DropOutbound          = "mute"   // blocks messages from the member; messages to it arrive
	PartitionFromLeader   = "apart"  // blocks only traffic between the member and the current leader
	FlappingPartition     = "flap"   // like Partition, for 300 ms out of every 600 ms
	ResetLinks            = "reset"  // resets the member's links
	DelayLinks            = "slow"   // adds 300 ms of one-way latency to the member's links
	LimitBandwidth        = "narrow" // limits the member's links to 2 kB/s
	BreakLinks            = "torn"   // resets each connection of the member's links after 700 bytes
	PauseProcess          = "stop"   // pauses the process
	KillAndRestart        = "kill"   // kills the process and restarts it with its disk
	CrashMachine          = "crash"  // like KillAndRestart; temporary files are lost, as when the machine goes down
	LoseDisk              = "wipe"   // like CrashMachine, and the disk is empty
	OutdatedDisk          = "old"    // at its end, kills the process and restarts it with the disk as it was at the beginning
	OutdatedDiskElsewhere = "put"    // like OutdatedDisk, on another machine: temporary files are lost too
	ForeignDisk           = "alien"  // kills the process and restarts it with the overrides of the next member's disk
	Restart               = "term"   // shuts the process down gracefully and restarts it
	HotRestart            = "renew"  // starts a sibling process, which takes over
	SplitInTwo            = "halves" // splits the group into even-numbered and odd-numbered members
	SplitInThree          = "thirds" // splits the group into three parts by member number modulo three
	RingTopology          = "ring"   // each member reaches only the one before it and the one after it
	LoseWorkers           = "far"    // blocks traffic between the member and the workers
	LoseDiscovery         = "unlist" // blocks traffic between the member and discovery
	FailForMember         = "spoilt" // all requests of the member, and only those, fail at the first worker
	FailForAll            = "errs"   // the requests of all members fail at the first worker
	WorkerCrash           = "down"   // kills a worker, which restarts and has to warm up; Member is the worker's number
	WorkerDrain           = "leaves" // lists a worker as draining while it goes on serving, then restarts it
	WorkerHang            = "hang"   // requests at a worker do not end by themselves
)

// FaultKinds lists all kinds of faults. Random faults are drawn by position, so that the order determines them for a seed.
var FaultKinds = []string{
	Partition, DropInbound, DropOutbound, PartitionFromLeader, FlappingPartition,
	ResetLinks, DelayLinks, LimitBandwidth, BreakLinks,
	PauseProcess, KillAndRestart, CrashMachine, LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk, Restart, HotRestart,
	SplitInTwo, SplitInThree, RingTopology,
	LoseWorkers, LoseDiscovery,
	FailForMember, FailForAll,
	WorkerCrash, WorkerDrain, WorkerHang,
}

var (
	// workerFaults are the kinds for which Fault.Member is the number of a worker.
	workerFaults = []string{WorkerCrash, WorkerDrain, WorkerHang}

	// processFaults are the kinds that stop or replace a member's process. A member has at most one of them at a time.
	processFaults = []string{PauseProcess, KillAndRestart, CrashMachine, LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk, Restart, HotRestart}

	// diskLossFaults are the kinds that lose entries of the group's log on the member's disk.
	diskLossFaults = []string{LoseDisk, OutdatedDisk, OutdatedDiskElsewhere}

	// overrideLossFaults are the kinds that may lose overrides on the member's disk.
	overrideLossFaults = []string{LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk}

	// externalFaults are the kinds that affect neither members nor the links between them.
	externalFaults = []string{WorkerCrash, WorkerDrain, WorkerHang, LoseWorkers, LoseDiscovery, FailForMember, FailForAll}
)

// Fault is one fault of the timetable.
type Fault struct {
	Kind   string        `toml:"kind"`
	Member int           `toml:"member"` // -1: the leader when the fault begins
	At     time.Duration `toml:"at"`     // relative to the moment at which the group is bootstrapped and its plan runs
	For    time.Duration `toml:"for"`

	other  int           // PartitionFromLeader: the member on the other side
	lostAt time.Duration // when a disk was lost or replaced, on the ledger's clock; 0: not yet, or none
}

func (f Fault) String() string {
	return fmt.Sprintf("%s of member %d at %v for %v", f.Kind, f.Member, f.At, f.For)
}

// isOneOf reports whether the fault's kind is one of kinds.
func (f Fault) isOneOf(kinds []string) bool { return slices.Contains(kinds, f.Kind) }
