package engine

import (
	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// minConsecutiveFailures is how many jobs in a row have to fail at a worker for others to hear of it. One would be told with every chance
// failure. Of 16 dispatchers with three bad workers 9 requests fail on three days from one on, 30 from two, 42 from three
// (docs/results.md).
const minConsecutiveFailures = 2

// OnOutlier sets who hears that jobs fail at a worker, in a row and whatever their kind. It is called with the store's lock held and
// must not call back.
func (e *Engine) OnOutlier(f func(worker string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onOutlier = f
}

// HandleOutlierReport takes over that jobs fail at a worker, by another dispatcher's word: the module decides what that is worth.
func (e *Engine) HandleOutlierReport(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id, ok := e.names.FindWorker(name); ok {
		e.Counters.OutlierReports.Add(1)
		if failpoint.Enabled(failpoint.EjectOnPeerReport) {
			e.exclude(id, excludedByOperator)
			return
		}
		e.handle(e.now(), &dispatch.Event{Kind: dispatch.OutlierReported, Worker: id})
	}
}

// trackFailures counts. The lock is held.
func (e *Engine) trackFailures(id dispatch.WorkerID, result dispatch.Result) {
	if e.onOutlier == nil || int(id) >= len(e.workers) {
		return
	}
	worker := &e.workers[id]
	switch result {
	case dispatch.ResultOK:
		worker.consecutiveFailures = 0
	case dispatch.ResultFailed, dispatch.ResultDisconnected:
		if worker.consecutiveFailures++; worker.consecutiveFailures >= minConsecutiveFailures {
			e.onOutlier(e.names.WorkerName(id))
		}
	}
}
