package dispatch

import "slices"

// usageTTL is the time after which a peer's usage expires unless it is reported again: the message about its
// end may have been lost.
const usageTTL = 10 * Second

// aggregatedUsage is the usage of a worker by all dispatchers, recorded by the worker's aggregator.
type aggregatedUsage struct {
	totalSlots     float64
	overloadExpiry Time
	byPeer         []peerUsage
}

type peerUsage struct {
	peer       int
	slots      float64
	reportedAt Time
}

// recordPeerUsage replaces the recorded usage of a worker by one dispatcher.
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

// isValidMessage reports whether a peer's message is valid. Invalid messages are ignored.
func (d *Dispatcher) isValidMessage(event *Event) bool {
	isPeer := event.Peer >= 0 && event.Peer < d.settings.GroupSize && event.Peer != d.settings.Ordinal
	return d.settings.PeerMessages && isPeer && event.Message.Slots >= 0
}

// handlePeerMessage handles a message as the worker's aggregator, or a reply to a load query of this
// dispatcher.
func (d *Dispatcher) handlePeerMessage(peer int, message PeerMessage) {
	switch message.Kind {
	case UsageUpdate:
		d.recordPeerUsage(peer, message)
	case OverloadNotice:
		usage := d.usageByTag[message.Tag]
		usage.overloadExpiry = d.now + overloadTTL
		d.usageByTag[message.Tag] = usage
	case LoadQuery:
		d.replyLoad(peer, message.Tag)
	case LoadReply:
		d.recordGroupLoad(peer, message)
	}
}

// recordGroupLoad records a worker's load and places the requests that have waited for the reply.
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

// sendToAggregator sends a message with this dispatcher's usage of a worker to the worker's aggregator.
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
