package simulation

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Parameters of the measured histories.
const (
	measuredMachines  = 12
	measuredZones     = 3
	maxMeasuredTicks  = 4000 // 200 s
	measuredIdleTicks = 200  // length of a history without a plan
	leaderPauseTick   = 300
	leaderPauseTicks  = 200 // 10 s
)

// The faults for which Measure prints a row per group.
const (
	measuredWithoutFault = "none"
	measuredLeaderPause  = "leader paused"
)

// Sizes are the default group sizes of Measure.
var Sizes = []int{3, 5, 9, 30, 100, 300}

// Measure simulates a plan of 12 machines in 3 zones for each group size, without a fault and with a leader that is paused for 10 s, and
// prints durations and costs. A duration is printed as the median and the maximum over all histories. The links are simulated: messages take
// 50 to 100 ms, some longer, and one in 50 is lost.
func Measure(output io.Writer, sizes []int, runs int) error {
	table := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "members\tvoters\tfault\tnew leader s\tentry committed s\tapplied by all s\tstart to first drained s\tplan s\tidle kB/s: leader, other\tidle messages/s\tkB per entry: leader, proposed")
	for _, members := range sizes {
		for _, fault := range []string{measuredWithoutFault, measuredLeaderPause} {
			m := &measurement{members: members, voters: measuredVoters(members), fault: fault, runs: runs}
			for run := range runs {
				if err := m.addHistory(uint64(run) + 1); err != nil {
					return err
				}
			}
			m.print(table)
		}
	}
	return table.Flush()
}

// measuredVoters returns the number of voters in a group of the given size.
func measuredVoters(members int) int {
	if members >= 5 {
		return 5
	}
	return 3
}

// measurement aggregates the histories of a row.
type measurement struct {
	members, voters int
	fault           string
	runs            int
	durations       measuredDurations
	costs           measuredCosts
}

// measuredDurations are the durations of all histories.
type measuredDurations struct{ elected, committed, applied, drained, ended []time.Duration }

// measuredCosts are mean costs over all histories.
type measuredCosts struct {
	idleLeader, idleOther float64 // kB per second and member
	idleMessages          float64 // per second, of the whole group
	entryLeader           float64 // kB that the leader sends per entry
	entryProposed         float64 // kB per proposed entry
}

// addHistory simulates one history and adds it to the measurement. Seeds start at 1.
func (m *measurement) addHistory(seed uint64) error {
	options := Options{
		Seed: seed, Members: m.members, Voters: m.voters, Machines: measuredMachines, Zones: measuredZones,
		Ticks: maxMeasuredTicks, Faults: []Fault{}, StopWithPlan: true,
	}
	if m.fault == measuredLeaderPause {
		options.Faults = []Fault{{Tick: leaderPauseTick, Kind: Pause, Member: -1, Ticks: leaderPauseTicks}}
	}
	result, err := Simulate(options)
	if err != nil {
		return err
	}
	if len(result.Violations) > 0 || result.Ended == 0 {
		return fmt.Errorf("%d members, seed %d: %s", m.members, seed, result.Line(seed))
	}
	m.durations.add(result)
	if m.fault == measuredLeaderPause {
		return nil
	}
	options.Ticks, options.Idle = int(result.Bootstrapped/tickInterval)+measuredIdleTicks, true
	idle, err := Simulate(options)
	if err != nil {
		return err
	}
	m.addIdleCosts(idle)
	m.addEntryCosts(result, seed)
	return nil
}

func (d *measuredDurations) add(result *Result) {
	d.elected = append(d.elected, result.Elected...)
	d.committed = append(d.committed, result.Committed...)
	d.applied = append(d.applied, result.Applied...)
	d.drained = append(d.drained, result.Drained-result.Started)
	d.ended = append(d.ended, result.Ended-result.Started)
}

// addIdleCosts adds the costs of a group without a plan.
func (m *measurement) addIdleCosts(result *Result) {
	seconds := (measuredIdleTicks * tickInterval).Seconds()
	leader := largestCost(result.Costs)
	bytes, messages := 0, 0
	for _, cost := range result.Costs {
		bytes += cost.Bytes
		messages += cost.Messages
	}
	runs := float64(m.runs)
	m.costs.idleMessages += float64(messages) / seconds / runs
	m.costs.idleLeader += float64(leader.Bytes) / 1000 / seconds / runs
	m.costs.idleOther += float64(bytes-leader.Bytes) / float64(m.members-1) / 1000 / seconds / runs
}

// addEntryCosts adds the leader's cost per entry of a plan, minus the mean idle cost of the histories up to this seed.
func (m *measurement) addEntryCosts(result *Result, seed uint64) {
	leader := largestCost(result.Costs)
	runs := float64(m.runs)
	entries := float64(len(result.Committed)) * runs
	idle := m.costs.idleLeader * runs / float64(seed) * (result.Ended - result.Started).Seconds()
	m.costs.entryLeader += (float64(leader.Bytes)/1000 - idle) / entries
	m.costs.entryProposed += float64(leader.Proposed) / 1000 / entries
}

// largestCost returns the cost of the member that sent the most bytes, which is the leader.
func largestCost(costs []Cost) Cost {
	return slices.MaxFunc(costs, func(a, b Cost) int { return a.Bytes - b.Bytes })
}

func (m *measurement) print(output io.Writer) {
	costs := "\t\t"
	if c := m.costs; m.fault == measuredWithoutFault {
		costs = fmt.Sprintf("%.1f, %.1f\t%.0f\t%.1f, %.2f", c.idleLeader, c.idleOther, c.idleMessages, c.entryLeader, c.entryProposed)
	}
	d := m.durations
	fmt.Fprintf(output, "%d\t%d\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", m.members, m.voters, m.fault,
		medianAndMax(d.elected), medianAndMax(d.committed), medianAndMax(d.applied), medianAndMax(d.drained), medianAndMax(d.ended), costs)
}

// medianAndMax returns the median and the maximum in seconds, or "-" if there are no durations. It sorts the durations.
func medianAndMax(durations []time.Duration) string {
	if len(durations) == 0 {
		return "-"
	}
	slices.Sort(durations)
	median, longest := durations[len(durations)/2], durations[len(durations)-1]
	return fmt.Sprintf("%.2f, %.2f", median.Seconds(), longest.Seconds())
}
