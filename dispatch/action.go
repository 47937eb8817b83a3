package dispatch

// ActionKind is the type of an Action.
type ActionKind uint8

// The values of ActionKind. Each comment lists the fields of Action that the kind uses.
const (
	// Send (Request, Worker, Wait, SendBefore) starts an attempt. Wait is its timeout, 0 for the client's
	// timeout.
	Send ActionKind = iota
	// Cancel (Request, Attempt) cancels an attempt in flight.
	Cancel
	// Reject (Request, Wait) rejects the request. Wait is the Retry-After, 0 for none.
	Reject
	// Fail (Request) answers the request with a failure.
	Fail
	// SetTimer (Wait) requests a TimerFired event after Wait.
	SetTimer
	// WatchEndpoints requests a watch, which reports all further changes of the endpoint list.
	WatchEndpoints
	// FetchEndpoints requests the complete endpoint list once.
	FetchEndpoints
	// SendToPeer (Peer, Message) sends a message to another dispatcher.
	SendToPeer
)

// Action is one step for the caller to carry out. Attempts of a request are numbered from 0 in the order of
// their Send actions.
type Action struct {
	Kind       ActionKind
	Request    RequestID
	Attempt    int
	Worker     WorkerID
	Wait       Time
	SendBefore Time // the first byte of the attempt has to be sent before this time; 0: no bound
	Peer       int
	Message    PeerMessage
}
