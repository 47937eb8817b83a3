package fakes

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/testbed/invariant"
)

// expectedRequests is a RequestLookup for tests, keyed by request id.
type expectedRequests map[string]ExpectedRequest

func (r expectedRequests) Find(id string) (ExpectedRequest, bool) {
	request, ok := r[id]
	return request, ok
}

// startWorker starts a warm worker with two cores that expects the given requests and reports the start of jobs.
func startWorker(t *testing.T, requests expectedRequests) (*Worker, *invariant.Ledger) {
	t.Helper()
	ledger := invariant.NewLedger()
	cfg := &Config{Ledger: ledger, Requests: requests, Dispatchers: 1, ReportsProgress: true, Fails: func() float64 { return 1 }, Net: NewNet()}
	w := NewWorker(cfg, "w1", 0, spec())
	if err := w.Start(true); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Kill)
	return w, ledger
}

// send opens a connection to the worker and writes a request on it.
func send(t *testing.T, w *Worker, request string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", w.Address(0))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err := c.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	return c
}

// receive reads as many bytes as are expected and compares them.
func receive(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Errorf("received %q (%v), not %q", got[:n], err, want)
	}
}

func post(id, target, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: w1\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", target, id, len(body), body)
}

// chunks is a chunked response with one line a chunk.
func chunks(lines ...string) string {
	var out strings.Builder
	out.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, line := range lines {
		fmt.Fprintf(&out, "%x\r\n%s\n\r\n", len(line)+1, line)
	}
	return out.String()
}

const (
	startedLine = `{"id":"a","from":"w1","state":"started"}`
	lastChunk   = "0\r\n\r\n"
)

// What a worker writes, to the byte, and how the ledger has each attempt.
func TestWorker_WritesProtocol(t *testing.T) {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name     string
		expected ExpectedRequest
		do       func(*Worker)
		request  string
		want     string
		end      invariant.End // of the attempt; Open: there is none
		changed  string
	}{
		{"health check", ExpectedRequest{}, nil, "GET /alive HTTP/1.1\r\nHost: w1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", invariant.Open, ""},
		{"no id", ExpectedRequest{}, nil, "GET /x HTTP/1.1\r\nHost: w1\r\n\r\n", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", invariant.Open, ""},
		{"unknown id", ExpectedRequest{}, nil, post("b", "/x", ""), "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", invariant.Open, ""},
		{"failing job", ExpectedRequest{Slots: 1, Work: time.Hour}, func(w *Worker) { w.FailFor(0, true) }, post("a", "/x", "body"),
			chunks(startedLine, `{"id":"a","from":"w1","state":"failed"}`) + lastChunk, invariant.Errored, ""},
		{"other type of worker", ExpectedRequest{Kind: "gpu"}, nil, post("a", "/x", "body"), notRun, invariant.Rejected, ""},
		{"more slots than cores", ExpectedRequest{Slots: 3}, nil, post("a", "/x", "body"), notRun, invariant.Rejected, ""},
		{"draining", ExpectedRequest{Slots: 1}, func(w *Worker) { w.Drain(time.Hour, time.Hour) }, post("a", "/x", "body"), notRun, invariant.Rejected, ""},
		{"other target", ExpectedRequest{Slots: 3}, nil, post("a", "/y", "body"), notRun, invariant.Rejected, "POST /y came in place of POST /x"},
		{"other body", ExpectedRequest{Slots: 3}, nil, post("a", "/x", "bod"), notRun, invariant.Rejected, "the body of 3 bytes is not the client's"},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.expected.Target, c.expected.Body = "/x", xxhash.Sum64String("body")
			w, ledger := startWorker(t, expectedRequests{"a": c.expected})
			if c.do != nil {
				c.do(w)
			}
			receive(t, send(t, w, c.request), c.want)
			checkAttempt(t, ledger, c.end, c.changed)
		})
	}
}

// checkAttempt checks the end of the ledger's only attempt; Open means that there is no attempt.
func checkAttempt(t *testing.T, ledger *invariant.Ledger, end invariant.End, changed string) {
	t.Helper()
	attempts := ledger.Attempts()
	if end == invariant.Open {
		if len(attempts) != 0 {
			t.Errorf("%d attempts, not 0", len(attempts))
		}
		return
	}
	if len(attempts) != 1 {
		t.Fatalf("%d attempts, not 1", len(attempts))
	}
	ledger.Do(func() {
		if a := attempts[0]; a.End != end || a.Changed != changed {
			t.Errorf("the attempt: %s, %q; not %s, %q", a.End, a.Changed, end, changed)
		}
	})
}

// A job that is done has a result of its attempt alone, whose hash the ledger has.
func TestWorker_ReturnsResultOfAttempt(t *testing.T) {
	w, ledger := startWorker(t, expectedRequests{"a": {Slots: 1, Work: time.Millisecond, Target: "/x", Body: xxhash.Sum64String("body")}})
	c := send(t, w, post("a", "/x", "body"))
	receive(t, c, chunks(startedLine))
	attempt := ledger.Attempts()[0]
	result := fmt.Sprintf("a ran at w1, life 1, from %d", attempt.Last)
	line := `{"id":"a","from":"w1","state":"done","result":"` + result + `"}`
	receive(t, c, fmt.Sprintf("%x\r\n%s\n\r\n%s", len(line)+1, line, lastChunk))
	ledger.Do(func() {
		if attempt.End != invariant.Done || !attempt.Ran || attempt.Result != xxhash.Sum64String(result) {
			t.Errorf("the attempt: %+v", attempt)
		}
	})
	if jobs, work, falls := w.Stats(); jobs != 1 || work != time.Millisecond || falls != 0 {
		t.Errorf("%d jobs, %v of work, %d falls", jobs, work, falls)
	}
}

// Where a drain outlasts its timeout, a waiting job goes back unstarted and a running one is lost.
func TestWorker_ReturnsQueuedJobsAfterDrainTimeout(t *testing.T) {
	hour := ExpectedRequest{Slots: 2, Work: time.Hour, Target: "/x", Body: xxhash.Sum64String("body")}
	w, ledger := startWorker(t, expectedRequests{"a": hour, "b": hour})
	running := send(t, w, post("a", "/x", "body"))
	receive(t, running, chunks(startedLine))
	waiting := send(t, w, post("b", "/x", "body"))
	receive(t, waiting, chunks())
	select {
	case <-w.Drain(0, 10*time.Millisecond):
	case <-time.After(5 * time.Second):
		t.Fatal("the drain does not end")
	}
	receive(t, waiting, strings.TrimPrefix(chunks(`{"id":"b","from":"w1","state":"returned"}`)+lastChunk, chunks()))
	receive(t, running, strings.TrimPrefix(chunks(`{"id":"a","from":"w1","state":"lost"}`)+lastChunk, chunks()))
	attempts := ledger.Attempts()
	ledger.Do(func() {
		if attempts[0].End != invariant.Died || attempts[1].End != invariant.Returned {
			t.Errorf("running: %s, waiting: %s", attempts[0].End, attempts[1].End)
		}
	})
}
