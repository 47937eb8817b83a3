package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// If the clock reads less than the requested time when the timer fires, the decision module would ignore the event as early, and
// never request a timer again. The event must have the requested time.
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
		engine.epoch -= dispatch.Millisecond // the clock reads 1 ms less than the due time when the timer fires
		engine.mu.Unlock()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		fired := decider.eventsOf(dispatch.TimerFired)
		if len(fired) != 1 || decider.times[len(decider.times)-1] < requested {
			t.Fatalf("%d timer events, the last at %v, want 1 not before %v", len(fired), decider.times[len(decider.times)-1], requested)
		}
	})
}
