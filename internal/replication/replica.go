package replication

import (
	"maps"
	"slices"

	"birchfork/internal/failpoint"
)

// Replica is one member's copy of the replicated state.
type Replica struct {
	incarnation   string        // part of the dots of its own writes
	version       VersionVector // all entries that it has seen, including those that it no longer holds
	entries       map[Key][]*Entry
	byIncarnation map[string][]*Entry // the same entries, sorted by counter
	bucketDigests [bucketCount]uint64 // hashes of the dots of each bucket's entries
	size          int                 // number of entries
}

// New returns an empty replica. No replica may have used the incarnation before.
func New(incarnation string) *Replica {
	return &Replica{
		incarnation:   incarnation,
		version:       VersionVector{},
		entries:       map[Key][]*Entry{},
		byIncarnation: map[string][]*Entry{},
	}
}

// Len returns the number of entries that the replica holds.
func (r *Replica) Len() int { return r.size }

// Version returns a copy of the replica's version vector.
func (r *Replica) Version() VersionVector { return maps.Clone(r.version) }

// Get returns the concurrent entries of a key, sorted by dot.
func (r *Replica) Get(kind EntryKind, name string) (entries []Entry) {
	for _, entry := range r.entries[Key{Kind: kind, Name: name}] {
		entries = append(entries, *entry)
	}
	return entries
}

// Names returns the sorted names of all keys of a kind that have an entry.
func (r *Replica) Names(kind EntryKind) (names []string) {
	for key := range r.entries {
		if key.Kind == kind {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Write adds an entry that replaces all entries of its key in this replica, and returns it with its dot and causal context. It fails with
// ErrFull, or if the entry is invalid.
func (r *Replica) Write(entry Entry) (Entry, error) {
	replaced := r.entries[entry.key()]
	if r.size >= MaxOverrides && len(replaced) == 0 { // replacements are accepted, so that a worker can always be enabled again
		return Entry{}, ErrFull
	}
	entry.Dot = Dot{Incarnation: r.incarnation, Counter: r.version[r.incarnation] + 1}
	entry.CausalContext = VersionVector{}
	for _, old := range replaced {
		entry.CausalContext.merge(old.CausalContext)
		entry.CausalContext.add(old.Dot)
	}
	if err := entry.validate(); err != nil {
		return Entry{}, err
	}
	r.insert(&entry)
	r.version.add(entry.Dot)
	return entry, nil
}

// insert adds an entry and removes those that it replaces. It returns false if the entry is already held or was replaced.
func (r *Replica) insert(entry *Entry) bool {
	key := entry.key()
	for _, held := range r.entries[key] {
		if held.Dot == entry.Dot || held.CausalContext.Contains(entry.Dot) {
			return false
		}
		if failpoint.Enabled(failpoint.LastWriteWins) && held.WrittenAt > entry.WrittenAt {
			return false
		}
	}
	for _, held := range slices.Clone(r.entries[key]) {
		if entry.CausalContext.Contains(held.Dot) || failpoint.Enabled(failpoint.LastWriteWins) {
			r.remove(held)
		}
	}
	r.entries[key] = append(r.entries[key], entry)
	slices.SortFunc(r.entries[key], compareByDot)
	written := r.byIncarnation[entry.Incarnation]
	i, _ := slices.BinarySearchFunc(written, entry.Counter, compareCounter)
	r.byIncarnation[entry.Incarnation] = slices.Insert(written, i, entry)
	r.bucketDigests[key.bucket()] ^= entry.digest()
	r.size++
	return true
}

// remove removes an entry that the replica holds.
func (r *Replica) remove(entry *Entry) {
	key := entry.key()
	r.entries[key] = slices.DeleteFunc(r.entries[key], func(held *Entry) bool { return held == entry })
	if len(r.entries[key]) == 0 {
		delete(r.entries, key)
	}
	written := r.byIncarnation[entry.Incarnation]
	if i, found := slices.BinarySearchFunc(written, entry.Counter, compareCounter); found {
		r.byIncarnation[entry.Incarnation] = slices.Delete(written, i, i+1)
	}
	if len(r.byIncarnation[entry.Incarnation]) == 0 {
		delete(r.byIncarnation, entry.Incarnation)
	}
	r.bucketDigests[key.bucket()] ^= entry.digest()
	r.size--
}

// find returns the entry with the given dot; nil if the replica does not hold it.
func (r *Replica) find(dot Dot) *Entry {
	written := r.byIncarnation[dot.Incarnation]
	if i, found := slices.BinarySearchFunc(written, dot.Counter, compareCounter); found {
		return written[i]
	}
	return nil
}

// CollectGarbage drops overrides that do not disable their worker and that all members have, and returns their keys. members has the version
// vectors of all other members. Once all members have such an override, none can send the entries that it replaced as if they were new.
// Nothing is dropped while a member has seen an entry that this replica has not, because that entry may have been written concurrently.
func (r *Replica) CollectGarbage(members []VersionVector) (changed []Key) {
	if slices.ContainsFunc(members, func(version VersionVector) bool { return !r.version.Covers(version) }) {
		return nil
	}
	for _, key := range slices.SortedFunc(maps.Keys(r.entries), Key.compare) {
		entries := r.entries[key]
		droppable := key.Kind == KindOverride && len(entries) == 1 && !entries[0].Disabled
		if !droppable {
			continue
		}
		entry := entries[0]
		missing := slices.ContainsFunc(members, func(version VersionVector) bool { return !version.Contains(entry.Dot) })
		if missing || !r.version.Contains(entry.Dot) {
			continue
		}
		r.remove(entry)
		changed = append(changed, key)
	}
	return changed
}
