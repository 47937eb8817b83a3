// Package consensus runs one member of a raft group: it ticks go.etcd.io/raft, persists its state, sends and receives its messages, and
// applies committed entries to a state machine in log order.
//
// Core has no clock, goroutine or network, so that a simulation can drive it directly. Node runs a Core in one goroutine, which owns the
// Core, its Storage and its BootMarker.
package consensus

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// Intervals and limits.
const (
	tickInterval   = 50 * time.Millisecond
	heartbeatTicks = 3  // 150 ms
	electionTicks  = 20 // a follower campaigns 1 to 2 s after the last message from its leader

	// A learner that answers one heartbeat per half election timeout counts as active.
	learnerHeartbeatTicks = electionTicks / 2

	readRetryTicks      = 10        // before an unanswered read round is restarted
	maxQueueLength      = 1024      // of the message queue and of the pending reads, each
	maxMessageBytes     = 256 << 10 // total size of the entries in one message
	maxUncommittedBytes = 4 << 20   // total size of uncommitted proposals
	maxInflightMessages = 64        // unacknowledged, to one follower
	snapshotThreshold   = 1000      // number of applied entries that triggers a snapshot and log compaction
	trailingEntries     = 200       // kept in memory from before a snapshot, so that slightly lagging followers need no snapshot
)

// StateMachine receives the committed entries. Its methods are only called by NewCore and during calls of a Core's methods. A Node calls
// them in Start and in its goroutine.
type StateMachine interface {
	// Apply applies the entry at an index. Indexes ascend, with gaps for raft's internal entries.
	Apply(index uint64, data []byte)
	// Snapshot returns the state after the last applied entry.
	Snapshot() ([]byte, error)
	// Restore replaces the state with that of a snapshot.
	Restore(data []byte) error
}

// Errors of proposals, reads and messages. Their texts are sent to other members.
var (
	// ErrNoLeader means that this member cannot propose because it is not the leader or leadership is changing.
	ErrNoLeader = errors.New("no leader is known")
	// ErrStopped means that the node was closed or has failed.
	ErrStopped = errors.New("consensus has stopped")
	// ErrBusy means that a queue is full. The caller may retry.
	ErrBusy = errors.New("too many messages or reads are pending")
	// ErrWrongIncarnation means that a message is for another incarnation of this member.
	ErrWrongIncarnation = errors.New("message is for another incarnation of this member")
)

// Options configures a Core or a Node.
type Options struct {
	Storage    *Storage
	BootMarker *BootMarker // may be nil
	// MaxPromised is an upper bound on what this incarnation may have promised to others and then lost. Nil means that its storage is
	// known to be complete.
	MaxPromised  *Position
	StateMachine StateMachine
	// Send sends a message to the member with raft ID to. snapshot is set if the message contains a snapshot. Send must not block.
	Send func(to uint64, raw []byte, snapshot bool)
	Log  logrus.FieldLogger
}

// Status describes a member at one point in time.
type Status struct {
	LeaderID uint64 // raft ID, 0 if no leader is known
	IsLeader bool
	Applied  uint64 // index of the last applied entry
	Position
	Voters   []uint64 // raft IDs
	Learners []uint64
	Failure  string // why consensus stopped, empty while it is running
}
