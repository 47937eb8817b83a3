package testbed

import (
	"time"

	"birchfork/internal/testbed/invariant"
	"birchfork/internal/testbed/report"
)

// restartPeriod is the time after a restart for which a dispatcher counts as just restarted.
const restartPeriod = 5 * time.Second

// interval is a half-open interval of time on the ledger's clock.
type interval struct{ from, until time.Duration }

// restartIntervals holds the intervals in which a dispatcher had just restarted, by dispatcher.
type restartIntervals map[int][]interval

// contains reports whether a dispatcher had just restarted at a time.
func (r restartIntervals) contains(dispatcher int, at time.Duration) bool {
	for _, i := range r[dispatcher] {
		if at >= i.from && at < i.until {
			return true
		}
	}
	return false
}

// containsAny reports whether any dispatcher had just restarted at a time.
func (r restartIntervals) containsAny(at time.Duration) bool {
	for dispatcher := range r {
		if r.contains(dispatcher, at) {
			return true
		}
	}
	return false
}

// restartIntervals returns the intervals that follow the restarts of dispatchers since the start of the load.
func (r *run) restartIntervals() restartIntervals {
	restarts := restartIntervals{}
	for _, e := range r.ledger.ProcessEvents() {
		if e.Kind == invariant.Ready && e.At > r.load.Origin() {
			restarts[e.Dispatcher] = append(restarts[e.Dispatcher], interval{e.At, e.At + restartPeriod})
		}
	}
	return restarts
}

// countAfterRestarts compares dispatchers that have just restarted with the others at the same time. The difference shows the
// cost of losing what they had learnt about the workers. It returns nil if no dispatcher restarted under load.
func (r *run) countAfterRestarts() *report.RestartLine {
	restarts := r.restartIntervals()
	if len(restarts) == 0 {
		return nil
	}
	out := &report.RestartLine{}
	for _, t := range r.ledger.Tries() {
		inTime := 0
		if t.Outcome == invariant.Served && t.Ended <= t.Due {
			inTime = 1
		}
		switch {
		case restarts.contains(t.Dispatcher, t.Sent):
			out.Tries++
			out.InTime += inTime
		case restarts.containsAny(t.Sent):
			out.OtherTries++
			out.OtherInTime += inTime
		}
	}
	return out
}
