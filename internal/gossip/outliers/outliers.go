// Package outliers exchanges reports about workers with failing requests between the members of a group. Nothing is persisted and delivery
// is not guaranteed. The decision module decides what a report means for a worker.
package outliers

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
)

// Limits on reports.
const (
	maxPending        = 64                     // queued reports; further ones are dropped
	fanout            = 32                     // members that receive a report
	minReportInterval = 250 * time.Millisecond // for each worker, because its failures continue until it is ejected
	maxNameBytes      = 256                    // of a worker's name
	maxTrackedWorkers = 10_000                 // workers for which the time of the last report is stored
)

// reportPath is the path of reports between members.
const reportPath = "/group/warn"

// report is a message that a worker has failing requests.
type report struct {
	Worker string `json:"worker"`
}

// Broadcaster exchanges reports with the other members. It is safe for concurrent use, except for Attach and Detach, which only its
// owner calls.
type Broadcaster struct {
	Sent     atomic.Int64 // reports, each sent to several members
	Rejected atomic.Int64 // malformed messages

	peers    []string
	onReport func(worker string)
	pending  chan string

	cancel context.CancelFunc // stops the loop
	loops  sync.WaitGroup
}

// New returns a Broadcaster that exchanges reports with peers, the other members. It sends nothing before Attach. onReport is called with
// each worker that another member reports, from several goroutines.
func New(peers []string, onReport func(worker string)) *Broadcaster {
	return &Broadcaster{peers: peers, onReport: onReport, pending: make(chan string, maxPending)}
}

// Report queues a report to other members that a worker has failing requests. It does not wait; if the queue is full, it drops the report.
func (b *Broadcaster) Report(worker string) {
	select {
	case b.pending <- worker:
	default:
	}
}

// Attach connects the Broadcaster to a transport that does not serve yet: it registers the handler and starts the loop, which Detach stops.
func (b *Broadcaster) Attach(transport *peer.Transport) {
	transport.Handle(reportPath, b.handleReport)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.loops.Go(func() { b.sendLoop(ctx, transport) })
}

// Detach stops the loop and waits for it.
func (b *Broadcaster) Detach() {
	b.cancel()
	b.loops.Wait()
}

// Fields returns the counters by their names in the log.
func (b *Broadcaster) Fields() map[string]int64 {
	return map[string]int64{"warnings_told": b.Sent.Load(), "warnings_refused": b.Rejected.Load()}
}

// sendLoop sends pending reports, at most one per worker within minReportInterval.
func (b *Broadcaster) sendLoop(ctx context.Context, transport *peer.Transport) {
	lastSent := map[string]time.Time{}
	for {
		select {
		case <-ctx.Done():
			return
		case worker := <-b.pending:
			tooSoon := time.Since(lastSent[worker]) < minReportInterval
			if tooSoon || failpoint.Enabled(failpoint.NoOutlierReports) {
				continue
			}
			if len(lastSent) >= maxTrackedWorkers {
				clear(lastSent)
			}
			lastSent[worker] = time.Now()
			b.send(transport, worker)
		}
	}
}

// send queues a report to fanout random members.
func (b *Broadcaster) send(transport *peer.Transport, worker string) {
	body, err := json.Marshal(report{Worker: worker})
	if err != nil {
		return
	}
	for _, name := range peer.Sample(b.peers, fanout) {
		transport.Send(name, reportPath, body)
	}
	b.Sent.Add(1)
}

// handleReport handles another member's report.
func (b *Broadcaster) handleReport(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var received report
	err := json.Unmarshal(body, &received)
	if err != nil || received.Worker == "" || len(received.Worker) > maxNameBytes {
		b.Rejected.Add(1)
		return nil, &peer.RejectedError{Reason: "malformed outlier report"}
	}
	b.onReport(received.Worker)
	return nil, nil
}
