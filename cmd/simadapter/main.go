// Command simadapter runs dispatchers for the simulator. It reads batches of events from standard input and writes
// replies to standard output, in the protocol of internal/simprotocol. It exits with status 0 at the end of the input,
// and with status 1 and a message on standard error if a line is malformed.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
)

// gcPercent lets the heap grow to five times its live size. The heap is small and its objects are short-lived, so
// with the default the garbage collector would use much of the CPU time.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
