package engine

import (
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
)

// Override is the operators' last decision on a worker.
type Override struct {
	Disabled bool      // nothing is sent to the worker; otherwise it is enabled again
	At       time.Time // time of the decision
}

// ApplyOverrides applies operators' overrides, keyed by worker name. Once it returns nothing is sent to a disabled worker, whatever the
// endpoint list says. A worker that is enabled again has been restarted meanwhile, and counts as started at that time. An override that is
// not newer than the one in force is ignored: another process of this dispatcher may repeat it. Names that have not been listed are
// accepted, since they may be listed later.
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

// DisabledWorkers returns the names of the workers that the operators have disabled, sorted.
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
