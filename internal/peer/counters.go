package peer

import "sync/atomic"

// Counters count messages and bytes since the Transport was created. They are safe for concurrent use.
type Counters struct {
	Sent     atomic.Int64 // queued messages that were answered
	Lost     atomic.Int64 // queued messages that failed or were rejected
	Dropped  atomic.Int64 // messages for a full queue, or queued when the member was found unreachable
	Accepted atomic.Int64 // requests passed to a handler
	Rejected atomic.Int64 // requests not passed to a handler
	BytesOut atomic.Int64 // of sent messages
	BytesIn  atomic.Int64 // of accepted requests
}

// Values returns the counters by their names in log and status.
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
