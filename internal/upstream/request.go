package upstream

import (
	"strconv"
	"time"
)

// ClientConn is the connection that a client's request came on.
type ClientConn interface {
	// ClientGone reports whether the client has ended its sending.
	ClientGone() bool
}

// Request is what goes to a worker for one request of a client, the same in all its attempts. It is not changed once the first attempt
// has begun.
type Request struct {
	Method, Target string // as the client sent them
	ID             string
	Headers        []byte // further headers that are forwarded, each with its line end
	Body           []byte
	Client         ClientConn // nil: there is none that can be looked at
}

func (r *Request) clientGone() bool { return r.Client != nil && r.Client.ClientGone() }

// appendHTTP writes the request as it goes out. left tells the worker how long the answer is waited for.
func (r *Request) appendHTTP(b []byte, host string, timeLeft time.Duration) []byte {
	b = append(append(append(append(b, r.Method...), ' '), r.Target...), " HTTP/1.1\r\nHost: "...)
	b = append(append(b, host...), "\r\nX-Request-Id: "...)
	b = append(append(b, r.ID...), "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(timeLeft.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	b = append(b, "\r\n"...)
	b = append(b, r.Headers...)
	return append(append(b, "\r\n"...), r.Body...)
}
