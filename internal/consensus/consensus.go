// Package consensus is the loop round raft: it ticks it, keeps what it wants kept, carries its messages and hands settled
// entries to a state machine in their one order. The algorithm is go.etcd.io/raft's. The loop's goroutine owns raft and the
// disk.
package consensus

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"
)

// Times and bounds.
const (
	tickInterval          = 50 * time.Millisecond
	heartbeatTicks        = 3                 // ticks: 150 ms
	electionTicks         = 20                // ticks: a follower campaigns 1 to 2 s after the last word of its leader
	learnerHeartbeatTicks = electionTicks / 2 // ticks between heartbeats to one that does not vote: it answers one in each span after which it counts as silent
	readRetryTicks        = 10                // ticks until a read that has no answer is asked for again
	maxPending            = 1024
	maxMessageBytes       = 256 << 10 // of a message's entries
	maxUncommittedBytes   = 4 << 20   // bytes of proposals that are not settled
	snapshotThreshold     = 1000      // entries until the log is cut
	trailingEntries       = 200       // entries behind it, for those that are a little late
)

// StateMachine is what is agreed on. It is called by the loop alone.
type StateMachine interface {
	Apply(index uint64, data []byte)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Errors of proposals and reads.
var (
	ErrNoLeader = errors.New("no leader is known")
	ErrStopped  = errors.New("the agreement has stopped")
	ErrBusy     = errors.New("too much waits to be agreed on")
)

// Options is all that an Agree is made of.
type Options struct {
	Storage      *Storage
	BootMarker   *BootMarker // nil: none. The loop's, as the disk is
	MaxPromised  *Position   // what this life may have said and forgotten; nil: its disk has all
	StateMachine StateMachine
	Send         func(to uint64, raw []byte, snapshot bool) // must not wait
	Log          logrus.FieldLogger
}

// Status is how things stand with this member.
type Status struct {
	LeaderID uint64 // raft id; 0: none is known
	IsLeader bool
	Applied  uint64
	Position
	Voters   []uint64
	Learners []uint64 // learners
	Failure  string   // why it stopped; empty: it runs
}
