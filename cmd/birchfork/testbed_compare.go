//go:build !lean

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"birchfork/internal/testbed"
	"birchfork/internal/testbed/report"
)

type testbedCompare struct {
	Results  []string      `arg:"" optional:"" help:"Two saved results of the same scenario and seed."`
	Against  string        `help:"Another build of this program: run the same scenarios in turns." placeholder:"BINARY"`
	Operator string        `help:"An operator's file for this build: the same scenarios in turns with it, and without it or on the other build." placeholder:"FILE"`
	Day      string        `help:"With --against: the scenario." default:"calm" placeholder:"SCENARIO"`
	Seeds    []uint64      `help:"With --against: the seeds." default:"1,2,3"`
	For      time.Duration `help:"With --against: length in place of the scenario's." placeholder:"TIME"`
}

// Run prints how results differ.
func (c *testbedCompare) Run(out output) error {
	if c.Against == "" && c.Operator == "" {
		if len(c.Results) != 2 {
			return errors.New("two kept results are needed, or --against BINARY, or --operator FILE")
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
	if len(c.Results) != 0 {
		return errors.New("--against and --operator run scenarios themselves: name no kept results beside them")
	}
	mine, err := dispatcherLauncher(testbed.PolicyRules, "")
	if err != nil {
		return err
	}
	other, first, second := mine, "this build", "without the file"
	if c.Against != "" {
		if _, err := exec.LookPath(c.Against); err != nil {
			return fmt.Errorf("--against: %w", err)
		}
		other, second = launchProgram(c.Against, "serve"), filepath.Base(c.Against)
	}
	if c.Operator != "" {
		first = "with the file"
		if mine, err = withOperatorFile(mine, c.Operator, testbed.PolicyRules); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var pairs [][2]*report.Report
	broken := false
	for _, seed := range c.Seeds {
		var pair [2]*report.Report
		for k, launch := range []testbed.Launch{mine, other} {
			d := scenarioFlags{Scenario: c.Day, For: c.For}
			s, err := d.load()
			if err != nil {
				return err
			}
			if pair[k], err = testbed.Run(ctx, testbed.Options{Scenario: s, Seed: seed, Policy: testbed.PolicyRules, Launch: launch}); err != nil {
				return err
			}
			broken = broken || pair[k].Broken()
		}
		if ctx.Err() != nil {
			break
		}
		pairs = append(pairs, pair)
	}
	if err := report.Compare(out.stdout, pairs, first, second); err != nil {
		return err
	}
	if broken {
		return errRuleViolated
	}
	return nil
}
