package invariant

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The rules, by the names that reports use.
const (
	Answers   = "answers" // one final answer per request in time, nothing sent after, none made up
	Effects   = "effects" // no effect twice, and no refusal of what may have run
	Drains    = "drains"  // nothing new to a worker past the grace
	SlowStart = "cold"    // no cold worker pushed over
)

// Rules are the names in their order.
var Rules = []string{Answers, Effects, Drains, SlowStart}

// Class describes a request class, as far as the rules depend on it.
type Class struct {
	Name   string
	Safe   bool
	Keyed  bool
	Group  string // all, zone or cell: where repeats of a keyed job are dropped
	Window time.Duration
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
	Attempts            int           // of one request
	DrainGrace          time.Duration // and the slack more
	Slack               time.Duration // that every time limit has, for what the rig itself is late
	PropagationDeadline time.Duration // news counts as told so long after the agent has it, taken or not
}

// DefaultSlack is what the platform's protocol gives on sockets.
const DefaultSlack = 50 * time.Millisecond

// Violation is one violation of a rule, with the records that prove it.
type Violation struct {
	Rule  string        `json:"rule"`
	Kind  string        `json:"kind"`
	At    time.Duration `json:"at_ns"`
	Who   int           `json:"dispatcher"` // -1: several
	ID    string        `json:"request,omitempty"`
	Lines []string      `json:"lines"`
}

func (b Violation) String() string {
	who := fmt.Sprintf("dispatcher %d", b.Who)
	if b.Who < 0 {
		who = "all dispatchers together"
	}
	return fmt.Sprintf("%s/%s at %s by %s\n    %s", b.Rule, b.Kind, at(b.At), who, strings.Join(b.Lines, "\n    "))
}

// at formats a time for a line of proof.
func at(d time.Duration) string { return fmt.Sprintf("%.3fs", d.Seconds()) }

// Verdict is the result of a check.
type Verdict struct {
	Violations []Violation
	Crashes    []Moment
	Lost       int // tries that got no whole answer in time, and whose dispatcher is to blame
	Excused    int // tries that were open when we killed their dispatcher, or that it closed unread
}

// Count returns the number of violations by rule; a rule that holds has 0.
func (v *Verdict) Count() map[string]int {
	out := map[string]int{}
	for _, r := range Rules {
		out[r] = 0
	}
	for _, b := range v.Violations {
		out[b.Rule]++
	}
	return out
}

// Check checks the rules against the records of a run that has ended.
func Check(l *Ledger, t Terms) *Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &checker{terms: t, ledger: l, verdict: &Verdict{}, attempts: map[string][]*Attempt{}}
	for _, a := range l.attempts {
		c.attempts[a.ID] = append(c.attempts[a.ID], a)
	}
	for _, all := range c.attempts {
		slices.SortStableFunc(all, func(a, b *Attempt) int { return int(a.Last - b.Last) })
	}
	known := map[string]bool{}
	for _, try := range l.tries {
		known[try.ID] = true
		c.answer(try)
		c.effects(try)
	}
	for _, a := range l.attempts {
		if !known[a.ID] {
			c.violate(Answers, "made-up-request", a.First, a.Dispatcher, a.ID, c.line(a), "no client sent this")
		}
		if a.Changed != "" {
			c.violate(Answers, "changed", a.First, a.Dispatcher, a.ID, c.line(a), a.Changed)
		}
	}
	for _, o := range l.protocolFaults {
		c.violate(Answers, "nonsense", o.At, o.Dispatcher, "", fmt.Sprintf("%s worker %s was sent what it cannot read: %s", at(o.At), c.name(o.Worker), o.What))
	}
	c.drains()
	for _, f := range l.overloads {
		c.violate(SlowStart, "pushed-over", f.At, -1, "", fmt.Sprintf("%s worker %s at %.0f%% of its capacity was sent %.2f s of work in the window; it bears %.2f s",
			at(f.At), c.name(f.Worker), 100*f.SlowStartFactor, f.Sent, f.Allowed))
	}
	for _, m := range l.moments {
		if m.What == Crashed || m.What == Overstayed {
			c.verdict.Crashes = append(c.verdict.Crashes, m)
		}
	}
	slices.SortStableFunc(c.verdict.Violations, func(a, b Violation) int { return int(a.At - b.At) })
	return c.verdict
}

type checker struct {
	terms    Terms
	ledger   *Ledger
	verdict  *Verdict
	attempts map[string][]*Attempt // by id, in the order of their last bytes
}

func (c *checker) violate(rule, kind string, when time.Duration, who int, id string, lines ...string) {
	c.verdict.Violations = append(c.verdict.Violations, Violation{rule, kind, when, who, id, lines})
}

func (c *checker) name(worker int) string {
	if worker >= 0 && worker < len(c.terms.Workers) {
		return c.terms.Workers[worker].Name
	}
	return fmt.Sprint(worker)
}

func (c *checker) line(a *Attempt) string {
	s := fmt.Sprintf("%s attempt at worker %s, first byte %s, whole %s", at(a.First), c.name(a.Worker), at(a.First), at(a.Last))
	if a.Ran {
		s += ", ran"
	}
	if a.End != Open {
		s += fmt.Sprintf(", %s at %s", a.End, at(a.Ended))
	}
	return s
}

func (c *checker) tryLine(t *Try) string {
	class := ""
	if t.Class >= 0 && t.Class < len(c.terms.Classes) {
		class = c.terms.Classes[t.Class].Name + " "
	}
	return fmt.Sprintf("%s %srequest %s sent, due %s; %s (status %d) at %s", at(t.Sent), class, t.ID, at(t.Due), t.Outcome, t.Status, at(t.Ended))
}

// lines returns the proof for a try: the try and all its attempts.
func (c *checker) lines(t *Try) []string {
	attempts := c.attempts[t.ID]
	out := make([]string, 0, 1+len(attempts))
	out = append(out, c.tryLine(t))
	for _, a := range attempts {
		out = append(out, c.line(a))
	}
	return out
}

// wasPausedIn reports whether the testbed had a dispatcher stopped at some time between from and to, or just before.
func (c *checker) wasPausedIn(who int, from, to time.Duration) bool {
	stopped := time.Duration(-1)
	for _, m := range c.ledger.moments {
		switch {
		case m.Dispatcher != who:
		case m.What == Stopped:
			stopped = m.At
		case stopped >= 0 && m.What == Woken:
			if stopped <= to+c.terms.Slack && m.At+wakes >= from {
				return true
			}
			stopped = -1
		}
	}
	return stopped >= 0 && stopped <= to+c.terms.Slack
}

// wakes is how long a dispatcher that stood still may take to be through with what came meanwhile.
const wakes = 500 * time.Millisecond

// killedIn reports whether the testbed killed a dispatcher between from and to.
func (c *checker) killedIn(who int, from, to time.Duration) bool {
	for _, m := range c.ledger.moments {
		if m.Dispatcher == who && m.What == Killed && m.At >= from-c.terms.Slack && m.At <= to+c.terms.Slack {
			return true
		}
	}
	return false
}

// answer checks the rule Answers for one try.
func (c *checker) answer(t *Try) {
	all := c.attempts[t.ID]
	switch t.Outcome {
	case Pending, Unsent, Left:
		return
	case Closed, Unknown:
		switch {
		case c.killedIn(t.Dispatcher, t.Sent, t.Ended): // what it held is the client's to retry
			c.verdict.Excused++
		case c.wasPausedIn(t.Dispatcher, t.Sent, t.Ended): // nobody could have answered
			c.verdict.Excused++
		case t.Outcome == Closed && len(all) == 0: // closed unread, nothing was sent on for it: failed, not lost
			c.verdict.Excused++
		default:
			c.verdict.Lost++
			c.violate(Answers, "lost", t.Ended, t.Dispatcher, t.ID, c.lines(t)...)
		}
		return
	}
	if t.Ended > t.Due+c.terms.Slack && !c.wasPausedIn(t.Dispatcher, t.Sent, t.Ended) {
		c.violate(Answers, "late", t.Ended, t.Dispatcher, t.ID, c.lines(t)...)
	}
	if t.Twice {
		c.violate(Answers, "answered-twice", t.Ended, t.Dispatcher, t.ID, c.lines(t)...)
	}
	if t.Outcome == Served && !slices.ContainsFunc(all, func(a *Attempt) bool { return a.End == Done && a.Result == t.Result }) {
		c.violate(Answers, "made-up-answer", t.Ended, t.Dispatcher, t.ID, append(c.lines(t), "no worker gave this result")...)
	}
	for _, a := range all {
		if a.First > t.Ended+c.terms.Slack {
			c.violate(Answers, "sent-after-final", a.First, t.Dispatcher, t.ID, c.lines(t)...)
			break
		}
	}
}

// neverRan tells whether it was known by a moment that an attempt had not run and would not.
func neverRan(a *Attempt, by time.Duration) bool {
	return (a.End == Returned || a.End == TurnedAway) && a.Ended <= by
}

// effects checks the rule Effects for one try.
func (c *checker) effects(t *Try) {
	all := c.attempts[t.ID]
	if c.terms.Attempts > 0 && len(all) > c.terms.Attempts {
		c.violate(Effects, "too-many-attempts", all[c.terms.Attempts].First, t.Dispatcher, t.ID, c.lines(t)...)
	}
	if t.Class < 0 || t.Class >= len(c.terms.Classes) {
		return
	}
	class := &c.terms.Classes[t.Class]
	if class.Safe {
		return
	}
	for i, a := range all {
		if j := slices.IndexFunc(all[:i], func(b *Attempt) bool { return !neverRan(b, a.Last) && !c.dropsRepeat(class, b, a) }); j >= 0 {
			c.violate(Effects, "sent-again", a.First, t.Dispatcher, t.ID, append(c.lines(t), "an earlier attempt may have run")...)
			break
		}
	}
	ran := 0
	for i, a := range all {
		if a.Ran && !slices.ContainsFunc(all[:i], func(b *Attempt) bool { return b.Ran && c.dropsRepeat(class, b, a) }) {
			ran++
		}
	}
	if ran > 1 {
		c.violate(Effects, "ran-twice", all[len(all)-1].Last, t.Dispatcher, t.ID, c.lines(t)...)
	}
	repeatDropped := class.Keyed && class.Group == "all"
	if t.Outcome == Refused && !repeatDropped {
		if slices.ContainsFunc(all, func(a *Attempt) bool { return !neverRan(a, t.Ended) }) {
			c.violate(Effects, "refused-what-may-have-run", t.Ended, t.Dispatcher, t.ID, append(c.lines(t), "a refusal says that asking again is harmless")...)
		}
	}
}

// dropsRepeat tells whether the second of two attempts of a keyed job is dropped where it goes.
func (c *checker) dropsRepeat(class *Class, first, second *Attempt) bool {
	if !class.Keyed || second.First > first.First+class.Window+c.terms.Slack {
		return false
	}
	if first.Worker >= len(c.terms.Workers) || second.Worker >= len(c.terms.Workers) {
		return false
	}
	a, b := c.terms.Workers[first.Worker], c.terms.Workers[second.Worker]
	switch class.Group {
	case "all":
		return true
	case "zone":
		return a.Zone == b.Zone
	default:
		return a.Cell == b.Cell
	}
}

// delivered is what one dispatcher's process has been told of one worker, in its order.
type delivered struct {
	at          time.Duration
	state       State
	incarnation int
}

// drains checks the rule Drains for all attempts.
func (c *checker) drains() {
	type pair struct{ dispatcher, worker int }
	news := map[pair][]delivered{}
	tellings := slices.Clone(c.ledger.deliveries)
	slices.SortStableFunc(tellings, func(a, b *Delivery) int { return int(a.Has - b.Has) })
	for _, t := range tellings {
		when := t.Has + c.terms.PropagationDeadline
		if t.Written > 0 && t.Written < when {
			when = t.Written
		}
		if t.State == Up { // from then on it may have been told: by its configuration, or before the write was noted here
			when = t.Has
		}
		p := pair{t.Dispatcher, t.Worker}
		news[p] = append(news[p], delivered{when, t.State, t.Incarnation})
	}
	for _, all := range news {
		// News comes in order: who has been told the later word knows better than the earlier one, taken or not.
		for i := len(all) - 2; i >= 0; i-- {
			all[i].at = min(all[i].at, all[i+1].at)
		}
	}
	starts := map[int][]time.Duration{} // of each dispatcher's processes
	for _, m := range c.ledger.moments {
		if m.What == Started {
			starts[m.Dispatcher] = append(starts[m.Dispatcher], m.At)
		}
	}
	grace := c.terms.DrainGrace + c.terms.Slack
	for _, a := range c.ledger.attempts {
		born := time.Duration(0) // of the process that sent it
		for _, s := range starts[a.Dispatcher] {
			if s <= a.First {
				born = s
			}
		}
		var last *delivered
		for i, n := range news[pair{a.Dispatcher, a.Worker}] {
			if n.at >= born && n.at <= a.First && (last == nil || n.state == Up || last.state == Up) {
				last = &news[pair{a.Dispatcher, a.Worker}][i] // of a drain and a removal the first counts
			}
		}
		if last != nil && last.state != Up && a.First > last.at+grace {
			c.violate(Drains, "sent-after-drain", a.First, a.Dispatcher, a.ID,
				fmt.Sprintf("%s told that worker %s is %s", at(last.at), c.name(a.Worker), last.state), c.line(a),
				fmt.Sprintf("%.0f ms after it was told; %.0f ms are allowed", (a.First-last.at).Seconds()*1000, c.terms.DrainGrace.Seconds()*1000))
		}
	}
}
