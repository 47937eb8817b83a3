//go:build !lean

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/sirupsen/logrus"

	"birchfork/internal/server"
	"birchfork/internal/testbed"
	"birchfork/internal/testbed/baseline"
	"birchfork/internal/testbed/cluster"
	"birchfork/internal/testbed/mutant"
	"birchfork/internal/testbed/report"
	"birchfork/internal/testbed/scenario"
)

// LabPart is the lab on the command line; a lean build leaves it out.
type LabPart struct {
	Lab labCommands `cmd:"" help:"Play a whole deployment on loopback and judge it."`
}

// labCommands are the lab's.
type labCommands struct {
	Run     labRun     `cmd:"" help:"Play a day on loopback, judge the four rules from outside, and say what it came to."`
	Compare labCompare `cmd:"" help:"Say how two results differ; or play the same days in turns on another build."`
	List    labList    `cmd:"" help:"List the scenarios that come with the program, the troubles and the faults that can be planted."`
	Show    labShow    `cmd:"" help:"Print a scenario that comes with the program, as a file to begin from."`
	Report  labReport  `cmd:"" help:"Show a kept result again."`
	Table   labTable   `cmd:"" help:"Play scenarios under the mechanism and the baselines, on several seeds, and print a table."`

	Overhead labOverhead `cmd:"" help:"Measure what a dispatcher adds to asking a worker straight."`
	Scale    labScale    `cmd:"" help:"Measure how the cost grows with workers and dispatchers."`

	Histories labHistories `cmd:"" help:"Play the cores of a group in virtual time: simulated histories, with faults drawn from a seed."`
	Copies    labCopies    `cmd:"" help:"Play copies of staff's words in virtual time: how soon all are one, and what that costs."`
	Group     labGroup     `cmd:"" help:"Play a group of dispatchers with faults between them, and judge what it promises."`

	Member     labMember     `cmd:"" hidden:"" help:"One member that has a planted fault: for the lab itself."`
	Dispatcher labDispatcher `cmd:"" hidden:"" help:"One dispatcher that a baseline decides for, or that has a planted fault: for the lab itself."`
}

// proof is the day on which each planted fault shows.
const proof = "proof"

// day is what flags say of a day.
type day struct {
	Scenario    string        `arg:"" optional:"" help:"A scenario that comes with the program (calm, if none is named), or a TOML file, with a / or . in its name."`
	Seed        uint64        `help:"What the day is drawn by: arrivals, sizes, troubles, speeds." default:"1"`
	Rate        float64       `help:"Requests a second in place of the scenario's." placeholder:"N"`
	For         time.Duration `help:"Length in place of the scenario's; troubles past it are left out." placeholder:"TIME"`
	Workers     int           `help:"Workers in place of the scenario's, in its proportions." placeholder:"N"`
	Dispatchers int           `help:"Dispatchers in place of the scenario's." placeholder:"N"`
	Storm       bool          `help:"Draw further troubles from the seed, several at once."`
}

func (d *day) load() (*scenario.Scenario, error) {
	if d.Scenario == "" {
		d.Scenario = "calm"
	}
	s, err := scenario.Load(d.Scenario)
	if err != nil {
		return nil, err
	}
	if d.Rate < 0 || d.For < 0 || d.Workers < 0 || d.Dispatchers < 0 {
		return nil, errors.New("--rate, --for, --workers and --dispatchers are above 0")
	}
	return s, s.Override(d.Rate, d.For, d.Workers, d.Dispatchers)
}

type labRun struct {
	day
	Policy   string `help:"Who decides: rules (the mechanism), random, round-robin or least." default:"rules"`
	Operator string `help:"The operator's file that the dispatchers serve by." placeholder:"FILE"`
	Group    bool   `help:"The day's dispatchers are a group (docs/replication.md)."`
	Plant    string `help:"Run a small dispatcher with this fault instead, to see the judge catch it." placeholder:"FAULT"`
	JSON     string `help:"Keep the result in this file." placeholder:"FILE" name:"json"`
	HTML     string `help:"Draw the result as a page in this file." placeholder:"FILE" name:"html"`
	Ceiling  bool   `help:"Measure the rig's own ceiling first." default:"true" negatable:""`
}

// Run plays a day.
func (l *labRun) Run(out output) error {
	if l.Plant != "" && l.Scenario == "" {
		l.Scenario = proof
	}
	s, err := l.load()
	if err != nil {
		return err
	}
	launch, err := launcher(l.Policy, l.Plant)
	if err != nil {
		return err
	}
	if launch, err = withOperator(launch, l.Operator, l.Policy); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o := testbed.Options{Scenario: s, Seed: l.Seed, Storm: l.Storm, Policy: l.Policy, Planted: l.Plant, Launch: launch, Ceiling: l.Ceiling}
	if l.Group {
		if l.Operator != "" || l.Policy != testbed.PolicyRules || l.Plant != "" {
			return errors.New("--group makes an operator's file of its own: it goes with none of --operator, --policy and --plant")
		}
		done, err := cluster.Plain(&o)
		if err != nil {
			return fmt.Errorf("--group: %w", err)
		}
		defer done()
	}
	bar := progress(out.err, &o)
	r, err := testbed.Run(ctx, o)
	bar()
	if err != nil {
		return err
	}
	if err := errors.Join(keep(r, l.JSON, l.HTML), r.Text(out.std)); err != nil {
		return err
	}
	if r.Broken() {
		return errBroken
	}
	return nil
}

// progress shows a bar on a terminal; the function that it returns takes it away.
func progress(w io.Writer, o *testbed.Options) func() {
	f, ok := w.(*os.File)
	if !ok {
		return func() {}
	}
	if info, err := f.Stat(); err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return func() {}
	}
	bar := progressbar.NewOptions(1, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription("requests"),
		progressbar.OptionClearOnFinish(), progressbar.OptionShowCount())
	o.Progress = func(done, all int) {
		bar.ChangeMax(all)
		bar.Set(done)
	}
	return func() { bar.Clear() }
}

// keep writes a result's files.
func keep(r *report.Report, json, html string) (err error) {
	if json != "" {
		err = r.Save(json)
	}
	if html != "" {
		err = errors.Join(err, r.HTML(html))
	}
	return err
}

// self is this program, to be started again as a dispatcher; tests put their own in its place.
var self = os.Executable

// launcher returns how dispatchers are started: this program, as it would serve, or as one with another decider.
func launcher(policy, plant string) (testbed.Launch, error) {
	exe, err := self()
	if err != nil {
		return nil, fmt.Errorf("finding this program: %w", err)
	}
	args := []string{"lab", "dispatcher", "--policy", policy}
	switch {
	case plant != "":
		if _, err := mutant.Find(plant); err != nil {
			return nil, err
		}
		args = []string{"lab", "dispatcher", "--plant", plant}
	case policy == testbed.PolicyRules:
		args = []string{"serve"}
	case !slices.Contains(baseline.Policies, policy):
		return nil, fmt.Errorf("--policy: %q is not one of %s, %s", policy, testbed.PolicyRules, strings.Join(baseline.Policies, ", "))
	}
	return binary(exe, args...), nil
}

// withOperator lets dispatchers serve by an operator's file.
func withOperator(launch testbed.Launch, file, policy string) (testbed.Launch, error) {
	switch {
	case file == "":
		return launch, nil
	case policy != testbed.PolicyRules:
		return nil, errors.New("--operator narrows the mechanism: it goes with --policy rules")
	}
	file, err := filepath.Abs(file)
	if err != nil {
		return nil, fmt.Errorf("--operator: %w", err)
	}
	if _, err := os.Stat(file); err != nil {
		return nil, fmt.Errorf("--operator: %w", err)
	}
	return func(config string) *exec.Cmd {
		cmd := launch(config)
		cmd.Args = append(cmd.Args, "--operator", file)
		return cmd
	}, nil
}

// binary starts dispatchers of one program.
func binary(exe string, args ...string) testbed.Launch {
	return func(config string) *exec.Cmd {
		return exec.Command(exe, append(slices.Clone(args), "--config", config)...)
	}
}

type labDispatcher struct {
	Config string `required:"" placeholder:"FILE"`
	Policy string `placeholder:"NAME"`
	Plant  string `placeholder:"FAULT"`
}

// Run serves like serve, by another decider.
func (l *labDispatcher) Run(out output) error {
	if l.Plant != "" {
		return mutant.Run(l.Config, l.Plant)
	}
	c, err := server.Load(l.Config, "")
	if err != nil {
		return err
	}
	module, err := baseline.New(l.Policy, c.Settings, c.Seed)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.err)
	return server.Run(c, log, module)
}

type labList struct{}

// Run lists what there is.
func (labList) Run(out output) error {
	fmt.Fprintln(out.std, "scenarios:")
	for _, n := range scenario.Shipped() {
		s, err := scenario.Load(n)
		if err != nil {
			return err
		}
		fmt.Fprintf(out.std, "  %-16s %s\n", n, s.About)
	}
	fmt.Fprintln(out.std, "troubles:")
	for _, k := range scenario.Kinds {
		fmt.Fprintf(out.std, "  %-16s %s\n", k.Kind, k.About)
	}
	fmt.Fprintln(out.std, "faults that can be planted:")
	for _, f := range mutant.Faults {
		fmt.Fprintf(out.std, "  %-16s %s\n", f.Name, f.About)
	}
	return nil
}

type labShow struct {
	Name string `arg:"" help:"A scenario that comes with the program."`
}

// Run prints a scenario.
func (l *labShow) Run(out output) error {
	raw, err := scenario.Text(l.Name)
	if err != nil {
		return err
	}
	_, err = out.std.Write(raw)
	return err
}

type labReport struct {
	File string `arg:"" help:"A kept result."`
	HTML string `help:"Draw it as a page in this file." placeholder:"FILE" name:"html"`
}

// Run shows a kept result again.
func (l *labReport) Run(out output) error {
	r, err := report.Load(l.File)
	if err != nil {
		return err
	}
	return errors.Join(keep(r, "", l.HTML), r.Text(out.std))
}

type labCompare struct {
	Results  []string      `arg:"" optional:"" help:"Two kept results of the same day."`
	Against  string        `help:"Another build of this program: play the same days in turns." placeholder:"BINARY"`
	Operator string        `help:"An operator's file for this build: the same days in turns with it, and without it or on the other build." placeholder:"FILE"`
	Day      string        `help:"With --against: the scenario." default:"calm" placeholder:"SCENARIO"`
	Seeds    []uint64      `help:"With --against: the days." default:"1,2,3"`
	For      time.Duration `help:"With --against: length in place of the scenario's." placeholder:"TIME"`
}

// Run says how results differ.
func (l *labCompare) Run(out output) error {
	if l.Against == "" && l.Operator == "" {
		if len(l.Results) != 2 {
			return errors.New("two kept results are needed, or --against BINARY, or --operator FILE")
		}
		a, err := report.Load(l.Results[0])
		if err != nil {
			return err
		}
		b, err := report.Load(l.Results[1])
		if err != nil {
			return err
		}
		return report.Compare(out.std, [][2]*report.Report{{a, b}}, filepath.Base(l.Results[0]), filepath.Base(l.Results[1]))
	}
	if len(l.Results) != 0 {
		return errors.New("--against and --operator play days themselves: name no kept results beside them")
	}
	mine, err := launcher(testbed.PolicyRules, "")
	if err != nil {
		return err
	}
	other, first, second := mine, "this build", "without the file"
	if l.Against != "" {
		if _, err := exec.LookPath(l.Against); err != nil {
			return fmt.Errorf("--against: %w", err)
		}
		other, second = binary(l.Against, "serve"), filepath.Base(l.Against)
	}
	if l.Operator != "" {
		first = "with the file"
		if mine, err = withOperator(mine, l.Operator, testbed.PolicyRules); err != nil {
			return err
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var pairs [][2]*report.Report
	broken := false
	for _, seed := range l.Seeds {
		var pair [2]*report.Report
		for k, launch := range []testbed.Launch{mine, other} {
			d := day{Scenario: l.Day, For: l.For}
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
	if err := report.Compare(out.std, pairs, first, second); err != nil {
		return err
	}
	if broken {
		return errBroken
	}
	return nil
}

type labTable struct {
	Scenarios []string      `arg:"" optional:"" help:"Scenarios; none: all that come with the program."`
	Seeds     []uint64      `help:"The days." default:"1,2,3"`
	Policies  []string      `help:"Who decides." default:"rules,random,round-robin,least"`
	For       time.Duration `help:"Length in place of the scenarios'." placeholder:"TIME"`
	Side      int           `help:"Runs side by side; each wants a core or two." default:"3"`
}

// Run plays all of them and prints a table.
func (l *labTable) Run(out output) error {
	names := l.Scenarios
	if len(names) == 0 {
		names = slices.DeleteFunc(scenario.Shipped(), func(n string) bool { return n == proof })
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cells []testbed.Cell
	for _, n := range names {
		for _, p := range l.Policies {
			for _, seed := range l.Seeds {
				d := day{Scenario: n, For: l.For}
				s, err := d.load()
				if err != nil {
					return err
				}
				launch, err := launcher(p, "")
				if err != nil {
					return err
				}
				cells = append(cells, testbed.Cell{Row: n, Column: p, Options: testbed.Options{Scenario: s, Seed: seed, Policy: p, Launch: launch}})
			}
		}
	}
	broken, err := testbed.Table(ctx, out.std, cells, l.Side)
	if err == nil && broken {
		err = errBroken
	}
	return err
}

type labOverhead struct {
	Clients []int         `help:"Clients that ask as fast as they are answered." default:"1,32,128"`
	For     time.Duration `help:"Length of each measurement." default:"3s"`
	Rounds  int           `help:"Rounds; straight and through in turns." default:"3"`
	Profile string        `help:"Write a CPU profile of the dispatcher under the most clients to this file." placeholder:"FILE"`
}

// Run measures what a dispatcher adds.
func (l *labOverhead) Run(out output) error {
	launch, err := launcher(testbed.PolicyRules, "")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return testbed.Overhead(ctx, out.std, testbed.OverheadOptions{Launch: launch, Clients: l.Clients, Length: l.For, Rounds: l.Rounds, Profile: l.Profile})
}

type labScale struct {
	Workers     []int         `help:"Fleets." default:"10,100,300"`
	Dispatchers []int         `help:"Dispatchers." default:"1,4,16"`
	Rate        float64       `help:"Requests a second for each worker." default:"6"`
	For         time.Duration `help:"Length of each run." default:"8s"`
	Seed        uint64        `help:"The day." default:"1"`
}

// Run measures how cost grows.
func (l *labScale) Run(out output) error {
	launch, err := launcher(testbed.PolicyRules, "")
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var cells []testbed.Cell
	for _, w := range l.Workers {
		for _, n := range l.Dispatchers {
			d := day{Scenario: "calm", Rate: l.Rate * float64(w), For: l.For, Workers: w, Dispatchers: n}
			s, err := d.load()
			if err != nil {
				return err
			}
			cells = append(cells, testbed.Cell{Row: fmt.Sprintf("%d workers", w), Column: fmt.Sprintf("%d dispatchers", n),
				Options: testbed.Options{Scenario: s, Seed: l.Seed, Policy: testbed.PolicyRules, Launch: launch}})
		}
	}
	broken, err := testbed.Table(ctx, out.std, cells, 1)
	if err == nil && broken {
		err = errBroken
	}
	return err
}
