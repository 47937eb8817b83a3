//go:build !lean

package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/maintenance"
)

// Polling intervals.
const (
	claimInterval  = 300 * time.Millisecond // between claims of a machine that is not drained yet
	statusInterval = time.Second
)

// maintenanceCommands are the commands below maintenance.
type maintenanceCommands struct {
	Check  maintenanceCheck  `cmd:"" help:"Check whether a plan could be submitted, and print every error in it."`
	Plan   maintenancePlan   `cmd:"" help:"Submit a plan. Nothing happens before it is started."`
	Start  maintenanceStart  `cmd:"" help:"Start a plan."`
	Pause  maintenancePause  `cmd:"" help:"Pause a plan: no further machine is taken out of service."`
	Resume maintenanceResume `cmd:"" help:"Resume a plan."`
	Abort  maintenanceAbort  `cmd:"" help:"Abort a plan: machines not yet released for work return to service, and no further one is taken out."`
	Status maintenanceStatus `cmd:"" help:"Show the plans and what each machine waits for."`
	Wait   maintenanceWait   `cmd:"" help:"Wait until a machine is drained and released for work; \"maintenance done\" returns it."`
	Done   maintenanceDone   `cmd:"" help:"Return a machine to service after its workers were restarted."`
	Skip   maintenanceSkip   `cmd:"" help:"Leave a machine out of its plan, unless it was released for work."`
}

type maintenanceCheck struct {
	memberFlags
	File string `arg:"" help:"The plan, a TOML file."`
}

// Run checks the plan against the fleet.
func (c *maintenanceCheck) Run(out output) error { return c.submitPlan(out, c.File, true) }

type maintenancePlan struct {
	memberFlags
	File string `arg:"" help:"The plan, a TOML file."`
}

// Run submits the plan.
func (c *maintenancePlan) Run(out output) error { return c.submitPlan(out, c.File, false) }

// planArg is the argument of commands for one plan.
type planArg struct {
	memberFlags
	Name string `arg:"" help:"The plan."`
}

type (
	maintenanceStart  struct{ planArg }
	maintenancePause  struct{ planArg }
	maintenanceResume struct{ planArg }
	maintenanceAbort  struct{ planArg }
)

// Run starts the plan.
func (c *maintenanceStart) Run(out output) error {
	return c.propose(out, maintenance.Command{Kind: maintenance.CommandStartPlan, Name: c.Name})
}

// Run pauses the plan.
func (c *maintenancePause) Run(out output) error {
	return c.propose(out, maintenance.Command{Kind: maintenance.CommandPausePlan, Name: c.Name})
}

// Run resumes the plan.
func (c *maintenanceResume) Run(out output) error {
	return c.propose(out, maintenance.Command{Kind: maintenance.CommandResumePlan, Name: c.Name})
}

// Run aborts the plan.
func (c *maintenanceAbort) Run(out output) error {
	return c.propose(out, maintenance.Command{Kind: maintenance.CommandAbortPlan, Name: c.Name})
}

// machineArg is the argument of commands for one machine.
type machineArg struct {
	memberFlags
	Machine string `arg:"" help:"The machine."`
	Plan    string `help:"The plan, if several have a machine of this name." placeholder:"NAME"`
}

type maintenanceWait struct {
	machineArg
	For time.Duration `help:"Give up after this; 0: never." default:"0s" placeholder:"TIME"`
}

// Run claims the machine, repeating the call until the machine is drained or the time of --for has passed.
func (c *maintenanceWait) Run(out output) error {
	var end time.Time
	if c.For > 0 {
		end = time.Now().Add(c.For)
	}
	for {
		reply, err := c.call(coordinator.Call{Command: &maintenance.Command{Kind: maintenance.CommandClaimMachine, Name: c.Plan, Machine: c.Machine}})
		if err != nil {
			return err
		}
		if reply.Code != maintenance.CodeRetryLater || !end.IsZero() && time.Now().After(end) {
			return c.finish(out, reply)
		}
		time.Sleep(claimInterval)
	}
}

type (
	maintenanceDone struct{ machineArg }
	maintenanceSkip struct{ machineArg }
)

// Run returns the machine.
func (c *maintenanceDone) Run(out output) error {
	return c.propose(out, maintenance.Command{Kind: maintenance.CommandReturnMachine, Name: c.Plan, Machine: c.Machine})
}

// Run leaves the machine out of its plan.
func (c *maintenanceSkip) Run(out output) error {
	return c.propose(out, maintenance.Command{Kind: maintenance.CommandSkipMachine, Name: c.Plan, Machine: c.Machine})
}

type maintenanceStatus struct {
	memberFlags
	Watch bool `help:"Print it again every second."`
}

// Run prints the plans, once or every second.
func (c *maintenanceStatus) Run(out output) error {
	for {
		reply, err := c.call(coordinator.Call{Status: true})
		if err == nil {
			if !c.JSON && reply.Status != nil {
				printPlans(out.stdout, reply.Status)
			}
			err = c.finish(out, reply)
		}
		if !c.Watch {
			return err
		}
		if err != nil {
			fmt.Fprintln(out.stderr, "birchfork:", err)
		}
		time.Sleep(statusInterval)
	}
}

func printPlans(w io.Writer, status *coordinator.Status) {
	if len(status.Plans) == 0 {
		fmt.Fprintln(w, "no plan was submitted")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range status.Plans {
		fmt.Fprintf(t, "%s\t%s\t\t%s\n", p.Name, p.Phase, p.Reason)
		for _, m := range p.Machines {
			step := string(m.Phase)
			if m.Overdue {
				step += ", overdue"
			}
			fmt.Fprintf(t, "  %s\t%s\t%v\t%s\n", m.Name, step, m.PhaseDuration.Round(100*time.Millisecond), m.Reason)
		}
	}
	_ = t.Flush() // errors of writing to the terminal are ignored
}
