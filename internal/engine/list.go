package engine

import (
	"context"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// EndpointList is news of the workers, as a discovery front has decoded it.
type EndpointList struct {
	Version   uint64
	Snapshot  bool // all workers, not only those that changed
	Stale     bool // a copy kept from before our start
	Endpoints []Endpoint
}

// Endpoint is one worker of a List.
type Endpoint struct {
	Name, Address, Zone, Kind string
	Cell                      int
	Weight                    float64
	State                     dispatch.WorkerState
	StartedAtMillis           int64 // when it last started, Unix time in milliseconds; 0: long ago
}

// workerState is what the store itself remembers of a worker.
type workerState struct {
	endpoint            Endpoint      // as it was told last
	startedAt           dispatch.Time // since on the module's clock
	exclusions          exclusion     // why nothing goes there, whatever the list says
	overrideAt          time.Time     // when the operators spoke of it last
	goneAt              dispatch.Time // when the list told that it has gone
	includedAt          dispatch.Time // when it was put back last, by hand or by the group
	generation          int           // how often it was left out: what was ordered before does not go out after
	needsLease          bool          // of a plan under way: sent to only under the group's lease
	latestStartMillis   int64         // start that the list has told of it, Unix time in milliseconds
	inFlight            int           // attempts that have not ended
	mayRunUntil         time.Time     // until then one may run there that we know nothing of any more
	consecutiveFailures int           // of jobs, in a row
	formerHosts         []string      // hosts that it was at when something of ours ran there
}

// ready says whether something may be sent there, by the list alone.
func (w *workerState) ready() bool {
	return w.endpoint.State == dispatch.Ready && w.endpoint.Address != ""
}

// RetiredEndpoint says that connections to an address are of no use any more: its worker has moved, restarted or is leaving.
type RetiredEndpoint struct{ Address string }

// OnEndpointRetired sets who hears that connections are of no use. It is called with the store's lock held and must not call back.
func (e *Engine) OnEndpointRetired(f func(RetiredEndpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onEndpointRetired = f
}

// Ready tells whether there is a worker to send to, and whether the list has been told since our start.
func (e *Engine) Ready() (available, synced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.workers {
		if e.workers[i].ready() && e.workers[i].exclusions == 0 {
			return true, e.synced
		}
	}
	return false, e.synced
}

// How a stall of the whole process is met.
const (
	stallThreshold = 250 * time.Millisecond // without a beat for longer: we stood still
	stallPause     = 30 * time.Millisecond  // for the watch to read what came meanwhile
)

// Heartbeat says that the process runs; it is to be called every few dozen milliseconds.
func (e *Engine) Heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordHeartbeat(time.Now())
	e.updateLeaseExclusions()
}

// recordHeartbeat notes a beat, and how long sends have to wait where it comes late. The lock is held.
func (e *Engine) recordHeartbeat(now time.Time) {
	if !e.lastHeartbeat.IsZero() && now.Sub(e.lastHeartbeat) > stallThreshold {
		e.pausedUntil = now.Add(stallPause)
		e.Counters.Stalls.Add(1)
	}
	e.lastHeartbeat = now
}

// waitAfterStall waits after a stall. Guards against sends to a worker that was told to drain while we stood still: the news
// counts as told, though the watch has not read it yet.
func (e *Engine) waitAfterStall(ctx context.Context) {
	e.mu.Lock()
	now := time.Now()
	if !e.lastHeartbeat.IsZero() {
		e.recordHeartbeat(now) // an attempt may be the first to run again
	}
	pause := e.pausedUntil.Sub(now)
	e.mu.Unlock()
	if pause > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// UpdateEndpoints takes news of the list over. News comes in order; the module's version is our own count of it, since
// discovery's may start again from a lower figure.
func (e *Engine) UpdateEndpoints(list EndpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.revision++
	e.listVersion = list.Version
	e.synced = e.synced || !list.Stale
	e.Counters.EndpointUpdates.Add(1)
	event := dispatch.Event{Kind: dispatch.EndpointUpdate, Version: e.revision, Stale: list.Stale}
	if list.Snapshot {
		event.Kind = dispatch.EndpointSnapshot
	}
	listed := make(map[dispatch.WorkerID]bool, len(list.Endpoints))
	for i := range list.Endpoints {
		endpoint := &list.Endpoints[i]
		id := e.names.InternWorker(endpoint.Name)
		listed[id] = true
		event.Workers = append(event.Workers, dispatch.Worker{
			ID: id, Zone: e.names.ZoneID(settings.NormalizeName(endpoint.Zone)), Kind: e.names.KindID(settings.NormalizeName(endpoint.Kind)),
			Cell: endpoint.Cell, State: endpoint.State, StartedAt: e.updateWorker(id, endpoint), Tag: e.names.WorkerTag(id), Weight: endpoint.Weight,
		})
	}
	if list.Snapshot {
		for id := range e.workers {
			if listed[dispatch.WorkerID(id)] {
				continue
			}
			worker := &e.workers[id] // who is missing has left
			wasReady := worker.ready()
			if worker.endpoint.State != dispatch.Gone {
				worker.goneAt = e.now()
			}
			if worker.endpoint.State = dispatch.Gone; wasReady {
				e.onEndpointRetired(RetiredEndpoint{worker.endpoint.Address})
			}
		}
	}
	if len(e.restrictions.MaintenanceHosts)+len(e.restrictions.LeasedHosts) > 0 {
		e.applyRestrictions()
	}
	e.updateLeaseExclusions() // before the module hears of a worker that it may not use yet
	e.handle(e.now(), &event)
}

// Endpoints is the whole list as it stands, and the count of news that it has had: it is another list when that has changed.
func (e *Engine) Endpoints() (list EndpointList, revision uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list = EndpointList{Version: e.listVersion, Snapshot: true, Stale: !e.synced}
	for i := range e.workers {
		if endpoint := &e.workers[i].endpoint; endpoint.Name != "" && endpoint.State != dispatch.Gone {
			list.Endpoints = append(list.Endpoints, *endpoint)
		}
	}
	return list, e.revision
}

// ListedWorker is how far a worker has come, by our own list.
type ListedWorker struct {
	Name            string
	StartedAtMillis int64 // the latest that was told, Unix time in milliseconds; 0: long ago
	State           dispatch.WorkerState
}

// ListedWorkers are all workers of our list, those too that have left it for no longer than gone; fresh tells that discovery has told it
// since our start.
func (e *Engine) ListedWorkers(goneFor time.Duration) (workers []ListedWorker, synced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.workers {
		worker := &e.workers[i]
		if worker.endpoint.Name != "" && (worker.endpoint.State != dispatch.Gone || e.now()-worker.goneAt < dispatch.Time(goneFor.Microseconds())) {
			workers = append(workers, ListedWorker{worker.endpoint.Name, worker.latestStartMillis, worker.endpoint.State})
		}
	}
	return workers, e.synced
}

// ExcludeOutdated leaves out workers that other members of a group know to have come further than our list has them, in place of those before.
func (e *Engine) ExcludeOutdated(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	outdated := map[dispatch.WorkerID]bool{}
	for _, name := range names {
		if id, ok := e.names.FindWorker(name); ok {
			outdated[id] = true
		}
	}
	for i := range e.workers {
		switch worker, id := &e.workers[i], dispatch.WorkerID(i); {
		case outdated[id] && worker.exclusions&excludedByPeers == 0:
			e.exclude(id, excludedByPeers)
		case !outdated[id] && worker.exclusions&excludedByPeers != 0:
			e.include(id, excludedByPeers, 0)
		}
	}
}

// SetWatching says whether the watch on discovery has told its list and still stands.
func (e *Engine) SetWatching(watching bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !watching:
		e.watchingSince = time.Time{}
	case e.watchingSince.IsZero():
		e.watchingSince = time.Now()
	}
}

// WatchingFor is for how long it has, without a break; below 0: it does not.
func (e *Engine) WatchingFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.watchingSince.IsZero() {
		return -1
	}
	return time.Since(e.watchingSince)
}

// EndpointsRevision is how much news of the list there has been.
func (e *Engine) EndpointsRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// updateWorker remembers one entry and returns its start on the module's clock. A start is converted once: another reading of
// the wall clock would move it, and a moved start is a restart to the module.
func (e *Engine) updateWorker(id dispatch.WorkerID, endpoint *Endpoint) dispatch.Time {
	worker := e.workerOf(id)
	old := worker.endpoint
	if old.Address != "" && (old.Address != endpoint.Address || old.StartedAtMillis != endpoint.StartedAtMillis || worker.ready() && endpoint.State != dispatch.Ready) {
		e.onEndpointRetired(RetiredEndpoint{old.Address})
	}
	if old.StartedAtMillis != endpoint.StartedAtMillis {
		worker.startedAt = 0
		if endpoint.StartedAtMillis > 0 {
			now := time.Now()
			worker.startedAt = max(e.at(now)-dispatch.Time(now.UnixMicro()-endpoint.StartedAtMillis*1000), 0)
		}
	}
	if endpoint.State == dispatch.Gone && old.State != dispatch.Gone {
		worker.goneAt = e.now()
	}
	if host := hostOf(old.Address); host != hostOf(endpoint.Address) {
		if worker.inFlight > 0 || time.Now().Before(worker.mayRunUntil) {
			worker.formerHosts = append(worker.formerHosts, host)
		} else {
			worker.formerHosts = nil
		}
	}
	worker.latestStartMillis = max(worker.latestStartMillis, endpoint.StartedAtMillis) // a word that it leaves need not have its start
	worker.endpoint = *endpoint
	return worker.startedAt
}
