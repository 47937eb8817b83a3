//go:build !lean

package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/gossip"
	"birchfork/internal/maintenance"
)

// GroupCommands contains the commands for a group of dispatchers. A lean build does not have them.
type GroupCommands struct {
	Group       groupCommands       `cmd:"" help:"The group of dispatchers that agrees on machines under maintenance."`
	Maintenance maintenanceCommands `cmd:"" help:"Rolling maintenance of machines under a disruption budget."`
}

// groupCommands are the commands below group.
type groupCommands struct {
	Bootstrap    groupBootstrap    `cmd:"" help:"Bootstrap the group at the given member; the others join automatically."`
	Status       groupStatus       `cmd:"" help:"Show members, voters, the leader and when each was last heard from."`
	TrustHistory groupTrustHistory `cmd:"" help:"Confirm, after the group was bootstrapped again, that no lost plan has a machine in maintenance: plans may start."`
	ConfirmDisk  groupConfirmDisk  `cmd:"" help:"Confirm to the given member that its disk is its latest one, if too few other members can confirm it."`
	Retire       groupRetire       `cmd:"" help:"Retire a member that no longer runs, so that the others stop waiting for it."`

	Overrides groupOverrides `cmd:"" help:"Show the workers that operators have disabled or enabled, as known to one member."`
	Resolve   groupResolve   `cmd:"" help:"Resolve a conflict of overrides on a worker."`
	Diff      groupDiff      `cmd:"" help:"Show the workers for which the given members have different overrides."`
}

type groupBootstrap struct {
	memberFlags
	AfterDataLoss bool `name:"again" help:"The group existed before, and most voters have lost its history: no plan starts before \"group trust-history\"."`
}

// Run bootstraps the group.
func (g *groupBootstrap) Run(out output) error {
	return g.callAndFinish(out, coordinator.Call{Bootstrap: true, AfterDataLoss: g.AfterDataLoss})
}

type groupConfirmDisk struct{ memberFlags }

// Run confirms a member's disk.
func (g *groupConfirmDisk) Run(out output) error {
	if len(g.At) > 1 {
		return errors.New("--at: only one member can be confirmed at a time")
	}
	return g.callAndFinish(out, coordinator.Call{ConfirmDisk: true})
}

type groupTrustHistory struct{ memberFlags }

// Run lets plans start after the group was bootstrapped again.
func (g *groupTrustHistory) Run(out output) error {
	return g.propose(out, maintenance.Command{Kind: maintenance.CommandTrustHistory})
}

type groupRetire struct {
	memberFlags
	Name string `arg:"" help:"The member."`
}

// Run retires a member.
func (g *groupRetire) Run(out output) error {
	return g.propose(out, maintenance.Command{Kind: maintenance.CommandRetireMember, Name: g.Name})
}

type groupStatus struct {
	memberFlags
	Local bool `help:"Show what the queried member itself knows, without asking the leader."`
}

// Run prints the group's status.
func (g *groupStatus) Run(out output) error {
	reply, err := g.call(coordinator.Call{Status: true, Local: g.Local})
	if err != nil {
		return err
	}
	overrides, overridesErr := g.callOverrides(gossip.Call{})
	if g.JSON {
		if err := g.printJSON(out, struct {
			*coordinator.Reply
			Copies *gossip.Reply `json:"copies,omitempty"`
		}{reply, overrides}); err != nil {
			return err
		}
		return (&memberFlags{}).finish(out, &coordinator.Reply{Code: reply.Code, Text: reply.Text})
	}
	if reply.Status != nil {
		printGroupStatus(out.stdout, reply.Status)
	}
	if overridesErr == nil {
		printOverrideStatus(out.stdout, overrides)
	}
	return g.finish(out, reply)
}

// printGroupStatus prints the leader, the timeouts and one line per member.
func printGroupStatus(w io.Writer, status *coordinator.Status) {
	fmt.Fprintf(w, "according to %s; leader %s, term %d, entry %d\n", status.Member, orNone(status.Leader), status.Term, status.AppliedIndex)
	fmt.Fprintf(w, "lease %v, longest attempt %v, fence timeout for a silent member %v\n",
		status.Bounds.Lease, status.Bounds.MaxAttemptLifetime, status.Bounds.FenceTimeout)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tZONE\tINCARNATION\tVOTER\tLAST REPORT\tAPPLIED")
	for _, m := range status.Members {
		lastReport := "not by this leader"
		if m.LastReportAge >= 0 {
			lastReport = m.LastReportAge.Round(time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%s\t%d\n", m.Name, orNone(m.Zone), m.Incarnation, m.IsVoter, lastReport, m.Applied)
	}
	_ = t.Flush() // errors of writing to the terminal are ignored
	if links := status.Links; len(links) > 0 {
		fmt.Fprintf(w, "links of %s: %d messages out, %d lost, %d dropped, %d in, %d refused; %d bytes out, %d in\n", status.Member,
			links["sent"], links["lost"], links["dropped"], links["taken"], links["refused"], links["bytes_out"], links["bytes_in"])
	}
}

// printOverrideStatus prints one line per member: its build, its configuration and how far its overrides lag behind.
func printOverrideStatus(w io.Writer, reply *gossip.Reply) {
	conflicts := 0
	for _, override := range reply.Overrides {
		if override.Conflict {
			conflicts++
		}
	}
	fmt.Fprintf(w, "overrides of %d workers, %d in conflict, according to %s\n", len(reply.Overrides), conflicts, reply.Member)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tVERSION\tSETTINGS\tOPERATOR'S FILE\tSTARTED\tOVERRIDES\tBEHIND\tIN SYNC\tBYTES OUT, IN")
	ago := func(d time.Duration) string {
		if d < 0 {
			return "never"
		}
		return d.Round(100*time.Millisecond).String() + " ago"
	}
	for i, m := range reply.Members {
		started, inSync := "unknown", ago(m.LastInSync)
		if !m.StartedAt.IsZero() {
			started = m.StartedAt.Format(time.DateTime)
		}
		if i == 0 {
			inSync = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%.8s\t%.8s\t%s\t%d\t%d\t%s\t%d, %d\n", m.Name, orNone(m.Version), orNone(m.SettingsDigest), orNone(m.OperatorDigest),
			started, m.StoredEntries, max(m.MissingEntries, 0), inSync, m.BytesOut, m.BytesIn)
	}
	_ = t.Flush() // errors of writing to the terminal are ignored
}

// orNone returns a text, or "none" if it is empty.
func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
