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

// MisbehavingClients counts the malformed requests that misbehaving clients sent, by the reaction to them. It is safe for
// concurrent use.
type MisbehavingClients struct {
	Sent         atomic.Int64 // malformed requests
	Answered     atomic.Int64 // by an error or a close, within responseTimeout
	Ignored      atomic.Int64 // neither answered nor closed within responseTimeout
	Served       atomic.Int64 // answered with 200: a worker got a job from a malformed request
	NotConnected atomic.Int64 // no connection was established
}

// Timeouts and delays of misbehaving clients.
const (
	responseTimeout      = 3 * time.Second        // for an error or a close
	misbehaviourInterval = 2 * time.Millisecond   // between malformed requests of one client
	reconnectDelay       = 200 * time.Millisecond // after an idle connection was closed
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// noiseBytes is the length of a request of random bytes.
const noiseBytes = 200

// malformedRequest returns the next request of a misbehaving client; class is the name of a valid class.
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
	case 1: // an unterminated head
		return []byte("GET / HTTP/1.1\r\nHost: lab\r\nX-Long: " + strings.Repeat("a", 32<<10))
	case 2: // a negative length
		return withLines("Content-Length: -5")
	case 3: // two lengths
		return append(withLines("Content-Length: 5", "Content-Length: 6"), "abcdef"...)
	case 4: // request smuggling
		return append(withLines("Content-Length: 4", "Transfer-Encoding: chunked"), "0\r\n\r\nPOST /x HTTP/1.1\r\n\r\n"...)
	case 5: // a body that is too large
		return append(withLines("Content-Length: 60000000"), strings.Repeat("x", 100<<10)...)
	case 6: // an unknown class
		return append(head(id, "X-Class: none", deadline, "Content-Length: 2"), "ab"...)
	case 7: // a malformed deadline
		return append(head(id, classLine, "X-Deadline-Ms: soon", "Content-Length: 2"), "ab"...)
	case 8: // no id
		return append(head(classLine, deadline, "Content-Length: 2"), "ab"...)
	case 9: // a truncated body
		return append(withLines("Content-Length: 2000"), "ab"...)
	case 10: // nothing
		return nil
	default: // more bytes than the stated length
		return append(withLines("Content-Length: 2"), strings.Repeat("abcd", 10)...)
	}
}

// noise returns random bytes followed by headEnd.
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

// send sends a malformed request on a new connection and counts the reaction.
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
	_, _ = conn.Write(request)                                     // the dispatcher may reject it before it is completely written
	response, err := http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // the connection owns the body and is closed
	var netErr net.Error
	switch {
	case ctx.Err() != nil:
		m.Sent.Add(-1)
	case err == nil && response.StatusCode == http.StatusOK:
		m.Served.Add(1)
	case err == nil:
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 64<<10)) // a truncated answer counts as well
		m.Answered.Add(1)
	case errors.As(err, &netErr) && netErr.Timeout():
		m.Ignored.Add(1)
	default: // closed
		m.Answered.Add(1)
	}
}

// HoldIdleConnections holds n connections to a dispatcher without sending until ctx ends. It reopens connections that are closed.
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
	_, _ = io.Copy(io.Discard, conn) // returns when the connection ends, with or without an error
}

// sleep returns after length or when ctx ends.
func sleep(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}
