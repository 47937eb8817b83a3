// Package upstreamtest provides workers and attempts for tests of the exchange with workers.
package upstreamtest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

// Worker is a worker whose responses are defined by the test. Its methods are safe for concurrent use.
type Worker struct {
	Address  string
	mu       sync.Mutex
	requests []*http.Request
	bodies   []string
	accepted int
}

// StartWorker starts a worker that stops when the test ends. For each request the worker calls answer, which writes the response to the
// connection. The connection is closed if answer returns false.
func StartWorker(t testing.TB, answer func(c net.Conn, r *http.Request) bool) *Worker {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &Worker{Address: l.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var serving sync.WaitGroup // accept loop and connections
	t.Cleanup(func() {
		cancel()
		l.Close()
		serving.Wait()
	})
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.accepted++
			w.mu.Unlock()
			serving.Go(func() { w.serve(ctx, c, answer) })
		}
	})
	return w
}

// serve answers the requests on one connection until answer returns false or ctx is done.
func (w *Worker) serve(ctx context.Context, c net.Conn, answer func(c net.Conn, r *http.Request) bool) {
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		w.mu.Lock()
		w.requests = append(w.requests, r)
		w.bodies = append(w.bodies, string(body))
		w.mu.Unlock()
		if !answer(c, r) {
			return
		}
	}
}

// RequestCount returns the number of requests that the worker has received.
func (w *Worker) RequestCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.requests)
}

// Request returns the i-th request that the worker has received, and its body.
func (w *Worker) Request(i int) (r *http.Request, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.requests[i], w.bodies[i]
}

// ConnCount returns the number of connections that the worker has accepted.
func (w *Worker) ConnCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accepted
}

// OKHead is the head of a chunked response with status 200.
const OKHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Chunk returns one chunk of a chunked body.
func Chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// StatusLine returns one line of a worker's response for the request with the given id. fields contains further JSON fields, each with a
// leading comma.
func StatusLine(id, state, fields string) string {
	return fmt.Sprintf(`{"id":%q,"from":"w","state":%q%s}`+"\n", id, state, fields)
}

// Answer returns a complete chunked response with status 200, one chunk per line.
func Answer(lines ...string) string {
	answer := OKHead
	for _, line := range lines {
		answer += Chunk(line)
	}
	return answer + "0\r\n\r\n"
}

// RespondDone writes a complete response with a result.
func RespondDone(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Request-Id")
	io.WriteString(c, Answer(
		StatusLine(id, "started", ""),
		StatusLine(id, "running", `,"share":0.4`),
		StatusLine(id, "done", `,"result":"made \"it\""`)))
	return true
}

// ListWithWorker returns a complete endpoint list with one ready worker, named w.
func ListWithWorker(addr string) engine.EndpointList {
	return engine.EndpointList{Version: 1, Snapshot: true, Endpoints: []engine.Endpoint{
		{Name: "w", Address: addr, Zone: "a", Kind: "big", Cell: -1, State: dispatch.Ready}}}
}

// OpenAttempt opens a request with the id id-1 and returns it with its first attempt. The request is closed when the test ends.
func OpenAttempt(t *testing.T, e *engine.Engine, class string, timeLeft time.Duration) (*engine.Request, *engine.Attempt) {
	t.Helper()
	request, err := e.Open(engine.RequestSpec{ID: "id-1", Class: class, TimeLeft: timeLeft})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(request.Close)
	decision := <-request.Decisions()
	if decision.Attempt == nil {
		t.Fatalf("decision %+v, want an attempt", decision)
	}
	return request, decision.Attempt
}
