package settings

import (
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchfork/dispatch"
)

// noID is the id of an unknown name.
const noID = -1

// NameTable maps the names that one dispatcher uses to dense ids and back. It contains classes, tenants, zones and kinds
// of machines from the settings, workers from endpoint lists, and open requests. It is not safe for concurrent use.
type NameTable struct {
	classes, tenants, zones, kinds map[string]int

	workerTable
	requestTable
}

// NewNameTable returns an empty NameTable.
func NewNameTable() *NameTable {
	return &NameTable{
		classes:      map[string]int{},
		tenants:      map[string]int{},
		zones:        map[string]int{},
		kinds:        map[string]int{},
		workerTable:  workerTable{workerIDs: map[string]dispatch.WorkerID{}},
		requestTable: requestTable{requestIDs: map[string]dispatch.RequestID{}},
	}
}

// Adopt switches to new settings, which were decoded with fresh, a separate NameTable. Classes and tenants get their ids
// in fresh. Known zones and kinds keep their ids, new ones are appended, and settings is updated to these ids. Adopt
// returns the previous id of each class and tenant, -1 for new ones.
func (t *NameTable) Adopt(fresh *NameTable, settings *dispatch.Settings) (previousClasses, previousTenants []int) {
	previousClasses = previousIDs(t.classes, fresh.ClassNames())
	previousTenants = previousIDs(t.tenants, fresh.TenantNames())
	zones, kinds := addNames(t.zones, namesByID(fresh.zones)), addNames(t.kinds, namesByID(fresh.kinds))
	settings.ZoneCount, settings.KindCount = idCount(t.zones), idCount(t.kinds)
	if settings.Zone >= 0 {
		settings.Zone = zones[settings.Zone]
	}
	settings.Classes = slices.Clone(settings.Classes)
	for i := range settings.Classes {
		if kind := &settings.Classes[i].WorkerKind; *kind >= 0 {
			*kind = kinds[*kind]
		}
	}
	t.classes = fresh.classes
	t.tenants = fresh.tenants
	return previousClasses, previousTenants
}

// ClassID returns the id of a class, or an *UnknownNameError if it is not in the settings.
func (t *NameTable) ClassID(name []byte) (int, error) { return findID(t.classes, "class", name) }

// TenantID returns the id of a tenant, or an *UnknownNameError if it is not in the settings.
func (t *NameTable) TenantID(name []byte) (int, error) { return findID(t.tenants, "tenant", name) }

// ClassNames returns the names of the classes, indexed by id.
func (t *NameTable) ClassNames() []string { return namesByID(t.classes) }

// TenantNames returns the names of the tenants, indexed by id.
func (t *NameTable) TenantNames() []string { return namesByID(t.tenants) }

// HasTenants reports whether the settings define tenants.
func (t *NameTable) HasTenants() bool { return len(t.tenants) > 0 }

// ZoneID returns the id of a zone, or -1 if it is not in the settings: endpoint lists may contain other zones.
func (t *NameTable) ZoneID(name string) int { return idOrNone(t.zones, name) }

// KindID returns the id of a kind of machine, or -1 if it is not in the settings.
func (t *NameTable) KindID(name string) int { return idOrNone(t.kinds, name) }

// UnknownNameError is the error for a name that is not in the settings.
type UnknownNameError struct {
	Kind string // class or tenant
	Name string
}

// Error returns the kind and the name in one line of text.
func (e *UnknownNameError) Error() string {
	return fmt.Sprintf("unknown %s %q: not in the settings", e.Kind, e.Name)
}

func findID(ids map[string]int, kind string, name []byte) (int, error) {
	if id, ok := ids[string(name)]; ok {
		return id, nil
	}
	return 0, &UnknownNameError{Kind: kind, Name: string(name)}
}

func idOrNone(ids map[string]int, name string) int {
	if id, ok := ids[name]; ok {
		return id
	}
	return noID
}

// assignIDs assigns each name its index as id. A repeated name gets its last index.
func assignIDs(ids map[string]int, names []string) {
	for id, name := range names {
		ids[name] = id
	}
}

func namesByID(ids map[string]int) []string {
	names := make([]string, len(ids))
	for name, id := range ids {
		if id < len(names) {
			names[id] = name
		}
	}
	return names
}

func previousIDs(known map[string]int, names []string) []int {
	ids := make([]int, len(names))
	for i, name := range names {
		ids[i] = idOrNone(known, name)
	}
	return ids
}

// addNames assigns ids to unknown names, above the highest id, and returns the ids of all names.
func addNames(known map[string]int, names []string) []int {
	next := idCount(known)
	ids := make([]int, len(names))
	for i, name := range names {
		if _, ok := known[name]; !ok {
			known[name] = next
			next++
		}
		ids[i] = known[name]
	}
	return ids
}

// idCount returns the highest id plus one.
func idCount(ids map[string]int) int {
	count := 0
	for _, id := range ids {
		count = max(count, id+1)
	}
	return count
}

// HashKey returns a hash of a request's key, the same at every dispatcher. It is 0 if there is no key.
func HashKey(key string) uint64 {
	if key == "" {
		return 0
	}
	return max(xxhash.Sum64String(key), 1)
}
