// Package endpointsource says who the workers are. Sources tell whole lists and changes in their own words; a View merges
// them into one list, keeps order, rebuilds after a gap, and never takes an old word for news. It does no I/O, has no
// clock and starts no goroutine; Keeper gives it both.
package endpointsource

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Update is what a source tells.
type Update struct {
	Snapshot  bool   // all its workers, not only those that changed
	Revision  uint64 // of the source's own store; 0: it has none, and what it tells last is newest
	Endpoints []engine.Endpoint
}

// Config is how a View behaves.
type Config struct {
	SourceCount    int           // in the order of preference
	FailoverDelay  time.Duration // a source that is lost for so long gives way to the next that has told its list
	FailbackDelay  time.Duration // and takes over again once it has been well for so long
	EmptyListDelay time.Duration // a list that comes back empty in place of a good one counts after so long; 0: at once
}

// View merges what sources tell. It is for one goroutine at a time.
type View struct {
	config    Config
	now       time.Duration
	sources   []source
	active    int                        // whose list counts; -1: none has told one yet
	published map[string]engine.Endpoint // what was told to the store, but for workers that are gone
}

// source is what one source has told.
type source struct {
	entries      map[string]sourceEntry
	hasList      bool // its whole list, since it was last lost for good
	connected    bool
	stateSince   time.Duration // when it became well, or was lost
	revision     uint64
	emptySince   time.Duration // when it told an empty list in place of a good one ...
	emptyPending bool          // ... which is held back
	lastUpdate   time.Duration // when it last told anything
}

// sourceEntry is an entry as its source told it.
type sourceEntry struct {
	engine.Endpoint
	drainKept bool // it drains by our own memory: a restored store has it back as up
}

// NewView returns a View that knows nobody.
func NewView(c Config) *View {
	v := &View{config: c, active: -1, published: map[string]engine.Endpoint{}}
	for range c.SourceCount {
		v.sources = append(v.sources, source{entries: map[string]sourceEntry{}})
	}
	return v
}

// Update takes a source's news and returns what the store has to be told, if anything.
func (v *View) Update(now time.Duration, from int, update Update) []engine.EndpointList {
	v.advance(now)
	s := &v.sources[from]
	if !s.connected {
		s.connected, s.stateSince = true, v.now
	}
	s.lastUpdate = v.now
	if update.Snapshot {
		s.applySnapshot(v.now, update, v.config.EmptyListDelay)
	} else {
		s.applyChanges(update)
	}
	return v.reconcile()
}

// MarkLost says that a source has fallen silent or broken off. What it told last stays.
func (v *View) MarkLost(now time.Duration, from int) []engine.EndpointList {
	v.advance(now)
	if s := &v.sources[from]; s.connected {
		s.connected, s.stateSince = false, v.now
	}
	return v.reconcile()
}

// Tick does what time has made due. Next says when that is.
func (v *View) Tick(now time.Duration) []engine.EndpointList {
	v.advance(now)
	return v.reconcile()
}

// NextTick is when Tick is due; false: never, without news.
func (v *View) NextTick() (at time.Duration, ok bool) {
	due := func(t time.Duration) {
		if t > v.now && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for i := range v.sources {
		s := &v.sources[i]
		if s.emptyPending {
			due(s.emptySince + v.config.EmptyListDelay)
		}
		if s.connected {
			due(s.stateSince + v.config.FailbackDelay)
		} else {
			due(s.stateSince + v.config.FailoverDelay)
		}
	}
	return at, ok
}

// ActiveSource is whose list counts, and how old its last word is; -1: nobody's.
func (v *View) ActiveSource() (source int, age time.Duration) {
	if v.active < 0 {
		return -1, 0
	}
	return v.active, v.now - v.sources[v.active].lastUpdate
}

// advance goes on to a moment; a clock that goes back stands still here.
func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

// applySnapshot takes a whole list: after a gap it is what was missed. Who is not on it has left.
func (s *source) applySnapshot(now time.Duration, update Update, guard time.Duration) {
	if len(update.Endpoints) == 0 && len(s.entries) > 0 && guard > 0 {
		if !s.emptyPending {
			s.emptyPending, s.emptySince = true, now // an agent that has been told nothing itself has an empty list
		}
		return
	}
	s.emptyPending = false
	fresh := map[string]sourceEntry{}
	for _, e := range update.Endpoints {
		if e.State != dispatch.Gone {
			fresh[e.Name] = s.keepDrained(sourceEntry{Endpoint: e}, update.Revision < s.revision)
		}
	}
	s.entries, s.revision, s.hasList = fresh, update.Revision, true
}

// applyChanges takes changes. One that is no newer than what is known is an old word that came late or twice.
func (s *source) applyChanges(update Update) {
	if update.Revision > 0 && update.Revision <= s.revision {
		return
	}
	for _, e := range update.Endpoints {
		if e.State == dispatch.Gone {
			delete(s.entries, e.Name)
			continue
		}
		s.entries[e.Name] = sourceEntry{Endpoint: e}
		s.emptyPending = false
	}
	s.revision = max(s.revision, update.Revision)
}

// keepDrained decides between an entry and what is known of its worker. A store restored from an older copy brings back workers
// that have drained since: the same start of a worker stays drained until a change says otherwise. Reading the restored list
// once more is no change: without held the second reading would bring the worker back.
func (s *source) keepDrained(e sourceEntry, restored bool) sourceEntry {
	old, ok := s.entries[e.Name]
	if ok && (restored || old.drainKept) && old.State != dispatch.Ready && e.State == dispatch.Ready && old.StartedAtMillis == e.StartedAtMillis && old.Address == e.Address {
		e.State, e.drainKept = old.State, true
	}
	return e
}

// reconcile chooses whose list counts and returns what differs from what the store was told.
func (v *View) reconcile() []engine.EndpointList {
	for i := range v.sources {
		if s := &v.sources[i]; s.emptyPending && v.now >= s.emptySince+v.config.EmptyListDelay {
			s.emptyPending, s.entries = false, map[string]sourceEntry{}
		}
	}
	v.chooseActive()
	if v.active < 0 {
		return nil
	}
	want := v.sources[v.active].entries
	l := engine.EndpointList{}
	for name, old := range v.published {
		if _, ok := want[name]; !ok {
			old.State = dispatch.Gone
			l.Endpoints = append(l.Endpoints, old)
			delete(v.published, name)
		}
	}
	for name, e := range want {
		if old, ok := v.published[name]; !ok || old != e.Endpoint {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
			v.published[name] = e.Endpoint
		}
	}
	if len(l.Endpoints) == 0 {
		return nil
	}
	// In one order whatever the maps': the same news gives the same list.
	slices.SortFunc(l.Endpoints, func(a, b engine.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return []engine.EndpointList{l}
}

// chooseActive changes over and back. The first source that has told its list and is well, or not lost for long, counts; where
// all are lost the one that counts goes on to.
func (v *View) chooseActive() {
	for i := range v.sources {
		s := &v.sources[i]
		if !s.hasList || !s.connected && v.now >= s.stateSince+v.config.FailoverDelay {
			continue
		}
		if v.active >= 0 && i < v.active && (!s.connected || v.now < s.stateSince+v.config.FailbackDelay) {
			continue // it has to be well for a while before it takes over again
		}
		v.active = i
		return
	}
}

// Endpoints are the workers as the store was told, by name.
func (v *View) Endpoints() map[string]engine.Endpoint { return maps.Clone(v.published) }
