package engine

import (
	"time"

	"birchfork/dispatch"
)

// now returns the time of the decision module's clock. The clock starts with the wall clock at the engine's start and advances
// monotonically, so that a step of the wall clock changes no deadline. The caller must hold the lock.
func (e *Engine) now() dispatch.Time { return e.at(time.Now()) }

// at converts a time to the decision module's clock. The caller must hold the lock.
func (e *Engine) at(t time.Time) dispatch.Time {
	return e.epoch + microseconds(t.Sub(e.origin))
}

// microseconds converts a duration to the decision module's unit of time.
func microseconds(d time.Duration) dispatch.Time { return dispatch.Time(d.Microseconds()) }

// duration converts a duration, or a time of the decision module's clock, from the decision module's unit of time.
func duration(t dispatch.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// setTimer sets the engine's only timer, unless it is already set to an earlier time. The decision module requests another due time only if
// it is earlier. The caller must hold the lock.
func (e *Engine) setTimer(now, due dispatch.Time) {
	if e.timerDue != 0 && e.timerDue <= due {
		return
	}
	e.timerDue = due
	e.timer.Reset(duration(due - now))
}

// timerFired passes the event of a due timer to the decision module. It runs on the timer's goroutine.
func (e *Engine) timerFired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timerDue == 0 {
		return
	}
	// The clock may read slightly less than the due time. The decision module would then ignore the event as early, and never request a
	// timer again.
	now := max(e.now(), e.timerDue)
	e.timerDue = 0
	e.handle(now, &dispatch.Event{Kind: dispatch.TimerFired})
}
