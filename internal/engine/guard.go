package engine

import (
	"maps"
	"net"
	"slices"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// Restrictions is what a group of dispatchers has settled on workers, by name or by host, as far as it binds this one. It takes away
// only.
type Restrictions struct {
	MaintenanceWorkers, MaintenanceHosts map[string]bool // taken out for work: nothing goes there
	LeasedWorkers, LeasedHosts           map[string]bool // of plans under way: sent to only while the lease runs
}

// runtimeSlack is how much later than its deadline a job may end at a worker that has been told the time left when the last
// byte came: the way there, and the worker's own timer.
const runtimeSlack = 250 * time.Millisecond

// SetRestrictions takes the group's settled word over, in place of the one before. From its return on nothing is sent to workers that
// are away, and to those under the lease only while that runs. One that comes back has been started anew meanwhile.
func (e *Engine) SetRestrictions(restrictions Restrictions) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.restrictions = restrictions
	e.applyRestrictions()
}

// applyRestrictions puts the guard in force for the workers as they are listed now: at a host that is taken out one may be listed under
// another name. The lock is held.
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
		if e.workers[id].exclusions&excludedByMaintenance == 0 {
			e.exclude(id, excludedByMaintenance)
		}
	}
	for _, id := range e.maintenanceWorkers {
		if !slices.Contains(maintenance, id) {
			e.include(id, excludedByMaintenance, 0)
		}
	}
	e.maintenanceWorkers = maintenance
	e.updateLeaseExclusions()
}

// findWorkers are the workers of these names and at these hosts. The lock is held.
func (e *Engine) findWorkers(names, hosts map[string]bool) (ids []dispatch.WorkerID) {
	for _, name := range slices.Sorted(maps.Keys(names)) {
		id := e.names.InternWorker(name)
		e.workerOf(id)
		ids = append(ids, id)
	}
	for i := range e.workers {
		if endpoint := &e.workers[i].endpoint; hosts[hostOf(endpoint.Address)] && !names[endpoint.Name] {
			ids = append(ids, dispatch.WorkerID(i))
		}
	}
	return ids
}

// hostOf is the host of an address; empty where it has none.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// SetMaxAttemptDuration bounds attempts that are ordered from now on, whatever time their clients give: a group that waits for a silent
// member has to know for how long something of that may run. 0 sets no bound.
func (e *Engine) SetMaxAttemptDuration(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.maxAttemptDuration = d
}

// SetLeaseExpiry says until when the group's lease runs; a moment before the present one says that it runs no more.
func (e *Engine) SetLeaseExpiry(expiry time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseExpiry = expiry
	e.updateLeaseExclusions()
}

// SetPlansUnknown says whether we know nothing of the group's plans: then every worker may be in pieces, and counts as under the lease.
func (e *Engine) SetPlansUnknown(unknown bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plansUnknown = unknown
	e.updateLeaseExclusions()
}

// leaseAllows tells whether the lease lets us send to a worker at this moment. The lock is held.
func (e *Engine) leaseAllows(worker *workerState) bool {
	if failpoint.Enabled(failpoint.SendWithoutLease) {
		return true
	}
	return !worker.needsLease && !e.plansUnknown || time.Now().Before(e.leaseExpiry)
}

// updateLeaseExclusions tells the module which workers have no lease, so that it draws others. A worker whose lease comes back started when
// the list says. The lock is held.
func (e *Engine) updateLeaseExclusions() {
	e.leaseInUse.Store(e.plansUnknown || len(e.leasedWorkers) > 0)
	if !e.plansUnknown && len(e.leasedWorkers) == 0 && !e.anyWithoutLease {
		return
	}
	e.anyWithoutLease = false
	for i := range e.workers {
		worker, id := &e.workers[i], dispatch.WorkerID(i)
		switch allowed := e.leaseAllows(worker); {
		case allowed && worker.exclusions&excludedWithoutLease != 0:
			e.include(id, excludedWithoutLease, 0)
		case !allowed && worker.exclusions&excludedWithoutLease == 0:
			e.exclude(id, excludedWithoutLease)
		}
		e.anyWithoutLease = e.anyWithoutLease || e.workers[i].exclusions&excludedWithoutLease != 0
	}
}

// noteAttemptEnd notes the end of an attempt. Where it does not tell that the job is over, the job may run up to its deadline. The
// lock is held.
func (e *Engine) noteAttemptEnd(attempt *Attempt, result dispatch.Result) {
	if int(attempt.worker) >= len(e.workers) {
		return
	}
	worker := &e.workers[attempt.worker]
	worker.inFlight--
	switch result {
	case dispatch.ResultTimedOut, dispatch.ResultCancelled, dispatch.ResultDisconnected, dispatch.ResultUnknown:
		if deadline, ok := attempt.ctx.Deadline(); ok && deadline.Add(runtimeSlack).After(worker.mayRunUntil) {
			worker.mayRunUntil = deadline.Add(runtimeSlack)
		}
	}
}

// BusyWorkers are the names of those workers under the lease, or away, where something of ours runs or may run, and their hosts,
// sorted.
func (e *Engine) BusyWorkers() (names, hosts []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if failpoint.Enabled(failpoint.IgnoreBusyWorkers) {
		return nil, nil
	}
	for id := range e.workers {
		worker := &e.workers[id]
		if worker.inFlight == 0 && !now.Before(worker.mayRunUntil) {
			continue
		}
		hosts = append(hosts, worker.formerHosts...) // what runs may run where it was
		if !worker.needsLease && worker.exclusions&excludedByMaintenance == 0 {
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

// WorkerStatus is what this dispatcher knows of a worker.
type WorkerStatus struct {
	Name, Zone, Kind string
	Host             string
	Weight           float64
	Unavailable      bool // draining, or gone for no longer than was asked
	Gone             bool
	WarmingUp        bool // started, or put back, for no longer than was asked
	Disabled         bool // left out by hand
}

// WorkerStatuses is what this dispatcher knows of all workers: those that have left are told for a while, and started ones are cold
// for a while.
func (e *Engine) WorkerStatuses(goneFor, warmUp time.Duration) (statuses []WorkerStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for i := range e.workers {
		worker := &e.workers[i]
		endpoint := &worker.endpoint
		if endpoint.Name == "" || endpoint.State == dispatch.Gone && now-worker.goneAt > dispatch.Time(goneFor.Microseconds()) {
			continue
		}
		servingSince := max(worker.startedAt, worker.includedAt)
		statuses = append(statuses, WorkerStatus{
			Name: endpoint.Name, Zone: endpoint.Zone, Kind: endpoint.Kind, Host: hostOf(endpoint.Address), Weight: endpoint.Weight, Unavailable: endpoint.State != dispatch.Ready,
			Gone:      endpoint.State == dispatch.Gone,
			WarmingUp: servingSince > 0 && now-servingSince < dispatch.Time(warmUp.Microseconds()), Disabled: worker.exclusions&excludedByOperator != 0,
		})
	}
	return statuses
}
