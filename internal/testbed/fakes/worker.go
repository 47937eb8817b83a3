package fakes

import (
	"fmt"
	"net"
	"sync"
	"time"

	"birchfork/internal/testbed/invariant"
)

// ExpectedRequest is a client's request as its worker has to receive it.
type ExpectedRequest struct {
	Work   time.Duration // on a core of speed 1
	Slots  int
	Memory float64
	Kind   string // of the workers that can run it; empty: any
	Target string // of the HTTP request line
	Body   uint64 // hash of the body
}

// RequestLookup looks up the requests that clients sent. It is safe for concurrent use.
type RequestLookup interface {
	Find(id string) (ExpectedRequest, bool)
}

// Config is the configuration that all workers of a fleet share.
type Config struct {
	Ledger          *invariant.Ledger
	Requests        RequestLookup
	Dispatchers     int
	ReportsProgress bool             // workers report the start and progress of jobs
	IdleClose       time.Duration    // time after which idle connections are closed; 0: never
	Fails           func() float64   // draws from [0,1); a job fails if the draw is below the worker's failure rate
	OnOverload      func(worker int) // called after a worker has crashed due to overload; may be nil
	SuppressOutput  bool             // record no attempt or protocol fault: for testbed.MeasureThroughput and testbed.Overhead
	Net             Net              // address range of the workers
}

// Worker is a fake worker. Each start is a new incarnation with new addresses, one for each dispatcher, so that requests can be
// attributed to dispatchers and links can be partitioned one by one. A Worker is safe for concurrent use.
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
	failingDispatchers map[int]bool // dispatchers whose jobs all fail
	jobsStarted        int
	workDone           time.Duration // on a core of speed 1
	overloads          int
	drained            chan struct{} // closed when the drain has ended; nil: not draining
	minDrainElapsed    bool          // the drain ends as soon as no job is left
}

// NewWorker returns a worker that is not running.
func NewWorker(cfg *Config, name string, index int, spec Spec) *Worker {
	return &Worker{Name: name, Index: index, cfg: cfg, spec: spec}
}

// Start starts a new incarnation and ends one that still runs; the worker listens when Start returns. With warmedUp it is past
// its slow start.
func (w *Worker) Start(warmedUp bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.kill() // it may still run, since faults may overlap
	w.incarnation++
	w.draining, w.failureRate, w.drained = false, 0, nil
	w.machine = NewMachine(w.spec, w.cfg.Ledger.Now(), warmedUp)
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

// Address returns the address of the worker's current incarnation for a dispatcher, or "" before the first incarnation.
func (w *Worker) Address(dispatcher int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if dispatcher >= len(w.links) {
		return ""
	}
	return w.links[dispatcher].listener.Addr().String()
}

// Incarnation returns the number of times that the worker has been started.
func (w *Worker) Incarnation() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation
}

// Stats returns the number of jobs that began, the work done (on a core of speed 1) and the number of crashes due to overload,
// over all incarnations.
func (w *Worker) Stats() (jobs int, work time.Duration, overloads int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobsStarted, w.workDone, w.overloads
}

// Kill ends the process immediately: open connections are reset and new ones are refused.
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

// Drain makes the worker reject new jobs. The process ends, and the channel is closed, when all jobs have ended and minTime has
// passed. At timeout the queued jobs are returned unstarted and the running ones are lost.
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
		w.endJobsOfDrain()
		w.kill()
	})
	return drained
}

// afterInDrain calls f with the lock held once wait has passed, if the current incarnation is still draining then.
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

// endJobsOfDrain ends all jobs at the timeout of a drain: queued ones are returned unstarted, running ones are lost. The lock is
// held.
func (w *Worker) endJobsOfDrain() {
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
