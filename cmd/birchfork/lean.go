//go:build lean

package main

import "errors"

// LabPart says that the lab is left out: its libraries would cost a dispatcher that serves some MB of memory.
type LabPart struct {
	Lab noLab `cmd:"" help:"Left out of this build (tag lean)."`
}

// GroupPart says that groups of dispatchers are left out, for the same reason.
type GroupPart struct {
	Group  noLab `cmd:"" help:"Left out of this build (tag lean)."`
	Outage noLab `cmd:"" help:"Left out of this build (tag lean)."`
}

type noLab struct {
	Args []string `arg:"" optional:"" passthrough:""`
}

// Run says where they are.
func (noLab) Run() error {
	return errors.New("this build leaves lab, group and outage out: build without -tags lean, or go run ./cmd/birchfork")
}
