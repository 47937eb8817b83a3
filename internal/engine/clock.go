package engine

import (
	"time"

	"birchfork/dispatch"
)

// now returns the time of the decision module's clock: the wall clock's at the engine's start, from where it goes on monotonically,
// so that a step of the wall clock moves no deadline. The lock is held.
func (e *Engine) now() dispatch.Time { return e.at(time.Now()) }

// at converts a time to the decision module's clock. The lock is held.
func (e *Engine) at(t time.Time) dispatch.Time {
	return e.epoch + microseconds(t.Sub(e.origin))
}

// microseconds converts a length of time to the decision module's unit.
func microseconds(d time.Duration) dispatch.Time { return dispatch.Time(d.Microseconds()) }

// duration converts a length of time, or a moment of the decision module's clock, from the decision module's unit.
func duration(t dispatch.Time) time.Duration { return time.Duration(t) * time.Microsecond }

// setTimer sets the one timer. The decision module asks for a further one only where that is due earlier. The lock is held.
func (e *Engine) setTimer(now, due dispatch.Time) {
	if e.timerDue != 0 && e.timerDue <= due {
		return
	}
	e.timerDue = due
	e.timer.Reset(duration(due - now))
}

// timerFired tells the decision module that its timer is due. It runs on a goroutine of the timer's.
func (e *Engine) timerFired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.timerDue == 0 {
		return
	}
	// Guards against a clock that reads a little less than the timer waited: the decision module would take the event for one that
	// came too early, and never ask for a timer again.
	now := max(e.now(), e.timerDue)
	e.timerDue = 0
	e.handle(now, &dispatch.Event{Kind: dispatch.TimerFired})
}
