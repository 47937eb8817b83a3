package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// An update that arrived while the process stood still counts as delivered, although it has not been read: an attempt that is
// sent right after the stall could be too late for the drain.
func TestMaySend_WaitsAfterStall(t *testing.T) {
	for _, heartbeatFirst := range []bool{false, true} { // whether the heartbeat or the attempt is the first to run after the stall
		synctest.Test(t, func(t *testing.T) {
			engine := newEngine(t, &scriptedDecider{respond: sendToFirstWorker})
			engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 7))
			engine.Heartbeat()
			mustOpen(t, engine, "quick").Close()
			request := mustOpen(t, engine, "a")
			attempt := (<-request.Decisions()).Attempt
			began := time.Now()
			if !attempt.MaySend() || time.Since(began) > 0 {
				t.Error("an attempt waits though nothing stood still")
			}
			time.Sleep(600 * time.Millisecond) // the process stands still
			if heartbeatFirst {
				engine.Heartbeat()
			}
			go func() {
				time.Sleep(10 * time.Millisecond)
				engine.UpdateEndpoints(listWith(dispatch.Draining, "127.0.0.1:1", 7))
			}()
			if attempt.MaySend() || engine.Counters.Stalls.Load() != 1 {
				t.Errorf("heartbeat first %v: the attempt may be sent, or not one stall but %d", heartbeatFirst, engine.Counters.Stalls.Load())
			}
			attempt.Finish(dispatch.ResultNotSent, nil)
		})
	}
}
