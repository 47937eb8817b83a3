package engine

import (
	"net"
	"time"

	"birchfork/dispatch"
)

// workerState is the engine's state of a worker, next to the decision module's. All of it is guarded by the engine's lock.
type workerState struct {
	endpoint          Endpoint      // as listed last
	startedAt         dispatch.Time // the listed start, on the decision module's clock; 0: long ago
	convertedMillis   int64         // the start that was converted last ...
	convertedStart    dispatch.Time // ... and what it was converted to
	latestStartMillis int64         // the latest start that was listed, Unix time in milliseconds
	goneAt            dispatch.Time // when it left the list
	sentToWarming     int64         // attempts since its start, while it was warming up

	exclusions exclusion     // why nothing is sent there, whatever the endpoint list says
	generation int           // exclusions so far, but for a missing lease; attempts ordered before the last one are not sent
	includedAt dispatch.Time // when it counted as restarted after an exclusion; 0: it had none
	overrideAt time.Time     // time of the operators' override in force
	needsLease bool          // requests may be sent there only under the group's lease

	inFlight            int       // attempts that have not ended
	latestRequestEnd    time.Time // until then a request whose attempt has ended may still run there
	formerHosts         []string  // hosts where it was listed before, and where a request may still run
	consecutiveFailures int       // failed attempts since the last one that was served
}

// ready reports whether the endpoint list alone allows sending to the worker.
func (w *workerState) ready() bool {
	return w.endpoint.State == dispatch.Ready && w.endpoint.Address != ""
}

// usable reports whether the endpoint list and all exclusions allow sending to the worker.
func (w *workerState) usable() bool { return w.ready() && w.exclusions == 0 }

// isWarmingUp reports whether the worker has started or was included again less than warmUp ago.
func (w *workerState) isWarmingUp(now, warmUp dispatch.Time) bool {
	servingSince := max(w.startedAt, w.includedAt)
	return servingSince > 0 && now-servingSince < warmUp
}

// mayBeRunning reports whether a request of this dispatcher runs at the worker, or may run there.
func (w *workerState) mayBeRunning(now time.Time) bool {
	return w.inFlight > 0 || now.Before(w.latestRequestEnd)
}

// ensureWorker returns the state of a worker, and creates it if there is none. The caller must hold the lock.
func (e *Engine) ensureWorker(id dispatch.WorkerID) *workerState {
	for int(id) >= len(e.workers) {
		e.workers = append(e.workers, workerState{})
	}
	return &e.workers[id]
}

// knownWorker returns the state of a worker; nil if there is none. The caller must hold the lock.
func (e *Engine) knownWorker(id dispatch.WorkerID) *workerState {
	if int(id) >= len(e.workers) {
		return nil
	}
	return &e.workers[id]
}

// KnowsWorker reports whether a worker of this name has been listed since the process started, or is named by an override or a restriction.
func (e *Engine) KnowsWorker(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.names.FindWorker(name)
	return ok
}

// WorkerStatus is what this dispatcher knows about a worker.
type WorkerStatus struct {
	Name, Zone, Kind string
	Host             string
	Weight           float64
	Unavailable      bool // draining or gone
	Gone             bool
	WarmingUp        bool // shortly after its start or its last exclusion
	Disabled         bool // by the operators
}

// WorkerStatuses returns the status of all workers, including those that left the endpoint list at most goneFor ago. A worker counts as
// warming up for warmUp.
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
		statuses = append(statuses, WorkerStatus{
			Name:        endpoint.Name,
			Zone:        endpoint.Zone,
			Kind:        endpoint.Kind,
			Host:        hostOf(endpoint.Address),
			Weight:      endpoint.Weight,
			Unavailable: endpoint.State != dispatch.Ready,
			Gone:        gone,
			WarmingUp:   worker.isWarmingUp(now, microseconds(warmUp)),
			Disabled:    worker.exclusions&excludedByOperator != 0,
		})
	}
	return statuses
}

// hostOf returns the host of an address; empty if it has none.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
