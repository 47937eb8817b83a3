//go:build !lean

package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/lab/groups"
	"birchfork/internal/node"
	"birchfork/internal/plant"
)

// labGroup plays groups.
type labGroup struct {
	Members  int           `help:"Members, each a process of its own." default:"3"`
	Seed     uint64        `help:"What the day and its faults are drawn by; with --runs, of the first run." default:"1"`
	Runs     int           `help:"So many runs, one after the other, each with the next seed." default:"1"`
	For      time.Duration `help:"Length of a run." default:"20s"`
	Storm    int           `help:"Faults that are drawn from the seed." default:"4"`
	Machines int           `help:"Machines of the plan." default:"3"`
	Out      int           `help:"Machines that may be away at a time." default:"1"`
	Work     time.Duration `help:"How long staff have each machine." default:"500ms"`
	Lease    time.Duration `help:"The group's lease." default:"1s"`
	Diskless bool          `help:"Members keep nothing over a restart."`
	Plant    string        `help:"Switch this fault on in every member, to see the judge catch it." placeholder:"FAULT"`
	JSON     string        `help:"Keep the results in this file, a line a run." placeholder:"FILE" name:"json"`
}

// Run plays runs until all are through.
func (l *labGroup) Run(out output) error {
	if l.Plant != "" && !slices.Contains(plant.Names, l.Plant) {
		return fmt.Errorf("--plant: %q is none of %s", l.Plant, strings.Join(plant.Names, ", "))
	}
	exe, err := self()
	if err != nil {
		return fmt.Errorf("finding this program: %w", err)
	}
	o := groups.Options{
		Storm: l.Storm, Lease: l.Lease, Work: l.Work, Out: l.Out, Machines: l.Machines, Diskless: l.Diskless,
		Launch: func(config, operator string) *exec.Cmd {
			if l.Plant != "" {
				return exec.Command(exe, "lab", "member", "--plant", l.Plant, "--config", config, "--operator", operator)
			}
			return exec.Command(exe, "serve", "--log-level", "warn", "--config", config, "--operator", operator)
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var sum groups.Sum
	for i := 0; i < l.Runs && ctx.Err() == nil; i++ {
		o.Seed = l.Seed + uint64(i)
		if o.Scenario, err = groups.Day(l.Members, l.For); err != nil {
			return err
		}
		r, err := groups.Run(ctx, o)
		if err != nil {
			return fmt.Errorf("seed %d: %w", o.Seed, err)
		}
		sum.Add(r)
		fmt.Fprintln(out.std, r.Line(o.Seed))
		for _, b := range r.Report.Breaches {
			fmt.Fprintln(out.std, "   ", b)
		}
		for _, c := range r.Report.CrashNotes {
			fmt.Fprintln(out.std, "   ", c)
		}
		if l.JSON != "" {
			if err := r.Append(l.JSON, o.Seed); err != nil {
				return err
			}
		}
	}
	fmt.Fprintln(out.std, sum.Line())
	if sum.Broken > 0 {
		return errBroken
	}
	return nil
}

// labMember is one member with a fault.
type labMember struct {
	Plant    string `required:""`
	Config   string `required:""`
	Operator string `required:""`
}

// Run serves with the fault.
func (l *labMember) Run(out output) error {
	if !slices.Contains(plant.Names, l.Plant) {
		return errors.New("--plant: there is no such fault")
	}
	plant.Set(l.Plant)
	c, err := node.LoadAll(l.Config, l.Operator, "")
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.err)
	log.SetLevel(logrus.WarnLevel)
	return node.Run(c, log, nil)
}
