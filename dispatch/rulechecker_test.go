package dispatch

import "fmt"

// ruleChecker checks the four rules from outside the module, using only the events and the returned actions.
type ruleChecker struct {
	settings     Settings
	requests     map[RequestID]*observedRequest
	workers      map[WorkerID]Worker
	version      uint64
	warmingSends map[WorkerID][]Time // times of the sends to each worker while warming up
	disabled     map[WorkerID]bool   // workers that an operator has disabled
	disabledAt   map[WorkerID]Time
	enabledAt    map[WorkerID]Time
	responses    int
	sends        int
}

type observedRequest struct {
	class       Class
	maxAttempts int
	deadline    Time
	open        bool
	attempts    []observedAttempt
}

type observedAttempt struct {
	worker   WorkerID
	sentAt   Time
	inFlight bool
	neverRan bool
}

func (c *ruleChecker) observeEndpoints(event *Event) {
	if event.Version < c.version {
		return
	}
	c.version = event.Version
	if event.Kind == EndpointSnapshot {
		for id, w := range c.workers {
			w.State = Gone
			c.workers[id] = w
		}
	}
	for _, w := range event.Workers {
		if old, ok := c.workers[w.ID]; ok && w.StartedAt > old.StartedAt {
			c.warmingSends[w.ID] = nil
		}
		c.workers[w.ID] = w
	}
}

// check checks one action against the rules and the settings.
func (c *ruleChecker) check(now Time, action Action) error {
	observed := c.requests[action.Request]
	switch action.Kind {
	case SendToPeer:
		isPeer := action.Peer >= 0 && action.Peer < c.settings.GroupSize && action.Peer != c.settings.Ordinal
		if !c.settings.PeerMessages || !isPeer {
			return fmt.Errorf("message to invalid peer %d", action.Peer)
		}
	case Cancel:
		if !c.settings.CanCancel || observed == nil || action.Attempt >= len(observed.attempts) {
			return fmt.Errorf("%v: unknown attempt, or cancellation not allowed", action)
		}
	case Send, Reject, Fail:
		if observed == nil || !observed.open {
			return fmt.Errorf("rule one: %v for a request that is not open", action)
		}
		if now > observed.deadline {
			return fmt.Errorf("rule one: %v at %v, %v after the deadline", action, now, now-observed.deadline)
		}
		if action.Kind == Send {
			return c.checkSend(now, observed, action.Worker)
		}
		return c.checkResponse(observed, action)
	}
	return nil
}

func (c *ruleChecker) checkResponse(observed *observedRequest, action Action) error {
	c.responses++
	observed.open = false
	class := observed.class
	for _, previous := range observed.attempts {
		mayRepeat := class.Idempotency == Idempotent || class.Idempotency == Deduplicated && class.DedupScope == DedupEverywhere
		if action.Kind == Reject && !previous.neverRan && !mayRepeat {
			return fmt.Errorf("rule two: rejected a request that may have run")
		}
	}
	return nil
}

func (c *ruleChecker) checkSend(now Time, observed *observedRequest, to WorkerID) error {
	c.sends++
	w, inFlight := c.workers[to], 0
	for _, previous := range observed.attempts {
		if previous.inFlight {
			inFlight++
		}
		if err := c.checkRepeat(now, observed.class, previous, w); err != nil {
			return err
		}
	}
	if inFlight > 1 {
		return fmt.Errorf("more than two attempts in flight")
	}
	if len(observed.attempts) >= min(observed.maxAttempts, c.settings.MaxAttempts) {
		return fmt.Errorf("too many attempts")
	}
	if c.disabled[to] {
		return fmt.Errorf("rule three: sent to disabled worker %d", to)
	}
	if w, ok := c.workers[to]; !ok || w.State != Ready {
		return fmt.Errorf("rule three: sent to a worker that is not ready: state %v, known %v", w.State, ok)
	}
	observed.attempts = append(observed.attempts, observedAttempt{worker: to, sentAt: now, inFlight: true})
	return c.checkSlowStart(now, w)
}

// checkRepeat checks a send to w of a request that already has the attempt previous.
func (c *ruleChecker) checkRepeat(now Time, class Class, previous observedAttempt, w Worker) error {
	if previous.neverRan {
		return nil
	}
	if previous.inFlight && !c.settings.CanHedge {
		return fmt.Errorf("hedged a request, but hedging is not allowed")
	}
	switch class.Idempotency {
	case NonIdempotent:
		return fmt.Errorf("rule two: non-idempotent request sent again")
	case Deduplicated:
		previousWorker := c.workers[previous.worker]
		if now > previous.sentAt+class.DedupWindow {
			return fmt.Errorf("rule two: sent again after the dedup window")
		}
		if class.DedupScope == DedupZone && previousWorker.Zone != w.Zone || class.DedupScope == DedupCell && previousWorker.Cell != w.Cell {
			return fmt.Errorf("rule two: sent again outside the dedup scope")
		}
	}
	return nil
}

// checkSlowStart counts the sends in the window. Every request of the test takes at least 100 ms of work at slowdowns of 1 or more,
// and no worker runs more than maxSlots requests at a time. A count above the limit therefore violates the rule.
func (c *ruleChecker) checkSlowStart(now Time, w Worker) error {
	start := w.StartedAt
	if start <= c.disabledAt[w.ID] {
		start = c.enabledAt[w.ID]
	}
	s, age := &c.settings, now-start
	if start <= 0 || age >= s.SlowStartWindow {
		return nil
	}
	c.warmingSends[w.ID] = append(c.warmingSends[w.ID], now)
	sends := c.warmingSends[w.ID]
	for sends[0]+s.OverloadWindow < now {
		sends = sends[1:]
	}
	c.warmingSends[w.ID] = sends
	factor := s.SlowStartMinFactor + (1-s.SlowStartMinFactor)*float64(max(age, 0))/float64(s.SlowStartWindow)
	limit := s.OverloadMultiple * factor * maxSlots * float64(s.OverloadWindow) / float64(100*ms)
	if float64(len(sends)) > limit+1 {
		return fmt.Errorf("rule four: %d sends within the window to worker %d at slow-start factor %v", len(sends), w.ID, factor)
	}
	return nil
}

// maxSlots is the maximum number of requests that a worker of the random tests runs at once.
const maxSlots = 4
