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

// Identity identifies the member, incarnation and group that a storage belongs to.
type Identity struct {
	Format      int    `json:"format"`  // format of the file, set by OpenStorage
	Group       string `json:"group"`   // the group's name in the operator's file
	ClusterID   string `json:"founded"` // random, from the group's bootstrap; empty while the member is in no group
	Name        string `json:"name"`    // the member's name
	Incarnation string `json:"life"`    // random, new for each empty storage
	RaftID      uint64 `json:"id"`      // of this incarnation
	// Confirmed means that this incarnation has had a lease. Since then, no plan can have started without its confirmation.
	Confirmed bool `json:"heard"`
}

// formatVersion is the format of the file. OpenStorage rejects files of other formats.
const formatVersion = 1

// storageFile is the name of the file in the storage directory.
const storageFile = "group.db"

// The buckets of the file and the keys of the meta bucket. The keys of the log bucket are big-endian entry indexes.
var (
	metaBucket   = []byte("meta")
	identityKey  = []byte("identity") // JSON
	hardStateKey = []byte("hard")     // checksummed raft message, like all values below
	snapshotKey  = []byte("snapshot")

	logBucket = []byte("log")
)

// Storage holds one member's log, hard state and snapshot, either in a file or only in memory. It is not safe for concurrent use. A Node
// owns its storage.
type Storage struct {
	// Unreadable is the error of reading an existing file. The file was moved aside, and this storage is empty. Nil means that the file
	// was read or did not exist.
	Unreadable error

	db       *bbolt.DB // nil if only in memory
	path     string
	identity Identity
	memory   *raft.MemoryStorage // read by raft: the content of the file, and a few compacted entries
	openedAt time.Time
}

// OpenStorage opens the file in a directory, or creates it with the identity fresh. An existing file keeps its incarnation. If dir is
// empty, the storage is only in memory. For a file of another group, member or format, OpenStorage returns boltstore.ErrOtherOwner and does
// not change the file; for a file that another process has open, it returns boltstore.ErrLocked.
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

// load reads the file into memory, or initializes an empty file with the identity.
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

// readIdentity reads the file's identity. It returns an error if the file belongs to another member or group, or has another format.
func (s *Storage) readIdentity(meta *bbolt.Bucket) error {
	var identity Identity
	if err := json.Unmarshal(meta.Get(identityKey), &identity); err != nil {
		return fmt.Errorf("%w: reading the identity: %w", boltstore.ErrOtherOwner, err)
	}
	isOurs := identity.Format == formatVersion && identity.Group == s.identity.Group && identity.Name == s.identity.Name
	if !isOurs {
		return fmt.Errorf("%w: found format %d, group %q, member %q, want %d, %q, %q",
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

// readEntries reads the entries from index next on, which must be contiguous. It skips older entries, which the snapshot covers.
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
			return fmt.Errorf("found entry %d, want entry %d", entry.GetIndex(), next)
		}
		next++
		return s.memory.Append([]*raftpb.Entry{entry})
	})
}

// Identity returns the storage's identity.
func (s *Storage) Identity() Identity { return s.identity }

// SetClusterID stores the ID of the group that the member has joined. It must not be called once a Node owns the storage.
func (s *Storage) SetClusterID(clusterID string) error {
	s.identity.ClusterID = clusterID
	return s.saveIdentity()
}

// MarkConfirmed stores that the group has confirmed this incarnation: see Identity.
func (s *Storage) MarkConfirmed() error {
	s.identity.Confirmed = true
	return s.saveIdentity()
}

// IsEmpty reports whether this incarnation has stored no raft state, so that it has neither voted nor received entries.
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

// Position returns the stored position of this incarnation.
func (s *Storage) Position() (position Position) {
	if hardState, _, err := s.memory.InitialState(); err == nil {
		position.Term = hardState.GetTerm()
	}
	position.LastIndex, _ = s.memory.LastIndex()
	position.LastTerm, _ = s.memory.Term(position.LastIndex)
	return position
}

// IsDurable reports whether the storage is in a file, which outlives the process.
func (s *Storage) IsDurable() bool { return s.db != nil }

// Remove deletes the file, so that the next storage in the directory is empty. It must be called after Close.
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
