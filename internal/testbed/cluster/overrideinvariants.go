package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"birchfork/internal/gossip"
	"birchfork/internal/testbed"
	"birchfork/internal/testbed/invariant"
)

// OverrideRule is violated when an acknowledged override does not bind or is lost, or when members do not converge.
const OverrideRule = "words"

// convergeWithin is how long an override may take to all members while no fault keeps them apart: some rounds of gossip, and a restart.
const convergeWithin = 4 * time.Second

// overrideViolation returns a violation of the rule on overrides.
func overrideViolation(kind string, at time.Duration, who int, format string, v ...any) invariant.Violation {
	return invariant.Violation{Rule: OverrideRule, Kind: kind, At: at, Dispatcher: who, Lines: []string{fmt.Sprintf(format, v...)}}
}

// overrideViolations checks overrides by the requests that workers saw, and by what members answered at the end. The caller holds the
// lock.
func (h *harness) overrideViolations(s *testbed.Environment) (out []invariant.Violation) {
	if len(h.options.Overrides) == 0 {
		return nil
	}
	if len(h.writtenOverrides) < len(h.options.Overrides) {
		out = append(out, overrideViolation("not taken", s.Ledger().Now(), -1,
			"%d of %d words were answered yes", len(h.writtenOverrides), len(h.options.Overrides)))
	}
	slices.SortFunc(h.writtenOverrides, func(a, b writtenOverride) int { return cmp.Compare(a.requestedAt, b.requestedAt) })
	for i := range h.writtenOverrides {
		out = append(out, h.ignoredOverrideViolations(s, &h.writtenOverrides[i])...)
	}
	return append(out, h.divergenceViolations(s)...)
}

// ignoredOverrideViolations returns the attempts at a worker while an override disabled it: at the member where it was written from its
// acknowledgement on, at the others from when they must have received it. The caller holds the lock.
func (h *harness) ignoredOverrideViolations(s *testbed.Environment, o *writtenOverride) (out []invariant.Violation) {
	if !o.Disabled || h.mayBeLost(o) {
		return nil
	}
	until := h.disabledUntil(s, o)
	everywhereAt := h.faultFreeFrom(o.acknowledgedAt) + convergeWithin
	for _, a := range s.Ledger().Attempts() {
		if a.Worker != o.Worker || a.Last == 0 || a.Last >= until {
			continue
		}
		switch {
		case a.Dispatcher == o.Member && a.Last > o.acknowledgedAt+s.Slack():
			out = append(out, overrideViolation("said here", a.Last, a.Dispatcher,
				"%s was out from %.3fs by word to this dispatcher; a job's last byte came at %.3fs",
				o.name, o.acknowledgedAt.Seconds(), a.Last.Seconds()))
		case a.Last > everywhereAt:
			out = append(out, overrideViolation("said elsewhere", a.Last, a.Dispatcher,
				"%s was out from %.3fs by word to dispatcher %d; a job's last byte came at %.3fs",
				o.name, o.acknowledgedAt.Seconds(), o.Member, a.Last.Seconds()))
		}
	}
	return out
}

// disabledUntil returns when an override may first have ended: an enabling one ends it, unless that was certainly written before it, or
// by a member that could not know of it. The caller holds the lock.
func (h *harness) disabledUntil(s *testbed.Environment, o *writtenOverride) time.Duration {
	until := s.Ledger().Now()
	for _, other := range h.writtenOverrides {
		mayEnd := other.Worker == o.Worker && !other.Disabled && other.acknowledgedAt > o.requestedAt
		if mayEnd && !h.wasPartitioned(o.Member, other.Member, o.requestedAt, other.acknowledgedAt) {
			until = min(until, max(other.requestedAt, o.requestedAt))
		}
	}
	return until
}

// divergenceViolations returns the members that did not answer at the end, or answered with other overrides than the first member or
// than those that were written last. It returns none where the last override or fault ended too late for the run to show that members
// converge. The caller holds the lock.
func (h *harness) divergenceViolations(s *testbed.Environment) (out []invariant.Violation) {
	convergedAt := h.convergedAt()
	if convergedAt > s.Origin()+h.options.For {
		return nil
	}
	losable := h.workersWithLosableOverrides()
	for member := range h.addresses {
		answer, ok := h.overrideReplies[member]
		if !ok || answer.requestedAt < convergedAt {
			out = append(out, overrideViolation("no answer", convergedAt, member,
				"it told nothing of its words after %.3fs", convergedAt.Seconds()))
			continue
		}
		if first := h.overrideReplies[0].reply; first != nil && answer.reply.Digest != first.Digest {
			out = append(out, overrideViolation("not one", answer.requestedAt, member,
				"it has %s, dispatcher 0 %s", describeOverrides(answer.reply), describeOverrides(first)))
		}
		for worker := range s.Day().Workers {
			last, isCertain := h.lastOverride(worker)
			if last == nil || !isCertain || losable[worker] {
				continue
			}
			isDisabled := slices.ContainsFunc(answer.reply.Overrides, func(o gossip.OverrideStatus) bool { return o.Worker == last.name && o.Disabled })
			if isDisabled != last.Disabled {
				out = append(out, overrideViolation("not the last", answer.requestedAt, member,
					"%s: out %t was said last, at dispatcher %d; it has %s", last.name, last.Disabled, last.Member, describeOverrides(answer.reply)))
			}
		}
	}
	return out
}

// convergedAt returns when all members must have all overrides. The caller holds the lock.
func (h *harness) convergedAt() time.Duration {
	quiet := h.faultFreeFrom(0)
	for _, o := range h.writtenOverrides {
		quiet = max(quiet, h.faultFreeFrom(o.acknowledgedAt))
	}
	return quiet + convergeWithin
}

// workersWithLosableOverrides returns the workers of which an override may have been lost. The caller holds the lock.
func (h *harness) workersWithLosableOverrides() map[int]bool {
	losable := map[int]bool{}
	for i := range h.writtenOverrides {
		if o := &h.writtenOverrides[i]; h.mayBeLost(o) {
			losable[o.Worker] = true
		}
	}
	return losable
}

// faultFreeFrom returns the first moment, not before from, at which no fault of members or of the links between them is active or
// begins within convergeWithin. The caller holds the lock.
func (h *harness) faultFreeFrom(from time.Duration) time.Duration {
	for moved := true; moved; {
		moved = false
		for _, f := range h.injected {
			end := f.At + f.For
			if !f.isOneOf(externalFaults) && f.At < from+convergeWithin && end > from {
				from, moved = end, true
			}
		}
	}
	return from
}

// wasPartitioned reports whether a single fault cut two members off from each other for all of a time. The caller holds the lock.
func (h *harness) wasPartitioned(a, b int, from, to time.Duration) bool {
	return a != b && slices.ContainsFunc(h.injected, func(f Fault) bool {
		return f.Kind == Partition && (f.Member == a || f.Member == b) && f.At < from && f.At+f.For > to
	})
}

// mayBeLost reports whether the only disk with an override may have been lost or replaced before others received it. The caller holds
// the lock.
func (h *harness) mayBeLost(o *writtenOverride) bool {
	if h.options.Diskless {
		return true
	}
	everywhereAt := h.faultFreeFrom(o.acknowledgedAt) + convergeWithin
	return slices.ContainsFunc(h.injected, func(f Fault) bool {
		wasLostAfter := f.lostAt == 0 || f.lostAt > o.requestedAt
		return f.isOneOf(overrideLossFaults) && f.Member == o.Member && f.At < everywhereAt && wasLostAfter
	})
}

// lastOverride returns the override of a worker that was written last, and whether its effect is certain: all others had reached all
// members before it was written, or it disables and no enabling one was acknowledged since. The caller holds the lock.
func (h *harness) lastOverride(worker int) (last *writtenOverride, isCertain bool) {
	for i := range h.writtenOverrides {
		if o := &h.writtenOverrides[i]; o.Worker == worker {
			last = o
		}
	}
	if last == nil {
		return nil, false
	}
	for i := range h.writtenOverrides {
		o := &h.writtenOverrides[i]
		if o == last || o.Worker != worker || h.faultFreeFrom(o.acknowledgedAt)+convergeWithin <= last.requestedAt {
			continue
		}
		enabledSince := !o.Disabled && o.acknowledgedAt > last.requestedAt
		if !last.Disabled || enabledSince {
			return last, false
		}
	}
	return last, true
}

// describeOverrides returns the overrides of a member's answer for a violation's text.
func describeOverrides(r *gossip.Reply) string {
	all := make([]string, 0, len(r.Overrides))
	for _, o := range r.Overrides {
		all = append(all, fmt.Sprintf("%s out %t conflict %t", o.Worker, o.Disabled, o.Conflict))
	}
	return r.Digest + " (" + strings.Join(all, ", ") + ")"
}

// overrideOutages returns the times for which workers were disabled by overrides that all members had, up to the first enabling one.
// The caller holds the lock.
func (h *harness) overrideOutages() (out []workerOutage) {
	for i := range h.writtenOverrides {
		o := &h.writtenOverrides[i]
		if !o.Disabled || h.mayBeLost(o) {
			continue
		}
		outage := workerOutage{from: h.faultFreeFrom(o.acknowledgedAt)}
		for _, other := range h.writtenOverrides {
			ends := other.Worker == o.Worker && !other.Disabled && other.requestedAt > o.acknowledgedAt
			if ends && (outage.until == 0 || other.requestedAt < outage.until) {
				outage.until = other.requestedAt
			}
		}
		out = append(out, outage)
	}
	return out
}
