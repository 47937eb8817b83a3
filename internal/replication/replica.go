package replication

import (
	"maps"
	"slices"

	"birchfork/internal/failpoint"
)

// Replica is one member's copy of the replicated state.
type Replica struct {
	incarnation   string        // in the dots of its own writes
	version       VersionVector // what it has seen, including entries that it no longer holds
	entries       map[Key][]*Entry
	byIncarnation map[string][]*Entry // the same entries, by counter
	bucketDigests [bucketCount]uint64 // of their dots
	size          int                 // number of entries
}

// New returns an empty replica. The incarnation must never have been used before.
func New(incarnation string) *Replica {
	return &Replica{
		incarnation:   incarnation,
		version:       VersionVector{},
		entries:       map[Key][]*Entry{},
		byIncarnation: map[string][]*Entry{},
	}
}

// Len returns how many entries the replica holds.
func (r *Replica) Len() int { return r.size }

// Version returns what the replica has seen. The caller may change it.
func (r *Replica) Version() VersionVector { return maps.Clone(r.version) }

// Get returns the concurrent entries of a key, in the order of their dots.
func (r *Replica) Get(kind EntryKind, name string) (entries []Entry) {
	for _, entry := range r.entries[Key{Kind: kind, Name: name}] {
		entries = append(entries, *entry)
	}
	return entries
}

// Names returns the names of all keys of a kind that have an entry, sorted.
func (r *Replica) Names(kind EntryKind) (names []string) {
	for key := range r.entries {
		if key.Kind == kind {
			names = append(names, key.Name)
		}
	}
	slices.Sort(names)
	return names
}

// Write adds an entry that replaces all of its key here, and returns it with its dot and causal context. It fails with ErrFull, and
// where the entry is not valid.
func (r *Replica) Write(entry Entry) (Entry, error) {
	replaced := r.entries[entry.key()]
	if r.size >= MaxOverrides && len(replaced) == 0 { // a replacement is accepted: a worker can always be enabled again
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

// insert adds an entry and removes those that it replaces. It returns false if the entry is held already, or was replaced.
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

// remove removes an entry that is held.
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

// find returns the entry of a dot; nil if it is not held.
func (r *Replica) find(dot Dot) *Entry {
	written := r.byIncarnation[dot.Incarnation]
	if i, found := slices.BinarySearchFunc(written, dot.Counter, compareCounter); found {
		return written[i]
	}
	return nil
}

// CollectGarbage drops overrides that disable nothing and that all members have, given what each other member has seen, and returns their
// keys. After that no member can send the entries that they replaced as if these were new. It drops nothing while a member has seen
// what this replica has not: that may be an entry that was written concurrently.
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
