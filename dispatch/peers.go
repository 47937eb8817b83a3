package dispatch

// Where dispatchers may exchange messages, one of them is the aggregator of each worker, chosen by the
// worker's tag, and adds up the usage of the worker by all. The only effect of a lost message is that a
// request is placed without knowing the load.
const (
	// loadQueryTimeout is how long the reply to a load query is awaited: a round trip takes up to 54 ms.
	loadQueryTimeout = 60 * Millisecond

	// loadReplyTTL is how long a reply is used. It is long, as an old reply is better than none.
	loadReplyTTL = 600 * Millisecond

	// maxLoadQueries is how many workers are sampled at once where each is queried: messages have a price.
	maxLoadQueries = 4

	// aggregatorWarmup is how long after its start an aggregator does not reply: it does not know all usage
	// yet.
	aggregatorWarmup = 1 * Second

	// overloadTTL is how long a worker counts as overloaded after a report of it: queues last.
	// overloadPenalty is added to its usage, in slots.
	overloadTTL     = 2 * Second
	overloadPenalty = 16.0
)

// replyLoad sends a peer the usage of a worker by all dispatchers.
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

// knowsGroupLoad reports whether a worker's load has been reported recently.
func (d *Dispatcher) knowsGroupLoad(w *worker) bool {
	return d.settings.PeerMessages && w.groupLoadAt > 0 && d.now < w.groupLoadAt+loadReplyTTL
}

// awaitsLoadReply reports whether a worker's load has been queried and the reply is still awaited.
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
