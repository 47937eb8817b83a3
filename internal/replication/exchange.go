package replication

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"birchfork/internal/failpoint"
)

// errOutOfOrder is returned by Merge for a chunk that is not the next one of the pull.
var errOutOfOrder = errors.New("chunk out of order")

// Cursor is the position of a reader in another replica's entries, which are sent in key order. It is the last key that was read.
type Cursor = Key

// Chunk contains some of the entries that a replica holds and a reader has not seen.
type Chunk struct {
	Incarnation string        `json:"life"` // of the sender
	From        Cursor        `json:"from"` // the cursor before the chunk
	Entries     []Entry       `json:"entries,omitempty"`
	Last        Cursor        `json:"last"` // the cursor after the chunk
	Done        bool          `json:"done"` // this is the last chunk
	Version     VersionVector `json:"seen"` // what the sender has seen and the reader has not
}

// NextChunk returns the next chunk for a reader that has seen known and has read up to a cursor. A chunk has up to maxEntries entries, and
// at least one if any is left. It exceeds maxEntries rather than split the entries of one key.
func (r *Replica) NextChunk(known VersionVector, from Cursor, maxEntries int) Chunk {
	chunk := Chunk{Incarnation: r.incarnation, From: from, Version: r.versionDelta(known), Last: from}
	missing := r.missingEntries(known, from)
	for i, entry := range missing {
		full := len(chunk.Entries) >= max(maxEntries, 1)
		if full && entry.key() != missing[i-1].key() {
			return chunk
		}
		chunk.Entries = append(chunk.Entries, *entry)
		chunk.Last = entry.key()
	}
	chunk.Done = true
	return chunk
}

// versionDelta returns the part of the replica's version vector that known does not contain.
func (r *Replica) versionDelta(known VersionVector) VersionVector {
	delta := VersionVector{}
	for incarnation, counter := range r.version {
		if known[incarnation] < counter {
			delta[incarnation] = counter
		}
	}
	return delta
}

// missingEntries returns the entries that known does not contain and whose keys are after a cursor, in key order.
func (r *Replica) missingEntries(known VersionVector, from Cursor) []*Entry {
	var missing []*Entry
	for incarnation, written := range r.byIncarnation {
		first, _ := slices.BinarySearchFunc(written, known[incarnation]+1, compareCounter)
		for _, entry := range written[first:] {
			if entry.key().compare(from) > 0 {
				missing = append(missing, entry)
			}
		}
	}
	slices.SortFunc(missing, func(a, b *Entry) int { return cmp.Or(a.key().compare(b.key()), compareByDot(a, b)) })
	return missing
}

// PullProgress is the progress of a pull of another replica's entries. The zero value starts a pull. An interrupted pull continues at its
// Cursor.
type PullProgress struct {
	Cursor Cursor

	source        string        // incarnation of the sender; a chunk of another one restarts the pull
	sourceVersion VersionVector // what the sender had seen when the pull started
}

// Merge merges a chunk and returns the keys whose entries have changed. Entries take effect at once. The sender's version is merged into the
// version vector only with the last chunk, because entries that replace others may be missing until then. If Merge fails, it has merged
// nothing, and the pull has to be restarted.
func (r *Replica) Merge(progress *PullProgress, chunk Chunk) (changed []Key, err error) {
	if err := chunk.validate(); err != nil {
		return nil, err
	}
	if progress.source != chunk.Incarnation {
		*progress = PullProgress{source: chunk.Incarnation, sourceVersion: chunk.Version}
	}
	// A chunk may arrive twice or late. If the last chunk were merged before others, the version would cover entries that are missing.
	if chunk.From != progress.Cursor {
		return nil, fmt.Errorf("%w: begins after key %q, want %q", errOutOfOrder, chunk.From.Name, progress.Cursor.Name)
	}
	for _, entry := range chunk.Entries {
		// An entry that was seen is already held, or was replaced or dropped.
		seen := r.version.Contains(entry.Dot) && !failpoint.Enabled(failpoint.ResurrectEntries)
		if !seen && r.insert(&entry) {
			changed = append(changed, entry.key())
		}
	}
	progress.Cursor = chunk.Last
	if chunk.Done {
		r.version.merge(progress.sourceVersion)
		*progress = PullProgress{}
	}
	return changed, nil
}

// validate checks a chunk from another member or from a disk.
func (c *Chunk) validate() error {
	if c.Incarnation == "" || len(c.Incarnation) > maxIncarnationLength || len(c.Version) > maxIncarnations {
		return fmt.Errorf("invalid chunk: missing or malformed sender, or %d incarnations in its version; must be at most %d",
			len(c.Version), maxIncarnations)
	}
	for i := range c.Entries {
		if err := c.Entries[i].validate(); err != nil {
			return err
		}
	}
	return nil
}

// diskIncarnation is the sender of the single chunk in which Restore merges a disk's contents.
const diskIncarnation = "a disk"

// Restore merges the entries and the version vector of a replica that were stored on a disk of this or another member. If Restore fails, it
// has merged nothing.
func (r *Replica) Restore(version VersionVector, entries []Entry) error {
	var progress PullProgress
	_, err := r.Merge(&progress, Chunk{Incarnation: diskIncarnation, Entries: entries, Version: version, Done: true})
	return err
}
