package engine

import (
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// Restrictions are what a group of dispatchers has decided on workers, by their names or by the hosts that they are listed at. They only
// take away: no worker is sent to because of them that would not be without.
type Restrictions struct {
	MaintenanceWorkers, MaintenanceHosts map[string]bool // under maintenance: nothing is sent there
	LeasedWorkers, LeasedHosts           map[string]bool // of plans under way: sent to only while the lease runs
}

// runtimeSlack is how much later than its deadline a job may end at a worker, which knows only the time left: the way of the request
// there, and the worker's own timer.
const runtimeSlack = 250 * time.Millisecond

// SetRestrictions puts the group's restrictions in force, in place of those before. From its return on nothing is sent to workers under
// maintenance, and to leased ones only while the lease runs. A worker whose maintenance ends has been restarted meanwhile. The caller
// must not change the maps afterwards.
func (e *Engine) SetRestrictions(restrictions Restrictions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restrictions = restrictions
	e.applyRestrictions()
}

// applyRestrictions applies the restrictions to the workers as they are listed now: another worker may be listed at a restricted host.
// The lock is held.
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

// findWorkers returns the workers of these names, listed or not, and those at these hosts. The lock is held.
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

// SetMaxAttemptDuration bounds attempts that begin from now on, whatever time their clients leave them; 0 sets no bound. A group that
// waits for a silent member has to know for how long a job of that member's may run.
func (e *Engine) SetMaxAttemptDuration(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxAttemptDuration = d
}

// noteAttemptEnd notes the end of an attempt. Where the outcome does not tell that the job is over, it may run up to its deadline. The
// lock is held.
func (e *Engine) noteAttemptEnd(attempt *Attempt, result dispatch.Result) {
	worker := e.knownWorker(attempt.worker)
	if worker == nil {
		return
	}
	worker.inFlight--
	switch result {
	case dispatch.ResultTimedOut, dispatch.ResultCancelled, dispatch.ResultDisconnected, dispatch.ResultUnknown:
		deadline, ok := attempt.ctx.Deadline()
		if end := deadline.Add(runtimeSlack); ok && end.After(worker.mayRunUntil) {
			worker.mayRunUntil = end
		}
	}
}

// BusyWorkers returns, sorted, the names of those workers that are leased or under maintenance where a job of ours runs or may run, and
// the hosts where it does, with those that other workers have moved away from meanwhile.
func (e *Engine) BusyWorkers() (names, hosts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if failpoint.Enabled(failpoint.IgnoreBusyWorkers) {
		return nil, nil
	}
	now := time.Now()
	for id := range e.workers {
		worker := &e.workers[id]
		if !worker.mayRun(now) {
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
