// Package outliers tells the other members of a group of workers at which jobs fail, and hears of theirs. Nothing is kept and
// nothing is sure to arrive: what a warning is worth is the module's to say.
package outliers

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
)

// Bounds on warnings.
const (
	maxPending        = 64                     // that wait to be told; what is over is not told
	fanout            = 32                     // members that hear of one
	minReportInterval = 250 * time.Millisecond // of one worker, at the most: its failures go on until it is left alone
	maxNameBytes      = 256                    // bytes of a worker's name
	maxTrackedWorkers = 10_000                 // workers of which it is known when others were warned last
)

const reportPath = "/group/warn"

// report says that jobs fail at a worker.
type report struct {
	Worker string `json:"worker"`
}

// Broadcaster is one member's part. It tells nothing before Enter and after Leave.
type Broadcaster struct {
	Sent, Rejected atomic.Int64

	peers    []string
	onReport func(worker string)
	pending  chan string

	cancel context.CancelFunc
	loops  sync.WaitGroup
}

// New returns a Warner; warned hears of workers that others name.
func New(peers []string, onReport func(worker string)) *Broadcaster {
	return &Broadcaster{peers: peers, onReport: onReport, pending: make(chan string, maxPending)}
}

// Report tells others that jobs fail at a worker here. It does not wait.
func (b *Broadcaster) Report(worker string) {
	select {
	case b.pending <- worker:
	default:
	}
}

// Attach takes part by the links of a place in the group, before they serve.
func (b *Broadcaster) Attach(transport *peer.Transport) {
	transport.Handle(reportPath, b.handleReport)
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	b.loops.Go(func() { b.sendLoop(ctx, transport) })
}

// Detach gives the place up.
func (b *Broadcaster) Detach() {
	b.cancel()
	b.loops.Wait()
}

// Fields are the counters, for the log.
func (b *Broadcaster) Fields() map[string]int64 {
	return map[string]int64{"warnings_told": b.Sent.Load(), "warnings_refused": b.Rejected.Load()}
}

func (b *Broadcaster) sendLoop(ctx context.Context, transport *peer.Transport) {
	lastSent := map[string]time.Time{}
	for {
		var worker string
		select {
		case <-ctx.Done():
			return
		case worker = <-b.pending:
		}
		if time.Since(lastSent[worker]) < minReportInterval || failpoint.Enabled(failpoint.NoOutlierReports) {
			continue
		}
		if len(lastSent) >= maxTrackedWorkers {
			clear(lastSent)
		}
		lastSent[worker] = time.Now()
		raw, err := json.Marshal(report{worker})
		if err != nil {
			continue
		}
		for _, i := range rand.Perm(len(b.peers))[:min(fanout, len(b.peers))] {
			transport.Send(b.peers[i], reportPath, raw)
		}
		b.Sent.Add(1)
	}
}

func (b *Broadcaster) handleReport(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var m report
	if err := json.Unmarshal(body, &m); err != nil || m.Worker == "" || len(m.Worker) > maxNameBytes {
		b.Rejected.Add(1)
		return nil, &peer.RejectedError{Reason: "no warning"}
	}
	b.onReport(m.Worker)
	return nil, nil
}
