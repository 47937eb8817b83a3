package engine

import (
	"time"

	"birchfork/dispatch"
)

// maxListingDelay is the longest time from a worker's start to its first listing that a clock is believed.
const maxListingDelay = 10 * dispatch.Second

// startTime converts a listed start, Unix time in milliseconds, to the decision module's clock; 0 stays 0. Each start is converted once: a
// further reading of the wall clock would give another time, which the decision module would take for a restart. The caller must hold the
// lock.
func (e *Engine) startTime(worker *workerState, startedAtMillis int64) dispatch.Time {
	if startedAtMillis <= 0 {
		return 0
	}
	if worker.convertedMillis != startedAtMillis {
		worker.convertedMillis = startedAtMillis
		worker.convertedStart = max(e.now()-e.startAge(startedAtMillis), 0)
	}
	return worker.convertedStart
}

// startAge returns how long ago a worker started at most, for all that the clocks tell. A wall clock that is stepped forward must not make
// a cold worker warm, and one that is stepped back must not keep it cold: the age is the lower one by the wall clock and by the clock of
// this process, never below 0, and 0 for a worker that a followed list shows for the first time with an age that no new worker has. The
// caller must hold the lock.
func (e *Engine) startAge(startedAtMillis int64) dispatch.Time {
	startedAt := dispatch.Time(startedAtMillis) * dispatch.Millisecond
	age := min(dispatch.Time(time.Now().UnixMicro()), e.now()) - startedAt
	if age < 0 || e.syncedBefore && age > maxListingDelay {
		return 0
	}
	return age
}
