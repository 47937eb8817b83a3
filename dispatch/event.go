package dispatch

// EventKind tells events apart.
type EventKind uint8

// The events. The comments name the fields that each uses.
const (
	// EndpointSnapshot (Workers, Version, Stale) is the whole endpoint list.
	EndpointSnapshot EventKind = iota
	// EndpointUpdate (Workers, Version) brings the entries of the endpoint list that changed.
	EndpointUpdate
	// EndpointWatchLost says that a watch broke or a call for the endpoint list failed.
	EndpointWatchLost
	// RequestArrived (Request, Class, Tenant, ExpectedWork, TimeLeft, Slots, Memory, Retry, RouteLimits, AffinityKey)
	// brings a client's request.
	RequestArrived
	// AttemptStarted (Request, Attempt, Worker) says that the request has begun to run.
	AttemptStarted
	// AttemptProgressed (Request, Attempt, Worker, Progress) says that it runs on.
	AttemptProgressed
	// ResponseStarted (Request, Attempt, Worker) says that a streamed answer is on its way to the client.
	ResponseStarted
	// AttemptEnded (Request, Attempt, Worker, Result, Elapsed, Final, Report) is an attempt's one end.
	AttemptEnded
	// RequestAbandoned (Request) says that no answer is owed any more.
	RequestAbandoned
	// TimerFired says that the time of a SetTimer has come.
	TimerFired
	// PeerMessageReceived (Peer, Message) brings a message of another dispatcher.
	PeerMessageReceived
	// WorkerDisabled (Worker) says that an operator has disabled a worker, whatever the endpoint list says. The worker
	// need not be listed.
	WorkerDisabled
	// WorkerEnabled (Worker, Elapsed) says that an operator has enabled a worker again so long ago. It was restarted while
	// it was disabled.
	WorkerEnabled
	// OutlierReported (Worker) says that requests fail at a worker, as another dispatcher reports.
	OutlierReported
	// SettingsChanged (Settings, OldClasses, OldTenants) brings settings for the requests that arrive from now on.
	SettingsChanged
)

// Result is how an attempt ended.
type Result uint8

// The results.
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

// Event is one thing that happened. Which fields count depends on Kind.
type Event struct {
	Kind    EventKind
	Request RequestID
	Attempt int
	Worker  WorkerID
	Result  Result
	Final   bool // the request has ended, by this event or earlier
	Elapsed Time // since the attempt was sent, or the worker enabled
	// Progress is the share of the work that is done.
	Progress float64

	Class        int
	Tenant       int  // -1: none
	ExpectedWork Time // on a standard core; 0: unknown
	TimeLeft     Time // until the client gives this try up
	Slots        int
	Memory       float64
	Retry        bool // the client marks it as a retry
	RouteLimits  RouteLimits
	AffinityKey  uint64 // of data that the request needs and workers cache; 0: none

	// OldClasses and OldTenants are the numbers of the new settings' classes and tenants in the old ones, -1
	// for new ones. Zones and kinds keep their numbers; new ones follow.
	Settings               *Settings
	OldClasses, OldTenants []int

	Version uint64
	Stale   bool // a copy kept from before a restart
	Workers []Worker
	Report  LoadReport
	Peer    int // its number in the group
	Message PeerMessage
}
