package cluster

import (
	"context"
	"slices"
	"sync"
	"time"

	"birchfork/internal/coordinator"
)

const (
	// unknownEnd is the duration of a fault that has not ended yet. It is longer than any run.
	unknownEnd = 24 * time.Hour

	// flapInterval is how long a flapping link stays in each state.
	flapInterval = 300 * time.Millisecond

	// diskLossInterval is the minimum time between two disk losses. If a majority of voters lost their disks, the group's history would
	// be lost and no rule could hold. A voter rejoins some seconds after its restart.
	diskLossInterval = 12 * time.Second

	// confirmDiskAfter is how long operators wait for a member that cannot tell whether its disk is its most recent one. If another
	// disk is lost too, too few of three voters remain to determine it.
	confirmDiskAfter = 8 * time.Second

	// confirmDiskInterval is the interval between calls that confirm a disk.
	confirmDiskInterval = time.Second
)

// The files of a member's disk.
const (
	logFile       = "group.db"
	overridesFile = "words.db"
)

// injectFault waits for the start of a fault, begins it and ends it after its duration. It skips a process fault while the process has
// another one.
func (h *harness) injectFault(ctx context.Context, f Fault) {
	sleep(ctx, f.At)
	if ctx.Err() != nil {
		return
	}
	if f.Member < 0 {
		f.Member = h.leader()
	}
	if f.isOneOf(processFaults) {
		if !h.acquireProcess(&f) {
			return
		}
		defer h.releaseProcess(f.Member)
	}
	startedAt := h.environment.Ledger().Now()
	if f.Kind == PartitionFromLeader { // resolved once: the leader may change during the fault
		f.other = h.leader()
		if f.other == f.Member {
			f.other = h.nextMember(f.Member)
		}
	}
	index := h.recordFault(f, startedAt)
	defer h.recordFaultEnd(index, startedAt)
	h.applyFault(ctx, f, index)
}

// applyFault applies a fault for its duration; index is its position in h.injected.
func (h *harness) applyFault(ctx context.Context, f Fault, index int) {
	switch f.Kind {
	case PauseProcess:
		h.environment.Pause(ctx, f.Member, f.For)
	case KillAndRestart:
		h.environment.KillAndRestart(ctx, f.Member, f.For, nil)
	case CrashMachine:
		h.crashMachine(ctx, f)
	case LoseDisk:
		h.loseDisk(ctx, f, index)
	case OutdatedDisk, OutdatedDiskElsewhere:
		h.restoreOutdatedDisk(ctx, f, index)
	case ForeignDisk:
		h.copyForeignDisk(ctx, f, index)
	case Restart:
		h.environment.Restart(ctx, f.Member)
	case HotRestart:
		h.environment.HotRestart(ctx, f.Member)
	case WorkerCrash, WorkerDrain:
		h.takeWorkerDown(ctx, f)
	case WorkerHang:
		h.hangWorker(ctx, f)
	case FailForMember:
		h.failForMember(ctx, f)
	case FailForAll:
		h.failForAll(ctx, f)
	case FlappingPartition:
		h.flapPartition(ctx, f)
	default:
		h.faultLinks(ctx, f)
	}
}

// nextMember returns the number of the member after the given one, wrapping around.
func (h *harness) nextMember(member int) int { return (member + 1) % len(h.addresses) }

// recordFault records the beginning of a fault with an unknown end, and returns its position in h.injected.
func (h *harness) recordFault(f Fault, startedAt time.Duration) (index int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.injected = append(h.injected, Fault{Kind: f.Kind, Member: f.Member, At: startedAt, For: unknownEnd, other: f.other})
	return len(h.injected) - 1
}

// recordFaultEnd records that a fault has ended.
func (h *harness) recordFaultEnd(index int, startedAt time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.injected[index].For = h.environment.Ledger().Now() - startedAt
}

// recordDiskLoss records that a fault has removed or replaced a disk.
func (h *harness) recordDiskLoss(index int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.injected[index].lostAt = h.environment.Ledger().Now()
}

// acquireProcess reserves a member's process for a fault. It returns false if another fault has it. A fault that would lose a disk too soon
// after another one becomes a kill that keeps the disk.
func (h *harness) acquireProcess(f *Fault) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.faultyMembers[f.Member] {
		return false
	}
	now := h.environment.Ledger().Now()
	if f.isOneOf(diskLossFaults) {
		if h.lastDiskLoss > 0 && now-h.lastDiskLoss < diskLossInterval {
			f.Kind = KillAndRestart
		} else {
			h.lastDiskLoss = now + f.For
		}
	}
	h.faultyMembers[f.Member] = true
	return true
}

// releaseProcess ends the reservation of a member's process.
func (h *harness) releaseProcess(member int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.faultyMembers, member)
}

// crashMachine kills a member and removes its temporary files. Operators confirm its disk if it is not back in time.
func (h *harness) crashMachine(ctx context.Context, f Fault) {
	confirming, stopConfirming := context.WithCancel(ctx)
	var operators sync.WaitGroup
	operators.Go(func() { h.confirmDisk(confirming, f) })
	h.environment.KillAndRestart(ctx, f.Member, f.For, func() { h.removeDir(h.temporaryDir(f.Member)) })
	stopConfirming()
	operators.Wait()
}

// confirmDisk makes operators confirm that a member's disk is its most recent one, repeatedly from confirmDiskAfter after the machine
// restarted until ctx ends.
func (h *harness) confirmDisk(ctx context.Context, f Fault) {
	for sleep(ctx, f.For+confirmDiskAfter); ctx.Err() == nil; sleep(ctx, confirmDiskInterval) {
		// A failed call is repeated.
		_, _ = h.clientOf(f.Member).Do(ctx, coordinator.Call{ConfirmDisk: true})
	}
}

// loseDisk kills a member and restarts it without files.
func (h *harness) loseDisk(ctx context.Context, f Fault, index int) {
	h.environment.KillAndRestart(ctx, f.Member, f.For, func() {
		h.recordDiskLoss(index)
		h.removeDir(h.diskDir(f.Member))
		h.removeDir(h.temporaryDir(f.Member))
	})
}

// restoreOutdatedDisk copies a member's disk, kills the member after the fault's duration and restarts it with the copy. With
// OutdatedDiskElsewhere the temporary files are lost too.
func (h *harness) restoreOutdatedDisk(ctx context.Context, f Fault, index int) {
	files := h.readDisk(f.Member, logFile, overridesFile)
	sleep(ctx, f.For)
	h.environment.KillAndRestart(ctx, f.Member, 0, func() {
		h.recordDiskLoss(index)
		h.writeDisk(f.Member, files)
		if f.Kind == OutdatedDiskElsewhere {
			h.removeDir(h.temporaryDir(f.Member))
		}
	})
}

// copyForeignDisk kills a member and restarts it with the overrides of the next member's disk.
func (h *harness) copyForeignDisk(ctx context.Context, f Fault, index int) {
	h.environment.KillAndRestart(ctx, f.Member, f.For, func() {
		h.recordDiskLoss(index)
		h.writeDisk(f.Member, h.readDisk(h.nextMember(f.Member), overridesFile))
	})
}

// takeWorkerDown takes a worker down for the fault's duration, or lists it as draining for that time and then restarts it.
func (h *harness) takeWorkerDown(ctx context.Context, f Fault) {
	ledger, fleet := h.environment.Ledger(), h.environment.Fleet()
	h.mu.Lock()
	outage := len(h.workerOutages)
	h.workerOutages = append(h.workerOutages, workerOutage{from: ledger.Now()})
	h.mu.Unlock()
	if f.Kind == WorkerDrain {
		fleet.MarkDraining(f.Member)
		sleep(ctx, f.For)
		fleet.Down(f.Member)
		sleep(ctx, workerRestartTime)
	} else {
		fleet.Down(f.Member)
		sleep(ctx, f.For)
	}
	h.mu.Lock()
	h.workerOutages[outage].until = ledger.Now()
	h.mu.Unlock()
	fleet.Up(f.Member)
}

// hangWorker keeps the requests at a worker from ending for the fault's duration.
func (h *harness) hangWorker(ctx context.Context, f Fault) {
	worker := h.environment.Fleet().Workers[f.Member]
	worker.Hang(true)
	sleep(ctx, f.For)
	worker.Hang(false)
}

// failForMember makes all requests of a member fail at the first worker.
func (h *harness) failForMember(ctx context.Context, f Fault) {
	worker := h.environment.Fleet().Workers[0]
	worker.FailFor(f.Member, true)
	sleep(ctx, f.For)
	worker.FailFor(f.Member, false)
}

// failForAll makes all requests fail at the first worker.
func (h *harness) failForAll(ctx context.Context, f Fault) {
	worker := h.environment.Fleet().Workers[0]
	worker.SetFailureRate(1)
	sleep(ctx, f.For)
	worker.SetFailureRate(0)
}

// flapPartition alternately partitions a member and heals the partition.
func (h *harness) flapPartition(ctx context.Context, f Fault) {
	f.Kind = Partition
	for end := time.Now().Add(f.For); ctx.Err() == nil && time.Now().Before(end); sleep(ctx, flapInterval) {
		h.beginLinkFault(f)
		sleep(ctx, flapInterval)
		h.endLinkFault(f)
	}
}

// faultLinks applies a fault of links for its duration.
func (h *harness) faultLinks(ctx context.Context, f Fault) {
	h.beginLinkFault(f)
	sleep(ctx, f.For)
	h.endLinkFault(f)
}

// beginLinkFault begins a fault of links.
func (h *harness) beginLinkFault(f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.linkFaults = append(h.linkFaults, f)
	h.updateLinks()
}

// endLinkFault ends a fault of links.
func (h *harness) endLinkFault(f Fault) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.linkFaults, f); i >= 0 {
		h.linkFaults = slices.Delete(h.linkFaults, i, i+1)
	}
	h.updateLinks()
}

// updateLinks applies the active faults to every link. The caller holds the lock.
func (h *harness) updateLinks() {
	for ends, l := range h.links {
		l.setFault(h.memberLinkFault(ends[0], ends[1]))
	}
	for _, o := range h.outerLinks {
		o.link.setFault(h.outerLinkFault(o.faultKind, o.member))
	}
}
