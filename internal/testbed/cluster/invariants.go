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

// The rules of a group, beside the four of a dispatcher.
const (
	DrainRule    = "clear"   // no request starts or runs at a machine from the answer that it is drained until it is returned
	BudgetRule   = "budget"  // never more machines in maintenance, or still warming up, than the plan allows
	OrderRule    = "order"   // all answers belong to one history
	ProgressRule = "goes on" // the plan has ended when the run ends
	OutlierRule  = "warned"  // a worker that fails for all gets no non-idempotent request once two have failed there
	EndpointRule = "listed"  // a member whose discovery is silent sends nothing to a worker that others know to be draining
	UseRule      = "use"     // a worker that fails for one member alone is in use at the others
)

// Rules are the names of the group's rules in the order in which results list them.
var Rules = []string{DrainRule, BudgetRule, OrderRule, ProgressRule, OverrideRule, OutlierRule, EndpointRule, UseRule}

// outageKnownWithin is how long a worker may be away before the leader has to know it: the way of the endpoint list to the members, and
// of their reports to the leader. A choice that rests on earlier reports may be committed seconds later, where links are slow.
const outageKnownWithin = 2 * time.Second

// checkInvariants checks the group's rules by what workers and operators observed.
func (h *harness) checkInvariants(s *testbed.Environment) []invariant.Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	outages := append(h.overrideOutages(), h.workerOutages...)
	out := drainViolations(s.Ledger().Attempts(), h.maintenanceWindows)
	out = append(out, budgetViolations(h.maintenanceWindows, outages, h.lastSeenWaiting, h.options.MaxUnavailable, s.Day().Scenario.Terms.SlowStartWindow)...)
	out = append(out, historyViolations(h.statuses)...)
	out = append(out, undoneEntryViolations(h.statuses)...)
	out = append(out, lostEntryViolations(h.statuses, h.maintenanceWindows)...)
	out = append(out, h.overrideViolations(s)...)
	out = append(out, h.endpointViolations(s)...)
	out = append(out, h.workerFailureViolations(s)...)
	return append(out, h.progressViolations(s)...)
}

// workerFailureViolations checks how members use a worker that fails, in scenarios where that is the only fault: another one might keep
// members away from the worker, or from each other's reports. The caller holds the lock.
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

// progressViolations reports a member that never joined and a plan that has not ended. The caller holds the lock.
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

// drainViolations returns the attempts at machines that operators had.
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
				fmt.Sprintf("%s was told to be clear at %.3fs, put back at %.3fs", w.Machine, w.ReleasedAt.Seconds(), w.ReturnedAt.Seconds()),
				fmt.Sprintf("the attempt's last byte came at %.3fs, it ended (%s) at %.3fs", a.Last.Seconds(), a.End, a.Ended.Seconds()),
			}})
		}
	}
	return out
}

// lastSeenWaiting returns when the last confirmed answer was requested that has a machine as waiting: the machine was chosen after that.
// 0: there is no such answer. The caller holds the lock.
func (h *harness) lastSeenWaiting(machine string) (last time.Duration) {
	for _, s := range h.statuses {
		if s.status.Confirmed && hasMachineIn(s.status, machine, maintenance.MachineWaiting) {
			last = max(last, s.requestedAt)
		}
	}
	return last
}

// hasMachineIn reports whether a status has a machine in a phase.
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

// budgetViolations returns the moments at which operators got one machine more than may be unavailable. Unavailable are those that they
// had, those that were returned less than slowStart ago, and workers that had been away by themselves for long when the machine was
// chosen.
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
				fmt.Sprintf("%d machines away when %s was told to be clear, %d may be", unavailable, w.Machine, maxUnavailable)}})
		}
	}
	return out
}

// orderViolation returns a violation of the order of answers, as the answer s shows it.
func orderViolation(kind string, s observedStatus, lines ...string) invariant.Violation {
	return invariant.Violation{Rule: OrderRule, Kind: kind, At: s.receivedAt, Dispatcher: -1, Lines: lines}
}

// historyViolations returns the answers that have another state than an earlier one at the same applied entry.
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

// encodePhases returns the phases of a status's plans and machines in a form that can be compared.
func encodePhases(s coordinator.Status) string {
	phases := map[string]string{}
	for _, p := range s.Plans {
		phases[p.Name] = string(p.Phase)
		for _, m := range p.Machines {
			phases[p.Name+"/"+m.Name] = string(m.Phase)
		}
	}
	raw, _ := json.Marshal(phases) // a map of strings cannot fail
	return string(raw)
}

// undoneEntryViolations returns the first confirmed answer that had applied less than another confirmed answer that came before it was
// requested; at most one.
func undoneEntryViolations(statuses []observedStatus) []invariant.Violation {
	for _, s := range statuses {
		for _, earlier := range statuses {
			bothConfirmed := s.status.Confirmed && earlier.status.Confirmed
			if bothConfirmed && earlier.receivedAt < s.requestedAt && earlier.status.AppliedIndex > s.status.AppliedIndex {
				return []invariant.Violation{orderViolation("undone", s, fmt.Sprintf("entry %d was settled at %.3fs; an answer asked for at %.3fs knew %d",
					earlier.status.AppliedIndex, earlier.receivedAt.Seconds(), s.requestedAt.Seconds(), s.status.AppliedIndex))}
			}
		}
	}
	return nil
}

// phasesBeforeClaim are the phases of a machine that operators do not have yet.
var phasesBeforeClaim = []maintenance.MachinePhase{maintenance.MachineWaiting, maintenance.MachineDraining, maintenance.MachineDrained}

// lostEntryViolations returns the first confirmed answer that lacks a machine's claim which had been acknowledged before it was
// requested; at most one.
func lostEntryViolations(statuses []observedStatus, windows []MaintenanceWindow) []invariant.Violation {
	for _, s := range statuses {
		for _, w := range windows {
			if !s.status.Confirmed || s.requestedAt < w.ReleasedAt {
				continue
			}
			for _, p := range s.status.Plans {
				for _, m := range p.Machines {
					if m.Name == w.Machine && slices.Contains(phasesBeforeClaim, m.Phase) {
						return []invariant.Violation{orderViolation("undone", s, fmt.Sprintf("%s was told to be clear at %.3fs; an answer asked for at %.3fs has it as %s",
							w.Machine, w.ReleasedAt.Seconds(), s.requestedAt.Seconds(), m.Phase))}
					}
				}
			}
		}
	}
	return nil
}
