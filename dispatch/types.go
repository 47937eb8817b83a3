package dispatch

// Time is a point on the caller's monotonic clock, or a duration, in microseconds.
type Time int64

// Durations.
const (
	Millisecond Time = 1000
	Second           = 1000 * Millisecond
)

// Ids are dense: the caller assigns them from 0 upwards.
type (
	// RequestID is a request's id. It may be reused once the request has had its final answer and all its
	// attempts have ended.
	RequestID uint32
	// WorkerID is the id of a worker, assigned to its name.
	WorkerID int32
)

// Idempotency is what it means to run a request of a class twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may run again at any time
	Deduplicated                     // carries an idempotency key: workers of a scope drop repeats for a while
	NonIdempotent                    // must never run twice
)

// DedupScope is the set of workers that drop repeats of a Deduplicated request.
type DedupScope uint8

// The scopes.
const (
	DedupEverywhere DedupScope = iota // all workers
	DedupZone                         // the workers of one zone
	DedupCell                         // the workers of one cell
)

// WorkerState is the state of a worker on the endpoint list.
type WorkerState uint8

// The states.
const (
	Ready    WorkerState = iota
	Draining             // shuts down gracefully: finishes its requests and must get no new ones
	Gone
)

// Worker is one entry of the endpoint list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	StartedAt        Time    // 0: long ago
	Tag              uint64  // a hash of its name, the same at every dispatcher
	Weight           float64 // its size relative to the others', approximately; 0: unknown
}

// LoadReport is a worker's report of its own load. It is delayed and inexact.
type LoadReport struct {
	Known       bool
	FreeSlots   float64 // -1: unknown
	QueueLength float64 // -1: unknown
}

// PeerMessageKind is the type of a PeerMessage.
type PeerMessageKind uint8

// The kinds of messages, with the meaning of Slots.
const (
	LoadQuery      PeerMessageKind = iota // requests the usage of the worker
	LoadReply                             // Slots: in use by all dispatchers
	UsageUpdate                           // Slots: in use by the sender
	OverloadNotice                        // the worker rejected a request of the sender's, or one timed out there
)

// PeerMessage is a message between dispatchers about one worker.
type PeerMessage struct {
	Kind  PeerMessageKind
	Tag   uint64 // the worker's
	Slots float64
}
