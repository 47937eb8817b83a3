package main

import (
	"fmt"
	"runtime/debug"
)

type version struct{}

// Run prints the version recorded by the build.
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
	_, err := fmt.Fprintf(out.stdout, "birchfork %s%s\n", v, revision)
	return err
}
