package dispatch

import "fmt"

// ruleChecker checks the four rules from outside, by the events handed over and the actions that came back.
type ruleChecker struct {
	settings     Settings
	requests     map[RequestID]*observedRequest
	workers      map[WorkerID]Worker
	version      uint64
	warmingSends map[WorkerID][]Time // sends while cold
	disabled     map[WorkerID]bool   // by hand
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
		return fmt.Errorf("a note to %d", action.Peer)
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
				return fmt.Errorf("rule two: refused though it may have run")
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
			return fmt.Errorf("a second copy where none is allowed")
		case class.Idempotency == NonIdempotent:
			return fmt.Errorf("rule two: an unsafe job sent again")
		case class.Idempotency == Deduplicated && now > previous.sentAt+class.DedupWindow:
			return fmt.Errorf("rule two: sent again after the window")
		case class.Idempotency == Deduplicated && class.DedupScope == DedupZone && previousWorker.Zone != w.Zone,
			class.Idempotency == Deduplicated && class.DedupScope == DedupCell && previousWorker.Cell != w.Cell:
			return fmt.Errorf("rule two: sent again outside the group")
		}
	}
	if inFlight > 1 {
		return fmt.Errorf("three attempts out at once")
	}
	if len(observed.attempts) >= min(observed.maxAttempts, c.settings.MaxAttempts) {
		return fmt.Errorf("too many attempts")
	}
	if c.disabled[action.Worker] {
		return fmt.Errorf("rule three: sent to worker %d, which is out by hand", action.Worker)
	}
	if w, ok := c.workers[action.Worker]; !ok || w.State != Ready {
		return fmt.Errorf("rule three: sent to a worker in state %v, known %v", w.State, ok)
	}
	observed.attempts = append(observed.attempts, observedAttempt{worker: action.Worker, sentAt: now, inFlight: true})
	return c.checkSlowStart(now, w)
}

// checkSlowStart counts sends. Every job of the test takes a work of 100 ms or more at paces of 1 or more, and no worker
// ever shows more than slotsMost at once, so a count above the bound breaks the budget for sure.
func (c *ruleChecker) checkSlowStart(now Time, w Worker) error {
	start := w.StartedAt
	if start <= c.disabledAt[w.ID] {
		start = c.enabledAt[w.ID]
	}
	if age := now - start; start > 0 && age < c.settings.SlowStartWindow {
		sends := append(c.warmingSends[w.ID], now)
		for sends[0]+c.settings.OverloadWindow < now {
			sends = sends[1:]
		}
		c.warmingSends[w.ID] = sends
		factor := c.settings.SlowStartMinFactor + (1-c.settings.SlowStartMinFactor)*float64(max(age, 0))/float64(c.settings.SlowStartWindow)
		limit := c.settings.OverloadMultiple * factor * maxSlots * float64(c.settings.OverloadWindow) / float64(100*ms)
		if float64(len(sends)) > limit+1 {
			return fmt.Errorf("rule four: %d sends in a window to worker %d at warmth %v", len(sends), w.ID, factor)
		}
	}
	return nil
}

const maxSlots = 4
