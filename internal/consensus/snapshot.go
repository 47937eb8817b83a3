package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// compactLog replaces old entries with a snapshot once snapshotThreshold entries were applied since the last snapshot.
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

// snapshot stores a snapshot of the applied entries and the current members of the group.
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

// raftStorage is the storage that raft reads. It takes a new snapshot for each follower that needs one, because a snapshot from before
// the follower was added does not list it as a member.
type raftStorage struct {
	*raft.MemoryStorage
	core *Core
}

// Snapshot implements raft.Storage. Raft only calls it during a call of one of the core's methods.
func (s raftStorage) Snapshot() (*raftpb.Snapshot, error) {
	if err := s.core.snapshot(); err != nil {
		s.core.options.Log.WithError(err).Error("taking a snapshot for a follower failed")
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return s.MemoryStorage.Snapshot()
}
