package dispatch

import "slices"

// usageTTL is how long a peer's usage counts that is not reported again: the message that it ended may have
// got lost.
const usageTTL = 10 * Second

// aggregatedUsage is what dispatchers use of a worker whose aggregator this one is.
type aggregatedUsage struct {
	totalSlots      float64
	overloadedUntil Time
	byPeer          []peerUsage
}

type peerUsage struct {
	peer       int
	slots      float64
	reportedAt Time
}

// recordPeerUsage replaces what a dispatcher uses of a worker.
func (d *Dispatcher) recordPeerUsage(peer int, message PeerMessage) {
	usage := d.usageByTag[message.Tag]
	usage.byPeer = slices.DeleteFunc(usage.byPeer, func(p peerUsage) bool {
		return p.peer == peer || d.now >= p.reportedAt+usageTTL
	})
	if message.Slots > 0 {
		usage.byPeer = append(usage.byPeer, peerUsage{peer, message.Slots, d.now})
	}
	usage.totalSlots = 0
	for _, p := range usage.byPeer {
		usage.totalSlots += p.slots
	}
	d.usageByTag[message.Tag] = usage
}

// isValidMessage says whether a peer's message is one that this dispatcher can take. Others are ignored.
func (d *Dispatcher) isValidMessage(event *Event) bool {
	isPeer := event.Peer >= 0 && event.Peer < d.settings.GroupSize && event.Peer != d.settings.Ordinal
	return d.settings.PeerMessages && isPeer && event.Message.Slots >= 0
}

// handlePeerMessage takes a message: as the worker's aggregator, or with a load that was asked for.
func (d *Dispatcher) handlePeerMessage(peer int, message PeerMessage) {
	switch message.Kind {
	case UsageUpdate:
		d.recordPeerUsage(peer, message)
	case OverloadNotice:
		usage := d.usageByTag[message.Tag]
		usage.overloadedUntil = d.now + overloadTTL
		d.usageByTag[message.Tag] = usage
	case LoadQuery:
		d.replyLoad(peer, message.Tag)
	case LoadReply:
		d.recordGroupLoad(peer, message)
	}
}

// recordGroupLoad takes a worker's load and sends what has waited for it.
func (d *Dispatcher) recordGroupLoad(peer int, message PeerMessage) {
	w := d.workersByTag[message.Tag]
	if w == nil {
		return
	}
	w.groupLoad, w.groupLoadAt = message.Slots, d.now
	if peer != d.settings.Ordinal {
		d.placeQueued(w)
	}
}

// sendToAggregator sends a worker's aggregator a message with what this dispatcher uses of the worker.
func (d *Dispatcher) sendToAggregator(w *worker, kind PeerMessageKind) {
	if d.settings.PeerMessages {
		aggregator := int(w.Tag % uint64(d.settings.GroupSize))
		d.sendToPeer(aggregator, PeerMessage{Kind: kind, Tag: w.Tag, Slots: w.slotsInUse})
	}
}

// sendToPeer sends a message to a dispatcher of the group, which may be this one.
func (d *Dispatcher) sendToPeer(peer int, message PeerMessage) {
	if peer == d.settings.Ordinal {
		d.handlePeerMessage(peer, message)
		return
	}
	d.emit(Action{Kind: SendToPeer, Peer: peer, Message: message})
}
