// Package mutant implements a small dispatcher with one selectable fault, to verify that the invariant checker detects the fault. It shares
// no code with the real dispatcher, so that no safeguard of the real one hides a fault.
package mutant

import (
	"fmt"
	"strings"

	"birchfork/internal/testbed/invariant"
)

// The names of the faults.
const (
	NoFault            = "none"
	UnsafeRetry        = "unsafe-twice"
	RefusesWhatRan     = "refuses-what-ran"
	ManyAttempts       = "many-attempts"
	LateAnswers        = "late"
	LostRequests       = "lost"
	SilentRequests     = "silent"
	MadeUpAnswers      = "made-up"
	AnswersTwice       = "twice"
	SendsAfterAnswer   = "after-final"
	ChangedBodies      = "changed"
	IgnoresDraining    = "drain"
	OverloadsWarmingUp = "cold"
	Crash              = "crash"
	IgnoresSIGTERM     = "stays"
)

// Mutant is one selectable fault, with the violation that the invariant checker has to report.
type Mutant struct {
	Name, About string
	Rule        string // empty for NoFault and for crashes
	Violation   string // kind of the violation, or text of the crash in the report; empty for NoFault
}

// Mutants lists all mutants. NoFault is the same dispatcher without a fault.
var Mutants = []Mutant{
	{NoFault, "violates no rule", "", ""},
	{UnsafeRetry, "sends non-idempotent requests again after a failure", invariant.Effects, invariant.SentAgain},
	{RefusesWhatRan, "refuses non-idempotent requests that have failed at a worker and may have run", invariant.Effects, invariant.RefusedWhatMayHaveRun},
	{ManyAttempts, "sends idempotent requests again after success, up to 20 times", invariant.Effects, invariant.TooManyAttempts},
	{LateAnswers, "delays some answers until after the deadline", invariant.Answers, invariant.Late},
	{LostRequests, "closes some connections without an answer", invariant.Answers, invariant.Lost},
	{SilentRequests, "holds some requests without an answer until after the deadline", invariant.Answers, invariant.Lost},
	{MadeUpAnswers, "answers some requests without sending them to a worker", invariant.Answers, invariant.MadeUpAnswer},
	{AnswersTwice, "answers some requests twice", invariant.Answers, invariant.AnsweredTwice},
	{SendsAfterAnswer, "answers some requests and then sends them to a worker", invariant.Answers, invariant.SentAfterFinal},
	{ChangedBodies, "truncates the bodies of some requests", invariant.Answers, invariant.ChangedRequest},
	{IgnoresDraining, "ignores draining and goes on sending to the worker", invariant.Drains, invariant.SentAfterDrain},
	{OverloadsWarmingUp, "sends all requests to the worker that started last", invariant.SlowStart, invariant.WarmingOverloaded},
	{Crash, "exits under load", "", "crashed"},
	{IgnoresSIGTERM, "does not exit on SIGTERM", "", "did not end after SIGTERM"},
}

// Find returns the mutant with the given name. The error for an unknown name lists the known ones.
func Find(name string) (Mutant, error) {
	var names []string
	for _, m := range Mutants {
		if m.Name == name {
			return m, nil
		}
		names = append(names, m.Name)
	}
	return Mutant{}, fmt.Errorf("unknown fault %q: must be one of %s", name, strings.Join(names, ", "))
}
