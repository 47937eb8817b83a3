package gossip

import (
	"encoding/json"
	"errors"
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

// The file's parts.
const (
	diskFile = "words.db"
	format   = 1
)

var (
	metaBucket  = []byte("meta")
	entryBucket = []byte("entries")
	identKey    = []byte("identity")
	seenKey     = []byte("seen")
)

// identity says whose a file is. Another member's words are words all the same: a copied disk does no harm, as no life of ours is
// read from it.
type identity struct {
	Format int    `json:"format"`
	Group  string `json:"group"`
}

// disk keeps a copy's entries with what it has seen: both in one synced step. Its loop writes: a disk that stands still holds up
// nobody but who waits for a batch. A nil one keeps nothing.
type disk struct {
	db     *bbolt.DB
	opened time.Time
	told   func(*disk, *batch) // hears of each batch that was tried
	wake   chan struct{}
	done   chan struct{}

	mu   sync.Mutex
	next *batch // nil: nothing waits
}

// batch is what is written in one synced step.
type batch struct {
	seen    []byte
	entries map[replication.Ref][]byte // nil: there is none any more
	tried   chan struct{}              // closed once err is known
	err     error
}

// openDisk opens the file and gives what it has to a copy; with no folder nothing is kept.
func openDisk(folder, group string, to *replication.Copy, told func(*disk, *batch)) (d *disk, unreadable, err error) {
	if folder == "" {
		return nil, nil, nil
	}
	var seen replication.Seen
	var entries []replication.Entry
	db, unreadable, err := boltstore.Open(folder, diskFile, func(db *bbolt.DB) error {
		seen, entries = nil, nil
		return db.Update(func(tx *bbolt.Tx) error {
			meta, err := tx.CreateBucketIfNotExists(metaBucket)
			if err != nil {
				return err
			}
			all, err := tx.CreateBucketIfNotExists(entryBucket)
			if err != nil {
				return err
			}
			return read(meta, all, identity{format, group}, &seen, &entries)
		})
	})
	if err != nil {
		return nil, nil, err
	}
	if err := to.Restore(seen, entries); err != nil {
		db.Close()
		return nil, nil, fmt.Errorf("the group's words: %w", err)
	}
	d = &disk{db: db, opened: time.Now(), told: told, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go d.loop()
	return d, unreadable, nil
}

func read(meta, all *bbolt.Bucket, ours identity, seen *replication.Seen, entries *[]replication.Entry) error {
	raw := meta.Get(identKey)
	if raw == nil {
		raw, err := json.Marshal(ours)
		if err != nil {
			return err
		}
		return meta.Put(identKey, raw)
	}
	var is identity
	if err := json.Unmarshal(raw, &is); err != nil || is != ours {
		return fmt.Errorf("%w: its words are of format %d, group %q, not %d, %q", boltstore.ErrForeign, is.Format, is.Group, ours.Format, ours.Group)
	}
	if raw := meta.Get(seenKey); raw != nil {
		if err := unseal(raw, seen); err != nil {
			return fmt.Errorf("what was seen: %w", err)
		}
	}
	return all.ForEach(func(k, v []byte) error {
		var e []replication.Entry
		if err := unseal(v, &e); err != nil {
			return fmt.Errorf("entry %q: %w", k, err)
		}
		*entries = append(*entries, e...)
		return nil
	})
}

func unseal(sealed []byte, into any) error {
	raw, err := boltstore.Unseal(sealed)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func seal(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	return boltstore.Seal(raw), err
}

// put hands over some of what a copy has, and what it has seen, behind what waits already.
func (d *disk) put(c *replication.Copy, some map[replication.Ref]bool) (*batch, error) {
	seen, err := seal(c.Seen())
	if err != nil {
		return nil, err
	}
	entries := map[replication.Ref][]byte{}
	for what := range some {
		entries[what] = nil
		if all := c.Get(what.Kind, what.Name); len(all) > 0 {
			if entries[what], err = seal(all); err != nil {
				return nil, err
			}
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next == nil {
		d.next = &batch{entries: map[replication.Ref][]byte{}, tried: make(chan struct{})}
	}
	d.next.seen = seen
	maps.Copy(d.next.entries, entries)
	select {
	case d.wake <- struct{}{}:
	default:
	}
	return d.next, nil
}

// loop writes one batch after the other, until close.
func (d *disk) loop() {
	defer close(d.done)
	for range d.wake {
		d.mu.Lock()
		b := d.next
		d.next = nil
		d.mu.Unlock()
		if b == nil {
			continue
		}
		b.err = d.write(b)
		d.told(d, b)
		close(b.tried)
	}
}

// write writes a batch. Guards against a file that was torn since it was opened: the access faults, which would end the process.
func (d *disk) write(b *batch) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("it cannot be read any more: %v", v)
		}
		if err != nil {
			err = fmt.Errorf("the group's disk: %w", err)
		}
	}()
	if err := failpoint.Write(d.opened); err != nil {
		return err
	}
	return d.db.Update(func(tx *bbolt.Tx) error {
		if err := tx.Bucket(metaBucket).Put(seenKey, b.seen); err != nil {
			return err
		}
		to := tx.Bucket(entryBucket)
		for what, raw := range b.entries {
			if raw == nil {
				if err := to.Delete(diskKey(what)); err != nil {
					return err
				}
			} else if err := to.Put(diskKey(what), raw); err != nil {
				return err
			}
		}
		return nil
	})
}

// diskKey is where entries stand: words by their name, as in files of before there were other kinds.
func diskKey(what replication.Ref) []byte {
	if what.Kind == replication.Word {
		return []byte(what.Name)
	}
	return []byte("\x00" + string(what.Kind) + "\x00" + what.Name)
}

// close writes what waits and gives the file back. Nothing may be put any more.
func (d *disk) close() error {
	if d == nil {
		return nil
	}
	close(d.wake)
	<-d.done
	return d.db.Close()
}

// Why a word is not kept.
var (
	errNoFolder = errors.New("[group] has no folder")
	errSlow     = fmt.Errorf("its disk has not taken it in %v; it may yet", syncWait)
)
