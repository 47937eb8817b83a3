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
