package discovery

import "time"

// propagationDeadline is the platform's bound: whatever became of a request, and however a watch fell silent, a change counts as known to a
// dispatcher so long after discovery had it and could be reached.
const propagationDeadline = 6 * time.Second

// timing holds the timeouts and the longest delays for one kind of discovery. Its sums are bound by propagationDeadline, see afterSilence and
// afterBusy.
type timing struct {
	watchIdleTimeout time.Duration // until a watch without a line is given up; an empty line is due every 2 s
	requestTimeout   time.Duration // to connect and to get the head of the response ...
	listTimeout      time.Duration // ... and so much more for a complete list, where that was requested
	maxRetryDelay    time.Duration // between requests that failed
	maxBusyDelay     time.Duration // after a response that says that discovery is busy, where the fleet's requests fit
	congestible      bool          // discovery carries a limited rate of requests, so one without a response may be one too many
}

// polledTiming is for discovery that is reached over a network; it gives up by itself after a second what it cannot carry.
var polledTiming = timing{
	watchIdleTimeout: 2750 * time.Millisecond,
	requestTimeout:   1200 * time.Millisecond,
	listTimeout:      250 * time.Millisecond,
	maxRetryDelay:    150 * time.Millisecond,
	maxBusyDelay:     1500 * time.Millisecond,
	congestible:      true,
}

// pushedTiming is for an agent on this machine to which lists are pushed. It responds at once and at no cost; it is silent while discovery is
// down, and what it has counts as known from the moment of its return. Requests may go to a worker that drains for 0.5 s then, or for as long
// as the settings say: the timeouts leave room for two requests in that time.
var pushedTiming = timing{
	watchIdleTimeout: 3 * time.Second,
	requestTimeout:   150 * time.Millisecond,
	listTimeout:      850 * time.Millisecond,
	maxRetryDelay:    100 * time.Millisecond,
	maxBusyDelay:     1500 * time.Millisecond,
}

// maxLostRequests is how many requests in a row may fail and the next one still brings the list within propagationDeadline.
const maxLostRequests = 1

// afterSilence returns the longest time from a watch's last line to the complete list by another request.
func (t timing) afterSilence() time.Duration {
	return t.watchIdleTimeout + (maxLostRequests+1)*(t.maxRetryDelay+t.requestTimeout+t.listTimeout)
}

// afterBusy returns the longest time from a response that discovery is busy to the complete list by a further request.
func (t timing) afterBusy() time.Duration {
	return (maxLostRequests + 1) * (t.maxBusyDelay + t.requestTimeout + t.listTimeout)
}
