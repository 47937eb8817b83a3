package simulation

import (
	"encoding/json"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// longLeaseFactor is the number of lease durations by which the mutant LongLease extends a lease.
const longLeaseFactor = 20

// statusReport returns the report of the member's own status.
func (m *member) statusReport() maintenance.MemberReport {
	report := maintenance.MemberReport{
		Incarnation: m.incarnation,
		Applied:     m.state.AppliedIndex,
		SoleProcess: m.world.now-m.processStart > maxAttemptDuration,
	}
	for _, a := range m.world.attempts {
		if a.member == m.index && !slices.Contains(report.BusyWorkers, a.worker) {
			report.BusyWorkers = append(report.BusyWorkers, a.worker)
			report.BusyHosts = append(report.BusyHosts, hostName(a.machine))
		}
	}
	return report
}

// sendReport sends a report to the leader, which grants a lease or adds the member to the group. If several members consider themselves the
// leader, any of them may receive the report.
func (m *member) sendReport() {
	w := m.world
	request := &leaseRequest{sender: m, report: m.statusReport(), sentAt: m.clock()}
	for _, leader := range w.members {
		if leader.core == nil || !leader.core.Status().IsLeader {
			continue
		}
		if w.random.IntN(4) == 0 && leader.index != m.index {
			continue
		}
		request.leader = leader
		w.call(m, leader, request.receive)
		return
	}
}

// call calls f at once if both members are the same, and otherwise when the message arrives.
func (w *world) call(from, to *member, f func()) {
	if from.index == to.index {
		f()
		return
	}
	w.send(envelope{from: from.index, to: to.index, call: f})
}

// leaseRequest is the exchange in which a member sends a report to the leader and receives a lease.
type leaseRequest struct {
	sender, leader *member
	report         maintenance.MemberReport
	sentAt         time.Duration // on the sender's clock
}

// receive handles the report at the leader. It continues with grant once a quorum has confirmed the leader.
func (r *leaseRequest) receive() {
	if r.leader.world.options.Mutant == LeaseWithoutQuorum {
		r.grant(0, nil)
		return
	}
	r.leader.withCore(func(core *consensus.Core) { core.ReadIndex(r.grant) })
}

// grant grants the lease if the leader has applied the entries up to readIndex. A member that the group does not know is added instead.
func (r *leaseRequest) grant(readIndex uint64, err error) {
	leader, sender := r.leader, r.sender
	if err != nil || leader.core == nil || leader.core.Status().Applied < readIndex {
		return
	}
	known := leader.state.Members[sender.name()]
	if known == nil || known.Incarnation != r.report.Incarnation {
		if sender.incarnation == r.report.Incarnation {
			leader.addMember(sender)
		}
		return
	}
	leader.reports[sender.name()] = r.report
	index := leader.state.AppliedIndex
	leader.world.call(leader, sender, func() { r.receiveGrant(index) })
}

// receiveGrant starts the lease at the sender. The lease is ignored if the sender has not applied all entries that the leader had applied.
func (r *leaseRequest) receiveGrant(index uint64) {
	m := r.sender
	if m.incarnation != r.report.Incarnation || m.core == nil || m.state.AppliedIndex < index {
		return
	}
	m.confirmed = m.disk.MarkConfirmed() == nil
	m.leaseEnd = r.sentAt + leaseDuration
	switch m.world.options.Mutant {
	case LeaseFromReply:
		m.leaseEnd = m.clock() + 2*leaseDuration
	case LongLease:
		m.leaseEnd += longLeaseFactor * leaseDuration
	}
}

// addMember proposes to add a member to the group as a learner. A dropped proposal is repeated with the member's next report.
func (m *member) addMember(added *member) {
	command, err := json.Marshal(maintenance.Command{Kind: maintenance.CommandJoinMember, Member: &maintenance.Member{
		Name:        added.name(),
		Incarnation: added.incarnation,
		RaftID:      added.raftID,
		Voter:       added.index < m.world.options.Voters,
	}})
	if err != nil {
		panic(err)
	}
	added.joined = true
	addLearner := raftpb.ConfChangeAddLearnerNode
	changes := []*raftpb.ConfChangeSingle{{Type: &addLearner, NodeId: &added.raftID}}
	m.withCore(func(core *consensus.Core) { _ = core.ProposeConfChange(changes, command) })
}
