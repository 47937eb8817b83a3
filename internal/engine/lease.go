package engine

import (
	"time"

	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// SetLeaseExpiry sets until when the group's lease runs. With a time that is not in the future it does not run.
func (e *Engine) SetLeaseExpiry(expiry time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaseExpiry = expiry
	e.updateLeaseExclusions()
}

// SetPlansUnknown sets whether the group's plans are unknown to us. Every worker may be under maintenance then, and needs the lease.
func (e *Engine) SetPlansUnknown(unknown bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plansUnknown = unknown
	e.updateLeaseExclusions()
}

// leaseAllows tells whether the worker may be sent to at this moment, as far as the lease is concerned. The lock is held.
func (e *Engine) leaseAllows(worker *workerState) bool {
	if failpoint.Enabled(failpoint.SendWithoutLease) {
		return true
	}
	needed := worker.needsLease || e.plansUnknown
	return !needed || time.Now().Before(e.leaseExpiry)
}

// updateLeaseExclusions notifies the decision module which workers may not be sent to for want of the lease, so that it chooses others. A
// worker that may be sent to again counts as started when its list says. The lock is held.
func (e *Engine) updateLeaseExclusions() {
	inUse := e.plansUnknown || len(e.leasedWorkers) > 0
	e.leaseInUse.Store(inUse)
	if !inUse && !e.anyWithoutLease {
		return
	}
	e.anyWithoutLease = false
	for i := range e.workers {
		e.setExcluded(dispatch.WorkerID(i), excludedWithoutLease, !e.leaseAllows(&e.workers[i]))
		if e.workers[i].exclusions&excludedWithoutLease != 0 {
			e.anyWithoutLease = true
		}
	}
}
