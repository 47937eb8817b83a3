// Package simprotocol is the codec of the simulator's protocol: it reads batches of events for many dispatchers and
// writes the actions back. It maps names to the ids of the dispatch module and makes no decisions.
//
// The input is lines of tab-separated values, the first of which names the message; "-" means a value that is not set.
// A batch begins with BATCH and ends with FLUSH; ON selects the dispatcher for the lines that follow. The reply to a
// batch is lines of the same form, and ends with EOR; BY names the dispatcher that acts.
package simprotocol

import "birchfork/dispatch"

// The messages of the simulator.
const (
	lineBatch              = "BATCH"          // a batch begins
	lineFlush              = "FLUSH"          // the batch ends: the reply is due
	lineOn                 = "ON"             // selects the instance for the lines that follow
	linePool               = "POOL"           // a numbered list of workers, for MEMBERSHIP
	lineRow                = "ROW"            // one worker of the list
	lineStart              = "POWER_ON"       // an instance starts, with a seed and settings
	lineCrash              = "CRASH_NOW"      // an instance ends
	lineRequest            = "QUERY"          // a request arrives
	lineAttemptEnded       = "CLOSED_ATTEMPT" // an attempt has ended
	lineAttemptChange      = "CHANGE"         // an attempt has started to run, or reports progress
	lineResponse           = "FIRST_BYTE"     // the response has started
	lineClientDisconnected = "GONE"           // the client has disconnected
	lineTimer              = "WAKEUP"         // the timer has fired
	lineProbeDone          = "PROBE_DONE"     // a health check has ended
	lineEndpoints          = "MEMBERSHIP"     // endpoints, or the loss of their watch
	linePeerMessage        = "DATAGRAM"       // a message from a peer
)

// The replies.
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

// MessageKind is the type of a Message.
type MessageKind uint8

// The kinds of messages, with the fields of Message that each uses.
const (
	BatchBegin    MessageKind = iota // Now
	BatchEnd                         // the reply is due
	InstanceStart                    // Instance, Settings, Seed
	InstanceStop                     // Instance
	InstanceEvent                    // Instance, Event
)

// Message is one message to the host. Event and what it refers to are valid until the next call of Reader.Read.
type Message struct {
	Kind     MessageKind
	Now      dispatch.Time
	Instance int
	Settings dispatch.Settings
	Seed     uint64
	Event    *dispatch.Event
}
