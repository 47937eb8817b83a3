package fakes

import (
	"math"
	"slices"
	"time"
)

// Spec is the size and behaviour of a machine.
type Spec struct {
	Kind               string
	Cores              int     // total slots of the running jobs
	Speed              float64 // of a core; work is stated for speed 1
	Memory             float64 // total units of the running jobs
	Queue              int     // maximum number of queued jobs; further ones are rejected
	SlowStartMinFactor float64 // share of its capacity with which it starts
	SlowStartWindow    time.Duration
	OverloadMultiple   float64       // while warming up, it crashes when it is sent more than this multiple of its capacity
	OverloadWindow     time.Duration // for which the overload has to last
	MeanWork           float64       // of all jobs, in seconds on a core of speed 1; 0: the number of jobs is not limited
	Progress           time.Duration // between progress events of a running job; 0: none
}

const (
	warmUpStep    = 20 * time.Millisecond // longest step for which a mean speed is used while a machine warms up
	failTime      = 2 * time.Millisecond  // duration of a failing job
	workTolerance = 1e-9                  // seconds of remaining work at which a job is done
)

// Job is one job at a machine.
type Job struct {
	Work   float64 // seconds on a core of speed 1
	Slots  int
	Memory float64
	Fails  bool // it fails failTime after it begins

	workLeft    float64 // in the unit of Work
	running     bool
	accepted    bool          // it is queued or running
	lastEventAt time.Duration // when it began or had its last progress event
}

// JobEventKind is the kind of a JobEvent.
type JobEventKind uint8

// Values of JobEvent.Kind.
const (
	Began JobEventKind = iota
	Progressed
	Finished
	Failed
	Overloaded // the machine itself crashed while it warmed up
)

// JobEvent is an event of a job or, if its kind is Overloaded, of the machine.
type JobEvent struct {
	Kind     JobEventKind
	Job      *Job    // nil for Overloaded
	Progress float64 // share of the work done

	// Set for Overloaded: the work sent within the window and the most that was allowed, in seconds on a core of speed 1, and the
	// share of its capacity that the machine had. If the number of jobs was too high, Sent and Allowed are numbers of jobs times
	// Spec.MeanWork.
	Sent, Allowed, SlowStartFactor float64
}

// Machine models a worker's FIFO queue and its cores. It has no clock and does no I/O: the caller supplies the time, which must
// not decrease, and calls Advance after each change and no later than Next says. It is not safe for concurrent use.
type Machine struct {
	spec       Spec
	started    time.Duration
	now        time.Duration
	slowdown   float64 // divides the speed
	hung       bool
	crashed    bool
	queue      []*Job
	running    []*Job
	usedSlots  int
	usedMemory float64

	recentlySent    []sentWork // jobs offered within the overload window, while warming up
	overloaded      bool
	overloadedSince time.Duration
}

// sentWork is the work of one job that was offered.
type sentWork struct {
	at   time.Duration
	work float64 // seconds on a core of speed 1
}

// NewMachine returns a machine that starts now. With warmedUp it is past its slow start.
func NewMachine(s Spec, now time.Duration, warmedUp bool) *Machine {
	m := &Machine{spec: s, started: now, now: now, slowdown: 1}
	if warmedUp {
		m.started = now - s.SlowStartWindow
	}
	return m
}

// SlowStartFactor returns the share of its capacity that the machine has at the given time.
func (m *Machine) SlowStartFactor(now time.Duration) float64 {
	age := now - m.started
	if age >= m.spec.SlowStartWindow {
		return 1
	}
	return m.spec.SlowStartMinFactor + (1-m.spec.SlowStartMinFactor)*float64(age)/float64(m.spec.SlowStartWindow)
}

// speedAt returns the seconds of work that a slot does per second at the given time.
func (m *Machine) speedAt(at time.Duration) float64 {
	if m.hung || m.crashed {
		return 0
	}
	return m.spec.Speed * m.SlowStartFactor(at) / m.slowdown
}

// Offer offers the machine a job. It returns false if the queue is full, the job can never fit, or the machine has crashed.
func (m *Machine) Offer(j *Job) bool {
	if m.SlowStartFactor(m.now) < 1 {
		m.recentlySent = append(m.recentlySent, sentWork{m.now, j.Work})
	}
	neverFits := j.Slots > m.spec.Cores || j.Memory > m.spec.Memory
	if m.crashed || len(m.queue) >= m.spec.Queue || neverFits {
		return false
	}
	j.workLeft, j.accepted = j.Work, true
	m.queue = append(m.queue, j)
	return true
}

// Drop removes a queued or running job. It returns false if the machine does not have it.
func (m *Machine) Drop(j *Job) bool {
	if !j.accepted {
		return false
	}
	if j.running {
		m.release(j)
		return true
	}
	j.accepted = false
	m.queue = slices.DeleteFunc(m.queue, func(queued *Job) bool { return queued == j })
	return true
}

// release removes a running job and frees its slots and memory.
func (m *Machine) release(j *Job) {
	j.accepted, j.running = false, false
	m.usedSlots -= j.Slots
	m.usedMemory -= j.Memory
	m.running = slices.DeleteFunc(m.running, func(r *Job) bool { return r == j })
}

// Slow makes the machine factor times slower than normal; 1 restores the normal speed.
func (m *Machine) Slow(factor float64) { m.slowdown = factor }

// Hang stops or resumes all work.
func (m *Machine) Hang(on bool) { m.hung = on }

// Crashed reports whether the machine has crashed due to overload.
func (m *Machine) Crashed() bool { return m.crashed }

// Busy returns the numbers of running and of queued jobs.
func (m *Machine) Busy() (running, queued int) { return len(m.running), len(m.queue) }

// Advance advances the machine to the given time and returns the events up to then, in order.
func (m *Machine) Advance(now time.Duration) (events []JobEvent) {
	for m.now < now {
		m.work(min(now, m.nextEvent()))
		events = append(events, m.settle()...)
	}
	return append(events, m.settle()...)
}

// Next returns when Advance is due unless the machine is changed before; false means never.
func (m *Machine) Next() (time.Duration, bool) {
	at := m.nextEvent()
	return at, at < math.MaxInt64
}

// nextEvent returns the next time after now at which an event is possible without a change from outside.
func (m *Machine) nextEvent() time.Duration {
	at := time.Duration(math.MaxInt64)
	if !m.hung && !m.crashed {
		speed := m.speedAt(m.now)
		for _, j := range m.running {
			at = min(at, m.nextEventOf(j, speed))
		}
	}
	isWarmingUp := m.SlowStartFactor(m.now) < 1 && !m.crashed
	if isWarmingUp && (len(m.running) > 0 || len(m.recentlySent) > 0) {
		at = min(at, m.now+warmUpStep)
	}
	return max(at, m.now+1)
}

// nextEventOf returns the time at which a running job ends at the given speed, or has a progress event if that is earlier.
func (m *Machine) nextEventOf(j *Job, speed float64) time.Duration {
	if j.Fails {
		return j.lastEventAt + failTime
	}
	at := time.Duration(math.MaxInt64)
	if speed > 0 {
		at = m.now + time.Duration(math.Ceil(j.workLeft/speed*1e9))
	}
	if m.spec.Progress > 0 {
		at = min(at, j.lastEventAt+m.spec.Progress)
	}
	return at
}

// work advances the running jobs to the given time, at the mean of the speeds at the start and the end of the step.
func (m *Machine) work(to time.Duration) {
	speed := (m.speedAt(m.now) + m.speedAt(to)) / 2
	for _, j := range m.running {
		j.workLeft -= speed * (to - m.now).Seconds()
	}
	m.now = to
}

// settle ends jobs that are done, begins queued jobs that fit, and checks for overload.
func (m *Machine) settle() (events []JobEvent) {
	if !m.hung && !m.crashed {
		events = m.endJobs(events)
		events = m.beginJobs(events)
	}
	if overload, ok := m.checkOverload(); ok {
		events = append(events, overload)
	}
	return events
}

// endJobs ends the running jobs that are done, and appends their events and the progress events that are due.
func (m *Machine) endJobs(events []JobEvent) []JobEvent {
	for _, j := range slices.Clone(m.running) {
		switch {
		case j.Fails && m.now >= j.lastEventAt+failTime:
			m.release(j)
			events = append(events, JobEvent{Kind: Failed, Job: j})
		case !j.Fails && j.workLeft <= workTolerance:
			m.release(j)
			events = append(events, JobEvent{Kind: Finished, Job: j})
		case m.spec.Progress > 0 && m.now >= j.lastEventAt+m.spec.Progress:
			j.lastEventAt = m.now
			events = append(events, JobEvent{Kind: Progressed, Job: j, Progress: max(0, 1-j.workLeft/j.Work)})
		}
	}
	return events
}

// beginJobs begins queued jobs in FIFO order up to the first that does not fit, and appends their events.
func (m *Machine) beginJobs(events []JobEvent) []JobEvent {
	for len(m.queue) > 0 {
		j := m.queue[0]
		if m.usedSlots+j.Slots > m.spec.Cores || m.usedMemory+j.Memory > m.spec.Memory {
			break
		}
		m.queue = m.queue[1:]
		m.usedSlots += j.Slots
		m.usedMemory += j.Memory
		j.running, j.lastEventAt = true, m.now
		m.running = append(m.running, j)
		events = append(events, JobEvent{Kind: Began, Job: j})
	}
	return events
}

// checkOverload crashes a machine that is warming up if the number of jobs within the overload window exceeds the budget of the
// platform's terms, or if the work sent has exceeded the allowed work for a whole window. It returns the event and whether the
// machine crashed.
func (m *Machine) checkOverload() (JobEvent, bool) {
	factor := m.SlowStartFactor(m.now)
	if factor >= 1 || m.crashed {
		m.recentlySent, m.overloaded = nil, false
		return JobEvent{}, false
	}
	m.recentlySent = slices.DeleteFunc(m.recentlySent, func(s sentWork) bool { return s.at < m.now-m.spec.OverloadWindow })
	if jobs, budget := m.jobsAndBudget(factor); m.spec.MeanWork > 0 && jobs > budget {
		m.crashed = true
		work := m.spec.MeanWork
		return JobEvent{Kind: Overloaded, Sent: jobs * work, Allowed: budget * work, SlowStartFactor: factor}, true
	}
	sent, allowed := m.sentAndAllowed(factor)
	if sent <= allowed {
		m.overloaded = false
		return JobEvent{}, false
	}
	if !m.overloaded {
		m.overloaded, m.overloadedSince = true, m.now
	}
	if m.now-m.overloadedSince < m.spec.OverloadWindow {
		return JobEvent{}, false
	}
	m.crashed = true
	return JobEvent{Kind: Overloaded, Sent: sent, Allowed: allowed, SlowStartFactor: factor}, true
}

// fewJobs is the number of jobs of mean work below which the platform's terms allow a larger random deviation.
const fewJobs = 30

// jobsAndBudget returns the number of jobs sent within the overload window and the number that the platform's terms allow: the
// jobs of mean work that OverloadMultiple times the capacity can do, plus an allowance for random arrivals.
func (m *Machine) jobsAndBudget(slowStartFactor float64) (jobs, budget float64) {
	capacity := float64(m.spec.Cores) * m.spec.Speed * slowStartFactor * m.spec.OverloadWindow.Seconds()
	n := m.spec.OverloadMultiple * capacity / m.spec.MeanWork
	deviations := 2.0
	if n < fewJobs {
		deviations = 3
	}
	return float64(len(m.recentlySent)), n + deviations*(math.Sqrt(n)+1)
}

// sentAndAllowed returns the work sent within the overload window and the most that is allowed, in seconds on a core of speed 1.
// Allowed is OverloadMultiple times the capacity plus one job of mean size for each core, since a job that begins at once on a
// free core is not overload. It is at least the budget of the platform's terms, which counts jobs of mean work.
func (m *Machine) sentAndAllowed(slowStartFactor float64) (sent, allowed float64) {
	for _, s := range m.recentlySent {
		sent += s.work
	}
	mean := 0.0
	if len(m.recentlySent) > 0 {
		mean = sent / float64(len(m.recentlySent))
	}
	capacity := float64(m.spec.Cores) * m.spec.Speed * slowStartFactor * m.spec.OverloadWindow.Seconds()
	allowed = m.spec.OverloadMultiple*capacity + float64(m.spec.Cores)*mean
	if m.spec.MeanWork > 0 {
		_, budget := m.jobsAndBudget(slowStartFactor)
		allowed = max(allowed, budget*m.spec.MeanWork)
	}
	return sent, allowed
}
