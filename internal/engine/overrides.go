package engine

import (
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
)

// Override is the latest operator override of a worker.
type Override struct {
	Disabled bool      // true: nothing is sent to the worker; false: the worker is enabled again
	At       time.Time // time of the operator's command
}

// ApplyOverrides applies operators' overrides, keyed by worker name. After it has returned, nothing is sent to a disabled worker, whatever
// its state on the endpoint list. A worker that is enabled again counts as started at the time of that override, because it has been
// restarted. An override that is not newer than the one in force is ignored, because a sibling process may repeat it. Names of workers that
// have not been listed are accepted, because they may be listed later.
func (e *Engine) ApplyOverrides(overrides map[string]Override) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(overrides)) {
		e.applyOverride(name, overrides[name])
	}
}

// applyOverride applies one override. The caller must hold the lock.
func (e *Engine) applyOverride(name string, override Override) {
	id := e.names.InternWorker(name)
	worker := e.ensureWorker(id)
	if !override.At.After(worker.overrideAt) {
		return
	}
	worker.overrideAt = override.At
	if override.Disabled {
		e.exclude(id, excludedByOperator)
	} else {
		e.include(id, excludedByOperator, microseconds(max(0, time.Since(override.At))))
	}
}

// DisabledWorkers returns the sorted names of the workers that operators have disabled.
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
