package simulation

import (
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/consensus"
)

// Properties of links. Times are in ticks.
const (
	lossInterval  = 50 // one in this many messages is lost
	delayInterval = 40 // one in this many messages is delayed
	maxDelay      = 40 // upper bound of the delay, exclusive
)

// envelope is a message in flight: either a raft message or a call.
type envelope struct {
	arrival  int // tick
	from, to int // indexes of members
	raft     *raftpb.Message
	call     func() // delivers a report or the reply to it
}

// send sends or loses a message. The message arrives after one or two ticks, or later if it is delayed.
func (w *world) send(e envelope) {
	if e.raft != nil {
		cost := &w.result.Costs[e.from]
		cost.Messages++
		cost.Bytes += proto.Size(e.raft)
	}
	if w.partitions[[2]int{e.from, e.to}] > w.tick || w.random.IntN(lossInterval) == 0 {
		return
	}
	e.arrival = w.tick + 1 + w.random.IntN(2)
	if w.random.IntN(delayInterval) == 0 {
		e.arrival += w.random.IntN(maxDelay)
	}
	w.inFlight = append(w.inFlight, e)
}

// deliverMessages delivers the messages that have arrived at members that are not paused.
func (w *world) deliverMessages() {
	var arrived, remaining []envelope
	for _, e := range w.inFlight {
		if e.arrival <= w.tick && w.tick >= w.members[e.to].pausedUntil {
			arrived = append(arrived, e)
		} else {
			remaining = append(remaining, e)
		}
	}
	w.inFlight = remaining // deliveries append to it
	for _, e := range arrived {
		w.members[e.to].receive(e)
	}
}

// receive handles a message. Raft messages to a past incarnation are dropped.
func (m *member) receive(e envelope) {
	if m.core == nil {
		return
	}
	if e.call != nil {
		e.call()
		return
	}
	if e.raft.GetTo() != m.raftID {
		return
	}
	switch e.raft.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		m.lastLeaderContact = m.world.tick
	}
	m.withCore(func(core *consensus.Core) { core.Step(e.raft) })
}

// partition drops messages between a member and all members in the given direction until a tick.
func (w *world) partition(m *member, direction Direction, until int) {
	for i := range w.members {
		if direction != Incoming {
			w.partitions[[2]int{m.index, i}] = until
		}
		if direction != Outgoing {
			w.partitions[[2]int{i, m.index}] = until
		}
	}
}
