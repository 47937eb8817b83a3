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

// Idempotency says what repeating a job of a class does.
type Idempotency uint8

// The effects.
const (
	Idempotent    Idempotency = iota // may be repeated at any time
	Deduplicated                     // repeats are dropped within a group of workers, for a while
	NonIdempotent                    // must never run twice
)

// DedupScope says which workers drop repeats of a keyed job.
type DedupScope uint8

// The groups.
const (
	DedupEverywhere DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of jobs.
type Class struct {
	LatencyObjective Time    // an answer within Aim plus Stretch times the job's own work has its full worth
	ObjectiveStretch float64 // see Aim
	Deadline         Time    // the client's patience over all its tries
	PriorityWeight   float64
	LateWeight       float64 // share of the worth that is left past the aim
	Idempotency      Idempotency
	DedupScope       DedupScope // for Keyed
	DedupWindow      Time       // for Keyed: how long repeats are dropped, from the first attempt's send
	WorkerKind       int        // the one kind of worker that runs it, or -1
}

// Tenant describes one customer's share.
type Tenant struct {
	QuotaRPS float64 // requests a second over all dispatchers; traffic beyond is worth little
}

// Settings is all that a dispatcher is told at its start.
type Settings struct {
	Classes              []Class
	Tenants              []Tenant // may be empty
	OverQuotaWeight      float64  // share of the worth that is left beyond a tenant's quota
	ZoneCount, KindCount int      // how many there are
	Zone                 int      // where this dispatcher is, or -1
	GroupSize            int      // dispatchers in the group, this one included
	Ordinal              int      // our own number in the group, from 0
	PeerMessages         bool     // dispatchers may send each other notes
	Tick                 Time     // the shortest time between two calls of the dispatcher

	MaxAttempts        int // attempts for one request
	CanCancel          bool
	CanHedge           bool // two attempts of one request may be out together
	RetryAfter         bool // clients are told when to come back
	MaxRetryAfter      Time
	ConnectTimeout     Time
	EndpointsOnRequest bool // the worker list comes only to those that watch or fetch it
	WeightsShowSize    bool // a worker's listed weight tells its size
	WeightsShowLoad    bool // a worker's listed weight falls with its load, so that it is no size
	ReportsStart       bool // workers report when a job starts
	ProgressInterval   Time // time between progress reports of a running job, 0 for none

	MaxPollInterval    Time    // without a watch the list must be asked for this often
	DrainGrace         Time    // how long after the news of a drain the last send may be
	SlowStartMinFactor float64 // share of its capacity that a worker starts with, at the least
	SlowStartWindow    Time    // when it has all of it, at the latest
	OverloadMultiple   float64 // a cold worker sent more than this multiple of its capacity ...
	OverloadWindow     Time    // ... for this long falls over

	PriceWaste     float64 // price of work that served nobody, as a share of all work
	PriceFetch     float64 // price of one fetch from the store for each request
	PriceLateFail  float64 // price of worth that ended unserved after its aim
	PriceCrossZone float64 // price of one crossing between zones for each request
	IdleTimeout    Time    // idle connections are closed after this
}

// EventKind tells events apart.
type EventKind uint8

// The events and the fields that each uses.
const (
	EndpointSnapshot  EventKind = iota // Workers, Version, Stale: the whole list
	EndpointUpdate                     // Workers, Version: entries that changed
	EndpointWatchLost                  // a watch broke or a call for the list failed
	RequestArrived                     // Request, Class, Tenant, Work, Left, Slots, Memory, Retry, Narrow, Key
	AttemptStarted                     // Request, Attempt, Worker: the job began to run
	AttemptProgressed                  // Request, Attempt, Worker, Done
	ResponseStarted                    // Request, Attempt, Worker: a streamed answer is on its way to the client
	AttemptEnded                       // Request, Attempt, Worker, Result, Elapsed, Final, Report
	RequestAbandoned                   // Request: no answer is owed any more
	TimerFired
	PeerMessageReceived // Peer, Note
	WorkerDisabled      // Worker: the operators leave it out, whatever the list says; it need not be listed
	WorkerEnabled       // Worker, Elapsed: it may serve again since then; it was started anew while it was out
	OutlierReported     // Worker: jobs fail at it, by another dispatcher's word
	SettingsChanged     // Settings, Classes, Tenants: other settings hold for requests that come from now on
)

// Result is how an attempt ended.
type Result uint8

// The results. Unknown ones count as possibly run.
const (
	ResultOK           Result = iota
	ResultFailed              // an error from the worker; may have run
	ResultOverloaded          // turned away unseen; never ran
	ResultTimedOut            // may have run or be running
	ResultUnreachable         // no connection; never ran
	ResultDisconnected        // may have run
	ResultCancelled           // may have run
	ResultNotSent             // never ran
	ResultUnknown             // may have run
)

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	Kind     EventKind
	Request  RequestID
	Attempt  int
	Worker   WorkerID
	Result   Result
	Final    bool // the request has ended, by this event or earlier
	Elapsed  Time // since the attempt was sent, or the worker put back
	Progress float64

	Class        int
	Tenant       int  // -1: none
	ExpectedWork Time // expected work on a standard core; 0: not told
	TimeLeft     Time // until the client gives this try up
	Slots        int
	Memory       float64
	Retry        bool // the client marks it as a repeat
	RouteLimits  RouteLimits
	AffinityKey  uint64 // what a job needs beside its slots: workers keep it for a while; 0: nothing told

	// Of new settings: the old number of each class and tenant, -1 for new ones. Zones and kinds keep their numbers; new
	// ones come behind them.
	Settings               *Settings
	OldClasses, OldTenants []int

	Version uint64
	Stale   bool // a copy kept from before a restart
	Workers []Worker
	Report  LoadReport
	Peer    int // its number in the group
	Message PeerMessage
}

// RouteLimits is what the operator allows for one request beside the settings. It narrows what the rules and the settings
// allow and never widens it. The zero Narrow narrows nothing; nor does a zero field.
type RouteLimits struct {
	Timeout         Time    // for the whole, from its arrival on
	AttemptTimeout  Time    // for one attempt
	MaxQueueTime    Time    // held with nothing sent
	MaxAttempts     int     // in all
	NoHedging       bool    // never two at once
	HedgeDelay      Time    // no second copy sooner than this after the first
	RetryNotRunOnly bool    // nothing again that may have run, whatever the class
	DedupWindow     Time    // for Keyed: repeats no later than this after the first
	RetryBackoff    Time    // before a further attempt, doubling with each ...
	MaxRetryBackoff Time    // ... up to this ...
	BackoffJitter   float64 // ... less up to this share of it, at random
}

// PeerMessageKind tells notes between dispatchers apart.
type PeerMessageKind uint8

// The notes.
const (
	LoadQuery      PeerMessageKind = iota // how much of the worker is in use?
	LoadReply                             // Slots: so much, by all
	UsageUpdate                           // Slots: so much, by the sender
	OverloadNotice                        // the worker turned a job of the sender's away, or let it wait too long
)

// PeerMessage is a message between dispatchers on one worker.
type PeerMessage struct {
	Kind  PeerMessageKind
	Tag   uint64
	Slots float64
}

// WorkerState is what the list says of a worker.
type WorkerState uint8

// The states.
const (
	Ready WorkerState = iota
	Draining
	Gone
)

// Worker is one entry of the list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	StartedAt        Time    // 0: long ago
	Tag              uint64  // the same at every dispatcher
	Weight           float64 // its size against the others', roughly; 0: not told
}

// LoadReport is a worker's own account of its load; it is late and noisy.
type LoadReport struct {
	Known       bool
	FreeSlots   float64 // -1: not told
	QueueLength float64 // -1: not told
}

// ActionKind tells actions apart.
type ActionKind uint8

// The actions and the fields that each uses.
const (
	Send           ActionKind = iota // Request, Worker, Wait: the time-out, 0 for the client's own; By
	Cancel                           // Request, Attempt
	Reject                           // Request, Wait: when to come back, 0 for no advice
	Fail                             // Request
	SetTimer                         // Wait
	WatchEndpoints                   // ask for the list's changes from now on
	FetchEndpoints                   // ask for the whole list once
	SendToPeer                       // Peer, Note
)

// Action is one thing to do. Attempts of a request are numbered 0, 1, 2 in the order of their Sends.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Worker     WorkerID
	Wait       Time
	SendBefore Time // the attempt's first byte has to be out before, else it is not to go out at all; 0: no bound
	Peer       int
	Message    PeerMessage
}
