// Command birchfork is the dispatcher: it takes jobs from clients and pushes them to workers, on sockets.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"
	"runtime/pprof"
	"strings"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"birchfork/internal/server"
)

// commands is the command line.
type commands struct {
	Serve   serve   `cmd:"" help:"Serve until SIGTERM; SIGUSR1 logs the counters."`
	Check   check   `cmd:"" help:"Read a configuration and name every fault in it."`
	Version version `cmd:"" help:"Say which build this is."`
	GroupPart
	LabPart
}

type serve struct {
	Config   string `help:"The configuration, a JSON file." env:"EDGE_CONFIG" required:"" placeholder:"FILE"`
	Operator string `help:"The operator's own file, TOML." env:"BIRCHFORK_OPERATOR" placeholder:"FILE"`
	Admin    string `name:"operator-address" help:"The operators' door, host:port, in place of the configuration's." env:"EDGE_OPERATOR" placeholder:"ADDRESS"`
	LogLevel string `help:"What is logged: debug, info, warn or error." enum:"debug,info,warn,error" default:"info"`
	Profile  string `name:"cpu-profile" help:"Write a CPU profile of the whole run to this file." placeholder:"FILE"`
}

// Run serves. Whatever is wrong with the configuration comes as one plain message.
func (s *serve) Run(out output) error {
	c, err := server.LoadWithOperator(s.Config, s.Operator, s.Admin)
	if err != nil {
		return fmt.Errorf("%s: %s", s.Config, strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	level, err := logrus.ParseLevel(s.LogLevel)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.err)
	log.SetLevel(level)
	if s.Profile != "" {
		f, err := os.Create(s.Profile)
		if err != nil {
			return fmt.Errorf("--cpu-profile: %w", err)
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			return fmt.Errorf("--cpu-profile: %w", err)
		}
		defer pprof.StopCPUProfile()
	}
	return server.Run(c, log, nil)
}

type check struct {
	Config   string `arg:"" help:"The configuration, a JSON file." env:"EDGE_CONFIG"`
	Operator string `help:"The operator's own file, TOML." env:"BIRCHFORK_OPERATOR" placeholder:"FILE"`
	Admin    string `name:"operator-address" help:"The operators' door, host:port, in place of the configuration's." env:"EDGE_OPERATOR" placeholder:"ADDRESS"`
	Explain  bool   `help:"Print what is in force for each class and route, and where each figure comes from."`
	Free     bool   `help:"Look as well whether the addresses to listen on and the group's folder are free, as a start alone finds them; a running dispatcher holds them."`
}

// Run names every fault, a line each.
func (c *check) Run(out output) error {
	cfg, err := server.LoadWithOperator(c.Config, c.Operator, c.Admin)
	if err != nil {
		fmt.Fprintln(out.std, err)
		return fmt.Errorf("%s is not fit to serve by", strings.TrimSuffix(c.Config+" with "+c.Operator, " with "))
	}
	if c.Explain && cfg.Operator == nil {
		return errors.New("--explain tells of the operator's file: name it with --operator")
	}
	if c.Free {
		if err := cfg.CheckAvailable(); err != nil {
			fmt.Fprintln(out.std, err)
			return fmt.Errorf("%s cannot be started now", c.Config)
		}
	}
	fmt.Fprintf(out.std, "%s: good: %s on %s, %d classes, %d workers known\n",
		c.Config, cfg.Name, cfg.ListenAddress, len(cfg.Settings.Classes), len(cfg.KnownEndpoints.Endpoints))
	for _, u := range cfg.Unsupported {
		fmt.Fprintf(out.std, "%s: served without: %s\n", c.Config, u)
	}
	if cfg.Operator != nil {
		fmt.Fprintf(out.std, "%s: good: %d routes\n", c.Operator, cfg.Operator.Routes.Len())
	}
	if cfg.Operator != nil && cfg.Operator.Group != nil {
		g := cfg.Operator.Group
		fmt.Fprintf(out.std, "%s: good: group %s, %d members, plans %t, lease %v\n", c.Operator, g.Name, len(g.Members), g.MaintenancePlans, g.LeaseDuration)
	}
	if c.Explain {
		return cfg.Operator.Explain(out.std)
	}
	return nil
}

type version struct{}

// Run prints the version that the build recorded.
func (version) Run(out output) error {
	v, revision := "unknown", ""
	if b, ok := debug.ReadBuildInfo(); ok {
		v = b.Main.Version
		for _, s := range b.Settings {
			if s.Key == "vcs.revision" {
				revision = " " + s.Value
			}
		}
	}
	_, err := fmt.Fprintf(out.std, "birchfork %s%s\n", v, revision)
	return err
}

// errBroken says that a rule was broken or a dispatcher crashed: exit status 2.
var errBroken = errors.New("a rule was broken, or a dispatcher crashed")

// errNotNow says that a call cannot be answered with yes now: exit status 2.
var errNotNow = errors.New("not now")

// output is where a command writes.
type output struct{ std, err io.Writer }

func main() { os.Exit(run(os.Args[1:], output{os.Stdout, os.Stderr})) }

// run is the whole program; it returns the exit status.
func run(args []string, out output) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("birchfork"), kong.Writers(out.std, out.err), kong.Bind(out),
		kong.Description("A dispatcher beside a submitter: it pushes jobs to workers."))
	if err != nil {
		fmt.Fprintln(out.err, "birchfork:", err)
		return 1
	}
	ctx, err := parser.Parse(args)
	if err == nil {
		err = ctx.Run()
	}
	switch {
	case errors.Is(err, errBroken):
		return 2 // the lab's summary has said so
	case errors.Is(err, errNotNow):
		fmt.Fprintln(out.err, "birchfork:", err)
		return 2
	case err != nil:
		fmt.Fprintln(out.err, "birchfork:", err)
		return 1
	}
	return 0
}
