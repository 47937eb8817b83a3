package discovery

import "time"

// propagationDeadline is the platform's limit on propagation: a dispatcher is assumed to know a change this long after discovery has it and
// is reachable, no matter how earlier requests ended or when a watch fell silent.
const propagationDeadline = 6 * time.Second

// timing holds the timeouts and the maximum delays for one kind of discovery. On each way to the next list their sum must not exceed
// propagationDeadline.
type timing struct {
	watchIdleTimeout time.Duration // until a watch on which no line arrives is abandoned; discovery sends an empty line every 2 s
	requestTimeout   time.Duration // for connecting and reading the head of the response
	listTimeout      time.Duration // additional time for reading a complete list, if that was requested
	maxRetryDelay    time.Duration // between failed requests
	maxBusyDelay     time.Duration // after a busy response, or a missing one that indicates congestion
	maxYieldDelay    time.Duration // of a dispatcher that has received a list, before requests that may follow those of others
	rateLimited      bool          // discovery serves a limited rate of requests, so a missing response may indicate too many requests
}

// polledTiming is for discovery over a network. It rejects requests that it cannot serve within its own timeout of at most two seconds.
// requestTimeout is longer than that: an admitted request that is abandoned costs discovery as much as one that is answered.
var polledTiming = timing{
	watchIdleTimeout: 2750 * time.Millisecond,
	requestTimeout:   2200 * time.Millisecond,
	listTimeout:      250 * time.Millisecond,
	maxRetryDelay:    750 * time.Millisecond,
	maxBusyDelay:     750 * time.Millisecond,
	maxYieldDelay:    3500 * time.Millisecond,
	rateLimited:      true,
}

// pushedTiming is for an agent on this machine to which lists are pushed. It responds immediately and at no cost. While discovery is down
// it is silent; as soon as it responds again, its list counts as known. From then on requests may be sent to a draining worker for 0.5 s,
// or for as long as the settings allow: the timeouts leave time for two requests to the agent within 0.5 s.
var pushedTiming = timing{
	watchIdleTimeout: 3 * time.Second,
	requestTimeout:   150 * time.Millisecond,
	listTimeout:      850 * time.Millisecond,
	maxRetryDelay:    100 * time.Millisecond,
	maxBusyDelay:     300 * time.Millisecond,
	maxYieldDelay:    100 * time.Millisecond,
}
