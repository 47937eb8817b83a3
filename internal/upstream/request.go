package upstream

import (
	"strconv"
	"sync"
	"time"
)

// ClientConn is the connection on which a client's request arrived.
type ClientConn interface {
	// ClientGone reports whether the client has closed its sending direction.
	ClientGone() bool
}

// Request is the request that is sent to workers for one client request. All attempts of the client request share it, possibly concurrently.
// Its fields must not be changed after the first attempt has started.
type Request struct {
	Method, Target string // as sent by the client
	ID             string
	Headers        []byte // further forwarded headers, each with its line ending
	Body           []byte
	Client         ClientConn // nil: the client is not checked

	resultsMu sync.Mutex
	results   []*responseReservation // memory of results, until ReleaseResults
}

// keep keeps the memory of a result that the client has not received yet.
func (r *Request) keep(result *responseReservation) {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	r.results = append(r.results, result)
}

// ReleaseResults releases the memory of the results of all attempts. The owner of the request calls it when the client has received the
// response and all attempts have ended.
func (r *Request) ReleaseResults() {
	r.resultsMu.Lock()
	defer r.resultsMu.Unlock()
	for _, result := range r.results {
		result.release()
	}
	r.results = nil
}

func (r *Request) clientGone() bool { return r.Client != nil && r.Client.ClientGone() }

// requestHeadSize is the initial buffer capacity for the head of a request, in bytes. The buffer grows for a longer head.
const requestHeadSize = 512

// encode encodes the request for a worker at host. timeLeft is the time for which the client still waits for the result. It is sent in whole
// milliseconds, with a minimum of 1.
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
