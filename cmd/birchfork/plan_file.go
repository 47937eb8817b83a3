//go:build !lean

package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/maintenance"
	"birchfork/internal/tomlfile"
)

// planFile is a maintenance plan as written in its file.
type planFile struct {
	Name                  string                    `toml:"name"`
	MaxUnavailable        int                       `toml:"out"`
	MaxUnavailablePerZone int                       `toml:"zone_out"`
	MaxUnavailablePerKind int                       `toml:"kind_out"`
	MinCapacity           float64                   `toml:"capacity"`
	DrainTimeout          time.Duration             `toml:"leave"`
	WorkTimeout           time.Duration             `toml:"work"`
	ReturnTimeout         time.Duration             `toml:"back"`
	OnOverdue             maintenance.OverdueAction `toml:"overdue"`
	Machines              []struct {
		Name    string   `toml:"name"`
		Workers []string `toml:"runners"`
		Host    string   `toml:"host"`
	} `toml:"machine"`
}

// loadPlan reads a plan. Its error lists every error that can be found without the group, with line and key.
func loadPlan(path string) (*maintenance.Plan, *tomlfile.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the plan: %w", err)
	}
	file := planFile{MaxUnavailable: 1, OnOverdue: maintenance.OverdueWait}
	document := tomlfile.Read(path, raw, &file)
	if len(document.Errors()) > 0 {
		return nil, nil, document.Err()
	}
	plan := &maintenance.Plan{
		Name: file.Name, MaxUnavailable: file.MaxUnavailable, MaxUnavailablePerZone: file.MaxUnavailablePerZone, MaxUnavailablePerKind: file.MaxUnavailablePerKind, MinCapacity: file.MinCapacity, DrainTimeout: file.DrainTimeout, WorkTimeout: file.WorkTimeout,
		ReturnTimeout: file.ReturnTimeout, OnOverdue: file.OnOverdue,
	}
	for _, machine := range file.Machines {
		plan.Machines = append(plan.Machines, maintenance.Machine{Name: machine.Name, Workers: machine.Workers, Host: machine.Host})
	}
	return plan, document, addPlanErrors(document, maintenance.New().ValidatePlan(plan))
}

// addPlanErrors adds the messages, each of the form "key: reason", to the document's errors and returns all of them with their lines.
func addPlanErrors(document *tomlfile.Document, messages []string) error {
	for _, message := range messages {
		key, reason, _ := strings.Cut(message, ": ")
		document.AddErrorf(key, "%s", reason)
	}
	return document.Err()
}

// submitPlan submits a plan, or only checks it.
func (m *memberFlags) submitPlan(out output, path string, check bool) error {
	plan, document, err := loadPlan(path)
	if err != nil {
		return err
	}
	reply, err := m.call(coordinator.Call{Command: &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: plan}, Check: check})
	if err == nil && reply.Code == maintenance.CodeInvalid && !m.JSON {
		return addPlanErrors(document, strings.Split(reply.Text, "\n"))
	}
	if err != nil {
		return err
	}
	return m.finish(out, reply)
}
