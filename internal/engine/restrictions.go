package engine

import (
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// Restrictions are the group's restrictions on workers, by worker name or by listed host. They can only exclude workers; they never make a
// worker usable.
type Restrictions struct {
	MaintenanceWorkers, MaintenanceHosts map[string]bool // under maintenance: nothing is sent to them
	LeasedWorkers, LeasedHosts           map[string]bool // part of active plans: used only while the lease is valid
}

// runtimeSlack is the maximum time by which a request may exceed its deadline at a worker. The worker receives the time left instead of the
// deadline, so that the transmission time and the inaccuracy of the worker's timer delay the end.
const runtimeSlack = 250 * time.Millisecond

// SetRestrictions replaces the group's restrictions. After it has returned, nothing is sent to workers under maintenance, and leased
// workers are used only while the lease is valid. A worker whose maintenance ends counts as restarted. The caller must not change the maps
// afterwards.
func (e *Engine) SetRestrictions(restrictions Restrictions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restrictions = restrictions
	e.applyRestrictions()
}

// applyRestrictions applies the restrictions to the current endpoint list, on which another worker may be at a restricted host. The caller
// must hold the lock.
func (e *Engine) applyRestrictions() {
	for _, id := range e.leasedWorkers {
		e.workers[id].needsLease = false
	}
	e.leasedWorkers = e.findWorkers(e.restrictions.LeasedWorkers, e.restrictions.LeasedHosts)
	for _, id := range e.leasedWorkers {
		e.workers[id].needsLease = true
	}
	maintenance := e.findWorkers(e.restrictions.MaintenanceWorkers, e.restrictions.MaintenanceHosts)
	for _, id := range maintenance {
		e.setExcluded(id, excludedByMaintenance, true)
	}
	for _, id := range e.maintenanceWorkers {
		if !slices.Contains(maintenance, id) {
			e.include(id, excludedByMaintenance, 0)
		}
	}
	e.maintenanceWorkers = maintenance
	e.updateLeaseExclusions()
}

// findWorkers returns the workers with the given names, listed or not, and the workers at the given hosts. The caller must hold the lock.
func (e *Engine) findWorkers(names, hosts map[string]bool) (ids []dispatch.WorkerID) {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		id := e.names.InternWorker(name)
		e.ensureWorker(id)
		ids = append(ids, id)
	}
	for i := range e.workers {
		endpoint := &e.workers[i].endpoint
		if hosts[hostOf(endpoint.Address)] && !names[endpoint.Name] {
			ids = append(ids, dispatch.WorkerID(i))
		}
	}
	return ids
}

// SetMaxAttemptDuration limits the duration of new attempts, whatever the deadlines of their requests; 0: no limit. A group that waits for
// an unresponsive member has to know how long a request of that member may run.
func (e *Engine) SetMaxAttemptDuration(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxAttemptDuration = d
}

// recordAttemptEnd records the end of an attempt. Unless the outcome shows that the request has ended at the worker, the request may run
// there until its deadline. The caller must hold the lock.
func (e *Engine) recordAttemptEnd(attempt *Attempt, result dispatch.Result) {
	worker := e.knownWorker(attempt.worker)
	if worker == nil {
		return
	}
	worker.inFlight--
	switch result {
	case dispatch.ResultTimedOut, dispatch.ResultCancelled, dispatch.ResultDisconnected, dispatch.ResultUnknown:
		deadline, ok := attempt.ctx.Deadline()
		if end := deadline.Add(runtimeSlack); ok && end.After(worker.latestRequestEnd) {
			worker.latestRequestEnd = end
		}
	}
}

// BusyWorkers returns the sorted names of the workers that are leased or under maintenance and may be running a request of this dispatcher.
// It also returns the sorted hosts of these workers, and the former hosts of any worker that may still be running a request there.
func (e *Engine) BusyWorkers() (names, hosts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if failpoint.Enabled(failpoint.IgnoreBusyWorkers) {
		return nil, nil
	}
	now := time.Now()
	for id := range e.workers {
		worker := &e.workers[id]
		if !worker.mayBeRunning(now) {
			continue
		}
		hosts = append(hosts, worker.formerHosts...)
		restricted := worker.needsLease || worker.exclusions&excludedByMaintenance != 0
		if !restricted {
			continue
		}
		names = append(names, e.names.WorkerName(dispatch.WorkerID(id)))
		if host := hostOf(worker.endpoint.Address); host != "" {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(names)
	slices.Sort(hosts)
	return names, slices.Compact(hosts)
}
