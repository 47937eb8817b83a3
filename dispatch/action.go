package dispatch

// ActionKind tells actions apart.
type ActionKind uint8

// The actions. The comments name the fields that each uses.
const (
	// Send (Request, Worker, Wait, SendBefore) starts an attempt. Wait is its time-out, 0 for the client's own.
	Send ActionKind = iota
	// Cancel (Request, Attempt) cancels an attempt in flight.
	Cancel
	// Reject (Request, Wait) rejects the request. Wait is the Retry-After, 0 for none.
	Reject
	// Fail (Request) answers the request with a failure.
	Fail
	// SetTimer (Wait) asks for a TimerFired.
	SetTimer
	// WatchEndpoints asks for the endpoint list's changes from now on.
	WatchEndpoints
	// FetchEndpoints asks for the whole endpoint list once.
	FetchEndpoints
	// SendToPeer (Peer, Message) sends another dispatcher a message.
	SendToPeer
)

// Action is one thing to do. Attempts of a request are numbered 0, 1, 2 in the order of their Sends.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Worker     WorkerID
	Wait       Time
	SendBefore Time // the attempt's first byte goes out before, or it does not go out; 0: no bound
	Peer       int
	Message    PeerMessage
}
