package invariant

import (
	"fmt"
	"strings"
	"time"
)

// The rules, by their names in reports.
const (
	Answers   = "answers" // one final answer per request in time, nothing sent after it, none made up
	Effects   = "effects" // no effect twice, and no refusal of a request that may have run
	Drains    = "drains"  // no new request to a draining or removed worker after the drain grace
	SlowStart = "cold"    // no worker overloaded while it warms up
)

// Rules lists the rules in the order of reports.
var Rules = []string{Answers, Effects, Drains, SlowStart}

// Kinds of violations of Answers.
const (
	Late            = "late"             // answered after the deadline
	Lost            = "lost"             // not answered, or its connection closed after it was forwarded
	AnsweredTwice   = "answered-twice"   // more data after the answer
	SentAfterFinal  = "sent-after-final" // an attempt after the answer
	MadeUpAnswer    = "made-up-answer"   // a result that no worker returned
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
	WarmingOverloaded = "pushed-over" // a worker crashed under overload while it was warming up
)

// severalDispatchers is the dispatcher of a violation that is caused by all dispatchers together.
const severalDispatchers = -1

// Violation is one violation of a rule, with its evidence.
type Violation struct {
	Rule       string        `json:"rule"`
	Kind       string        `json:"kind"`
	At         time.Duration `json:"at_ns"`
	Dispatcher int           `json:"dispatcher"` // -1: all together
	ID         string        `json:"request,omitempty"`
	Lines      []string      `json:"lines"`
}

// String formats the violation with its evidence, over several lines.
func (v Violation) String() string {
	who := fmt.Sprintf("dispatcher %d", v.Dispatcher)
	if v.Dispatcher < 0 {
		who = "all dispatchers together"
	}
	return fmt.Sprintf("%s/%s at %s by %s\n    %s", v.Rule, v.Kind, formatTime(v.At), who, strings.Join(v.Lines, "\n    "))
}

// formatTime formats a time of a run, in seconds, for a line of evidence.
func formatTime(d time.Duration) string { return fmt.Sprintf("%.3fs", d.Seconds()) }

// Verdict is the result of a check.
type Verdict struct {
	Violations []Violation    // ordered by time
	Crashes    []ProcessEvent // of dispatchers
	Lost       int            // tries without a complete answer in time for which their dispatcher is responsible
	Excused    int            // tries without an answer whose dispatcher was killed or paused by the testbed, or closed the connection without forwarding them
}

// Count returns the number of violations by rule; a rule that was kept has 0.
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
