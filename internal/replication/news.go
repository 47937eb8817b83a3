package replication

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"birchfork/internal/failpoint"
)

// Cursor is how far a reader has come with one writer's entries: they come in the order of kinds and names.
type Cursor = Key

// Chunk is a part of what a reader has not seen.
type Chunk struct {
	Incarnation string        `json:"life"` // of the copy that it is from
	From        Cursor        `json:"from"`
	Entries     []Entry       `json:"entries,omitempty"`
	Last        Cursor        `json:"last"` // the next piece begins behind it
	Done        bool          `json:"done"` // there is no further one
	Version     VersionVector `json:"seen"` // what that copy has seen, as far as the reader has not
}

// NextChunk is a piece of at least one entry and, beyond that, of so many at the most, for a reader that has seen known and has come
// as far as a mark. Entries of one name are not parted.
func (r *Replica) NextChunk(known VersionVector, from Cursor, maxEntries int) Chunk {
	chunk := Chunk{Incarnation: r.incarnation, From: from, Version: VersionVector{}, Last: from}
	var missing []*Entry
	for incarnation, written := range r.byIncarnation {
		i, _ := slices.BinarySearchFunc(written, known[incarnation]+1, compareCounter)
		for _, entry := range written[i:] {
			if entry.key().compare(from) > 0 {
				missing = append(missing, entry)
			}
		}
	}
	for incarnation, counter := range r.version {
		if known[incarnation] < counter {
			chunk.Version[incarnation] = counter
		}
	}
	slices.SortFunc(missing, func(a, b *Entry) int {
		return cmp.Or(a.key().compare(b.key()), cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter))
	})
	for i, entry := range missing {
		if len(chunk.Entries) >= max(maxEntries, 1) && entry.key() != missing[i-1].key() {
			return chunk
		}
		chunk.Entries = append(chunk.Entries, *entry)
		chunk.Last = entry.key()
	}
	chunk.Done = true
	return chunk
}

// PullProgress is what a copy is taking from another one, piece by piece; its zero value begins. It goes on where it was cut off.
type PullProgress struct {
	source        string        // of the other one; another one begins anew
	sourceVersion VersionVector // what that had seen when it began: seen here too, once all its entries are here
	Cursor        Cursor
}

// Merge takes a piece, and returns what may mean something else now. Entries alone count at once; what the
// other copy had seen counts with the last piece: until then what it replaced may not be here. An error says that nothing was
// taken.
func (r *Replica) Merge(progress *PullProgress, chunk Chunk) (changed []Key, err error) {
	if len(chunk.Version) > maxIncarnations || chunk.Incarnation == "" || len(chunk.Incarnation) > maxIncarnationLength {
		return nil, fmt.Errorf("a piece of nobody's, or with %d lives; %d at the most", len(chunk.Version), maxIncarnations)
	}
	for i := range chunk.Entries {
		if err := validate(&chunk.Entries[i]); err != nil {
			return nil, err
		}
	}
	if progress.source != chunk.Incarnation {
		*progress = PullProgress{source: chunk.Incarnation, sourceVersion: chunk.Version}
	}
	// Guards against a piece that comes twice or late: the last one would count for those between.
	if chunk.From != progress.Cursor {
		return nil, fmt.Errorf("a piece from behind %q, where the one from behind %q is due", chunk.From.Name, progress.Cursor.Name)
	}
	for _, entry := range chunk.Entries {
		// What has been seen and is not here was replaced or forgotten.
		if (!r.version.Contains(entry.Dot) || failpoint.Enabled(failpoint.ResurrectEntries)) && r.insert(&entry) {
			changed = append(changed, entry.key())
		}
	}
	if progress.Cursor = chunk.Last; chunk.Done {
		r.version.merge(progress.sourceVersion)
		*progress = PullProgress{}
	}
	return changed, nil
}

// DotsInBuckets are those of the entries in some buckets.
func (r *Replica) DotsInBuckets(buckets []int) (dots []Dot) {
	for key, entries := range r.entries {
		if slices.Contains(buckets, key.bucket()) {
			for _, entry := range entries {
				dots = append(dots, entry.Dot)
			}
		}
	}
	return dots
}

// DifferingBuckets are the buckets whose digests are not the same.
func (r *Replica) DifferingBuckets(digests []uint64) (buckets []int) {
	for i, digest := range r.bucketDigests {
		if i >= len(digests) || digests[i] != digest {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// Removed are those dots that were seen here and are held no more: replaced, or forgotten.
func (r *Replica) Removed(dots []Dot) (removed []Dot) {
	for _, dot := range dots {
		if r.version.Contains(dot) && r.find(dot) == nil && !failpoint.Enabled(failpoint.ResurrectEntries) {
			removed = append(removed, dot)
		}
	}
	return removed
}

// Discard lets go of entries that another copy has seen go, and returns what may mean something else now. It is for
// entries that a copy got back from an old disk; they count as seen.
func (r *Replica) Discard(removed []Dot) (changed []Key) {
	for _, dot := range removed {
		if entry := r.find(dot); entry != nil {
			r.remove(entry)
			changed = append(changed, entry.key())
		}
	}
	return changed
}

// CollectGarbage lets go of words "back" that all members have, by what each has seen, and returns which: nobody is left who could
// bring back what they replaced without it being known as such. Where a member has seen what we have not it may have a word of
// its own that did not see this one: then nothing goes.
func (r *Replica) CollectGarbage(members []VersionVector) (changed []Key) {
	if slices.ContainsFunc(members, func(version VersionVector) bool { return !r.version.Covers(version) }) {
		return nil
	}
	for _, key := range slices.SortedFunc(maps.Keys(r.entries), Key.compare) {
		entries := r.entries[key]
		if key.Kind != KindOverride || len(entries) != 1 || entries[0].Disabled {
			continue
		}
		if entry := entries[0]; !slices.ContainsFunc(members, func(version VersionVector) bool { return !version.Contains(entry.Dot) }) && r.version.Contains(entry.Dot) {
			r.remove(entry)
			changed = append(changed, key)
		}
	}
	return changed
}

// Restore takes over what a disk has of a copy, whoever's. An error says that nothing was taken.
func (r *Replica) Restore(version VersionVector, entries []Entry) error {
	progress := PullProgress{}
	_, err := r.Merge(&progress, Chunk{Incarnation: "a disk", Entries: entries, Version: version, Done: true})
	return err
}
