package dispatch

// timer is the time at which a request has to be reevaluated. It is valid if its serial is the request's
// timerSerial.
type timer struct {
	due     Time
	serial  uint64
	request *request
}

func (t *timer) before(other *timer) bool {
	return t.due < other.due || t.due == other.due && t.serial < other.serial
}

// schedule sets a request's timer to the earliest time at which something is due.
func (d *Dispatcher) schedule(r *request) {
	due := r.deadline
	if r.queueTicket != 0 {
		due = min(due, r.nextSamplingAt)
		if r.isWaitingUnsent() {
			due = min(due, d.queueDeadline(r))
		}
	}
	if d.expiresAtObjective(r) {
		due = min(due, r.objectiveAt)
	}
	for i := range r.attempts {
		due = min(due, d.nextCheckAt(r, &r.attempts[i]))
	}
	d.setTimer(r, due)
}

// setTimer replaces a request's timer.
func (d *Dispatcher) setTimer(r *request, due Time) {
	d.serial++
	r.timerSerial = d.serial
	d.timers.push(timer{due: max(due, d.now+1), request: r, serial: r.timerSerial})
}

// runTimers handles all due timers and polls, and requests a timer from the caller for the next due time.
func (d *Dispatcher) runTimers() {
	for len(d.timers) > 0 && d.timers[0].due <= d.now {
		t := d.timers.pop()
		if t.request.timerSerial == t.serial {
			d.reevaluate(t.request)
		}
	}
	if d.now >= d.nextPollAt {
		d.watchEndpoints()
	}
	next := d.nextPollAt
	if len(d.timers) > 0 {
		next = min(next, d.timers[0].due)
	}
	if next < d.timerAt {
		d.timerAt = max(next, d.now+d.settings.Tick)
		d.emit(Action{Kind: SetTimer, Wait: d.timerAt - d.now})
	}
}

// timerHeap is a binary min-heap by due time. container/heap would allocate memory for each timer.
type timerHeap []timer

func (h *timerHeap) push(t timer) {
	timers := append(*h, t)
	*h = timers
	i := len(timers) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !timers[i].before(&timers[parent]) {
			break
		}
		timers[i], timers[parent] = timers[parent], timers[i]
		i = parent
	}
}

func (h *timerHeap) pop() timer {
	timers := *h
	first := timers[0]
	last := len(timers) - 1
	timers[0] = timers[last]
	timers[last] = timer{}
	timers = timers[:last]
	*h = timers
	i := 0
	for {
		child := 2*i + 1
		if child >= len(timers) {
			break
		}
		if child+1 < len(timers) && timers[child+1].before(&timers[child]) {
			child++
		}
		if !timers[child].before(&timers[i]) {
			break
		}
		timers[i], timers[child] = timers[child], timers[i]
		i = child
	}
	return first
}
