// Package invariant records what clients, workers and discovery observed during a run, and checks the four rules against
// that. It takes nothing from a dispatcher's own account. All times are on one clock, since the run's start.
//
// The stand-ins of a run record in a Ledger; Check reads it when the run has ended and returns a Verdict.
package invariant

import (
	"sync"
	"time"
)

// Outcome is how a try ended for its client.
type Outcome uint8

// The outcomeCount.
const (
	Pending      Outcome = iota
	Served               // 200 with a result
	Refused              // 429 or 503
	Failed               // any other whole answer
	Closed               // the connection ended with no whole answer
	NoAnswer             // no answer while the client waited
	Left                 // the client left before an answer, as planned
	Unsent               // no connection came up, or the request could not be written whole
	outcomeCount         // how many there are
)

var outcomeNames = [outcomeCount]string{"pending", "served", "refused", "failed", "closed", "no answer", "left", "unsent"}

// String returns the outcome as reports have it.
func (o Outcome) String() string { return outcomeNames[o] }

// Try is one request as its client saw it.
type Try struct {
	ID            string
	Request       int // index of the client request in the day
	Number        int // 0: the first try of its client request
	Class         int
	Dispatcher    int
	Fresh         bool          // the first request on its connection
	Sent          time.Duration // when its last byte was written
	Due           time.Duration // its deadline
	Ended         time.Duration
	Outcome       Outcome
	Status        int
	Result        uint64 // hash of the body that came with 200
	AnsweredTwice bool   // more came after the answer
}

// End is how an attempt ended at its worker.
type End uint8

// The ends. Only Returned and Rejected state that it never ran.
const (
	Open     End = iota
	Done         // with a result
	Errored      // failed, or status 500
	Returned     // returned from the queue, unstarted
	Rejected     // 503 with X-Not-Run
	Dropped      // the dispatcher closed the connection
	Died         // the worker's process ended or its link was cut
)

var endNames = [...]string{"open", "done", "failed", "returned", "turned away", "dropped by the dispatcher", "lost with its worker"}

// String returns the end as lines of proof have it.
func (e End) String() string { return endNames[e] }

// Attempt is one request as a worker saw it.
type Attempt struct {
	ID          string
	Worker      int
	Incarnation int // which start of the worker
	Dispatcher  int
	First, Last time.Duration // when its first and last byte came
	Ended       time.Duration
	End         End
	Ran         bool   // it began to run
	Result      uint64 // hash of the result that went back
	Changed     string // how it differs from what the client sent; empty: not at all
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

// String returns the state as lines of proof have it.
func (s State) String() string { return stateNames[s] }

// Delivery is a change of one worker's state on its way to one dispatcher.
type Delivery struct {
	Dispatcher, Worker, Incarnation int
	State                           State
	AtAgent                         time.Duration // since when the dispatcher's agent has it
	Written                         time.Duration // when it was written to the dispatcher; 0: not yet
}

// Overload is a worker that was overloaded while it warmed up.
type Overload struct {
	Worker, Incarnation int
	At                  time.Duration
	Sent, Allowed       float64 // work within the window, in seconds on a core of speed 1
	SlowStartFactor     float64 // the share of its capacity that it had
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
	Ready                         // it answered that it is up
	Killed                        // by SIGKILL
	Terminated                    // SIGTERM sent
	Reloaded                      // SIGHUP sent
	Exited                        // with status 0, after SIGTERM
	Crashed                       // by itself, or with another status
	StopTimedOut                  // it had not ended when SIGKILL came after SIGTERM
	Stopped                       // by SIGSTOP
	Resumed                       // by SIGCONT
)

var processEventKindNames = [...]string{"started", "ready", "killed", "sent SIGTERM", "sent SIGHUP", "ended", "crashed", "did not end after SIGTERM", "sent SIGSTOP", "sent SIGCONT"}

// String returns the event as it is written in reports.
func (k ProcessEventKind) String() string { return processEventKindNames[k] }

// ProtocolFault is input that a worker was sent and could not parse.
type ProtocolFault struct {
	Worker, Dispatcher int
	At                 time.Duration
	What               string
}

// Ledger records what is observed. It is safe for concurrent use.
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

// Overload records an overload of a worker that warmed up.
func (l *Ledger) Overload(o Overload) { record(l, &l.overloads, o) }

// ProcessEvent records an event of a dispatcher's process.
func (l *Ledger) ProcessEvent(m ProcessEvent) { record(l, &l.processEvents, m) }

// ProtocolFault records input that a worker could not parse.
func (l *Ledger) ProtocolFault(f ProtocolFault) { record(l, &l.protocolFaults, f) }

// Do runs f, which changes an entry, under the ledger's lock.
func (l *Ledger) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// Tries returns all tries. The slice is not a copy: call it when the run is over.
func (l *Ledger) Tries() []*Try {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries
}

// Attempts returns all attempts. The slice is not a copy: call it when the run is over.
func (l *Ledger) Attempts() []*Attempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}

// Deliveries returns all state changes. The slice is not a copy: call it when the run is over.
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
