package invariant

import (
	"fmt"
	"slices"
	"time"
)

// Class describes a request class, as far as the rules depend on it.
type Class struct {
	Name   string
	Safe   bool          // idempotent: may run any number of times
	Keyed  bool          // deduplicated: workers of a group drop repeats
	Group  string        // scope of the deduplication: all, zone or cell
	Window time.Duration // for which repeats are dropped
}

// Worker describes a worker, as far as the rules depend on it.
type Worker struct {
	Name, Zone string
	Cell       int
}

// Terms holds the parameters of the rules.
type Terms struct {
	Classes             []Class
	Workers             []Worker
	Attempts            int           // allowed for one request; 0: unlimited
	DrainGrace          time.Duration // after a dispatcher has been notified of a drain
	Slack               time.Duration // added to every time limit for the lag of the testbed itself
	PropagationDeadline time.Duration // from the arrival of an update at a dispatcher's agent until the dispatcher counts as notified, even without a write
}

// DefaultSlack is the tolerance of the platform's protocol for sockets.
const DefaultSlack = 50 * time.Millisecond

// catchUpTime is the time that a resumed dispatcher has to process what arrived while it was paused.
const catchUpTime = 500 * time.Millisecond

// Check checks the rules against the records of a run that has ended.
func Check(l *Ledger, t Terms) *Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &checker{terms: t, ledger: l, verdict: &Verdict{}, attempts: map[string][]*Attempt{}}
	for _, a := range l.attempts {
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	for _, attempts := range c.attempts {
		slices.SortStableFunc(attempts, func(a, b *Attempt) int { return int(a.Last - b.Last) })
	}
	for _, try := range l.tries {
		c.checkAnswer(try)
		c.checkEffects(try)
	}
	c.checkForwarded()
	c.checkDrains()
	c.checkOverloads()
	for _, e := range l.processEvents {
		if e.Kind == Crashed || e.Kind == StopTimedOut {
			c.verdict.Crashes = append(c.verdict.Crashes, e)
		}
	}
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.verdict
}

// checker is the state of one check. It is used under the ledger's lock.
type checker struct {
	terms    Terms
	ledger   *Ledger
	verdict  *Verdict
	attempts map[string][]*Attempt // by request id, in the order of their last bytes
}

func (c *checker) addViolation(rule, kind string, when time.Duration, dispatcher int, id string, lines ...string) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{
		Rule: rule, Kind: kind, At: when, Dispatcher: dispatcher, ID: id, Lines: lines,
	})
}

// checkOverloads checks the rule SlowStart.
func (c *checker) checkOverloads() {
	for _, o := range c.ledger.overloads {
		c.addViolation(SlowStart, WarmingOverloaded, o.At, severalDispatchers, "",
			fmt.Sprintf("%s worker %s at %.0f%% of its capacity was sent %.2f s of work in the window; it bears %.2f s",
				formatTime(o.At), c.workerName(o.Worker), 100*o.SlowStartFactor, o.Sent, o.Allowed))
	}
}

func (c *checker) workerName(worker int) string {
	if worker >= 0 && worker < len(c.terms.Workers) {
		return c.terms.Workers[worker].Name
	}
	return fmt.Sprint(worker)
}

// attemptLine describes an attempt in a line of evidence.
func (c *checker) attemptLine(a *Attempt) string {
	s := fmt.Sprintf("%s attempt at worker %s, first byte %s, whole %s",
		formatTime(a.First), c.workerName(a.Worker), formatTime(a.First), formatTime(a.Last))
	if a.Ran {
		s += ", ran"
	}
	if a.End != Open {
		s += fmt.Sprintf(", %s at %s", a.End, formatTime(a.Ended))
	}
	return s
}

// tryLine describes a try in a line of evidence.
func (c *checker) tryLine(t *Try) string {
	class := ""
	if t.Class >= 0 && t.Class < len(c.terms.Classes) {
		class = c.terms.Classes[t.Class].Name + " "
	}
	return fmt.Sprintf("%s %srequest %s sent, due %s; %s (status %d) at %s",
		formatTime(t.Sent), class, t.ID, formatTime(t.Due), t.Outcome, t.Status, formatTime(t.Ended))
}

// evidence returns the lines for a try and all its attempts.
func (c *checker) evidence(t *Try) []string {
	attempts := c.attempts[t.ID]
	out := make([]string, 0, 1+len(attempts))
	out = append(out, c.tryLine(t))
	for _, a := range attempts {
		out = append(out, c.attemptLine(a))
	}
	return out
}

// wasPausedIn reports whether a dispatcher was paused by the testbed between from and to, or resumed at most catchUpTime
// before from.
func (c *checker) wasPausedIn(dispatcher int, from, to time.Duration) bool {
	pausedAt := time.Duration(-1)
	for _, e := range c.ledger.processEvents {
		switch {
		case e.Dispatcher != dispatcher:
		case e.Kind == Paused:
			pausedAt = e.At
		case pausedAt >= 0 && e.Kind == Resumed:
			if pausedAt <= to+c.terms.Slack && e.At+catchUpTime >= from {
				return true
			}
			pausedAt = -1
		}
	}
	return pausedAt >= 0 && pausedAt <= to+c.terms.Slack
}

// wasKilledIn reports whether the testbed killed a dispatcher between from and to, with the slack on both sides.
func (c *checker) wasKilledIn(dispatcher int, from, to time.Duration) bool {
	for _, e := range c.ledger.processEvents {
		if e.Dispatcher == dispatcher && e.Kind == Killed && e.At >= from-c.terms.Slack && e.At <= to+c.terms.Slack {
			return true
		}
	}
	return false
}
