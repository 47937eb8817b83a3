//go:build lean

package main

import "errors"

// TestbedCommands says that a lean build has no testbed: its libraries would cost a dispatcher in service some MB of memory.
type TestbedCommands struct {
	Testbed notInLeanBuild `cmd:"" help:"Not part of this build (tag lean)."`
}

// GroupCommands says that a lean build has no groups of dispatchers, for the same reason.
type GroupCommands struct {
	Group       notInLeanBuild `cmd:"" help:"Not part of this build (tag lean)."`
	Maintenance notInLeanBuild `cmd:"" help:"Not part of this build (tag lean)."`
}

type notInLeanBuild struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run says where they are.
func (notInLeanBuild) Run() error {
	return errors.New("this build has no testbed, group and maintenance: build without -tags lean, or go run ./cmd/birchfork")
}
