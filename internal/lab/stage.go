package lab

import (
	"context"
	"syscall"
	"time"

	"birchfork/internal/lab/fleet"
	"birchfork/internal/lab/judge"
	"birchfork/internal/lab/scenario"
)

// Stage is a run that is under way, for what plays beside the day's own troubles.
type Stage struct{ run *run }

// Ledger is where all that is seen is taken down.
func (s *Stage) Ledger() *judge.Ledger { return s.run.ledger }

// Fleet is the workers with discovery.
func (s *Stage) Fleet() *fleet.Fleet { return s.run.fleet }

// Day is the day as it was drawn.
func (s *Stage) Day() *scenario.Day { return s.run.day }

// Origin is the day's start on the ledger's clock.
func (s *Stage) Origin() time.Duration { return s.run.load.Origin() }

// Slack is what every time limit has, for what the rig itself is late.
func (s *Stage) Slack() time.Duration { return s.run.terms().Slack }

// Until waits for a moment of the day; false: the run has ended before.
func (s *Stage) Until(ctx context.Context, at time.Duration) bool {
	return s.run.troubles.until(ctx, at)
}

// Stop stops a dispatcher's process for a while, and wakes it in any case.
func (s *Stage) Stop(ctx context.Context, dispatcher int, length time.Duration) {
	d := s.run.dispatchers[dispatcher]
	if d.signal(syscall.SIGSTOP, judge.Stopped, judge.Crashed) == nil {
		return
	}
	defer d.signal(syscall.SIGCONT, judge.Woken, judge.Crashed)
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// Kill ends a dispatcher's process outright, and starts it again after a while; between, change is called, if not nil.
func (s *Stage) Kill(ctx context.Context, dispatcher int, away time.Duration, change func()) {
	s.run.restartOne(ctx, dispatcher, true, away, change)
}

// Terminate ends a dispatcher's process in order and starts it again.
func (s *Stage) Terminate(ctx context.Context, dispatcher int) {
	s.run.restartOne(ctx, dispatcher, false, 0, nil)
}

// restartOne ends a dispatcher and starts it again.
func (r *run) restartOne(ctx context.Context, dispatcher int, kill bool, away time.Duration, change func()) {
	k, front := r.dispatchers[dispatcher], r.load.Front(dispatcher)
	if kill {
		time.AfterFunc(killNotice, func() { front.Down(true) })
		k.kill()
		select {
		case <-time.After(max(away, killNotice+50*time.Millisecond)):
		case <-ctx.Done():
			return
		}
	} else {
		time.AfterFunc(termNotice, func() { front.Down(true) })
		k.terminate(r.stopWithin())
	}
	if change != nil {
		change()
	}
	if ctx.Err() != nil {
		return
	}
	if err := k.start(ctx); err != nil && ctx.Err() == nil {
		r.ledger.Moment(judge.Moment{Dispatcher: dispatcher, At: r.ledger.Now(), What: judge.Crashed, Detail: err.Error()})
	}
}
