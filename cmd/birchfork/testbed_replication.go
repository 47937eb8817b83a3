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
	Overrides    int           `name:"words" help:"Overrides that are written." default:"30" placeholder:"N"`
	Workers      int           `name:"runners" help:"Workers that they concern; 0: one for each override, and none is enabled again." default:"6" placeholder:"N"`
	WriteFor     time.Duration `name:"say" help:"Time over which they are written, at random members; 0: all are at the first member at the beginning." default:"20s" placeholder:"TIME"`
	PartitionFor time.Duration `name:"cut" help:"Time for which the first member is partitioned, from the beginning." placeholder:"TIME"`
	Faults       int           `help:"Partitions, lost and outdated disks over the same time." default:"10" placeholder:"N"`
	IdleFor      time.Duration `name:"idle" help:"Idle time that is measured after convergence." placeholder:"TIME"`
	Seed         uint64        `help:"Of the first history; the others follow." default:"1"`
	Runs         int           `help:"Histories of each size." default:"100"`
}

// Run simulates histories on all cores of the machine and prints one line per group size.
func (c *testbedReplication) Run(out output) error {
	switch {
	case slices.Min(c.Members) < 2 || c.Overrides < 1 || c.Runs < 1:
		return errors.New("--members is 2 or more, --words and --runs are above 0")
	case c.Overrides > replication.MaxOverrides && c.Workers == 0:
		return fmt.Errorf("--words: %d workers with an override are more than the %d that a member accepts", c.Overrides, replication.MaxOverrides)
	}
	t := tabwriter.NewWriter(out.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "simulated: members\thistories\tbroken\tone after s: median, worst\tmessages a member\tkB a member\tidle, a member and second: messages, bytes")
	broken := 0
	for _, n := range c.Members {
		all := c.simulate(n)
		var one []time.Duration
		var messages, bytes, idle, idleBytes float64
		bad := 0
		for i, r := range all {
			if len(r.Violations) > 0 {
				bad++
				fmt.Fprintf(out.stdout, "%d members, seed %d: BROKEN %v\n", n, c.Seed+uint64(i), r.Violations)
			}
			one = append(one, r.ConvergedAfter)
			messages, bytes = messages+float64(r.Messages), bytes+float64(r.Bytes)
			idle, idleBytes = idle+float64(r.Idle.Messages), idleBytes+float64(r.Idle.Bytes)
		}
		slices.Sort(one)
		each := float64(n * len(all))
		fmt.Fprintf(t, "%d\t%d\t%d\t%.2f, %.2f\t%.0f\t%.1f\t%.1f, %.0f\n", n, len(all), bad, one[len(one)/2].Seconds(), one[len(one)-1].Seconds(),
			messages/each, bytes/1000/each, idle/each, idleBytes/each)
		broken += bad
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
	all := make([]*simulation.ReplicationResult, c.Runs)
	var done sync.WaitGroup
	for core := range runtime.GOMAXPROCS(0) {
		done.Go(func() {
			for i := core; i < c.Runs; i += runtime.GOMAXPROCS(0) {
				all[i] = simulation.SimulateReplication(simulation.ReplicationOptions{
					Seed: c.Seed + uint64(i), Members: members, Overrides: c.Overrides, Workers: c.Workers, WriteFor: c.WriteFor, PartitionFor: c.PartitionFor, Faults: c.Faults, IdleFor: c.IdleFor,
				})
			}
		})
	}
	done.Wait()
	return all
}
