package invariant

import (
	"fmt"
	"slices"
	"time"
)

// route is a dispatcher and a worker to which it may send.
type route struct{ dispatcher, worker int }

// notice is a worker state of which a dispatcher was notified.
type notice struct {
	at    time.Duration
	state State
}

// checkDrains checks the rule Drains for all attempts.
func (c *checker) checkDrains() {
	notices, starts := c.notices(), c.processStarts()
	grace := c.terms.DrainGrace + c.terms.Slack
	for _, a := range c.ledger.attempts {
		processStart := time.Duration(0)
		for _, start := range starts[a.Dispatcher] {
			if start <= a.First {
				processStart = start
			}
		}
		last := lastNotice(notices[route{a.Dispatcher, a.Worker}], processStart, a.First)
		if last != nil && last.state != Up && a.First > last.at+grace {
			c.addViolation(Drains, SentAfterDrain, a.First, a.Dispatcher, a.ID,
				fmt.Sprintf("%s notified that worker %s is %s", formatTime(last.at), c.workerName(a.Worker), last.state), c.attemptLine(a),
				fmt.Sprintf("%.0f ms after it was notified; %.0f ms are allowed", (a.First-last.at).Seconds()*1000, c.terms.DrainGrace.Seconds()*1000))
		}
	}
}

// notices returns the notices of each dispatcher, in the order in which its agent got the updates.
func (c *checker) notices() map[route][]notice {
	notices := map[route][]notice{}
	deliveries := slices.Clone(c.ledger.deliveries)
	slices.SortStableFunc(deliveries, func(a, b *Delivery) int { return int(a.AtAgent - b.AtAgent) })
	for _, d := range deliveries {
		at := d.AtAgent + c.terms.PropagationDeadline
		if d.Written > 0 && d.Written < at {
			at = d.Written
		}
		if d.State == Up { // the dispatcher may know it from then on: by its configuration, or before the write was recorded
			at = d.AtAgent
		}
		r := route{d.Dispatcher, d.Worker}
		notices[r] = append(notices[r], notice{at, d.State})
	}
	for _, all := range notices {
		// Updates are ordered: a dispatcher that has a later one also knows of the earlier ones, written or not.
		for i := len(all) - 2; i >= 0; i-- {
			all[i].at = min(all[i].at, all[i+1].at)
		}
	}
	return notices
}

// processStarts returns the start times of each dispatcher's processes, in order.
func (c *checker) processStarts() map[int][]time.Duration {
	starts := map[int][]time.Duration{}
	for _, e := range c.ledger.processEvents {
		if e.Kind == Started {
			starts[e.Dispatcher] = append(starts[e.Dispatcher], e.At)
		}
	}
	return starts
}

// lastNotice returns the newest notice between the start of the dispatcher's process and the time of a send, or nil. Of a
// drain and the removal that follows it, the drain counts.
func lastNotice(notices []notice, processStart, sentAt time.Duration) (last *notice) {
	for i := range notices {
		n := &notices[i]
		isKnown := n.at >= processStart && n.at <= sentAt
		if isKnown && (last == nil || n.state == Up || last.state == Up) {
			last = n
		}
	}
	return last
}
