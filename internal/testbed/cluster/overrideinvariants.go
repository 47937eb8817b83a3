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

// OverrideRule is violated when an acknowledged override is ignored or lost, or when members do not converge.
const OverrideRule = "words"

// convergeWithin is the time in which an override has to reach all members while no fault separates them. It covers some gossip rounds
// and a restart.
const convergeWithin = 4 * time.Second

// overrideViolation returns a violation of OverrideRule.
func overrideViolation(kind string, at time.Duration, member int, format string, v ...any) invariant.Violation {
	return invariant.Violation{Rule: OverrideRule, Kind: kind, At: at, Dispatcher: member, Lines: []string{fmt.Sprintf(format, v...)}}
}

// overrideViolations checks overrides against the requests that workers received and against the last replies of members. The caller
// holds the lock.
func (h *harness) overrideViolations(s *testbed.Environment) (out []invariant.Violation) {
	if len(h.options.Overrides) == 0 {
		return nil
	}
	if len(h.writtenOverrides) < len(h.options.Overrides) {
		out = append(out, overrideViolation("not taken", s.Ledger().Now(), -1,
			"%d of %d overrides were acknowledged", len(h.writtenOverrides), len(h.options.Overrides)))
	}
	slices.SortFunc(h.writtenOverrides, func(a, b writtenOverride) int { return cmp.Compare(a.requestedAt, b.requestedAt) })
	for i := range h.writtenOverrides {
		out = append(out, h.ignoredOverrideViolations(s, &h.writtenOverrides[i])...)
	}
	return append(out, h.divergenceViolations(s)...)
}

// ignoredOverrideViolations returns the attempts at a worker while an override disabled it. The override binds the member at which it was
// written from its acknowledgement on, and the others from when they must have received it. The caller holds the lock.
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
				"%s was disabled from %.3fs by an override at this dispatcher; the last byte of a request arrived at the worker at %.3fs",
				o.name, o.acknowledgedAt.Seconds(), a.Last.Seconds()))
		case a.Last > everywhereAt:
			out = append(out, overrideViolation("said elsewhere", a.Last, a.Dispatcher,
				"%s was disabled from %.3fs by an override at dispatcher %d; the last byte of a request arrived at the worker at %.3fs",
				o.name, o.acknowledgedAt.Seconds(), o.Member, a.Last.Seconds()))
		}
	}
	return out
}

// disabledUntil returns the earliest time at which an override may have ended. An enabling override ends it, unless that one was certainly
// written earlier or by a member that could not know of it. The caller holds the lock.
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

// divergenceViolations returns the members that did not reply at the end of the run, or whose overrides differ from those of the first
// member or from the last written ones. It returns none if the last override or fault came too late for members to converge within the
// run. The caller holds the lock.
func (h *harness) divergenceViolations(s *testbed.Environment) (out []invariant.Violation) {
	convergedAt := h.convergedAt()
	if convergedAt > s.Origin()+h.options.For {
		return nil
	}
	losable := h.workersWithLosableOverrides()
	for member := range h.addresses {
		latest, ok := h.overrideReplies[member]
		if !ok || latest.requestedAt < convergedAt {
			out = append(out, overrideViolation("no answer", convergedAt, member,
				"it did not report its overrides after %.3fs", convergedAt.Seconds()))
			continue
		}
		if first := h.overrideReplies[0].reply; first != nil && latest.reply.Digest != first.Digest {
			out = append(out, overrideViolation("not one", latest.requestedAt, member,
				"its overrides are %s, those of dispatcher 0 are %s", describeOverrides(latest.reply), describeOverrides(first)))
		}
		for worker := range s.Schedule().Workers {
			last, isCertain := h.lastOverride(worker)
			if last == nil || !isCertain || losable[worker] {
				continue
			}
			isDisabled := slices.ContainsFunc(latest.reply.Overrides, func(o gossip.OverrideStatus) bool { return o.Worker == last.name && o.Disabled })
			if isDisabled != last.Disabled {
				out = append(out, overrideViolation("not the last", latest.requestedAt, member,
					"%s: the last override has disabled=%t and was written at dispatcher %d; the overrides of this dispatcher are %s",
					last.name, last.Disabled, last.Member, describeOverrides(latest.reply)))
			}
		}
	}
	return out
}

// convergedAt returns when all members must have all overrides. The caller holds the lock.
func (h *harness) convergedAt() time.Duration {
	faultFreeAt := h.faultFreeFrom(0)
	for _, o := range h.writtenOverrides {
		faultFreeAt = max(faultFreeAt, h.faultFreeFrom(o.acknowledgedAt))
	}
	return faultFreeAt + convergeWithin
}

// workersWithLosableOverrides returns the workers with an override that may have been lost. The caller holds the lock.
func (h *harness) workersWithLosableOverrides() map[int]bool {
	losable := map[int]bool{}
	for i := range h.writtenOverrides {
		if o := &h.writtenOverrides[i]; h.mayBeLost(o) {
			losable[o.Worker] = true
		}
	}
	return losable
}

// faultFreeFrom returns the earliest time, not before from, at which no fault of members or of the links between them is active or begins
// within convergeWithin. The caller holds the lock.
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

// wasPartitioned reports whether a single fault separated two members for the whole period. The caller holds the lock.
func (h *harness) wasPartitioned(a, b int, from, to time.Duration) bool {
	return a != b && slices.ContainsFunc(h.injected, func(f Fault) bool {
		return f.Kind == Partition && (f.Member == a || f.Member == b) && f.At < from && f.At+f.For > to
	})
}

// mayBeLost reports whether the only disk with an override may have been lost or replaced before other members received it. The caller
// holds the lock.
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

// lastOverride returns the last written override of a worker, and whether its effect is certain. It is certain if all others had reached
// all members before it was written, or if it disables the worker and no enabling one was acknowledged since. The caller holds the lock.
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

// describeOverrides formats the overrides of a member's reply for a violation.
func describeOverrides(r *gossip.Reply) string {
	all := make([]string, 0, len(r.Overrides))
	for _, o := range r.Overrides {
		all = append(all, fmt.Sprintf("%s disabled=%t conflict=%t", o.Worker, o.Disabled, o.Conflict))
	}
	return r.Digest + " (" + strings.Join(all, ", ") + ")"
}

// overrideOutages returns the periods in which workers were disabled by overrides that all members had, up to the first enabling one. The
// caller holds the lock.
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
