// Command simadapter runs dispatchers for the simulator: it reads batches of events on standard input and writes replies
// on standard output, in the protocol of internal/simprotocol. It exits with status 0 when the input ends, and with status
// 1 and a message on standard error where a line is malformed.
package main

import (
	"fmt"
	"os"
	"runtime/debug"
)

// gcPercent lets the heap, which is small and short-lived, grow to five times its live size. At the default pace the
// collector would take a good part of the CPU.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
