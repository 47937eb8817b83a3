package testbed

import (
	"context"
	"syscall"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// Environment is a run that is under way, for what plays beside the day's own troubles.
type Environment struct{ run *run }

// Ledger is where all that is seen is taken down.
func (e *Environment) Ledger() *invariant.Ledger { return e.run.ledger }

// Fleet is the workers with discovery.
func (e *Environment) Fleet() *fakes.Fleet { return e.run.fleet }

// Day is the day as it was drawn.
func (e *Environment) Day() *scenario.Day { return e.run.day }

// Origin is the day's start on the ledger's clock.
func (e *Environment) Origin() time.Duration { return e.run.load.Origin() }

// Slack is what every time limit has, for what the rig itself is late.
func (e *Environment) Slack() time.Duration { return e.run.terms().Slack }

// Until waits for a moment of the day; false: the run has ended before.
func (e *Environment) Until(ctx context.Context, at time.Duration) bool {
	return e.run.faults.until(ctx, at)
}

// Stop stops a dispatcher's process for a while, and wakes it in any case.
func (e *Environment) Stop(ctx context.Context, dispatcher int, length time.Duration) {
	d := e.run.dispatchers[dispatcher]
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
func (e *Environment) Reload(dispatcher int) { e.run.faults.reload(dispatcher) }

// CPU is the processor time that a dispatcher's process has used.
func (e *Environment) CPU(dispatcher int) time.Duration { return e.run.dispatchers[dispatcher].cpu() }

// Kill ends a dispatcher's process outright, and starts it again after a while; between, change is called, if not nil.
func (e *Environment) Kill(ctx context.Context, dispatcher int, away time.Duration, change func()) {
	e.run.restartOne(ctx, dispatcher, true, away, change)
}

// Terminate ends a dispatcher's process in order and starts it again.
func (e *Environment) Terminate(ctx context.Context, dispatcher int) {
	e.run.restartOne(ctx, dispatcher, false, 0, nil)
}

// servesText is what a process logs once clients can connect to it.
const servesText = "msg=serving"

// Upgrade starts a process beside the one that serves, and ends that in order once the new one serves.
func (e *Environment) Upgrade(ctx context.Context, dispatcher int) {
	d := e.run.dispatchers[dispatcher]
	d.mu.Lock()
	old := d.proc
	d.mu.Unlock()
	now := func(what invariant.What, detail string) {
		e.run.ledger.Moment(invariant.Moment{Dispatcher: dispatcher, At: e.run.ledger.Now(), What: what, Detail: detail})
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
	d.gone(old, e.run.stopWithin())
}

// restartOne ends a dispatcher and starts it again.
func (r *run) restartOne(ctx context.Context, dispatcher int, kill bool, away time.Duration, change func()) {
	k, front := r.dispatchers[dispatcher], r.load.Dispatcher(dispatcher)
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
