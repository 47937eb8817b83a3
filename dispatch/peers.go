package dispatch

// Where dispatchers may send each other messages, each worker has an aggregator among them, chosen by its
// tag, that adds up what all use of it. A lost message costs nothing but that a request is placed without
// knowing the load.
const (
	// loadQueryTimeout is how long a candidate's load is waited for: a message takes up to 54 ms there and
	// back.
	loadQueryTimeout = 60 * Millisecond

	// loadReplyTTL is how long a reply counts: an older one says more than none.
	loadReplyTTL = 600 * Millisecond

	// maxLoadQueries is how many workers are sampled at once where each is asked for: messages have a price.
	maxLoadQueries = 4

	// aggregatorWarmup is how long after its start an aggregator does not reply: it does not know of all
	// use.
	aggregatorWarmup = 1 * Second

	// overloadTTL is how long a worker that is reported as overloaded counts as that: queues last.
	// overloadPenalty is what is added to its use, in slots.
	overloadTTL     = 2 * Second
	overloadPenalty = 16.0
)

// replyLoad tells a peer what all dispatchers use of a worker.
func (d *Dispatcher) replyLoad(peer int, tag uint64) {
	if d.now < d.startedAt+aggregatorWarmup {
		return
	}
	usage := d.usageByTag[tag]
	slots := usage.totalSlots
	if d.now < usage.overloadedUntil {
		slots += overloadPenalty
	}
	d.sendToPeer(peer, PeerMessage{Kind: LoadReply, Tag: tag, Slots: slots})
}

// knowsGroupLoad says whether a worker's load has been reported recently.
func (d *Dispatcher) knowsGroupLoad(w *worker) bool {
	return d.settings.PeerMessages && w.groupLoadAt > 0 && d.now < w.groupLoadAt+loadReplyTTL
}

// awaitsLoad says whether a worker's load has been asked for and is still waited for.
func (d *Dispatcher) awaitsLoad(w *worker) bool {
	return w.loadQueriedAt > w.groupLoadAt && d.now < w.loadQueriedAt+loadQueryTimeout
}

// queryLoad asks for a worker's load, unless it has been asked for just now.
func (d *Dispatcher) queryLoad(w *worker) {
	if d.settings.PeerMessages && d.now >= w.loadQueriedAt+loadQueryTimeout {
		w.loadQueriedAt = d.now
		d.sendToAggregator(w, LoadQuery)
	}
}
