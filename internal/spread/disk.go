package spread

import (
	"encoding/json"
	"errors"
	"fmt"

	"go.etcd.io/bbolt"

	"birchfork/internal/keep"
	"birchfork/internal/replica"
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

// disk keeps a copy's entries with what it has seen: both in one synced step. A nil one keeps nothing.
type disk struct{ db *bbolt.DB }

// openDisk opens the file and gives what it has to a copy; with no folder nothing is kept.
func openDisk(folder, group string, to *replica.Copy) (d *disk, unreadable, err error) {
	if folder == "" {
		return nil, nil, nil
	}
	var seen replica.Seen
	var entries []replica.Entry
	db, unreadable, err := keep.Open(folder, diskFile, func(db *bbolt.DB) error {
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
	return &disk{db}, unreadable, nil
}

func read(meta, all *bbolt.Bucket, ours identity, seen *replica.Seen, entries *[]replica.Entry) error {
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
		return fmt.Errorf("%w: its words are of format %d, group %q, not %d, %q", keep.ErrForeign, is.Format, is.Group, ours.Format, ours.Group)
	}
	if raw := meta.Get(seenKey); raw != nil {
		if err := unseal(raw, seen); err != nil {
			return fmt.Errorf("what was seen: %w", err)
		}
	}
	return all.ForEach(func(k, v []byte) error {
		var e []replica.Entry
		if err := unseal(v, &e); err != nil {
			return fmt.Errorf("entry %q: %w", k, err)
		}
		*entries = append(*entries, e...)
		return nil
	})
}

func unseal(sealed []byte, into any) error {
	raw, err := keep.Unseal(sealed)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, into)
}

func seal(v any) ([]byte, error) {
	raw, err := json.Marshal(v)
	return keep.Seal(raw), err
}

// write keeps what a copy has of some names, and what it has seen.
func (d *disk) write(c *replica.Copy, names map[string]bool) error {
	if d == nil {
		return nil
	}
	err := d.db.Update(func(tx *bbolt.Tx) error {
		seen, err := seal(c.Seen())
		if err != nil {
			return err
		}
		if err := tx.Bucket(metaBucket).Put(seenKey, seen); err != nil {
			return err
		}
		to := tx.Bucket(entryBucket)
		for name := range names {
			all := c.Get(replica.Word, name)
			if len(all) == 0 {
				if err := to.Delete([]byte(name)); err != nil {
					return err
				}
				continue
			}
			raw, err := seal(all)
			if err != nil {
				return err
			}
			if err := to.Put([]byte(name), raw); err != nil {
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

func (d *disk) close() error {
	if d == nil {
		return nil
	}
	return d.db.Close()
}

var errNoFolder = errors.New("[group] has no folder")
