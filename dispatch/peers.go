package dispatch

// If dispatchers may exchange messages, each worker has one dispatcher as its aggregator, selected by the
// worker's tag. The aggregator adds up the usage of the worker by all dispatchers. The only effect of a lost
// message is that a request is placed with an unknown load.
const (
	// loadQueryTimeout limits the wait for a reply to a load query. The round trip takes up to 54 ms.
	loadQueryTimeout = 60 * Millisecond

	// loadReplyTTL is the time for which a reply is used. It is long: an old reply is better than none.
	loadReplyTTL = 600 * Millisecond

	// maxLoadQueries is the maximum number of workers sampled and queried at once: messages have a price.
	maxLoadQueries = 4

	// aggregatorWarmup is the time after its start during which an aggregator does not reply: it has not
	// received all usage updates yet.
	aggregatorWarmup = 1 * Second

	// overloadTTL is the time after an OverloadNotice during which a worker counts as overloaded, since
	// queues do not empty at once. overloadPenalty, in slots, is added to its usage.
	overloadTTL     = 2 * Second
	overloadPenalty = 16.0
)

// replyLoad replies to a peer with the usage of a worker by all dispatchers.
func (d *Dispatcher) replyLoad(peer int, tag uint64) {
	if d.now < d.startedAt+aggregatorWarmup {
		return
	}
	usage := d.usageByTag[tag]
	slots := usage.totalSlots
	if d.now < usage.overloadExpiry {
		slots += overloadPenalty
	}
	d.sendToPeer(peer, PeerMessage{Kind: LoadReply, Tag: tag, Slots: slots})
}

// knowsGroupLoad reports whether a worker's load has been received within loadReplyTTL.
func (d *Dispatcher) knowsGroupLoad(w *worker) bool {
	return d.settings.PeerMessages && w.groupLoadAt > 0 && d.now < w.groupLoadAt+loadReplyTTL
}

// awaitsLoadReply reports whether the reply to a load query about a worker is still awaited.
func (d *Dispatcher) awaitsLoadReply(w *worker) bool {
	return w.loadQueriedAt > w.groupLoadAt && d.now < w.loadQueriedAt+loadQueryTimeout
}

// queryLoad queries a worker's load, unless it has been queried within loadQueryTimeout.
func (d *Dispatcher) queryLoad(w *worker) {
	if d.settings.PeerMessages && d.now >= w.loadQueriedAt+loadQueryTimeout {
		w.loadQueriedAt = d.now
		d.sendToAggregator(w, LoadQuery)
	}
}
