package coordinator

import (
	"slices"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// Status describes the group and its plans as seen by one member. Durations are in nanoseconds.
type Status struct {
	Member       string         `json:"told"`    // the member that reports this status
	Confirmed    bool           `json:"settled"` // a quorum has confirmed that the member is the leader; otherwise the status may be outdated
	Leader       string         `json:"leader"`  // empty if none is known
	Term         uint64         `json:"term"`
	AppliedIndex uint64         `json:"index"`            // index of the last entry that changed the state
	Failure      string         `json:"failed,omitempty"` // why the member's raft node has stopped, empty while it is running
	Bounds       Bounds         `json:"bounds"`
	Members      []MemberStatus `json:"members"` // sorted by name
	Plans        []PlanStatus   `json:"plans"`

	Links map[string]int64 `json:"links"` // counters of the member's transport, by name
}

// Bounds are the durations that determine when a machine counts as drained although a member is silent.
type Bounds struct {
	Lease              time.Duration `json:"lease"`   // of the member that reports the status
	MaxAttemptLifetime time.Duration `json:"attempt"` // upper bound, for attempts of that member, from the decision to send one until its end
	FenceTimeout       time.Duration `json:"settled"` // how long the group waits for a silent member
}

// MemberStatus describes a member.
type MemberStatus struct {
	Name          string        `json:"name"`
	Zone          string        `json:"zone"` // from the operator's file of the member that reports the status
	Incarnation   string        `json:"life"`
	IsVoter       bool          `json:"votes"`
	LastReportAge time.Duration `json:"heard"`   // time since its last report to the member that reports the status; negative if there was none
	Applied       uint64        `json:"applied"` // index of the last applied entry, as of the last report
	SoleProcess   bool          `json:"alone"`   // no other process of its dispatcher can send or run attempts, as of the last report
}

// PlanStatus describes a plan.
type PlanStatus struct {
	Name     string                `json:"name"`
	Phase    maintenance.PlanPhase `json:"phase"`
	Reason   string                `json:"why,omitempty"` // what the plan is waiting for
	Machines []MachineStatus       `json:"machines"`
}

// MachineStatus describes a machine of a plan.
type MachineStatus struct {
	Name          string                   `json:"name"`
	Phase         maintenance.MachinePhase `json:"step"`
	PhaseDuration time.Duration            `json:"for"` // time in this phase by the group's clock, as of the last applied entry
	Overdue       bool                     `json:"overdue,omitempty"`
	Reason        string                   `json:"why,omitempty"` // what the machine is waiting for
}

// status returns this member's status. The plans have reasons if isConfirmed is set. c.mu must be held.
func (c *Coordinator) status(isConfirmed bool) *Status {
	status := &Status{
		Member:       c.options.Self,
		Confirmed:    isConfirmed,
		AppliedIndex: c.state.AppliedIndex,
		Bounds: Bounds{
			Lease:              c.options.Group.LeaseDuration,
			MaxAttemptLifetime: c.maxAttemptLifetime,
			FenceTimeout:       c.state.FenceTimeout,
		},
	}
	nodeStatus := consensus.Status{}
	if c.membership != nil {
		status.Links = c.membership.transport.Counters.Values()
		if c.membership.node != nil {
			nodeStatus = c.membership.node.Status()
		}
	}
	status.Term = nodeStatus.Term
	status.Failure = nodeStatus.Failure
	for _, member := range c.state.Members {
		if member.RaftID == nodeStatus.LeaderID {
			status.Leader = member.Name
		}
	}
	status.Members = c.memberStatuses(nodeStatus.Voters)
	status.Plans = c.planStatuses(isConfirmed)
	return status
}

// memberStatuses returns the status of each member, sorted by name. c.mu must be held.
func (c *Coordinator) memberStatuses(voters []uint64) []MemberStatus {
	var statuses []MemberStatus //nolint:prealloc // without members it is null in JSON
	zones := map[string]string{}
	for _, listed := range c.options.Group.Members {
		zones[listed.Name] = listed.Zone
	}
	for _, name := range c.state.MemberNames() {
		member := c.state.Members[name]
		status := MemberStatus{
			Name:          name,
			Zone:          zones[name],
			Incarnation:   member.Incarnation,
			IsVoter:       slices.Contains(voters, member.RaftID),
			LastReportAge: -1,
		}
		if report, ok := c.lastReports[name]; ok {
			status.LastReportAge = time.Since(report.receivedAt)
			status.Applied = report.Applied
			status.SoleProcess = report.SoleProcess
		}
		statuses = append(statuses, status)
	}
	return statuses
}

// planStatuses returns the status of each plan, with reasons if withReasons is set. c.mu must be held.
func (c *Coordinator) planStatuses(withReasons bool) []PlanStatus {
	var statuses []PlanStatus //nolint:prealloc // without plans it is null in JSON
	advance := c.collectAdvance()
	for _, plan := range c.state.Plans {
		reasons := map[string]string{}
		if withReasons {
			reasons = c.state.WaitReasons(plan, advance)
		}
		status := PlanStatus{Name: plan.Name, Phase: plan.Phase, Reason: reasons[""]}
		for _, machine := range plan.MachineStates {
			status.Machines = append(status.Machines, MachineStatus{
				Name:          machine.Name,
				Phase:         machine.Phase,
				PhaseDuration: c.state.Clock - machine.PhaseStart,
				Overdue:       machine.Overdue,
				Reason:        reasons[machine.Name],
			})
		}
		statuses = append(statuses, status)
	}
	return statuses
}
