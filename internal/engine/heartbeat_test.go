package engine

import (
	"testing"
	"testing/synctest"
	"time"

	"birchfork/dispatch"
)

// An update that arrived during a stall of the process counts as delivered, although it has not been read. An attempt that is sent
// right after the stall could reach a worker whose drain has already been delivered.
func TestMaySend_WaitsAfterStall(t *testing.T) {
	for _, heartbeatFirst := range []bool{false, true} { // whether the heartbeat or the attempt runs first after the stall
		synctest.Test(t, func(t *testing.T) {
			engine := newEngine(t, &scriptedDecider{respond: sendToFirstWorker})
			engine.UpdateEndpoints(listWith(dispatch.Ready, "127.0.0.1:1", 7))
			engine.Heartbeat()
			mustOpen(t, engine, "quick").Close()
			request := mustOpen(t, engine, "a")
			attempt := (<-request.Decisions()).Attempt
			began := time.Now()
			if !attempt.MaySend() || time.Since(began) > 0 {
				t.Error("MaySend returned false or waited without a stall")
			}
			time.Sleep(600 * time.Millisecond) // simulates a stall of the process
			if heartbeatFirst {
				engine.Heartbeat()
			}
			go func() {
				time.Sleep(10 * time.Millisecond)
				engine.UpdateEndpoints(listWith(dispatch.Draining, "127.0.0.1:1", 7))
			}()
			if attempt.MaySend() || engine.Counters.Stalls.Load() != 1 {
				t.Errorf("heartbeat first %v: MaySend returned true, or %d stalls instead of 1", heartbeatFirst, engine.Counters.Stalls.Load())
			}
			attempt.Finish(dispatch.ResultNotSent, nil)
		})
	}
}
