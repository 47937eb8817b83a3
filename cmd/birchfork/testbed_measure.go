//go:build !lean

package main

import (
	"fmt"
	"slices"
	"time"

	"birchfork/internal/testbed"
	"birchfork/internal/testbed/scenario"
)

type testbedTable struct {
	Scenarios []string      `arg:"" optional:"" help:"Scenarios; none: all built-in ones."`
	Seeds     []uint64      `help:"The seeds." default:"1,2,3"`
	Policies  []string      `help:"Decision policies to compare." default:"rules,random,round-robin,least"`
	For       time.Duration `help:"Length in place of the scenarios'." placeholder:"TIME"`
	Parallel  int           `name:"side" help:"Number of runs in parallel; each needs one or two cores." default:"3"`
}

// Run runs all scenarios and prints a table.
func (c *testbedTable) Run(out output) error {
	names := c.Scenarios
	if len(names) == 0 {
		names = slices.DeleteFunc(scenario.Shipped(), func(n string) bool { return n == mutantScenario })
	}
	ctx, stop := interruptible()
	defer stop()
	var cells []testbed.Cell
	for _, n := range names {
		for _, p := range c.Policies {
			for _, seed := range c.Seeds {
				flags := scenarioFlags{Scenario: n, For: c.For}
				selected, err := flags.load()
				if err != nil {
					return err
				}
				launch, err := dispatcherLauncher(p, "")
				if err != nil {
					return err
				}
				cells = append(cells, testbed.Cell{Row: n, Column: p, Options: testbed.Options{Scenario: selected, Seed: seed, Policy: p, Launch: launch}})
			}
		}
	}
	broken, err := testbed.Table(ctx, out.stdout, cells, c.Parallel)
	if err == nil && broken {
		err = errRuleViolated
	}
	return err
}

type testbedOverhead struct {
	Clients []int         `help:"Closed-loop clients." default:"1,32,128"`
	For     time.Duration `help:"Length of each measurement." default:"3s"`
	Rounds  int           `help:"Number of rounds; each measures first direct requests, then requests through a dispatcher." default:"3"`
	Profile string        `help:"Write a CPU profile of the dispatcher under the most clients to this file." placeholder:"FILE"`
}

// Run prints the added latency.
func (c *testbedOverhead) Run(out output) error {
	launch, err := dispatcherLauncher(testbed.PolicyRules, "")
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	return testbed.Overhead(ctx, out.stdout, testbed.OverheadOptions{Launch: launch, Clients: c.Clients, Length: c.For, Rounds: c.Rounds, Profile: c.Profile})
}

type testbedScale struct {
	Workers     []int         `help:"Numbers of workers." default:"10,100,300"`
	Dispatchers []int         `help:"Numbers of dispatchers." default:"1,4,16"`
	Rate        float64       `help:"Requests per second for each worker." default:"6"`
	For         time.Duration `help:"Length of each run." default:"8s"`
	Seed        uint64        `help:"The seed." default:"1"`
}

// Run prints the cost for each number of workers and dispatchers.
func (c *testbedScale) Run(out output) error {
	launch, err := dispatcherLauncher(testbed.PolicyRules, "")
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	var cells []testbed.Cell
	for _, w := range c.Workers {
		for _, n := range c.Dispatchers {
			flags := scenarioFlags{Scenario: "calm", Rate: c.Rate * float64(w), For: c.For, Workers: w, Dispatchers: n}
			selected, err := flags.load()
			if err != nil {
				return err
			}
			cells = append(cells, testbed.Cell{Row: fmt.Sprintf("%d workers", w), Column: fmt.Sprintf("%d dispatchers", n),
				Options: testbed.Options{Scenario: selected, Seed: c.Seed, Policy: testbed.PolicyRules, Launch: launch}})
		}
	}
	broken, err := testbed.Table(ctx, out.stdout, cells, 1)
	if err == nil && broken {
		err = errRuleViolated
	}
	return err
}
