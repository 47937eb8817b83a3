// Package replication is what dispatchers of a group keep in common without agreement: entries that each member takes, keeps and
// uses while it is cut off, and merges that make copies equal afterwards. It has no I/O, no clock and no goroutine; what was
// weighed stands in docs/replica-design.md.
package replication

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/failpoint"
)

// EntryKind is what an entry is about. All kinds have one rule: an entry counts until another one of its kind and name is written by
// somebody who has seen it. So entries of a kind that a build does not know are kept and passed on as well, with their Data.
type EntryKind string

// KindOverride is staff's word on a runner.
const KindOverride EntryKind = "word"

// Key says which entries are meant: those of one kind and name.
type Key struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name"`
}

func (k Key) compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

func (k Key) bucket() int { return int(xxhash.Sum64String(string(k.Kind)+"\x00"+k.Name) % bucketCount) }

// Dot names one entry: the Count-th of a writer's life. A life is drawn anew whenever a writer begins, and has one writer.
type Dot struct {
	Incarnation string `json:"life"`
	Counter     uint64 `json:"count"`
}

// VersionVector says up to which count entries of each life have been seen.
type VersionVector map[string]uint64

// Contains tells whether an entry has been seen.
func (v VersionVector) Contains(dot Dot) bool { return v[dot.Incarnation] >= dot.Counter }

// Covers tells whether all that the other has seen has been seen here.
func (v VersionVector) Covers(other VersionVector) bool {
	for incarnation, counter := range other {
		if v[incarnation] < counter {
			return false
		}
	}
	return true
}

// Total is how many entries have been seen.
func (v VersionVector) Total() int {
	total := uint64(0)
	for _, counter := range v {
		total += counter
	}
	return int(total)
}

func (v VersionVector) merge(other VersionVector) {
	for incarnation, counter := range other {
		v[incarnation] = max(v[incarnation], counter)
	}
}

// Digest is the same for equal ones, and hardly ever for others.
func (v VersionVector) Digest() uint64 {
	digest := uint64(0)
	for incarnation, counter := range v {
		digest ^= Dot{incarnation, counter}.digest() // in any order
	}
	return digest
}

func (d Dot) digest() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(d.Incarnation), d.Counter))
}

// Entry is one thing that was said. It never changes.
type Entry struct {
	Kind EntryKind `json:"kind"`
	Name string    `json:"name"`
	Dot
	CausalContext VersionVector `json:"saw,omitempty"` // of this kind and name, when it was written
	Member        string        `json:"member"`        // at which it was said
	WrittenAt     int64         `json:"at"`            // when, by that member's wall clock, Unix time in milliseconds: for people alone
	Disabled      bool          `json:"out"`           // of a Word

	Data json.RawMessage `json:"data,omitempty"` // of kinds that this build does not know
}

// Bounds. Words are never dropped for want of room: one more than that is not taken from staff. All of them fit an answer to staff,
// which has 8 MB at the most.
const (
	MaxNameLength        = 256 // bytes
	maxKindLength        = 32
	maxDataLength        = 1 << 10
	maxIncarnationLength = 64
	MaxOverrides         = 10_000
	maxIncarnations      = 100_000
	bucketCount          = 64 // of digests
)

// ErrFull says that no further entry is taken from staff.
var ErrFull = errors.New("there are too many words already")

func (e *Entry) key() Key { return Key{e.Kind, e.Name} }

// Replica is one member's.
type Replica struct {
	incarnation   string
	version       VersionVector
	entries       map[Key][]*Entry    // by kind and name, those that have not seen each other, in the order of their dots
	byIncarnation map[string][]*Entry // ... by count
	bucketDigests [bucketCount]uint64 // of their dots
	size          int
}

// New returns an empty copy, for a life that nobody had before.
func New(incarnation string) *Replica {
	return &Replica{incarnation: incarnation, version: VersionVector{}, entries: map[Key][]*Entry{}, byIncarnation: map[string][]*Entry{}}
}

// Len is how many entries there are.
func (r *Replica) Len() int { return r.size }

// Version is what this copy has seen; it is the caller's.
func (r *Replica) Version() VersionVector { return maps.Clone(r.version) }

// Digest is the same for copies that have the same entries.
func (r *Replica) Digest() uint64 {
	b := make([]byte, 0, 8*bucketCount)
	for _, digest := range r.bucketDigests {
		b = binary.BigEndian.AppendUint64(b, digest)
	}
	return xxhash.Sum64(b)
}

// BucketDigests are the digests of the entries, by bucket.
func (r *Replica) BucketDigests() []uint64 { return slices.Clone(r.bucketDigests[:]) }

// Get are the entries of a kind and name that have not seen each other: more than one are in conflict.
func (r *Replica) Get(kind EntryKind, name string) (entries []Entry) {
	for _, e := range r.entries[Key{kind, name}] {
		entries = append(entries, *e)
	}
	return entries
}

// Names are all of a kind, sorted.
func (r *Replica) Names(kind EntryKind) (names []string) {
	for key := range r.entries {
		if key.Kind == kind {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	return names
}

// IsDisabled is what entries come to: of words that did not see each other "out" counts.
func IsDisabled(entries []Entry) bool {
	if failpoint.Enabled(failpoint.EnabledWins) {
		return len(entries) > 0 && !slices.ContainsFunc(entries, func(e Entry) bool { return !e.Disabled })
	}
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Disabled })
}

// InConflict tells whether entries say different things without having seen each other.
func InConflict(entries []Entry) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.Disabled != entries[0].Disabled })
}

// Write writes an entry that has seen all of its kind and name here.
func (r *Replica) Write(entry Entry) (Entry, error) {
	if r.size >= MaxOverrides && len(r.entries[entry.key()]) == 0 { // one that replaces another is taken: a runner can be put back
		return Entry{}, ErrFull
	}
	entry.Dot = Dot{r.incarnation, r.version[r.incarnation] + 1}
	entry.CausalContext = VersionVector{}
	for _, old := range r.entries[entry.key()] {
		entry.CausalContext.merge(old.CausalContext)
		entry.CausalContext.merge(VersionVector{old.Incarnation: old.Counter})
	}
	if err := validate(&entry); err != nil {
		return Entry{}, err
	}
	r.insert(&entry)
	r.version[r.incarnation] = entry.Counter
	return entry, nil
}

// validate tells what is wrong with an entry that came from elsewhere.
func validate(entry *Entry) error {
	switch {
	case entry.Kind == "" || len(entry.Kind) > maxKindLength || len(entry.Data) > maxDataLength:
		return fmt.Errorf("an entry of kind %.20q with %d bytes of data; %d at the most", entry.Kind, len(entry.Data), maxDataLength)
	case entry.Name == "" || len(entry.Name) > MaxNameLength:
		return fmt.Errorf("an entry's name has %d bytes; from 1 to %d", len(entry.Name), MaxNameLength)
	case strings.Contains(string(entry.Kind)+entry.Name, "\x00"): // they stand side by side with one between
		return errors.New("an entry's name or kind with a zero byte")
	case entry.Incarnation == "" || len(entry.Incarnation) > maxIncarnationLength || entry.Counter == 0 || len(entry.Member) > MaxNameLength:
		return errors.New("an entry without a writer")
	case len(entry.CausalContext) > maxIncarnations:
		return errors.New("an entry that has seen too many lives")
	}
	return nil
}

// insert holds an entry and lets go of those that it has seen; false: it is here, or was replaced.
func (r *Replica) insert(entry *Entry) bool {
	key := entry.key()
	concurrent := r.entries[key]
	for _, other := range concurrent {
		if other.Dot == entry.Dot || other.CausalContext.Contains(entry.Dot) || failpoint.Enabled(failpoint.LastWriteWins) && other.WrittenAt > entry.WrittenAt {
			return false
		}
	}
	for _, other := range slices.Clone(concurrent) {
		if entry.CausalContext.Contains(other.Dot) || failpoint.Enabled(failpoint.LastWriteWins) {
			r.remove(other)
		}
	}
	concurrent = append(r.entries[key], entry)
	slices.SortFunc(concurrent, func(a, b *Entry) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter))
	})
	r.entries[key] = concurrent
	written := r.byIncarnation[entry.Incarnation]
	i, _ := slices.BinarySearchFunc(written, entry.Counter, compareCounter)
	r.byIncarnation[entry.Incarnation] = slices.Insert(written, i, entry)
	r.bucketDigests[key.bucket()] ^= entry.Dot.digest()
	r.size++
	return true
}

func compareCounter(entry *Entry, counter uint64) int { return cmp.Compare(entry.Counter, counter) }

func (r *Replica) remove(entry *Entry) {
	key := entry.key()
	if r.entries[key] = slices.DeleteFunc(r.entries[key], func(other *Entry) bool { return other == entry }); len(r.entries[key]) == 0 {
		delete(r.entries, key)
	}
	written := r.byIncarnation[entry.Incarnation]
	if i, ok := slices.BinarySearchFunc(written, entry.Counter, compareCounter); ok {
		if r.byIncarnation[entry.Incarnation] = slices.Delete(written, i, i+1); len(r.byIncarnation[entry.Incarnation]) == 0 {
			delete(r.byIncarnation, entry.Incarnation)
		}
	}
	r.bucketDigests[key.bucket()] ^= entry.Dot.digest()
	r.size--
}

// find is the held entry of a dot; nil: there is none.
func (r *Replica) find(dot Dot) *Entry {
	written := r.byIncarnation[dot.Incarnation]
	if i, ok := slices.BinarySearchFunc(written, dot.Counter, compareCounter); ok {
		return written[i]
	}
	return nil
}
