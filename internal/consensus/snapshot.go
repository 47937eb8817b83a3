package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// compactLog replaces old entries by a snapshot once enough were applied since the last one.
func (c *Core) compactLog() {
	if c.applied-c.snapshotIndex < snapshotThreshold {
		return
	}
	if err := c.snapshot(); err != nil {
		panic(err)
	}
	if err := c.options.Storage.compact(c.applied - trailingEntries); err != nil {
		panic(err)
	}
}

// snapshot stores a snapshot of the applied entries, with the group's present members.
func (c *Core) snapshot() error {
	if c.snapshotIndex == c.applied {
		return nil
	}
	data, err := c.options.StateMachine.Snapshot()
	if err != nil {
		return err
	}
	if err := c.options.Storage.saveSnapshot(c.applied, c.confState, data); err != nil {
		return err
	}
	c.snapshotIndex = c.applied
	return nil
}

// raftStorage is the storage that raft reads. It makes a new snapshot for each follower that needs one: a snapshot from before the
// follower was added would not name it as a member.
type raftStorage struct {
	*raft.MemoryStorage
	core *Core
}

// Snapshot implements raft.Storage. Raft calls it while the caller of the core is in a call of the core.
func (s raftStorage) Snapshot() (*raftpb.Snapshot, error) {
	if err := s.core.snapshot(); err != nil {
		s.core.options.Log.WithError(err).Error("snapshot for a follower failed")
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return s.MemoryStorage.Snapshot()
}
