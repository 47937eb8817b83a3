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

// OverrideRule is broken when a word of staff does not bind, is lost, or members do not become one again.
const OverrideRule = "words"

// Override is what staff say at a member, by the timetable.
type Override struct {
	Member   int           `toml:"member"`
	Worker   int           `toml:"worker"` // of the day; one that is in no plan
	Disabled bool          `toml:"out"`
	At       time.Duration `toml:"at"`

	isLast bool // is said once all others were answered
}

// writtenOverride is a word that was answered yes.
type writtenOverride struct {
	Override
	name                        string
	requestedAt, acknowledgedAt time.Duration
	seenBy                      map[int]bool // members that have told of it
}

// convergeWithin is how long a word may take to all members that nothing parts: some rounds, and a restart.
const convergeWithin = 4 * time.Second

// writeOverride has staff say their words.
func (h *harness) writeOverride(ctx context.Context, w Override) {
	if sleep(ctx, w.At); ctx.Err() != nil {
		return
	}
	l := h.environment.Ledger()
	s := writtenOverride{Override: w, name: h.environment.Day().Workers[w.Worker].Name, requestedAt: l.Now()}
	for ; ctx.Err() == nil; sleep(ctx, 100*time.Millisecond) {
		r, err := gossip.CallMember(ctx, h.addresses[w.Member], gossip.Call{Worker: s.name, Disabled: w.Disabled})
		if err != nil || r.Invalid {
			continue // not there just now
		}
		s.acknowledgedAt = l.Now()
		h.mu.Lock()
		h.writtenOverrides = append(h.writtenOverrides, s)
		h.mu.Unlock()
		return
	}
}

// pollOverrides asks a member now and then which words it has.
func (h *harness) pollOverrides(ctx context.Context, member int) {
	every := 20 * time.Millisecond // as fine as the time to the last member is measured
	if h.options.RandomFaults > 0 {
		every = 200 * time.Millisecond // storms are played many side by side
	}
	for ; ctx.Err() == nil; sleep(ctx, every) {
		requestedAt := h.environment.Ledger().Now()
		if r, err := gossip.CallMember(ctx, h.addresses[member], gossip.Call{}); err == nil {
			h.mu.Lock()
			h.overrideReplies[member] = overrideReply{requestedAt, r}
			h.recordConvergence(member, r)
			h.mu.Unlock()
		}
	}
}

// recordConvergence notes the words "out" that a member has, when it tells of them first. The lock is held.
func (h *harness) recordConvergence(member int, r *gossip.Reply) {
	for _, w := range r.Overrides {
		for i := range h.writtenOverrides {
			s := &h.writtenOverrides[i]
			if s.name != w.Worker || !s.Disabled || !w.Disabled || s.seenBy[member] {
				continue
			}
			if s.seenBy == nil {
				s.seenBy = map[int]bool{}
			}
			if s.seenBy[member] = true; len(s.seenBy) == len(h.addresses) {
				h.result.Convergence = append(h.result.Convergence, max(h.environment.Ledger().Now()-s.acknowledgedAt, 0))
			}
		}
	}
}

// overrideReply is a member's answer on its words.
type overrideReply struct {
	requestedAt time.Duration
	reply       *gossip.Reply
}

// quietFrom is the first moment from one on at which nothing was wrong for as long as a word may take.
func (h *harness) quietFrom(from time.Duration) time.Duration {
	for moved := true; moved; {
		moved = false
		for _, f := range h.injected {
			begin, end := f.At, f.At+f.For
			if !slices.Contains([]string{WorkerCrash, WorkerDrain, WorkerHang, LoseWorkers, LoseDiscovery, FailForMember, FailForAll}, f.Kind) && begin < from+convergeWithin && end > from {
				from, moved = end, true
			}
		}
	}
	return from
}

// wasPartitioned tells whether two members were cut off from each other all the time.
func (h *harness) wasPartitioned(a, b int, from, to time.Duration) bool {
	return a != b && slices.ContainsFunc(h.injected, func(f Fault) bool {
		return f.Kind == Partition && (f.Member == a || f.Member == b) && f.At < from && f.At+f.For > to
	})
}

// losable tells whether the one disk that had a word may have been lost, or been replaced by another, before others heard it.
func (h *harness) losable(w *writtenOverride) bool {
	around := h.quietFrom(w.acknowledgedAt) + convergeWithin
	return slices.ContainsFunc(h.injected, func(f Fault) bool {
		return slices.Contains([]string{LoseDisk, OutdatedDisk, OutdatedDiskElsewhere, ForeignDisk}, f.Kind) && f.Member == w.Member && f.At < around && (f.lost == 0 || f.lost > w.requestedAt)
	}) || h.options.Diskless
}

// overrideViolations judges by what workers saw, and by what members tell at the end. The lock is held.
func (h *harness) overrideViolations(s *testbed.Environment) (out []invariant.Violation) {
	if len(h.options.Overrides) == 0 {
		return nil
	}
	breach := func(kind string, at time.Duration, who int, format string, v ...any) {
		out = append(out, invariant.Violation{Rule: OverrideRule, Kind: kind, At: at, Who: who, Lines: []string{fmt.Sprintf(format, v...)}})
	}
	if len(h.writtenOverrides) < len(h.options.Overrides) {
		breach("not taken", s.Ledger().Now(), -1, "%d of %d words were answered yes", len(h.writtenOverrides), len(h.options.Overrides))
	}
	slices.SortFunc(h.writtenOverrides, func(a, b writtenOverride) int { return int(a.requestedAt - b.requestedAt) })
	for _, w := range h.writtenOverrides {
		until := s.Ledger().Now() // a word back ends this one, unless it was surely said before, or without sight of it
		for _, o := range h.writtenOverrides {
			if o.Worker == w.Worker && !o.Disabled && o.acknowledgedAt > w.requestedAt && !h.wasPartitioned(w.Member, o.Member, w.requestedAt, o.acknowledgedAt) {
				until = min(until, max(o.requestedAt, w.requestedAt))
			}
		}
		if !w.Disabled || h.losable(&w) {
			continue
		}
		all := h.quietFrom(w.acknowledgedAt) + convergeWithin
		for _, a := range s.Ledger().Attempts() {
			if a.Worker != w.Worker || a.Last == 0 || a.Last >= until {
				continue
			}
			if a.Dispatcher == w.Member && a.Last > w.acknowledgedAt+s.Slack() {
				breach("said here", a.Last, a.Dispatcher, "%s was out from %.3fs by word to this dispatcher; a job's last byte came at %.3fs",
					w.name, w.acknowledgedAt.Seconds(), a.Last.Seconds())
			} else if a.Last > all {
				breach("said elsewhere", a.Last, a.Dispatcher, "%s was out from %.3fs by word to dispatcher %d; a job's last byte came at %.3fs",
					w.name, w.acknowledgedAt.Seconds(), w.Member, a.Last.Seconds())
			}
		}
	}
	end := h.quietFrom(0)
	for _, w := range h.writtenOverrides {
		end = max(end, h.quietFrom(w.acknowledgedAt))
	}
	if end += convergeWithin; end > s.Origin()+h.options.For {
		return out // the last word or fault was too late for the day to show that all are one
	}
	losable := map[int]bool{} // workers one word on which may be lost
	for i := range h.writtenOverrides {
		losable[h.writtenOverrides[i].Worker] = losable[h.writtenOverrides[i].Worker] || h.losable(&h.writtenOverrides[i])
	}
	for i := range h.addresses {
		t, ok := h.overrideReplies[i]
		if !ok || t.requestedAt < end {
			breach("no answer", end, i, "it told nothing of its words after %.3fs", end.Seconds())
			continue
		}
		if first := h.overrideReplies[0].reply; first != nil && t.reply.Digest != first.Digest {
			breach("not one", t.requestedAt, i, "it has %s, dispatcher 0 %s", overridesOf(t.reply), overridesOf(first))
		}
		for worker := range s.Day().Workers {
			last, sure := h.lastOverride(worker)
			if last == nil || !sure || losable[worker] {
				continue
			}
			is := slices.ContainsFunc(t.reply.Overrides, func(w gossip.OverrideStatus) bool { return w.Worker == last.name && w.Disabled })
			if is != last.Disabled {
				breach("not the last", t.requestedAt, i, "%s: out %t was said last, at dispatcher %d; it has %s", last.name, last.Disabled, last.Member, overridesOf(t.reply))
			}
		}
	}
	return out
}

// lastOverride is the word on a worker that was said last, and whether that is sure: all others had got around when it was said, or it says
// "out" and none that was answered since says "back". The lock is held.
func (h *harness) lastOverride(worker int) (last *writtenOverride, sure bool) {
	for i := range h.writtenOverrides {
		if w := &h.writtenOverrides[i]; w.Worker == worker {
			last = w
		}
	}
	if last == nil {
		return nil, false
	}
	for i := range h.writtenOverrides {
		w := &h.writtenOverrides[i]
		if w == last || w.Worker != worker {
			continue
		}
		if h.quietFrom(w.acknowledgedAt)+convergeWithin > last.requestedAt && (!last.Disabled || !w.Disabled && w.acknowledgedAt > last.requestedAt) {
			return last, false
		}
	}
	return last, true
}

func overridesOf(r *gossip.Reply) string {
	all := make([]string, 0, len(r.Overrides))
	for _, w := range r.Overrides {
		all = append(all, fmt.Sprintf("%s out %t conflict %t", w.Worker, w.Disabled, w.Conflict))
	}
	return r.Digest + " (" + strings.Join(all, ", ") + ")"
}

// overridesInForce are the times for which runners were out by words, up to the first word back. The lock is held.
func (h *harness) overridesInForce() (out []workerOutage) {
	for _, w := range h.writtenOverrides {
		if !w.Disabled || h.losable(&w) {
			continue
		}
		d := workerOutage{from: h.quietFrom(w.acknowledgedAt)}
		for _, o := range h.writtenOverrides {
			if o.Worker == w.Worker && !o.Disabled && o.requestedAt > w.acknowledgedAt && (d.until == 0 || o.requestedAt < d.until) {
				d.until = o.requestedAt
			}
		}
		out = append(out, d)
	}
	return out
}

// writeRandomOverrides has words be said beside the faults.
func (h *harness) writeRandomOverrides(ctx context.Context, all *sync.WaitGroup) {
	if len(h.options.Overrides) == 0 {
		return
	}
	for i := range h.addresses {
		all.Go(func() { h.pollOverrides(ctx, i) })
	}
	var first sync.WaitGroup
	for _, w := range h.options.Overrides {
		if !w.isLast {
			first.Go(func() { h.writeOverride(ctx, w) })
		}
	}
	for _, w := range h.options.Overrides {
		if w.isLast {
			all.Go(func() {
				from := h.environment.Ledger().Now()
				first.Wait() // a member that is away takes what was said to it late
				w.At -= h.environment.Ledger().Now() - from
				h.writeOverride(ctx, w)
			})
		}
	}
	all.Go(first.Wait)
}
