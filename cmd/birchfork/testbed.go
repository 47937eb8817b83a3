//go:build !lean

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"birchfork/internal/testbed/mutant"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// TestbedCommands contains the testbed's commands. A lean build does not have them.
type TestbedCommands struct {
	Testbed testbedCommands `cmd:"" help:"Run a whole deployment on loopback and check its invariants."`
}

// testbedCommands are the commands below testbed.
type testbedCommands struct {
	Run     testbedRun     `cmd:"" help:"Run a scenario on loopback, check the four rules from outside, and report the result."`
	Compare testbedCompare `cmd:"" help:"Compare two saved results, or run the same scenarios alternately on two builds."`
	List    testbedList    `cmd:"" help:"List the built-in scenarios, the faults that scenarios inject and the mutants."`
	Show    testbedShow    `cmd:"" help:"Print a built-in scenario, as a file to start from."`
	Report  testbedReport  `cmd:"" help:"Show a saved result again."`
	Table   testbedTable   `cmd:"" help:"Run scenarios under the decision module and the baselines, on several seeds, and print a table."`

	Overhead testbedOverhead `cmd:"" help:"Measure the latency that a dispatcher adds to a direct request to a worker."`
	Scale    testbedScale    `cmd:"" help:"Measure how the cost grows with workers and dispatchers."`

	Simulation  testbedSimulation  `cmd:"" help:"Simulate the cores of a group in virtual time, with faults drawn from a seed."`
	Replication testbedReplication `cmd:"" help:"Simulate replicas of the operator overrides in virtual time: time to convergence and its cost."`
	Cluster     testbedCluster     `cmd:"" help:"Run a group of dispatchers with faults between them, and check its invariants."`

	Member     testbedMember     `cmd:"" hidden:"" help:"Run one member with a failpoint; used by the testbed."`
	Dispatcher testbedDispatcher `cmd:"" hidden:"" help:"Run one dispatcher under a baseline policy, or a mutant; used by the testbed."`
}

type testbedList struct{}

// Run prints the list.
func (testbedList) Run(out output) error {
	fmt.Fprintln(out.stdout, "scenarios:")
	for _, n := range scenario.Shipped() {
		s, err := scenario.Load(n)
		if err != nil {
			return err
		}
		fmt.Fprintf(out.stdout, "  %-16s %s\n", n, s.About)
	}
	fmt.Fprintln(out.stdout, "faults:")
	for _, k := range scenario.FaultKinds {
		fmt.Fprintf(out.stdout, "  %-16s %s\n", k.Kind, k.About)
	}
	fmt.Fprintln(out.stdout, "mutants:")
	for _, f := range mutant.Mutants {
		fmt.Fprintf(out.stdout, "  %-16s %s\n", f.Name, f.About)
	}
	return nil
}

type testbedShow struct {
	Name string `arg:"" help:"A built-in scenario."`
}

// Run prints the scenario.
func (c *testbedShow) Run(out output) error {
	raw, err := scenario.Text(c.Name)
	if err != nil {
		return err
	}
	_, err = out.stdout.Write(raw)
	return err
}

type testbedReport struct {
	File string `arg:"" help:"A saved result."`
	HTML string `help:"Write the result as an HTML page to this file." placeholder:"FILE" name:"html"`
}

// Run prints a saved report.
func (c *testbedReport) Run(out output) error {
	result, err := report.Load(c.File)
	if err != nil {
		return err
	}
	return errors.Join(saveReport(result, "", c.HTML), result.Text(out.stdout))
}

// interruptible returns a context that ends on an interrupt or SIGTERM.
func interruptible() (ctx context.Context, stop context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}

// saveReport writes a report to the given files.
func saveReport(result *report.Report, json, html string) (err error) {
	if json != "" {
		err = result.Save(json)
	}
	if html != "" {
		err = errors.Join(err, result.HTML(html))
	}
	return err
}
