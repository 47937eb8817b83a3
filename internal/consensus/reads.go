package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
)

// pendingRead is a read that waits for confirmation by a quorum.
type pendingRead struct {
	minRound uint64 // the first read round that can confirm this read
	done     func(index uint64, err error)
}

// ReadIndex calls done with an index at or above that of every entry committed before the call of ReadIndex. Before that, a quorum
// confirms that this member, or the leader known to it, still leads. If too many reads are pending, it calls done with ErrBusy. done may
// never be called.
func (c *Core) ReadIndex(done func(index uint64, err error)) {
	if len(c.pendingReads) >= maxQueueLength {
		done(0, ErrBusy)
		return
	}
	// A round in progress began before this call and cannot confirm it.
	c.pendingReads = append(c.pendingReads, pendingRead{minRound: c.lastReadRound + 1, done: done})
	c.process()
}

// startReadRound asks raft to confirm all pending reads in one round.
func (c *Core) startReadRound() {
	isWaiting := c.activeReadRound != 0 && c.ticksSinceRead < readRetryTicks
	if isWaiting || len(c.pendingReads) == 0 {
		return
	}
	c.lastReadRound++
	c.activeReadRound = c.lastReadRound
	c.ticksSinceRead = 0
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.lastReadRound))
}

// completeReads calls done for the reads that a round has confirmed.
func (c *Core) completeReads(readState raft.ReadState) {
	round := binary.BigEndian.Uint64(readState.RequestCtx)
	if round == c.activeReadRound {
		c.activeReadRound = 0
	}
	pending := c.pendingReads
	c.pendingReads = nil // done may add reads
	var remaining []pendingRead
	for _, read := range pending {
		if read.minRound <= round {
			read.done(readState.Index, nil)
		} else {
			remaining = append(remaining, read)
		}
	}
	c.pendingReads = append(remaining, c.pendingReads...)
}
