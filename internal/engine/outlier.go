package engine

import (
	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// minConsecutiveFailures is the number of consecutive failed attempts at a worker after which it is reported to the other dispatchers. With
// 1, every random failure would be reported. Higher values fail more requests: in three testbed runs of 16 dispatchers with three bad
// workers, 9 requests failed with 1, 30 with 2 and 42 with 3 (docs/results.md).
const minConsecutiveFailures = 2

// OnOutlier sets the function that is called after minConsecutiveFailures or more consecutive failed attempts at a worker, and replaces the
// previous one. The function is called with the engine's lock held and must not call the engine.
func (e *Engine) OnOutlier(f func(worker string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onOutlier = f
}

// HandleOutlierReport passes another dispatcher's report of failing attempts at a worker to the decision module. Unknown names are ignored.
func (e *Engine) HandleOutlierReport(name string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	id, ok := e.names.FindWorker(name)
	if !ok {
		return
	}
	e.Counters.OutlierReports.Add(1)
	if failpoint.Enabled(failpoint.EjectOnPeerReport) {
		e.exclude(id, excludedByOperator)
		return
	}
	e.handle(e.now(), &dispatch.Event{Kind: dispatch.OutlierReported, Worker: id})
}

// trackFailures counts consecutive failed attempts at a worker. From minConsecutiveFailures on, it reports the worker as an outlier after
// each of them. Outcomes that do not depend on the worker are ignored. The caller must hold the lock.
func (e *Engine) trackFailures(id dispatch.WorkerID, result dispatch.Result) {
	worker := e.knownWorker(id)
	if e.onOutlier == nil || worker == nil {
		return
	}
	switch result {
	case dispatch.ResultOK:
		worker.consecutiveFailures = 0
	case dispatch.ResultFailed, dispatch.ResultDisconnected:
		worker.consecutiveFailures++
		if worker.consecutiveFailures >= minConsecutiveFailures {
			e.onOutlier(e.names.WorkerName(id))
		}
	}
}
