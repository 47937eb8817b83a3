package loadgen

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"birchfork/internal/testbed/fakes"
)

// Fields of the closed loop's requests.
const (
	closedTarget   = "/search/lab"
	closedClass    = "search"
	closedDeadline = 10 * time.Second
)

// UniformRequests is a fakes.RequestLookup for a closed loop, whose requests are all equal except for their ids.
type UniformRequests struct{ Request fakes.ExpectedRequest }

// Find returns the same request for every id.
func (u UniformRequests) Find(string) (fakes.ExpectedRequest, bool) { return u.Request, true }

// NewUniformRequests returns the requests of a closed loop; each takes work on a core of speed 1 and has a body of bodyBytes zeros.
func NewUniformRequests(work time.Duration, bodyBytes int) UniformRequests {
	return UniformRequests{fakes.ExpectedRequest{Work: work, Slots: 1, Target: closedTarget, Body: xxhash.Sum64(make([]byte, bodyBytes))}}
}

// ClosedLoopResult is the result of a closed loop.
type ClosedLoopResult struct {
	Requests, Failed int64 // Requests excludes the failed ones
	Took             time.Duration
	Latency          *hdrhistogram.Histogram // microseconds
}

// PerSecond returns the throughput in requests per second.
func (c *ClosedLoopResult) PerSecond() float64 { return float64(c.Requests) / c.Took.Seconds() }

// newLatencyHistogram returns a histogram of microseconds up to a minute, with three significant digits.
func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
}

// RunClosedLoop runs n clients for length, each of which sends its next request to addr as soon as the last one is answered.
// idPrefix distinguishes the request ids from those of other loops.
func RunClosedLoop(ctx context.Context, addr, idPrefix string, n, bodyBytes int, length time.Duration) *ClosedLoopResult {
	out := &ClosedLoopResult{Latency: newLatencyHistogram()}
	var mu sync.Mutex
	var clients sync.WaitGroup
	var failed atomic.Int64
	began := time.Now()
	for i := range n {
		clients.Add(1)
		go func() {
			defer clients.Done()
			c := &closedClient{addr: addr, latency: newLatencyHistogram(), failed: &failed, request: Request{
				Class: closedClass, Target: closedTarget, TimeLeft: closedDeadline, Body: make([]byte, bodyBytes),
			}}
			defer c.close()
			for k := 0; ctx.Err() == nil && time.Since(began) < length; k++ {
				c.send(fmt.Sprintf("%s-%x-%x", idPrefix, i, k))
			}
			mu.Lock()
			defer mu.Unlock()
			out.Latency.Merge(c.latency)
		}()
	}
	clients.Wait()
	out.Took, out.Failed = time.Since(began), failed.Load()
	out.Requests = out.Latency.TotalCount()
	return out
}

// closedClient is one client of a closed loop.
type closedClient struct {
	addr    string
	request Request
	conn    *Conn // nil: no connection is open
	latency *hdrhistogram.Histogram
	failed  *atomic.Int64 // shared by all clients
}

// send sends a request, on a new connection if none is open, and waits for the answer.
func (c *closedClient) send(id string) {
	if c.conn == nil {
		conn, err := Dial(c.addr, dialTimeout)
		if err != nil {
			c.failed.Add(1)
			time.Sleep(redialDelay)
			return
		}
		c.conn = conn
	}
	c.request.ID = id
	sentAt := time.Now()
	status, reusable, err := c.exchange(sentAt.Add(c.request.TimeLeft))
	if err == nil && status == http.StatusOK {
		// Cannot fail: no request takes longer than its deadline, which is far below the histogram's maximum.
		_ = c.latency.RecordValue(max(1, time.Since(sentAt).Microseconds()))
	} else {
		c.failed.Add(1)
	}
	if !reusable {
		c.close()
	}
}

// exchange sends the request on the open connection and receives the answer.
func (c *closedClient) exchange(deadline time.Time) (status int, reusable bool, err error) {
	if err := c.conn.Send(&c.request); err != nil {
		return 0, false, err
	}
	a, reusable, err := c.conn.Receive(deadline)
	return a.Status, reusable, err
}

func (c *closedClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}
