package engine

import (
	"time"

	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// SetLeaseExpiry sets the expiry of the group's lease. A time that is not in the future ends the lease.
func (e *Engine) SetLeaseExpiry(expiry time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseExpiry = expiry
	e.updateLeaseExclusions()
}

// SetPlansUnknown sets whether the group's maintenance plans are unknown. If they are, any worker may be under maintenance, and all workers
// need the lease.
func (e *Engine) SetPlansUnknown(unknown bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plansUnknown = unknown
	e.updateLeaseExclusions()
}

// leaseAllows reports whether the lease allows sending to the worker now. The caller must hold the lock.
func (e *Engine) leaseAllows(worker *workerState) bool {
	if failpoint.Enabled(failpoint.SendWithoutLease) {
		return true
	}
	needed := worker.needsLease || e.plansUnknown
	return !needed || time.Now().Before(e.leaseExpiry)
}

// updateLeaseExclusions excludes the workers that need the lease while it is not valid, so that the decision module chooses others, and
// includes them again when it is. A worker that is included again counts as started at its listed start. The caller must hold the lock.
func (e *Engine) updateLeaseExclusions() {
	inUse := e.plansUnknown || len(e.leasedWorkers) > 0
	e.leaseInUse.Store(inUse)
	if !inUse && !e.leaseExclusionsActive {
		return
	}
	e.leaseExclusionsActive = false
	for i := range e.workers {
		e.setExcluded(dispatch.WorkerID(i), excludedWithoutLease, !e.leaseAllows(&e.workers[i]))
		if e.workers[i].exclusions&excludedWithoutLease != 0 {
			e.leaseExclusionsActive = true
		}
	}
}
