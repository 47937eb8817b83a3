package engine

import (
	"time"

	"birchfork/dispatch"
)

// now returns the time of the decision module's clock: the wall clock at the engine's start, advanced monotonically, so that a step of the
// wall clock changes no deadline. The caller must hold the lock.
func (e *Engine) now() dispatch.Time { return e.at(time.Now()) }

// at converts a time to the decision module's clock. The caller must hold the lock.
func (e *Engine) at(t time.Time) dispatch.Time {
	return e.epoch + microseconds(t.Sub(e.origin))
}

// microseconds converts a duration to the decision module's unit.
func microseconds(d time.Duration) dispatch.Time { return dispatch.Time(d.Microseconds()) }

// duration converts a duration, or a time of the decision module's clock, from the decision module's unit.
func duration(t dispatch.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// setTimer sets the only timer. The decision module requests a further one only if that is due earlier. The caller must hold the lock.
func (e *Engine) setTimer(now, due dispatch.Time) {
	if e.timerDue != 0 && e.timerDue <= due {
		return
	}
	e.timerDue = due
	e.timer.Reset(duration(due - now))
}

// timerFired notifies the decision module that its timer is due. It runs on the timer's goroutine.
func (e *Engine) timerFired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timerDue == 0 {
		return
	}
	// Guards against a clock that reads slightly less than the timer waited: the decision module would consider the event too early, and
	// never request a timer again.
	now := max(e.now(), e.timerDue)
	e.timerDue = 0
	e.handle(now, &dispatch.Event{Kind: dispatch.TimerFired})
}
