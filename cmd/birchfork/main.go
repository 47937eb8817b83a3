// Command birchfork is the dispatcher: it takes jobs from clients and pushes them to workers, on sockets.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// commands is the command line.
type commands struct {
	Serve   serve   `cmd:"" help:"Serve until SIGTERM; SIGUSR1 logs the counters."`
	Check   check   `cmd:"" help:"Check a configuration and name every fault in it."`
	Version version `cmd:"" help:"Print the version of this build."`
	GroupCommands
	TestbedCommands
}

// errRuleViolated reports that the testbed found a rule violated or a dispatcher crashed. The exit status is 2.
var errRuleViolated = errors.New("a rule was broken, or a dispatcher crashed")

// errRetryLater reports that a call to the group was rejected for now and may be repeated. The exit status is 2.
var errRetryLater = errors.New("not now")

// output holds the streams that a command writes to.
type output struct{ stdout, stderr io.Writer }

func main() { os.Exit(run(os.Args[1:], output{os.Stdout, os.Stderr})) }

// run is the whole program; it returns the exit status.
func run(args []string, out output) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("birchfork"), kong.Writers(out.stdout, out.stderr), kong.Bind(out),
		kong.Description("A dispatcher beside a submitter: it pushes jobs to workers."))
	if err != nil {
		fmt.Fprintln(out.stderr, "birchfork:", err)
		return 1
	}
	ctx, err := parser.Parse(withPresentNames(args))
	if err == nil {
		err = ctx.Run()
	}
	switch {
	case errors.Is(err, errRuleViolated):
		return 2 // the testbed's summary has said so
	case errors.Is(err, errRetryLater):
		fmt.Fprintln(out.stderr, "birchfork:", err)
		return 2
	case err != nil:
		fmt.Fprintln(out.stderr, "birchfork:", err)
		return 1
	}
	return 0
}
