// Package simprotocol is the codec of the simulator's protocol. It reads batches of events for many dispatchers and
// writes their actions as replies. It maps names to the ids of the decision module and makes no decisions.
//
// The input consists of lines of tab-separated values. The first value is the name of the message, and "-" is an absent
// value. A batch begins with BATCH and ends with FLUSH. ON selects the dispatcher for the lines that follow. The reply to
// a batch has lines of the same form and ends with EOR. BY selects the dispatcher whose actions follow.
package simprotocol

import "birchfork/dispatch"

// The names of the messages from the simulator.
const (
	lineBatch              = "BATCH"          // a batch begins
	lineFlush              = "FLUSH"          // the batch ends; the simulator waits for the reply
	lineOn                 = "ON"             // selects the instance for the lines that follow
	linePool               = "POOL"           // a numbered list of workers that MEMBERSHIP refers to
	lineRow                = "ROW"            // one worker of a POOL
	lineStart              = "POWER_ON"       // an instance starts with a seed and settings
	lineCrash              = "CRASH_NOW"      // an instance stops
	lineRequest            = "QUERY"          // a request arrives
	lineAttemptEnded       = "CLOSED_ATTEMPT" // an attempt has ended
	lineAttemptChange      = "CHANGE"         // an attempt has started to run, or reports progress
	lineResponse           = "FIRST_BYTE"     // the response has started
	lineClientDisconnected = "GONE"           // the client has disconnected
	lineTimer              = "WAKEUP"         // the timer has fired
	lineProbeDone          = "PROBE_DONE"     // a health check has ended
	lineEndpoints          = "MEMBERSHIP"     // an endpoint list, changes to it, or the loss of its watch
	linePeerMessage        = "DATAGRAM"       // a message from a peer has been received
)

// The names of the lines of a reply.
const (
	replyInstance    = "BY"
	replySend        = "CALL_OUT"
	replyCancel      = "RETRACT"
	replyReject      = "REFUSE"
	replyFail        = "GIVE_UP"
	replySetTimer    = "ARM\tt"
	replyWatch       = "WATCH\t1"
	replyFetch       = "LOOKUP"
	replyPeerMessage = "WRITE_PEER"
	replyCrash       = "DIE"
	replyEnd         = "EOR"
)

// noInstance means that no instance is selected.
const noInstance = -1

// MessageKind is the kind of a Message.
type MessageKind uint8

// The kinds of messages. The comments list the fields of Message that each kind sets besides Kind.
const (
	BatchBegin    MessageKind = iota // Now
	BatchEnd                         // none; the reply has to be sent
	InstanceStart                    // Instance, Settings, Seed
	InstanceStop                     // Instance
	InstanceEvent                    // Instance, Event
)

// Message is one message to the host. Event and its slices are valid until the next call of Reader.Read.
type Message struct {
	Kind     MessageKind
	Now      dispatch.Time
	Instance int
	Settings dispatch.Settings
	Seed     uint64
	Event    *dispatch.Event
}
