package dispatch

// EventKind is the type of an Event.
type EventKind uint8

// The values of EventKind. Each comment lists the fields of Event that the kind uses.
const (
	// EndpointSnapshot (Workers, Version, Stale) is the complete endpoint list.
	EndpointSnapshot EventKind = iota
	// EndpointUpdate (Workers, Version) contains the entries of the endpoint list that changed.
	EndpointUpdate
	// EndpointWatchLost reports that a watch was lost or a request for the endpoint list failed.
	EndpointWatchLost
	// RequestArrived (Request, Class, Tenant, ExpectedWork, TimeLeft, Slots, Memory, Retry, RouteLimits,
	// AffinityKey) is a request from a client.
	RequestArrived
	// AttemptStarted (Request, Attempt, Worker) reports that the request has begun to run.
	AttemptStarted
	// AttemptProgressed (Request, Attempt, Worker, Progress) reports the progress of a running request.
	AttemptProgressed
	// ResponseStarted (Request, Attempt, Worker) reports that a streamed answer is being sent to the client.
	ResponseStarted
	// AttemptEnded (Request, Attempt, Worker, Result, Elapsed, Final, Report) reports the end of an attempt,
	// exactly once per attempt.
	AttemptEnded
	// RequestAbandoned (Request) reports that the request no longer needs an answer.
	RequestAbandoned
	// TimerFired reports that the delay of a SetTimer action has elapsed.
	TimerFired
	// PeerMessageReceived (Peer, Message) is a message from another dispatcher.
	PeerMessageReceived
	// WorkerDisabled (Worker) reports that an operator or the group has disabled a worker, independent of the
	// endpoint list. The worker may be unlisted.
	WorkerDisabled
	// WorkerEnabled (Worker, Elapsed) reports that a worker is enabled again. Elapsed is the time since its
	// warm-up started, which may have been before this event.
	WorkerEnabled
	// OutlierReported (Worker) reports that another dispatcher has found a worker at which requests fail.
	OutlierReported
	// SettingsChanged (Settings, OldClasses, OldTenants) replaces the settings for requests that arrive after
	// this event.
	SettingsChanged
)

// Result is the outcome of an attempt.
type Result uint8

// The values of Result.
const (
	ResultOK           Result = iota
	ResultFailed              // an error from the worker; may have run
	ResultOverloaded          // rejected by the worker; never ran
	ResultTimedOut            // may have run or be running
	ResultUnreachable         // no connection; never ran
	ResultDisconnected        // may have run
	ResultCancelled           // may have run
	ResultNotSent             // never ran
	ResultUnknown             // may have run
)

// Event is one input of the dispatcher. Kind determines which fields are used.
type Event struct {
	Kind    EventKind
	Request RequestID
	Attempt int
	Worker  WorkerID
	Result  Result
	Final   bool // the request has ended with this event or earlier
	Elapsed Time // since the attempt was sent, or the worker's warm-up started
	// Progress is the completed share of the work.
	Progress float64

	Class        int
	Tenant       int  // -1: none
	ExpectedWork Time // on a standard core; 0: unknown
	TimeLeft     Time // until the client abandons the request
	Slots        int
	Memory       float64
	Retry        bool // the client marks it as a retry
	RouteLimits  RouteLimits
	AffinityKey  uint64 // of data that the request needs and workers cache; 0: none

	// OldClasses and OldTenants hold the index that each class and tenant of the new settings had in the old
	// settings, -1 if it is new. Zones and kinds keep their indices; new ones are appended.
	Settings               *Settings
	OldClasses, OldTenants []int

	Version uint64
	Stale   bool // the list is a copy that was saved before a restart
	Workers []Worker
	Report  LoadReport
	Peer    int // ordinal of the sender in the group
	Message PeerMessage
}
