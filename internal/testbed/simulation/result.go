package simulation

import (
	"fmt"
	"strings"
	"time"
)

// Result is the outcome of a history simulated by Simulate.
type Result struct {
	Violations    []string // with time, rule and evidence; a history ends with the tick of the first violation
	MachinesDone  int      // machines that the plan has finished
	LeaderChanges int
	Digest        uint64 // hash of all committed entries
	Ticks         int    // length of the history
	Times
	Costs []Cost // by member, from when all members had joined or, with a plan, from its start
}

// Times are times and durations on the world's clock. A time that was not reached is 0.
type Times struct {
	Bootstrapped time.Duration // when all members had joined
	Started      time.Duration // when the plan was started
	Drained      time.Duration // when operators first claimed a drained machine
	Ended        time.Duration // when the plan had ended

	Committed []time.Duration // from each proposal until the first member applied it
	Applied   []time.Duration // from each proposal until all members had applied it
	Elected   []time.Duration // from each fault of the leader (negative Fault.Member) until another member leads
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

// violatedRule returns the first violated rule, or an empty string if there is none.
func (r *Result) violatedRule() string {
	if len(r.Violations) == 0 {
		return ""
	}
	_, text, _ := strings.Cut(r.Violations[0], " ") // after the time
	rule, _, _ := strings.Cut(text, ":")
	return rule
}
