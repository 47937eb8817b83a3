package invariant

import (
	"fmt"
	"slices"
)

// checkAnswer checks the rule Answers for one try.
func (c *checker) checkAnswer(t *Try) {
	switch t.Outcome {
	case Pending, Unsent, Left:
		return
	case Closed, NoAnswer:
		c.checkUnanswered(t)
		return
	}
	attempts := c.attempts[t.ID]
	if t.Ended > t.Due+c.terms.Slack && !c.wasPausedIn(t.Dispatcher, t.Sent, t.Ended) {
		c.addViolation(Answers, Late, t.Ended, t.Dispatcher, t.ID, c.evidence(t)...)
	}
	if t.ExtraData {
		c.addViolation(Answers, AnsweredTwice, t.Ended, t.Dispatcher, t.ID, c.evidence(t)...)
	}
	gaveResult := func(a *Attempt) bool { return a.End == Done && a.Result == t.Result }
	if t.Outcome == Served && !slices.ContainsFunc(attempts, gaveResult) {
		c.addViolation(Answers, MadeUpAnswer, t.Ended, t.Dispatcher, t.ID, append(c.evidence(t), "no worker gave this result")...)
	}
	for _, a := range attempts {
		if a.First > t.Ended+c.terms.Slack {
			c.addViolation(Answers, SentAfterFinal, a.First, t.Dispatcher, t.ID, c.evidence(t)...)
			break
		}
	}
}

// checkUnanswered counts a try that got no complete answer as lost or excused.
func (c *checker) checkUnanswered(t *Try) {
	switch {
	case c.wasKilledIn(t.Dispatcher, t.Sent, t.Ended): // clients have to retry requests that were open at a killed dispatcher
		c.verdict.Excused++
	case c.wasPausedIn(t.Dispatcher, t.Sent, t.Ended): // a paused process cannot answer
		c.verdict.Excused++
	case t.Outcome == Closed && len(c.attempts[t.ID]) == 0: // closed without being forwarded: failed, not lost
		c.verdict.Excused++
	default:
		c.verdict.Lost++
		c.addViolation(Answers, Lost, t.Ended, t.Dispatcher, t.ID, c.evidence(t)...)
	}
}

// checkForwarded checks that workers received only requests that clients sent, unchanged.
func (c *checker) checkForwarded() {
	sent := map[string]bool{}
	for _, try := range c.ledger.tries {
		sent[try.ID] = true
	}
	for _, a := range c.ledger.attempts {
		if !sent[a.ID] {
			c.addViolation(Answers, MadeUpRequest, a.First, a.Dispatcher, a.ID, c.attemptLine(a), "no client sent this")
		}
		if a.Changed != "" {
			c.addViolation(Answers, ChangedRequest, a.First, a.Dispatcher, a.ID, c.attemptLine(a), a.Changed)
		}
	}
	for _, f := range c.ledger.protocolFaults {
		c.addViolation(Answers, UnreadableInput, f.At, f.Dispatcher, "",
			fmt.Sprintf("%s worker %s was sent what it cannot read: %s", formatTime(f.At), c.workerName(f.Worker), f.What))
	}
}
