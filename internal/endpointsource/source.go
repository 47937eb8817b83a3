package endpointsource

import (
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Update is a complete list of workers from a source, or changes to its list.
type Update struct {
	Snapshot  bool   // a complete list, not only the workers that changed
	Revision  uint64 // of the source's store; 0 if the source has no revisions: then its last update is the newest
	Endpoints []engine.Endpoint
}

// source is the state of one source.
type source struct {
	entries      map[string]sourceEntry
	hasList      bool // it has sent a complete list
	connected    bool
	stateSince   time.Duration // when the source was connected, or lost
	revision     uint64
	emptyPending bool          // an empty list that replaces a non-empty one has not been applied yet
	emptySince   time.Duration // when that list arrived
	lastUpdate   time.Duration
}

// sourceEntry is an endpoint as last sent by its source.
type sourceEntry struct {
	engine.Endpoint
	drainKept bool // the source's restored store lists the worker as up, but it stays draining as before the restore
}

// markConnected records an update, and that the source is connected.
func (s *source) markConnected(now time.Duration) {
	if !s.connected {
		s.connected = true
		s.stateSince = now
	}
	s.lastUpdate = now
}

// markLost records that the connection was lost.
func (s *source) markLost(now time.Duration) {
	if s.connected {
		s.connected = false
		s.stateSince = now
	}
}

// applySnapshot applies a complete list. After a gap it contains all missed changes, and workers that are not on it have left. An empty list
// that replaces a non-empty one is applied only after emptyListDelay, since an agent that has not received a list yet sends an empty one.
func (s *source) applySnapshot(now time.Duration, update Update, emptyListDelay time.Duration) {
	if len(update.Endpoints) == 0 && len(s.entries) > 0 && emptyListDelay > 0 {
		if !s.emptyPending {
			s.emptyPending = true
			s.emptySince = now
		}
		return
	}
	s.emptyPending = false
	restored := update.Revision < s.revision
	entries := map[string]sourceEntry{}
	for _, endpoint := range update.Endpoints {
		if endpoint.State != dispatch.Gone {
			entries[endpoint.Name] = s.keepDrained(sourceEntry{Endpoint: endpoint}, restored)
		}
	}
	s.entries = entries
	s.revision = update.Revision
	s.hasList = true
}

// applyChanges applies changes. It ignores late or repeated ones, whose revision is not newer than the last known one.
func (s *source) applyChanges(update Update) {
	if update.Revision > 0 && update.Revision <= s.revision {
		return
	}
	for _, endpoint := range update.Endpoints {
		if endpoint.State == dispatch.Gone {
			delete(s.entries, endpoint.Name)
			continue
		}
		s.entries[endpoint.Name] = sourceEntry{Endpoint: endpoint}
		s.emptyPending = false
	}
	s.revision = max(s.revision, update.Revision)
}

// keepDrained returns an entry of a complete list, as draining if its worker is known to drain and the list is from a restored store. A
// store restored from an older copy lists workers as up that have drained since. The same incarnation of such a worker stays draining until
// a change replaces its entry. Reading the restored list again is not a change: without drainKept the second read would list the worker as
// up.
func (s *source) keepDrained(entry sourceEntry, restored bool) sourceEntry {
	old, known := s.entries[entry.Name]
	if !known || !restored && !old.drainKept {
		return entry
	}
	sameIncarnation := old.StartedAtMillis == entry.StartedAtMillis && old.Address == entry.Address
	if sameIncarnation && old.State != dispatch.Ready && entry.State == dispatch.Ready {
		entry.State = old.State
		entry.drainKept = true
	}
	return entry
}

// applyPendingEmptyList applies an empty list once it has been pending for the delay.
func (s *source) applyPendingEmptyList(now, emptyListDelay time.Duration) {
	if s.emptyPending && now >= s.emptySince+emptyListDelay {
		s.emptyPending = false
		s.entries = map[string]sourceEntry{}
	}
}
