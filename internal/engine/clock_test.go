package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// The decision module ignores a timer's event that is earlier than requested, and never requests a timer again.
func TestTimer_NeverFiresEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requested dispatch.Time
		decider := &scriptedDecider{}
		engine := newEngine(t, decider)
		decider.respond = func(event *dispatch.Event) []dispatch.Action {
			if event.Kind != dispatch.RequestArrived {
				return nil
			}
			requested = decider.times[len(decider.times)-1] + 700
			return []dispatch.Action{{Kind: dispatch.SetTimer, Wait: dispatch.Second}, {Kind: dispatch.SetTimer, Wait: 700}}
		}
		mustOpen(t, engine, "a")
		engine.mu.Lock()
		engine.epoch -= dispatch.Millisecond // the clock reads a millisecond less than the timer waited
		engine.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		fired := decider.eventsOf(dispatch.TimerFired)
		if len(fired) != 1 || decider.times[len(decider.times)-1] < requested {
			t.Fatalf("fired %d times, at %v, asked for %v", len(fired), decider.times[len(decider.times)-1], requested)
		}
	})
}
