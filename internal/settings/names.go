package settings

import (
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchfork/dispatch"
)

// Names turns the names that one dispatcher meets into dense ids, and back.
type Names struct {
	classes, tenants, zones, kinds map[string]int

	workers     map[string]dispatch.WorkerID
	workerNames []string
	workerTags  []uint64 // hashes of the names: the same at every dispatcher

	requests map[string]dispatch.RequestID
	slots    []slot
	free     []dispatch.RequestID
}

// slot is the state of one request id. An id is free for the next request once its request has had its final answer
// and none of its attempts is out.
type slot struct {
	name  string
	out   int // attempts
	final bool
}

// NewNames returns Names that know none.
func NewNames() *Names {
	return &Names{
		classes: map[string]int{}, tenants: map[string]int{}, zones: map[string]int{}, kinds: map[string]int{},
		workers: map[string]dispatch.WorkerID{}, requests: map[string]dispatch.RequestID{},
	}
}

// Adopt takes over the classes and tenants of other settings, decoded with fresh names, and adds their zones and kinds to
// those that are known: these keep their ids, in s too. It returns the old id of each class and tenant, -1 for new ones.
func (n *Names) Adopt(fresh *Names, s *dispatch.Settings) (classes, tenants []int) {
	classes, tenants = carry(n.classes, fresh.Classes()), carry(n.tenants, fresh.Tenants())
	var zones, kinds []int
	zones, s.Zones = add(n.zones, byID(fresh.zones))
	kinds, s.Kinds = add(n.kinds, byID(fresh.kinds))
	if s.Zone >= 0 {
		s.Zone = zones[s.Zone]
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		if k := &s.Classes[i].Kind; *k >= 0 {
			*k = kinds[*k]
		}
	}
	n.classes, n.tenants = fresh.classes, fresh.tenants
	return classes, tenants
}

func carry(old map[string]int, names []string) []int {
	from := make([]int, len(names))
	for i, name := range names {
		from[i] = idOr(old, name)
	}
	return from
}

// add adds names to those that have ids and returns the ids of all, and how many there are up to the highest.
func add(m map[string]int, names []string) (ids []int, count int) {
	for _, id := range m {
		count = max(count, id+1)
	}
	for _, name := range names {
		if _, ok := m[name]; !ok {
			m[name] = count
			count++
		}
		ids = append(ids, m[name])
	}
	return ids, count
}

// Class is the id of a class, or an error where the settings lack it.
func (n *Names) Class(v []byte) (int, error) { return lookUp(n.classes, "class", v) }

// Tenant is the id of a tenant, or an error where the settings lack it.
func (n *Names) Tenant(v []byte) (int, error) { return lookUp(n.tenants, "tenant", v) }

// Classes are the names of the classes by their ids.
func (n *Names) Classes() []string { return byID(n.classes) }

// Tenants are the names of the tenants by their ids.
func (n *Names) Tenants() []string { return byID(n.tenants) }

func byID(m map[string]int) []string {
	out := make([]string, len(m))
	for name, id := range m {
		if id < len(out) {
			out[id] = name
		}
	}
	return out
}

// HasTenants tells whether the settings name tenants.
func (n *Names) HasTenants() bool { return len(n.tenants) > 0 }

// Zone is the id of a zone, or -1 where the settings lack it: later sites may bring new ones.
func (n *Names) Zone(v string) int { return idOr(n.zones, v) }

// Kind is the id of a kind of machine, or -1.
func (n *Names) Kind(v string) int { return idOr(n.kinds, v) }

func lookUp(m map[string]int, what string, v []byte) (int, error) {
	if id, ok := m[string(v)]; ok {
		return id, nil
	}
	return 0, fmt.Errorf("%s: %q is not in the settings", what, v)
}

func idOr(m map[string]int, v string) int {
	if id, ok := m[v]; ok {
		return id
	}
	return -1
}

// Worker is the id of a worker, a new one for a new name.
func (n *Names) Worker(v string) dispatch.WorkerID {
	id, ok := n.workers[v]
	if !ok {
		id = dispatch.WorkerID(len(n.workerNames))
		n.workers[v] = id
		n.workerNames = append(n.workerNames, v)
		h := fnv.New32a()
		h.Write([]byte(v))
		n.workerTags = append(n.workerTags, uint64(h.Sum32()))
	}
	return id
}

// FindWorker is the id of a worker whose name has been met.
func (n *Names) FindWorker(v string) (dispatch.WorkerID, bool) {
	id, ok := n.workers[v]
	return id, ok
}

// KnownWorker is Worker without an allocation for names that are known.
func (n *Names) KnownWorker(v []byte) dispatch.WorkerID {
	if id, ok := n.workers[string(v)]; ok {
		return id
	}
	return n.Worker(string(v))
}

// WorkerName is the name behind an id.
func (n *Names) WorkerName(id dispatch.WorkerID) string { return n.workerNames[id] }

// WorkerTag is a number for a worker that is the same at every dispatcher.
func (n *Names) WorkerTag(id dispatch.WorkerID) uint64 { return n.workerTags[id] }

// Key is a number for what a request is about: the same at every dispatcher, and 0 for none.
func Key(v string) uint64 {
	if v == "" {
		return 0
	}
	return max(xxhash.Sum64String(v), 1)
}

// Open gives a request an id.
func (n *Names) Open(v []byte) (dispatch.RequestID, error) {
	if _, ok := n.requests[string(v)]; ok {
		return 0, fmt.Errorf("request %q is open already", v)
	}
	s := slot{name: string(v)}
	var id dispatch.RequestID
	if k := len(n.free); k > 0 {
		id = n.free[k-1]
		n.free = n.free[:k-1]
		n.slots[id] = s
	} else {
		id = dispatch.RequestID(len(n.slots))
		n.slots = append(n.slots, s)
	}
	n.requests[s.name] = id
	return id, nil
}

// Request is the id of an open request.
func (n *Names) Request(v []byte) (dispatch.RequestID, bool) {
	id, ok := n.requests[string(v)]
	return id, ok
}

// RequestName is the name behind an id; it is empty for an id that is free.
func (n *Names) RequestName(id dispatch.RequestID) string { return n.slots[id].name }

// NoteFinal says that a request has had its final answer.
func (n *Names) NoteFinal(id dispatch.RequestID) {
	n.slots[id].final = true
	n.release(id)
}

// NoteSend says that an attempt went out.
func (n *Names) NoteSend(id dispatch.RequestID) { n.slots[id].out++ }

// NoteEnd says that an attempt has ended, and whether its request has.
func (n *Names) NoteEnd(id dispatch.RequestID, final bool) {
	s := &n.slots[id]
	if s.out > 0 {
		s.out--
	}
	s.final = s.final || final
	n.release(id)
}

func (n *Names) release(id dispatch.RequestID) {
	s := &n.slots[id]
	if s.final && s.out == 0 && s.name != "" {
		delete(n.requests, s.name)
		*s = slot{}
		n.free = append(n.free, id)
	}
}
