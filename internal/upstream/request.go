package upstream

import (
	"strconv"
	"time"
)

// ClientConn is the connection on which a client's request arrived.
type ClientConn interface {
	// ClientGone reports whether the client has closed its sending direction.
	ClientGone() bool
}

// Request is what is sent to a worker for one client request, the same in all its attempts. It must not be changed once the first attempt
// has begun; attempts may then use it concurrently.
type Request struct {
	Method, Target string // as the client sent them
	ID             string
	Headers        []byte // further forwarded headers, each with its line ending
	Body           []byte
	Client         ClientConn // nil if there is none to check
}

func (r *Request) clientGone() bool { return r.Client != nil && r.Client.ClientGone() }

// requestHeadSize is the initial capacity for a request's head; a longer one grows it.
const requestHeadSize = 512

// encode encodes the request for a worker at host. timeLeft is how long the client still waits for the result; it is sent in integer
// milliseconds, and at least one.
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
