package coordinator

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// leaderLoop has plans go on while we lead.
func (c *Coordinator) leaderLoop(ctx context.Context) {
	for ; ctx.Err() == nil; sleep(ctx, leaderInterval) {
		node := c.node()
		if node == nil || !node.Status().IsLeader {
			continue
		}
		c.proposeAdvance(ctx, node)
		c.reconcileVoters(ctx, node)
	}
}

// proposeAdvance proposes what has been heard, where that settles anything.
func (c *Coordinator) proposeAdvance(ctx context.Context, node *consensus.Node) {
	c.mu.Lock()
	advance := c.collectAdvance()
	if silent, older := c.membersBelowLevel(2); len(silent)+len(older) == 0 {
		advance = c.state.Compact(advance)
	}
	useful := c.state.WouldChange(advance)
	c.mu.Unlock()
	if !useful {
		return
	}
	raw, err := encodeEntry(&maintenance.Command{Kind: maintenance.CommandAdvance, Advance: advance})
	if err == nil {
		err = node.Propose(ctx, raw)
	}
	if err != nil {
		c.options.Log.WithError(err).Debug("what was heard could not be proposed")
	}
}

// encodeEntry is a command as it is settled.
func encodeEntry(command *maintenance.Command) ([]byte, error) {
	command.Level = command.RequiredLevel()
	return json.Marshal(command)
}

// collectAdvance is all that has been heard. The lock is held.
func (c *Coordinator) collectAdvance() *maintenance.Advance {
	advance := &maintenance.Advance{
		StateSeq: c.state.Seq, Elapsed: time.Since(c.seqSince), FenceTimeout: c.fenceTimeout(), WarmUp: c.warmUp,
		Reports: map[string]maintenance.MemberReport{}, Fleet: map[string]maintenance.Worker{},
	}
	for _, status := range c.options.Dispatcher.WorkerStatuses(goneWorkerRetention, c.warmUp) {
		advance.Fleet[status.Name] = maintenance.Worker{Zone: status.Zone, Kind: status.Kind, Host: status.Host, Weight: status.Weight, Unavailable: status.Unavailable, Gone: status.Gone, WarmingUp: status.WarmingUp,
			Disabled: status.Disabled}
	}
	markWorkers := func(names []string, set func(*maintenance.Worker)) {
		for _, name := range names {
			if worker, ok := advance.Fleet[name]; ok {
				set(&worker)
				advance.Fleet[name] = worker
			}
		}
	}
	for name, report := range c.lastReports {
		if c.state.Members[name] == nil {
			delete(c.lastReports, name)
			continue
		}
		advance.Reports[name] = report.MemberReport
		advance.FenceTimeout, advance.WarmUp = max(advance.FenceTimeout, report.FenceTimeout), max(advance.WarmUp, report.WarmUp)
		// What staff said stays; what one that fell silent saw last is old by then, and would keep a plan for ever.
		if time.Since(report.receivedAt) < c.observationLifetime() {
			markWorkers(report.Unavailable, func(worker *maintenance.Worker) { worker.Unavailable = true })
			markWorkers(report.WarmingUp, func(worker *maintenance.Worker) { worker.WarmingUp = true })
		}
		markWorkers(report.Disabled, func(worker *maintenance.Worker) { worker.Disabled = true })
	}
	return advance
}

// observationLifetime is how long what a member has seen of runners counts: as long as a silent one is waited for, and some words at least.
// The lock is held.
func (c *Coordinator) observationLifetime() time.Duration {
	return max(c.state.FenceTimeout, minObservationReports*idleReportInterval)
}

// reconcileVoters keeps who votes as the file has it: one settled change at a time.
func (c *Coordinator) reconcileVoters(ctx context.Context, node *consensus.Node) {
	status := node.Status()
	caughtUp := node.CaughtUp(ctx)
	var changes []*raftpb.ConfChangeSingle
	c.mu.Lock()
	known := map[uint64]bool{}
	for _, member := range c.state.Members {
		known[member.RaftID] = true
		if member.Voter && slices.Contains(status.Learners, member.RaftID) && slices.Contains(caughtUp, member.RaftID) && changes == nil {
			changes = append(changes, confChange(raftpb.ConfChangeAddNode, member.RaftID))
			for _, past := range member.PastIncarnations { // its vote passes to the present life in the same change
				if slices.Contains(status.Voters, past.RaftID) {
					changes = append(changes, confChange(raftpb.ConfChangeRemoveNode, past.RaftID))
				}
			}
		}
	}
	if changes == nil {
		for _, id := range slices.Concat(status.Learners, status.Voters) {
			if !known[id] && !c.holdsVoteForSuccessor(id) {
				changes = append(changes, confChange(raftpb.ConfChangeRemoveNode, id))
				break
			}
		}
	}
	c.mu.Unlock()
	if changes == nil {
		return
	}
	if err := node.ProposeConfChange(ctx, changes, nil); err != nil {
		c.options.Log.WithError(err).Debug("a change of who votes could not be proposed")
	}
}

// holdsVoteForSuccessor tells whether an id is that of an earlier life of a voter, whose present one does not vote yet: the vote is kept
// until it can pass. The lock is held.
func (c *Coordinator) holdsVoteForSuccessor(id uint64) bool {
	status := c.membership.node.Status()
	for _, member := range c.state.Members {
		if slices.ContainsFunc(member.PastIncarnations, func(past maintenance.PastIncarnation) bool { return past.RaftID == id }) {
			return member.Voter && slices.Contains(status.Voters, id) && !slices.Contains(status.Voters, member.RaftID)
		}
	}
	return false
}

// transferLeadership gives the lead to another voter, if we have it.
func (c *Coordinator) transferLeadership() {
	node := c.node()
	if node == nil || !node.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	caughtUp := node.CaughtUp(ctx)
	c.mu.Lock()
	to := uint64(0)
	for _, member := range c.state.Members {
		for _, id := range caughtUp {
			if member.RaftID == id && member.Voter && member.Name != c.options.Self {
				to = id
			}
		}
	}
	c.mu.Unlock()
	if to == 0 {
		return
	}
	node.TransferLeadership(ctx, to)
	for ctx.Err() == nil && node.Status().IsLeader {
		sleep(ctx, 5*time.Millisecond)
	}
}
