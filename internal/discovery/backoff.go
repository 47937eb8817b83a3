package discovery

import (
	"errors"
	"time"
)

// Delays after the first failure of a kind; they double with each further one.
const (
	initialRetryDelay = 50 * time.Millisecond
	initialBusyDelay  = 300 * time.Millisecond
	maxDoublings      = 10
)

// congestedResponseTime is the time for a list from which on discovery is considered busy.
const congestedResponseTime = 500 * time.Millisecond

// backoff chooses the random delays between requests. Their bounds do not depend on the number of dispatchers: however many there are, each
// must know a change within propagationDeadline. Random parts keep dispatchers that lost their connections at the same time from calling at
// the same time. It is not safe for concurrent use.
type backoff struct {
	timing
	random        func() float64 // returns a number from 0 to 1
	failures      int            // since the last received list, except those treated as busy responses
	busyResponses int            // since the last received list, with missing responses that indicate congestion
}

// delay returns how long to wait after a request that ended with err. received reports whether a list was received before it ended.
func (b *backoff) delay(received bool, err error) time.Duration {
	if received {
		b.failures = 0
		b.busyResponses = 0
	}
	var busy busyError
	isBusy := errors.As(err, &busy)
	switch {
	case isBusy && received:
		return b.yieldDelay()
	case isBusy || b.indicatesCongestion(err):
		return b.busyDelay(busy.retryAfter)
	default:
		return b.retryDelay()
	}
}

// delayAfterList returns how long to wait before the watch that continues from a list which discovery took responseTime to send.
func (b *backoff) delayAfterList(responseTime time.Duration) time.Duration {
	if !b.rateLimited || responseTime < congestedResponseTime {
		return 0
	}
	return b.yieldDelay()
}

// indicatesCongestion reports whether a failure is treated as a sign of too many requests.
func (b *backoff) indicatesCongestion(err error) bool {
	return b.rateLimited && errors.Is(err, errNoResponse)
}

// busyDelay returns the delay after a failure that indicates too many requests. retryAfter is the delay that discovery asked for (0: none).
// It is respected up to half of maxBusyDelay: it may be unreasonably long, and all dispatchers may receive the same value.
func (b *backoff) busyDelay(retryAfter time.Duration) time.Duration {
	longest := min(initialBusyDelay<<min(b.busyResponses, maxDoublings), b.maxBusyDelay)
	b.busyResponses++
	shortest := longest / 4
	if retryAfter > 0 {
		longest = b.maxBusyDelay
		shortest = max(shortest, min(retryAfter, longest/2))
	}
	return shortest + scale(longest-shortest, b.random())
}

// retryDelay returns the delay after any other failure. Its upper bound doubles with each failure up to maxRetryDelay.
func (b *backoff) retryDelay() time.Duration {
	longest := min(initialRetryDelay<<min(b.failures, maxDoublings), b.maxRetryDelay)
	b.failures++
	return scale(longest, 0.5+0.5*b.random())
}

// yieldDelay returns how long a dispatcher waits that has received a list: before it verifies the version of a resumed watch, and before any
// further request to a discovery that is busy. It is longer than other delays, so that dispatchers without a list are served first.
func (b *backoff) yieldDelay() time.Duration {
	return scale(b.maxYieldDelay, 0.5+0.5*b.random())
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
