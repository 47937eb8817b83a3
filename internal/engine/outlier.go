package engine

import (
	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// minConsecutiveFailures is how many attempts in a row have to fail at a worker for the worker to be reported to the other dispatchers. With one,
// every chance failure would be reported. Of 16 dispatchers with three bad workers 9 requests fail on three days with one, 30 with two,
// 42 with three (docs/results.md).
const minConsecutiveFailures = 2

// OnOutlier sets the function that is called when attempts have failed at a worker in a row, in place of the one before. It is called
// with the engine's lock held and must not call back.
func (e *Engine) OnOutlier(f func(worker string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onOutlier = f
}

// HandleOutlierReport passes the report of another dispatcher that attempts fail at a worker on to the decision module. A name that we do
// not know is ignored.
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

// trackFailures counts the attempts that fail at a worker in a row, and reports the worker. Outcomes that tell nothing of it change
// nothing. The lock is held.
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
