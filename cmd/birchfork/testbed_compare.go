//go:build !lean

package main

import (
	"context"
	"errors"
	"fmt"
	"os/exec"
	"path/filepath"
	"time"

	"birchfork/internal/testbed"
	"birchfork/internal/testbed/report"
)

// testbedCompare compares results: saved ones, or those of alternating runs.
type testbedCompare struct {
	Results  []string      `arg:"" optional:"" help:"Two saved results of the same scenario and seed."`
	Against  string        `help:"Another build of this program, on which the same scenarios run alternately." placeholder:"BINARY"`
	Operator string        `help:"An operator's file for this build. Runs alternate between this build with the file and this build without it or the build of --against." placeholder:"FILE"`
	Scenario string        `name:"day" help:"With --against: the scenario." default:"calm" placeholder:"SCENARIO"`
	Seeds    []uint64      `help:"With --against: the seeds." default:"1,2,3"`
	For      time.Duration `help:"With --against: length in place of the scenario's." placeholder:"TIME"`
}

// variant is one of the two sides of a comparison.
type variant struct {
	name   string
	launch testbed.Launch
}

// Run prints the differences between results.
func (c *testbedCompare) Run(out output) error {
	if c.Against == "" && c.Operator == "" {
		return c.compareSaved(out)
	}
	if len(c.Results) != 0 {
		return errors.New("--against and --operator run scenarios themselves and take no saved results")
	}
	sides, err := c.variants()
	if err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	pairs, broken, err := c.runPairs(ctx, sides)
	if err != nil {
		return err
	}
	if err := report.Compare(out.stdout, pairs, sides[0].name, sides[1].name); err != nil {
		return err
	}
	if broken {
		return errRuleViolated
	}
	return nil
}

// compareSaved compares the two given saved results.
func (c *testbedCompare) compareSaved(out output) error {
	if len(c.Results) != 2 {
		return fmt.Errorf("expected two saved results, --against BINARY or --operator FILE; got %d saved results", len(c.Results))
	}
	a, err := report.Load(c.Results[0])
	if err != nil {
		return err
	}
	b, err := report.Load(c.Results[1])
	if err != nil {
		return err
	}
	return report.Compare(out.stdout, [][2]*report.Report{{a, b}}, filepath.Base(c.Results[0]), filepath.Base(c.Results[1]))
}

// variants returns this build, with the operator's file if one is given, and the variant that it is compared with.
func (c *testbedCompare) variants() (sides [2]variant, err error) {
	launch, err := dispatcherLauncher(testbed.PolicyRules, "")
	if err != nil {
		return sides, err
	}
	sides[0] = variant{"this build", launch}
	sides[1] = variant{"without the file", launch}
	if c.Against != "" {
		if _, err := exec.LookPath(c.Against); err != nil {
			return sides, fmt.Errorf("--against: %w", err)
		}
		sides[1] = variant{filepath.Base(c.Against), launchProgram(c.Against, "serve")}
	}
	if c.Operator != "" {
		launch, err = withOperatorFile(launch, c.Operator, testbed.PolicyRules)
		sides[0] = variant{"with the file", launch}
	}
	return sides, err
}

// runPairs runs the scenario for each seed, on both sides alternately, until ctx ends. broken reports whether a rule was violated.
func (c *testbedCompare) runPairs(ctx context.Context, sides [2]variant) (pairs [][2]*report.Report, broken bool, err error) {
	for _, seed := range c.Seeds {
		var pair [2]*report.Report
		for i, side := range sides {
			flags := scenarioFlags{Scenario: c.Scenario, For: c.For}
			selected, err := flags.load()
			if err != nil {
				return nil, false, err
			}
			options := testbed.Options{Scenario: selected, Seed: seed, Policy: testbed.PolicyRules, Launch: side.launch}
			if pair[i], err = testbed.Run(ctx, options); err != nil {
				return nil, false, err
			}
			broken = broken || pair[i].Broken()
		}
		if ctx.Err() != nil {
			break
		}
		pairs = append(pairs, pair)
	}
	return pairs, broken, nil
}
