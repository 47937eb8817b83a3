package cluster

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"birchfork/internal/gossip"
	"birchfork/internal/testbed"
	"birchfork/internal/testbed/invariant"
)

// WordsRule is broken when a word of staff does not bind, is lost, or members do not become one again.
const WordsRule = "words"

// Word is what staff say at a member, by the timetable.
type Word struct {
	Member int           `toml:"member"`
	Worker int           `toml:"worker"` // of the day; one that is in no plan
	Out    bool          `toml:"out"`
	At     time.Duration `toml:"at"`

	last bool // is said once all others were answered
}

// spoken is a word that was answered yes.
type spoken struct {
	Word
	name        string
	asked, came time.Duration
	by          map[int]bool // members that have told of it
}

// spreadWithin is how long a word may take to all members that nothing parts: some rounds, and a restart.
const spreadWithin = 4 * time.Second

// speak has staff say their words.
func (g *rig) speak(ctx context.Context, w Word) {
	if sleep(ctx, w.At); ctx.Err() != nil {
		return
	}
	l := g.stage.Ledger()
	s := spoken{Word: w, name: g.stage.Day().Workers[w.Worker].Name, asked: l.Now()}
	for ; ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		r, err := gossip.CallMember(ctx, g.real[w.Member], gossip.Call{Worker: s.name, Disabled: w.Out})
		if err != nil || r.Invalid {
			continue // not there just now
		}
		s.came = l.Now()
		g.mu.Lock()
		g.spoken = append(g.spoken, s)
		g.mu.Unlock()
		return
	}
}

// listen asks a member now and then which words it has.
func (g *rig) listen(ctx context.Context, member int) {
	every := 20 * time.Millisecond // as fine as the time to the last member is measured
	if g.o.Storm > 0 {
		every = 200 * time.Millisecond // storms are played many side by side
	}
	for ; ctx.Err() == nil; sleep(ctx, every) {
		asked := g.stage.Ledger().Now()
		if r, err := gossip.CallMember(ctx, g.real[member], gossip.Call{}); err == nil {
			g.mu.Lock()
			g.told[member] = told{asked, r}
			g.reached(member, r)
			g.mu.Unlock()
		}
	}
}

// reached notes the words "out" that a member has, when it tells of them first. The lock is held.
func (g *rig) reached(member int, r *gossip.Reply) {
	for _, w := range r.Overrides {
		for i := range g.spoken {
			s := &g.spoken[i]
			if s.name != w.Worker || !s.Out || !w.Disabled || s.by[member] {
				continue
			}
			if s.by == nil {
				s.by = map[int]bool{}
			}
			if s.by[member] = true; len(s.by) == len(g.real) {
				g.result.Reached = append(g.result.Reached, max(g.stage.Ledger().Now()-s.came, 0))
			}
		}
	}
}

// told is a member's answer on its words.
type told struct {
	asked time.Duration
	reply *gossip.Reply
}

// calm is the first moment from one on at which nothing was wrong for as long as a word may take.
func (g *rig) calm(from time.Duration) time.Duration {
	for moved := true; moved; {
		moved = false
		for _, f := range g.had {
			begin, end := f.At, f.At+f.For
			if !slices.Contains([]string{Down, Leaves, Hang, Far, Unlist, Spoilt, Errs}, f.Kind) && begin < from+spreadWithin && end > from {
				from, moved = end, true
			}
		}
	}
	return from
}

// parted tells whether two members were cut off from each other all the time.
func (g *rig) parted(a, b int, from, to time.Duration) bool {
	return a != b && slices.ContainsFunc(g.had, func(f Fault) bool {
		return f.Kind == Cut && (f.Member == a || f.Member == b) && f.At < from && f.At+f.For > to
	})
}

// losable tells whether the one disk that had a word may have been lost, or been replaced by another, before others heard it.
func (g *rig) losable(w *spoken) bool {
	around := g.calm(w.came) + spreadWithin
	return slices.ContainsFunc(g.had, func(f Fault) bool {
		return slices.Contains([]string{Wipe, Old, Put, Alien}, f.Kind) && f.Member == w.Member && f.At < around && (f.lost == 0 || f.lost > w.asked)
	}) || g.o.Diskless
}

// wordBreaches judges by what workers saw, and by what members tell at the end. The lock is held.
func (g *rig) wordBreaches(s *testbed.Stage) (out []invariant.Breach) {
	if len(g.o.Words) == 0 {
		return nil
	}
	breach := func(kind string, at time.Duration, who int, format string, v ...any) {
		out = append(out, invariant.Breach{Rule: WordsRule, Kind: kind, At: at, Who: who, Lines: []string{fmt.Sprintf(format, v...)}})
	}
	if len(g.spoken) < len(g.o.Words) {
		breach("not taken", s.Ledger().Now(), -1, "%d of %d words were answered yes", len(g.spoken), len(g.o.Words))
	}
	slices.SortFunc(g.spoken, func(a, b spoken) int { return int(a.asked - b.asked) })
	for _, w := range g.spoken {
		until := s.Ledger().Now() // a word back ends this one, unless it was surely said before, or without sight of it
		for _, o := range g.spoken {
			if o.Worker == w.Worker && !o.Out && o.came > w.asked && !g.parted(w.Member, o.Member, w.asked, o.came) {
				until = min(until, max(o.asked, w.asked))
			}
		}
		if !w.Out || g.losable(&w) {
			continue
		}
		all := g.calm(w.came) + spreadWithin
		for _, a := range s.Ledger().Attempts() {
			if a.Worker != w.Worker || a.Last == 0 || a.Last >= until {
				continue
			}
			if a.Dispatcher == w.Member && a.Last > w.came+s.Slack() {
				breach("said here", a.Last, a.Dispatcher, "%s was out from %.3fs by word to this dispatcher; a job's last byte came at %.3fs",
					w.name, w.came.Seconds(), a.Last.Seconds())
			} else if a.Last > all {
				breach("said elsewhere", a.Last, a.Dispatcher, "%s was out from %.3fs by word to dispatcher %d; a job's last byte came at %.3fs",
					w.name, w.came.Seconds(), w.Member, a.Last.Seconds())
			}
		}
	}
	end := g.calm(0)
	for _, w := range g.spoken {
		end = max(end, g.calm(w.came))
	}
	if end += spreadWithin; end > s.Origin()+g.o.For {
		return out // the last word or fault was too late for the day to show that all are one
	}
	losable := map[int]bool{} // workers one word on which may be lost
	for i := range g.spoken {
		losable[g.spoken[i].Worker] = losable[g.spoken[i].Worker] || g.losable(&g.spoken[i])
	}
	for i := range g.real {
		t, ok := g.told[i]
		if !ok || t.asked < end {
			breach("no answer", end, i, "it told nothing of its words after %.3fs", end.Seconds())
			continue
		}
		if first := g.told[0].reply; first != nil && t.reply.Digest != first.Digest {
			breach("not one", t.asked, i, "it has %s, dispatcher 0 %s", wordsOf(t.reply), wordsOf(first))
		}
		for worker := range s.Day().Workers {
			last, sure := g.lastOn(worker)
			if last == nil || !sure || losable[worker] {
				continue
			}
			is := slices.ContainsFunc(t.reply.Overrides, func(w gossip.OverrideStatus) bool { return w.Worker == last.name && w.Disabled })
			if is != last.Out {
				breach("not the last", t.asked, i, "%s: out %t was said last, at dispatcher %d; it has %s", last.name, last.Out, last.Member, wordsOf(t.reply))
			}
		}
	}
	return out
}

// lastOn is the word on a worker that was said last, and whether that is sure: all others had got around when it was said, or it says
// "out" and none that was answered since says "back". The lock is held.
func (g *rig) lastOn(worker int) (last *spoken, sure bool) {
	for i := range g.spoken {
		if w := &g.spoken[i]; w.Worker == worker {
			last = w
		}
	}
	if last == nil {
		return nil, false
	}
	for i := range g.spoken {
		w := &g.spoken[i]
		if w == last || w.Worker != worker {
			continue
		}
		if g.calm(w.came)+spreadWithin > last.asked && (!last.Out || !w.Out && w.came > last.asked) {
			return last, false
		}
	}
	return last, true
}

func wordsOf(r *gossip.Reply) string {
	all := make([]string, 0, len(r.Overrides))
	for _, w := range r.Overrides {
		all = append(all, fmt.Sprintf("%s out %t conflict %t", w.Worker, w.Disabled, w.Conflict))
	}
	return r.Digest + " (" + strings.Join(all, ", ") + ")"
}

// byHand are the times for which runners were out by words, up to the first word back. The lock is held.
func (g *rig) byHand() (out []down) {
	for _, w := range g.spoken {
		if !w.Out || g.losable(&w) {
			continue
		}
		d := down{from: g.calm(w.came)}
		for _, o := range g.spoken {
			if o.Worker == w.Worker && !o.Out && o.asked > w.came && (d.until == 0 || o.asked < d.until) {
				d.until = o.asked
			}
		}
		out = append(out, d)
	}
	return out
}

// saySome has words be said beside the faults.
func (g *rig) saySome(ctx context.Context, all *sync.WaitGroup) {
	if len(g.o.Words) == 0 {
		return
	}
	for i := range g.real {
		all.Go(func() { g.listen(ctx, i) })
	}
	var first sync.WaitGroup
	for _, w := range g.o.Words {
		if !w.last {
			first.Go(func() { g.speak(ctx, w) })
		}
	}
	for _, w := range g.o.Words {
		if w.last {
			all.Go(func() {
				from := g.stage.Ledger().Now()
				first.Wait() // a member that is away takes what was said to it late
				w.At -= g.stage.Ledger().Now() - from
				g.speak(ctx, w)
			})
		}
	}
	all.Go(first.Wait)
}
