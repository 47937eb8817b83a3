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

// Request is what goes to a worker for one request of a client, the same in all its attempts. It must not be changed once the first attempt
// has begun; attempts may then use it concurrently.
type Request struct {
	Method, Target string // as the client sent them
	ID             string
	Headers        []byte // further headers that are forwarded, each with its line end
	Body           []byte
	Client         ClientConn // nil if there is none to look at
}

func (r *Request) clientGone() bool { return r.Client != nil && r.Client.ClientGone() }

// requestHeadSize is the capacity to start with for a request's head; a longer one grows it.
const requestHeadSize = 512

// encode returns the request as it goes out to a worker at host. timeLeft is how long the client still waits for the result; the worker is
// told whole milliseconds, and at least one.
func (r *Request) encode(host string, timeLeft time.Duration) []byte {
	b := make([]byte, 0, requestHeadSize+len(r.Body))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, host...)
	b = append(b, "\r\nX-Request-Id: "...)
	b = append(b, r.ID...)
	b = append(b, "\r\nX-Deadline-Ms: "...)
	b = strconv.AppendInt(b, max(timeLeft.Milliseconds(), 1), 10)
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(r.Body)), 10)
	b = append(b, "\r\n"...)
	b = append(b, r.Headers...)
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}
