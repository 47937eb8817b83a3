package engine

import (
	"net"
	"time"

	"birchfork/dispatch"
)

// workerState is what the engine knows of a worker beside the decision module. All of it is guarded by the engine's lock.
type workerState struct {
	endpoint          Endpoint      // as it was listed last
	startedAt         dispatch.Time // the listed start, on the decision module's clock; 0: long ago
	latestStartMillis int64         // the latest start that was listed, Unix time in milliseconds
	goneAt            dispatch.Time // when it left the list

	exclusions exclusion     // why nothing is sent there, whatever the list says
	generation int           // exclusions that it has had; attempts that were ordered in an earlier one are not sent
	includedAt dispatch.Time // since when it has counted as started anew after an exclusion; 0: it had none
	overrideAt time.Time     // when the operators gave the override that holds
	needsLease bool          // it may be sent to under the group's lease only

	inFlight            int       // attempts that have not ended
	mayRunUntil         time.Time // until then a job of an attempt that has ended may still run there
	formerHosts         []string  // hosts where it was listed before, and where a job may still run
	consecutiveFailures int       // attempts that failed since the last one that was served
}

// ready tells whether the worker may be sent to by the list alone.
func (w *workerState) ready() bool {
	return w.endpoint.State == dispatch.Ready && w.endpoint.Address != ""
}

// usable tells whether the worker may be sent to by the list and by all exclusions.
func (w *workerState) usable() bool { return w.ready() && w.exclusions == 0 }

// mayRun tells whether a job of ours runs at the worker, or may run there.
func (w *workerState) mayRun(now time.Time) bool { return w.inFlight > 0 || now.Before(w.mayRunUntil) }

// ensureWorker returns the state of a worker, and makes one where it has none. The lock is held.
func (e *Engine) ensureWorker(id dispatch.WorkerID) *workerState {
	for int(id) >= len(e.workers) {
		e.workers = append(e.workers, workerState{})
	}
	return &e.workers[id]
}

// knownWorker returns the state of a worker; nil where it has none. The lock is held.
func (e *Engine) knownWorker(id dispatch.WorkerID) *workerState {
	if int(id) >= len(e.workers) {
		return nil
	}
	return &e.workers[id]
}

// KnowsWorker tells whether a worker of this name has been listed since our start, or is named by an override or a restriction.
func (e *Engine) KnowsWorker(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.names.FindWorker(name)
	return ok
}

// WorkerStatus is what this dispatcher knows of a worker.
type WorkerStatus struct {
	Name, Zone, Kind string
	Host             string
	Weight           float64
	Unavailable      bool // draining or gone
	Gone             bool
	WarmingUp        bool // it has not served for long since its start, or since its last exclusion
	Disabled         bool // by the operators
}

// WorkerStatuses returns what this dispatcher knows of all workers, those too that left the list no longer ago than goneFor. A worker
// counts as warming up for as long as warmUp.
func (e *Engine) WorkerStatuses(goneFor, warmUp time.Duration) (statuses []WorkerStatus) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	for i := range e.workers {
		worker := &e.workers[i]
		endpoint := &worker.endpoint
		gone := endpoint.State == dispatch.Gone
		if endpoint.Name == "" || gone && now-worker.goneAt > microseconds(goneFor) {
			continue
		}
		servingSince := max(worker.startedAt, worker.includedAt)
		statuses = append(statuses, WorkerStatus{
			Name:        endpoint.Name,
			Zone:        endpoint.Zone,
			Kind:        endpoint.Kind,
			Host:        hostOf(endpoint.Address),
			Weight:      endpoint.Weight,
			Unavailable: endpoint.State != dispatch.Ready,
			Gone:        gone,
			WarmingUp:   servingSince > 0 && now-servingSince < microseconds(warmUp),
			Disabled:    worker.exclusions&excludedByOperator != 0,
		})
	}
	return statuses
}

// hostOf returns the host of an address; empty where the address has none.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
