package engine

import (
	"net"
	"time"

	"birchfork/dispatch"
)

// workerState is the engine's state of a worker; the decision module has its own. It is guarded by the engine's lock.
type workerState struct {
	endpoint          Endpoint      // the latest entry on the endpoint list
	startedAt         dispatch.Time // the listed start, on the decision module's clock; 0: long ago
	convertedMillis   int64         // the start that was converted last, Unix time in milliseconds
	convertedStart    dispatch.Time // result of that conversion
	latestStartMillis int64         // the latest listed start, Unix time in milliseconds
	goneAt            dispatch.Time // time at which the worker left the list
	sentToWarming     int64         // attempts sent since the worker's start, while it was warming up

	exclusions exclusion     // reasons why nothing is sent to the worker
	generation int           // number of exclusions other than for a missing lease; attempts of an earlier generation are not sent
	includedAt dispatch.Time // time at which the worker counted as restarted after an exclusion; 0: never
	overrideAt time.Time     // time of the operators' override in force
	needsLease bool          // requests may be sent to the worker only while the group's lease is valid

	inFlight            int       // attempts that have not ended
	latestRequestEnd    time.Time // latest time at which a request whose attempt has ended may still run
	formerHosts         []string  // earlier hosts of the worker where a request may still run
	consecutiveFailures int       // failed attempts since the last successful one
}

// ready reports whether the worker is ready according to the endpoint list, whatever its exclusions.
func (w *workerState) ready() bool {
	return w.endpoint.State == dispatch.Ready && w.endpoint.Address != ""
}

// usable reports whether the worker is ready and not excluded.
func (w *workerState) usable() bool { return w.ready() && w.exclusions == 0 }

// isWarmingUp reports whether less than warmUp has elapsed since the worker started or was included again.
func (w *workerState) isWarmingUp(now, warmUp dispatch.Time) bool {
	servingSince := max(w.startedAt, w.includedAt)
	return servingSince > 0 && now-servingSince < warmUp
}

// mayBeRunning reports whether the worker runs, or may still run, a request of this dispatcher.
func (w *workerState) mayBeRunning(now time.Time) bool {
	return w.inFlight > 0 || now.Before(w.latestRequestEnd)
}

// ensureWorker returns the state of a worker and creates it if necessary. The caller must hold the lock.
func (e *Engine) ensureWorker(id dispatch.WorkerID) *workerState {
	for int(id) >= len(e.workers) {
		e.workers = append(e.workers, workerState{})
	}
	return &e.workers[id]
}

// knownWorker returns the state of a worker, or nil if there is none. The caller must hold the lock.
func (e *Engine) knownWorker(id dispatch.WorkerID) *workerState {
	if int(id) >= len(e.workers) {
		return nil
	}
	return &e.workers[id]
}

// KnowsWorker reports whether the named worker has been listed since the process started, or is named by an override or a restriction.
func (e *Engine) KnowsWorker(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.names.FindWorker(name)
	return ok
}

// WorkerStatus is the status of a worker according to this dispatcher.
type WorkerStatus struct {
	Name, Zone, Kind string
	Host             string
	Weight           float64
	Unavailable      bool // draining or gone
	Gone             bool
	WarmingUp        bool // started or included again recently, within the warm-up time
	Disabled         bool // by an operator
}

// WorkerStatuses returns the status of all workers, including those that have been gone for at most goneFor. A worker counts as warming up
// for the duration warmUp.
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

// hostOf returns the host of an address, or an empty string if the address is malformed.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return ""
	}
	return host
}
