package coordinator

import (
	"slices"
	"time"

	"birchfork/internal/maintenance"
)

// Status is how things stand.
type Status struct {
	Member       string         `json:"told"`    // by which member
	Confirmed    bool           `json:"settled"` // a quorum has confirmed it; else it is what this member knew last
	Leader       string         `json:"leader"`
	Term         uint64         `json:"term"`
	AppliedIndex uint64         `json:"index"`
	Failure      string         `json:"failed,omitempty"` // why this member takes no part
	Bounds       Bounds         `json:"bounds"`
	Members      []MemberStatus `json:"members"`
	Plans        []PlanStatus   `json:"plans"`

	Links map[string]int64 `json:"links"` // what has passed on the links of the member that tells
}

// Bounds are the times that a machine's clear rests on.
type Bounds struct {
	Lease        time.Duration `json:"lease"`   // this member's
	MaxAttempt   time.Duration `json:"attempt"` // the longest that one may run
	FenceTimeout time.Duration `json:"settled"` // how long the group waits for a silent member
}

// MemberStatus is one member.
type MemberStatus struct {
	Name        string        `json:"name"`
	Zone        string        `json:"zone"` // by the file of the member that tells
	Incarnation string        `json:"life"`
	IsVoter     bool          `json:"votes"`
	LastReport  time.Duration `json:"heard"` // ago, by the leader; below 0: never
	Applied     uint64        `json:"applied"`
	SoleProcess bool          `json:"alone"`
}

// PlanStatus is one plan.
type PlanStatus struct {
	Name     string                `json:"name"`
	Phase    maintenance.PlanPhase `json:"phase"`
	Reason   string                `json:"why,omitempty"` // what all of it waits for
	Machines []MachineStatus       `json:"machines"`
}

// MachineStatus is one machine.
type MachineStatus struct {
	Name          string                   `json:"name"`
	Phase         maintenance.MachinePhase `json:"step"`
	PhaseDuration time.Duration            `json:"for"` // on the group's clock, up to the last entry
	Overdue       bool                     `json:"overdue,omitempty"`
	Reason        string                   `json:"why,omitempty"` // what it waits for
}

// status is how things stand. The lock is held.
func (c *Coordinator) status(confirmed bool) *Status {
	status := &Status{Member: c.options.Self, Confirmed: confirmed, AppliedIndex: c.state.AppliedIndex, Bounds: Bounds{c.options.Group.LeaseDuration, c.maxAttempt, c.state.FenceTimeout}}
	var voters []uint64
	if c.membership != nil {
		status.Links = c.membership.transport.Counters.Values()
	}
	if c.membership != nil && c.membership.node != nil {
		nodeStatus := c.membership.node.Status()
		status.Term, status.Failure, voters = nodeStatus.Term, nodeStatus.Failure, nodeStatus.Voters
		for _, m := range c.state.Members {
			if m.RaftID == nodeStatus.LeaderID {
				status.Leader = m.Name
			}
		}
	}
	for _, name := range c.state.MemberNames() {
		m := c.state.Members[name]
		memberStatus := MemberStatus{Name: name, Incarnation: m.Incarnation, IsVoter: slices.Contains(voters, m.RaftID), LastReport: -1}
		for _, planStatus := range c.options.Group.Members {
			if planStatus.Name == name {
				memberStatus.Zone = planStatus.Zone
			}
		}
		if report, ok := c.lastReports[name]; ok {
			memberStatus.LastReport, memberStatus.Applied, memberStatus.SoleProcess = time.Since(report.receivedAt), report.Applied, report.SoleProcess
		}
		status.Members = append(status.Members, memberStatus)
	}
	advance := c.collectAdvance()
	for _, plan := range c.state.Plans {
		reasons := map[string]string{}
		if confirmed {
			reasons = c.state.WaitReasons(plan, advance)
		}
		planStatus := PlanStatus{Name: plan.Name, Phase: plan.Phase, Reason: reasons[""]}
		for _, m := range plan.MachineStates {
			planStatus.Machines = append(planStatus.Machines, MachineStatus{m.Name, m.Phase, c.state.Clock - m.PhaseStart, m.Overdue, reasons[m.Name]})
		}
		status.Plans = append(status.Plans, planStatus)
	}
	return status
}
