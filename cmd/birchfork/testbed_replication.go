//go:build !lean

package main

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"birchfork/internal/replication"
	"birchfork/internal/testbed/simulation"
)

// testbedReplication simulates replicas of operator overrides.
type testbedReplication struct {
	Members      []int         `help:"Sizes of the group." default:"3" placeholder:"N"`
	Overrides    int           `name:"words" help:"Number of overrides to write." default:"30" placeholder:"N"`
	Workers      int           `name:"runners" help:"Number of workers that the overrides concern; 0: one per override, and none is enabled again." default:"6" placeholder:"N"`
	WriteFor     time.Duration `name:"say" help:"Time over which overrides are written at random members; 0: the first member has all of them from the beginning." default:"20s" placeholder:"TIME"`
	PartitionFor time.Duration `name:"cut" help:"Time for which the first member is partitioned, from the beginning." placeholder:"TIME"`
	Faults       int           `help:"Number of partitions and of lost or outdated disks, at random times within --say; none if that is 0." default:"10" placeholder:"N"`
	IdleFor      time.Duration `name:"idle" help:"Idle time that is measured after convergence." placeholder:"TIME"`
	Seed         uint64        `help:"Seed of the first history; the others use the following seeds." default:"1"`
	Runs         int           `help:"Number of histories per group size." default:"100"`
}

// Run simulates histories on all cores of the machine and prints one line per group size.
func (c *testbedReplication) Run(out output) error {
	switch {
	case slices.Min(c.Members) < 2 || c.Overrides < 1 || c.Runs < 1:
		return errors.New("--members must be at least 2, and --words and --runs at least 1")
	case c.Overrides > replication.MaxOverrides && c.Workers == 0:
		return fmt.Errorf("--words: invalid value %d: with --runners 0 it must be at most %d, the number of workers with an override that a member accepts", c.Overrides, replication.MaxOverrides)
	}
	t := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "simulated: members\thistories\tbroken\tconvergence s: median, maximum\tmessages per member\tkB per member\tidle, per member and second: messages, bytes")
	broken := 0
	for _, n := range c.Members {
		results := c.simulate(n)
		var convergence []time.Duration
		var messages, bytes, idle, idleBytes float64
		violating := 0
		for i, r := range results {
			if len(r.Violations) > 0 {
				violating++
				fmt.Fprintf(out.stdout, "%d members, seed %d: BROKEN %v\n", n, c.Seed+uint64(i), r.Violations)
			}
			convergence = append(convergence, r.ConvergedAfter)
			messages, bytes = messages+float64(r.Messages), bytes+float64(r.Bytes)
			idle, idleBytes = idle+float64(r.Idle.Messages), idleBytes+float64(r.Idle.Bytes)
		}
		slices.Sort(convergence)
		perMember := float64(n * len(results))
		fmt.Fprintf(t, "%d\t%d\t%d\t%.2f, %.2f\t%.0f\t%.1f\t%.1f, %.0f\n", n, len(results), violating, convergence[len(convergence)/2].Seconds(), convergence[len(convergence)-1].Seconds(),
			messages/perMember, bytes/1000/perMember, idle/perMember, idleBytes/perMember)
		broken += violating
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if broken > 0 {
		return errRuleViolated
	}
	return nil
}

func (c *testbedReplication) simulate(members int) []*simulation.ReplicationResult {
	results := make([]*simulation.ReplicationResult, c.Runs)
	var done sync.WaitGroup
	for core := range runtime.GOMAXPROCS(0) {
		done.Go(func() {
			for i := core; i < c.Runs; i += runtime.GOMAXPROCS(0) {
				results[i] = simulation.SimulateReplication(simulation.ReplicationOptions{
					Seed: c.Seed + uint64(i), Members: members, Overrides: c.Overrides, Workers: c.Workers, WriteFor: c.WriteFor, PartitionFor: c.PartitionFor, Faults: c.Faults, IdleFor: c.IdleFor,
				})
			}
		})
	}
	done.Wait()
	return results
}
