// Package endpoints tells the other members of a group how far workers have come by our own list, and leaves out those that others
// know to have come further. Nothing is kept over a restart. Roster decides, and has no I/O, clock or goroutine; Teller carries.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is how far a worker's start has come.
type State int

// The states, in their order.
const (
	Up State = iota
	Draining
	Gone
)

// Status is how far a worker has come, as discovery has told some member. Of two on one worker the further one holds: a later start,
// or of one start the later state. So facts become one in any order.
type Status struct {
	Name      string `json:"name"`
	StartedAt int64  `json:"start,omitempty"` // Unix time in milliseconds, by discovery's clock; 0: long ago
	State     State  `json:"state,omitempty"`
}

// supersedes tells whether a fact holds against another one on the same worker.
func (s Status) supersedes(other Status) bool {
	return cmp.Or(cmp.Compare(s.StartedAt, other.StartedAt), cmp.Compare(s.State, other.State)) > 0
}

// Bounds on facts.
const (
	maxNameBytes      = 256    // bytes
	maxRemoteStatuses = 20_000 // of others, that our list does not have
)

// Times of facts.
const (
	// localTrustDelay is how long our own watch has to have been alive after a fact came until our list holds against it: discovery's news
	// counts as told 6 s after it is there, and a watch that has fallen silent is seen after 5 s.
	localTrustDelay = 6 * time.Second
	// remoteLifetime is how long a fact is known after it came, so that it is not told again and again.
	remoteLifetime = 15 * time.Minute
)

// Table is what one member knows. Times are on its own monotonic clock.
type Table struct {
	local      map[string]Status
	localFresh bool                    // discovery has told it since our start
	remote     map[string]remoteStatus // further than our own
}

type remoteStatus struct {
	Status
	receivedAt time.Duration
	overruled  bool // our list has held against it since
}

// NewTable returns a Roster that knows nothing.
func NewTable() *Table { return &Table{local: map[string]Status{}, remote: map[string]remoteStatus{}} }

// UpdateLocal takes our own list over; fresh tells that our discovery has told it, and not a list from before our start. It returns what
// others are to hear, sorted: what has come further since the fresh list before, and that nobody told us.
func (t *Table) UpdateLocal(statuses []Status, fresh bool) (updates []Status) {
	previous := t.local
	t.local = make(map[string]Status, len(statuses))
	for _, status := range statuses {
		t.local[status.Name] = status
		old, known := previous[status.Name]
		reported, isReported := t.remote[status.Name]
		if t.localFresh && (!known || status.supersedes(old)) && !(isReported && !status.supersedes(reported.Status)) {
			updates = append(updates, status)
		}
		if isReported && !reported.supersedes(status) {
			delete(t.remote, status.Name)
		}
	}
	t.localFresh = fresh
	slices.SortFunc(updates, compareNames)
	return updates
}

// Local are the facts of our own list, for one that starts, sorted; false where our discovery has told nothing yet.
func (t *Table) Local() ([]Status, bool) {
	return slices.SortedFunc(maps.Values(t.local), compareNames), t.localFresh
}

func compareNames(a, b Status) int { return cmp.Compare(a.Name, b.Name) }

// Merge takes facts of another member over and returns those that were news, for others again. What makes no sense, and what there
// is no room for, is counted in refused.
func (t *Table) Merge(now time.Duration, statuses []Status) (updates []Status, rejected int) {
	for _, status := range statuses {
		if status.Name == "" || len(status.Name) > maxNameBytes || status.StartedAt < 0 || status.State < Up || status.State > Gone {
			rejected++
			continue
		}
		old, known := t.remote[status.Name]
		if known && !status.supersedes(old.Status) || !status.supersedes(t.local[status.Name]) {
			continue
		}
		if !known && len(t.remote) >= maxRemoteStatuses {
			rejected++
			continue
		}
		t.remote[status.Name] = remoteStatus{Status: status, receivedAt: now}
		updates = append(updates, status)
	}
	return updates, rejected
}

// Excluded are the workers to leave out now, sorted: those of our own list that others know to have come further. alive is how long our
// own watch has told its list without a break; below 0: it does not.
func (t *Table) Excluded(now, watchUptime time.Duration) (names []string) {
	for name, reported := range t.remote {
		if !reported.overruled && watchUptime >= 0 && min(watchUptime, now-reported.receivedAt) >= localTrustDelay {
			reported.overruled = true
			t.remote[name] = reported
		}
		if now-reported.receivedAt > remoteLifetime && watchUptime >= 0 {
			delete(t.remote, name)
		}
		if local, listed := t.local[name]; listed && !reported.overruled && reported.supersedes(local) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
