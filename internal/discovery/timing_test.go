package discovery

import (
	"testing"
	"time"
)

// However a request or a watch ended, a change counts as known 6 s after discovery had it and was reachable.
func TestTiming_MeetsPropagationDeadline(t *testing.T) {
	for name, profile := range map[string]timing{"polled": polledTiming, "pushed": pushedTiming} {
		if sum := profile.afterSilence(); sum > propagationDeadline {
			t.Errorf("%s: a watch that falls silent and a call that comes to nothing take %v, want %v at the most", name, sum, propagationDeadline)
		}
		if sum := profile.afterBusy(); sum > propagationDeadline {
			t.Errorf("%s: requests that are busy take %v, want %v at the most", name, sum, propagationDeadline)
		}
		if profile.watchIdleTimeout < 2*time.Second+500*time.Millisecond {
			t.Errorf("%s: a watch is given up after %v, and its empty lines come every 2 s", name, profile.watchIdleTimeout)
		}
	}
	if retry := 2 * (pushedTiming.maxRetryDelay + pushedTiming.requestTimeout); retry > 500*time.Millisecond {
		t.Errorf("an agent that has come back is asked again within %v, want two calls in the 0.5 s that a drain leaves", retry)
	}
	for _, busy := range []busyError{{status: 503}, {status: 503, retryAfter: time.Hour}} {
		for fleet, fits := range map[int]bool{1: true, 9: true, 30: true, 80: false, 300: false} { // requests of 0.2 s in 6 s
			b := backoff{window: time.Duration(fleet) * requestCost, timing: polledTiming, random: func() float64 { return 1 }}
			for i := range 6 {
				if delay := b.delay(false, busy); (delay <= polledTiming.maxBusyDelay) != fits {
					t.Errorf("%d dispatchers, refusal %d, to come back after %v: %v, where %v is in time", fleet, i, busy.retryAfter, delay, polledTiming.maxBusyDelay)
				}
			}
		}
	}
}
