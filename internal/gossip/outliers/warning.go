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
	waitMost = 64                     // that wait to be told; what is over is not told
	fan      = 32                     // members that hear of one
	every    = 250 * time.Millisecond // of one worker, at the most: its failures go on until it is left alone
	nameMost = 256                    // bytes of a worker's name
	keptMost = 10_000                 // workers of which it is known when others were warned last
)

const path = "/group/warn"

// message says that jobs fail at a worker.
type message struct {
	Worker string `json:"worker"`
}

// Warner is one member's part. It tells nothing before Enter and after Leave.
type Warner struct {
	Told, Refused atomic.Int64

	peers  []string
	warned func(worker string)
	wait   chan string

	quit context.CancelFunc
	done sync.WaitGroup
}

// New returns a Warner; warned hears of workers that others name.
func New(peers []string, warned func(worker string)) *Warner {
	return &Warner{peers: peers, warned: warned, wait: make(chan string, waitMost)}
}

// Warn tells others that jobs fail at a worker here. It does not wait.
func (w *Warner) Warn(worker string) {
	select {
	case w.wait <- worker:
	default:
	}
}

// Enter takes part by the links of a place in the group, before they serve.
func (w *Warner) Enter(l *peer.Links) {
	l.Handle(path, w.hear)
	ctx, quit := context.WithCancel(context.Background())
	w.quit = quit
	w.done.Go(func() { w.tell(ctx, l) })
}

// Leave gives the place up.
func (w *Warner) Leave() {
	w.quit()
	w.done.Wait()
}

// Fields are the counters, for the log.
func (w *Warner) Fields() map[string]int64 {
	return map[string]int64{"warnings_told": w.Told.Load(), "warnings_refused": w.Refused.Load()}
}

func (w *Warner) tell(ctx context.Context, l *peer.Links) {
	last := map[string]time.Time{}
	for {
		var worker string
		select {
		case <-ctx.Done():
			return
		case worker = <-w.wait:
		}
		if time.Since(last[worker]) < every || failpoint.On(failpoint.KeepsMum) {
			continue
		}
		if len(last) >= keptMost {
			clear(last)
		}
		last[worker] = time.Now()
		raw, err := json.Marshal(message{worker})
		if err != nil {
			continue
		}
		for _, i := range rand.Perm(len(w.peers))[:min(fan, len(w.peers))] {
			l.Post(w.peers[i], path, raw)
		}
		w.Told.Add(1)
	}
}

func (w *Warner) hear(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var m message
	if err := json.Unmarshal(body, &m); err != nil || m.Worker == "" || len(m.Worker) > nameMost {
		w.Refused.Add(1)
		return nil, &peer.Refused{Text: "no warning"}
	}
	w.warned(m.Worker)
	return nil, nil
}
