package discovery

import (
	"testing"
	"time"
)

// A dispatcher receives a change within 6 s once discovery has it and is reachable, no matter how earlier requests and watches ended.
func TestTiming_MeetsPropagationDeadline(t *testing.T) {
	for name, profile := range map[string]timing{"polled": polledTiming, "pushed": pushedTiming} {
		if sum := profile.afterSilence(); sum > propagationDeadline {
			t.Errorf("%s: a silent watch and a failed request delay the list by %v, want at most %v", name, sum, propagationDeadline)
		}
		if sum := profile.afterBusy(); sum > propagationDeadline {
			t.Errorf("%s: busy responses delay the list by %v, want at most %v", name, sum, propagationDeadline)
		}
		if profile.watchIdleTimeout < 2*time.Second+500*time.Millisecond {
			t.Errorf("%s: a silent watch is abandoned after %v, want at least 2.5 s: an empty line arrives every 2 s", name, profile.watchIdleTimeout)
		}
	}
	if retry := 2 * (pushedTiming.maxRetryDelay + pushedTiming.requestTimeout); retry > 500*time.Millisecond {
		t.Errorf("two requests to an agent that responds again take %v, want at most 0.5 s, the time in which a draining worker may get requests", retry)
	}
	for _, busy := range []busyError{{status: 503}, {status: 503, retryAfter: time.Hour}} {
		for dispatchers, fits := range map[int]bool{1: true, 9: true, 30: true, 80: false, 300: false} { // fits: requests of 0.2 s fit into 6 s
			b := backoff{window: time.Duration(dispatchers) * requestCost, timing: polledTiming, random: func() float64 { return 1 }}
			for i := range 6 {
				if delay := b.delay(false, busy); (delay <= polledTiming.maxBusyDelay) != fits {
					t.Errorf("%d dispatchers, busy response %d, Retry-After %v: delay %v, want it at most %v: %v", dispatchers, i, busy.retryAfter, delay,
						polledTiming.maxBusyDelay, fits)
				}
			}
		}
	}
}
