package consensus

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/boltstore"
)

// Identity identifies the member, incarnation and group that own a storage.
type Identity struct {
	Format      int    `json:"format"`  // of the file; OpenStorage sets it
	Group       string `json:"group"`   // the group's name in the operator's file
	ClusterID   string `json:"founded"` // random, from the group's bootstrap; empty: the member is in no group yet
	Name        string `json:"name"`    // the member's name
	Incarnation string `json:"life"`    // random, a new one for each empty storage
	RaftID      uint64 `json:"id"`      // of this incarnation
	// Confirmed means that this incarnation has had a lease once. No plan has begun to run since without its confirmation.
	Confirmed bool `json:"heard"`
}

// formatVersion is the format of the file. OpenStorage rejects others.
const formatVersion = 1

// storageFile is the file's name.
const storageFile = "group.db"

// The buckets of the file, and the keys of the first. The keys of the log are indexes in big-endian order.
var (
	metaBucket   = []byte("meta")
	identityKey  = []byte("identity") // JSON
	hardStateKey = []byte("hard")     // checksummed raft message, as all below
	snapshotKey  = []byte("snapshot")

	logBucket = []byte("log")
)

// Storage holds one member's log, hard state and snapshot: in a file, or in memory alone. It is not safe for concurrent use; a Node owns
// its storage.
type Storage struct {
	// Unreadable is the reason why an existing file could not be read. The file was moved aside, and this storage is empty. Nil: the file
	// was read, or there was none.
	Unreadable error

	db       *bbolt.DB // nil: in memory alone
	path     string
	identity Identity
	memory   *raft.MemoryStorage // what raft reads: the same as the file, and a few compacted entries
	openedAt time.Time
}

// OpenStorage opens the file in a directory, or creates it for fresh, whose incarnation counts only then. Without a directory nothing
// outlives the process. A file of another group, member or format stays as it is, with an error that is boltstore.ErrOtherOwner; one that
// another process has open gives boltstore.ErrLocked.
func OpenStorage(dir string, fresh Identity) (*Storage, error) {
	fresh.Format = formatVersion
	storage := &Storage{identity: fresh, memory: raft.NewMemoryStorage(), openedAt: time.Now()}
	if dir == "" {
		return storage, nil
	}
	var err error
	storage.path = filepath.Join(dir, storageFile)
	storage.db, storage.Unreadable, err = boltstore.Open(dir, storageFile, func(db *bbolt.DB) error {
		storage.db = db
		storage.identity = fresh
		storage.memory = raft.NewMemoryStorage()
		return storage.load()
	})
	if err != nil {
		return nil, err
	}
	return storage, nil
}

// load reads the file into memory, or writes the identity to an empty one.
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

// readFile reads the buckets into memory.
func (s *Storage) readFile(meta, log *bbolt.Bucket) error {
	if err := s.readIdentity(meta); err != nil {
		return err
	}
	snapshotIndex, err := s.readSnapshot(meta)
	if err != nil {
		return fmt.Errorf("reading the snapshot: %w", err)
	}
	if err := s.readHardState(meta); err != nil {
		return fmt.Errorf("reading the hard state: %w", err)
	}
	return s.readEntries(log, snapshotIndex+1)
}

// readIdentity reads the file's identity, and fails if the file is of another member, group or format.
func (s *Storage) readIdentity(meta *bbolt.Bucket) error {
	var identity Identity
	if err := json.Unmarshal(meta.Get(identityKey), &identity); err != nil {
		return fmt.Errorf("%w: reading its identity: %w", boltstore.ErrOtherOwner, err)
	}
	isOurs := identity.Format == formatVersion && identity.Group == s.identity.Group && identity.Name == s.identity.Name
	if !isOurs {
		return fmt.Errorf("%w: it is of format %d, group %q, member %q, not %d, %q, %q",
			boltstore.ErrOtherOwner, identity.Format, identity.Group, identity.Name, formatVersion, s.identity.Group, s.identity.Name)
	}
	s.identity = identity
	return nil
}

// readSnapshot reads the snapshot, if there is one, and returns its index.
func (s *Storage) readSnapshot(meta *bbolt.Bucket) (index uint64, err error) {
	raw := meta.Get(snapshotKey)
	if raw == nil {
		return 0, nil
	}
	snapshot := &raftpb.Snapshot{}
	if err := decodeChecksummed(raw, snapshot); err != nil {
		return 0, err
	}
	return snapshot.GetMetadata().GetIndex(), s.memory.ApplySnapshot(snapshot)
}

// readHardState reads the hard state, if there is one.
func (s *Storage) readHardState(meta *bbolt.Bucket) error {
	raw := meta.Get(hardStateKey)
	if raw == nil {
		return nil
	}
	hardState := &raftpb.HardState{}
	if err := decodeChecksummed(raw, hardState); err != nil {
		return err
	}
	return s.memory.SetHardState(hardState)
}

// readEntries reads the entries from an index on. They must follow each other without a gap; older ones are covered by the snapshot.
func (s *Storage) readEntries(log *bbolt.Bucket, next uint64) error {
	return log.ForEach(func(k, v []byte) error {
		entry := &raftpb.Entry{}
		if err := decodeChecksummed(v, entry); err != nil {
			return fmt.Errorf("reading entry %x: %w", k, err)
		}
		if entry.GetIndex() < next {
			return nil
		}
		if entry.GetIndex() != next {
			return fmt.Errorf("entry %d in place of entry %d", entry.GetIndex(), next)
		}
		next++
		return s.memory.Append([]*raftpb.Entry{entry})
	})
}

// Identity returns the storage's identity.
func (s *Storage) Identity() Identity { return s.identity }

// SetClusterID stores the ID of the group that the member has joined. It must not be called once a Node has the storage.
func (s *Storage) SetClusterID(clusterID string) error {
	s.identity.ClusterID = clusterID
	return s.saveIdentity()
}

// MarkConfirmed stores that the group has confirmed this incarnation: see Identity.
func (s *Storage) MarkConfirmed() error {
	s.identity.Confirmed = true
	return s.saveIdentity()
}

// IsEmpty reports whether this incarnation has stored nothing: it has neither voted nor received anything.
func (s *Storage) IsEmpty() bool {
	hardState, confState, err := s.memory.InitialState()
	if err != nil {
		return false
	}
	lastIndex, err := s.memory.LastIndex()
	if err != nil {
		return false
	}
	return raft.IsEmptyHardState(hardState) && len(confState.GetVoters()) == 0 && lastIndex == 0
}

// Position returns the position that this incarnation has reached.
func (s *Storage) Position() (position Position) {
	if hardState, _, err := s.memory.InitialState(); err == nil {
		position.Term = hardState.GetTerm()
	}
	position.LastIndex, _ = s.memory.LastIndex()
	position.LastTerm, _ = s.memory.Term(position.LastIndex)
	return position
}

// IsDurable reports whether the storage outlives the process.
func (s *Storage) IsDurable() bool { return s.db != nil }

// Remove removes the file, after Close: the next storage in the directory begins empty.
func (s *Storage) Remove() error {
	if s.db == nil {
		return nil
	}
	return os.Remove(s.path)
}

// Close closes the file, so that another process can open it.
func (s *Storage) Close() error {
	if s.db == nil {
		return nil
	}
	return s.db.Close()
}
