package consensus

import (
	"encoding/binary"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/boltstore"
	"birchfork/internal/failpoint"
)

// save writes votes, entries and a snapshot, in one synced step; nil parts stay as they are. Raft's cache follows once the
// disk has them.
func (s *Storage) save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	if raft.IsEmptyHardState(hardState) {
		hardState = nil
	}
	if raft.IsEmptySnap(snapshot) {
		snapshot = nil
	}
	if hardState == nil && snapshot == nil && len(entries) == 0 {
		return nil
	}
	if err := failpoint.BeforeSyncedWrite(s.openedAt); err != nil {
		return err
	}
	if s.db != nil {
		if err := s.db.Update(func(tx *bbolt.Tx) error { return writeState(tx, hardState, entries, snapshot) }); err != nil {
			return fmt.Errorf("the group's disk: %w", err)
		}
	}
	if snapshot != nil {
		if err := s.memory.ApplySnapshot(snapshot); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if hardState != nil {
		if err := s.memory.SetHardState(hardState); err != nil {
			return err
		}
	}
	return s.memory.Append(entries)
}

func writeState(tx *bbolt.Tx, hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	put := func(key []byte, message proto.Message) error {
		raw, err := encodeChecksummed(message)
		if err != nil {
			return err
		}
		return meta.Put(key, raw)
	}
	if snapshot != nil { // of a leader's: what we have up to it, and behind, is of no use
		if err := put(snapshotKey, snapshot); err != nil {
			return err
		}
		if err := deleteEntriesFrom(log, 0); err != nil {
			return err
		}
	}
	if hardState != nil {
		if err := put(hardStateKey, hardState); err != nil {
			return err
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if err := deleteEntriesFrom(log, entries[0].GetIndex()); err != nil { // another leader's, never settled
		return err
	}
	for _, entry := range entries {
		raw, err := encodeChecksummed(entry)
		if err != nil {
			return err
		}
		if err := log.Put(entryKey(entry.GetIndex()), raw); err != nil {
			return err
		}
	}
	return nil
}

// encodeChecksummed is a message with its checksum.
func encodeChecksummed(message proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(message)
	if err != nil {
		return nil, err
	}
	return boltstore.AddChecksum(raw), nil
}

func decodeChecksummed(value []byte, message proto.Message) error {
	raw, err := boltstore.VerifyChecksum(value)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, message)
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// deleteEntriesFrom takes away all entries from an index on.
func deleteEntriesFrom(log *bbolt.Bucket, from uint64) error {
	cursor := log.Cursor()
	for k, _ := cursor.Seek(entryKey(from)); k != nil; k, _ = cursor.Seek(entryKey(from)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// saveSnapshot keeps a snapshot of our own in place of the entries that it covers; raft's cache has those still.
func (s *Storage) saveSnapshot(index uint64, confState *raftpb.ConfState, data []byte) error {
	snapshot, err := s.memory.CreateSnapshot(index, confState, data)
	if err != nil || s.db == nil {
		return err
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		raw, err := encodeChecksummed(snapshot)
		if err != nil {
			return err
		}
		if err := tx.Bucket(metaBucket).Put(snapshotKey, raw); err != nil {
			return err
		}
		cursor := tx.Bucket(logBucket).Cursor()
		for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) <= index; k, _ = cursor.First() {
			if err := cursor.Delete(); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("the group's disk: %w", err)
	}
	return nil
}

// compact forgets the entries before an index, in raft's cache.
func (s *Storage) compact(before uint64) error {
	if err := s.memory.Compact(before); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// bootstrap begins a group of which this life is the only voter.
func (s *Storage) bootstrap(clusterID string, state []byte) error {
	if err := s.SetClusterID(clusterID); err != nil {
		return err
	}
	snapshot := &raftpb.Snapshot{Data: state, Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{s.identity.RaftID}},
	}}
	return s.save(&raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}, nil, snapshot)
}

// raiseTerm has the disk be in a term at least, with no vote in it: one that may have been given there is never given again, see Core.
func (s *Storage) raiseTerm(term uint64) error {
	hardState, _, err := s.memory.InitialState()
	if err != nil || hardState.GetTerm() >= term {
		return err
	}
	return s.save(&raftpb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(hardState.GetCommit())}, nil, nil)
}
