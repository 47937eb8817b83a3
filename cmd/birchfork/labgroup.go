//go:build !lean

package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/failpoint"
	"birchfork/internal/server"
	"birchfork/internal/testbed/cluster"
	"birchfork/internal/testbed/simulation"
)

// labGroup plays groups.
type labGroup struct {
	Play labGroupPlay `cmd:"" default:"withargs" help:"Play it."`
	List labGroupList `cmd:"" help:"List the scenarios that come with the program, the kinds of faults and the faults that can be planted."`
}

type labGroupPlay struct {
	Scenario string        `arg:"" optional:"" help:"A scenario that comes with the program, or a TOML file with some, with a / or . in its name. With none faults are drawn."`
	Members  int           `help:"Members, each a process of its own, in place of the scenario's 3." placeholder:"N"`
	Seed     uint64        `help:"What the day and its faults are drawn by; with --runs, of the first run." default:"1"`
	Runs     int           `help:"So many runs, one after the other, each with the next seed." default:"1"`
	For      time.Duration `help:"Length of a run in place of the scenario's 24s." placeholder:"TIME"`
	Storm    int           `help:"Faults that are drawn from the seed; 4 where no scenario is named." default:"-1" placeholder:"N"`
	Say      int           `help:"Words of staff that are drawn from the seed." placeholder:"N"`
	Machines int           `help:"Machines of the plan in place of the scenario's 2." default:"-1" placeholder:"N"`
	Out      int           `help:"Machines that may be away at a time in place of the scenario's 1." placeholder:"N"`
	Work     time.Duration `help:"How long staff have each machine, in place of the scenario's." placeholder:"TIME"`
	Lease    time.Duration `help:"The group's lease in place of the scenario's 1s." placeholder:"TIME"`
	Diskless bool          `help:"Members keep nothing over a restart."`
	Plant    string        `help:"Switch this fault on in every member, to see the judge catch it." placeholder:"FAULT"`
	Logs     string        `help:"Keep what members log in this folder, a file each." placeholder:"DIR" type:"existingdir"`
	JSON     string        `help:"Keep the results in this file, a line a run." placeholder:"FILE" name:"json"`
	HTML     string        `help:"Draw the last run as a page in this file." placeholder:"FILE" name:"html"`
}

// load returns the scenarios with what the flags put in place of theirs.
func (l *labGroupPlay) load() ([]cluster.Scenario, error) {
	if l.Plant != "" && !slices.Contains(failpoint.Names, l.Plant) {
		return nil, fmt.Errorf("--plant: %q is none of %s", l.Plant, strings.Join(failpoint.Names, ", "))
	}
	name := l.Scenario
	if name == "" && l.Plant != "" {
		name = "proof-" + l.Plant
	}
	all := []cluster.Scenario{cluster.Usual()}
	all[0].Name, all[0].Storm = "storm", 4
	if name != "" {
		var err error
		if all, err = cluster.Load(name); err != nil {
			return nil, err
		}
	}
	if l.Runs < 1 {
		return nil, errors.New("--runs is above 0")
	}
	for i := range all {
		s := &all[i]
		s.Members, s.For, s.Out = cmp.Or(l.Members, s.Members), cmp.Or(l.For, s.For), cmp.Or(l.Out, s.Out)
		s.Work, s.Lease, s.Plant = cmp.Or(l.Work, s.Work), cmp.Or(l.Lease, s.Lease), cmp.Or(l.Plant, s.Plant)
		s.Diskless, s.Say = s.Diskless || l.Diskless, cmp.Or(l.Say, s.Say)
		if l.Storm != -1 {
			s.Storm = l.Storm
		}
		if l.Machines != -1 {
			s.Machines = l.Machines
		}
		if err := s.Check(); err != nil {
			return nil, err
		}
	}
	return all, nil
}

// Run plays runs until all are through.
func (l *labGroupPlay) Run(out output) error {
	all, err := l.load()
	if err != nil {
		return err
	}
	exe, err := self()
	if err != nil {
		return fmt.Errorf("finding this program: %w", err)
	}
	o := cluster.Options{Logs: l.Logs, Launch: func(fault, config, operator string) *exec.Cmd {
		if fault != "" {
			return exec.Command(exe, "lab", "member", "--plant", fault, "--config", config, "--operator", operator)
		}
		return exec.Command(exe, "serve", "--config", config, "--operator", operator)
	}}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var sum cluster.Sum
	for i := 0; i < l.Runs && ctx.Err() == nil; i++ {
		o.Seed = l.Seed + uint64(i)
		for _, o.Scenario = range all {
			r, err := cluster.Run(ctx, o)
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
			if l.HTML != "" {
				if err := r.Report.HTML(l.HTML); err != nil {
					return err
				}
			}
		}
	}
	fmt.Fprintln(out.std, sum.Line())
	if sum.Broken > 0 {
		return errBroken
	}
	return nil
}

type labGroupList struct {
	Text bool `help:"Print the scenarios as a file to begin from."`
}

// Run lists what there is.
func (l *labGroupList) Run(out output) error {
	if l.Text {
		_, err := fmt.Fprint(out.std, cluster.Shipped())
		return err
	}
	all, err := cluster.Decode("shipped.toml", []byte(cluster.Shipped()))
	if err != nil {
		return err
	}
	t := tabwriter.NewWriter(out.std, 0, 0, 2, ' ', 0)
	for _, s := range all {
		fmt.Fprintf(t, "%s\t%s\n", s.Name, s.About)
	}
	fmt.Fprintf(t, "\nfaults\t%s\nplanted\t%s\nrules\t%s\n", strings.Join(cluster.Kinds, ", "), strings.Join(failpoint.Names, ", "), strings.Join(cluster.Rules, ", "))
	return t.Flush()
}

// labHistories plays simulated histories.
type labHistories struct {
	Members int    `help:"Members." default:"3"`
	Voters  int    `help:"Members that vote." default:"3"`
	Seed    uint64 `help:"Of the first history; the others follow." default:"1"`
	Runs    int    `help:"So many histories." default:"1000"`
	Ticks   int    `help:"Their length, in ticks of 50 ms." default:"700"`
	Calm    int    `help:"Ticks from one trouble to the next, on the average." default:"48"`
	Fault   string `help:"Plant this fault in the cores." placeholder:"FAULT"`
	Story   bool   `help:"Tell what happens."`
	Behind  []int  `help:"Measure what a follower that so many entries are missing at takes to catch up." placeholder:"N"`
	Measure []int  `help:"Measure a plan of 12 machines with so many members, in place of playing faults; 0: from 3 to 300." placeholder:"N"`
}

// Run plays them on all cores; the same seeds give the same histories. What they leave behind is cheap to keep for a while.
func (l *labHistories) Run(out output) error {
	if l.Fault != "" && !slices.Contains(simulation.Faults, l.Fault) {
		return fmt.Errorf("--fault: %q is none of: %s", l.Fault, strings.Join(simulation.Faults, "; "))
	}
	if len(l.Behind) > 0 {
		return simulation.CatchUp(out.std, l.Behind)
	}
	if len(l.Measure) > 0 {
		sizes := l.Measure
		if slices.Contains(sizes, 0) {
			sizes = simulation.Sizes
		}
		if slices.Min(sizes) < 3 {
			return errors.New("--measure: fewer than 3 members are no group")
		}
		return simulation.Measure(out.std, sizes, min(l.Runs, measuredRuns))
	}
	if l.Members < 1 || l.Voters < 1 || l.Voters > l.Members || l.Runs < 1 || l.Ticks < 1 || l.Calm < 1 {
		return errors.New("--members, --voters, --runs, --ticks and --calm are above 0, and no more vote than there are")
	}
	debug.SetGCPercent(400)
	var next atomic.Int64
	var mu sync.Mutex
	var all sync.WaitGroup
	var failed error
	broken, done := 0, 0
	var first *simulation.Options
	for range runtime.GOMAXPROCS(0) {
		all.Go(func() {
			for i := next.Add(1) - 1; i < int64(l.Runs); i = next.Add(1) - 1 {
				o := simulation.Options{Seed: l.Seed + uint64(i), Members: l.Members, Voters: l.Voters, Ticks: l.Ticks, Calm: l.Calm, Fault: l.Fault}
				if l.Story && l.Runs == 1 {
					o.Story = out.std
				}
				r, err := simulation.Play(o)
				mu.Lock()
				if failed = errors.Join(failed, err); err == nil {
					if done += r.Done; len(r.Broken) > 0 {
						broken++
						fmt.Fprintln(out.std, r.Line(o.Seed))
						if first == nil || o.Seed < first.Seed {
							first = &o
						}
					}
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	fmt.Fprintf(out.std, "simulated: %d histories of %d members, %d voters, %d ticks: %d with a broken rule, %d machines done\n",
		l.Runs, l.Members, l.Voters, l.Ticks, broken, done)
	if failed == nil && broken > 0 {
		return errors.Join(l.tell(out, *first), errBroken)
	}
	return failed
}

// measuredRuns bounds what --measure plays of each size.
const measuredRuns = 5

// tell tells the story of a history that breaks a rule, cut down as far as it goes.
func (l *labHistories) tell(out output, o simulation.Options) error {
	less, r, err := simulation.CutDown(o)
	if err != nil {
		return err
	}
	fmt.Fprintf(out.std, "seed %d, cut down to %d ticks and %d troubles:\n", less.Seed, less.Ticks, len(less.Troubles))
	less.Story = out.std
	if r, err = simulation.Play(less); err == nil {
		fmt.Fprintln(out.std, r.Line(less.Seed))
	}
	return err
}

// labMember is one member with a fault.
type labMember struct {
	Plant    string `required:""`
	Config   string `required:""`
	Operator string `required:""`
}

// Run serves with the fault.
func (l *labMember) Run(out output) error {
	if !slices.Contains(append([]string{failpoint.DiskFull, failpoint.DiskStall, failpoint.NewerEntries, failpoint.OlderBuild, failpoint.ClockSkew}, failpoint.Names...), l.Plant) {
		return errors.New("--plant: there is no such fault")
	}
	failpoint.Set(l.Plant)
	c, err := server.LoadWithOperator(l.Config, l.Operator, os.Getenv("EDGE_OPERATOR"))
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.err)
	log.SetLevel(logrus.WarnLevel)
	return server.Run(c, log, nil)
}
