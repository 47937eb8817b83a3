//go:build !lean

package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/schollz/progressbar/v3"

	"birchfork/internal/testbed"
	"birchfork/internal/testbed/cluster"
	"birchfork/internal/testbed/scenario"
)

// mutantScenario is the scenario that detects every mutant.
const mutantScenario = "proof"

// scenarioFlags select a scenario and replace some of its values.
type scenarioFlags struct {
	Scenario    string        `arg:"" optional:"" help:"A built-in scenario (calm by default), or a TOML file, with a / or . in its name."`
	Seed        uint64        `help:"Seed of the scenario: arrivals, sizes, faults, speeds." default:"1"`
	Rate        float64       `help:"Requests a second in place of the scenario's." placeholder:"N"`
	For         time.Duration `help:"Length in place of the scenario's; later faults are left out." placeholder:"TIME"`
	Workers     int           `help:"Workers in place of the scenario's, in the same proportions." placeholder:"N"`
	Dispatchers int           `help:"Dispatchers in place of the scenario's." placeholder:"N"`
	Storm       bool          `help:"Inject further faults drawn from the seed, several at once."`
}

// load returns the selected scenario.
func (f *scenarioFlags) load() (*scenario.Scenario, error) {
	if f.Scenario == "" {
		f.Scenario = "calm"
	}
	s, err := scenario.Load(f.Scenario)
	if err != nil {
		return nil, err
	}
	if f.Rate < 0 || f.For < 0 || f.Workers < 0 || f.Dispatchers < 0 {
		return nil, errors.New("--rate, --for, --workers and --dispatchers must be above 0")
	}
	return s, s.Override(f.Rate, f.For, f.Workers, f.Dispatchers)
}

type testbedRun struct {
	scenarioFlags
	Policy            string `help:"Decision policy: rules (the decision module), random, round-robin or least." default:"rules"`
	Operator          string `help:"The operator's file of the dispatchers." placeholder:"FILE"`
	Group             bool   `help:"The dispatchers form a group (docs/replication.md)."`
	Mutant            string `name:"plant" help:"Run the mutant with this fault instead, to see the invariant checker catch it." placeholder:"FAULT"`
	JSON              string `help:"Save the result to this file." placeholder:"FILE" name:"json"`
	HTML              string `help:"Write the result as an HTML page to this file." placeholder:"FILE" name:"html"`
	MeasureThroughput bool   `name:"ceiling" help:"Measure the testbed's own maximum throughput first." default:"true" negatable:""`
}

// Run runs the scenario and prints its report.
func (c *testbedRun) Run(out output) error {
	if c.Mutant != "" && c.Scenario == "" {
		c.Scenario = mutantScenario
	}
	selected, err := c.load()
	if err != nil {
		return err
	}
	launch, err := dispatcherLauncher(c.Policy, c.Mutant)
	if err != nil {
		return err
	}
	if launch, err = withOperatorFile(launch, c.Operator, c.Policy); err != nil {
		return err
	}
	ctx, stop := interruptible()
	defer stop()
	options := testbed.Options{Scenario: selected, Seed: c.Seed, RandomFaults: c.Storm, Policy: c.Policy, Mutant: c.Mutant, Launch: launch, MeasureThroughput: c.MeasureThroughput}
	if c.Group {
		if c.Operator != "" || c.Policy != testbed.PolicyRules || c.Mutant != "" {
			return errors.New("--group makes an operator's file of its own and cannot be combined with --operator, --policy or --plant")
		}
		removeGroup, err := cluster.FormGroup(&options)
		if err != nil {
			return fmt.Errorf("--group: %w", err)
		}
		defer removeGroup()
	}
	stopProgress := showProgress(out.stderr, &options)
	result, err := testbed.Run(ctx, options)
	stopProgress()
	if err != nil {
		return err
	}
	if err := errors.Join(saveReport(result, c.JSON, c.HTML), result.Text(out.stdout)); err != nil {
		return err
	}
	if result.Broken() {
		return errRuleViolated
	}
	return nil
}

// showProgress shows a progress bar on a terminal. The returned function removes it.
func showProgress(w io.Writer, options *testbed.Options) func() {
	terminal, ok := w.(*os.File)
	if !ok {
		return func() {}
	}
	if info, err := terminal.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(terminal), progressbar.OptionSetDescription("requests"),
		progressbar.OptionClearOnFinish(), progressbar.OptionShowCount())
	options.Progress = func(done, all int) {
		bar.ChangeMax(all)
		_ = bar.Set(done) // failing to draw the progress bar does not fail the run
	}
	return func() { _ = bar.Clear() }
}
