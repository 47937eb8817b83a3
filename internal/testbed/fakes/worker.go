package fakes

import (
	"fmt"
	"net"
	"sync"
	"time"

	"birchfork/internal/testbed/invariant"
)

// ExpectedRequest is what a client requested, as its worker has to receive it.
type ExpectedRequest struct {
	Work   time.Duration // on a core of speed 1
	Slots  int
	Memory float64
	Kind   string // of the workers that can run it; empty: all
	Target string // of the HTTP request line
	Body   uint64 // hash of the body
}

// RequestLookup looks up the requests that clients sent. It is safe for concurrent use.
type RequestLookup interface {
	Find(id string) (ExpectedRequest, bool)
}

// Config is what all workers of a fleet share.
type Config struct {
	Ledger          *invariant.Ledger
	Requests        RequestLookup
	Dispatchers     int
	ReportsProgress bool             // workers report the start and the progress of jobs
	IdleClose       time.Duration    // idle connections are closed after this; 0: never
	Fails           func() float64   // draws from [0,1); a job fails where the draw is below the worker's failure rate
	OnOverload      func(worker int) // called after a worker crashed under overload; may be nil
	SuppressOutput  bool             // no attempt or protocol fault is recorded: for measuring the testbed's own ceiling
	Net             Net              // of the workers' hosts
}

// Worker is one stand-in. Each start is a new incarnation with new addresses, one for each dispatcher: so it is known which
// dispatcher sent what, and links can be cut one by one. A Worker is safe for concurrent use.
type Worker struct {
	Name  string
	Index int

	cfg  *Config
	spec Spec

	mu                 sync.Mutex
	incarnation        int
	machine            *Machine // nil: the process is not running
	links              []*link  // by dispatcher
	timer              *time.Timer
	draining           bool
	failureRate        float64
	failingDispatchers map[int]bool // all of whose jobs fail
	jobsStarted        int
	workDone           time.Duration // on a core of speed 1
	overloads          int
	drained            chan struct{} // closed when a drain has ended; nil: no drain is under way
	minDrainElapsed    bool          // the drain may end as soon as no job is left
}

// NewWorker returns a worker that is not running.
func NewWorker(cfg *Config, name string, index int, spec Spec) *Worker {
	return &Worker{Name: name, Index: index, cfg: cfg, spec: spec}
}

// Start begins a new incarnation, ending one that still runs; the worker listens when Start returns. A warm one starts past
// its slow start.
func (w *Worker) Start(warm bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill() // faults may overlap
	w.incarnation++
	w.draining, w.failureRate, w.drained = false, 0, nil
	w.machine = NewMachine(w.spec, w.cfg.Ledger.Now(), warm)
	w.timer = time.AfterFunc(time.Hour, w.advance)
	w.timer.Stop()
	w.links = nil
	for dispatcher := range w.cfg.Dispatchers {
		listener, err := net.Listen("tcp", w.Host()+":0")
		if err != nil {
			for _, l := range w.links {
				l.listener.Close()
			}
			return fmt.Errorf("worker %s: listening: %w", w.Name, err)
		}
		l := &link{
			worker: w, incarnation: w.incarnation, dispatcher: dispatcher,
			listener: listener.(*net.TCPListener), conns: map[*conn]bool{},
		}
		w.links = append(w.links, l)
		go l.accept()
	}
	return nil
}

// Host returns the worker's IP address, which no other worker has.
func (w *Worker) Host() string { return w.cfg.Net.Host(w.Index) }

// Address returns where a dispatcher reaches the worker in its present incarnation, or "" before the first.
func (w *Worker) Address(dispatcher int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if dispatcher >= len(w.links) {
		return ""
	}
	return w.links[dispatcher].listener.Addr().String()
}

// Incarnation returns how often the worker has been started.
func (w *Worker) Incarnation() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// Stats returns how many jobs began, how much work was done (on a core of speed 1), and how often the worker crashed of
// overload, in all its incarnations.
func (w *Worker) Stats() (jobs int, work time.Duration, overloads int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobsStarted, w.workDone, w.overloads
}

// Kill ends the process at once: connections are reset, new ones are refused.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill()
}

// kill ends the process if it runs. The lock is held.
func (w *Worker) kill() {
	if w.machine == nil {
		return
	}
	w.machine = nil
	w.timer.Stop()
	if w.drained != nil {
		close(w.drained)
		w.drained = nil
	}
	for _, l := range w.links {
		l.listener.Close()
		l.heal()
		l.resetConns()
	}
}

// Drain makes the worker reject new jobs. It ends the process, and closes the channel, when all its jobs have ended but not
// before minTime; at timeout it returns the queued jobs unstarted and loses the running ones.
func (w *Worker) Drain(minTime, timeout time.Duration) <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	drained := make(chan struct{})
	if w.machine == nil {
		close(drained)
		return drained
	}
	w.draining, w.drained, w.minDrainElapsed = true, drained, false
	w.afterInDrain(minTime, func() {
		w.minDrainElapsed = true
		w.step(func(*Machine) {})
	})
	w.afterInDrain(timeout, func() {
		w.returnQueued()
		w.kill()
	})
	return drained
}

// afterInDrain calls f, with the lock held, once wait has passed, if the present incarnation still drains then.
func (w *Worker) afterInDrain(wait time.Duration, f func()) {
	incarnation := w.incarnation
	time.AfterFunc(wait, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.incarnation == incarnation && w.machine != nil && w.drained != nil {
			f()
		}
	})
}

// returnQueued ends all jobs at the timeout of a drain: queued ones are returned unstarted, running ones are lost. The lock is held.
func (w *Worker) returnQueued() {
	for _, l := range w.links {
		for c := range l.conns {
			if c.job != nil && !c.attempt.Ran {
				w.machine.Drop(c.job)
				c.appendLastLine(jobReturned, "", invariant.Returned)
			} else if c.job != nil {
				c.appendLastLine(jobLost, "", invariant.Died)
			}
			c.flush()
		}
	}
}
