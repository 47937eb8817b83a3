//go:build !lean

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"birchfork/internal/gossip"
)

type groupOverrides struct{ memberFlags }

// Run prints the overrides that one member has.
func (g *groupOverrides) Run(out output) error {
	reply, err := g.callOverrides(gossip.Call{})
	if err != nil {
		return err
	}
	return g.finishOverrides(out, reply)
}

type groupResolve struct {
	memberFlags
	Worker   string `name:"runner" arg:"" help:"The worker, by its name in discovery."`
	Override string `name:"word" arg:"" help:"out or back; replaces all overrides of the worker that this member knows of." enum:"out,back"`
}

// Run writes an override that supersedes all overrides of the worker that the member knows.
func (g *groupResolve) Run(out output) error {
	reply, err := g.callOverrides(gossip.Call{Worker: g.Worker, Disabled: g.Override == "out"})
	if err != nil {
		return err
	}
	return g.finishOverrides(out, reply)
}

type groupDiff struct {
	memberFlags
	Names []string `arg:"" optional:"" name:"member" help:"Members of --at to compare; none: all of them."`
}

// overrideDiff holds the differences between the overrides of several members.
type overrideDiff struct {
	Asked  []string                     `json:"asked"`  // the members that replied
	Differ map[string]map[string]string `json:"differ"` // the override of each member, by worker and member
	Silent []string                     `json:"silent"` // the addresses that did not reply
}

// Run queries all given members and prints the workers on which they differ.
func (g *groupDiff) Run(out output) error {
	if err := g.validate(); err != nil {
		return err
	}
	diff, err := g.compare()
	if err != nil {
		return err
	}
	if err := g.printJSON(out, diff); err != nil {
		return err
	}
	if !g.JSON {
		diff.print(out.stdout)
	}
	switch {
	case len(diff.Silent) > 0:
		return &retryLaterError{fmt.Sprintf("%s did not answer; the others differ on %d workers", strings.Join(diff.Silent, ", "), len(diff.Differ))}
	case len(diff.Differ) > 0:
		return &retryLaterError{fmt.Sprintf("the members differ on %d workers; they converge within seconds if all can be reached", len(diff.Differ))}
	case !g.JSON:
		fmt.Fprintf(out.stdout, "%s have the same overrides\n", strings.Join(diff.Asked, ", "))
	}
	return nil
}

// compare queries the members and returns their differences.
func (g *groupDiff) compare() (*overrideDiff, error) {
	diff := &overrideDiff{Differ: map[string]map[string]string{}}
	for _, address := range g.At {
		reply, err := gossip.CallMember(context.Background(), address, gossip.Call{})
		if err != nil {
			diff.Silent = append(diff.Silent, address)
			continue
		}
		if len(g.Names) == 0 || slices.Contains(g.Names, reply.Member) {
			diff.add(reply)
		}
	}
	for _, name := range g.Names {
		if len(diff.Silent) == 0 && !slices.Contains(diff.Asked, name) {
			return nil, fmt.Errorf("unknown member %q: no member of --at has this name", name)
		}
	}
	maps.DeleteFunc(diff.Differ, func(_ string, byMember map[string]string) bool { return diff.agreed(byMember) })
	return diff, nil
}

// add adds the overrides of a member.
func (d *overrideDiff) add(reply *gossip.Reply) {
	d.Asked = append(d.Asked, reply.Member)
	for _, override := range reply.Overrides {
		if d.Differ[override.Worker] == nil {
			d.Differ[override.Worker] = map[string]string{}
		}
		writes := make([]string, 0, len(override.Writes))
		for _, entry := range override.Writes {
			writes = append(writes, fmt.Sprintf("%s by %s", overrideWord(entry.Disabled), entry.Member))
		}
		d.Differ[override.Worker][reply.Member] = strings.Join(writes, " against ")
	}
}

// agreed reports whether all members have the same override of a worker.
func (d *overrideDiff) agreed(byMember map[string]string) bool {
	if len(byMember) != len(d.Asked) {
		return false
	}
	for _, overrides := range byMember {
		if overrides != byMember[d.Asked[0]] {
			return false
		}
	}
	return true
}

// print prints one line per worker and member, sorted by worker name.
func (d *overrideDiff) print(w io.Writer) {
	for _, worker := range slices.Sorted(maps.Keys(d.Differ)) {
		for _, member := range d.Asked {
			overrides := d.Differ[worker][member]
			if overrides == "" {
				overrides = "nothing"
			}
			fmt.Fprintf(w, "%s at %s: %s\n", worker, member, overrides)
		}
	}
}

// printOverrides prints one line per worker.
func printOverrides(w io.Writer, reply *gossip.Reply) {
	fmt.Fprintf(w, "according to %s, digest %s\n", reply.Member, reply.Digest)
	if !reply.CaughtUp {
		fmt.Fprintln(w, "the member has just started and has not caught up with enough other members")
	}
	if reply.NotPersisted != "" {
		fmt.Fprintf(w, "the member does not persist overrides across restarts: %s\n", reply.NotPersisted)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKER\tOVERRIDE\tCONFLICT\tWRITTEN AT, BY THAT MEMBER'S CLOCK")
	for _, override := range reply.Overrides {
		writes := make([]string, 0, len(override.Writes))
		for _, entry := range override.Writes {
			writes = append(writes, fmt.Sprintf("%s %s %s", entry.Member, overrideWord(entry.Disabled), entry.At.Format(time.DateTime)))
		}
		fmt.Fprintf(t, "%s\t%s\t%t\t%s\n", override.Worker, overrideWord(override.Disabled), override.Conflict, strings.Join(writes, ", "))
	}
	_ = t.Flush() // errors of writing to the terminal are ignored
}

// overrideWord returns the word for an override on the command line.
func overrideWord(disabled bool) string {
	if disabled {
		return "out"
	}
	return "back"
}

// callOverrides sends a request to the members in turn until one replies. An override that was not acknowledged may still be in force;
// writing it again has no further effect.
func (m *memberFlags) callOverrides(request gossip.Call) (reply *gossip.Reply, err error) {
	if err := m.validate(); err != nil {
		return nil, err
	}
	for _, address := range m.At {
		if reply, err = gossip.CallMember(context.Background(), address, request); err == nil {
			return reply, nil
		}
	}
	return nil, &retryLaterError{fmt.Sprintf("no member answered; try again: %v", err)}
}

// finishOverrides prints a reply and, if the call was invalid, converts its text to an error.
func (m *memberFlags) finishOverrides(out output, reply *gossip.Reply) error {
	if err := m.printJSON(out, reply); err != nil {
		return err
	}
	switch {
	case reply.Invalid:
		return errors.New(reply.Text)
	case !m.JSON && reply.Text != "":
		fmt.Fprintln(out.stdout, reply.Text)
	case !m.JSON:
		printOverrides(out.stdout, reply)
	}
	return nil
}
