package maintenance

import (
	"cmp"
	"slices"
)

// Compact returns a shorter proposal with the same effect on this state. Each log entry is sent to each member, so its size must not grow
// with the number of members and workers. The compact proposal names only workers of plans, workers that are out of service, and members
// that block a plan or a drain.
func (s *State) Compact(proposal *Advance) *Advance {
	compact := *proposal
	compact.DefaultApplied = max(proposal.DefaultApplied, s.highestAwaitedIndex())
	compact.Reports = s.blockingReports(proposal, compact.DefaultApplied)
	compact.Fleet, compact.UnnamedWorkers = s.splitFleet(proposal)
	return &compact
}

// highestAwaitedIndex returns the highest log index that members have to confirm for a plan.
func (s *State) highestAwaitedIndex() uint64 {
	index := uint64(0)
	for _, plan := range s.Plans {
		index = max(index, plan.AnnouncedIndex)
		if plan.Phase == PlanEnded {
			continue
		}
		for _, machine := range plan.MachineStates {
			index = max(index, machine.PhaseIndex)
		}
	}
	return index
}

// blockingReports returns the reports of members that have not confirmed an index or block a drain. With index 0 it returns all reports,
// because a DefaultApplied of 0 cannot replace any.
func (s *State) blockingReports(proposal *Advance, index uint64) map[string]MemberReport {
	reports := map[string]MemberReport{}
	for _, name := range s.MemberNames() {
		report := s.relevantReport(proposal.reportOf(s, name))
		busy := len(report.BusyWorkers)+len(report.BusyHosts) > 0
		if index == 0 || busy || !report.confirms(s.Members[name], index) {
			reports[name] = report
		}
	}
	return reports
}

// relevantReport returns a report without busy workers and hosts that belong to no draining machine.
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

// splitFleet returns the workers that have to be named, and all others as groups in a fixed order.
func (s *State) splitFleet(proposal *Advance) (named map[string]Worker, others []WorkerGroup) {
	inPlans := s.workersOfPlans()
	named = map[string]Worker{}
	counts := map[WorkerGroup]int{} // the keys have a Count of 0
	for name, worker := range proposal.Fleet {
		inPlan := inPlans.Workers[name] || inPlans.Hosts[worker.Host]
		if inPlan || worker.outOfService() || worker.Gone {
			named[name] = worker
			continue
		}
		counts[WorkerGroup{Zone: worker.Zone, Kind: worker.Kind, Weight: worker.Weight}]++
	}
	for _, group := range proposal.UnnamedWorkers {
		counts[WorkerGroup{Zone: group.Zone, Kind: group.Kind, Weight: group.Weight}] += group.Count
	}
	for group, count := range counts {
		group.Count = count
		others = append(others, group)
	}
	slices.SortFunc(others, compareGroups)
	return named, others
}

func compareGroups(a, b WorkerGroup) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Weight, b.Weight))
}

// workersOfPlans returns the workers of all plans in the state, including ended ones: those of each machine, and all at its host.
func (s *State) workersOfPlans() WorkerSet {
	set := WorkerSet{Workers: map[string]bool{}, Hosts: map[string]bool{}}
	for _, plan := range s.Plans {
		for _, machine := range plan.MachineStates {
			if machine.Host != "" {
				set.Hosts[machine.Host] = true
			}
			for _, worker := range machine.Workers {
				set.Workers[worker] = true
			}
		}
	}
	return set
}
