//go:build !lean

package main

import (
	"errors"
	"fmt"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"birchfork/internal/testbed/simulation"
)

// testbedSimulation simulates the cores of a group.
type testbedSimulation struct {
	Members       int    `help:"Members." default:"3"`
	Voters        int    `help:"Members that vote." default:"3"`
	Seed          uint64 `help:"Of the first history; the others follow." default:"1"`
	Runs          int    `help:"Number of histories." default:"1000"`
	Ticks         int    `help:"Their length, in ticks of 50 ms." default:"700"`
	FaultInterval int    `name:"calm" help:"Mean ticks from one fault to the next." default:"48"`
	Fault         string `help:"Enable this fault in the cores." placeholder:"FAULT"`
	Trace         bool   `name:"story" help:"Print a trace of what happens."`
	Behind        []int  `help:"Measure how long a follower that lacks so many entries takes to catch up." placeholder:"N"`
	Measure       []int  `help:"Measure a plan of 12 machines with so many members, in place of injecting faults; 0: from 3 to 300." placeholder:"N"`
}

// Run simulates histories on all cores of the machine; the same seeds give the same histories.
func (c *testbedSimulation) Run(out output) error {
	if c.Fault != "" && !slices.Contains(simulation.Faults, c.Fault) {
		return fmt.Errorf("--fault: %q is none of: %s", c.Fault, strings.Join(simulation.Faults, "; "))
	}
	if len(c.Behind) > 0 {
		return simulation.CatchUp(out.stdout, c.Behind)
	}
	if len(c.Measure) > 0 {
		sizes := c.Measure
		if slices.Contains(sizes, 0) {
			sizes = simulation.Sizes
		}
		if slices.Min(sizes) < 3 {
			return errors.New("--measure: fewer than 3 members are no group")
		}
		return simulation.Measure(out.stdout, sizes, min(c.Runs, maxMeasuredRuns))
	}
	if c.Members < 1 || c.Voters < 1 || c.Voters > c.Members || c.Runs < 1 || c.Ticks < 1 || c.FaultInterval < 1 {
		return errors.New("--members, --voters, --runs, --ticks and --calm are above 0, and no more vote than there are")
	}
	debug.SetGCPercent(400)
	var next atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	broken, done := 0, 0
	var first *simulation.Options
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := next.Add(1) - 1; i < int64(c.Runs); i = next.Add(1) - 1 {
				o := simulation.Options{Seed: c.Seed + uint64(i), Members: c.Members, Voters: c.Voters, Ticks: c.Ticks, Calm: c.FaultInterval, Fault: c.Fault}
				if c.Trace && c.Runs == 1 {
					o.Story = out.stdout
				}
				r, err := simulation.Play(o)
				mu.Lock()
				if failed = errors.Join(failed, err); err == nil {
					if done += r.Done; len(r.Broken) > 0 {
						broken++
						fmt.Fprintln(out.stdout, r.Line(o.Seed))
						if first == nil || o.Seed < first.Seed {
							first = &o
						}
					}
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	fmt.Fprintf(out.stdout, "simulated: %d histories of %d members, %d voters, %d ticks: %d with a broken rule, %d machines done\n",
		c.Runs, c.Members, c.Voters, c.Ticks, broken, done)
	if failed == nil && broken > 0 {
		return errors.Join(c.explain(out, *first), errRuleViolated)
	}
	return failed
}

// explain prints the trace of a history that violates a rule, reduced to the fewest faults that still do.
func (c *testbedSimulation) explain(out output, options simulation.Options) error {
	minimal, result, err := simulation.CutDown(options)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "seed %d, reduced to %d ticks and %d faults:\n", minimal.Seed, minimal.Ticks, len(minimal.Troubles))
	minimal.Story = out.stdout
	if result, err = simulation.Play(minimal); err == nil {
		fmt.Fprintln(out.stdout, result.Line(minimal.Seed))
	}
	return err
}

// maxMeasuredRuns bounds the histories that --measure simulates for each size.
const maxMeasuredRuns = 5
