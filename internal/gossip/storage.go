package gossip

import (
	"encoding/json"
	"fmt"
	"maps"
	"runtime/debug"
	"sync"
	"time"

	"go.etcd.io/bbolt"

	"birchfork/internal/boltstore"
	"birchfork/internal/failpoint"
	"birchfork/internal/replication"
)

// The file and its format.
const (
	fileName   = "words.db"
	fileFormat = 1
)

// The file's buckets, and the keys of metaBucket. All values except the identity have a checksum.
var (
	metaBucket  = []byte("meta")
	entryBucket = []byte("entries") // by entryKey: the entries of one replication.Key

	identityKey = []byte("identity")
	versionKey  = []byte("seen")
)

// identity identifies a file's format and group. It does not contain the member's name: another member's file is safe to use, because
// its entries are valid at any member and no incarnation is read from it.
type identity struct {
	Format int    `json:"format"`
	Group  string `json:"group"`
}

// storage persists a replica's entries together with its version vector, in one synced transaction for each batch. A separate goroutine
// writes, so that a stalled disk blocks only callers that wait for a batch. close accepts a nil *storage.
type storage struct {
	db        *bbolt.DB
	openedAt  time.Time
	onWritten func(*storage, *batch) // called by the writing goroutine after each attempt to write a batch
	wake      chan struct{}          // signalled when next is set; closed by close
	done      chan struct{}          // closed when the goroutine has ended

	mu   sync.Mutex
	next *batch // written next; nil: none
}

// batch is the contents of one transaction.
type batch struct {
	version []byte
	entries map[replication.Key][]byte // a nil value deletes the key, which has no entry left
	done    chan struct{}              // closed once err is known
	err     error
}

// contents is a replica as stored in a file.
type contents struct {
	version replication.VersionVector
	entries []replication.Entry
}

// openStorage opens the file in dir and restores target from it. It returns nil if dir is empty. unreadable is the reason why a damaged
// file was replaced by an empty one. The error wraps boltstore.ErrLocked or ErrOtherOwner, or is the reason why dir cannot be used.
func openStorage(dir, group string, target *replication.Replica, onWritten func(*storage, *batch)) (opened *storage, unreadable, err error) {
	if dir == "" {
		return nil, nil, nil
	}
	var stored contents
	db, unreadable, err := boltstore.Open(dir, fileName, func(db *bbolt.DB) (err error) {
		stored, err = load(db, identity{Format: fileFormat, Group: group})
		return err
	})
	if err != nil {
		return nil, nil, err
	}
	if err := target.Restore(stored.version, stored.entries); err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("restoring overrides: %w", err)
	}
	opened = &storage{db: db, openedAt: time.Now(), onWritten: onWritten, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go opened.writeLoop()
	return opened, unreadable, nil
}

// load reads a file, or initializes an empty one. The error wraps boltstore.ErrOtherOwner if the file has an identity other than want.
func load(db *bbolt.DB, want identity) (stored contents, err error) {
	err = db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		entries, err := tx.CreateBucketIfNotExists(entryBucket)
		if err != nil {
			return err
		}
		raw := meta.Get(identityKey)
		if raw == nil {
			return putIdentity(meta, want)
		}
		if err := checkIdentity(raw, want); err != nil {
			return err
		}
		stored, err = loadContents(meta, entries)
		return err
	})
	return stored, err
}

func putIdentity(meta *bbolt.Bucket, identity identity) error {
	raw, err := json.Marshal(identity)
	if err != nil {
		return err
	}
	return meta.Put(identityKey, raw)
}

func checkIdentity(raw []byte, want identity) error {
	var got identity
	if err := json.Unmarshal(raw, &got); err != nil || got != want {
		return fmt.Errorf("%w: found format %d, group %q; expected format %d, group %q", boltstore.ErrOtherOwner, got.Format, got.Group, want.Format, want.Group)
	}
	return nil
}

func loadContents(meta, entries *bbolt.Bucket) (stored contents, err error) {
	if raw := meta.Get(versionKey); raw != nil {
		if err := decodeChecksummed(raw, &stored.version); err != nil {
			return contents{}, fmt.Errorf("version vector: %w", err)
		}
	}
	err = entries.ForEach(func(key, value []byte) error {
		var keyEntries []replication.Entry
		if err := decodeChecksummed(value, &keyEntries); err != nil {
			return fmt.Errorf("entry %q: %w", key, err)
		}
		stored.entries = append(stored.entries, keyEntries...)
		return nil
	})
	return stored, err
}

func decodeChecksummed(stored []byte, into any) error {
	raw, err := boltstore.VerifyChecksum(stored)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func encodeChecksummed(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	if err != nil {
		return nil, err
	}
	return boltstore.AddChecksum(raw), nil
}

// entryKey returns the key of entries in the file. For overrides it is the name alone, as in files of builds without other kinds.
func entryKey(key replication.Key) []byte {
	if key.Kind == replication.KindOverride {
		return []byte(key.Name)
	}
	return []byte("\x00" + string(key.Kind) + "\x00" + key.Name)
}

// enqueue adds the version vector of source and its entries for the given keys to the next batch and returns that batch. It does not
// wait. It must not be called after close.
func (s *storage) enqueue(source *replication.Replica, keys map[replication.Key]bool) (*batch, error) {
	version, err := encodeChecksummed(source.Version())
	if err != nil {
		return nil, err
	}
	encoded, err := encodeEntries(source, keys)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.next == nil {
		s.next = &batch{entries: map[replication.Key][]byte{}, done: make(chan struct{})}
	}
	s.next.version = version
	maps.Copy(s.next.entries, encoded)
	select {
	case s.wake <- struct{}{}:
	default: // the goroutine is already signalled
	}
	return s.next, nil
}

// encodeEntries returns the encoded entries of source for the given keys. The value is nil for a key without entries.
func encodeEntries(source *replication.Replica, keys map[replication.Key]bool) (map[replication.Key][]byte, error) {
	encoded := make(map[replication.Key][]byte, len(keys))
	for key := range keys {
		encoded[key] = nil
		entries := source.Get(key.Kind, key.Name)
		if len(entries) == 0 {
			continue
		}
		value, err := encodeChecksummed(entries)
		if err != nil {
			return nil, err
		}
		encoded[key] = value
	}
	return encoded, nil
}

// writeLoop writes batches one after another until close.
func (s *storage) writeLoop() {
	defer close(s.done)
	for range s.wake {
		tried := s.takeNext()
		if tried == nil {
			continue
		}
		tried.err = s.write(tried)
		s.onWritten(s, tried)
		close(tried.done)
	}
}

func (s *storage) takeNext() *batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := s.next
	s.next = nil
	return next
}

// write writes a batch. It returns an error if the file was truncated since it was opened: bbolt maps the file into memory, and an access
// beyond its end is a fault that would otherwise end the process.
func (s *storage) write(b *batch) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("file no longer readable: %v", v)
		}
		if err != nil {
			err = fmt.Errorf("group storage: %w", err)
		}
	}()
	if err := failpoint.BeforeSyncedWrite(s.openedAt); err != nil {
		return err
	}
	return s.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(versionKey, b.version); err != nil {
			return err
		}
		entries := tx.Bucket(entryBucket)
		for key, value := range b.entries {
			if err := putOrDelete(entries, entryKey(key), value); err != nil {
				return err
			}
		}
		return nil
	})
}

// putOrDelete stores a value, or deletes the key for nil.
func putOrDelete(bucket *bbolt.Bucket, key, value []byte) error {
	if value == nil {
		return bucket.Delete(key)
	}
	return bucket.Put(key, value)
}

// close writes the pending batch, stops the goroutine and closes the file.
func (s *storage) close() error {
	if s == nil {
		return nil
	}
	close(s.wake)
	<-s.done
	return s.db.Close()
}
