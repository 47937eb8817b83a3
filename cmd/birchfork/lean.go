//go:build lean

package main

import "errors"

// TestbedCommands replaces the testbed in a lean build, because its libraries would cost a dispatcher in production several MB of memory.
type TestbedCommands struct {
	Testbed notInLeanBuild `cmd:"" help:"Not part of this build (tag lean)."`
}

// GroupCommands replaces the commands for a group of dispatchers in a lean build, for the same reason.
type GroupCommands struct {
	Group       notInLeanBuild `cmd:"" help:"Not part of this build (tag lean)."`
	Maintenance notInLeanBuild `cmd:"" help:"Not part of this build (tag lean)."`
}

type notInLeanBuild struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run returns an error that says which build has the commands.
func (notInLeanBuild) Run() error {
	return errors.New("this build has no testbed, group and maintenance commands: build without -tags lean, or use go run ./cmd/birchfork")
}
