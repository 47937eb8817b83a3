package discovery

import "time"

// propagationDeadline is the platform's limit: however a request ended, and however a watch fell silent, a dispatcher counts as having a
// change this long after discovery had it and was reachable.
const propagationDeadline = 6 * time.Second

// timing is the timeouts and the longest delays for one kind of discovery. Their sums must stay within propagationDeadline: see
// afterSilence and afterBusy.
type timing struct {
	watchIdleTimeout time.Duration // until a watch without a line is abandoned; an empty line is due every 2 s
	requestTimeout   time.Duration // to connect and to read the head of the response ...
	listTimeout      time.Duration // ... and this much more for a complete list, if that was requested
	maxRetryDelay    time.Duration // between failed requests
	maxBusyDelay     time.Duration // after a response that discovery is busy, if the fleet's requests fit into propagationDeadline
	congestible      bool          // discovery serves a limited rate of requests, so a request without a response may mean that there are too many
}

// polledTiming is for discovery over a network, which by itself gives up requests that it cannot serve after one second.
var polledTiming = timing{
	watchIdleTimeout: 2750 * time.Millisecond,
	requestTimeout:   1200 * time.Millisecond,
	listTimeout:      250 * time.Millisecond,
	maxRetryDelay:    150 * time.Millisecond,
	maxBusyDelay:     1500 * time.Millisecond,
	congestible:      true,
}

// pushedTiming is for an agent on this machine to which lists are pushed. It responds immediately and at no cost. It is silent while
// discovery is down, and its list counts as known from the moment when it returns. From then on requests may go to a draining worker for
// 0.5 s, or for as long as the settings allow: the timeouts leave time for two requests within that.
var pushedTiming = timing{
	watchIdleTimeout: 3 * time.Second,
	requestTimeout:   150 * time.Millisecond,
	listTimeout:      850 * time.Millisecond,
	maxRetryDelay:    100 * time.Millisecond,
	maxBusyDelay:     1500 * time.Millisecond,
}

// maxLostRequests is how many requests in a row may fail so that the next one still delivers the list within propagationDeadline.
const maxLostRequests = 1

// afterSilence returns the longest time from a watch's last line to the complete list from a further request.
func (t timing) afterSilence() time.Duration {
	return t.watchIdleTimeout + (maxLostRequests+1)*(t.maxRetryDelay+t.requestTimeout+t.listTimeout)
}

// afterBusy returns the longest time from a response that discovery is busy to the complete list from a further request.
func (t timing) afterBusy() time.Duration {
	return (maxLostRequests + 1) * (t.maxBusyDelay + t.requestTimeout + t.listTimeout)
}
