package simulation

import (
	"slices"

	"birchfork/internal/consensus"
)

// wakeTicks is how long PauseAndPartition keeps the member partitioned after its process resumes.
const wakeTicks = 30

// injectFaults injects the faults that are due.
func (w *world) injectFaults() {
	for len(w.pendingFaults) > 0 && w.pendingFaults[0].Tick <= w.tick {
		fault := w.pendingFaults[0]
		w.pendingFaults = w.pendingFaults[1:]
		w.trace("%s", fault)
		w.inject(fault)
	}
}

// inject injects one fault. A fault of the leader has no effect while no member has led.
func (w *world) inject(fault Fault) {
	if fault.Member < 0 {
		if w.leader < 0 {
			return
		}
		fault.Member = w.leader
		w.leaderLostAt = w.now
	}
	m, until := w.members[fault.Member], w.tick+fault.Ticks
	switch fault.Kind {
	case Partition:
		w.partition(m, fault.Direction, until)
	case Link:
		w.partitions[[2]int{m.index, fault.Other}] = until
	case Pause:
		m.pausedUntil = until
	case PauseAndPartition:
		m.pausedUntil = until
		w.partition(m, BothDirections, until+wakeTicks)
	case Outage:
		w.outages = append(w.outages, outage{machine: fault.Other, from: w.tick, until: until})
	case KillAndRestart, LoseDisk:
		wipe := fault.Kind == LoseDisk && w.allVotersJoined()
		if err := m.restart(wipe); err != nil {
			panic(err)
		}
	}
}

// restart restarts the member's process at once, with its disk or an empty one. With the mutant LosesState the member keeps its incarnation
// although its disk is empty.
func (m *member) restart(wipe bool) error {
	m.pausedUntil = 0
	switch {
	case !wipe:
		return m.startProcess()
	case m.world.options.Mutant != LosesState:
		return m.startEmpty(false)
	}
	disk, err := consensus.OpenStorage("", m.disk.Identity())
	if err != nil {
		return err
	}
	m.disk = disk
	return m.startProcess()
}

// allVotersJoined reports whether all voters have joined the group, so that another disk may be lost.
func (w *world) allVotersJoined() bool {
	for _, m := range w.members[:w.options.Voters] {
		if m.core == nil || !m.joined || !slices.Contains(m.core.Status().Voters, m.raftID) {
			return false
		}
	}
	return true
}
