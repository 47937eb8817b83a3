package consensus

import (
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// compactLog keeps the log short.
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

// snapshot keeps all that is settled, with who is in the group now.
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

// raftStorage is what raft reads. A snapshot for a follower is made when it is asked for: one from before the follower came would
// not have it in.
type raftStorage struct {
	*raft.MemoryStorage
	core *Core
}

// Snapshot makes a snapshot of the present; the loop's goroutine asks for it.
func (s raftStorage) Snapshot() (*raftpb.Snapshot, error) {
	if err := s.core.snapshot(); err != nil {
		s.core.options.Log.WithError(err).Error("no snapshot can be made for a member that is behind")
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return s.MemoryStorage.Snapshot()
}
