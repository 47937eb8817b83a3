package replication

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/failpoint"
)

// Bounds of what a replica accepts.
const (
	MaxNameLength        = 256 // bytes, of names of entries and of members
	maxKindLength        = 32
	maxDataLength        = 1 << 10
	maxIncarnationLength = 64
	maxIncarnations      = 100_000

	// MaxOverrides is how many entries a replica holds before Write fails. Entries are never dropped for lack of space, and all of
	// them fit into one answer to an operator, which has at most 8 MB.
	MaxOverrides = 10_000
)

// ErrFull is Write's error if a replica holds MaxOverrides entries.
var ErrFull = errors.New("there are too many words already")

// EntryKind is the kind of an entry. All kinds are merged in the same way, so that a build keeps and forwards entries of kinds that it
// does not know, with their Data.
type EntryKind string

// KindOverride is an operator's override on a worker, by the worker's name.
const KindOverride EntryKind = "word"

// Key identifies the subject of an entry. Entries of one key replace each other.
type Key struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// bucket returns the bucket whose digest includes the key's entries.
func (k Key) bucket() int { return int(xxhash.Sum64String(string(k.Kind)+"\x00"+k.Name) % bucketCount) }

// Entry is one write. It never changes.
type Entry struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name"`
	Dot
	CausalContext VersionVector `json:"saw,omitempty"` // the entries of its key that its writer had seen, and those before them
	Member        string        `json:"member"`        // where it was written
	WrittenAt     int64         `json:"at"`            // Unix time in milliseconds by that member's clock, for display alone
	Disabled      bool          `json:"out"`           // of an override: the worker gets no requests

	Data json.RawMessage `json:"data,omitempty"` // of kinds that this build does not know
}

func (e *Entry) key() Key { return Key{Kind: e.Kind, Name: e.Name} }

// validate checks an entry from another member, a disk or an operator.
func (e *Entry) validate() error {
	switch {
	case e.Kind == "" || len(e.Kind) > maxKindLength || len(e.Data) > maxDataLength:
		return fmt.Errorf("an entry of kind %.20q with %d bytes of data; %d at the most", e.Kind, len(e.Data), maxDataLength)
	case e.Name == "" || len(e.Name) > MaxNameLength:
		return fmt.Errorf("an entry's name has %d bytes; from 1 to %d", len(e.Name), MaxNameLength)
	case strings.Contains(string(e.Kind)+e.Name, "\x00"): // separates the two in hashes and on disk
		return errors.New("an entry's name or kind with a zero byte")
	case e.Incarnation == "" || len(e.Incarnation) > maxIncarnationLength || e.Counter == 0 || len(e.Member) > MaxNameLength:
		return errors.New("an entry without a writer")
	case len(e.CausalContext) > maxIncarnations:
		return errors.New("an entry that has seen too many lives")
	}
	return nil
}

// compareByDot orders entries by incarnation and counter.
func compareByDot(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter))
}

// compareCounter compares an entry with a counter of its incarnation, for searches.
func compareCounter(entry *Entry, counter uint64) int { return cmp.Compare(entry.Counter, counter) }

// IsDisabled reports whether concurrent overrides of one worker disable it: it is enough that one does.
func IsDisabled(entries []Entry) bool {
	if failpoint.Enabled(failpoint.EnabledWins) {
		return len(entries) > 0 && !slices.ContainsFunc(entries, func(e Entry) bool { return !e.Disabled })
	}
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Disabled })
}

// InConflict reports whether concurrent overrides of one worker differ.
func InConflict(entries []Entry) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Disabled != entries[0].Disabled })
}
