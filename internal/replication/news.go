package replication

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"birchfork/internal/failpoint"
)

// Mark is how far a reader has come with one writer's entries: they come in the order of kinds and names.
type Mark = Ref

// Piece is a part of what a reader has not seen.
type Piece struct {
	Life    string  `json:"life"` // of the copy that it is from
	From    Mark    `json:"from"`
	Entries []Entry `json:"entries,omitempty"`
	Last    Mark    `json:"last"` // the next piece begins behind it
	Done    bool    `json:"done"` // there is no further one
	Seen    Seen    `json:"seen"` // what that copy has seen, as far as the reader has not
}

// News is a piece of at least one entry and, beyond that, of so many at the most, for a reader that has seen known and has come
// as far as a mark. Entries of one name are not parted.
func (c *Copy) News(known Seen, from Mark, most int) Piece {
	p := Piece{Life: c.life, From: from, Seen: Seen{}, Last: from}
	var all []*Entry
	for life, line := range c.byLife {
		i, _ := slices.BinarySearchFunc(line, known[life]+1, byCount)
		for _, e := range line[i:] {
			if e.ref().compare(from) > 0 {
				all = append(all, e)
			}
		}
	}
	for life, n := range c.seen {
		if known[life] < n {
			p.Seen[life] = n
		}
	}
	slices.SortFunc(all, func(a, b *Entry) int {
		return cmp.Or(a.ref().compare(b.ref()), cmp.Compare(a.Life, b.Life), cmp.Compare(a.Count, b.Count))
	})
	for i, e := range all {
		if len(p.Entries) >= max(most, 1) && e.ref() != all[i-1].ref() {
			return p
		}
		p.Entries = append(p.Entries, *e)
		p.Last = e.ref()
	}
	p.Done = true
	return p
}

// Pull is what a copy is taking from another one, piece by piece; its zero value begins. It goes on where it was cut off.
type Pull struct {
	life string // of the other one; another one begins anew
	seen Seen   // what that had seen when it began: seen here too, once all its entries are here
	Mark Mark
}

// Take takes a piece, and returns what may mean something else now. Entries alone count at once; what the
// other copy had seen counts with the last piece: until then what it replaced may not be here. An error says that nothing was
// taken.
func (c *Copy) Take(pull *Pull, p Piece) (changed []Ref, err error) {
	if len(p.Seen) > livesMost || p.Life == "" || len(p.Life) > lifeMost {
		return nil, fmt.Errorf("a piece of nobody's, or with %d lives; %d at the most", len(p.Seen), livesMost)
	}
	for i := range p.Entries {
		if err := check(&p.Entries[i]); err != nil {
			return nil, err
		}
	}
	if pull.life != p.Life {
		*pull = Pull{life: p.Life, seen: p.Seen}
	}
	// Guards against a piece that comes twice or late: the last one would count for those between.
	if p.From != pull.Mark {
		return nil, fmt.Errorf("a piece from behind %q, where the one from behind %q is due", p.From.Name, pull.Mark.Name)
	}
	for _, e := range p.Entries {
		// What has been seen and is not here was replaced or forgotten.
		if (!c.seen.Has(e.Dot) || failpoint.On(failpoint.Reappears)) && c.put(&e) {
			changed = append(changed, e.ref())
		}
	}
	if pull.Mark = p.Last; p.Done {
		c.seen.join(pull.seen)
		*pull = Pull{}
	}
	return changed, nil
}

// Dots are those of the entries in some buckets.
func (c *Copy) Dots(in []int) (dots []Dot) {
	for k, all := range c.held {
		if slices.Contains(in, k.bucket()) {
			for _, e := range all {
				dots = append(dots, e.Dot)
			}
		}
	}
	return dots
}

// Differ are the buckets whose digests are not the same.
func (c *Copy) Differ(sums []uint64) (in []int) {
	for i, s := range c.sums {
		if i >= len(sums) || sums[i] != s {
			in = append(in, i)
		}
	}
	return in
}

// Gone are those dots that were seen here and are held no more: replaced, or forgotten.
func (c *Copy) Gone(dots []Dot) (gone []Dot) {
	for _, d := range dots {
		if c.seen.Has(d) && c.find(d) == nil && !failpoint.On(failpoint.Reappears) {
			gone = append(gone, d)
		}
	}
	return gone
}

// Drop lets go of entries that another copy has seen go, and returns what may mean something else now. It is for
// entries that a copy got back from an old disk; they count as seen.
func (c *Copy) Drop(gone []Dot) (changed []Ref) {
	for _, d := range gone {
		if e := c.find(d); e != nil {
			c.remove(e)
			changed = append(changed, e.ref())
		}
	}
	return changed
}

// Forget lets go of words "back" that all members have, by what each has seen, and returns which: nobody is left who could
// bring back what they replaced without it being known as such. Where a member has seen what we have not it may have a word of
// its own that did not see this one: then nothing goes.
func (c *Copy) Forget(members []Seen) (changed []Ref) {
	if slices.ContainsFunc(members, func(s Seen) bool { return !c.seen.Covers(s) }) {
		return nil
	}
	for _, k := range slices.SortedFunc(maps.Keys(c.held), Ref.compare) {
		all := c.held[k]
		if k.Kind != Word || len(all) != 1 || all[0].Out {
			continue
		}
		if e := all[0]; !slices.ContainsFunc(members, func(s Seen) bool { return !s.Has(e.Dot) }) && c.seen.Has(e.Dot) {
			c.remove(e)
			changed = append(changed, k)
		}
	}
	return changed
}

// Restore takes over what a disk has of a copy, whoever's. An error says that nothing was taken.
func (c *Copy) Restore(seen Seen, entries []Entry) error {
	pull := Pull{}
	_, err := c.Take(&pull, Piece{Life: "a disk", Entries: entries, Seen: seen, Done: true})
	return err
}
