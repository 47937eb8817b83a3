package simulation

import (
	"slices"
	"time"

	"birchfork/internal/replication"
)

// maxFaultDuration is the upper bound of the duration of a partition and of the age of an outdated disk.
const maxFaultDuration = 5 * time.Second

// injectFault injects a random fault at a random member: a partition with probability 1/2, otherwise an outdated or a lost disk. A disk is
// lost only if another member has seen everything that the replica has seen.
func (w *replicationWorld) injectFault() {
	m := w.randomMember()
	duration := w.randomDuration(maxFaultDuration)
	switch w.random.IntN(4) {
	case 3:
		if w.isReplicated(m) {
			w.startEmpty(m)
		}
	case 2:
		w.restoreLater(m, duration)
	default:
		m.partitionedUntil = max(m.partitionedUntil, w.now+duration)
	}
	w.lastChange = max(w.lastChange, m.partitionedUntil, w.now)
	w.recordForgotten()
}

// isReplicated reports whether another member has seen everything that a member has seen.
func (w *replicationWorld) isReplicated(m *replicaMember) bool {
	return slices.ContainsFunc(w.members, func(other *replicaMember) bool {
		return other != m && other.replica.Version().Covers(m.replica.Version())
	})
}

// restoreLater restarts a member after a delay with a copy of its current disk, if another member has then seen everything that it has
// seen.
func (w *replicationWorld) restoreLater(m *replicaMember, delay time.Duration) {
	disk := m.replica.NextChunk(replication.VersionVector{}, replication.Cursor{}, replication.MaxOverrides)
	w.lastChange = max(w.lastChange, w.now+delay)
	w.after(delay, func() {
		if !w.isReplicated(m) {
			return
		}
		w.startEmpty(m)
		if err := m.replica.Restore(disk.Version, disk.Entries); err != nil {
			w.violation("restoring a disk: %v", err)
		}
	})
}
