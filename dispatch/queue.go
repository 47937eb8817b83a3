package dispatch

// compactFrom is the number of dropped entries at the head of a queue above which the queue may be compacted.
const compactFrom = 64

// queueEntry is a request's entry in a queue. It is live while the request is queued with the same ticket.
type queueEntry struct {
	request *request
	ticket  uint64
}

func (e *queueEntry) isLive() bool { return e.ticket == e.request.queueTicket }

// queue is a first-in-first-out queue whose dead entries are dropped when they reach the head.
type queue struct {
	items []queueEntry
	head  int
}

// push appends a request.
func (q *queue) push(r *request) {
	q.trim()
	q.items = append(q.items, queueEntry{r, r.queueTicket})
}

// oldest returns the oldest requests that were queued at or before a time, at most maxScan.
func (q *queue) oldest(before Time) (requests []*request) {
	q.trim()
	for _, e := range q.items[q.head:] {
		if !e.isLive() {
			continue
		}
		if len(requests) == maxScan || e.request.queuedAt > before {
			break
		}
		requests = append(requests, e.request)
	}
	return requests
}

// headAge returns the age of the oldest queued request; 0: the queue is empty.
func (q *queue) headAge(now Time) Time {
	q.trim()
	if q.head == len(q.items) {
		return 0
	}
	return now - q.items[q.head].request.queuedAt
}

// live returns all requests that are queued.
func (q *queue) live() (requests []*request) {
	for _, e := range q.items[q.head:] {
		if e.isLive() {
			requests = append(requests, e.request)
		}
	}
	return requests
}

// trim drops dead entries at the head, and compacts the queue once the dropped entries occupy more than half
// of its space.
func (q *queue) trim() {
	for q.head < len(q.items) && !q.items[q.head].isLive() {
		q.items[q.head] = queueEntry{}
		q.head++
	}
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	} else if q.head > compactFrom && 2*q.head > len(q.items) {
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
}

// joinQueue gives a request a new ticket and appends it to the queue of its band.
func (d *Dispatcher) joinQueue(r *request) {
	d.serial++
	r.queueTicket, r.queuedAt = d.serial, d.now
	r.candidates, r.samplingRound, r.keySamples = r.candidates[:0], 0, 0
	r.hasInitialCandidates, r.sampled = !r.sampled, true
	d.queuedSlots[r.band] += r.slots
	d.queues[r.band].push(r)
}

// dequeue removes a request from all queues: entries with another ticket than the request's are dead.
func (d *Dispatcher) dequeue(r *request) {
	if r.queueTicket != 0 {
		r.queueTicket = 0
		d.queuedSlots[r.band] -= r.slots
	}
}

// takeOrphaned empties the queues of workers that are not ready and returns the requests that were queued
// there.
func (d *Dispatcher) takeOrphaned() (orphaned []*request) {
	for _, w := range d.workers {
		if w == nil || w.isReady() {
			continue
		}
		for band := range w.queues {
			orphaned = append(orphaned, w.queues[band].live()...)
			w.queues[band] = queue{}
		}
	}
	return orphaned
}
