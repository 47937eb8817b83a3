package invariant

import (
	"fmt"
	"strings"
	"time"
)

// The rules, by the names that reports use.
const (
	Answers   = "answers" // one final answer per request in time, nothing sent after it, none made up
	Effects   = "effects" // no effect twice, and no refusal of what may have run
	Drains    = "drains"  // nothing new to a worker once the drain grace has passed
	SlowStart = "cold"    // no warming worker overloaded
)

// Rules lists the names in the order of reports.
var Rules = []string{Answers, Effects, Drains, SlowStart}

// Kinds of violations of Answers.
const (
	Late            = "late"             // answered after the deadline
	Lost            = "lost"             // not answered, or closed after it was forwarded
	AnsweredTwice   = "answered-twice"   // more came than one answer
	SentAfterFinal  = "sent-after-final" // forwarded after the answer
	MadeUpAnswer    = "made-up-answer"   // a result that no worker gave
	MadeUpRequest   = "made-up-request"  // an attempt that no client sent
	ChangedRequest  = "changed"          // an attempt that differs from the client's request
	UnreadableInput = "nonsense"         // input that a worker cannot parse
)

// Kinds of violations of Effects.
const (
	TooManyAttempts       = "too-many-attempts"
	SentAgain             = "sent-again" // while an earlier attempt may have run
	RanTwice              = "ran-twice"
	RefusedWhatMayHaveRun = "refused-what-may-have-run"
)

// Kinds of violations of Drains and SlowStart.
const (
	SentAfterDrain    = "sent-after-drain"
	WarmingOverloaded = "pushed-over" // a warming worker crashed under overload
)

// severalDispatchers stands for the dispatcher of a violation that is of all together.
const severalDispatchers = -1

// Violation is one violation of a rule, with the records that prove it.
type Violation struct {
	Rule       string        `json:"rule"`
	Kind       string        `json:"kind"`
	At         time.Duration `json:"at_ns"`
	Dispatcher int           `json:"dispatcher"` // -1: several
	ID         string        `json:"request,omitempty"`
	Lines      []string      `json:"lines"`
}

// String formats the violation with its proof, over several lines.
func (v Violation) String() string {
	who := fmt.Sprintf("dispatcher %d", v.Dispatcher)
	if v.Dispatcher < 0 {
		who = "all dispatchers together"
	}
	return fmt.Sprintf("%s/%s at %s by %s\n    %s", v.Rule, v.Kind, formatTime(v.At), who, strings.Join(v.Lines, "\n    "))
}

// formatTime formats a time of a run, in seconds, for a line of proof.
func formatTime(d time.Duration) string { return fmt.Sprintf("%.3fs", d.Seconds()) }

// Verdict is the result of a check.
type Verdict struct {
	Violations []Violation    // in the order of their times
	Crashes    []ProcessEvent // of dispatchers
	Lost       int            // tries that got no whole answer in time, by their dispatcher's fault
	Excused    int            // tries without an answer while the testbed had their dispatcher killed or stopped, or closed unread
}

// Count returns the number of violations by rule; a rule that holds has 0.
func (v *Verdict) Count() map[string]int {
	out := map[string]int{}
	for _, rule := range Rules {
		out[rule] = 0
	}
	for _, violation := range v.Violations {
		out[violation.Rule]++
	}
	return out
}
