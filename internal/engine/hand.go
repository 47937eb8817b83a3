package engine

import (
	"errors"
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
)

// ErrUnknownWorker says that no worker of a name has been listed.
var ErrUnknownWorker = errors.New("no runner of this name is known")

// Override is what the operators said of a worker last.
type Override struct {
	Disabled bool
	At       time.Time
}

// workerOf is the view of a worker. The lock is held.
func (e *Engine) workerOf(id dispatch.WorkerID) *workerState {
	for int(id) >= len(e.workers) {
		e.workers = append(e.workers, workerState{})
	}
	return &e.workers[id]
}

// KnowsWorker tells whether a worker of this name has been listed since our start, or was called out by hand.
func (e *Engine) KnowsWorker(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.names.FindWorker(name)
	return ok
}

// ApplyOverrides takes over what the operators have said of workers, by name. From its return on nothing is sent to one that is out,
// whatever the list says; one that is not out any more has been started anew meanwhile, and counts as started at that
// word. An older word on a worker than the newest is passed over: another process of this dispatcher may tell it again.
// A name that has not been listed is taken as well, as it may be listed later.
func (e *Engine) ApplyOverrides(overrides map[string]Override) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(overrides)) {
		e.applyOverride(name, overrides[name])
	}
}

// applyOverride takes one word over. The lock is held.
func (e *Engine) applyOverride(name string, override Override) {
	id := e.names.InternWorker(name)
	worker := e.workerOf(id)
	if !override.At.After(worker.overrideAt) {
		return
	}
	worker.overrideAt = override.At
	if override.Disabled {
		e.exclude(id, excludedByOperator)
	} else {
		e.include(id, excludedByOperator, dispatch.Time(max(0, time.Since(override.At)).Microseconds()))
	}
}

// exclusion is why nothing is sent to a worker beside what the list says of it; several may hold at once.
type exclusion uint8

// The causes.
const (
	excludedByOperator    exclusion = 1 << iota // the operators left it out at this dispatcher
	excludedByMaintenance                       // the group has taken its machine out
	excludedWithoutLease                        // we may not send there just now, and know nothing against the worker
	excludedByPeers                             // another member of the group knows that it has come further than our list has it

	restartExclusions = excludedByOperator | excludedByMaintenance // said by staff or the group: one that is put back was started anew meanwhile
)

// exclude keeps everything away from a worker, for one more cause. The lock is held.
func (e *Engine) exclude(id dispatch.WorkerID, reason exclusion) {
	worker := &e.workers[id]
	if reason != excludedWithoutLease {
		worker.generation++
	}
	if worker.exclusions == 0 && reason != excludedWithoutLease {
		e.onEndpointRetired(RetiredEndpoint{worker.endpoint.Address}) // what is open leads to a process that ends, or has ended
	}
	worker.exclusions |= reason
	e.handle(e.now(), &dispatch.Event{Kind: dispatch.WorkerDisabled, Worker: id})
}

// include ends one cause, since so long ago. The worker serves again where no other holds, as one that was started when it was
// put back last, or for want of a lease alone, when the list says, if that is later: a cold one stays cold. The lock is held.
func (e *Engine) include(id dispatch.WorkerID, reason exclusion, ago dispatch.Time) {
	worker, now := &e.workers[id], e.now()
	before := worker.exclusions
	if reason&restartExclusions != 0 {
		worker.includedAt = max(worker.includedAt, now-ago)
	}
	if worker.exclusions &^= reason; worker.exclusions != 0 {
		return
	}
	if before != 0 && reason&restartExclusions != 0 {
		e.onEndpointRetired(RetiredEndpoint{worker.endpoint.Address})
	}
	since := worker.includedAt
	if reason&restartExclusions == 0 {
		since = max(since, worker.startedAt)
	}
	e.handle(now, &dispatch.Event{Kind: dispatch.WorkerEnabled, Worker: id, Elapsed: now - since})
}

// DisabledWorkers are the names of the workers that are out by hand, sorted.
func (e *Engine) DisabledWorkers() (names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id := range e.workers {
		if e.workers[id].exclusions&excludedByOperator != 0 {
			names = append(names, e.names.WorkerName(dispatch.WorkerID(id)))
		}
	}
	slices.Sort(names)
	return names
}
