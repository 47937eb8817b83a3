package testbed

import (
	"context"
	"syscall"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// Environment gives access to a run that is under way, for what runs beside the day's own faults. It is safe for concurrent
// use.
type Environment struct{ run *run }

// Ledger returns the record of what was observed.
func (e *Environment) Ledger() *invariant.Ledger { return e.run.ledger }

// Fleet returns the workers with their discovery.
func (e *Environment) Fleet() *fakes.Fleet { return e.run.fleet }

// Day returns the generated day.
func (e *Environment) Day() *scenario.Day { return e.run.day }

// Origin returns the day's start on the ledger's clock.
func (e *Environment) Origin() time.Duration { return e.run.load.Origin() }

// Slack returns what is added to every time limit for the lag of the testbed itself.
func (e *Environment) Slack() time.Duration { return e.run.terms().Slack }

// WaitUntil waits for a time since the day's start. It returns false when ctx ended first.
func (e *Environment) WaitUntil(ctx context.Context, at time.Duration) bool {
	return e.run.faults.waitUntil(ctx, at)
}

// Pause suspends a dispatcher's process with SIGSTOP. It resumes it after a time or when ctx ends.
func (e *Environment) Pause(ctx context.Context, dispatcher int, length time.Duration) {
	d := e.run.dispatchers[dispatcher]
	if d.signal(syscall.SIGSTOP, invariant.Stopped, invariant.Crashed) == nil {
		return
	}
	defer d.signal(syscall.SIGCONT, invariant.Resumed, invariant.Crashed)
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

// Reload writes a dispatcher's current configuration and sends it SIGHUP.
func (e *Environment) Reload(dispatcher int) { e.run.faults.reload(dispatcher) }

// CPU returns the CPU time that a dispatcher's current process has used.
func (e *Environment) CPU(dispatcher int) time.Duration { return e.run.dispatchers[dispatcher].cpu() }

// KillAndRestart ends a dispatcher's process with SIGKILL and starts it again after a time. Before the start it calls change, if that
// is not nil.
func (e *Environment) KillAndRestart(ctx context.Context, dispatcher int, away time.Duration, change func()) {
	e.run.restartDispatcher(ctx, dispatcher, true, away, change)
}

// Restart ends a dispatcher's process with SIGTERM and starts it again.
func (e *Environment) Restart(ctx context.Context, dispatcher int) {
	e.run.restartDispatcher(ctx, dispatcher, false, 0, nil)
}

// servingMessage is in the log of a process once clients can connect to it.
const servingMessage = "msg=serving"

// HotRestart starts a process beside the current one, and terminates the old one once the new one serves.
func (e *Environment) HotRestart(ctx context.Context, dispatcher int) {
	d := e.run.dispatchers[dispatcher]
	old := d.currentProcess()
	next, err := d.startProcess()
	if err != nil {
		d.record(invariant.Crashed, err.Error())
		return
	}
	if !d.awaitServing(ctx, next) {
		return
	}
	d.mu.Lock()
	old.exitAs = invariant.Exited
	d.mu.Unlock()
	d.record(invariant.Terminated, "")
	_ = old.cmd.Process.Signal(syscall.SIGTERM) // fails on a process that has just ended
	d.awaitTermination(old, e.run.stopTimeout())
}

// awaitServing waits until the log of a process says that it serves, or until it should have; that is recorded as a crash.
// It returns false when the process or ctx ended first.
func (d *dispatcher) awaitServing(ctx context.Context, p *process) bool {
	for deadline := time.Now().Add(readyTimeout); !p.log.contains(servingMessage); {
		select {
		case <-ctx.Done():
			return false
		case <-p.done:
			return false // awaitExit records how it ended
		case <-time.After(readyInterval):
		}
		if time.Now().After(deadline) {
			d.record(invariant.Crashed, "the process beside it did not serve in time: "+p.log.lastLine())
			break
		}
	}
	return true
}

// Times of a restart.
const (
	killNotice    = time.Second            // until clients notice that a killed dispatcher is gone
	termNotice    = 300 * time.Millisecond // after SIGTERM clients go on opening connections for this time
	restartMargin = 50 * time.Millisecond  // between the notice of a kill and the next start
)

// restartDispatcher ends a dispatcher's process and starts it again, after a kill once away has passed. Before the start it
// calls change, if that is not nil.
func (r *run) restartDispatcher(ctx context.Context, dispatcher int, kill bool, away time.Duration, change func()) {
	d, clients := r.dispatchers[dispatcher], r.load.Dispatcher(dispatcher)
	if kill {
		time.AfterFunc(killNotice, func() { clients.Down(true) })
		d.kill()
		select {
		case <-time.After(max(away, killNotice+restartMargin)):
		case <-ctx.Done():
			return
		}
	} else {
		time.AfterFunc(termNotice, func() { clients.Down(true) })
		d.terminate(r.stopTimeout())
	}
	if change != nil {
		change()
	}
	if ctx.Err() != nil {
		return
	}
	if err := d.start(ctx); err != nil && ctx.Err() == nil {
		d.record(invariant.Crashed, err.Error())
	}
}
