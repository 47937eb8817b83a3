package endpointsource

import (
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Update is a list, or changes of one, from a source.
type Update struct {
	Snapshot  bool   // all workers of the source, not only those that changed
	Revision  uint64 // of the source's store; 0: the source has none, and its last update is the newest
	Endpoints []engine.Endpoint
}

// source is the state of one source.
type source struct {
	entries      map[string]sourceEntry
	hasList      bool // it has sent a whole list
	connected    bool
	stateSince   time.Duration // when it was connected, or lost
	revision     uint64
	emptyPending bool          // an empty list that came in place of a good one is not yet applied
	emptySince   time.Duration // when that list came
	lastUpdate   time.Duration
}

// sourceEntry is an endpoint as its source last sent it.
type sourceEntry struct {
	engine.Endpoint
	drainKept bool // the source's store was restored and has it back as up; it drains by what was known before
}

// markConnected records an update at a moment.
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

// applySnapshot applies a whole list: after a gap it holds what was missed. A worker that is not on it has left. An empty list in place of
// a good one is applied after emptyListDelay only: an agent that has not received a list yet itself sends an empty one.
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

// applyChanges applies changes. Those that are no newer than what is known came late or twice and are ignored.
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

// keepDrained returns an entry of a snapshot, draining if its worker is known to drain and the snapshot is of a restored store. A store
// restored from an older copy brings back workers that have drained since: the same incarnation of a worker stays drained until a change
// says otherwise. Reading the restored list again is no change: without drainKept the second reading would bring the worker back.
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

// applyPendingEmptyList applies an empty list that has lasted for the delay.
func (s *source) applyPendingEmptyList(now, emptyListDelay time.Duration) {
	if s.emptyPending && now >= s.emptySince+emptyListDelay {
		s.emptyPending = false
		s.entries = map[string]sourceEntry{}
	}
}
