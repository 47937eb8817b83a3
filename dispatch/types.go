package dispatch

// Time is a point on the caller's monotonic clock, or a length of time, in microseconds.
type Time int64

// Lengths of time.
const (
	Millisecond Time = 1000
	Second           = 1000 * Millisecond
)

// Ids are dense: the caller hands them out from 0 upwards.
type (
	// RequestID is a request's id. It may be used again once the request has had its final answer and all its
	// attempts have ended.
	RequestID uint32
	// WorkerID is the id of a worker, by its name.
	WorkerID int32
)

// Idempotency says what it means to run a request of a class twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent    Idempotency = iota // may run again at any time
	Deduplicated                     // carries an idempotency key: workers of a scope drop repeats for a while
	NonIdempotent                    // must never run twice
)

// DedupScope says which workers drop repeats of a Deduplicated request.
type DedupScope uint8

// The scopes.
const (
	DedupEverywhere DedupScope = iota // all workers
	DedupZone                         // the workers of one zone
	DedupCell                         // the workers of one cell
)

// WorkerState is what the endpoint list says of a worker.
type WorkerState uint8

// The states.
const (
	Ready    WorkerState = iota
	Draining             // shuts down gracefully: finishes what it has and may get nothing new
	Gone
)

// Worker is one entry of the endpoint list.
type Worker struct {
	ID               WorkerID
	Zone, Kind, Cell int
	State            WorkerState
	StartedAt        Time    // 0: long ago
	Tag              uint64  // a hash of its name, the same at every dispatcher
	Weight           float64 // its size against the others', roughly; 0: unknown
}

// LoadReport is a worker's own account of its load. It is late and noisy.
type LoadReport struct {
	Known       bool
	FreeSlots   float64 // -1: unknown
	QueueLength float64 // -1: unknown
}

// PeerMessageKind tells messages between dispatchers apart.
type PeerMessageKind uint8

// The messages. Slots is the field that each uses.
const (
	LoadQuery      PeerMessageKind = iota // asks how much of the worker is in use
	LoadReply                             // Slots: in use by all dispatchers
	UsageUpdate                           // Slots: in use by the sender
	OverloadNotice                        // the worker rejected a request of the sender's, or let it wait too long
)

// PeerMessage is a message between dispatchers about one worker.
type PeerMessage struct {
	Kind  PeerMessageKind
	Tag   uint64 // the worker's
	Slots float64
}
