package loadgen

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// MisbehavingClients counts what misbehaving clients sent and how it was answered. It is safe for concurrent use.
type MisbehavingClients struct {
	Sent         atomic.Int64 // malformed requests
	Answered     atomic.Int64 // by an error or a close, within responseTimeout
	Ignored      atomic.Int64 // neither answered nor closed by then
	Served       atomic.Int64 // answered with 200: a worker got a job for what cannot be read
	NotConnected atomic.Int64 // no connection was established
}

// Times of misbehaving clients.
const (
	responseTimeout      = 3 * time.Second        // for an error or a close
	misbehaviourInterval = 2 * time.Millisecond   // between malformed requests of one client
	reconnectDelay       = 200 * time.Millisecond // of an idle connection that was closed
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// noiseBytes is the length of a request of random bytes.
const noiseBytes = 200

// malformedRequest returns the next request of a misbehaving client; class is a class that exists.
func malformedRequest(r *rand.Rand, class string) []byte {
	id, classLine, deadline := fmt.Sprintf("X-Request-Id: rude%x", r.Uint64()), "X-Class: "+class, "X-Deadline-Ms: 2000"
	head := func(lines ...string) []byte {
		return []byte(fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: lab\r\n%s%s", class, strings.Join(lines, "\r\n"), headEnd))
	}
	withLines := func(lines ...string) []byte {
		return head(append([]string{id, classLine, deadline}, lines...)...)
	}
	switch r.IntN(12) {
	case 0:
		return noise(r)
	case 1: // a head without end
		return []byte("GET / HTTP/1.1\r\nHost: lab\r\nX-Long: " + strings.Repeat("a", 32<<10))
	case 2: // a negative length
		return withLines("Content-Length: -5")
	case 3: // two lengths
		return append(withLines("Content-Length: 5", "Content-Length: 6"), "abcdef"...)
	case 4: // request smuggling
		return append(withLines("Content-Length: 4", "Transfer-Encoding: chunked"), "0\r\n\r\nPOST /x HTTP/1.1\r\n\r\n"...)
	case 5: // too large a body
		return append(withLines("Content-Length: 60000000"), strings.Repeat("x", 100<<10)...)
	case 6: // an unknown class
		return append(head(id, "X-Class: none", deadline, "Content-Length: 2"), "ab"...)
	case 7: // a deadline that is no number
		return append(head(id, classLine, "X-Deadline-Ms: soon", "Content-Length: 2"), "ab"...)
	case 8: // no id
		return append(head(classLine, deadline, "Content-Length: 2"), "ab"...)
	case 9: // half a body
		return append(withLines("Content-Length: 2000"), "ab"...)
	case 10: // nothing
		return nil
	default: // more than its length
		return append(withLines("Content-Length: 2"), strings.Repeat("abcd", 10)...)
	}
}

// noise returns random bytes that end like a head.
func noise(r *rand.Rand) []byte {
	b := make([]byte, noiseBytes, noiseBytes+len(headEnd))
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return append(b, headEnd...)
}

// Run sends malformed requests to a dispatcher from n clients until ctx ends.
func (m *MisbehavingClients) Run(ctx context.Context, addr, class string, n int, seed uint64) {
	var clients sync.WaitGroup
	for i := range n {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				m.send(ctx, addr, malformedRequest(r, class))
				sleep(ctx, misbehaviourInterval)
			}
		}()
	}
	clients.Wait()
}

// send sends a malformed request on a connection of its own and counts how it was answered.
func (m *MisbehavingClients) send(ctx context.Context, addr string, request []byte) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		m.NotConnected.Add(1)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	conn.SetDeadline(time.Now().Add(responseTimeout))
	m.Sent.Add(1)
	_, _ = conn.Write(request)                                     // it may be rejected before it is written whole
	response, err := http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // the connection owns the body and is closed
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		m.Sent.Add(-1)
	case err == nil && response.StatusCode == http.StatusOK:
		m.Served.Add(1)
	case err == nil:
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10)) // answered, whole or not
		m.Answered.Add(1)
	case errors.As(err, &netErr) && netErr.Timeout():
		m.Ignored.Add(1)
	default: // closed
		m.Answered.Add(1)
	}
}

// HoldIdleConnections holds n connections to a dispatcher, without sending, until ctx ends; one that is closed is opened again.
func HoldIdleConnections(ctx context.Context, addr string, n int) {
	var clients sync.WaitGroup
	for range n {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for ctx.Err() == nil {
				holdIdle(ctx, addr)
				sleep(ctx, reconnectDelay)
			}
		}()
	}
	clients.Wait()
}

// holdIdle opens a connection and holds it until it is closed or ctx ends.
func holdIdle(ctx context.Context, addr string) {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	_, _ = io.Copy(io.Discard, conn) // until the connection ends, however it does
}

// sleep returns after a time or when ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
