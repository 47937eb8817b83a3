package invariant

import (
	"slices"
	"time"
)

// The scopes in which keyed requests are deduplicated, as scenarios name them. Any other value stands for the cell.
const (
	groupAll  = "all"
	groupZone = "zone"
)

// checkEffects checks the rule Effects for one try.
func (c *checker) checkEffects(t *Try) {
	attempts := c.attempts[t.ID]
	if c.terms.Attempts > 0 && len(attempts) > c.terms.Attempts {
		c.addViolation(Effects, TooManyAttempts, attempts[c.terms.Attempts].First, t.Dispatcher, t.ID, c.evidence(t)...)
	}
	if t.Class < 0 || t.Class >= len(c.terms.Classes) {
		return
	}
	class := &c.terms.Classes[t.Class]
	if class.Safe {
		return
	}
	if a := c.sentAgain(class, attempts); a != nil {
		c.addViolation(Effects, SentAgain, a.First, t.Dispatcher, t.ID, append(c.evidence(t), "an earlier attempt may have run")...)
	}
	if c.countEffects(class, attempts) > 1 {
		c.addViolation(Effects, RanTwice, attempts[len(attempts)-1].Last, t.Dispatcher, t.ID, c.evidence(t)...)
	}
	mayHaveRun := func(a *Attempt) bool { return !neverRan(a, t.Ended) }
	repeatDropped := class.Keyed && class.Group == groupAll
	if t.Outcome == Refused && !repeatDropped && slices.ContainsFunc(attempts, mayHaveRun) {
		c.addViolation(Effects, RefusedWhatMayHaveRun, t.Ended, t.Dispatcher, t.ID,
			append(c.evidence(t), "a refusal says that asking again is harmless")...)
	}
}

// sentAgain returns the first attempt that was sent although an earlier one may have run or may still run and the worker does
// not drop the repeat, or nil.
func (c *checker) sentAgain(class *Class, attempts []*Attempt) *Attempt {
	for i, a := range attempts {
		conflicts := func(earlier *Attempt) bool { return !neverRan(earlier, a.Last) && !c.dropsRepeat(class, earlier, a) }
		if slices.ContainsFunc(attempts[:i], conflicts) {
			return a
		}
	}
	return nil
}

// countEffects returns the number of attempts that ran and were not dropped as repeats.
func (c *checker) countEffects(class *Class, attempts []*Attempt) (effects int) {
	for i, a := range attempts {
		isRepeatOf := func(earlier *Attempt) bool { return earlier.Ran && c.dropsRepeat(class, earlier, a) }
		if a.Ran && !slices.ContainsFunc(attempts[:i], isRepeatOf) {
			effects++
		}
	}
	return effects
}

// neverRan reports whether it was known by a time that an attempt had not run and would not run.
func neverRan(a *Attempt, by time.Duration) bool {
	return (a.End == Returned || a.End == Rejected) && a.Ended <= by
}

// dropsRepeat reports whether the worker of the second attempt drops it as a repeat of the first.
func (c *checker) dropsRepeat(class *Class, first, second *Attempt) bool {
	if !class.Keyed || second.First > first.First+class.Window+c.terms.Slack {
		return false
	}
	if first.Worker >= len(c.terms.Workers) || second.Worker >= len(c.terms.Workers) {
		return false
	}
	a, b := c.terms.Workers[first.Worker], c.terms.Workers[second.Worker]
	switch class.Group {
	case groupAll:
		return true
	case groupZone:
		return a.Zone == b.Zone
	default:
		return a.Cell == b.Cell
	}
}
