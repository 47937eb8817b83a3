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

// testbedSimulation simulates the cores of a group's members.
type testbedSimulation struct {
	Members       int    `help:"Members." default:"3"`
	Voters        int    `help:"Members that vote." default:"3"`
	Seed          uint64 `help:"Seed of the first history; the others use the following seeds." default:"1"`
	Runs          int    `help:"Number of histories." default:"1000"`
	Ticks         int    `help:"Length of a history, in ticks of 50 ms." default:"700"`
	FaultInterval int    `name:"calm" help:"Mean number of ticks between faults." default:"48"`
	Fault         string `help:"Simulate the mutant of the cores with this fault." placeholder:"FAULT"`
	Trace         bool   `name:"story" help:"Print a trace of the events, if --runs is 1."`
	Behind        []int  `help:"Measure how long a follower that lacks this many entries takes to catch up." placeholder:"N"`
	Measure       []int  `help:"Measure a plan of 12 machines with this many members, without a fault and with a paused leader; 0: sizes from 3 to 300." placeholder:"N"`
}

// Run simulates histories on all cores of the machine; the same seeds give the same histories.
func (c *testbedSimulation) Run(out output) error {
	if c.Fault != "" && !slices.Contains(simulation.Mutants, c.Fault) {
		return fmt.Errorf("--fault: unknown fault %q: must be one of: %s", c.Fault, strings.Join(simulation.Mutants, "; "))
	}
	if len(c.Behind) > 0 {
		return simulation.CatchUp(out.stdout, c.Behind)
	}
	if len(c.Measure) > 0 {
		return c.measure(out)
	}
	smallest := min(c.Members, c.Voters, c.Runs, c.Ticks, c.FaultInterval)
	if smallest < 1 || c.Voters > c.Members {
		return errors.New("--members, --voters, --runs, --ticks and --calm must be at least 1, and --voters at most --members")
	}
	result := c.simulate(out)
	fmt.Fprintf(out.stdout, "simulated: %d histories of %d members, %d voters, %d ticks: %d with a broken rule, %d machines done\n",
		c.Runs, c.Members, c.Voters, c.Ticks, result.broken, result.machinesDone)
	if result.err == nil && result.broken > 0 {
		return errors.Join(c.explain(out, *result.firstBroken), errRuleViolated)
	}
	return result.err
}

// measure measures plans in groups of several sizes.
func (c *testbedSimulation) measure(out output) error {
	sizes := c.Measure
	if slices.Contains(sizes, 0) {
		sizes = simulation.Sizes
	}
	if slices.Min(sizes) < 3 {
		return fmt.Errorf("--measure: invalid value %d: must be 0 or at least 3, the smallest group", slices.Min(sizes))
	}
	return simulation.Measure(out.stdout, sizes, min(c.Runs, maxMeasuredRuns))
}

// simulationResult is the sum over several histories.
type simulationResult struct {
	broken       int                 // number of histories that violate a rule
	machinesDone int                 // number of machines that were in maintenance, over all histories
	firstBroken  *simulation.Options // of the history with the lowest seed that violates a rule
	err          error               // of histories that could not be simulated
}

// simulationGCPercent is the garbage collector's target while histories are simulated: heaps are small and short-lived.
const simulationGCPercent = 400

// simulate simulates the histories on all cores. It prints one line for each that violates a rule.
func (c *testbedSimulation) simulate(out output) simulationResult {
	debug.SetGCPercent(simulationGCPercent)
	var next atomic.Int64
	var mu sync.Mutex // guards result and the output
	var result simulationResult
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := next.Add(1) - 1; i < int64(c.Runs); i = next.Add(1) - 1 {
				options := c.options(out, c.Seed+uint64(i))
				history, err := simulation.Simulate(options)
				mu.Lock()
				if err != nil {
					result.err = errors.Join(result.err, err)
				} else {
					result.add(out, options, history)
				}
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	return result
}

// options returns the options of the history for a seed.
func (c *testbedSimulation) options(out output, seed uint64) simulation.Options {
	options := simulation.Options{Seed: seed, Members: c.Members, Voters: c.Voters, Ticks: c.Ticks, FaultInterval: c.FaultInterval, Mutant: c.Fault}
	if c.Trace && c.Runs == 1 {
		options.Trace = out.stdout
	}
	return options
}

// add adds a history, and prints a line if it violates a rule.
func (r *simulationResult) add(out output, options simulation.Options, history *simulation.Result) {
	r.machinesDone += history.MachinesDone
	if len(history.Violations) == 0 {
		return
	}
	r.broken++
	fmt.Fprintln(out.stdout, history.Line(options.Seed))
	if r.firstBroken == nil || options.Seed < r.firstBroken.Seed {
		r.firstBroken = &options
	}
}

// explain prints the trace of a history that violates a rule, reduced to the fewest faults that still cause it.
func (c *testbedSimulation) explain(out output, options simulation.Options) error {
	minimal, _, err := simulation.Minimize(options)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.stdout, "seed %d, reduced to %d ticks and %d faults:\n", minimal.Seed, minimal.Ticks, len(minimal.Faults))
	minimal.Trace = out.stdout
	result, err := simulation.Simulate(minimal)
	if err != nil {
		return err
	}
	fmt.Fprintln(out.stdout, result.Line(minimal.Seed))
	return nil
}

// maxMeasuredRuns limits the histories that --measure simulates for each size.
const maxMeasuredRuns = 5
