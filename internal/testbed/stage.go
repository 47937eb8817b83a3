package testbed

import (
	"context"
	"syscall"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// Stage is a run that is under way, for what plays beside the day's own troubles.
type Stage struct{ run *run }

// Ledger is where all that is seen is taken down.
func (s *Stage) Ledger() *invariant.Ledger { return s.run.ledger }

// Fleet is the workers with discovery.
func (s *Stage) Fleet() *fakes.Fleet { return s.run.fleet }

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
	if d.signal(syscall.SIGSTOP, invariant.Stopped, invariant.Crashed) == nil {
		return
	}
	defer d.signal(syscall.SIGCONT, invariant.Woken, invariant.Crashed)
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// Reload has a dispatcher read its configuration again.
func (s *Stage) Reload(dispatcher int) { s.run.troubles.reload(dispatcher) }

// CPU is the processor time that a dispatcher's process has used.
func (s *Stage) CPU(dispatcher int) time.Duration { return s.run.dispatchers[dispatcher].cpu() }

// Kill ends a dispatcher's process outright, and starts it again after a while; between, change is called, if not nil.
func (s *Stage) Kill(ctx context.Context, dispatcher int, away time.Duration, change func()) {
	s.run.restartOne(ctx, dispatcher, true, away, change)
}

// Terminate ends a dispatcher's process in order and starts it again.
func (s *Stage) Terminate(ctx context.Context, dispatcher int) {
	s.run.restartOne(ctx, dispatcher, false, 0, nil)
}

// servesText is what a process logs once clients can connect to it.
const servesText = "msg=serving"

// Upgrade starts a process beside the one that serves, and ends that in order once the new one serves.
func (s *Stage) Upgrade(ctx context.Context, dispatcher int) {
	d := s.run.dispatchers[dispatcher]
	d.mu.Lock()
	old := d.proc
	d.mu.Unlock()
	now := func(what invariant.What, detail string) {
		s.run.ledger.Moment(invariant.Moment{Dispatcher: dispatcher, At: s.run.ledger.Now(), What: what, Detail: detail})
	}
	young, err := d.begin()
	if err != nil {
		now(invariant.Crashed, err.Error())
		return
	}
	for by := time.Now().Add(readyWait); !young.log.has(servesText); {
		select {
		case <-ctx.Done():
			return
		case <-young.done:
			return // its end is taken down
		case <-time.After(readyEvery):
		}
		if time.Now().After(by) {
			now(invariant.Crashed, "the process beside it did not serve in time: "+young.log.last())
			break
		}
	}
	d.mu.Lock()
	old.ended = invariant.Exited
	d.mu.Unlock()
	now(invariant.Terminated, "")
	_ = old.cmd.Process.Signal(syscall.SIGTERM) // fails on a process that has just ended
	d.gone(old, s.run.stopWithin())
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
		r.ledger.Moment(invariant.Moment{Dispatcher: dispatcher, At: r.ledger.Now(), What: invariant.Crashed, Detail: err.Error()})
	}
}
