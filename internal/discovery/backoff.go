package discovery

import (
	"errors"
	"time"
)

// Limits of the delays between requests.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDoublings = 10
	requestCost       = 200 * time.Millisecond // discovery's time for one request, by which the requests of a fleet are spread
	minBusyWindow     = 1 * time.Second        // minimum time over which requests are spread while discovery is busy
	maxBusyDoublings  = 2                      // of that window
)

// backoff chooses the random delays between requests. Dispatchers that were cut off together must not reconnect together: an overload would
// persist, since requests that waited in vain cost discovery as much as others. It is not safe for concurrent use.
type backoff struct {
	timing
	window        time.Duration  // time in which discovery serves one request of each dispatcher
	random        func() float64 // from 0 to 1
	failures      int            // in a row, since something was received
	busyResponses int            // in a row, likewise
}

// delay returns how long to wait after a request that ended with err. received reports that it delivered a list before.
func (b *backoff) delay(received bool, err error) time.Duration {
	if received {
		b.failures = 0
		b.busyResponses = 0
	}
	var busy busyError
	if errors.As(err, &busy) || b.meansCongestion(err) {
		return b.busyDelay(busy.retryAfter)
	}
	return b.retryDelay()
}

// meansCongestion reports whether a failure is treated as a sign of too many requests. If the requests of the fleet do not fit into the
// propagation deadline, requests that are abandoned and immediately repeated would keep discovery from answering any.
func (b *backoff) meansCongestion(err error) bool {
	return b.congestible && b.window > propagationDeadline && errors.Is(err, errNoResponse)
}

// busyDelay returns the delay after discovery had too many requests and asked for retryAfter (0: none). That is the same for all
// dispatchers, so a random part of the window is added; it may also be absurdly long. Both together are limited to maxBusyDelay if the
// requests of the fleet fit into the propagation deadline; if they do not, a shorter delay would only prolong the congestion.
func (b *backoff) busyDelay(retryAfter time.Duration) time.Duration {
	window := max(b.window, minBusyWindow)
	span := window << min(b.busyResponses, maxBusyDoublings)
	b.busyResponses++
	factor := 0.25 + 0.75*b.random()
	delay := min(retryAfter, window<<maxBusyDoublings) + scale(span, factor)
	if b.window <= propagationDeadline {
		return min(delay, scale(b.maxBusyDelay, 0.5+0.5*factor))
	}
	return delay
}

// retryDelay returns the delay after any other failure. It doubles with each failure up to maxRetryDelay.
func (b *backoff) retryDelay() time.Duration {
	longest := min(initialRetryDelay<<min(b.failures, maxRetryDoublings), b.maxRetryDelay)
	b.failures++
	return scale(longest, 0.5+0.5*b.random())
}

// verifyDelay returns how long after a resumed watch the complete list is requested. That is late, since the list mostly confirms what is
// known, and the requests of a fleet must leave time for dispatchers that have no list.
func (b *backoff) verifyDelay() time.Duration {
	longest := max(b.window, minBusyWindow) << maxBusyDoublings
	return scale(longest, 0.5+0.5*b.random())
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
