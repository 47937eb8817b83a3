package discovery

import (
	"errors"
	"time"
)

// Bounds of the delays between requests.
const (
	initialRetryDelay = 50 * time.Millisecond
	maxRetryDoublings = 10
	requestCost       = 200 * time.Millisecond // of discovery's time for one request, by which those of a fleet are spread
	minBusyWindow     = 1 * time.Second        // over which requests are spread at least where discovery is busy
	maxBusyDoublings  = 2                      // of that window
)

// backoff draws the delays between requests at random. Dispatchers that were cut off together must not come back together: what is too much
// at once stays too much, as requests that waited in vain cost discovery as much as others. It is not safe for concurrent use.
type backoff struct {
	timing
	window        time.Duration  // in which discovery carries one request of each dispatcher
	random        func() float64 // from 0 to 1
	failures      int            // in a row, since something was received
	busyResponses int            // in a row, likewise
}

// delay returns how long to wait after a request that ended with err. received says that it brought a list before.
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

// meansCongestion reports whether a failure is to be taken for a sign of too many requests. Where the whole fleet's do not fit into the
// propagation deadline, requests that are given up and repeated at once would keep discovery from answering any.
func (b *backoff) meansCongestion(err error) bool {
	return b.congestible && b.window > propagationDeadline && errors.Is(err, errNoResponse)
}

// busyDelay returns the delay after discovery had too many requests and asked for retryAfter, 0 if for none. That is the same for all
// dispatchers, so a random part of the window comes on top of it; it may also be absurdly long. Neither may take longer than maxBusyDelay
// where the requests of the whole fleet fit into the propagation deadline; where they do not, a shorter delay would only congest discovery
// for longer.
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

// retryDelay returns the delay after any other failure. It doubles with each up to maxRetryDelay.
func (b *backoff) retryDelay() time.Duration {
	longest := min(initialRetryDelay<<min(b.failures, maxRetryDoublings), b.maxRetryDelay)
	b.failures++
	return scale(longest, 0.5+0.5*b.random())
}

// verifyDelay returns how long after a watch was resumed the complete list is requested. That is late, as the list mostly confirms what is
// known, and those of a fleet must leave discovery its time for dispatchers that know nothing.
func (b *backoff) verifyDelay() time.Duration {
	longest := max(b.window, minBusyWindow) << maxBusyDoublings
	return scale(longest, 0.5+0.5*b.random())
}

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }
