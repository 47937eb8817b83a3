package maintenance

import (
	"cmp"
	"slices"
)

// Compact says the same as an Advance in fewer bytes, for a state as it is: each entry goes to each member, so that it must not grow
// with members and runners. By name stay those that the state's plans have to do with, and those that are in the way.
func (s *State) Compact(proposal *Advance) *Advance {
	compact := *proposal
	compact.Reports, compact.Fleet, compact.UnnamedWorkers = map[string]MemberReport{}, map[string]Worker{}, nil
	for _, plan := range s.Plans {
		if compact.DefaultApplied = max(compact.DefaultApplied, plan.AnnouncedIndex); plan.Phase == PlanEnded {
			continue
		}
		for _, machine := range plan.MachineStates {
			compact.DefaultApplied = max(compact.DefaultApplied, machine.PhaseIndex)
		}
	}
	for _, name := range s.MemberNames() {
		report := s.relevantReport(proposal.reportOf(s, name))
		if compact.DefaultApplied == 0 || report.Incarnation != s.Members[name].Incarnation || report.Applied < compact.DefaultApplied || !report.SoleProcess || len(report.BusyWorkers)+len(report.BusyHosts) > 0 {
			compact.Reports[name] = report
		}
	}
	workersInPlans, hostsInPlans := map[string]bool{}, map[string]bool{}
	for _, plan := range s.Plans {
		for _, machine := range plan.MachineStates {
			hostsInPlans[machine.Host] = hostsInPlans[machine.Host] || machine.Host != ""
			for _, worker := range machine.Workers {
				workersInPlans[worker] = true
			}
		}
	}
	groups := map[WorkerGroup]int{}
	for name, worker := range proposal.Fleet {
		if workersInPlans[name] || hostsInPlans[worker.Host] || worker.outOfService() || worker.Gone {
			compact.Fleet[name] = worker
		} else {
			groups[WorkerGroup{Zone: worker.Zone, Kind: worker.Kind, Weight: worker.Weight}]++
		}
	}
	for _, group := range proposal.UnnamedWorkers {
		groups[WorkerGroup{Zone: group.Zone, Kind: group.Kind, Weight: group.Weight}] += group.Count
	}
	for group, count := range groups {
		group.Count = count
		compact.UnnamedWorkers = append(compact.UnnamedWorkers, group)
	}
	slices.SortFunc(compact.UnnamedWorkers, func(x, y WorkerGroup) int {
		return cmp.Or(cmp.Compare(x.Zone, y.Zone), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Weight, y.Weight))
	})
	return &compact
}

// relevantReport leaves of a word's busy runners those of machines that are to get clear.
func (s *State) relevantReport(report MemberReport) MemberReport {
	var workers, hosts []string
	for _, plan := range s.Plans {
		for _, machine := range plan.MachineStates {
			if machine.Phase != MachineDraining {
				continue
			}
			for _, worker := range machine.Workers {
				if slices.Contains(report.BusyWorkers, worker) {
					workers = append(workers, worker)
				}
			}
			if machine.Host != "" && slices.Contains(report.BusyHosts, machine.Host) {
				hosts = append(hosts, machine.Host)
			}
		}
	}
	report.BusyWorkers, report.BusyHosts = workers, hosts
	return report
}

// reportOf is what a member has told; one that is not named in a brief Advance has nothing in the way.
func (a *Advance) reportOf(state *State, name string) MemberReport {
	if report, ok := a.Reports[name]; ok || a.DefaultApplied == 0 {
		return report
	}
	return MemberReport{Incarnation: state.Members[name].Incarnation, Applied: a.DefaultApplied, SoleProcess: true}
}
