// Command birchfork is the dispatcher: it accepts requests from clients and pushes them to workers over sockets.
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
	Check   check   `cmd:"" help:"Check a configuration and print every error in it."`
	Version version `cmd:"" help:"Print the version of this build."`
	GroupCommands
	TestbedCommands
}

// errRuleViolated means that the testbed found a violated rule or a crashed dispatcher. The exit status is 2.
var errRuleViolated = errors.New("a rule was violated, or a dispatcher crashed")

// errRetryLater means that a command for the group may succeed later: a call was rejected temporarily, no member answered, or members
// differ. The exit status is 2.
var errRetryLater = errors.New("rejected temporarily; try again later")

// output is the streams to which a command writes.
type output struct{ stdout, stderr io.Writer }

func main() { os.Exit(run(os.Args[1:], output{os.Stdout, os.Stderr})) }

// run executes the command line and returns the exit status.
func run(args []string, out output) int {
	var c commands
	parser, err := kong.New(&c, kong.Name("birchfork"), kong.Writers(out.stdout, out.stderr), kong.Bind(out),
		kong.Description("A dispatcher that accepts requests from clients and pushes them to workers."))
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
		return 2 // the testbed has already printed the violation or crash
	case errors.Is(err, errRetryLater):
		fmt.Fprintln(out.stderr, "birchfork:", err)
		return 2
	case err != nil:
		fmt.Fprintln(out.stderr, "birchfork:", err)
		return 1
	}
	return 0
}
