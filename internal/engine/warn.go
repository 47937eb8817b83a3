package engine

import (
	"birchfork/dispatch"
	"birchfork/internal/failpoint"
)

// warnFrom is how many jobs in a row have to fail at a worker for others to hear of it. One would be told with every chance
// failure. Of 16 dispatchers with three bad workers 9 requests fail on three days from one on, 30 from two, 42 from three
// (docs/results.md).
const warnFrom = 2

// OnWarn sets who hears that jobs fail at a worker, in a row and whatever their kind. It is called with the store's lock held and
// must not call back.
func (s *Store) OnWarn(f func(worker string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onWarn = f
}

// Warned takes over that jobs fail at a worker, by another dispatcher's word: the module decides what that is worth.
func (s *Store) Warned(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if id, ok := s.names.FindWorker(name); ok {
		s.Counters.Warnings.Add(1)
		if failpoint.On(failpoint.LeavesAlone) {
			s.leaveOut(id, byHand)
			return
		}
		s.handle(s.now(), &dispatch.Event{Kind: dispatch.Warned, Worker: id})
	}
}

// failedInARow counts. The lock is held.
func (s *Store) failedInARow(id dispatch.WorkerID, result dispatch.Result) {
	if s.onWarn == nil || int(id) >= len(s.workers) {
		return
	}
	w := &s.workers[id]
	switch result {
	case dispatch.OK:
		w.failures = 0
	case dispatch.Failed, dispatch.Disconnected:
		if w.failures++; w.failures >= warnFrom {
			s.onWarn(s.names.WorkerName(id))
		}
	}
}
