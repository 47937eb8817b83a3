// Package dispatch decides where a dispatcher sends each job. This file holds its interface: settings, events,
// actions and the types they are made of. Every decision stands in rules.go.
//
// The caller turns all names into dense ids (workers, zones, kinds, classes, tenants), hands events to
// Dispatcher.Handle in the order they happened, and carries out the returned actions in their order. The package
// does no I/O, starts no goroutine and reads no clock.
package dispatch

// Time is a point on the caller's monotonic clock, or a length of time, in microseconds.
type Time int64

// Lengths of time.
const (
	Millisecond Time = 1000
	Second           = 1000 * Millisecond
)

// Ids are dense: the caller hands them out from 0 upwards. Request ids may be used again once the request has had
// its final answer and all its attempts have ended.
type (
	RequestID uint32
	WorkerID  int32
)

// Effect says what repeating a job of a class does.
type Effect uint8

// The effects.
const (
	Safe   Effect = iota // may be repeated at any time
	Keyed                // repeats are dropped within a group of workers, for a while
	Unsafe               // must never run twice
)

// Group says which workers drop repeats of a keyed job.
type Group uint8

// The groups.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of jobs.
type Class struct {
	Aim       Time    // an answer within Aim plus Stretch times the job's own work has its full worth
	Stretch   float64 // see Aim
	Deadline  Time    // the client's patience over all its tries
	Worth     float64
	LateWorth float64 // share of the worth that is left past the aim
	Effect    Effect
	Group     Group // for Keyed
	Window    Time  // for Keyed: how long repeats are dropped, from the first attempt's send
	Kind      int   // the one kind of worker that runs it, or -1
}

// Tenant describes one customer's share.
type Tenant struct {
	Quota float64 // requests a second over all dispatchers; traffic beyond is worth little
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Classes        []Class
	Tenants        []Tenant // may be empty
	OverShareWorth float64  // share of the worth that is left beyond a tenant's quota
	Zones, Kinds   int      // how many there are
	Zone           int      // where this dispatcher is, or -1
	GroupSize      int      // dispatchers in the group, this one included
	Ordinal        int      // our own number in the group, from 0
	CanTell        bool     // dispatchers may send each other notes
	Tick           Time     // the shortest time between two calls of the dispatcher

	MaxAttempts    int // attempts for one request
	CanCancel      bool
	SecondCopies   bool // two attempts of one request may be out together
	RetryAfter     bool // clients are told when to come back
	MaxRetryAfter  Time
	ConnectTimeout Time
	ListOnRequest  bool // the worker list comes only to those that watch or fetch it
	Sized          bool // a worker's listed weight tells its size
	WeightsMove    bool // a worker's listed weight falls with its load, so that it is no size
	TellsStart     bool // workers report when a job starts
	Progress       Time // time between progress reports of a running job, 0 for none

	AskWithin    Time    // without a watch the list must be asked for this often
	DrainGrace   Time    // how long after the news of a drain the last send may be
	ColdFrom     float64 // share of its capacity that a worker starts with, at the least
	WarmWithin   Time    // when it has all of it, at the latest
	FallMultiple float64 // a cold worker sent more than this multiple of its capacity ...
	FallWindow   Time    // ... for this long falls over

	PriceWaste    float64 // price of work that served nobody, as a share of all work
	PriceFetch    float64 // price of one fetch from the store for each request
	PriceLateFail float64 // price of worth that ended unserved after its aim
	PriceCross    float64 // price of one crossing between zones for each request
	IdleClose     Time    // idle connections are closed after this
}

// EventKind tells events apart.
type EventKind uint8

// The events and the fields that each uses.
const (
	ListSnapshot EventKind = iota // Workers, Version, Stale: the whole list
	ListChange                    // Workers, Version: entries that changed
	ListLost                      // a watch broke or a call for the list failed
	Arrived                       // Request, Class, Tenant, Work, Left, Slots, Memory, Retry, Narrow, Key
	Started                       // Request, Attempt, Worker: the job began to run
	Progressed                    // Request, Attempt, Worker, Done
	AnswerBegan                   // Request, Attempt, Worker: a streamed answer is on its way to the client
	Ended                         // Request, Attempt, Worker, Result, Elapsed, Final, Report
	ClientGone                    // Request: no answer is owed any more
	TimerFired
	Heard    // Peer, Note
	TakenOut // Worker: the operators leave it out, whatever the list says; it need not be listed
	PutBack  // Worker, Elapsed: it may serve again since then; it was started anew while it was out
	Warned   // Worker: jobs fail at it, by another dispatcher's word
	Retuned  // Settings, Classes, Tenants: other settings hold for requests that come from now on
)

// Result is how an attempt ended.
type Result uint8

// The results. Unknown ones count as possibly run.
const (
	OK            Result = iota
	Failed               // an error from the worker; may have run
	Full                 // turned away unseen; never ran
	TimedOut             // may have run or be running
	Unreachable          // no connection; never ran
	Disconnected         // may have run
	Cancelled            // may have run
	NotSent              // never ran
	UnknownResult        // may have run
)

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	Kind    EventKind
	Request RequestID
	Attempt int
	Worker  WorkerID
	Result  Result
	Final   bool // the request has ended, by this event or earlier
	Elapsed Time // since the attempt was sent, or the worker put back
	Done    float64

	Class  int
	Tenant int  // -1: none
	Work   Time // expected work on a standard core; 0: not told
	Left   Time // until the client gives this try up
	Slots  int
	Memory float64
	Retry  bool // the client marks it as a repeat
	Narrow Narrow
	Key    uint64 // what a job needs beside its slots: workers keep it for a while; 0: nothing told

	// Of new settings: the old number of each class and tenant, -1 for new ones. Zones and kinds keep their numbers; new
	// ones come behind them.
	Settings         *Settings
	Classes, Tenants []int

	Version uint64
	Stale   bool // a copy kept from before a restart
	Workers []Worker
	Report  Report
	Peer    int // its number in the group
	Note    Note
}

// Narrow is what the operator allows for one request beside the settings. It narrows what the rules and the settings
// allow and never widens it. The zero Narrow narrows nothing; nor does a zero field.
type Narrow struct {
	Within   Time    // for the whole, from its arrival on
	Wait     Time    // for one attempt
	Hold     Time    // held with nothing sent
	Attempts int     // in all
	Single   bool    // never two at once
	Race     Time    // no second copy sooner than this after the first
	Strict   bool    // nothing again that may have run, whatever the class
	Window   Time    // for Keyed: repeats no later than this after the first
	Pause    Time    // before a further attempt, doubling with each ...
	MaxPause Time    // ... up to this ...
	Jitter   float64 // ... less up to this share of it, at random
}

// NoteKind tells notes between dispatchers apart.
type NoteKind uint8

// The notes.
const (
	Ask     NoteKind = iota // how much of the worker is in use?
	Load                    // Slots: so much, by all
	Use                     // Slots: so much, by the sender
	Crowded                 // the worker turned a job of the sender's away, or let it wait too long
)

// Note is a message between dispatchers on one worker.
type Note struct {
	Kind  NoteKind
	Tag   uint64
	Slots float64
}

// State is what the list says of a worker.
type State uint8

// The states.
const (
	Ready State = iota
	Draining
	Gone
)

// Worker is one entry of the list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            State
	StartedAt        Time    // 0: long ago
	Tag              uint64  // the same at every dispatcher
	Weight           float64 // its size against the others', roughly; 0: not told
}

// Report is a worker's own account of its load; it is late and noisy.
type Report struct {
	Known     bool
	FreeSlots float64 // -1: not told
	Queue     float64 // -1: not told
}

// ActionKind tells actions apart.
type ActionKind uint8

// The actions and the fields that each uses.
const (
	Send      ActionKind = iota // Request, Worker, Wait: the time-out, 0 for the client's own; By
	Cancel                      // Request, Attempt
	Refuse                      // Request, Wait: when to come back, 0 for no advice
	GiveUp                      // Request
	SetTimer                    // Wait
	WatchList                   // ask for the list's changes from now on
	FetchList                   // ask for the whole list once
	Tell                        // Peer, Note
)

// Action is one thing to do. Attempts of a request are numbered 0, 1, 2 in the order of their Sends.
type Action struct {
	Kind    ActionKind
	Request RequestID
	Attempt int
	Worker  WorkerID
	Wait    Time
	By      Time // the attempt's first byte has to be out before, else it is not to go out at all; 0: no bound
	Peer    int
	Note    Note
}
