// Package endpointsource merges lists of workers from several sources. A source sends complete lists and changes; a View merges them into one
// list, fails over between sources, rebuilds the list after a gap, and ignores outdated updates. A View does no I/O, has no clock and starts
// no goroutine. Server provides the clock and publishes the list over HTTP.
package endpointsource

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// noSource is the value of View.active if there is no active source.
const noSource = -1

// Config holds the settings of a View.
type Config struct {
	SourceCount    int           // sources are numbered by preference, from 0 for the most preferred one
	FailoverDelay  time.Duration // once a source has been lost for this long, the next one that has sent its list becomes active
	FailbackDelay  time.Duration // a preferred source becomes active again once it has been connected for this long
	EmptyListDelay time.Duration // an empty list that replaces a non-empty one is applied after this time; 0 means immediately
}

// View merges the lists of several sources. Times are durations since an origin that the caller chooses. A View is not safe for concurrent
// use.
type View struct {
	config    Config
	now       time.Duration
	sources   []source
	active    int                        // the source whose list is published; noSource if none has sent one yet
	published map[string]engine.Endpoint // without workers that have left
}

// NewView returns a View without endpoints.
func NewView(c Config) *View {
	v := &View{config: c, active: noSource, published: map[string]engine.Endpoint{}}
	for range c.SourceCount {
		v.sources = append(v.sources, source{entries: map[string]sourceEntry{}})
	}
	return v
}

// Update applies an update of the source with the given index and returns the changes of the published list, if any.
func (v *View) Update(now time.Duration, index int, update Update) []engine.EndpointList {
	v.advance(now)
	s := &v.sources[index]
	s.markConnected(v.now)
	if update.Snapshot {
		s.applySnapshot(v.now, update, v.config.EmptyListDelay)
	} else {
		s.applyChanges(update)
	}
	return v.reconcile()
}

// MarkLost records that the source with the given index is silent or disconnected, and returns the changes of the published list. The
// source's last list is kept.
func (v *View) MarkLost(now time.Duration, index int) []engine.EndpointList {
	v.advance(now)
	v.sources[index].markLost(v.now)
	return v.reconcile()
}

// Tick applies due failovers, failbacks and delayed empty lists, and returns the changes of the published list. NextTick returns when to
// call it.
func (v *View) Tick(now time.Duration) []engine.EndpointList {
	v.advance(now)
	return v.reconcile()
}

// NextTick returns when Tick is due. ok is false if nothing is due before the next update.
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

// ActiveSource returns the source whose list is published, and the time since its last update. The source is -1 if none has sent a list.
func (v *View) ActiveSource() (source int, age time.Duration) {
	if v.active == noSource {
		return noSource, 0
	}
	return v.active, v.now - v.sources[v.active].lastUpdate
}

// advance sets the current time, which never goes backwards.
func (v *View) advance(now time.Duration) { v.now = max(v.now, now) }

// reconcile chooses the active source, publishes its list and returns the changes.
func (v *View) reconcile() []engine.EndpointList {
	for i := range v.sources {
		v.sources[i].applyPendingEmptyList(v.now, v.config.EmptyListDelay)
	}
	v.chooseActive()
	if v.active == noSource {
		return nil
	}
	changes := v.publish(v.sources[v.active].entries)
	if len(changes) == 0 {
		return nil
	}
	return []engine.EndpointList{{Endpoints: changes}}
}

// publish makes the published list equal to entries and returns the changes. They are sorted by name, so that they do not depend on the
// iteration order of the maps.
func (v *View) publish(entries map[string]sourceEntry) []engine.Endpoint {
	var changes []engine.Endpoint
	for name, old := range v.published {
		if _, found := entries[name]; !found {
			old.State = dispatch.Gone
			changes = append(changes, old)
			delete(v.published, name)
		}
	}
	for name, entry := range entries {
		if old, found := v.published[name]; !found || old != entry.Endpoint {
			changes = append(changes, entry.Endpoint)
			v.published[name] = entry.Endpoint
		}
	}
	slices.SortFunc(changes, func(a, b engine.Endpoint) int { return cmp.Compare(a.Name, b.Name) })
	return changes
}

// chooseActive fails over and back. The first source that has sent its list and has not been lost for the failover delay becomes active. A
// source preferred to the active one must also have been connected for the failback delay. If all are lost, the active source stays.
func (v *View) chooseActive() {
	for i := range v.sources {
		s := &v.sources[i]
		lostForLong := !s.connected && v.now >= s.stateSince+v.config.FailoverDelay
		if !s.hasList || lostForLong {
			continue
		}
		preferred := v.active != noSource && i < v.active
		connectedForLong := s.connected && v.now >= s.stateSince+v.config.FailbackDelay
		if preferred && !connectedForLong {
			continue
		}
		v.active = i
		return
	}
}

// Endpoints returns a copy of the published list, by name.
func (v *View) Endpoints() map[string]engine.Endpoint { return maps.Clone(v.published) }
