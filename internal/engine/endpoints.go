package engine

import (
	"time"

	"birchfork/dispatch"
	"birchfork/internal/settings"
)

// EndpointList is a list of workers, complete or only those that changed, as received from discovery.
type EndpointList struct {
	Version   uint64 // discovery's version
	Snapshot  bool   // the list is complete; otherwise it contains only the workers that changed
	Stale     bool   // the list is a copy that was saved before the process started
	Endpoints []Endpoint
}

// Endpoint is one worker of an EndpointList.
type Endpoint struct {
	Name, Address, Zone, Kind string // Address is host:port
	Cell                      int    // -1: none
	Weight                    float64
	State                     dispatch.WorkerState
	StartedAtMillis           int64 // the last start as Unix time in milliseconds; 0: long ago
}

// RetiredEndpoint is an address whose connections must not be reused, because its worker has moved, restarted or is leaving.
type RetiredEndpoint struct{ Address string }

// OnEndpointRetired sets the function that is called when an endpoint is retired, and replaces the previous one. The function is called
// with the engine's lock held and must not call the engine.
func (e *Engine) OnEndpointRetired(f func(RetiredEndpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onEndpointRetired = f
}

// Ready reports whether any worker is usable, and whether an endpoint list has been received from discovery since the process started.
func (e *Engine) Ready() (available, synced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.workers {
		if e.workers[i].usable() {
			return true, e.synced
		}
	}
	return false, e.synced
}

// UpdateEndpoints applies an update from discovery. Updates must be passed in order. A stale list is ignored once discovery has sent one. The version that the decision module receives is the
// engine's own count of updates, because discovery's version may restart from a lower number.
func (e *Engine) UpdateEndpoints(list EndpointList) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if list.Stale && e.synced {
		return
	}
	e.revision++
	e.listVersion = list.Version
	e.syncedBefore = e.synced
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
			Cell: endpoint.Cell, State: endpoint.State, StartedAt: e.updateWorker(id, endpoint), Tag: e.names.WorkerTag(id),
			Weight: endpoint.Weight,
		})
	}
	if list.Snapshot {
		e.retireUnlisted(listed)
	}
	if len(e.restrictions.MaintenanceHosts)+len(e.restrictions.LeasedHosts) > 0 {
		e.applyRestrictions() // a worker may have moved to a restricted host
	}
	e.updateLeaseExclusions() // before the decision module is notified of workers that need the lease
	e.logChanges()
	e.handle(e.now(), &event)
}

// retireUnlisted marks all workers that are missing in a snapshot as gone. The caller must hold the lock.
func (e *Engine) retireUnlisted(listed map[dispatch.WorkerID]bool) {
	for id := range e.workers {
		if listed[dispatch.WorkerID(id)] {
			continue
		}
		worker := &e.workers[id]
		wasReady := worker.ready()
		wasListed := worker.endpoint.State != dispatch.Gone
		if wasListed {
			worker.goneAt = e.now()
		}
		worker.endpoint.State = dispatch.Gone
		if wasListed && e.syncedBefore {
			e.recordChange(worker)
		}
		if wasReady {
			e.onEndpointRetired(RetiredEndpoint{worker.endpoint.Address})
		}
	}
}

// updateWorker applies one endpoint and returns the worker's start on the decision module's clock. The caller must hold the lock.
func (e *Engine) updateWorker(id dispatch.WorkerID, endpoint *Endpoint) dispatch.Time {
	worker := e.ensureWorker(id)
	old := &worker.endpoint
	moved := old.Address != endpoint.Address
	restarted := old.StartedAtMillis != endpoint.StartedAtMillis
	leaving := worker.ready() && endpoint.State != dispatch.Ready
	changed := moved || restarted || old.State != endpoint.State
	if old.Address != "" && (moved || restarted || leaving) {
		e.onEndpointRetired(RetiredEndpoint{old.Address})
	}
	if restarted {
		worker.startedAt = e.startTime(worker, endpoint.StartedAtMillis)
		worker.sentToWarming = 0
	}
	if endpoint.State == dispatch.Gone && old.State != dispatch.Gone {
		worker.goneAt = e.now()
	}
	if host := hostOf(old.Address); host != hostOf(endpoint.Address) {
		if worker.mayBeRunning(time.Now()) {
			worker.formerHosts = append(worker.formerHosts, host)
		} else {
			worker.formerHosts = nil
		}
	}
	worker.latestStartMillis = max(worker.latestStartMillis, endpoint.StartedAtMillis) // an entry for a worker that is gone may lack the start
	worker.endpoint = *endpoint
	if changed && e.syncedBefore {
		e.recordChange(worker)
	}
	return worker.startedAt
}

// Endpoints returns the complete endpoint list and its revision. The list is unchanged as long as the revision is unchanged.
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

// EndpointsRevision returns the revision of the endpoint list, which is the number of updates.
func (e *Engine) EndpointsRevision() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

// ListedWorker contains the latest start and the state of a worker on this dispatcher's endpoint list.
type ListedWorker struct {
	Name            string
	StartedAtMillis int64 // the latest listed start as Unix time in milliseconds; 0: long ago
	State           dispatch.WorkerState
}

// ListedWorkers returns all workers of this dispatcher's endpoint list, including those that have been gone for less than goneFor. synced
// reports whether a list has been received from discovery since the process started.
func (e *Engine) ListedWorkers(goneFor time.Duration) (workers []ListedWorker, synced bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for i := range e.workers {
		worker := &e.workers[i]
		goneLongAgo := worker.endpoint.State == dispatch.Gone && now-worker.goneAt >= microseconds(goneFor)
		if worker.endpoint.Name == "" || goneLongAgo {
			continue
		}
		workers = append(workers, ListedWorker{worker.endpoint.Name, worker.latestStartMillis, worker.endpoint.State})
	}
	return workers, e.synced
}

// SetWatching sets whether the discovery watch is up. It is up from the delivery of its list until it breaks.
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

// WatchingFor returns the time since the discovery watch came up; it is negative while the watch is down.
func (e *Engine) WatchingFor() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.watchingSince.IsZero() {
		return -1
	}
	return time.Since(e.watchingSince)
}
