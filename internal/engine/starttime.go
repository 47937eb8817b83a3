package engine

import (
	"time"

	"birchfork/dispatch"
)

// maxListingDelay is the maximum plausible time between a worker's start and its first listing. A longer time is attributed to a clock
// step.
const maxListingDelay = 10 * dispatch.Second

// startTime converts a listed start, in Unix milliseconds, to the decision module's clock; 0 stays 0. Each start is converted only once: a
// second conversion would use another reading of the wall clock, and the decision module would take the different result for a restart. The
// caller must hold the lock.
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

// startAge returns the age of a worker that started at the given Unix time in milliseconds. A wall clock that is stepped forward must not
// make a new worker count as warmed up, and one that is stepped back must not keep it warming up for as long as the step. The age is
// therefore the lower of the ages by the wall clock and by the engine's clock, and at least 0. After the first list from discovery, an age
// above maxListingDelay also counts as 0, because a new start would have been listed sooner. The caller must hold the lock.
func (e *Engine) startAge(startedAtMillis int64) dispatch.Time {
	startedAt := dispatch.Time(startedAtMillis) * dispatch.Millisecond
	age := min(dispatch.Time(time.Now().UnixMicro()), e.now()) - startedAt
	if age < 0 || e.syncedBefore && age > maxListingDelay {
		return 0
	}
	return age
}
