package fakes

import (
	"strconv"

	"birchfork/internal/testbed/invariant"
)

// changeMachine advances the machine to now and changes it, if the worker is running.
func (w *Worker) changeMachine(change func(*Machine)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.machine != nil {
		w.step(change)
	}
}

// advance advances the machine to now. The worker's timer calls it.
func (w *Worker) advance() { w.changeMachine(func(*Machine) {}) }

// step advances the machine to now, changes it, handles its events and sets the timer for the next one. It ends the process if
// a drain is complete. The lock is held.
func (w *Worker) step(change func(*Machine)) {
	m, now := w.machine, w.cfg.Ledger.Now()
	w.handleEvents(m.Advance(now))
	if w.machine != m {
		return // it crashed
	}
	change(m)
	w.handleEvents(m.Advance(now))
	if w.machine != m {
		return
	}
	if at, ok := m.Next(); ok {
		w.timer.Reset(at - w.cfg.Ledger.Now())
	} else {
		w.timer.Stop()
	}
	if running, queued := m.Busy(); w.draining && w.minDrainElapsed && running+queued == 0 {
		w.kill()
	}
}

// handleEvents reports the machine's events to the connections of their jobs. The lock is held.
func (w *Worker) handleEvents(events []JobEvent) {
	for _, e := range events {
		if e.Kind == Overloaded {
			w.crash(e)
			return
		}
		if c := w.connOf(e.Job); c != nil {
			c.handleEvent(e)
		}
	}
}

// crash ends the process after an overload; it stays down until Start. The lock is held.
func (w *Worker) crash(e JobEvent) {
	w.overloads++
	w.cfg.Ledger.Overload(invariant.Overload{
		Worker: w.Index, Incarnation: w.incarnation, At: w.cfg.Ledger.Now(),
		Sent: e.Sent, Allowed: e.Allowed, SlowStartFactor: e.SlowStartFactor,
	})
	w.kill()
	if w.cfg.OnOverload != nil {
		go w.cfg.OnOverload(w.Index)
	}
}

// connOf returns the connection on which a job was sent, or nil if it has ended. The lock is held.
func (w *Worker) connOf(j *Job) *conn {
	for _, l := range w.links {
		if c := l.jobs[j]; c != nil {
			return c
		}
	}
	return nil
}

// handleEvent writes the lines that an event of the connection's job causes. The worker's lock is held.
func (c *conn) handleEvent(e JobEvent) {
	w := c.link.worker
	switch e.Kind {
	case Began:
		w.jobsStarted++
		w.cfg.Ledger.Do(func() { c.attempt.Ran = true })
		if w.cfg.ReportsProgress {
			c.appendLine(jobStarted, "")
		}
	case Progressed:
		if w.cfg.ReportsProgress {
			c.appendLine(jobRunning, `,"share":`+strconv.FormatFloat(min(e.Progress, 1), 'f', 3, 64))
		}
	case Finished:
		w.workDone += c.work
		c.appendResult()
	case Failed:
		c.appendLastLine(jobFailed, "", invariant.Errored)
	}
	c.flush()
}
