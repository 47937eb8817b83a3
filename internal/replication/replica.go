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

// Kind is what an entry is about. All kinds have one rule: an entry counts until another one of its kind and name is written by
// somebody who has seen it. So entries of a kind that a build does not know are kept and passed on as well, with their Data.
type Kind string

// Word is staff's word on a runner.
const Word Kind = "word"

// Ref says which entries are meant: those of one kind and name.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

func (r Ref) compare(o Ref) int {
	return cmp.Or(cmp.Compare(r.Kind, o.Kind), cmp.Compare(r.Name, o.Name))
}

func (r Ref) bucket() int { return int(xxhash.Sum64String(string(r.Kind)+"\x00"+r.Name) % buckets) }

// Dot names one entry: the Count-th of a writer's life. A life is drawn anew whenever a writer begins, and has one writer.
type Dot struct {
	Life  string `json:"life"`
	Count uint64 `json:"count"`
}

// Seen says up to which count entries of each life have been seen.
type Seen map[string]uint64

// Has tells whether an entry has been seen.
func (s Seen) Has(d Dot) bool { return s[d.Life] >= d.Count }

// Covers tells whether all that the other has seen has been seen here.
func (s Seen) Covers(o Seen) bool {
	for life, n := range o {
		if s[life] < n {
			return false
		}
	}
	return true
}

// Count is how many entries have been seen.
func (s Seen) Count() int {
	n := uint64(0)
	for _, c := range s {
		n += c
	}
	return int(n)
}

func (s Seen) join(o Seen) {
	for life, n := range o {
		s[life] = max(s[life], n)
	}
}

// Sum is the same for equal ones, and hardly ever for others.
func (s Seen) Sum() uint64 {
	sum := uint64(0)
	for life, n := range s {
		sum ^= Dot{life, n}.sum() // in any order
	}
	return sum
}

func (d Dot) sum() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(d.Life), d.Count))
}

// Entry is one thing that was said. It never changes.
type Entry struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	Dot
	Saw    Seen   `json:"saw,omitempty"` // of this kind and name, when it was written
	Member string `json:"member"`        // at which it was said
	At     int64  `json:"at"`            // when, by that member's wall clock, Unix time in milliseconds: for people alone
	Out    bool   `json:"out"`           // of a Word

	Data json.RawMessage `json:"data,omitempty"` // of kinds that this build does not know
}

// Bounds. Words are never dropped for want of room: one more than that is not taken from staff. All of them fit an answer to staff,
// which has 8 MB at the most.
const (
	NameMost  = 256 // bytes
	kindMost  = 32
	dataMost  = 1 << 10
	lifeMost  = 64
	WordsMost = 10_000
	livesMost = 100_000
	buckets   = 64 // of digests
)

// ErrFull says that no further entry is taken from staff.
var ErrFull = errors.New("there are too many words already")

func (e *Entry) ref() Ref { return Ref{e.Kind, e.Name} }

// Copy is one member's.
type Copy struct {
	life   string
	seen   Seen
	held   map[Ref][]*Entry    // by kind and name, those that have not seen each other, in the order of their dots
	byLife map[string][]*Entry // ... by count
	sums   [buckets]uint64     // of their dots
	size   int
}

// New returns an empty copy, for a life that nobody had before.
func New(life string) *Copy {
	return &Copy{life: life, seen: Seen{}, held: map[Ref][]*Entry{}, byLife: map[string][]*Entry{}}
}

// Len is how many entries there are.
func (c *Copy) Len() int { return c.size }

// Seen is what this copy has seen; it is the caller's.
func (c *Copy) Seen() Seen { return maps.Clone(c.seen) }

// Sum is the same for copies that have the same entries.
func (c *Copy) Sum() uint64 {
	b := make([]byte, 0, 8*buckets)
	for _, s := range c.sums {
		b = binary.BigEndian.AppendUint64(b, s)
	}
	return xxhash.Sum64(b)
}

// Sums are the digests of the entries, by bucket.
func (c *Copy) Sums() []uint64 { return slices.Clone(c.sums[:]) }

// Get are the entries of a kind and name that have not seen each other: more than one are in conflict.
func (c *Copy) Get(kind Kind, name string) (all []Entry) {
	for _, e := range c.held[Ref{kind, name}] {
		all = append(all, *e)
	}
	return all
}

// Names are all of a kind, sorted.
func (c *Copy) Names(kind Kind) (all []string) {
	for k := range c.held {
		if k.Kind == kind {
			all = append(all, k.Name)
		}
	}
	slices.Sort(all)
	return all
}

// Out is what entries come to: of words that did not see each other "out" counts.
func Out(all []Entry) bool {
	if failpoint.On(failpoint.InWins) {
		return len(all) > 0 && !slices.ContainsFunc(all, func(e Entry) bool { return !e.Out })
	}
	return slices.ContainsFunc(all, func(e Entry) bool { return e.Out })
}

// Conflict tells whether entries say different things without having seen each other.
func Conflict(all []Entry) bool {
	return slices.ContainsFunc(all, func(e Entry) bool { return e.Out != all[0].Out })
}

// Say writes an entry that has seen all of its kind and name here.
func (c *Copy) Say(e Entry) (Entry, error) {
	if c.size >= WordsMost && len(c.held[e.ref()]) == 0 { // one that replaces another is taken: a runner can be put back
		return Entry{}, ErrFull
	}
	e.Dot = Dot{c.life, c.seen[c.life] + 1}
	e.Saw = Seen{}
	for _, old := range c.held[e.ref()] {
		e.Saw.join(old.Saw)
		e.Saw.join(Seen{old.Life: old.Count})
	}
	if err := check(&e); err != nil {
		return Entry{}, err
	}
	c.put(&e)
	c.seen[c.life] = e.Count
	return e, nil
}

// check tells what is wrong with an entry that came from elsewhere.
func check(e *Entry) error {
	switch {
	case e.Kind == "" || len(e.Kind) > kindMost || len(e.Data) > dataMost:
		return fmt.Errorf("an entry of kind %.20q with %d bytes of data; %d at the most", e.Kind, len(e.Data), dataMost)
	case e.Name == "" || len(e.Name) > NameMost:
		return fmt.Errorf("an entry's name has %d bytes; from 1 to %d", len(e.Name), NameMost)
	case strings.Contains(string(e.Kind)+e.Name, "\x00"): // they stand side by side with one between
		return errors.New("an entry's name or kind with a zero byte")
	case e.Life == "" || len(e.Life) > lifeMost || e.Count == 0 || len(e.Member) > NameMost:
		return errors.New("an entry without a writer")
	case len(e.Saw) > livesMost:
		return errors.New("an entry that has seen too many lives")
	}
	return nil
}

// put holds an entry and lets go of those that it has seen; false: it is here, or was replaced.
func (c *Copy) put(e *Entry) bool {
	k := e.ref()
	all := c.held[k]
	for _, o := range all {
		if o.Dot == e.Dot || o.Saw.Has(e.Dot) || failpoint.On(failpoint.ClockWins) && o.At > e.At {
			return false
		}
	}
	for _, o := range slices.Clone(all) {
		if e.Saw.Has(o.Dot) || failpoint.On(failpoint.ClockWins) {
			c.remove(o)
		}
	}
	all = append(c.held[k], e)
	slices.SortFunc(all, func(a, b *Entry) int { return cmp.Or(cmp.Compare(a.Life, b.Life), cmp.Compare(a.Count, b.Count)) })
	c.held[k] = all
	line := c.byLife[e.Life]
	i, _ := slices.BinarySearchFunc(line, e.Count, byCount)
	c.byLife[e.Life] = slices.Insert(line, i, e)
	c.sums[k.bucket()] ^= e.Dot.sum()
	c.size++
	return true
}

func byCount(e *Entry, n uint64) int { return cmp.Compare(e.Count, n) }

func (c *Copy) remove(e *Entry) {
	k := e.ref()
	if c.held[k] = slices.DeleteFunc(c.held[k], func(o *Entry) bool { return o == e }); len(c.held[k]) == 0 {
		delete(c.held, k)
	}
	line := c.byLife[e.Life]
	if i, ok := slices.BinarySearchFunc(line, e.Count, byCount); ok {
		if c.byLife[e.Life] = slices.Delete(line, i, i+1); len(c.byLife[e.Life]) == 0 {
			delete(c.byLife, e.Life)
		}
	}
	c.sums[k.bucket()] ^= e.Dot.sum()
	c.size--
}

// find is the held entry of a dot; nil: there is none.
func (c *Copy) find(d Dot) *Entry {
	line := c.byLife[d.Life]
	if i, ok := slices.BinarySearchFunc(line, d.Count, byCount); ok {
		return line[i]
	}
	return nil
}
