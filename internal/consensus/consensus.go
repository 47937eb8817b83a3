// Package consensus runs one member's part in a raft group: it ticks go.etcd.io/raft, persists what raft wants persisted, carries its
// messages and applies committed entries to a state machine in the order of the log.
//
// Core is the part without clock, goroutine and network; a simulation drives it directly. Node runs a Core in one goroutine, which owns
// the Core, its Storage and its BootMarker.
package consensus

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// Times and limits.
const (
	tickInterval   = 50 * time.Millisecond
	heartbeatTicks = 3  // 150 ms
	electionTicks  = 20 // a follower campaigns 1 to 2 s after the last message of its leader

	// A learner that answers one heartbeat in each half of an election timeout does not count as inactive.
	learnerHeartbeatTicks = electionTicks / 2

	readRetryTicks      = 10        // until an unanswered read round is started again
	maxQueueLength      = 1024      // each: messages and reads that wait
	maxMessageBytes     = 256 << 10 // of the entries in one message
	maxUncommittedBytes = 4 << 20   // of proposals
	maxInflightMessages = 64        // to one follower
	snapshotThreshold   = 1000      // applied entries after which the log is compacted
	trailingEntries     = 200       // kept from before a snapshot, for followers that are a little behind
)

// StateMachine is what committed entries are applied to. Only the caller of a Core, which for a Node is its goroutine, calls it.
type StateMachine interface {
	// Apply applies the entry at an index. Indexes ascend, with gaps where raft has entries of its own.
	Apply(index uint64, data []byte)
	// Snapshot returns the state after the last entry that was applied.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
}

// Errors of proposals, reads and messages. Their texts are answers to other members.
var (
	// ErrNoLeader means that this member cannot propose: it does not lead, or leadership is changing.
	ErrNoLeader = errors.New("no leader is known")
	// ErrStopped means that the node was closed or has failed.
	ErrStopped = errors.New("the agreement has stopped")
	// ErrBusy means that a queue is full. The call may be repeated.
	ErrBusy = errors.New("too much waits to be agreed on")
	// ErrWrongIncarnation means that a message is for another incarnation of this member.
	ErrWrongIncarnation = errors.New("it is for another life than ours")
)

// Options configures a Core or a Node.
type Options struct {
	Storage    *Storage
	BootMarker *BootMarker // nil: none
	// MaxPromised bounds what this incarnation may have promised to others and lost since. Nil: its storage is known to be complete.
	MaxPromised  *Position
	StateMachine StateMachine
	// Send sends a message to the member with a raft ID. It must not block.
	Send func(to uint64, raw []byte, snapshot bool)
	Log  logrus.FieldLogger
}

// Status describes a member's part at one moment.
type Status struct {
	LeaderID uint64 // raft ID; 0: no leader is known
	IsLeader bool
	Applied  uint64 // index of the last entry that was applied
	Position
	Voters   []uint64 // raft IDs
	Learners []uint64
	Failure  string // why consensus stopped; empty: it runs
}
