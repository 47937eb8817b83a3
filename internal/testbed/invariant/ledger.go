// Package invariant records what clients, workers and discovery observe during a run, and checks the four rules against these
// records. It does not rely on what dispatchers report. All times are on one clock that starts with the run.
//
// The generated clients and the fake workers and discovery write to a Ledger. Check reads it after the end of the run and returns a
// Verdict.
package invariant

import (
	"sync"
	"time"
)

// Outcome is how a try ended for its client.
type Outcome uint8

// The outcomes.
const (
	Pending      Outcome = iota
	Served               // 200 with a result
	Refused              // 429 or 503
	Failed               // any other complete answer
	Closed               // the connection ended without a complete answer
	NoAnswer             // none while the client waited
	Left                 // the client left before an answer, as planned
	Unsent               // no connection was established, or the request was not written completely
	outcomeCount         // number of outcomes
)

var outcomeNames = [outcomeCount]string{"pending", "served", "refused", "failed", "closed", "no answer", "left", "unsent"}

// String returns the outcome as it is written in reports.
func (o Outcome) String() string { return outcomeNames[o] }

// Try is one request as its client saw it.
type Try struct {
	ID         string
	Request    int // index of the generated client request
	Number     int // 0: the first try of its client request
	Class      int
	Dispatcher int
	Fresh      bool          // the first request on its connection
	Sent       time.Duration // when its last byte was written
	Due        time.Duration // its deadline
	Ended      time.Duration
	Outcome    Outcome
	Status     int
	Result     uint64 // hash of the body that came with 200
	ExtraData  bool   // more data followed the answer
}

// End is how an attempt ended at its worker.
type End uint8

// The ends of attempts. Only Returned and Rejected guarantee that the attempt never ran.
const (
	Open     End = iota
	Done         // with a result
	Errored      // failed, or status 500
	Returned     // returned from the queue, unstarted
	Rejected     // 503 with X-Not-Run
	Dropped      // the dispatcher closed the connection
	Died         // the worker's process ended or its link was partitioned
)

var endNames = [...]string{"open", "done", "failed", "returned", "turned away", "dropped by the dispatcher", "lost with its worker"}

// String returns the end as it is written in lines of evidence.
func (e End) String() string { return endNames[e] }

// Attempt is one request as a worker saw it.
type Attempt struct {
	ID          string
	Worker      int
	Incarnation int // of the worker
	Dispatcher  int
	First, Last time.Duration // when its first and last byte arrived
	Ended       time.Duration
	End         End
	Ran         bool   // it started to run
	Result      uint64 // hash of the returned result
	Changed     string // how it differs from what the client sent; empty: unchanged
}

// State is the state of a worker in the endpoint list.
type State uint8

// The states.
const (
	Up State = iota
	Draining
	Removed
)

var stateNames = [...]string{"up", "draining", "removed"}

// String returns the state as it is written in lines of evidence.
func (s State) String() string { return stateNames[s] }

// Delivery is the delivery of a change of one worker's state to one dispatcher.
type Delivery struct {
	Dispatcher, Worker, Incarnation int
	State                           State
	AtAgent                         time.Duration // when the dispatcher's agent got it
	Written                         time.Duration // when it was written to the dispatcher; 0: not yet
}

// Overload is an overload of a worker that was warming up.
type Overload struct {
	Worker, Incarnation int
	At                  time.Duration
	Sent, Allowed       float64 // work within the window, in seconds on a core of speed 1
	SlowStartFactor     float64 // share of its capacity that it had at the time
}

// ProcessEvent is an event of a dispatcher's process.
type ProcessEvent struct {
	Dispatcher int
	At         time.Duration
	Kind       ProcessEventKind
	Detail     string
}

// ProcessEventKind is the kind of a ProcessEvent.
type ProcessEventKind uint8

// The process events. The testbed sends the signals.
const (
	Started      ProcessEventKind = iota
	Ready                         // it reported that it is up
	Killed                        // by SIGKILL
	Terminated                    // SIGTERM sent
	Reloaded                      // SIGHUP sent
	Exited                        // with status 0, after SIGTERM
	Crashed                       // ended by itself, or with another status
	StopTimedOut                  // it had not ended when SIGKILL followed SIGTERM
	Paused                        // by SIGSTOP
	Resumed                       // by SIGCONT
)

var processEventKindNames = [...]string{"started", "ready", "killed", "sent SIGTERM", "sent SIGHUP", "ended", "crashed", "did not end after SIGTERM", "sent SIGSTOP", "sent SIGCONT"}

// String returns the event as it is written in reports.
func (k ProcessEventKind) String() string { return processEventKindNames[k] }

// ProtocolFault is input that a worker received and could not parse.
type ProtocolFault struct {
	Worker, Dispatcher int
	At                 time.Duration
	What               string
}

// Ledger collects the observations of a run. It is safe for concurrent use.
type Ledger struct {
	start time.Time

	mu             sync.Mutex
	tries          []*Try
	attempts       []*Attempt
	deliveries     []*Delivery
	overloads      []Overload
	processEvents  []ProcessEvent
	protocolFaults []ProtocolFault
}

// NewLedger returns an empty ledger whose clock starts now.
func NewLedger() *Ledger { return &Ledger{start: time.Now()} }

// Now returns the time since the start.
func (l *Ledger) Now() time.Duration { return time.Since(l.start) }

// At converts t to the ledger's clock.
func (l *Ledger) At(t time.Time) time.Duration { return t.Sub(l.start) }

// record appends a value to one of the ledger's lists.
func record[T any](l *Ledger, list *[]T, v T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, v)
}

// Try records a try; change it through Do only.
func (l *Ledger) Try(t *Try) { record(l, &l.tries, t) }

// Attempt records an attempt; change it through Do only.
func (l *Ledger) Attempt(a *Attempt) { record(l, &l.attempts, a) }

// Delivery records a change of a worker's state; change the entry through Do only.
func (l *Ledger) Delivery(d *Delivery) { record(l, &l.deliveries, d) }

// Overload records an overload of a worker that was warming up.
func (l *Ledger) Overload(o Overload) { record(l, &l.overloads, o) }

// ProcessEvent records an event of a dispatcher's process.
func (l *Ledger) ProcessEvent(e ProcessEvent) { record(l, &l.processEvents, e) }

// ProtocolFault records input that a worker could not parse.
func (l *Ledger) ProtocolFault(f ProtocolFault) { record(l, &l.protocolFaults, f) }

// Do runs f, which changes an entry, under the ledger's lock.
func (l *Ledger) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// Tries returns all tries. The slice is not a copy: call it only after the run.
func (l *Ledger) Tries() []*Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries
}

// Attempts returns all attempts. The slice is not a copy: call it only after the run.
func (l *Ledger) Attempts() []*Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}

// Deliveries returns all state changes. The slice is not a copy: call it only after the run.
func (l *Ledger) Deliveries() []*Delivery {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.deliveries
}

// ProcessEvents returns all events of dispatchers' processes so far.
func (l *Ledger) ProcessEvents() []ProcessEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.processEvents
}
