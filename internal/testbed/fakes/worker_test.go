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

// startWorker starts a warmed-up worker with two cores that expects the given requests and reports the start of jobs.
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

// receive reads len(want) bytes and compares them.
func receive(t *testing.T, c net.Conn, want string) {
	t.Helper()
	got := make([]byte, len(want))
	if n, err := io.ReadFull(c, got); err != nil || string(got) != want {
		t.Errorf("received %q (%v), want %q", got[:n], err, want)
	}
}

func post(id, target, body string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: w1\r\nX-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s", target, id, len(body), body)
}

// chunks returns the beginning of a chunked response, with one line per chunk and without the last chunk.
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

// The worker's responses are checked byte for byte, with the attempt that the ledger records.
func TestWorker_Responses(t *testing.T) {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for _, c := range []struct {
		name     string
		expected ExpectedRequest
		do       func(*Worker)
		request  string
		want     string
		end      invariant.End // of the attempt; Open: no attempt is recorded
		changed  string
	}{
		{"health check", ExpectedRequest{}, nil, "GET /alive HTTP/1.1\r\nHost: w1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", invariant.Open, ""},
		{"no id", ExpectedRequest{}, nil, "GET /x HTTP/1.1\r\nHost: w1\r\n\r\n", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", invariant.Open, ""},
		{"unknown id", ExpectedRequest{}, nil, post("b", "/x", ""), "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", invariant.Open, ""},
		{"failing job", ExpectedRequest{Slots: 1, Work: time.Hour}, func(w *Worker) { w.FailFor(0, true) }, post("a", "/x", "body"),
			chunks(startedLine, `{"id":"a","from":"w1","state":"failed"}`) + lastChunk, invariant.Errored, ""},
		{"other kind of worker", ExpectedRequest{Kind: "gpu"}, nil, post("a", "/x", "body"), notRun, invariant.Rejected, ""},
		{"more slots than cores", ExpectedRequest{Slots: 3}, nil, post("a", "/x", "body"), notRun, invariant.Rejected, ""},
		{"draining", ExpectedRequest{Slots: 1}, func(w *Worker) { w.Drain(time.Hour, time.Hour) }, post("a", "/x", "body"), notRun, invariant.Rejected, ""},
		{"other target", ExpectedRequest{Slots: 3}, nil, post("a", "/y", "body"), notRun, invariant.Rejected, "received POST /y, the client sent POST /x"},
		{"other body", ExpectedRequest{Slots: 3}, nil, post("a", "/x", "bod"), notRun, invariant.Rejected, "received a body of 3 bytes that differs from the client's"},
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

// checkAttempt checks the only attempt in the ledger; if end is Open, there must be none.
func checkAttempt(t *testing.T, ledger *invariant.Ledger, end invariant.End, changed string) {
	t.Helper()
	attempts := ledger.Attempts()
	if end == invariant.Open {
		if len(attempts) != 0 {
			t.Errorf("got %d attempts, want 0", len(attempts))
		}
		return
	}
	if len(attempts) != 1 {
		t.Fatalf("got %d attempts, want 1", len(attempts))
	}
	ledger.Do(func() {
		if a := attempts[0]; a.End != end || a.Changed != changed {
			t.Errorf("attempt: got end %s, changed %q; want %s, %q", a.End, a.Changed, end, changed)
		}
	})
}

// The result of a job is unique to its attempt, and the ledger records its hash.
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
			t.Errorf("got attempt %+v, want one that ran, with end %s and the hash of %q", attempt, invariant.Done, result)
		}
	})
	if jobs, work, overloads := w.Stats(); jobs != 1 || work != time.Millisecond || overloads != 0 {
		t.Errorf("got %d jobs, %v of work, %d overloads; want 1, 1ms, 0", jobs, work, overloads)
	}
}

// At the timeout of a drain, a queued job is returned unstarted and a running one is lost.
func TestWorker_ReturnsQueuedJobsAfterDrainTimeout(t *testing.T) {
	hour := ExpectedRequest{Slots: 2, Work: time.Hour, Target: "/x", Body: xxhash.Sum64String("body")}
	w, ledger := startWorker(t, expectedRequests{"a": hour, "b": hour})
	running := send(t, w, post("a", "/x", "body"))
	receive(t, running, chunks(startedLine))
	queued := send(t, w, post("b", "/x", "body"))
	receive(t, queued, chunks())
	select {
	case <-w.Drain(0, 10*time.Millisecond):
	case <-time.After(5 * time.Second):
		t.Fatal("timed out after 5s: the drain has not ended")
	}
	receive(t, queued, strings.TrimPrefix(chunks(`{"id":"b","from":"w1","state":"returned"}`)+lastChunk, chunks()))
	receive(t, running, strings.TrimPrefix(chunks(`{"id":"a","from":"w1","state":"lost"}`)+lastChunk, chunks()))
	attempts := ledger.Attempts()
	ledger.Do(func() {
		if attempts[0].End != invariant.Died || attempts[1].End != invariant.Returned {
			t.Errorf("got ends %s and %s, want %s and %s", attempts[0].End, attempts[1].End, invariant.Died, invariant.Returned)
		}
	})
}
