//go:build !lean

package main

import (
	"cmp"
	"fmt"
	"os/exec"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/testbed/cluster"
)

// testbedCluster contains the commands for groups of dispatchers.
type testbedCluster struct {
	Run  testbedClusterRun  `cmd:"" default:"withargs" help:"Run scenarios."`
	List testbedClusterList `cmd:"" help:"List the built-in scenarios, the kinds of faults and the failpoints."`
}

// testbedClusterRun runs scenarios of a group.
type testbedClusterRun struct {
	Scenario        string        `arg:"" optional:"" help:"A built-in scenario, or a TOML file of scenarios, with a / or . in its name. Without it, faults are drawn from the seed."`
	Members         int           `help:"Members, each a process of its own, in place of the scenario's 3." placeholder:"N"`
	Seed            uint64        `help:"Seed of the run and its faults; with --runs, of the first run." default:"1"`
	Runs            int           `help:"Number of runs, one after the other, each with the next seed." default:"1"`
	For             time.Duration `help:"Length of a run in place of the scenario's 24s." placeholder:"TIME"`
	RandomFaults    int           `name:"storm" help:"Number of faults drawn from the seed; 4 if no scenario is given." default:"-1" placeholder:"N"`
	RandomOverrides int           `name:"say" help:"Number of operator overrides drawn from the seed." placeholder:"N"`
	Machines        int           `help:"Machines of the plan in place of the scenario's 2." default:"-1" placeholder:"N"`
	MaxUnavailable  int           `name:"out" help:"Machines that may be unavailable at a time in place of the scenario's 1." placeholder:"N"`
	Work            time.Duration `help:"How long each machine is in maintenance, in place of the scenario's." placeholder:"TIME"`
	Lease           time.Duration `help:"The group's lease in place of the scenario's 1s." placeholder:"TIME"`
	Diskless        bool          `help:"Members persist nothing across restarts."`
	Failpoint       string        `name:"plant" help:"Enable this failpoint in every member, to see the invariant checker catch it." placeholder:"FAULT"`
	Logs            string        `help:"Write each member's log to a file in this folder." placeholder:"DIR" type:"existingdir"`
	JSON            string        `help:"Append the results to this file, one line per run." placeholder:"FILE" name:"json"`
	HTML            string        `help:"Write the last run as an HTML page to this file." placeholder:"FILE" name:"html"`
}

// defaultRandomFaults is the number of random faults if no scenario is given.
const defaultRandomFaults = 4

// load returns the selected scenarios with the flags applied.
func (c *testbedClusterRun) load() ([]cluster.Scenario, error) {
	if c.Failpoint != "" && !slices.Contains(failpoint.Names, c.Failpoint) {
		return nil, fmt.Errorf("--plant: unknown failpoint %q: must be one of %s", c.Failpoint, strings.Join(failpoint.Names, ", "))
	}
	scenarios, err := c.selected()
	if err != nil {
		return nil, err
	}
	if c.Runs < 1 {
		return nil, fmt.Errorf("--runs: invalid value %d: must be at least 1", c.Runs)
	}
	for i := range scenarios {
		c.applyFlags(&scenarios[i])
		if err := scenarios[i].Check(); err != nil {
			return nil, err
		}
	}
	return scenarios, nil
}

// selected returns the scenarios given by name, those that detect the failpoint, or one with random faults from the seed.
func (c *testbedClusterRun) selected() ([]cluster.Scenario, error) {
	switch {
	case c.Scenario != "":
		return cluster.Load(c.Scenario)
	case c.Failpoint != "":
		return cluster.Load("proof-" + c.Failpoint)
	}
	random := cluster.DefaultScenario()
	random.Name = "storm"
	random.RandomFaults = defaultRandomFaults
	return []cluster.Scenario{random}, nil
}

// applyFlags replaces values of a scenario by those of the flags that are set.
func (c *testbedClusterRun) applyFlags(s *cluster.Scenario) {
	s.Members = cmp.Or(c.Members, s.Members)
	s.For = cmp.Or(c.For, s.For)
	s.MaxUnavailable = cmp.Or(c.MaxUnavailable, s.MaxUnavailable)
	s.Work = cmp.Or(c.Work, s.Work)
	s.Lease = cmp.Or(c.Lease, s.Lease)
	s.Failpoint = cmp.Or(c.Failpoint, s.Failpoint)
	s.Diskless = s.Diskless || c.Diskless
	s.RandomOverrides = cmp.Or(c.RandomOverrides, s.RandomOverrides)
	if c.RandomFaults != -1 {
		s.RandomFaults = c.RandomFaults
	}
	if c.Machines != -1 {
		s.Machines = c.Machines
	}
}

// Run runs all scenarios with all seeds.
func (c *testbedClusterRun) Run(out output) error {
	scenarios, err := c.load()
	if err != nil {
		return err
	}
	executable, err := executablePath()
	if err != nil {
		return fmt.Errorf("locating this executable: %w", err)
	}
	options := cluster.Options{Logs: c.Logs, Launch: memberLauncher(executable)}
	ctx, stop := interruptible()
	defer stop()
	var sum cluster.Summary
	for i := 0; i < c.Runs && ctx.Err() == nil; i++ {
		options.Seed = c.Seed + uint64(i)
		for _, options.Scenario = range scenarios {
			result, err := cluster.Run(ctx, options)
			if err != nil {
				return fmt.Errorf("seed %d: %w", options.Seed, err)
			}
			sum.Add(result)
			if err := c.report(out, result, options.Seed); err != nil {
				return err
			}
		}
	}
	fmt.Fprintln(out.stdout, sum.Line())
	if sum.Failed > 0 {
		return errRuleViolated
	}
	return nil
}

// memberLauncher returns a function that starts one member of a group: this program as is, or with a failpoint enabled.
func memberLauncher(executable string) func(failpoint, config, operator string) *exec.Cmd {
	return func(failpoint, config, operator string) *exec.Cmd {
		if failpoint != "" {
			return exec.Command(executable, "testbed", "member", "--plant", failpoint, "--config", config, "--operator", operator)
		}
		return exec.Command(executable, "serve", "--config", config, "--operator", operator)
	}
}

// report prints the result of a run and writes it to the given files.
func (c *testbedClusterRun) report(out output, result *cluster.Result, seed uint64) error {
	fmt.Fprintln(out.stdout, result.Line(seed))
	for _, violation := range result.Report.Violations {
		fmt.Fprintln(out.stdout, "   ", violation)
	}
	for _, crash := range result.Report.CrashNotes {
		fmt.Fprintln(out.stdout, "   ", crash)
	}
	if c.JSON != "" {
		if err := result.Append(c.JSON, seed); err != nil {
			return err
		}
	}
	if c.HTML != "" {
		return result.Report.HTML(c.HTML)
	}
	return nil
}

type testbedClusterList struct {
	Text bool `help:"Print the scenarios as a file to start from."`
}

// Run prints the list.
func (c *testbedClusterList) Run(out output) error {
	if c.Text {
		_, err := fmt.Fprint(out.stdout, cluster.Shipped())
		return err
	}
	all, err := cluster.Decode("shipped.toml", []byte(cluster.Shipped()))
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\n", s.Name, s.About)
	}
	fmt.Fprintf(t, "\nfaults\t%s\nfailpoints\t%s\nrules\t%s\n", strings.Join(cluster.FaultKinds, ", "), strings.Join(failpoint.Names, ", "), strings.Join(cluster.Rules, ", "))
	return t.Flush()
}
