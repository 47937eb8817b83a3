package loadgen

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Request is one HTTP request of a client.
type Request struct {
	ID, Class, Tenant string
	Target            string
	TimeLeft          time.Duration // to the deadline
	Retry             bool          // marked as a retry
	Extras            string        // value of X-Extras: the slots and memory that the job needs
	Body              []byte
}

// appendTo appends the encoded request to b.
func (q *Request) appendTo(b []byte, host string) []byte {
	b = append(append(append(b, "POST "...), q.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nX-Request-Id: "...)
	b = append(append(b, q.ID...), "\r\nX-Class: "...)
	b = append(append(b, q.Class...), "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(q.TimeLeft.Milliseconds(), 1), 10)
	if q.Tenant != "" {
		b = append(append(b, "\r\nX-Tenant: "...), q.Tenant...)
	}
	if q.Retry {
		b = append(b, "\r\nX-Retry: 1"...)
	}
	if q.Extras != "" {
		b = append(append(b, "\r\nX-Extras: "...), q.Extras...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(q.Body)), 10)
	return append(append(b, "\r\n\r\n"...), q.Body...)
}

// Answer is a complete response.
type Answer struct {
	Status     int
	Body       []byte
	RetryAfter time.Duration
}

// Hash returns a hash of the body.
func (a *Answer) Hash() uint64 { return xxhash.Sum64(a.Body) }
