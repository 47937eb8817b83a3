package engine

import "birchfork/dispatch"

// exclusion is a set of reasons why nothing is sent to a worker, whatever its state on the endpoint list.
type exclusion uint8

// Reasons for an exclusion.
const (
	excludedByOperator    exclusion = 1 << iota // an operator has disabled the worker
	excludedByMaintenance                       // the group has the worker's machine under maintenance
	excludedWithoutLease                        // the worker needs the lease, which has expired; its process is unchanged
	excludedAsOutdated                          // another member of the group knows a later state of the worker than this dispatcher's endpoint list has

	// restartExclusions are the reasons after which a worker counts as restarted, because it is restarted before the exclusion ends.
	restartExclusions = excludedByOperator | excludedByMaintenance
)

// exclude adds a reason why nothing is sent to a worker. The caller must hold the lock.
func (e *Engine) exclude(id dispatch.WorkerID, reason exclusion) {
	worker := &e.workers[id]
	if reason != excludedWithoutLease {
		worker.generation++
		if worker.exclusions == 0 {
			e.onEndpointRetired(RetiredEndpoint{worker.endpoint.Address}) // the worker process at the other end is about to end or has ended
		}
	}
	worker.exclusions |= reason
	e.handle(e.now(), &dispatch.Event{Kind: dispatch.WorkerDisabled, Worker: id})
}

// include removes a reason; elapsed is the time since it ceased to apply. If no reason is left, requests are sent to the worker again. The
// decision module receives the time since the worker's warm-up started. The warm-up starts at the end of the last of restartExclusions or,
// after any other reason, at the listed start if that is later, so that a worker that was warming up continues to do so. The caller must
// hold the lock.
func (e *Engine) include(id dispatch.WorkerID, reason exclusion, elapsed dispatch.Time) {
	worker := &e.workers[id]
	now := e.now()
	wasExcluded := worker.exclusions != 0
	restarted := reason&restartExclusions != 0
	if restarted {
		worker.includedAt = max(worker.includedAt, now-elapsed)
	}
	worker.exclusions &^= reason
	if worker.exclusions != 0 {
		return
	}
	if wasExcluded && restarted {
		e.onEndpointRetired(RetiredEndpoint{worker.endpoint.Address})
	}
	since := worker.includedAt
	if !restarted {
		since = max(since, worker.startedAt)
	}
	e.handle(now, &dispatch.Event{Kind: dispatch.WorkerEnabled, Worker: id, Elapsed: now - since})
}

// setExcluded adds or removes a reason for the exclusion of a worker. It has no effect if nothing changes. The caller must hold the lock.
func (e *Engine) setExcluded(id dispatch.WorkerID, reason exclusion, excluded bool) {
	was := e.workers[id].exclusions&reason != 0
	switch {
	case excluded && !was:
		e.exclude(id, reason)
	case !excluded && was:
		e.include(id, reason, 0)
	}
}

// ExcludeOutdated excludes the named workers, for which other members of the group know a later state than this dispatcher's endpoint list
// has. It includes all other workers that were excluded for this reason before. Unknown names are ignored.
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
		id := dispatch.WorkerID(i)
		e.setExcluded(id, excludedAsOutdated, outdated[id])
	}
}
