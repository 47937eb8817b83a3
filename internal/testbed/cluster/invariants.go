package cluster

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"birchfork/internal/coordinator"
	"birchfork/internal/maintenance"
	"birchfork/internal/testbed"
	"birchfork/internal/testbed/invariant"
)

// The rules of a group, in addition to the four rules of a dispatcher.
const (
	DrainRule    = "clear"   // no request starts or runs on a machine from the reply that it is drained until it is returned
	BudgetRule   = "budget"  // no more machines are in maintenance or warming up than the plan allows
	OrderRule    = "order"   // all replies are consistent with a single history
	ProgressRule = "goes on" // when the run ends, the plan has ended and the joining member is in the group
	OutlierRule  = "warned"  // a worker that fails for all members gets no non-idempotent requests after two failures
	EndpointRule = "listed"  // a member that lost discovery sends nothing to a worker that others know to be draining
	UseRule      = "use"     // a worker that fails for only one member stays in use by the others
)

// Rules are the names of the group's rules in the order in which results list them.
var Rules = []string{DrainRule, BudgetRule, OrderRule, ProgressRule, OverrideRule, OutlierRule, EndpointRule, UseRule}

// outageKnownWithin is the time after which the leader has to know of a worker's outage. It covers the endpoint list update to the
// members and their reports to the leader. On slow links, a choice that is based on earlier reports may be committed seconds later.
const outageKnownWithin = 2 * time.Second

// checkInvariants checks the group's rules against the observations of workers and operators.
func (h *harness) checkInvariants(s *testbed.Environment) []invariant.Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	outages := append(h.overrideOutages(), h.workerOutages...)
	out := drainViolations(s.Ledger().Attempts(), h.maintenanceWindows)
	out = append(out, budgetViolations(h.maintenanceWindows, outages, h.lastSeenWaiting, h.options.MaxUnavailable, s.Schedule().Scenario.Terms.SlowStartWindow)...)
	out = append(out, historyViolations(h.statuses)...)
	out = append(out, undoneEntryViolations(h.statuses)...)
	out = append(out, lostEntryViolations(h.statuses, h.maintenanceWindows)...)
	out = append(out, h.overrideViolations(s)...)
	out = append(out, h.endpointViolations(s)...)
	out = append(out, h.workerFailureViolations(s)...)
	return append(out, h.progressViolations(s)...)
}

// workerFailureViolations checks how members use a failing worker, in scenarios without any other fault: another fault might separate
// members from the worker or from each other's reports. The caller holds the lock.
func (h *harness) workerFailureViolations(s *testbed.Environment) []invariant.Violation {
	if len(h.result.Faults) != 1 {
		return nil
	}
	f := h.result.Faults[0]
	from := h.result.Origin + f.At
	to := from + f.For
	switch f.Kind {
	case FailForMember:
		return useViolations(s.Ledger().Attempts(), f.Member, from, to)
	case FailForAll:
		return outlierViolations(s, from, to)
	}
	return nil
}

// progressViolations reports a member that did not join and a plan that did not end. The caller holds the lock.
func (h *harness) progressViolations(s *testbed.Environment) (out []invariant.Violation) {
	joiner := memberName(h.options.JoiningMember)
	hasJoined := func(s observedStatus) bool {
		return s.status.Confirmed && slices.ContainsFunc(s.status.Members, func(m coordinator.MemberStatus) bool { return m.Name == joiner })
	}
	if h.options.JoiningMember > 0 && !slices.ContainsFunc(h.statuses, hasJoined) {
		out = append(out, invariant.Violation{Rule: ProgressRule, Kind: "not joined", At: s.Ledger().Now(), Dispatcher: h.options.JoiningMember})
	}
	if h.options.Machines > 0 && h.result.Ended == 0 {
		out = append(out, invariant.Violation{Rule: ProgressRule, Kind: "not through", At: s.Ledger().Now(), Dispatcher: -1, Lines: []string{h.result.LastStatus}})
	}
	return out
}

// drainViolations returns the attempts at machines in maintenance.
func drainViolations(attempts []*invariant.Attempt, windows []MaintenanceWindow) (out []invariant.Violation) {
	for _, w := range windows {
		for _, a := range attempts {
			if !slices.Contains(w.Workers, a.Worker) {
				continue
			}
			startedWithin := a.Last >= w.ReleasedAt && (w.ReturnedAt == 0 || a.Last < w.ReturnedAt)
			ranInto := a.Last < w.ReleasedAt && (a.End == invariant.Open || a.Ended > w.ReleasedAt) && a.Last > 0
			kind := ""
			switch {
			case startedWithin:
				kind = "begun"
			case ranInto:
				kind = "runs"
			default:
				continue
			}
			out = append(out, invariant.Violation{Rule: DrainRule, Kind: kind, At: a.Last, Dispatcher: a.Dispatcher, ID: a.ID, Lines: []string{
				fmt.Sprintf("%s was reported as drained at %.3fs and returned at %.3fs", w.Machine, w.ReleasedAt.Seconds(), w.ReturnedAt.Seconds()),
				fmt.Sprintf("the attempt's last byte arrived at %.3fs; the attempt ended (%s) at %.3fs", a.Last.Seconds(), a.End, a.Ended.Seconds()),
			}})
		}
	}
	return out
}

// lastSeenWaiting returns the request time of the last confirmed reply that lists a machine as waiting; the machine was chosen after
// that time. It returns 0 if there is no such reply. The caller holds the lock.
func (h *harness) lastSeenWaiting(machine string) (last time.Duration) {
	for _, s := range h.statuses {
		if s.status.Confirmed && hasMachineIn(s.status, machine, maintenance.MachineWaiting) {
			last = max(last, s.requestedAt)
		}
	}
	return last
}

// hasMachineIn reports whether a status lists a machine in the given phase.
func hasMachineIn(s coordinator.Status, machine string, phase maintenance.MachinePhase) bool {
	for _, p := range s.Plans {
		for _, m := range p.Machines {
			if m.Name == machine && m.Phase == phase {
				return true
			}
		}
	}
	return false
}

// budgetViolations returns the moments at which a machine was released to operators although too many were unavailable. Machines in
// maintenance and machines returned less than slowStart ago count as unavailable, and so do workers with an outage that the leader had to
// know of when the machine was chosen.
func budgetViolations(windows []MaintenanceWindow, outages []workerOutage, lastSeenWaiting func(machine string) time.Duration, maxUnavailable int,
	slowStart time.Duration,
) (out []invariant.Violation) {
	for _, w := range windows {
		unavailable := 0
		for _, o := range windows {
			if o.ReleasedAt <= w.ReleasedAt && (o.ReturnedAt == 0 || o.ReturnedAt+slowStart > w.ReleasedAt) {
				unavailable++
			}
		}
		for _, o := range outages {
			if o.from+outageKnownWithin <= lastSeenWaiting(w.Machine) && (o.until == 0 || o.until > w.ReleasedAt) {
				unavailable++
			}
		}
		if unavailable > maxUnavailable {
			out = append(out, invariant.Violation{Rule: BudgetRule, Kind: "over", At: w.ReleasedAt, Dispatcher: -1, Lines: []string{
				fmt.Sprintf("%d machines were unavailable when %s was reported as drained; the plan allows %d", unavailable, w.Machine, maxUnavailable)}})
		}
	}
	return out
}

// orderViolation returns a violation of OrderRule that the reply s shows.
func orderViolation(kind string, s observedStatus, lines ...string) invariant.Violation {
	return invariant.Violation{Rule: OrderRule, Kind: kind, At: s.receivedAt, Dispatcher: -1, Lines: lines}
}

// historyViolations returns the replies whose state differs from that of an earlier reply at the same applied index.
func historyViolations(statuses []observedStatus) (out []invariant.Violation) {
	phasesAt := map[uint64]string{}
	for _, s := range statuses {
		index := s.status.AppliedIndex
		phases := encodePhases(s.status)
		if previous, ok := phasesAt[index]; ok && previous != phases {
			out = append(out, orderViolation("two histories", s, fmt.Sprintf("entry %d", index), previous, phases))
		}
		phasesAt[index] = phases
	}
	return out
}

// encodePhases returns the phases of a status's plans and machines as a comparable string.
func encodePhases(s coordinator.Status) string {
	phases := map[string]string{}
	for _, p := range s.Plans {
		phases[p.Name] = string(p.Phase)
		for _, m := range p.Machines {
			phases[p.Name+"/"+m.Name] = string(m.Phase)
		}
	}
	raw, _ := json.Marshal(phases) // marshalling a map of strings cannot fail
	return string(raw)
}

// undoneEntryViolations returns the first confirmed reply whose applied index is below that of a confirmed reply received before the
// call; at most one.
func undoneEntryViolations(statuses []observedStatus) []invariant.Violation {
	for _, s := range statuses {
		for _, earlier := range statuses {
			bothConfirmed := s.status.Confirmed && earlier.status.Confirmed
			if bothConfirmed && earlier.receivedAt < s.requestedAt && earlier.status.AppliedIndex > s.status.AppliedIndex {
				return []invariant.Violation{orderViolation("undone", s, fmt.Sprintf("entry %d was committed by %.3fs; the reply to a call at %.3fs reports only entry %d as applied",
					earlier.status.AppliedIndex, earlier.receivedAt.Seconds(), s.requestedAt.Seconds(), s.status.AppliedIndex))}
			}
		}
	}
	return nil
}

// phasesBeforeClaim are the phases of a machine before operators claim it.
var phasesBeforeClaim = []maintenance.MachinePhase{maintenance.MachineWaiting, maintenance.MachineDraining, maintenance.MachineDrained}

// lostEntryViolations returns the first confirmed reply that lacks a machine's claim that had been acknowledged before the call; at most
// one.
func lostEntryViolations(statuses []observedStatus, windows []MaintenanceWindow) []invariant.Violation {
	for _, s := range statuses {
		for _, w := range windows {
			if !s.status.Confirmed || s.requestedAt < w.ReleasedAt {
				continue
			}
			for _, p := range s.status.Plans {
				for _, m := range p.Machines {
					if m.Name == w.Machine && slices.Contains(phasesBeforeClaim, m.Phase) {
						return []invariant.Violation{orderViolation("undone", s, fmt.Sprintf("%s was reported as drained at %.3fs; the reply to a call at %.3fs lists it as %s",
							w.Machine, w.ReleasedAt.Seconds(), s.requestedAt.Seconds(), m.Phase))}
					}
				}
			}
		}
	}
	return nil
}
