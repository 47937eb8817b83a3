package engine

import (
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// Restrictions are the group's decisions on workers, by name or by the hosts where they are listed. They only exclude workers: none is used
// because of them.
type Restrictions struct {
	MaintenanceWorkers, MaintenanceHosts map[string]bool // under maintenance: nothing is sent there
	LeasedWorkers, LeasedHosts           map[string]bool // of active plans: used only while the lease is valid
}

// runtimeSlack is how much later than its deadline a request may end at a worker, which knows only the time left: the time of the request's
// transmission, and the inaccuracy of the worker's own timer.
const runtimeSlack = 250 * time.Millisecond

// SetRestrictions replaces the group's restrictions. Once it returns nothing is sent to workers under maintenance, and to leased ones only
// while the lease is valid. A worker whose maintenance ends has been restarted meanwhile. The caller must not change the maps afterwards.
func (e *Engine) SetRestrictions(restrictions Restrictions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restrictions = restrictions
	e.applyRestrictions()
}

// applyRestrictions applies the restrictions to the workers as listed now: another worker may be listed at a restricted host. The caller
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

// findWorkers returns the workers with these names, listed or not, and those at these hosts. The caller must hold the lock.
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

// SetMaxAttemptDuration limits attempts that begin from now on, whatever time their clients allow; 0: no limit. A group that waits for a
// member that does not respond has to know how long a request of that member may run.
func (e *Engine) SetMaxAttemptDuration(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxAttemptDuration = d
}

// recordAttemptEnd records the end of an attempt. Unless the outcome shows that the request has ended at the worker, it may run up to its
// deadline. The caller must hold the lock.
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

// BusyWorkers returns, sorted, the names of the workers that are leased or under maintenance where a request of this dispatcher runs or may
// run, and the hosts where it does, including those from which other workers have moved away meanwhile.
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
