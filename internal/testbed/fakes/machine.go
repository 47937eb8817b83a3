// Package fakes holds the lab's stand-ins: workers that speak the platform's protocol, and discovery with its agents.
// They are written from the protocol's words alone and share no code with the dispatcher.
package fakes

import (
	"math"
	"slices"
	"time"
)

// Spec is what a machine can do.
type Spec struct {
	Kind               string
	Cores              int     // jobs' slots that run at once
	Speed              float64 // against the yardstick core
	Memory             float64 // units that running jobs may take together
	Queue              int     // jobs that may wait; more are turned away
	SlowStartMinFactor float64 // share of its capacity that it starts with
	SlowStartWindow    time.Duration
	OverloadMultiple   float64 // cold and sent more than this multiple of what it can do ...
	OverloadWindow     time.Duration
	Progress           time.Duration // between progress notes of a running job; 0: none
}

// warmUpStep bounds how long a pace is taken as even while a machine warms up.
const warmUpStep = 20 * time.Millisecond

// Job is one job at a machine.
type Job struct {
	Work   float64 // seconds on a core of speed 1
	Slots  int
	Memory float64
	Fails  bool // it fails as soon as it begins

	left    float64
	running bool
	noted   time.Duration // when it began, or its last note
	placed  bool
}

// failTime is how long a failing job takes.
const failTime = 2 * time.Millisecond

// JobEventKind tells notes apart.
type JobEventKind uint8

// The notes of a machine.
const (
	Began JobEventKind = iota
	Progressed
	Finished
	Failed
	Overloaded // the machine itself, pushed over cold
)

// JobEvent is something that a machine tells.
type JobEvent struct {
	Kind     JobEventKind
	Job      *Job
	Progress float64 // done

	// Of Fell: the work sent within the window and what the machine bears, in seconds on a core of speed 1.
	Sent, Allowed, SlowStartFactor float64
}

// Machine is a worker's first-come queue and its cores. It has no clock and does no I/O: the caller tells the time,
// which never goes back, and calls Advance after each change and no later than Next says.
type Machine struct {
	spec    Spec
	started time.Duration
	now     time.Duration
	slow    float64
	hung    bool
	queue   []*Job
	running []*Job
	slots   int
	memory  float64
	sent    []sentWork // within the fall window, while cold
	over    time.Duration
	pushed  bool
	crashed bool
}

type sentWork struct {
	at   time.Duration
	work float64
}

// NewMachine returns a machine that starts now; a warm one has started long ago.
func NewMachine(s Spec, now time.Duration, warm bool) *Machine {
	m := &Machine{spec: s, started: now, now: now, slow: 1}
	if warm {
		m.started = now - s.SlowStartWindow
	}
	return m
}

// SlowStartFactor is the share of its capacity that it has.
func (m *Machine) SlowStartFactor(now time.Duration) float64 {
	age := now - m.started
	if age >= m.spec.SlowStartWindow {
		return 1
	}
	return m.spec.SlowStartMinFactor + (1-m.spec.SlowStartMinFactor)*float64(age)/float64(m.spec.SlowStartWindow)
}

// speedFactor is how much of a job a slot does in a second at a moment.
func (m *Machine) speedFactor(at time.Duration) float64 {
	if m.hung || m.crashed {
		return 0
	}
	return m.spec.Speed * m.SlowStartFactor(at) / m.slow
}

// Offer gives the machine a job. It returns false where its queue is full or it lies on the ground.
func (m *Machine) Offer(j *Job) bool {
	if m.SlowStartFactor(m.now) < 1 {
		m.sent = append(m.sent, sentWork{m.now, j.Work})
	}
	if m.crashed || len(m.queue) >= m.spec.Queue || j.Slots > m.spec.Cores || j.Memory > m.spec.Memory {
		return false
	}
	j.left, j.placed = j.Work, true
	m.queue = append(m.queue, j)
	return true
}

// Drop takes a job away, waiting or running; it tells whether it was there.
func (m *Machine) Drop(j *Job) bool {
	if !j.placed {
		return false
	}
	j.placed = false
	if j.running {
		m.release(j)
		return true
	}
	m.queue = slices.DeleteFunc(m.queue, func(q *Job) bool { return q == j })
	return true
}

func (m *Machine) release(j *Job) {
	j.running = false
	m.slots -= j.Slots
	m.memory -= j.Memory
	m.running = slices.DeleteFunc(m.running, func(r *Job) bool { return r == j })
}

// Slow sets how many times slower than usual it is.
func (m *Machine) Slow(factor float64) { m.slow = factor }

// Hang stops or resumes all work.
func (m *Machine) Hang(on bool) { m.hung = on }

// Crashed tells whether it was pushed over.
func (m *Machine) Crashed() bool { return m.crashed }

// Busy is how many jobs it has.
func (m *Machine) Busy() (running, waiting int) { return len(m.running), len(m.queue) }

// Advance goes on to a moment and returns what happened up to then, in order.
func (m *Machine) Advance(now time.Duration) (notes []JobEvent) {
	for m.now < now {
		step := min(now, m.event())
		m.work(step)
		notes = append(notes, m.settle()...)
	}
	return append(notes, m.settle()...)
}

// Next is when Advance is due without anything new; false: never.
func (m *Machine) Next() (time.Duration, bool) {
	at := m.event()
	return at, at < math.MaxInt64
}

// event is the next moment at which something changes by itself.
func (m *Machine) event() time.Duration {
	at := time.Duration(math.MaxInt64)
	pace := m.speedFactor(m.now)
	for _, j := range m.running {
		if m.hung || m.crashed {
			break
		}
		if j.Fails {
			at = min(at, j.noted+failTime)
			continue
		}
		if pace > 0 {
			at = min(at, m.now+time.Duration(math.Ceil(j.left/pace*1e9)))
		}
		if m.spec.Progress > 0 {
			at = min(at, j.noted+m.spec.Progress)
		}
	}
	if m.SlowStartFactor(m.now) < 1 && !m.crashed && (len(m.running) > 0 || len(m.sent) > 0) {
		at = min(at, m.now+warmUpStep)
	}
	return max(at, m.now+1)
}

// work lets the running jobs run until a moment, at the mean pace of the step.
func (m *Machine) work(to time.Duration) {
	pace := (m.speedFactor(m.now) + m.speedFactor(to)) / 2
	for _, j := range m.running {
		j.left -= pace * (to - m.now).Seconds()
	}
	m.now = to
}

// settle ends what is done, begins what fits, and looks whether the machine is pushed over.
func (m *Machine) settle() (notes []JobEvent) {
	for _, j := range slices.Clone(m.running) {
		switch {
		case m.crashed || m.hung:
		case j.Fails && m.now >= j.noted+failTime:
			m.release(j)
			j.placed = false
			notes = append(notes, JobEvent{Kind: Failed, Job: j})
		case !j.Fails && j.left <= 1e-9:
			m.release(j)
			j.placed = false
			notes = append(notes, JobEvent{Kind: Finished, Job: j})
		case m.spec.Progress > 0 && m.now >= j.noted+m.spec.Progress:
			j.noted = m.now
			notes = append(notes, JobEvent{Kind: Progressed, Job: j, Progress: max(0, 1-j.left/j.Work)})
		}
	}
	// In order: the first waits until it fits, and all behind it wait too.
	for len(m.queue) > 0 && !m.hung && !m.crashed {
		j := m.queue[0]
		if m.slots+j.Slots > m.spec.Cores || m.memory+j.Memory > m.spec.Memory {
			break
		}
		m.queue = m.queue[1:]
		m.slots += j.Slots
		m.memory += j.Memory
		j.running, j.noted = true, m.now
		m.running = append(m.running, j)
		notes = append(notes, JobEvent{Kind: Began, Job: j})
	}
	return append(notes, m.lean()...)
}

// lean pushes a cold machine over when for the whole window it has been sent more than it bears: the stated multiple of
// what it can do, and one job of mean size in each core, since what goes straight into a free core is no crowd.
func (m *Machine) lean() []JobEvent {
	warmth := m.SlowStartFactor(m.now)
	if warmth >= 1 || m.crashed {
		m.sent, m.pushed = nil, false
		return nil
	}
	m.sent = slices.DeleteFunc(m.sent, func(s sentWork) bool { return s.at < m.now-m.spec.OverloadWindow })
	sum := 0.0
	for _, s := range m.sent {
		sum += s.work
	}
	mean := 0.0
	if len(m.sent) > 0 {
		mean = sum / float64(len(m.sent))
	}
	can := float64(m.spec.Cores) * m.spec.Speed * warmth * m.spec.OverloadWindow.Seconds()
	bears := m.spec.OverloadMultiple*can + float64(m.spec.Cores)*mean
	if sum <= bears {
		m.pushed = false
		return nil
	}
	if !m.pushed {
		m.pushed, m.over = true, m.now
	}
	if m.now-m.over < m.spec.OverloadWindow {
		return nil
	}
	m.crashed = true
	return []JobEvent{{Kind: Overloaded, Sent: sum, Allowed: bears, SlowStartFactor: warmth}}
}
