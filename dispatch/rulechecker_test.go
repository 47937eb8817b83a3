package dispatch

import "fmt"

// ruleChecker checks the four rules from outside, by the events handed over and the actions that came back.
type ruleChecker struct {
	settings     Settings
	requests     map[RequestID]*observedRequest
	workers      map[WorkerID]Worker
	version      uint64
	warmingSends map[WorkerID][]Time // sends while it is warming up
	disabled     map[WorkerID]bool   // by an operator
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

func (c *ruleChecker) check(now Time, action Action) error {
	observed := c.requests[action.Request]
	switch {
	case action.Kind == SendToPeer && (!c.settings.PeerMessages || action.Peer < 0 || action.Peer >= c.settings.GroupSize || action.Peer == c.settings.Ordinal):
		return fmt.Errorf("a message to %d", action.Peer)
	case action.Kind == Cancel && (!c.settings.CanCancel || observed == nil || action.Attempt >= len(observed.attempts)):
		return fmt.Errorf("%v, of an attempt never made or not allowed", action)
	case action.Kind != Send && action.Kind != Reject && action.Kind != Fail:
		return nil
	}
	if observed == nil || !observed.open {
		return fmt.Errorf("rule one: %v for a request that is not open", action)
	}
	if now > observed.deadline {
		return fmt.Errorf("rule one: %v at %v, %v after the deadline", action, now, now-observed.deadline)
	}
	class := observed.class
	if action.Kind != Send {
		c.responses++
		observed.open = false
		for _, previous := range observed.attempts {
			if action.Kind == Reject && !previous.neverRan && class.Idempotency != Idempotent && (class.Idempotency == NonIdempotent || class.DedupScope != DedupEverywhere) {
				return fmt.Errorf("rule two: rejected though it may have run")
			}
		}
		return nil
	}
	c.sends++
	w, inFlight := c.workers[action.Worker], 0
	for _, previous := range observed.attempts {
		if previous.inFlight {
			inFlight++
		}
		previousWorker := c.workers[previous.worker]
		switch {
		case previous.neverRan:
			continue
		case previous.inFlight && !c.settings.CanHedge:
			return fmt.Errorf("a hedged request where none is allowed")
		case class.Idempotency == NonIdempotent:
			return fmt.Errorf("rule two: a non-idempotent request sent again")
		case class.Idempotency == Deduplicated && now > previous.sentAt+class.DedupWindow:
			return fmt.Errorf("rule two: sent again after the window")
		case class.Idempotency == Deduplicated && class.DedupScope == DedupZone && previousWorker.Zone != w.Zone,
			class.Idempotency == Deduplicated && class.DedupScope == DedupCell && previousWorker.Cell != w.Cell:
			return fmt.Errorf("rule two: sent again outside the scope")
		}
	}
	if inFlight > 1 {
		return fmt.Errorf("three attempts in flight at once")
	}
	if len(observed.attempts) >= min(observed.maxAttempts, c.settings.MaxAttempts) {
		return fmt.Errorf("too many attempts")
	}
	if c.disabled[action.Worker] {
		return fmt.Errorf("rule three: sent to worker %d, which is disabled", action.Worker)
	}
	if w, ok := c.workers[action.Worker]; !ok || w.State != Ready {
		return fmt.Errorf("rule three: sent to a worker in state %v, known %v", w.State, ok)
	}
	observed.attempts = append(observed.attempts, observedAttempt{worker: action.Worker, sentAt: now, inFlight: true})
	return c.checkSlowStart(now, w)
}

// checkSlowStart counts sends. Every request of the test takes a work of 100 ms or more at slowdowns of 1 or more, and no worker
// ever shows more than maxSlots at once, so a count above the limit breaks the rule for sure.
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
		return fmt.Errorf("rule four: %d sends in a window to worker %d at slow-start factor %v", len(sends), w.ID, factor)
	}
	return nil
}

const maxSlots = 4
