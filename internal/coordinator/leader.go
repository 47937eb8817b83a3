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

// compactLevel is the lowest level of entries with compact advances: see maintenance.State.Compact.
const compactLevel = 2

// leaderLoop proposes advances of plans and changes of voters while this member is the leader, until ctx ends.
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

// proposeAdvance proposes an entry with the members' reports if it would change the state.
func (c *Coordinator) proposeAdvance(ctx context.Context, node *consensus.Node) {
	c.mu.Lock()
	advance := c.collectAdvance()
	unreported, older := c.membersBelowLevel(compactLevel)
	if len(unreported)+len(older) == 0 {
		advance = c.state.Compact(advance)
	}
	isUseful := c.state.WouldChange(advance)
	c.mu.Unlock()
	if !isUseful {
		return
	}
	raw, err := encodeEntry(&maintenance.Command{Kind: maintenance.CommandAdvance, Advance: advance})
	if err == nil {
		err = node.Propose(ctx, raw)
	}
	if err != nil {
		c.options.Log.WithError(err).Debug("advance not proposed")
	}
}

// encodeEntry sets the level that a command requires, and encodes the command as an entry.
func encodeEntry(command *maintenance.Command) ([]byte, error) {
	command.Level = command.RequiredLevel()
	return json.Marshal(command)
}

// collectAdvance returns an advance with the members' last reports and the fleet known to this member. It deletes reports from former
// members. c.mu must be held.
func (c *Coordinator) collectAdvance() *maintenance.Advance {
	advance := &maintenance.Advance{
		StateSeq:     c.state.Seq,
		Elapsed:      time.Since(c.seqChangedAt),
		FenceTimeout: c.fenceTimeout(),
		WarmUp:       c.warmUp,
		Reports:      map[string]maintenance.MemberReport{},
		Fleet:        c.localFleet(),
	}
	for name, report := range c.lastReports {
		if c.state.Members[name] == nil {
			delete(c.lastReports, name)
			continue
		}
		advance.Reports[name] = report.MemberReport
		advance.FenceTimeout = max(advance.FenceTimeout, report.FenceTimeout)
		advance.WarmUp = max(advance.WarmUp, report.WarmUp)
		c.mergeObservations(advance.Fleet, report)
	}
	return advance
}

// localFleet returns the workers known to this member's dispatcher, by name. c.mu must be held.
func (c *Coordinator) localFleet() map[string]maintenance.Worker {
	fleet := map[string]maintenance.Worker{}
	for _, status := range c.options.Dispatcher.WorkerStatuses(goneWorkerRetention, c.warmUp) {
		fleet[status.Name] = maintenance.Worker{
			Zone:        status.Zone,
			Kind:        status.Kind,
			Host:        status.Host,
			Weight:      status.Weight,
			Unavailable: status.Unavailable,
			Gone:        status.Gone,
			WarmingUp:   status.WarmingUp,
			Disabled:    status.Disabled,
		}
	}
	return fleet
}

// mergeObservations merges a member's reported observations of workers into a fleet. An operator's override applies until the member
// reports its end. Other observations expire, because a silent member could otherwise block a plan forever. c.mu must be held.
func (c *Coordinator) mergeObservations(fleet map[string]maintenance.Worker, report receivedReport) {
	if time.Since(report.receivedAt) < c.observationLifetime() {
		markWorkers(fleet, report.Unavailable, func(worker *maintenance.Worker) { worker.Unavailable = true })
		markWorkers(fleet, report.WarmingUp, func(worker *maintenance.Worker) { worker.WarmingUp = true })
	}
	markWorkers(fleet, report.Disabled, func(worker *maintenance.Worker) { worker.Disabled = true })
}

// markWorkers calls mark for each named worker in fleet. It skips unknown names.
func markWorkers(fleet map[string]maintenance.Worker, names []string, mark func(*maintenance.Worker)) {
	for _, name := range names {
		worker, ok := fleet[name]
		if !ok {
			continue
		}
		mark(&worker)
		fleet[name] = worker
	}
}

// observationLifetime returns how long a member's observations of workers are used: as long as the group waits for a silent member, but at
// least minObservationReports idle report intervals. c.mu must be held.
func (c *Coordinator) observationLifetime() time.Duration {
	return max(c.state.FenceTimeout, minObservationReports*idleReportInterval)
}

// reconcileVoters proposes one change at a time to bring raft's membership in line with the state: it promotes caught-up learners that are
// to vote, and removes retired members and past incarnations.
func (c *Coordinator) reconcileVoters(ctx context.Context, node *consensus.Node) {
	status := node.Status()
	caughtUp := node.CaughtUp(ctx)
	c.mu.Lock()
	changes := c.nextPromotion(status, caughtUp)
	if changes == nil {
		changes = c.nextRemoval(status)
	}
	c.mu.Unlock()
	if changes == nil {
		return
	}
	if err := node.ProposeConfChange(ctx, changes, nil); err != nil {
		c.options.Log.WithError(err).Debug("membership change not proposed")
	}
}

// nextPromotion returns the changes that make one caught-up learner a voter, or nil if there is none to promote. The same changes remove
// the member's past incarnations from the voters. c.mu must be held.
func (c *Coordinator) nextPromotion(status consensus.Status, caughtUp []uint64) []*raftpb.ConfChangeSingle {
	for _, member := range c.state.Members {
		isReadyLearner := slices.Contains(status.Learners, member.RaftID) && slices.Contains(caughtUp, member.RaftID)
		if !member.Voter || !isReadyLearner {
			continue
		}
		changes := []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddNode, member.RaftID)}
		for _, past := range member.PastIncarnations {
			if slices.Contains(status.Voters, past.RaftID) {
				changes = append(changes, confChange(raftpb.ConfChangeRemoveNode, past.RaftID))
			}
		}
		return changes
	}
	return nil
}

// nextRemoval returns the change that removes one raft ID that no longer belongs to a member, or nil if none exists. c.mu must be held.
func (c *Coordinator) nextRemoval(status consensus.Status) []*raftpb.ConfChangeSingle {
	known := map[uint64]bool{}
	for _, member := range c.state.Members {
		known[member.RaftID] = true
	}
	for _, id := range slices.Concat(status.Learners, status.Voters) {
		if !known[id] && !c.isVoterToBeReplaced(status, id) {
			return []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeRemoveNode, id)}
		}
	}
	return nil
}

// isVoterToBeReplaced reports whether a raft ID belongs to a past incarnation that still votes while the member's current incarnation does
// not. It remains a voter until nextPromotion replaces it. c.mu must be held.
func (c *Coordinator) isVoterToBeReplaced(status consensus.Status, id uint64) bool {
	for _, member := range c.state.Members {
		if hadRaftID(member, id) {
			return member.Voter && slices.Contains(status.Voters, id) && !slices.Contains(status.Voters, member.RaftID)
		}
	}
	return false
}

// transferLeadership transfers leadership to another voter if this member is the leader, and waits for the transfer for up to
// requestTimeout. It uses the values of ctx but ignores its cancellation.
func (c *Coordinator) transferLeadership(ctx context.Context) {
	node := c.node()
	if node == nil || !node.Status().IsLeader {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	to := c.otherVoter(node.CaughtUp(ctx))
	if to == 0 {
		return
	}
	node.TransferLeadership(ctx, to)
	for ctx.Err() == nil && node.Status().IsLeader {
		sleep(ctx, pollInterval)
	}
}

// otherVoter returns one of the given raft IDs that belongs to a voter other than this member, or 0 if there is none.
func (c *Coordinator) otherVoter(ids []uint64) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range c.state.Members {
		isOther := member.Voter && member.Name != c.options.Self
		if isOther && slices.Contains(ids, member.RaftID) {
			return member.RaftID
		}
	}
	return 0
}
