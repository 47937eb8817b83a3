package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// A step of the wall clock must neither make a new worker count as warmed up nor keep it warming up for as long as the step. The test
// simulates the step by changing the engine's clock, which then differs from the wall clock as after a step in the opposite direction.
func TestStartTime_SteppedClock(t *testing.T) {
	const age = 2 * dispatch.Second
	for _, c := range []struct {
		name           string
		step           dispatch.Time // of the engine's clock against the wall clock
		listedAhead    time.Duration // added to the listed start
		syncedBefore   bool
		minAge, maxAge dispatch.Time // bounds of the expected age
	}{
		{"no step", 0, 0, true, age, age},
		{"engine clock ahead by an hour", 3600 * dispatch.Second, 0, true, age, age},
		{"wall clock ahead by an hour", -3600 * dispatch.Second, 0, true, 0, 0},
		{"wall clock ahead by a second", -dispatch.Second, 0, true, age - dispatch.Second, age - dispatch.Second},
		{"start in the future", 0, time.Hour, true, 0, 0},
		{"both ahead since before the start of the process", 0, -time.Hour, true, 0, 0},
		{"old worker on the first list", 0, -time.Hour, false, 3602 * dispatch.Second, 3602 * dispatch.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				decider := &scriptedDecider{}
				engine := newEngine(t, decider)
				if c.syncedBefore {
					engine.UpdateEndpoints(EndpointList{Snapshot: true})
				}
				engine.epoch += c.step
				started := time.Now().Add(c.listedAhead - 2*time.Second).UnixMilli()
				engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", started))
				time.Sleep(time.Second)
				engine.UpdateEndpoints(listWith(dispatch.Draining, "127.0.0.1:1", started))
				engine.UpdateEndpoints(listWith(dispatch.Gone, "127.0.0.1:1", 0))
				engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", started))
				events := decider.eventsOf(dispatch.EndpointUpdate)
				got := decider.times[len(decider.times)-4] - events[0].Workers[0].StartedAt
				if got < c.minAge || got > c.maxAge+2*dispatch.Millisecond {
					t.Errorf("age %v us of a worker that started 2 s before, want %v to %v", got, c.minAge, c.maxAge)
				}
				if first, last := events[0].Workers[0].StartedAt, events[len(events)-1].Workers[0].StartedAt; first != last {
					t.Errorf("the same start was converted to %v and then to %v", first, last)
				}
			})
		})
	}
}
