// Package endpoints tells the other members of a group how far workers have come by this member's own discovery, and excludes
// workers that others know to have come further, such as one that drains. Nothing is persisted. Table decides, without I/O, clock or
// goroutine; Broadcaster exchanges the statuses.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is how far an incarnation of a worker has come.
type State int

// The states, in the order in which a worker passes through them.
const (
	Up State = iota
	Draining
	Gone
)

// Status is how far a worker has come, as some member's discovery has reported it. Of two statuses of one worker that of the later
// start wins, and of one start the later state: so statuses merge to the same in any order.
type Status struct {
	Name      string `json:"name"`
	StartedAt int64  `json:"start,omitempty"` // Unix time in milliseconds, by discovery's clock; 0: long ago
	State     State  `json:"state,omitempty"`
}

// supersedes reports whether s wins over another status of the same worker.
func (s Status) supersedes(other Status) bool {
	return cmp.Or(cmp.Compare(s.StartedAt, other.StartedAt), cmp.Compare(s.State, other.State)) > 0
}

// isValid reports whether a status that another member has sent makes sense.
func (s Status) isValid() bool {
	validName := s.Name != "" && len(s.Name) <= maxNameBytes
	validState := s.State >= Up && s.State <= Gone
	return validName && validState && s.StartedAt >= 0
}

// Limits of a Table.
const (
	maxNameBytes      = 256
	maxRemoteStatuses = 20_000
)

// Times of a Table.
const (
	// localTrustDelay is how long the own watch has to have been alive after a remote status came until the own list overrules that:
	// discovery reports a change within 6 s, and a watch that has fallen silent is noticed after 5 s.
	localTrustDelay = 6 * time.Second
	// remoteLifetime is how long a remote status is remembered, so that it is not broadcast again and again.
	remoteLifetime = 15 * time.Minute
)

// Table holds the statuses that one member knows. It is not safe for concurrent use. Times are since any fixed moment.
type Table struct {
	local      map[string]Status
	localFresh bool                    // discovery has reported since the start
	remote     map[string]remoteStatus // that supersede the local ones, or did when they came
}

// remoteStatus is a status that another member has reported.
type remoteStatus struct {
	Status
	receivedAt time.Duration
	overruled  bool // the own list stands against it
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{local: map[string]Status{}, remote: map[string]remoteStatus{}} }

// UpdateLocal replaces the local statuses. fresh says that discovery has reported them, so that they are not of a list from before
// the start. It returns the updates for other members, by name: what supersedes the fresh statuses before, and no other member has
// reported.
func (t *Table) UpdateLocal(statuses []Status, fresh bool) (updates []Status) {
	previous := t.local
	t.local = make(map[string]Status, len(statuses))
	for _, status := range statuses {
		t.local[status.Name] = status
		old, known := previous[status.Name]
		reported, isReported := t.remote[status.Name]
		isNew := !known || status.supersedes(old)
		othersKnow := isReported && !status.supersedes(reported.Status)
		if t.localFresh && isNew && !othersKnow {
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

// Local returns the local statuses by name, for a member that starts; fresh as in UpdateLocal.
func (t *Table) Local() (statuses []Status, fresh bool) {
	return slices.SortedFunc(maps.Values(t.local), compareNames), t.localFresh
}

func compareNames(a, b Status) int { return cmp.Compare(a.Name, b.Name) }

// Merge takes over statuses that another member has sent. It returns those that were new here, to be broadcast further, and counts
// those that are invalid or for which there is no space.
func (t *Table) Merge(now time.Duration, statuses []Status) (updates []Status, rejected int) {
	for _, status := range statuses {
		if !status.isValid() {
			rejected++
			continue
		}
		old, known := t.remote[status.Name]
		knownAlready := known && !status.supersedes(old.Status)
		if knownAlready || !status.supersedes(t.local[status.Name]) {
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

// Excluded returns the workers to exclude now, by name: those of the own list that others know to have come further. watchUptime is
// how long the own watch has reported without a break; below 0: it does not. Excluded also forgets what is older than remoteLifetime.
func (t *Table) Excluded(now, watchUptime time.Duration) (names []string) {
	watching := watchUptime >= 0
	for name, reported := range t.remote {
		age := now - reported.receivedAt
		if watching && !reported.overruled && min(watchUptime, age) >= localTrustDelay {
			reported.overruled = true
			t.remote[name] = reported
		}
		if watching && age > remoteLifetime {
			delete(t.remote, name)
		}
		local, listed := t.local[name]
		if listed && !reported.overruled && reported.supersedes(local) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
