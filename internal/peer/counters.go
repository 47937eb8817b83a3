package peer

import "sync/atomic"

// Counters count messages and bytes since the Transport was made. They are safe for concurrent use.
type Counters struct {
	Sent     atomic.Int64 // queued messages that were answered
	Lost     atomic.Int64 // queued messages that failed or were declined
	Dropped  atomic.Int64 // messages that did not fit a queue, or were queued when a member could not be reached
	Accepted atomic.Int64 // requests that were passed to a handler
	Rejected atomic.Int64 // requests that were not
	BytesOut atomic.Int64 // of sent messages
	BytesIn  atomic.Int64 // of accepted requests
}

// Values returns the counters by the names that log and status show.
func (c *Counters) Values() map[string]int64 {
	return map[string]int64{
		"sent":      c.Sent.Load(),
		"lost":      c.Lost.Load(),
		"dropped":   c.Dropped.Load(),
		"taken":     c.Accepted.Load(),
		"refused":   c.Rejected.Load(),
		"bytes_out": c.BytesOut.Load(),
		"bytes_in":  c.BytesIn.Load(),
	}
}
