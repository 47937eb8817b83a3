package simulation

import (
	"fmt"
	"strings"
	"time"
)

// Result is the outcome of a history of Simulate.
type Result struct {
	Violations    []string // each with its time, the rule and the evidence; a history ends with the tick of its first one
	MachinesDone  int      // machines that the plan has finished
	LeaderChanges int
	Digest        uint64 // hash of all committed entries
	Ticks         int    // length
	Times
	Costs []Cost // by member, since the group was complete or, with a plan, since the plan was started
}

// Times are points and spans of time on the world's clock. A point that was not reached is 0.
type Times struct {
	Bootstrapped time.Duration // all members have joined
	Started      time.Duration // the plan is started
	Drained      time.Duration // a machine is drained for the first time
	Ended        time.Duration // the plan has ended

	Committed []time.Duration // from each proposal until the first member applied it
	Applied   []time.Duration // from each proposal until all members had applied it
	Elected   []time.Duration // from each fault of the leader (Fault.Member below 0) until another member leads
}

// Cost is the raft traffic that one member sent, and the bytes that it proposed.
type Cost struct{ Messages, Bytes, Proposed int }

// Line summarizes a history in one line.
func (r *Result) Line(seed uint64) string {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "BROKEN " + strings.Join(r.Violations, "; ")
	}
	return fmt.Sprintf("seed %d: %s; %d machines done, %d leaders, digest %016x", seed, verdict, r.MachinesDone, r.LeaderChanges, r.Digest)
}

// violatedRule returns the rule that the history violates first; empty if it violates none.
func (r *Result) violatedRule() string {
	if len(r.Violations) == 0 {
		return ""
	}
	_, text, _ := strings.Cut(r.Violations[0], " ") // after the time
	rule, _, _ := strings.Cut(text, ":")
	return rule
}
