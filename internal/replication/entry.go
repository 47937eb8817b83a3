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

// Bounds on what a replica accepts. The lengths are in bytes.
const (
	MaxNameLength        = 256 // of the name of an entry or a member
	maxKindLength        = 32
	maxDataLength        = 1 << 10
	maxIncarnationLength = 64
	maxIncarnations      = 100_000

	// MaxOverrides is the number of entries at which Write rejects further keys. Entries are never dropped for lack of space, and all of
	// them fit into one response to an operator, which has at most 8 MB.
	MaxOverrides = 10_000
)

// ErrFull is returned by Write for a key without an entry if the replica holds MaxOverrides entries.
var ErrFull = errors.New("too many overrides already")

// EntryKind is the kind of an entry. All kinds are merged in the same way, so that a build keeps and forwards entries of unknown kinds,
// including their Data.
type EntryKind string

// KindOverride is the kind of an operator's override of a worker. The entry's name is the worker's.
const KindOverride EntryKind = "word"

// Key identifies the subject of an entry. Entries of one key replace each other.
type Key struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// bucket returns the index of the bucket that the key's entries belong to.
func (k Key) bucket() int { return int(xxhash.Sum64String(string(k.Kind)+"\x00"+k.Name) % bucketCount) }

// Entry is one write. Entries are immutable.
type Entry struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name"`
	Dot
	CausalContext VersionVector `json:"saw,omitempty"` // entries of its key that its writer had seen, and earlier ones of their incarnations
	Member        string        `json:"member"`        // member that wrote the entry
	WrittenAt     int64         `json:"at"`            // Unix time in milliseconds by that member's clock, for display only
	Disabled      bool          `json:"out"`           // of an override: whether the worker is disabled

	Data json.RawMessage `json:"data,omitempty"` // of kinds unknown to this build
}

func (e *Entry) key() Key { return Key{Kind: e.Kind, Name: e.Name} }

// validate checks an entry from another member, from a disk or from an operator.
func (e *Entry) validate() error {
	switch {
	case e.Kind == "" || len(e.Kind) > maxKindLength || len(e.Data) > maxDataLength:
		return fmt.Errorf("invalid entry of kind %.20q with %d bytes of data: kind must have 1 to %d bytes, data at most %d",
			e.Kind, len(e.Data), maxKindLength, maxDataLength)
	case e.Name == "" || len(e.Name) > MaxNameLength:
		return fmt.Errorf("invalid entry name of %d bytes: must have 1 to %d bytes", len(e.Name), MaxNameLength)
	case strings.Contains(string(e.Kind)+e.Name, "\x00"): // the zero byte separates kind and name in hashes and on disk
		return errors.New("invalid entry: name or kind contains a zero byte")
	case e.Incarnation == "" || len(e.Incarnation) > maxIncarnationLength || e.Counter == 0 || len(e.Member) > MaxNameLength:
		return errors.New("invalid entry: missing or malformed writer")
	case len(e.CausalContext) > maxIncarnations:
		return errors.New("invalid entry: too many incarnations in the causal context")
	}
	return nil
}

// compareByDot orders entries by their dots: by incarnation, then by counter.
func compareByDot(a, b *Entry) int {
	return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter))
}

// compareCounter compares an entry's counter with another of the same incarnation, for binary searches.
func compareCounter(entry *Entry, counter uint64) int { return cmp.Compare(entry.Counter, counter) }

// IsDisabled reports whether at least one of the concurrent overrides of a worker disables it.
func IsDisabled(entries []Entry) bool {
	if failpoint.Enabled(failpoint.EnabledWins) {
		return len(entries) > 0 && !slices.ContainsFunc(entries, func(e Entry) bool { return !e.Disabled })
	}
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Disabled })
}

// InConflict reports whether the concurrent overrides of a worker contradict each other.
func InConflict(entries []Entry) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Disabled != entries[0].Disabled })
}
