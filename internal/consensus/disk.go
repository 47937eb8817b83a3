package consensus

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/boltstore"
	"birchfork/internal/failpoint"
)

// Identity is who a disk belongs to.
type Identity struct {
	Format      int    `json:"format"`
	Group       string `json:"group"`   // its name, as staff gave it
	ClusterID   string `json:"founded"` // which founding of it; empty: in none yet
	Name        string `json:"name"`    // of the member
	Incarnation string `json:"life"`    // drawn anew with each empty disk
	RaftID      uint64 `json:"id"`      // raft's, of this life
	Confirmed   bool   `json:"heard"`   // this life has had a word of the group: no plan has begun since that it does not know
}

// formatVersion is what this build writes; another one is refused by name.
const formatVersion = 1

// The file's parts.
const storageFile = "group.db"

var (
	metaBucket   = []byte("meta")
	logBucket    = []byte("log")
	identityKey  = []byte("identity")
	hardStateKey = []byte("hard")
	snapshotKey  = []byte("snapshot")
)

// Storage keeps one member's log, votes and snapshot: in a folder, or with none in memory alone. It has one owner, the loop.
type Storage struct {
	db       *bbolt.DB // nil: in memory
	path     string
	identity Identity
	memory   *raft.MemoryStorage // what raft reads

	openedAt time.Time

	Unreadable error // what was found there and could not be read; nil: nothing
}

// OpenStorage opens the folder, or begins one; with an empty folder nothing outlives the process. fresh is who the disk belongs
// to where it is empty.
func OpenStorage(dir string, fresh Identity) (*Storage, error) {
	fresh.Format = formatVersion
	storage := &Storage{identity: fresh, memory: raft.NewMemoryStorage(), openedAt: time.Now()}
	if dir == "" {
		return storage, nil
	}
	var err error
	storage.path = filepath.Join(dir, storageFile)
	storage.db, storage.Unreadable, err = boltstore.Open(dir, storageFile, func(db *bbolt.DB) error {
		storage.db, storage.identity, storage.memory = db, fresh, raft.NewMemoryStorage()
		return storage.load()
	})
	if err != nil {
		return nil, err
	}
	return storage, nil
}

// load reads the file into the cache, or writes who it belongs to. A file that is not ours stays as it is.
func (s *Storage) load() error {
	empty := false
	err := s.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || log == nil || meta.Get(identityKey) == nil {
			empty = true
			return nil
		}
		return s.readFile(meta, log)
	})
	if err != nil || !empty {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		return s.putIdentity(meta)
	})
}

// readFile reads what the file has.
func (s *Storage) readFile(meta, log *bbolt.Bucket) error {
	raw := meta.Get(identityKey)
	var identity Identity
	if err := json.Unmarshal(raw, &identity); err != nil {
		return fmt.Errorf("%w: who it belongs to: %w", boltstore.ErrForeign, err)
	}
	if identity.Format != formatVersion || identity.Group != s.identity.Group || identity.Name != s.identity.Name {
		return fmt.Errorf("%w: it is of format %d, group %q, member %q, not %d, %q, %q",
			boltstore.ErrForeign, identity.Format, identity.Group, identity.Name, formatVersion, s.identity.Group, s.identity.Name)
	}
	s.identity = identity
	snapshot, hardState := &raftpb.Snapshot{}, &raftpb.HardState{}
	if raw := meta.Get(snapshotKey); raw != nil {
		if err := decodeChecksummed(raw, snapshot); err != nil {
			return fmt.Errorf("the snapshot: %w", err)
		}
		if err := s.memory.ApplySnapshot(snapshot); err != nil {
			return fmt.Errorf("the snapshot: %w", err)
		}
	}
	if raw := meta.Get(hardStateKey); raw != nil {
		if err := decodeChecksummed(raw, hardState); err != nil {
			return fmt.Errorf("the votes: %w", err)
		}
		if err := s.memory.SetHardState(hardState); err != nil {
			return err
		}
	}
	next := snapshot.GetMetadata().GetIndex() + 1
	return log.ForEach(func(k, v []byte) error {
		entry := &raftpb.Entry{}
		if err := decodeChecksummed(v, entry); err != nil {
			return fmt.Errorf("entry %x: %w", k, err)
		}
		if entry.GetIndex() < next {
			return nil // cut already
		}
		if entry.GetIndex() != next {
			return fmt.Errorf("entry %d stands where %d should", entry.GetIndex(), next)
		}
		next++
		return s.memory.Append([]*raftpb.Entry{entry})
	})
}

func (s *Storage) putIdentity(meta *bbolt.Bucket) error {
	raw, err := json.Marshal(s.identity)
	if err != nil {
		return err
	}
	return meta.Put(identityKey, raw)
}

// MarkConfirmed notes that this life has had a word of the group. Only the owner may call it.
func (s *Storage) MarkConfirmed() error {
	s.identity.Confirmed = true
	if s.db == nil {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return s.putIdentity(tx.Bucket(metaBucket)) })
}

// Identity is whom the disk belongs to.
func (s *Storage) Identity() Identity { return s.identity }

// IsEmpty tells whether nothing was ever kept: this life has voted for nobody and heard nothing.
func (s *Storage) IsEmpty() bool {
	hardState, confState, err := s.memory.InitialState()
	last, errLast := s.memory.LastIndex()
	return err == nil && errLast == nil && raft.IsEmptyHardState(hardState) && len(confState.GetVoters()) == 0 && last == 0
}

// Position is how far this life has come.
func (s *Storage) Position() (position Position) {
	if hardState, _, err := s.memory.InitialState(); err == nil {
		position.Term = hardState.GetTerm()
	}
	position.LastIndex, _ = s.memory.LastIndex()
	position.LastTerm, _ = s.memory.Term(position.LastIndex)
	return position
}

// IsDurable tells whether what is written outlives the process.
func (s *Storage) IsDurable() bool { return s.db != nil }

// SetClusterID notes which founding of the group this life is in, before Start.
func (s *Storage) SetClusterID(clusterID string) error {
	s.identity.ClusterID = clusterID
	if s.db == nil {
		return nil
	}
	return s.db.Update(func(tx *bbolt.Tx) error { return s.putIdentity(tx.Bucket(metaBucket)) })
}

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

// Remove takes the folder's file away, after Close: the next disk there is empty.
func (s *Storage) Remove() error {
	if s.db == nil {
		return nil
	}
	return os.Remove(s.path)
}

// Close gives the folder back.
func (s *Storage) Close() error {
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}
