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
	Sent     atomic.Int64 // what they sent
	Answered atomic.Int64 // an error or a close, in time
	Ignored  atomic.Int64 // neither
	Served   atomic.Int64 // 200 for what cannot be read: somebody made a job of it
	NoPlace  atomic.Int64 // no connection came up
}

// Times of misbehaving clients.
const (
	responseTimeout      = 3 * time.Second // for an error or a close
	misbehaviourInterval = 2 * time.Millisecond
)

// headEnd ends the head of a request.
const headEnd = "\r\n\r\n"

// misbehaviours returns what a misbehaving client sends; class is a class that exists.
func misbehaviours(r *rand.Rand, class string) []byte {
	head := func(lines ...string) []byte {
		return []byte(fmt.Sprintf("POST /%s/x HTTP/1.1\r\nHost: lab\r\n%s\r\n\r\n", class, strings.Join(lines, "\r\n")))
	}
	id, cl, dl := fmt.Sprintf("X-Request-Id: rude%x", r.Uint64()), "X-Class: "+class, "X-Deadline-Ms: 2000"
	switch r.IntN(12) {
	case 0:
		const noise = 200
		b := make([]byte, noise, noise+len(headEnd))
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		return append(b, headEnd...)
	case 1: // a head without end
		return []byte("GET / HTTP/1.1\r\nHost: lab\r\nX-Long: " + strings.Repeat("a", 32<<10))
	case 2:
		return head(id, cl, dl, "Content-Length: -5")
	case 3:
		return append(head(id, cl, dl, "Content-Length: 5", "Content-Length: 6"), "abcdef"...)
	case 4: // hides a request of its own
		return append(head(id, cl, dl, "Content-Length: 4", "Transfer-Encoding: chunked"), "0\r\n\r\nPOST /x HTTP/1.1\r\n\r\n"...)
	case 5:
		return append(head(id, cl, dl, "Content-Length: 60000000"), strings.Repeat("x", 100<<10)...)
	case 6:
		return append(head(id, "X-Class: none", dl, "Content-Length: 2"), "ab"...)
	case 7:
		return append(head(id, cl, "X-Deadline-Ms: soon", "Content-Length: 2"), "ab"...)
	case 8:
		return append(head(cl, dl, "Content-Length: 2"), "ab"...)
	case 9: // half a body
		return append(head(id, cl, dl, "Content-Length: 2000"), "ab"...)
	case 10: // nothing
		return nil
	default: // more than its length
		return append(head(id, cl, dl, "Content-Length: 2"), strings.Repeat("abcd", 10)...)
	}
}

// Run sends malformed requests to a dispatcher from n clients until ctx ends.
func (u *MisbehavingClients) Run(ctx context.Context, addr, class string, n int, seed uint64) {
	var all sync.WaitGroup
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for ctx.Err() == nil {
				u.once(ctx, addr, misbehaviours(r, class))
				select {
				case <-ctx.Done():
				case <-time.After(misbehaviourInterval):
				}
			}
		}()
	}
	all.Wait()
}

func (u *MisbehavingClients) once(ctx context.Context, addr string, what []byte) {
	conn, err := net.DialTimeout("tcp", addr, dialWait)
	if err != nil {
		u.NoPlace.Add(1)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	conn.SetDeadline(time.Now().Add(responseTimeout))
	u.Sent.Add(1)
	// It may be turned down before it is through.
	_, _ = conn.Write(what)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil) //nolint:bodyclose // the connection owns the body and is closed
	var timeout net.Error
	switch {
	case ctx.Err() != nil:
		u.Sent.Add(-1)
	case err == nil && res.StatusCode == http.StatusOK:
		u.Served.Add(1)
	case err == nil:
		_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, 64<<10)) // answered, whole or not
		u.Answered.Add(1)
	case errors.As(err, &timeout) && timeout.Timeout():
		u.Ignored.Add(1)
	default: // closed
		u.Answered.Add(1)
	}
}

// Idle holds n connections to a dispatcher, without sending, until ctx ends; one that is closed is opened again.
func Idle(ctx context.Context, addr string, n int) {
	var all sync.WaitGroup
	for range n {
		all.Add(1)
		go func() {
			defer all.Done()
			for ctx.Err() == nil {
				conn, err := net.DialTimeout("tcp", addr, dialWait)
				if err == nil {
					stop := context.AfterFunc(ctx, func() { conn.Close() })
					_, _ = io.Copy(io.Discard, conn) // until the connection ends, however it does
					stop()
					conn.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(200 * time.Millisecond):
				}
			}
		}()
	}
	all.Wait()
}
