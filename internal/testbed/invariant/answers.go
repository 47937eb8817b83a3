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
	if t.Ended > t.Due+c.terms.Slack && !c.wasStoppedIn(t.Dispatcher, t.Sent, t.Ended) {
		c.violate(Answers, Late, t.Ended, t.Dispatcher, t.ID, c.lines(t)...)
	}
	if t.AnsweredTwice {
		c.violate(Answers, AnsweredTwice, t.Ended, t.Dispatcher, t.ID, c.lines(t)...)
	}
	gaveResult := func(a *Attempt) bool { return a.End == Done && a.Result == t.Result }
	if t.Outcome == Served && !slices.ContainsFunc(attempts, gaveResult) {
		c.violate(Answers, MadeUpAnswer, t.Ended, t.Dispatcher, t.ID, append(c.lines(t), "no worker gave this result")...)
	}
	for _, a := range attempts {
		if a.First > t.Ended+c.terms.Slack {
			c.violate(Answers, SentAfterFinal, a.First, t.Dispatcher, t.ID, c.lines(t)...)
			break
		}
	}
}

// checkUnanswered checks a try that got no whole answer: it is lost or excused.
func (c *checker) checkUnanswered(t *Try) {
	switch {
	case c.wasKilledIn(t.Dispatcher, t.Sent, t.Ended): // the client has to retry what was open there
		c.verdict.Excused++
	case c.wasStoppedIn(t.Dispatcher, t.Sent, t.Ended): // nobody could have answered
		c.verdict.Excused++
	case t.Outcome == Closed && len(c.attempts[t.ID]) == 0: // closed unread, nothing was forwarded for it: failed, not lost
		c.verdict.Excused++
	default:
		c.verdict.Lost++
		c.violate(Answers, Lost, t.Ended, t.Dispatcher, t.ID, c.lines(t)...)
	}
}

// checkForwarded checks that workers received nothing but what clients sent.
func (c *checker) checkForwarded() {
	sent := map[string]bool{}
	for _, try := range c.ledger.tries {
		sent[try.ID] = true
	}
	for _, a := range c.ledger.attempts {
		if !sent[a.ID] {
			c.violate(Answers, MadeUpRequest, a.First, a.Dispatcher, a.ID, c.attemptLine(a), "no client sent this")
		}
		if a.Changed != "" {
			c.violate(Answers, ChangedRequest, a.First, a.Dispatcher, a.ID, c.attemptLine(a), a.Changed)
		}
	}
	for _, f := range c.ledger.protocolFaults {
		c.violate(Answers, UnreadableInput, f.At, f.Dispatcher, "",
			fmt.Sprintf("%s worker %s was sent what it cannot read: %s", formatTime(f.At), c.workerName(f.Worker), f.What))
	}
}
