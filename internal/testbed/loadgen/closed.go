package loadgen

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"birchfork/internal/testbed/fakes"
)

// Book describes the requests of the closed loop to the fake workers; all are alike.
type Book struct{ Order fakes.Order }

// Find returns the same order for every request id.
func (b Book) Find(string) (fakes.Order, bool) { return b.Order, true }

// closedTarget is what the closed loop asks for.
const closedTarget = "/search/lab"

// NewBook returns the book of a closed loop whose requests need work and have a body of so many bytes.
func NewBook(work time.Duration, body int) Book {
	return Book{fakes.Order{Work: work, Slots: 1, Target: closedTarget, Body: xxhash.Sum64(make([]byte, body))}}
}

// Closed is the result of a closed loop.
type Closed struct {
	Requests, Failed int64
	Took             time.Duration
	Latency          *hdrhistogram.Histogram // microseconds
}

// PerSecond returns the throughput in requests per second.
func (c *Closed) PerSecond() float64 { return float64(c.Requests) / c.Took.Seconds() }

// RunClosed lets n clients send requests to one address for length, each the next one as soon as the last is answered.
// run is the prefix that keeps request ids apart from those of other loops.
func RunClosed(ctx context.Context, addr, run string, n, body int, length time.Duration) *Closed {
	out := &Closed{Latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed atomic.Int64
	began := time.Now()
	for i := range n {
		all.Add(1)
		go func() {
			defer all.Done()
			h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
			var c *Conn
			q := &Request{Class: "search", Target: closedTarget, Left: 10 * time.Second, Body: make([]byte, body)}
			for k := 0; ctx.Err() == nil && time.Since(began) < length; k++ {
				if c == nil {
					var err error
					if c, err = Dial(addr, dialWait); err != nil {
						failed.Add(1)
						time.Sleep(elsewhere)
						continue
					}
				}
				q.ID = fmt.Sprintf("%s-%x-%x", run, i, k)
				at := time.Now()
				err := c.Send(q)
				var a Answer
				again := false
				if err == nil {
					a, again, err = c.Receive(at.Add(q.Left))
				}
				if err == nil && a.Status == 200 {
					// No request takes longer than Left, far below the histogram's maximum.
					_ = h.RecordValue(max(1, time.Since(at).Microseconds()))
				} else {
					failed.Add(1)
				}
				if !again {
					c.Close()
					c = nil
				}
			}
			if c != nil {
				c.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			out.Latency.Merge(h)
		}()
	}
	all.Wait()
	out.Took, out.Failed = time.Since(began), failed.Load()
	out.Requests = out.Latency.TotalCount()
	return out
}
