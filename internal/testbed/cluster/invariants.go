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
	"birchfork/internal/testbed/scenario"
)

// The rules of a group, beside the four.
const (
	DrainRule    = "clear"   // nothing begins or runs at a machine from its "clear" until it is put back
	BudgetRule   = "budget"  // never more machines with staff, or not warm yet, than the plan allows
	OrderRule    = "order"   // all answers tell one history
	ProgressRule = "goes on" // the plan is through at the end of the day
	OutlierRule  = "warned"  // a worker that fails for all gets no job that may not be repeated, once two have failed there
	EndpointRule = "listed"  // a member whose discovery is silent sends nothing to a worker that others were told to leave
	UseRule      = "use"     // a worker that fails for one member alone is in use at the others
)

// Rules are their names in their order.
var Rules = []string{DrainRule, BudgetRule, OrderRule, ProgressRule, OverrideRule, OutlierRule, EndpointRule, UseRule}

// checkInvariants judges the group's rules by what workers and staff saw.
func (h *harness) checkInvariants(s *testbed.Environment) []invariant.Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := drainViolations(s.Ledger().Attempts(), h.machineWorks)
	out = append(out, budgetViolations(h.machineWorks, append(h.overridesInForce(), h.workerOutages...), h.waited, h.options.MaxUnavailable, s.Day().Scenario.Terms.SlowStartWindow)...)
	out = append(out, orderViolations(h.statuses)...)
	out = append(out, lostEntryViolations(h.statuses, h.machineWorks)...)
	out = append(out, h.overrideViolations(s)...)
	out = append(out, h.endpointViolations(s)...)
	if f := h.result.Faults; len(f) == 1 { // else something else may keep members away, or from hearing
		from, to := h.result.Origin+f[0].At, h.result.Origin+f[0].At+f[0].For
		switch f[0].Kind {
		case FailForMember:
			out = append(out, useViolations(s.Ledger().Attempts(), f[0].Member, from, to)...)
		case FailForAll:
			out = append(out, outlierViolations(s, from, to)...)
		}
	}
	joiner := fmt.Sprintf("d%d", h.options.Joins)
	joined := func(s observedStatus) bool {
		return s.status.Confirmed && slices.ContainsFunc(s.status.Members, func(m coordinator.MemberStatus) bool { return m.Name == joiner })
	}
	if h.options.Joins > 0 && !slices.ContainsFunc(h.statuses, joined) {
		out = append(out, invariant.Violation{Rule: ProgressRule, Kind: "not joined", At: s.Ledger().Now(), Who: h.options.Joins})
	}
	if h.options.Machines > 0 && h.result.Ended == 0 {
		out = append(out, invariant.Violation{Rule: ProgressRule, Kind: "not through", At: s.Ledger().Now(), Who: -1, Lines: []string{h.result.LastStatus}})
	}
	return out
}

// endpointViolations are jobs at a worker that some other member was told to be draining so long ago that all could have heard.
func (h *harness) endpointViolations(s *testbed.Environment) (out []invariant.Violation) {
	for _, t := range s.Ledger().Deliveries() {
		if t.State != invariant.Draining || t.Written == 0 {
			continue
		}
		heard := h.quietFrom(t.Written) + convergeWithin
		for _, a := range s.Ledger().Attempts() {
			if a.Worker != t.Worker || a.Dispatcher == t.Dispatcher || a.First <= heard {
				continue
			}
			own := slices.ContainsFunc(s.Ledger().Deliveries(), func(o *invariant.Delivery) bool { // its own discovery has told it since
				newer := o.Incarnation > t.Incarnation || o.Incarnation == t.Incarnation && o.Has >= t.Has
				heard := o.Written > 0 && o.Written <= a.First || o.State == invariant.Up && o.Has <= a.First // by its configuration
				return o.Dispatcher == a.Dispatcher && o.Worker == t.Worker && newer && heard
			})
			if !own {
				out = append(out, invariant.Violation{Rule: EndpointRule, Kind: "sent", At: a.First, Who: a.Dispatcher, ID: a.ID, Lines: []string{
					fmt.Sprintf("dispatcher %d was told at %.3fs that the worker drains", t.Dispatcher, t.Written.Seconds())}})
			}
		}
	}
	return out
}

// reportWithin is how long a warning may take to all members.
const reportWithin = time.Second

// outlierViolations are jobs that may not be repeated, at the first worker, after some member has seen two fail in a row there.
func outlierViolations(s *testbed.Environment, from, to time.Duration) (out []invariant.Violation) {
	class := map[string]int{}
	for _, t := range s.Ledger().Tries() {
		class[t.ID] = t.Class
	}
	failed, second := map[int]int{}, to
	for _, a := range s.Ledger().Attempts() {
		if a.Worker == 0 && a.End == invariant.Errored && a.Ended >= from {
			if failed[a.Dispatcher]++; failed[a.Dispatcher] >= 2 {
				second = min(second, a.Ended)
			}
		}
	}
	for _, a := range s.Ledger().Attempts() {
		if a.Worker == 0 && a.Last > second+reportWithin && a.Last < to && s.Day().Scenario.Classes[class[a.ID]].Effect == scenario.Unsafe {
			out = append(out, invariant.Violation{Rule: OutlierRule, Kind: "lost", At: a.Last, Who: a.Dispatcher, ID: a.ID, Lines: []string{
				fmt.Sprintf("a member had seen two jobs fail at the worker by %.3fs", second.Seconds())}})
		}
	}
	return out
}

// What the others of a member for whom a worker fails are to send there after a while: by the first warning they may try it with
// single jobs for some seconds.
const (
	settles = 3 * time.Second
	useful  = 0.25 // of what they send to the mean worker
)

// useViolations are members that leave the first worker alone, as it fails for another one.
func useViolations(attempts []*invariant.Attempt, spoilt int, from, to time.Duration) (out []invariant.Violation) {
	all, there := map[int]int{}, map[int]int{}
	workers := map[int]bool{}
	for _, a := range attempts {
		if a.Last < from+settles || a.Last >= to || a.Dispatcher == spoilt {
			continue
		}
		workers[a.Worker] = true
		if all[a.Dispatcher]++; a.Worker == 0 {
			there[a.Dispatcher]++
		}
	}
	for d, n := range all {
		if mean := float64(n) / float64(len(workers)); float64(there[d]) < useful*mean {
			out = append(out, invariant.Violation{Rule: UseRule, Kind: "left alone", At: to, Who: d, Lines: []string{
				fmt.Sprintf("%d jobs went to the worker that fails for dispatcher %d alone, %.1f to the mean one", there[d], spoilt, mean)}})
		}
	}
	return out
}

// drainViolations are attempts at machines that staff had.
func drainViolations(attempts []*invariant.Attempt, works []MachineWork) (out []invariant.Violation) {
	for _, w := range works {
		for _, a := range attempts {
			if !slices.Contains(w.Workers, a.Worker) {
				continue
			}
			back := w.ReturnedAt
			if back == 0 {
				back = 1 << 62
			}
			kind := ""
			switch {
			case a.Last >= w.ReleasedAt && a.Last < back:
				kind = "begun"
			case a.Last < w.ReleasedAt && (a.End == invariant.Open || a.Ended > w.ReleasedAt) && a.Last > 0:
				kind = "runs"
			}
			if kind != "" {
				out = append(out, invariant.Violation{Rule: DrainRule, Kind: kind, At: a.Last, Who: a.Dispatcher, ID: a.ID, Lines: []string{
					fmt.Sprintf("%s was told to be clear at %.3fs, put back at %.3fs", w.Machine, w.ReleasedAt.Seconds(), w.ReturnedAt.Seconds()),
					fmt.Sprintf("the attempt's last byte came at %.3fs, it ended (%s) at %.3fs", a.Last.Seconds(), a.End, a.Ended.Seconds()),
				}})
			}
		}
	}
	return out
}

// known is how long a worker has to be away until the group has to know it: the list's way to the members, and theirs to the
// leader. A choice that rests on news before may be settled seconds later, where links are narrow.
const known = 2 * time.Second

// waited is when a settled answer was last asked for that has a machine as waiting: it was chosen after that. 0: there is none.
func (h *harness) waited(machine string) (last time.Duration) {
	for _, s := range h.statuses {
		for _, p := range s.status.Plans {
			for _, m := range p.Machines {
				if s.status.Confirmed && m.Name == machine && m.Phase == maintenance.MachineWaiting {
					last = max(last, s.requestedAt)
				}
			}
		}
	}
	return last
}

// budgetViolations are moments at which staff got one more machine than may be away: with those that they had, those given back
// that were not warm yet, and those that had long been away by themselves.
func budgetViolations(works []MachineWork, downs []workerOutage, waited func(machine string) time.Duration, most int, warm time.Duration) (out []invariant.Violation) {
	for _, w := range works {
		away := 0
		for _, o := range works {
			if o.ReleasedAt <= w.ReleasedAt && (o.ReturnedAt == 0 || o.ReturnedAt+warm > w.ReleasedAt) {
				away++
			}
		}
		for _, d := range downs {
			if d.from+known <= waited(w.Machine) && (d.until == 0 || d.until > w.ReleasedAt) {
				away++
			}
		}
		if away > most {
			out = append(out, invariant.Violation{Rule: BudgetRule, Kind: "over", At: w.ReleasedAt, Who: -1, Lines: []string{
				fmt.Sprintf("%d machines away when %s was told to be clear, %d may be", away, w.Machine, most)}})
		}
	}
	return out
}

// orderViolations are answers that tell two histories: two states at one entry, or one that was settled and then was not.
func orderViolations(all []observedStatus) (out []invariant.Violation) {
	at := map[uint64]string{}
	breach := func(kind string, s observedStatus, lines ...string) {
		out = append(out, invariant.Violation{Rule: OrderRule, Kind: kind, At: s.receivedAt, Who: -1, Lines: lines})
	}
	for _, s := range all {
		steps := map[string]string{}
		for _, p := range s.status.Plans {
			steps[p.Name] = string(p.Phase)
			for _, m := range p.Machines {
				steps[p.Name+"/"+m.Name] = string(m.Phase)
			}
		}
		raw, _ := json.Marshal(steps) // of strings alone
		was, ok := at[s.status.AppliedIndex]
		if ok && was != string(raw) {
			breach("two histories", s, fmt.Sprintf("entry %d", s.status.AppliedIndex), was, string(raw))
		}
		at[s.status.AppliedIndex] = string(raw)
	}
	for _, s := range all {
		for _, o := range all {
			if s.status.Confirmed && o.status.Confirmed && o.receivedAt < s.requestedAt && o.status.AppliedIndex > s.status.AppliedIndex {
				breach("undone", s, fmt.Sprintf("entry %d was settled at %.3fs; an answer asked for at %.3fs knew %d", o.status.AppliedIndex,
					o.receivedAt.Seconds(), s.requestedAt.Seconds(), s.status.AppliedIndex))
				return out
			}
		}
	}
	return out
}

// lostEntryViolations are settled answers that do not know what staff were told before they were asked for.
func lostEntryViolations(all []observedStatus, works []MachineWork) (out []invariant.Violation) {
	for _, s := range all {
		for _, w := range works {
			if !s.status.Confirmed || s.requestedAt < w.ReleasedAt {
				continue
			}
			for _, p := range s.status.Plans {
				for _, m := range p.Machines {
					if m.Name == w.Machine && (m.Phase == maintenance.MachineWaiting || m.Phase == maintenance.MachineDraining || m.Phase == maintenance.MachineDrained) {
						return []invariant.Violation{{Rule: OrderRule, Kind: "undone", At: s.receivedAt, Who: -1, Lines: []string{
							fmt.Sprintf("%s was told to be clear at %.3fs; an answer asked for at %.3fs has it as %s", w.Machine,
								w.ReleasedAt.Seconds(), s.requestedAt.Seconds(), m.Phase)}}}
					}
				}
			}
		}
	}
	return nil
}
