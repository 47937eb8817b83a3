package consensus

import (
	"encoding/binary"

	"go.etcd.io/raft/v3"
)

type pendingRead struct {
	minRound uint64 // confirmed by a read of this number or a later one
	done     func(index uint64, err error)
}

// ReadIndex has done called with an index such that all that was settled before the call is at or below it: a quorum has confirmed
// by then, since the call, that this member leads, or its leader does. It may never be called.
func (c *Core) ReadIndex(done func(index uint64, err error)) {
	if len(c.pendingReads) >= maxPending {
		done(0, ErrBusy)
		return
	}
	c.pendingReads = append(c.pendingReads, pendingRead{minRound: c.lastReadRound + 1, done: done}) // the one that is out was asked for before us
	c.process()
}

// startReadRound has the reads that wait confirmed, one round for all.
func (c *Core) startReadRound() {
	if c.activeReadRound != 0 && c.ticksSinceRead < readRetryTicks || len(c.pendingReads) == 0 {
		return
	}
	c.lastReadRound++
	c.activeReadRound, c.ticksSinceRead = c.lastReadRound, 0
	c.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, c.lastReadRound))
}

// completeReads ends the reads that one round of raft's confirms.
func (c *Core) completeReads(readState raft.ReadState) {
	round := binary.BigEndian.Uint64(readState.RequestCtx)
	if round == c.activeReadRound {
		c.activeReadRound = 0
	}
	var remaining []pendingRead
	pending := c.pendingReads
	c.pendingReads = nil
	for _, read := range pending {
		if read.minRound <= round {
			read.done(readState.Index, nil)
		} else {
			remaining = append(remaining, read)
		}
	}
	c.pendingReads = append(remaining, c.pendingReads...)
}
