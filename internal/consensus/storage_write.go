package consensus

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/boltstore"
	"birchfork/internal/failpoint"
)

// saveIdentity writes the identity to the file, if there is one.
func (s *Storage) saveIdentity() error {
	if s.db == nil {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return s.putIdentity(tx.Bucket(metaBucket)) })
}

func (s *Storage) putIdentity(meta *bbolt.Bucket) error {
	raw, err := json.Marshal(s.identity)
	if err != nil {
		return err
	}
	return meta.Put(identityKey, raw)
}

// save writes the hard state, entries and a snapshot from the leader in one synced transaction. Empty arguments change nothing. The
// memory is updated after the file.
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
		write := func(tx *bbolt.Tx) error { return writeState(tx, hardState, entries, snapshot) }
		if err := s.db.Update(write); err != nil {
			return fmt.Errorf("group storage: %w", err)
		}
	}
	return s.saveToMemory(hardState, entries, snapshot)
}

func (s *Storage) saveToMemory(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
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

// writeState writes the non-empty arguments of save to the file.
func writeState(tx *bbolt.Tx, hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	if snapshot != nil {
		if err := putChecksummed(meta, snapshotKey, snapshot); err != nil {
			return err
		}
		// A snapshot from the leader replaces the whole log: later entries are from another leader and were never committed.
		if err := deleteEntriesFrom(log, 0); err != nil {
			return err
		}
	}
	if hardState != nil {
		if err := putChecksummed(meta, hardStateKey, hardState); err != nil {
			return err
		}
	}
	if len(entries) == 0 {
		return nil
	}
	// Stored entries from this index on are from another leader and were never committed.
	if err := deleteEntriesFrom(log, entries[0].GetIndex()); err != nil {
		return err
	}
	for _, entry := range entries {
		if err := putChecksummed(log, entryKey(entry.GetIndex()), entry); err != nil {
			return err
		}
	}
	return nil
}

// putChecksummed writes a message with a checksum.
func putChecksummed(bucket *bbolt.Bucket, key []byte, message proto.Message) error {
	raw, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return bucket.Put(key, boltstore.AddChecksum(raw))
}

// decodeChecksummed verifies and decodes a value that putChecksummed wrote.
func decodeChecksummed(value []byte, message proto.Message) error {
	raw, err := boltstore.VerifyChecksum(value)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, message)
}

func entryKey(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// deleteEntriesFrom deletes the entries from an index on.
func deleteEntriesFrom(log *bbolt.Bucket, from uint64) error {
	cursor := log.Cursor()
	for k, _ := cursor.Seek(entryKey(from)); k != nil; k, _ = cursor.Seek(entryKey(from)) {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// deleteEntriesUpTo deletes the entries up to an index.
func deleteEntriesUpTo(log *bbolt.Bucket, last uint64) error {
	cursor := log.Cursor()
	for k, _ := cursor.First(); k != nil && binary.BigEndian.Uint64(k) <= last; k, _ = cursor.First() {
		if err := cursor.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// saveSnapshot stores a snapshot taken by this member and deletes the entries up to its index from the file. compact drops them from
// memory.
func (s *Storage) saveSnapshot(index uint64, confState *raftpb.ConfState, data []byte) error {
	snapshot, err := s.memory.CreateSnapshot(index, confState, data)
	if err != nil || s.db == nil {
		return err
	}
	err = s.db.Update(func(tx *bbolt.Tx) error {
		if err := putChecksummed(tx.Bucket(metaBucket), snapshotKey, snapshot); err != nil {
			return err
		}
		return deleteEntriesUpTo(tx.Bucket(logBucket), index)
	})
	if err != nil {
		return fmt.Errorf("group storage: %w", err)
	}
	return nil
}

// compact drops the entries before an index from memory.
func (s *Storage) compact(before uint64) error {
	if err := s.memory.Compact(before); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// bootstrap stores the initial state of a group with this incarnation as its only voter.
func (s *Storage) bootstrap(clusterID string, state []byte) error {
	if err := s.SetClusterID(clusterID); err != nil {
		return err
	}
	snapshot := &raftpb.Snapshot{
		Data: state,
		Metadata: &raftpb.SnapshotMetadata{
			Index:     proto.Uint64(1),
			Term:      proto.Uint64(1),
			ConfState: &raftpb.ConfState{Voters: []uint64{s.identity.RaftID}},
		},
	}
	return s.save(&raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}, nil, snapshot)
}

// raiseTerm raises the stored term to at least term, without a vote. Core.rejectsVoteRequest prevents the member from voting again in a
// term in which it may have voted.
func (s *Storage) raiseTerm(term uint64) error {
	hardState, _, err := s.memory.InitialState()
	if err != nil || hardState.GetTerm() >= term {
		return err
	}
	return s.save(&raftpb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(hardState.GetCommit())}, nil, nil)
}
