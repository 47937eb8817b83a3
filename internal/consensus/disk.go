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
	Format  int    `json:"format"`
	Group   string `json:"group"`   // its name, as staff gave it
	Founded string `json:"founded"` // which founding of it; empty: in none yet
	Name    string `json:"name"`    // of the member
	Life    string `json:"life"`    // drawn anew with each empty disk
	ID      uint64 `json:"id"`      // raft's, of this life
	Heard   bool   `json:"heard"`   // this life has had a word of the group: no plan has begun since that it does not know
}

// format is what this build writes; another one is refused by name.
const format = 1

// The file's parts.
const diskFile = "group.db"

var (
	metaBucket = []byte("meta")
	logBucket  = []byte("log")
	identKey   = []byte("identity")
	hardKey    = []byte("hard")
	snapKey    = []byte("snapshot")
)

// Disk keeps one member's log, votes and snapshot: in a folder, or with none in memory alone. It has one owner, the loop.
type Disk struct {
	db    *bbolt.DB // nil: in memory
	path  string
	who   Identity
	cache *raft.MemoryStorage // what raft reads

	opened time.Time

	Unreadable error // what was found there and could not be read; nil: nothing
}

// OpenDisk opens the folder, or begins one; with an empty folder nothing outlives the process. fresh is who the disk belongs
// to where it is empty.
func OpenDisk(folder string, fresh Identity) (*Disk, error) {
	fresh.Format = format
	d := &Disk{who: fresh, cache: raft.NewMemoryStorage(), opened: time.Now()}
	if folder == "" {
		return d, nil
	}
	var err error
	d.path = filepath.Join(folder, diskFile)
	d.db, d.Unreadable, err = boltstore.Open(folder, diskFile, func(db *bbolt.DB) error {
		d.db, d.who, d.cache = db, fresh, raft.NewMemoryStorage()
		return d.load()
	})
	if err != nil {
		return nil, err
	}
	return d, nil
}

// load reads the file into the cache, or writes who it belongs to. A file that is not ours stays as it is.
func (d *Disk) load() error {
	fresh := false
	err := d.db.View(func(tx *bbolt.Tx) error {
		meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
		if meta == nil || log == nil || meta.Get(identKey) == nil {
			fresh = true
			return nil
		}
		return d.read(meta, log)
	})
	if err != nil || !fresh {
		return err
	}
	return d.db.Update(func(tx *bbolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(logBucket); err != nil {
			return err
		}
		return d.identify(meta)
	})
}

// read reads what the file has.
func (d *Disk) read(meta, log *bbolt.Bucket) error {
	raw := meta.Get(identKey)
	var who Identity
	if err := json.Unmarshal(raw, &who); err != nil {
		return fmt.Errorf("%w: who it belongs to: %w", boltstore.ErrForeign, err)
	}
	if who.Format != format || who.Group != d.who.Group || who.Name != d.who.Name {
		return fmt.Errorf("%w: it is of format %d, group %q, member %q, not %d, %q, %q",
			boltstore.ErrForeign, who.Format, who.Group, who.Name, format, d.who.Group, d.who.Name)
	}
	d.who = who
	snap, hard := &raftpb.Snapshot{}, &raftpb.HardState{}
	if raw := meta.Get(snapKey); raw != nil {
		if err := unseal(raw, snap); err != nil {
			return fmt.Errorf("the snapshot: %w", err)
		}
		if err := d.cache.ApplySnapshot(snap); err != nil {
			return fmt.Errorf("the snapshot: %w", err)
		}
	}
	if raw := meta.Get(hardKey); raw != nil {
		if err := unseal(raw, hard); err != nil {
			return fmt.Errorf("the votes: %w", err)
		}
		if err := d.cache.SetHardState(hard); err != nil {
			return err
		}
	}
	next := snap.GetMetadata().GetIndex() + 1
	return log.ForEach(func(k, v []byte) error {
		e := &raftpb.Entry{}
		if err := unseal(v, e); err != nil {
			return fmt.Errorf("entry %x: %w", k, err)
		}
		if e.GetIndex() < next {
			return nil // cut already
		}
		if e.GetIndex() != next {
			return fmt.Errorf("entry %d stands where %d should", e.GetIndex(), next)
		}
		next++
		return d.cache.Append([]*raftpb.Entry{e})
	})
}

func (d *Disk) identify(meta *bbolt.Bucket) error {
	raw, err := json.Marshal(d.who)
	if err != nil {
		return err
	}
	return meta.Put(identKey, raw)
}

// Hear notes that this life has had a word of the group. Only the owner may call it.
func (d *Disk) Hear() error {
	d.who.Heard = true
	if d.db == nil {
		return nil
	}
	return d.db.Update(func(tx *bbolt.Tx) error { return d.identify(tx.Bucket(metaBucket)) })
}

// Who is whom the disk belongs to.
func (d *Disk) Who() Identity { return d.who }

// Empty tells whether nothing was ever kept: this life has voted for nobody and heard nothing.
func (d *Disk) Empty() bool {
	hard, conf, err := d.cache.InitialState()
	last, errLast := d.cache.LastIndex()
	return err == nil && errLast == nil && raft.IsEmptyHardState(hard) && len(conf.GetVoters()) == 0 && last == 0
}

// Mark is how far this life has come.
func (d *Disk) Mark() (m Mark) {
	if hard, _, err := d.cache.InitialState(); err == nil {
		m.Term = hard.GetTerm()
	}
	m.Last, _ = d.cache.LastIndex()
	m.LastTerm, _ = d.cache.Term(m.Last)
	return m
}

// Kept tells whether what is written outlives the process.
func (d *Disk) Kept() bool { return d.db != nil }

// Belong notes which founding of the group this life is in, before Start.
func (d *Disk) Belong(founded string) error {
	d.who.Founded = founded
	if d.db == nil {
		return nil
	}
	return d.db.Update(func(tx *bbolt.Tx) error { return d.identify(tx.Bucket(metaBucket)) })
}

// save writes votes, entries and a snapshot, in one synced step; nil parts stay as they are. Raft's cache follows once the
// disk has them.
func (d *Disk) save(hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	if raft.IsEmptyHardState(hard) {
		hard = nil
	}
	if raft.IsEmptySnap(snap) {
		snap = nil
	}
	if hard == nil && snap == nil && len(entries) == 0 {
		return nil
	}
	if err := failpoint.Write(d.opened); err != nil {
		return err
	}
	if d.db != nil {
		if err := d.db.Update(func(tx *bbolt.Tx) error { return write(tx, hard, entries, snap) }); err != nil {
			return fmt.Errorf("the group's disk: %w", err)
		}
	}
	if snap != nil {
		if err := d.cache.ApplySnapshot(snap); err != nil && !errors.Is(err, raft.ErrSnapOutOfDate) {
			return err
		}
	}
	if hard != nil {
		if err := d.cache.SetHardState(hard); err != nil {
			return err
		}
	}
	return d.cache.Append(entries)
}

func write(tx *bbolt.Tx, hard *raftpb.HardState, entries []*raftpb.Entry, snap *raftpb.Snapshot) error {
	meta, log := tx.Bucket(metaBucket), tx.Bucket(logBucket)
	put := func(key []byte, m proto.Message) error {
		raw, err := seal(m)
		if err != nil {
			return err
		}
		return meta.Put(key, raw)
	}
	if snap != nil { // of a leader's: what we have up to it, and behind, is of no use
		if err := put(snapKey, snap); err != nil {
			return err
		}
		if err := cut(log, 0); err != nil {
			return err
		}
	}
	if hard != nil {
		if err := put(hardKey, hard); err != nil {
			return err
		}
	}
	if len(entries) == 0 {
		return nil
	}
	if err := cut(log, entries[0].GetIndex()); err != nil { // another leader's, never settled
		return err
	}
	for _, e := range entries {
		raw, err := seal(e)
		if err != nil {
			return err
		}
		if err := log.Put(key(e.GetIndex()), raw); err != nil {
			return err
		}
	}
	return nil
}

// seal is a message with its checksum.
func seal(m proto.Message) ([]byte, error) {
	raw, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	return boltstore.Seal(raw), nil
}

func unseal(sealed []byte, m proto.Message) error {
	raw, err := boltstore.Unseal(sealed)
	if err != nil {
		return err
	}
	return proto.Unmarshal(raw, m)
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// cut takes away all entries from an index on.
func cut(log *bbolt.Bucket, from uint64) error {
	c := log.Cursor()
	for k, _ := c.Seek(key(from)); k != nil; k, _ = c.Seek(key(from)) {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// snapshot keeps a snapshot of our own in place of the entries that it covers; raft's cache has those still.
func (d *Disk) snapshot(at uint64, conf *raftpb.ConfState, data []byte) error {
	snap, err := d.cache.CreateSnapshot(at, conf, data)
	if err != nil || d.db == nil {
		return err
	}
	err = d.db.Update(func(tx *bbolt.Tx) error {
		raw, err := seal(snap)
		if err != nil {
			return err
		}
		if err := tx.Bucket(metaBucket).Put(snapKey, raw); err != nil {
			return err
		}
		c := tx.Bucket(logBucket).Cursor()
		for k, _ := c.First(); k != nil && binary.BigEndian.Uint64(k) <= at; k, _ = c.First() {
			if err := c.Delete(); err != nil {
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
func (d *Disk) compact(before uint64) error {
	if err := d.cache.Compact(before); err != nil && !errors.Is(err, raft.ErrCompacted) {
		return err
	}
	return nil
}

// found begins a group of which this life is the only voter.
func (d *Disk) found(founded string, data []byte) error {
	if err := d.Belong(founded); err != nil {
		return err
	}
	snap := &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{
		Index: proto.Uint64(1), Term: proto.Uint64(1), ConfState: &raftpb.ConfState{Voters: []uint64{d.who.ID}},
	}}
	return d.save(&raftpb.HardState{Term: proto.Uint64(1), Commit: proto.Uint64(1)}, nil, snap)
}

// raise has the disk be in a term at least, with no vote in it: one that may have been given there is never given again, see Core.
func (d *Disk) raise(term uint64) error {
	hard, _, err := d.cache.InitialState()
	if err != nil || hard.GetTerm() >= term {
		return err
	}
	return d.save(&raftpb.HardState{Term: proto.Uint64(term), Commit: proto.Uint64(hard.GetCommit())}, nil, nil)
}

// Forget takes the folder's file away, after Close: the next disk there is empty.
func (d *Disk) Forget() error {
	if d.db == nil {
		return nil
	}
	return os.Remove(d.path)
}

// Close gives the folder back.
func (d *Disk) Close() error {
	if d.db == nil {
		return nil
	}
	return d.db.Close()
}
