// Package endpoints shares the states of workers, as reported by this member's discovery, with the other members of a group. It excludes
// workers for which other members have reported a later state, such as draining. Nothing is persisted. Table decides without I/O, clock
// or goroutine; Broadcaster exchanges the statuses.
package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state that an incarnation of a worker has reached.
type State int

// The states, in the order in which a worker passes through them.
const (
	Up State = iota
	Draining
	Gone
)

// Status is a worker's state as reported by a member's discovery. Of two statuses of a worker, the one with the later start wins; if the
// starts are equal, the later state wins. So statuses can be merged in any order with the same result.
type Status struct {
	Name      string `json:"name"`
	StartedAt int64  `json:"start,omitempty"` // Unix time in milliseconds by discovery's clock; 0: long ago
	State     State  `json:"state,omitempty"`
}

// supersedes reports whether s wins over another status of the same worker.
func (s Status) supersedes(other Status) bool {
	return cmp.Or(cmp.Compare(s.StartedAt, other.StartedAt), cmp.Compare(s.State, other.State)) > 0
}

// isValid reports whether a status from another member has a name, state and start within their limits.
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

// Durations of a Table.
const (
	// localTrustDelay is how long this member's watch must have reported, counted from the arrival of a remote status, before the local
	// list overrules that status: discovery reports a change within 6 s, and a silent watch is detected after 5 s.
	localTrustDelay = 6 * time.Second
	// remoteStatusTTL is how long a remote status is stored, so that it is not forwarded repeatedly.
	remoteStatusTTL = 15 * time.Minute
)

// Table holds the statuses that are known to one member. It is not safe for concurrent use. All times are relative to the same moment,
// which the caller chooses.
type Table struct {
	local      map[string]Status
	localFresh bool                    // discovery has reported since the start
	remote     map[string]remoteStatus // by worker: statuses that superseded the local status on arrival
}

// remoteStatus is a status that another member has reported.
type remoteStatus struct {
	Status
	receivedAt time.Duration
	overruled  bool // the local list has not confirmed it within localTrustDelay and is used instead
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{local: map[string]Status{}, remote: map[string]remoteStatus{}} }

// UpdateLocal replaces the local statuses. fresh means that discovery has reported them since the start; otherwise they are from an
// earlier list. UpdateLocal returns the updates for other members, sorted by name: statuses that supersede the previous fresh ones and
// that no other member has reported.
func (t *Table) UpdateLocal(statuses []Status, fresh bool) (updates []Status) {
	previous := t.local
	t.local = make(map[string]Status, len(statuses))
	for _, status := range statuses {
		t.local[status.Name] = status
		old, known := previous[status.Name]
		reported, isReported := t.remote[status.Name]
		isNew := !known || status.supersedes(old)
		isReportedAlready := isReported && !status.supersedes(reported.Status)
		if t.localFresh && isNew && !isReportedAlready {
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

// Local returns the local statuses, sorted by name, for a member that has just started. fresh has the same meaning as in UpdateLocal.
func (t *Table) Local() (statuses []Status, fresh bool) {
	return slices.SortedFunc(maps.Values(t.local), compareNames), t.localFresh
}

func compareNames(a, b Status) int { return cmp.Compare(a.Name, b.Name) }

// Merge merges statuses that were received from another member at the time now. It returns the new ones, which are to be forwarded, and
// the number of statuses that are invalid or exceed maxRemoteStatuses.
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

// Excluded returns the workers to exclude at the time now, sorted by name: workers whose local status is superseded by a remote status
// that the local list has not overruled. watchUptime is how long the local watch has reported without interruption; a negative value means
// that it does not report. While it reports, Excluded also deletes remote statuses that are older than remoteStatusTTL.
func (t *Table) Excluded(now, watchUptime time.Duration) (names []string) {
	watching := watchUptime >= 0
	for name, reported := range t.remote {
		age := now - reported.receivedAt
		if watching && !reported.overruled && min(watchUptime, age) >= localTrustDelay {
			reported.overruled = true
			t.remote[name] = reported
		}
		if watching && age > remoteStatusTTL {
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
