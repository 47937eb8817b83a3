package simulation

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
	"time"

	"birchfork/internal/maintenance"
)

const (
	proposalsPerTick = 64 // while a follower is partitioned
	commitTicks      = 20 // in which the last proposals are committed
)

// CatchUp partitions one follower of a group of three while the leader commits entries. For each number of entries it prints how long the
// follower takes to catch up, and the number of messages and bytes. The follower catches up from the log or, if the log no longer has the
// entries, from a snapshot. The links are simulated as for Measure.
func CatchUp(output io.Writer, entryCounts []int) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "entries behind\tcatch-up s\tmessages sent by leader and follower\tkB")
	for _, entries := range entryCounts {
		if err := measureCatchUp(table, entries); err != nil {
			return err
		}
	}
	return table.Flush()
}

// measureCatchUp simulates a follower that is the given number of entries behind, and prints the row of the table.
func measureCatchUp(output io.Writer, entries int) error {
	w, err := newWorld(Options{Seed: 1, Members: 3, Voters: 3, Ticks: measuredIdleTicks, Idle: true, Faults: []Fault{}})
	if err != nil {
		return err
	}
	for w.tick < measuredIdleTicks {
		w.advance()
	}
	follower, leader := w.members[2], w.members[w.leader]
	if follower == leader {
		follower = w.members[1]
	}
	w.partition(follower, BothDirections, math.MaxInt)
	w.commitEntries(leader, entries)
	w.partition(follower, BothDirections, 0)

	clear(w.result.Costs)
	start := w.tick
	target := leader.state.AppliedIndex
	for w.tick < start+maxMeasuredTicks && follower.state.AppliedIndex < target {
		w.advance()
	}
	if follower.state.AppliedIndex < target {
		return fmt.Errorf("a follower that was %d entries behind has not caught up after %v", entries, maxMeasuredTicks*tickInterval)
	}
	duration := time.Duration(w.tick-start) * tickInterval
	followerCost, leaderCost := w.result.Costs[follower.index], w.result.Costs[leader.index]
	fmt.Fprintf(output, "%d\t%.2f\t%d\t%.1f\n", entries, duration.Seconds(), leaderCost.Messages+followerCost.Messages, float64(leaderCost.Bytes+followerCost.Bytes)/1000)
	return nil
}

// commitEntries makes a leader commit at least the given number of entries, which change nothing.
func (w *world) commitEntries(leader *member, entries int) {
	for proposed := 0; proposed < entries; {
		for range proposalsPerTick {
			leader.propose(maintenance.Command{ID: fmt.Sprint(proposed), Kind: maintenance.CommandPausePlan, Name: "none"})
			proposed++
		}
		w.advance()
		clear(w.proposedAt)
	}
	for range commitTicks {
		w.advance()
	}
}
