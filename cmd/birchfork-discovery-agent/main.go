// Command birchfork-discovery-agent publishes the list of workers from etcd or a file to the dispatchers on this machine, and lets workers
// register themselves. It is a separate program, so that the dispatcher does not contain the etcd client.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/sirupsen/logrus"

	"birchfork/internal/discoveryagent"
)

const programName = "birchfork-discovery-agent"

// commands holds the flags and commands of the command line.
type commands struct {
	Config string `help:"The agent's file, TOML." default:"members.toml" placeholder:"FILE" env:"BIRCHFORK_MEMBERS"`

	Serve    serve    `cmd:"" help:"Follow the sources and publish their list to dispatchers, until SIGTERM."`
	Check    check    `cmd:"" help:"Check the agent's file and print every error in it."`
	Register register `cmd:"" help:"Register a worker in etcd and keep its lease; on SIGTERM it drains, then leaves."`
	Drain    drain    `cmd:"" help:"Mark a worker as draining in etcd."`
	Remove   remove   `cmd:"" help:"Remove a worker from etcd."`
	List     list     `cmd:"" help:"List the workers in etcd."`
	Watch    watch    `cmd:"" help:"Print changes in etcd as they come, until interrupted."`
}

// output holds the output streams of a command.
type output struct{ stdout, stderr io.Writer }

type serve struct{}

// Run runs the agent.
func (serve) Run(ctx context.Context, c *commands, out output) error {
	config, err := discoveryagent.Load(c.Config)
	if err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(out.stderr)
	return discoveryagent.Serve(ctx, config, log, func(addr string) {
		log.WithFields(logrus.Fields{"listen": addr, "sources": len(config.Sources)}).Info("serving")
	})
}

type check struct{}

// Run checks the agent's file.
func (check) Run(c *commands, out output) error {
	config, err := discoveryagent.Load(c.Config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(out.stdout, "%s: good: %d sources, listening on %s\n", c.Config, len(config.Sources), config.Listen)
	return err
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], output{os.Stdout, os.Stderr})
	stop()
	os.Exit(status)
}

// run executes the command line and returns the exit status.
func run(ctx context.Context, args []string, out output) int {
	var c commands
	parser, err := kong.New(&c,
		kong.Name(programName),
		kong.Description("Publishes the list of workers to the dispatchers on this machine."),
		kong.Writers(out.stdout, out.stderr),
		kong.Bind(out, &c),
		kong.BindTo(ctx, (*context.Context)(nil)))
	if err != nil {
		fmt.Fprintf(out.stderr, "%s: %v\n", programName, err)
		return 1
	}
	parsed, err := parser.Parse(args)
	if err == nil {
		err = parsed.Run()
	}
	if err != nil {
		fmt.Fprintf(out.stderr, "%s: %v\n", programName, err)
		return 1
	}
	return 0
}
