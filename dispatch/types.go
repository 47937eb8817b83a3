package dispatch

// Time is a point on the caller's monotonic clock, or a duration, in microseconds.
type Time int64

// Durations.
const (
	Millisecond Time = 1000
	Second           = 1000 * Millisecond
)

// Ids are dense: the caller assigns them consecutively from 0.
type (
	// RequestID identifies a request. It may be reused once the request has its final answer and all its
	// attempts have ended.
	RequestID uint32
	// WorkerID identifies a worker. The caller maps worker names to ids.
	WorkerID int32
)

// Idempotency states whether a request of a class may run more than once.
type Idempotency uint8

// The values of Idempotency.
const (
	Idempotent    Idempotency = iota // may run again at any time
	Deduplicated                     // has an idempotency key: workers of a scope drop repeats for a time
	NonIdempotent                    // must never run twice
)

// DedupScope is the set of workers that drop repeats of each other's Deduplicated requests.
type DedupScope uint8

// The values of DedupScope.
const (
	DedupEverywhere DedupScope = iota // all workers
	DedupZone                         // the workers of one zone
	DedupCell                         // the workers of one cell
)

// WorkerState is the state of a worker on the endpoint list.
type WorkerState uint8

// The values of WorkerState.
const (
	Ready    WorkerState = iota
	Draining             // shuts down gracefully: completes its requests and must receive no new ones
	Gone
)

// Worker is one entry of the endpoint list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	StartedAt        Time    // 0: longer ago than the slow-start window
	Tag              uint64  // hash of its name, the same at every dispatcher
	Weight           float64 // approximate size relative to other workers; 0: unknown
}

// LoadReport is a worker's report of its own load. It is delayed and approximate.
type LoadReport struct {
	Known       bool
	FreeSlots   float64 // -1: unknown
	QueueLength float64 // -1: unknown
}

// PeerMessageKind is the type of a PeerMessage.
type PeerMessageKind uint8

// The values of PeerMessageKind, with the meaning of Slots.
const (
	LoadQuery      PeerMessageKind = iota // requests the slots in use at the worker
	LoadReply                             // Slots: in use by all dispatchers
	UsageUpdate                           // Slots: in use by the sender
	OverloadNotice                        // the worker rejected a request, or a request timed out there
)

// PeerMessage is a message between dispatchers about one worker.
type PeerMessage struct {
	Kind  PeerMessageKind
	Tag   uint64 // of the worker
	Slots float64
}
