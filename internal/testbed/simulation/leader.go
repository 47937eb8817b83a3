package simulation

import (
	"encoding/json"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// fenceTimeout is the time, on another member's clock, after which a silent member has neither a lease nor running attempts.
const fenceTimeout = (leaseDuration + maxAttemptDuration) * (driftDivisor + 1) / driftDivisor

// elapsedFactor is the factor by which the mutant CountsTimeTwice multiplies the elapsed time.
const elapsedFactor = 4

// recordLeader records that a member is the leader if the leader has changed.
func (w *world) recordLeader(m *member, term uint64) {
	if w.leader == m.index {
		return
	}
	w.leader = m.index
	w.result.LeaderChanges++
	if w.leaderLostAt > 0 {
		w.result.Elected = append(w.result.Elected, w.now-w.leaderLostAt)
		w.leaderLostAt = 0
	}
	w.trace("member %d leads, term %d", m.index, term)
}

// lead performs the leader's work of a tick: it proposes to advance the plans and to promote a learner that has caught up.
func (m *member) lead() {
	status := m.core.Status()
	m.proposeAdvance()
	m.promoteLearner(status)
}

// proposeAdvance proposes to advance the plans with what the leader knows of members and fleet, if that would change the state.
func (m *member) proposeAdvance() {
	m.reports[m.name()] = m.statusReport()
	proposal := &maintenance.Advance{
		StateSeq:     m.state.Seq,
		Elapsed:      m.clock() - m.stateSince,
		FenceTimeout: fenceTimeout,
		WarmUp:       warmUpDuration,
		Reports:      m.reports,
		Fleet:        m.fleet(),
	}
	switch m.world.options.Mutant {
	case FewReports:
		proposal.FenceTimeout = 1
	case CountsTimeTwice:
		proposal.Elapsed *= elapsedFactor
	}
	proposal = m.state.Compact(proposal)
	if m.state.WouldChange(proposal) {
		m.propose(maintenance.Command{Kind: maintenance.CommandAdvance, Advance: proposal})
	}
}

// promoteLearner proposes to make one learner that has caught up a voter and to remove its past incarnations. A dropped proposal is
// repeated in a later tick.
func (m *member) promoteLearner(status consensus.Status) {
	caughtUp := m.core.CaughtUp()
	for _, name := range m.state.MemberNames() {
		learner := m.state.Members[name]
		if !learner.Voter || !slices.Contains(status.Learners, learner.RaftID) || !slices.Contains(caughtUp, learner.RaftID) {
			continue
		}
		add, remove := raftpb.ConfChangeAddNode, raftpb.ConfChangeRemoveNode
		changes := []*raftpb.ConfChangeSingle{{Type: &add, NodeId: &learner.RaftID}}
		for _, past := range learner.PastIncarnations {
			if slices.Contains(status.Voters, past.RaftID) {
				changes = append(changes, &raftpb.ConfChangeSingle{Type: &remove, NodeId: &past.RaftID})
			}
		}
		m.withCore(func(core *consensus.Core) { _ = core.ProposeConfChange(changes, nil) })
		return
	}
}

// propose proposes a command. The proposal may be dropped, as in a real group.
func (m *member) propose(command maintenance.Command) {
	raw, err := json.Marshal(command)
	if err != nil {
		panic(err)
	}
	m.world.result.Costs[m.index].Proposed += len(raw)
	m.world.proposedAt[string(raw)] = m.world.now
	m.withCore(func(core *consensus.Core) { _ = core.Propose(raw) })
}

// recordApplied records that a member has applied an entry, and checks that the entry is the one that was first applied at this index. At
// the first application it also checks the budget.
func (w *world) recordApplied(m *member, index uint64, entry string) {
	proposedAt, proposed := w.proposedAt[entry]
	w.applications[index]++
	if w.applications[index] == len(w.members) && proposed {
		w.result.Applied = append(w.result.Applied, w.now-proposedAt)
	}
	first, known := w.committed[index]
	if known {
		if first != entry {
			w.violation("one order: entry %d is %s at member %d, but was first applied as %s", index, entry, m.index, first)
		}
		return
	}
	w.committed[index] = entry
	if proposed {
		w.result.Committed = append(w.result.Committed, w.now-proposedAt)
	}
	fmt.Fprintf(w.digest, "%d %s\n", index, entry)
	w.checkBudget(m.state, int(proposedAt/tickInterval))
}
