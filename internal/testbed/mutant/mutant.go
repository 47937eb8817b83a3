// Package mutant is a small dispatcher with one selectable fault, which proves that the invariant checker finds it. It
// shares no code with the real dispatcher, so that none of that one's guards hides a fault.
package mutant

import (
	"fmt"
	"strings"

	"birchfork/internal/testbed/invariant"
)

// The names of the faults.
const (
	NoFault          = "none"
	UnsafeRetry      = "unsafe-twice"
	RefusesWhatRan   = "refuses-what-ran"
	ManyAttempts     = "many-attempts"
	LateAnswers      = "late"
	LostRequests     = "lost"
	SilentRequests   = "silent"
	MadeUpAnswers    = "made-up"
	AnswersTwice     = "twice"
	SendsAfterAnswer = "after-final"
	ChangedBodies    = "changed"
	DrainIgnored     = "drain"
	ColdOverloaded   = "cold"
	Crash            = "crash"
	IgnoresSIGTERM   = "stays"
)

// Mutant is one selectable fault, with the violation that the invariant checker has to report.
type Mutant struct {
	Name, About string
	Rule        string // empty: a crash, or nothing for NoFault
	Violation   string // the kind of violation or what the report says of the crash; empty for NoFault
}

// Mutants lists all faults; NoFault is the same dispatcher without one.
var Mutants = []Mutant{
	{NoFault, "keeps all rules", "", ""},
	{UnsafeRetry, "sends a never-twice job again after a failure", invariant.Effects, invariant.SentAgain},
	{RefusesWhatRan, "answers a failed never-twice job with a refusal", invariant.Effects, invariant.RefusedWhatMayHaveRun},
	{ManyAttempts, "sends safe jobs again without end", invariant.Effects, invariant.TooManyAttempts},
	{LateAnswers, "holds some answers until after the deadline", invariant.Answers, invariant.Late},
	{LostRequests, "closes some connections with no answer", invariant.Answers, invariant.Lost},
	{SilentRequests, "never answers some requests", invariant.Answers, invariant.Lost},
	{MadeUpAnswers, "answers some requests that no worker was asked for", invariant.Answers, invariant.MadeUpAnswer},
	{AnswersTwice, "answers some requests two times", invariant.Answers, invariant.AnsweredTwice},
	{SendsAfterAnswer, "answers some requests, then sends them", invariant.Answers, invariant.SentAfterFinal},
	{ChangedBodies, "hands some bodies on cut short", invariant.Answers, invariant.ChangedRequest},
	{DrainIgnored, "goes on sending to workers that drain", invariant.Drains, invariant.SentAfterDrain},
	{ColdOverloaded, "sends everything to the worker that started last", invariant.SlowStart, invariant.WarmingOverloaded},
	{Crash, "ends by itself under load", "", "crashed"},
	{IgnoresSIGTERM, "does not end on SIGTERM", "", "did not end after SIGTERM"},
}

// Find returns a fault by its name; the error of an unknown one lists the names.
func Find(name string) (Mutant, error) {
	var names []string
	for _, m := range Mutants {
		if m.Name == name {
			return m, nil
		}
		names = append(names, m.Name)
	}
	return Mutant{}, fmt.Errorf("no fault %q can be planted; there are %s", name, strings.Join(names, ", "))
}
