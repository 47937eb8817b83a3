package engine

import (
	"maps"
	"slices"
	"time"

	"birchfork/dispatch"
)

// Override is the last decision of the operators on a worker.
type Override struct {
	Disabled bool      // nothing is sent to the worker; else it is enabled again
	At       time.Time // when they decided so
}

// ApplyOverrides applies the overrides of operators, by the names of workers. From its return on nothing is sent to a worker that is
// disabled, whatever the list says. One that is enabled again has been restarted meanwhile, and counts as started at that moment. An
// override that is not newer than the one in force is ignored: another process of this dispatcher may send it again. A name that has
// not been listed is accepted too, as it may be listed later.
func (e *Engine) ApplyOverrides(overrides map[string]Override) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(overrides)) {
		e.applyOverride(name, overrides[name])
	}
}

// applyOverride applies one override. The lock is held.
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
