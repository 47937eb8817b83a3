package testbed

import (
	"context"
	"syscall"
	"time"

	"birchfork/internal/testbed/fakes"
	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/scenario"
)

// Environment gives access to a run in progress, for code that runs alongside the faults of the scenario. It is safe for
// concurrent use.
type Environment struct{ run *run }

// Ledger returns the observations of the run.
func (e *Environment) Ledger() *invariant.Ledger { return e.run.ledger }

// Fleet returns the workers and their discovery.
func (e *Environment) Fleet() *fakes.Fleet { return e.run.fleet }

// Schedule returns the requests, workers and fault events of the run.
func (e *Environment) Schedule() *scenario.Schedule { return e.run.schedule }

// Origin returns the start of the load on the ledger's clock.
func (e *Environment) Origin() time.Duration { return e.run.load.Origin() }

// Slack returns the tolerance that is added to every time limit for the lag of the testbed itself.
func (e *Environment) Slack() time.Duration { return e.run.terms().Slack }

// WaitUntil waits until a time, measured from the start of the load. It returns false if ctx ends first.
func (e *Environment) WaitUntil(ctx context.Context, at time.Duration) bool {
	return e.run.faults.waitUntil(ctx, at)
}

// Pause suspends a dispatcher's process with SIGSTOP and resumes it after length or when ctx ends.
func (e *Environment) Pause(ctx context.Context, dispatcher int, length time.Duration) {
	d := e.run.dispatchers[dispatcher]
	if d.signal(syscall.SIGSTOP, invariant.Paused, invariant.Crashed) == nil {
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

// KillAndRestart ends a dispatcher's process with SIGKILL and starts it again after downtime. Before the start it calls
// change, unless that is nil.
func (e *Environment) KillAndRestart(ctx context.Context, dispatcher int, downtime time.Duration, change func()) {
	e.run.restartDispatcher(ctx, dispatcher, true, downtime, change)
}

// Restart ends a dispatcher's process with SIGTERM and starts it again at once.
func (e *Environment) Restart(ctx context.Context, dispatcher int) {
	e.run.restartDispatcher(ctx, dispatcher, false, 0, nil)
}

// servingMessage is logged by a process once clients can connect to it.
const servingMessage = "msg=serving"

// HotRestart starts a new process beside the current one and terminates the old one once the new one serves.
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

// awaitServing waits until a process has logged that it serves, or until readyTimeout has passed, which is recorded as a
// crash. It returns false if the process or ctx ends first.
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
			d.record(invariant.Crashed, "the new process did not serve within "+readyTimeout.String()+": "+p.log.lastLine())
			break
		}
	}
	return true
}

// Times of a restart.
const (
	killNotice    = time.Second            // until clients notice that a dispatcher was killed
	termNotice    = 300 * time.Millisecond // for which clients still open connections after SIGTERM
	restartMargin = 50 * time.Millisecond  // minimum time from killNotice to the next start
)

// restartDispatcher ends a dispatcher's process, with SIGKILL if kill is set and else with SIGTERM, and starts it again. After
// SIGKILL it waits at least for downtime first. Before the start it calls change, unless that is nil.
func (r *run) restartDispatcher(ctx context.Context, dispatcher int, kill bool, downtime time.Duration, change func()) {
	d, clients := r.dispatchers[dispatcher], r.load.Dispatcher(dispatcher)
	if kill {
		time.AfterFunc(killNotice, func() { clients.Down(true) })
		d.kill()
		select {
		case <-time.After(max(downtime, killNotice+restartMargin)):
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
