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

type groupWords struct{ members }

// Run prints what staff have said of runners, as one member has it.
func (g *groupWords) Run(out output) error {
	r, err := g.words(gossip.Call{})
	if err != nil {
		return err
	}
	return g.tellWords(out, r)
}

type groupResolve struct {
	members
	Runner string `arg:"" help:"The runner, by discovery's name."`
	Word   string `arg:"" help:"out or back: it counts over all that this member knows of." enum:"out,back"`
}

// Run says a word that has seen all others that one member knows of.
func (g *groupResolve) Run(out output) error {
	r, err := g.words(gossip.Call{Worker: g.Runner, Disabled: g.Word == "out"})
	if err != nil {
		return err
	}
	return g.tellWords(out, r)
}

// words asks one member after the other until one answers. A word that was not answered may count all the same: said again it
// changes nothing.
func (m *members) words(c gossip.Call) (r *gossip.Reply, err error) {
	if err := m.check(); err != nil {
		return nil, err
	}
	for _, at := range m.At {
		if r, err = gossip.CallMember(context.Background(), at, c); err == nil {
			return r, nil
		}
	}
	return nil, &notNow{fmt.Sprintf("no member answers, ask again (%v)", err)}
}

func (m *members) tellWords(out output, r *gossip.Reply) error {
	if err := m.print(out, r); err != nil {
		return err
	}
	switch {
	case r.Invalid:
		return errors.New(r.Text)
	case !m.JSON && r.Text != "":
		fmt.Fprintln(out.std, r.Text)
	case !m.JSON:
		printWords(out.std, r)
	}
	return nil
}

func printWords(w io.Writer, r *gossip.Reply) {
	fmt.Fprintf(w, "told by %s, digest %s\n", r.Member, r.Digest)
	if !r.CaughtUp {
		fmt.Fprintln(w, "it has just started and has not heard of enough others")
	}
	if r.NotPersisted != "" {
		fmt.Fprintf(w, "it keeps nothing over a restart: %s\n", r.NotPersisted)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "RUNNER\tWORD\tCONFLICT\tSAID AT, BY THAT MEMBER'S CLOCK")
	for _, word := range r.Overrides {
		var said []string
		for _, s := range word.Writes {
			said = append(said, fmt.Sprintf("%s %s %s", s.Member, outOrBack(s.Disabled), s.At.Format(time.DateTime)))
		}
		fmt.Fprintf(t, "%s\t%s\t%t\t%s\n", word.Worker, outOrBack(word.Disabled), word.Conflict, strings.Join(said, ", "))
	}
	t.Flush()
}

func outOrBack(out bool) string {
	if out {
		return "out"
	}
	return "back"
}

type groupDiff struct {
	members
	Names []string `arg:"" optional:"" name:"member" help:"Members of --at to compare; none: all of them."`
}

// Run asks all members that are named and prints on which runners they differ.
func (g *groupDiff) Run(out output) error {
	if err := g.check(); err != nil {
		return err
	}
	has := map[string]map[string]string{} // by runner, then by member
	var all, silent []string
	for _, at := range g.At {
		r, err := gossip.CallMember(context.Background(), at, gossip.Call{})
		if err != nil {
			silent = append(silent, at)
			continue
		}
		if len(g.Names) > 0 && !slices.Contains(g.Names, r.Member) {
			continue
		}
		all = append(all, r.Member)
		for _, w := range r.Overrides {
			if has[w.Worker] == nil {
				has[w.Worker] = map[string]string{}
			}
			var said []string
			for _, s := range w.Writes {
				said = append(said, fmt.Sprintf("%s by %s", outOrBack(s.Disabled), s.Member))
			}
			has[w.Worker][r.Member] = strings.Join(said, " against ")
		}
	}
	for _, name := range g.Names {
		if len(silent) == 0 && !slices.Contains(all, name) {
			return fmt.Errorf("no member of --at is called %q", name)
		}
	}
	for runner, by := range has {
		same := len(by) == len(all)
		for _, words := range by {
			same = same && words == by[all[0]]
		}
		if same {
			delete(has, runner)
		}
	}
	if err := g.print(out, map[string]any{"asked": all, "silent": silent, "differ": has}); err != nil {
		return err
	}
	if !g.JSON {
		for _, runner := range slices.Sorted(maps.Keys(has)) {
			for _, member := range all {
				words := has[runner][member]
				if words == "" {
					words = "nothing"
				}
				fmt.Fprintf(out.std, "%s at %s: %s\n", runner, member, words)
			}
		}
	}
	switch {
	case len(silent) > 0:
		return &notNow{fmt.Sprintf("%s did not answer; the others differ on %d runners", strings.Join(silent, ", "), len(has))}
	case len(has) > 0:
		return &notNow{fmt.Sprintf("they differ on %d runners; where all can be reached this passes within seconds", len(has))}
	case !g.JSON:
		fmt.Fprintf(out.std, "%s have the same words\n", strings.Join(all, ", "))
	}
	return nil
}
