//go:build !lean

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/gossip"
	"birchfork/internal/maintenance"
	"birchfork/internal/tomlfile"
)

// Times of a call.
const (
	waitEvery  = 300 * time.Millisecond // between looks whether a machine is clear
	watchEvery = time.Second
)

// GroupPart is the group's commands; a lean build leaves them out.
type GroupPart struct {
	Group  groupCommands  `cmd:"" help:"The group of dispatchers that settles what machines are taken out."`
	Outage outageCommands `cmd:"" help:"Machines that are taken out for work."`
}

// groupCommands are about the group itself.
type groupCommands struct {
	Found  groupFound  `cmd:"" help:"Begin the group, at the member that is named; the others join it by themselves."`
	Status groupStatus `cmd:"" help:"Say who is in, who votes, who leads and who was heard of when."`
	Trust  groupTrust  `cmd:"" help:"Say that no machine is with staff by a plan that was forgotten when the group was founded again: plans may begin."`
	Vouch  groupVouch  `cmd:"" help:"Say to the member that is named that its disk is the last one it had, where too few others can say so."`
	Retire groupRetire `cmd:"" help:"Say that a member runs no more: it is waited for no longer."`

	Words   groupWords   `cmd:"" help:"Say which runners staff have taken out or put back, as one member has it."`
	Resolve groupResolve `cmd:"" help:"Say a word on a runner that ends a conflict."`
	Diff    groupDiff    `cmd:"" help:"Say on which runners the members that are named have different words."`
}

// outageCommands are about machines that are taken out for work.
type outageCommands struct {
	Check  outageCheck  `cmd:"" help:"Look whether a plan could be handed in, and name every fault in it."`
	Plan   outagePlan   `cmd:"" help:"Hand a plan in. Nothing happens before it is started."`
	Start  outageStart  `cmd:"" help:"Let a plan begin."`
	Pause  outagePause  `cmd:"" help:"Take no further machine."`
	Resume outageResume `cmd:"" help:"Go on."`
	Abort  outageAbort  `cmd:"" help:"Put back what nobody was told to be clear, take no further machine, and end."`
	Status outageStatus `cmd:"" help:"Say how plans stand and what each machine waits for."`
	Wait   outageWait   `cmd:"" help:"Wait until a machine is clear; from then on it is yours until done."`
	Done   outageDone   `cmd:"" help:"Give a machine back: its runners were started anew."`
	Skip   outageSkip   `cmd:"" help:"Leave a machine out of its plan, if nobody was told that it is clear."`
}

// members is whom a call goes to.
type members struct {
	At   []string `help:"Where members listen for the group, host:port; the next is asked where one does not answer." env:"BIRCHFORK_GROUP" placeholder:"ADDRESS"`
	JSON bool     `name:"json" help:"Print the answer as JSON."`
}

// notNow is a reason for that.
type notNow struct{ text string }

func (e *notNow) Error() string        { return e.text }
func (e *notNow) Is(target error) bool { return target == errNotNow }

// check tells whom --at does not name.
func (m *members) check() error {
	for _, a := range m.At {
		if host, port, err := net.SplitHostPort(a); err != nil || host == "" || port == "" {
			return fmt.Errorf("--at: %q is not host:port", a)
		}
	}
	if len(m.At) == 0 {
		return errors.New("--at, or BIRCHFORK_GROUP: no member is named")
	}
	return nil
}

// ask makes a call until it is answered.
func (m *members) ask(call coordinator.Call) (*coordinator.Reply, error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	return (&coordinator.Client{Addresses: m.At}).Do(context.Background(), call)
}

// print prints an answer as JSON where that was asked for.
func (m *members) print(out output, answer any) error {
	if !m.JSON {
		return nil
	}
	raw, err := json.Marshal(answer)
	if err == nil {
		_, err = fmt.Fprintln(out.std, string(raw))
	}
	return err
}

// tell prints an answer and turns it into the exit status.
func (m *members) tell(out output, r *coordinator.Reply) error {
	if err := m.print(out, r); err != nil {
		return err
	}
	switch {
	case r.Code == maintenance.CodeRetryLater:
		return &notNow{r.Text}
	case r.Code != maintenance.CodeOK:
		return errors.New(r.Text)
	case !m.JSON && r.Text != "":
		fmt.Fprintln(out.std, r.Text)
	}
	return nil
}

func (m *members) do(out output, call coordinator.Call) error {
	r, err := m.ask(call)
	if err != nil {
		return err
	}
	return m.tell(out, r)
}

func (m *members) command(out output, c maintenance.Command) error {
	return m.do(out, coordinator.Call{Command: &c})
}

type groupFound struct {
	members
	Again bool `help:"There was a group before, whose history most voters have lost: no plan begins before \"group trust\"."`
}

// Run founds the group.
func (g *groupFound) Run(out output) error {
	return g.do(out, coordinator.Call{Bootstrap: true, AfterDataLoss: g.Again})
}

type groupVouch struct{ members }

// Run vouches for a member's disk.
func (g *groupVouch) Run(out output) error {
	if len(g.At) > 1 {
		return errors.New("--at: one member is vouched for at a time")
	}
	return g.do(out, coordinator.Call{ConfirmDisk: true})
}

type groupTrust struct{ members }

// Run lets plans begin after the group was founded again.
func (g *groupTrust) Run(out output) error {
	return g.command(out, maintenance.Command{Kind: maintenance.CommandTrustHistory})
}

type groupRetire struct {
	members
	Name string `arg:"" help:"The member."`
}

// Run retires a member.
func (g *groupRetire) Run(out output) error {
	return g.command(out, maintenance.Command{Kind: maintenance.CommandRetireMember, Name: g.Name})
}

type groupStatus struct {
	members
	Local bool `help:"What the member that is asked knows by itself, without asking the leader."`
}

// Run prints how the group stands.
func (g *groupStatus) Run(out output) error {
	r, err := g.ask(coordinator.Call{Status: true, Local: g.Local})
	if err != nil {
		return err
	}
	copies, failed := g.words(gossip.Call{})
	if g.JSON {
		if err := g.print(out, struct {
			*coordinator.Reply
			Copies *gossip.Reply `json:"copies,omitempty"`
		}{r, copies}); err != nil {
			return err
		}
		return (&members{}).tell(out, &coordinator.Reply{Code: r.Code, Text: r.Text})
	}
	if r.Status != nil {
		printGroup(out.std, r.Status)
	}
	if failed == nil {
		printCopies(out.std, copies)
	}
	return g.tell(out, r)
}

// printCopies prints what members run and how far behind their words are, side by side.
func printCopies(w io.Writer, r *gossip.Reply) {
	conflicts := 0
	for _, word := range r.Overrides {
		if word.Conflict {
			conflicts++
		}
	}
	fmt.Fprintf(w, "words on %d runners, %d in conflict, as %s has them\n", len(r.Overrides), conflicts, r.Member)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tVERSION\tSETTINGS\tOPERATOR'S FILE\tSTARTED\tWORDS\tBEHIND\tSAME\tBYTES OUT, IN")
	ago := func(d time.Duration) string {
		if d < 0 {
			return "never"
		}
		return d.Round(100*time.Millisecond).String() + " ago"
	}
	for i, m := range r.Members {
		started, same := "unknown", ago(m.LastInSync)
		if !m.StartedAt.IsZero() {
			started = m.StartedAt.Format(time.DateTime)
		}
		if i == 0 {
			same = "-"
		}
		fmt.Fprintf(t, "%s\t%s\t%.8s\t%.8s\t%s\t%d\t%d\t%s\t%d, %d\n", m.Name, orNone(m.Version), orNone(m.SettingsDigest), orNone(m.OperatorDigest),
			started, m.StoredEntries, max(m.MissingEntries, 0), same, m.BytesOut, m.BytesIn)
	}
	t.Flush()
}

// planFile is a plan as staff write it.
type planFile struct {
	Name     string        `toml:"name"`
	Out      int           `toml:"out"`
	ZoneOut  int           `toml:"zone_out"`
	KindOut  int           `toml:"kind_out"`
	Capacity float64       `toml:"capacity"`
	Leave    time.Duration `toml:"leave"`
	Work     time.Duration `toml:"work"`
	Back     time.Duration `toml:"back"`
	Overdue  string        `toml:"overdue"`
	Machines []struct {
		Name    string   `toml:"name"`
		Runners []string `toml:"runners"`
		Host    string   `toml:"host"`
	} `toml:"machine"`
}

// loadPlan reads a plan; the error names every fault that the file alone shows.
func loadPlan(path string) (*maintenance.Plan, *tomlfile.Document, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the plan: %w", err)
	}
	f := planFile{Out: 1, Overdue: maintenance.OverdueWait}
	d := tomlfile.Read(path, raw, &f)
	if len(d.Errors()) > 0 {
		return nil, nil, d.Err()
	}
	p := &maintenance.Plan{
		Name: f.Name, MaxUnavailable: f.Out, MaxUnavailablePerZone: f.ZoneOut, MaxUnavailablePerKind: f.KindOut, MinCapacity: f.Capacity, DrainTimeout: f.Leave, WorkTimeout: f.Work,
		ReturnTimeout: f.Back, OnOverdue: f.Overdue,
	}
	for _, m := range f.Machines {
		p.Machines = append(p.Machines, maintenance.Machine{Name: m.Name, Workers: m.Runners, Host: m.Host})
	}
	return p, d, byLine(d, maintenance.New().ValidatePlan(p))
}

// byLine gives faults that a plan's keys begin the lines of the file.
func byLine(d *tomlfile.Document, faults []string) error {
	for _, fault := range faults {
		key, what, _ := strings.Cut(fault, ": ")
		d.AddErrorf(key, "%s", what)
	}
	return d.Err()
}

// handIn hands a plan in, or looks whether that could be done.
func (m *members) handIn(out output, path string, check bool) error {
	p, d, err := loadPlan(path)
	if err != nil {
		return err
	}
	r, err := m.ask(coordinator.Call{Command: &maintenance.Command{Kind: maintenance.CommandSubmitPlan, Plan: p}, Check: check})
	if err == nil && r.Code == maintenance.CodeInvalid && !m.JSON {
		return byLine(d, strings.Split(r.Text, "\n"))
	}
	if err != nil {
		return err
	}
	return m.tell(out, r)
}

type outageCheck struct {
	members
	File string `arg:"" help:"The plan, a TOML file."`
}

// Run checks a plan against the fleet.
func (o *outageCheck) Run(out output) error { return o.handIn(out, o.File, true) }

type outagePlan struct {
	members
	File string `arg:"" help:"The plan, a TOML file."`
}

// Run hands a plan in.
func (o *outagePlan) Run(out output) error { return o.handIn(out, o.File, false) }

// ofPlan is a call on a whole plan.
type ofPlan struct {
	members
	Name string `arg:"" help:"The plan."`
}

type (
	outageStart  struct{ ofPlan }
	outagePause  struct{ ofPlan }
	outageResume struct{ ofPlan }
	outageAbort  struct{ ofPlan }
)

// Run lets the plan begin.
func (o *outageStart) Run(out output) error {
	return o.command(out, maintenance.Command{Kind: maintenance.CommandStartPlan, Name: o.Name})
}

// Run pauses the plan.
func (o *outagePause) Run(out output) error {
	return o.command(out, maintenance.Command{Kind: maintenance.CommandPausePlan, Name: o.Name})
}

// Run resumes the plan.
func (o *outageResume) Run(out output) error {
	return o.command(out, maintenance.Command{Kind: maintenance.CommandResumePlan, Name: o.Name})
}

// Run aborts the plan.
func (o *outageAbort) Run(out output) error {
	return o.command(out, maintenance.Command{Kind: maintenance.CommandAbortPlan, Name: o.Name})
}

// ofMachine is a call on one machine.
type ofMachine struct {
	members
	Machine string `arg:"" help:"The machine."`
	Plan    string `help:"The plan, where several have a machine of this name." placeholder:"NAME"`
}

type outageWait struct {
	ofMachine
	For time.Duration `help:"Give up after this; 0: never." default:"0s" placeholder:"TIME"`
}

// Run waits until the machine is clear.
func (o *outageWait) Run(out output) error {
	var end time.Time
	if o.For > 0 {
		end = time.Now().Add(o.For)
	}
	for {
		r, err := o.ask(coordinator.Call{Command: &maintenance.Command{Kind: maintenance.CommandClaimMachine, Name: o.Plan, Machine: o.Machine}})
		if err != nil {
			return err
		}
		if r.Code != maintenance.CodeRetryLater || !end.IsZero() && time.Now().After(end) {
			return o.tell(out, r)
		}
		time.Sleep(waitEvery)
	}
}

type (
	outageDone struct{ ofMachine }
	outageSkip struct{ ofMachine }
)

// Run gives a machine back.
func (o *outageDone) Run(out output) error {
	return o.command(out, maintenance.Command{Kind: maintenance.CommandReturnMachine, Name: o.Plan, Machine: o.Machine})
}

// Run leaves a machine out.
func (o *outageSkip) Run(out output) error {
	return o.command(out, maintenance.Command{Kind: maintenance.CommandSkipMachine, Name: o.Plan, Machine: o.Machine})
}

type outageStatus struct {
	members
	Watch bool `help:"Print it again every second."`
}

// Run prints how plans stand.
func (o *outageStatus) Run(out output) error {
	for {
		r, err := o.ask(coordinator.Call{Status: true})
		if err == nil {
			if !o.JSON && r.Status != nil {
				printPlans(out.std, r.Status)
			}
			err = o.tell(out, r)
		}
		if !o.Watch {
			return err
		}
		if err != nil {
			fmt.Fprintln(out.err, "birchfork:", err)
		}
		time.Sleep(watchEvery)
	}
}

func printGroup(w io.Writer, s *coordinator.Status) {
	fmt.Fprintf(w, "told by %s; leader %s, term %d, entry %d\n", s.Member, orNone(s.Leader), s.Term, s.AppliedIndex)
	fmt.Fprintf(w, "lease %v, attempts run for %v at the longest, a silent member is waited for %v\n",
		s.Bounds.Lease, s.Bounds.MaxAttempt, s.Bounds.FenceTimeout)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "MEMBER\tZONE\tLIFE\tVOTES\tHEARD\tIN FORCE")
	for _, m := range s.Members {
		heard := "not by this leader"
		if m.LastReport >= 0 {
			heard = m.LastReport.Round(time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%s\t%d\n", m.Name, orNone(m.Zone), m.Incarnation, m.IsVoter, heard, m.Applied)
	}
	t.Flush()
	if l := s.Links; len(l) > 0 {
		fmt.Fprintf(w, "links of %s: %d messages out, %d lost, %d dropped, %d in, %d refused; %d bytes out, %d in\n", s.Member,
			l["sent"], l["lost"], l["dropped"], l["taken"], l["refused"], l["bytes_out"], l["bytes_in"])
	}
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

func printPlans(w io.Writer, s *coordinator.Status) {
	if len(s.Plans) == 0 {
		fmt.Fprintln(w, "no plan was handed in")
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, p := range s.Plans {
		fmt.Fprintf(t, "%s\t%s\t\t%s\n", p.Name, p.Phase, p.Reason)
		for _, m := range p.Machines {
			step := string(m.Phase)
			if m.Overdue {
				step += ", overdue"
			}
			fmt.Fprintf(t, "  %s\t%s\t%v\t%s\n", m.Name, step, m.PhaseDuration.Round(100*time.Millisecond), m.Reason)
		}
	}
	t.Flush()
}
