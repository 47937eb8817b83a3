package spread

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"birchfork/internal/group"
	"birchfork/internal/replica"
)

// Bounds on warnings.
const (
	warnMost  = 64                     // that wait to be told; what is over is not told
	warnFan   = 32                     // members that hear of one
	warnEvery = 250 * time.Millisecond // of one runner, at the most: its failures go on until it is left alone
)

// warning says that jobs fail at a runner.
type warning struct {
	Runner string `json:"runner"`
}

// Warn tells others that jobs fail at a runner here. It does not wait.
func (s *Spread) Warn(runner string) {
	select {
	case s.warn <- runner:
	default:
	}
}

// tellWarning posts a warning; the loop calls it.
func (s *Spread) tellWarning(runner string) {
	s.mu.Lock()
	l, last := s.links, s.warned[runner]
	if l == nil || time.Since(last) < warnEvery {
		s.mu.Unlock()
		return
	}
	if len(s.warned) > replica.WordsMost {
		clear(s.warned)
	}
	s.warned[runner] = time.Now()
	s.mu.Unlock()
	raw, err := json.Marshal(warning{runner})
	if err != nil {
		return
	}
	for _, i := range rand.Perm(len(s.o.Peers))[:min(warnFan, len(s.o.Peers))] {
		l.Post(s.o.Peers[i], pathWarn, raw)
	}
	s.Counters.Warnings.Add(1)
}

func (s *Spread) onWarn(_ context.Context, _ group.Sender, body []byte) ([]byte, error) {
	var w warning
	if err := json.Unmarshal(body, &w); err != nil || w.Runner == "" || len(w.Runner) > replica.NameMost {
		s.Counters.Refused.Add(1)
		return nil, &group.Refused{Text: "no warning"}
	}
	s.o.Warned(w.Runner)
	return nil, nil
}
