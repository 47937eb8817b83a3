package engine

import "birchfork/dispatch"

// exclusion is a set of reasons why nothing is sent to a worker, whatever the list says of it.
type exclusion uint8

// The reasons.
const (
	excludedByOperator    exclusion = 1 << iota // the operators have disabled it
	excludedByMaintenance                       // the group has its machine under maintenance
	excludedWithoutLease                        // it needs the lease, and that does not run; nothing is known against the worker
	excludedByPeers                             // another member of the group knows a later state of it than our list

	// restartExclusions are those after which a worker counts as started anew: whoever ends one has restarted it meanwhile.
	restartExclusions = excludedByOperator | excludedByMaintenance
)

// exclude adds a reason why nothing is sent to a worker. The lock is held.
func (e *Engine) exclude(id dispatch.WorkerID, reason exclusion) {
	worker := &e.workers[id]
	if reason != excludedWithoutLease {
		worker.generation++
		if worker.exclusions == 0 {
			e.onEndpointRetired(RetiredEndpoint{worker.endpoint.Address}) // connections lead to a process that ends or has ended
		}
	}
	worker.exclusions |= reason
	e.handle(e.now(), &dispatch.Event{Kind: dispatch.WorkerDisabled, Worker: id})
}

// include removes a reason that ended so long ago. Where none is left the worker serves again. The decision module gets the time since
// when it warms up: since the last exclusion of restartExclusions ended, or, after any other reason, since its listed start if that is
// later. So a worker that was warming up goes on doing so. The lock is held.
func (e *Engine) include(id dispatch.WorkerID, reason exclusion, ago dispatch.Time) {
	worker := &e.workers[id]
	now := e.now()
	wasExcluded := worker.exclusions != 0
	restarted := reason&restartExclusions != 0
	if restarted {
		worker.includedAt = max(worker.includedAt, now-ago)
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

// setExcluded excludes a worker for a reason, or includes it, where it is not so already. The lock is held.
func (e *Engine) setExcluded(id dispatch.WorkerID, reason exclusion, excluded bool) {
	was := e.workers[id].exclusions&reason != 0
	switch {
	case excluded && !was:
		e.exclude(id, reason)
	case !excluded && was:
		e.include(id, reason, 0)
	}
}

// ExcludeOutdated excludes the workers of which other members of a group know a later state than our list, in place of those that were
// excluded so before. Names that we do not know are passed over.
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
		e.setExcluded(id, excludedByPeers, outdated[id])
	}
}
