package engine

import "birchfork/dispatch"

// exclusion is a set of reasons why nothing is sent to a worker, whatever the endpoint list says of it.
type exclusion uint8

// The reasons.
const (
	excludedByOperator    exclusion = 1 << iota // the operators have disabled it
	excludedByMaintenance                       // the group has its machine under maintenance
	excludedWithoutLease                        // it needs the lease, which has expired; the worker itself is not in doubt
	excludedAsOutdated                          // another member of the group knows a later state of it than this dispatcher's endpoint list

	// restartExclusions are those after which a worker counts as restarted: whoever ends one has restarted it meanwhile.
	restartExclusions = excludedByOperator | excludedByMaintenance
)

// exclude adds a reason why nothing is sent to a worker. The caller must hold the lock.
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

// include removes a reason that ended the given time ago. If none is left, requests are sent to the worker again. The decision module gets
// the start of the worker's warm-up: the end of the last of restartExclusions or, after any other reason, the listed start if that is
// later. A worker that was warming up thus continues to do so. The caller must hold the lock.
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

// setExcluded excludes a worker for a reason, or includes it, unless that is the case already. The caller must hold the lock.
func (e *Engine) setExcluded(id dispatch.WorkerID, reason exclusion, excluded bool) {
	was := e.workers[id].exclusions&reason != 0
	switch {
	case excluded && !was:
		e.exclude(id, reason)
	case !excluded && was:
		e.include(id, reason, 0)
	}
}

// ExcludeOutdated excludes the workers of which other members of the group know a later state than this dispatcher's endpoint list has, and
// includes those that were excluded for this reason before. Unknown names are ignored.
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
