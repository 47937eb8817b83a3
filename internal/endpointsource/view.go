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

// News is what a source tells.
type News struct {
	Whole    bool   // all its workers, not only those that changed
	Revision uint64 // of the source's own store; 0: it has none, and what it tells last is newest
	Entries  []engine.Endpoint
}

// Config is how a View behaves.
type Config struct {
	Sources    int           // in the order of preference
	ChangeOver time.Duration // a source that is lost for so long gives way to the next that has told its list
	ChangeBack time.Duration // and takes over again once it has been well for so long
	EmptyGuard time.Duration // a list that comes back empty in place of a good one counts after so long; 0: at once
}

// View merges what sources tell. It is for one goroutine at a time.
type View struct {
	c       Config
	now     time.Duration
	sources []source
	active  int                        // whose list counts; -1: none has told one yet
	told    map[string]engine.Endpoint // what was told to the store, but for workers that are gone
}

// source is what one source has told.
type source struct {
	entries  map[string]known
	told     bool // its whole list, since it was last lost for good
	well     bool
	since    time.Duration // when it became well, or was lost
	revision uint64
	emptied  time.Duration // when it told an empty list in place of a good one ...
	empty    bool          // ... which is held back
	heard    time.Duration // when it last told anything
}

// known is an entry as its source told it.
type known struct {
	engine.Endpoint
	held bool // it drains by our own memory: a restored store has it back as up
}

// NewView returns a View that knows nobody.
func NewView(c Config) *View {
	v := &View{c: c, active: -1, told: map[string]engine.Endpoint{}}
	for range c.Sources {
		v.sources = append(v.sources, source{entries: map[string]known{}})
	}
	return v
}

// Tell takes a source's news and returns what the store has to be told, if anything.
func (v *View) Tell(now time.Duration, from int, n News) []engine.EndpointList {
	v.advance(now)
	s := &v.sources[from]
	if !s.well {
		s.well, s.since = true, v.now
	}
	s.heard = v.now
	if n.Whole {
		s.whole(v.now, n, v.c.EmptyGuard)
	} else {
		s.change(n)
	}
	return v.settle()
}

// Lost says that a source has fallen silent or broken off. What it told last stays.
func (v *View) Lost(now time.Duration, from int) []engine.EndpointList {
	v.advance(now)
	if s := &v.sources[from]; s.well {
		s.well, s.since = false, v.now
	}
	return v.settle()
}

// Tick does what time has made due. Next says when that is.
func (v *View) Tick(now time.Duration) []engine.EndpointList {
	v.advance(now)
	return v.settle()
}

// Next is when Tick is due; false: never, without news.
func (v *View) Next() (at time.Duration, ok bool) {
	due := func(t time.Duration) {
		if t > v.now && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for i := range v.sources {
		s := &v.sources[i]
		if s.empty {
			due(s.emptied + v.c.EmptyGuard)
		}
		if s.well {
			due(s.since + v.c.ChangeBack)
		} else {
			due(s.since + v.c.ChangeOver)
		}
	}
	return at, ok
}

// Active is whose list counts, and how old its last word is; -1: nobody's.
func (v *View) Active() (source int, age time.Duration) {
	if v.active < 0 {
		return -1, 0
	}
	return v.active, v.now - v.sources[v.active].heard
}

// advance goes on to a moment; a clock that goes back stands still here.
func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

// whole takes a whole list: after a gap it is what was missed. Who is not on it has left.
func (s *source) whole(now time.Duration, n News, guard time.Duration) {
	if len(n.Entries) == 0 && len(s.entries) > 0 && guard > 0 {
		if !s.empty {
			s.empty, s.emptied = true, now // an agent that has been told nothing itself has an empty list
		}
		return
	}
	s.empty = false
	fresh := map[string]known{}
	for _, e := range n.Entries {
		if e.State != dispatch.Gone {
			fresh[e.Name] = s.newer(known{Endpoint: e}, n.Revision < s.revision)
		}
	}
	s.entries, s.revision, s.told = fresh, n.Revision, true
}

// change takes changes. One that is no newer than what is known is an old word that came late or twice.
func (s *source) change(n News) {
	if n.Revision > 0 && n.Revision <= s.revision {
		return
	}
	for _, e := range n.Entries {
		if e.State == dispatch.Gone {
			delete(s.entries, e.Name)
			continue
		}
		s.entries[e.Name] = known{Endpoint: e}
		s.empty = false
	}
	s.revision = max(s.revision, n.Revision)
}

// newer decides between an entry and what is known of its worker. A store restored from an older copy brings back workers
// that have drained since: the same start of a worker stays drained until a change says otherwise. Reading the restored list
// once more is no change: without held the second reading would bring the worker back.
func (s *source) newer(e known, restored bool) known {
	old, ok := s.entries[e.Name]
	if ok && (restored || old.held) && old.State != dispatch.Ready && e.State == dispatch.Ready && old.StartedAtMillis == e.StartedAtMillis && old.Address == e.Address {
		e.State, e.held = old.State, true
	}
	return e
}

// settle chooses whose list counts and returns what differs from what the store was told.
func (v *View) settle() []engine.EndpointList {
	for i := range v.sources {
		if s := &v.sources[i]; s.empty && v.now >= s.emptied+v.c.EmptyGuard {
			s.empty, s.entries = false, map[string]known{}
		}
	}
	v.choose()
	if v.active < 0 {
		return nil
	}
	want := v.sources[v.active].entries
	l := engine.EndpointList{}
	for name, old := range v.told {
		if _, ok := want[name]; !ok {
			old.State = dispatch.Gone
			l.Endpoints = append(l.Endpoints, old)
			delete(v.told, name)
		}
	}
	for name, e := range want {
		if old, ok := v.told[name]; !ok || old != e.Endpoint {
			l.Endpoints = append(l.Endpoints, e.Endpoint)
			v.told[name] = e.Endpoint
		}
	}
	if len(l.Endpoints) == 0 {
		return nil
	}
	// In one order whatever the maps': the same news gives the same list.
	slices.SortFunc(l.Endpoints, func(a, b engine.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return []engine.EndpointList{l}
}

// choose changes over and back. The first source that has told its list and is well, or not lost for long, counts; where
// all are lost the one that counts goes on to.
func (v *View) choose() {
	for i := range v.sources {
		s := &v.sources[i]
		if !s.told || !s.well && v.now >= s.since+v.c.ChangeOver {
			continue
		}
		if v.active >= 0 && i < v.active && (!s.well || v.now < s.since+v.c.ChangeBack) {
			continue // it has to be well for a while before it takes over again
		}
		v.active = i
		return
	}
}

// Workers are the workers as the store was told, by name.
func (v *View) Workers() map[string]engine.Endpoint { return maps.Clone(v.told) }
