package simulation

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"birchfork/internal/maintenance"
)

// The plan that is measured, and the day it is measured on.
const (
	measuredMachines = 12
	measuredZones    = 3
	measuredTicks    = 4000 // 200 s
	measuredIdle     = 200  // ticks of a group that has no plan
	leaderLost       = 300  // the tick at which the leader dies, where one does
)

// Sizes are those that Measure goes through by itself.
var Sizes = []int{3, 5, 9, 30, 100, 300}

// Measure plays a plan of 12 machines in 3 zones with so many members, without a fault and with a leader that stands still for
// 10 s, and prints what it took; medians and worst of all runs. Simulated: messages take 50 to 100 ms, and one in 50 is lost.
func Measure(w io.Writer, sizes []int, runs int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "members\tvoters\tfault\tnew leader s\tstep settled s\tin force at all s\tstart to clear s\tplan s\tidle kB/s: leader, other\tidle messages/s\tkB of a step: leader, proposed")
	for _, n := range sizes {
		voters := 3
		if n >= 5 {
			voters = 5
		}
		for _, fault := range []string{"none", "leader stands still"} {
			var led, settled, force, cleared, plan []time.Duration
			var idle, idleOther, messages, step, proposed float64
			for seed := range uint64(runs) {
				o := Options{Seed: seed + 1, Members: n, Voters: voters, Machines: measuredMachines, Zones: measuredZones, Faults: []Fault{}}
				o.Ticks, o.StopWithPlan = measuredTicks, true
				if fault != "none" {
					o.Faults = []Fault{{Tick: leaderLost, Kind: Stop, Member: -1, For: 200}}
				}
				r, err := Simulate(o)
				if err != nil {
					return err
				}
				if len(r.Broken) > 0 || r.Ended == 0 {
					return fmt.Errorf("%d members, seed %d: %s", n, o.Seed, r.Line(o.Seed))
				}
				led, settled, force = append(led, r.Elected...), append(settled, r.Committed...), append(force, r.Applied...)
				cleared, plan = append(cleared, r.Drained-r.Started), append(plan, r.Ended-r.Started)
				if fault != "none" {
					continue
				}
				o.Ticks, o.Idle = int(r.Bootstrapped/tick)+measuredIdle, true
				still, err := Simulate(o)
				if err != nil {
					return err
				}
				seconds := (measuredIdle * tick).Seconds()
				lead := slices.MaxFunc(still.Cost, func(a, b Cost) int { return a.Bytes - b.Bytes })
				all, count := 0, 0
				for _, c := range still.Cost {
					all, count = all+c.Bytes, count+c.Messages
				}
				messages += float64(count) / seconds / float64(runs)
				idle += float64(lead.Bytes) / 1000 / seconds / float64(runs)
				idleOther += float64(all-lead.Bytes) / float64(n-1) / 1000 / seconds / float64(runs)
				lead = slices.MaxFunc(r.Cost, func(a, b Cost) int { return a.Bytes - b.Bytes })
				steps := float64(len(r.Committed)) * float64(runs)
				step += (float64(lead.Bytes)/1000 - idle*float64(runs)/float64(seed+1)*(r.Ended-r.Started).Seconds()) / steps
				proposed += float64(lead.Proposed) / 1000 / steps
			}
			costs := "\t\t"
			if fault == "none" {
				costs = fmt.Sprintf("%.1f, %.1f\t%.0f\t%.1f, %.2f", idle, idleOther, messages, step, proposed)
			}
			fmt.Fprintf(t, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", n, voters, fault, quantiles(led), quantiles(settled), quantiles(force), quantiles(cleared), quantiles(plan), costs)
		}
	}
	return t.Flush()
}

// quantiles is the median and the worst.
func quantiles(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	return fmt.Sprintf("%.2f, %.2f", all[len(all)/2].Seconds(), all[len(all)-1].Seconds())
}

// CatchUp has a follower of three be cut off while so many entries are settled, and prints what it takes from the link's return
// until it has them all: by the log where that still has them, else by a snapshot. Simulated.
func CatchUp(w io.Writer, behind []int) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "entries behind\tcaught up after s\tmessages to it and from it\tkB")
	for _, n := range behind {
		o := Options{Seed: 1, Members: 3, Voters: 3, Ticks: measuredIdle, Idle: true, Faults: []Fault{}}
		v, err := begin(o)
		if err != nil {
			return err
		}
		step := func() {
			v.now = time.Duration(v.ticks) * tick
			v.step()
			v.ticks++
		}
		for v.ticks < measuredIdle {
			step()
		}
		late, lead := v.members[2], v.members[v.leader]
		if late == lead {
			late = v.members[1]
		}
		part := func(until int) {
			for i := range v.members {
				v.partitions[[2]int{late.index, i}], v.partitions[[2]int{i, late.index}] = until, until
			}
		}
		part(1 << 60)
		for i := 0; i < n; {
			for range 64 { // a tick's worth
				v.propose(lead, maintenance.Command{ID: fmt.Sprint(i), Kind: maintenance.CommandPausePlan, Name: "none"})
				i++
			}
			step()
			clear(v.offered)
		}
		for range 20 { // what was proposed is settled
			step()
		}
		part(0)
		clear(v.result.Cost)
		from := v.ticks
		want := lead.state.AppliedIndex
		for v.ticks < from+measuredTicks && late.state.AppliedIndex < want {
			step()
		}
		if late.state.AppliedIndex < want {
			return fmt.Errorf("%d entries behind: it has not caught up in %v", n, measuredTicks*tick)
		}
		c := v.result.Cost
		fmt.Fprintf(t, "%d\t%.2f\t%d\t%.1f\n", n, (time.Duration(v.ticks-from) * tick).Seconds(), c[lead.index].Messages+c[late.index].Messages,
			float64(c[lead.index].Bytes+c[late.index].Bytes)/1000)
	}
	return t.Flush()
}
