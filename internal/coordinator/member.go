package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// The paths of the links. What comes by a relay was passed on once already.
const (
	pathRaft     = "/group/raft"
	pathJoin     = "/group/join"
	pathReport   = "/group/report"
	pathPosition = "/group/recall"
	pathCall     = "/group/call"
	pathRelay    = "/group/relay" // and the path that it is for
	PathOperator = "/group/staff"
)

const staleDiskText = "that disk has forgotten what this life has said"

const outsideGroupText = "this member is in no group yet"

// Errors of a member.
var (
	errOutsideGroup       = errors.New(outsideGroupText)
	errNoLeader           = errors.New("no leader can be reached")
	errDiskUnconfirmed    = errors.New("this member does not know yet whether its disk is its last one")
	errFenceTimeout       = errors.New("attempts may run for longer than what is settled; that is settled first")
	errUnknownIncarnation = &peer.RejectedError{Reason: "no member under this life: ask to be taken in"}
)

// leaderHandlers are the handlers of what only a leader can answer, by path.
func (c *Coordinator) leaderHandlers() map[string]peer.Handler {
	return map[string]peer.Handler{pathJoin: c.handleJoin, pathReport: c.handleReport, pathCall: c.handleCall}
}

// registerHandlers says what comes by the links.
func (c *Coordinator) registerHandlers(transport *peer.Transport) {
	transport.Handle(pathRaft, func(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
		node := c.node()
		if node == nil {
			return nil, errOutsideGroup
		}
		id, position, err := node.Receive(body)
		if id != 0 {
			c.mu.Lock()
			c.observedNames[id] = from.Name
			c.observedPositions[from.Incarnation] = c.observedPositions[from.Incarnation].Merge(position)
			c.mu.Unlock()
		}
		return nil, err
	})
	transport.Handle(pathPosition, func(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
		var position consensus.Position
		if err := json.Unmarshal(body, &position); err != nil {
			return nil, &peer.RejectedError{Reason: "no mark: " + err.Error()}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if promised := c.observedPositions[from.Incarnation]; position.Misses(promised) {
			return nil, &peer.RejectedError{Reason: staleDiskText}
		}
		if c.membership == nil || c.membership.identity.ClusterID == "" {
			return nil, &peer.RejectedError{Reason: outsideGroupText}
		}
		if c.membership.node != nil {
			return json.Marshal(c.membership.node.Status().Position)
		}
		return json.Marshal(c.membership.startPosition)
	})
	for path, handler := range c.leaderHandlers() {
		transport.Handle(path, func(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
			if c.isLeader() {
				return handler(ctx, from, body)
			}
			return c.forwardToLeader(ctx, path, body)
		})
		transport.Handle(pathRelay+path, func(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
			if c.isLeader() {
				return handler(ctx, from, body)
			}
			return nil, errNoLeader
		})
	}
	transport.HandleOperator(PathOperator, c.handleOperatorCall)
}

func (c *Coordinator) isLeader() bool {
	a := c.node()
	return a != nil && a.Status().IsLeader
}

// leaderName is the leader's name; empty where none is known.
func (c *Coordinator) leaderName() string {
	node := c.node()
	if node == nil {
		return ""
	}
	return c.memberName(node.Status().LeaderID)
}

// forwardToLeader passes a message on to the leader, for one that cannot reach it.
func (c *Coordinator) forwardToLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current == nil || c.node() == nil && c.sender().ClusterID == "" {
		return nil, &peer.RejectedError{Reason: outsideGroupText}
	}
	if c.node() == nil { // who is in a group and waits must not be taken for one that knows of no plan
		return nil, errDiskUnconfirmed
	}
	leader := c.leaderName()
	if leader == "" || leader == c.options.Self {
		return nil, errNoLeader
	}
	return c.request(ctx, current, leader, pathRelay+path, body)
}

// requestLeader asks the leader: itself, or by way of another member where the leader cannot be reached from here.
func (c *Coordinator) requestLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	if c.isLeader() {
		return c.leaderHandlers()[path](ctx, c.sender(), body)
	}
	reply, err := c.forwardToLeader(ctx, path, body)
	if err == nil || isRejected(err) {
		return reply, err
	}
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	leader := c.leaderName()
	for _, i := range rand.Perm(len(c.options.Group.Members)) {
		member := c.options.Group.Members[i]
		if current == nil || member.Name == c.options.Self || member.Name == leader || ctx.Err() != nil {
			continue
		}
		if reply, err = c.request(ctx, current, member.Name, path, body); err == nil || isRejected(err) && !isOutsideGroup(err) {
			return reply, err
		}
	}
	if err == nil {
		err = errNoLeader
	}
	return nil, err
}

func isRejected(err error) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected)
}

func isOutsideGroup(err error) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected) && rejected.Reason == outsideGroupText
}

// handleJoin takes a member in, at the leader.
func (c *Coordinator) handleJoin(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var request joinRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, &peer.RejectedError{Reason: "no call to be taken in: " + err.Error()}
	}
	i := slices.IndexFunc(c.options.Group.Members, func(listed peer.Member) bool { return listed.Name == request.Name })
	if i < 0 || request.RaftID == 0 || request.Incarnation == "" {
		return nil, &peer.RejectedError{Reason: "no member by our file: " + request.Name}
	}
	node, clusterID := c.node(), c.sender().ClusterID
	if node == nil { // our place has just gone to another process
		return nil, errOutsideGroup
	}
	c.mu.Lock()
	member := c.state.Members[request.Name]
	c.mu.Unlock()
	if member != nil && member.HadIncarnation(request.Incarnation) {
		return nil, &peer.RejectedError{Reason: "an earlier life of " + request.Name}
	}
	if member == nil || member.Incarnation != request.Incarnation {
		entry, err := json.Marshal(maintenance.Command{Kind: maintenance.CommandJoinMember, Member: &maintenance.Member{
			Name: request.Name, Incarnation: request.Incarnation, RaftID: request.RaftID, Voter: c.options.Group.Members[i].Voter,
		}})
		if err != nil {
			return nil, err
		}
		err = node.ProposeConfChange(ctx, []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, request.RaftID)}, entry)
		if err != nil {
			return nil, err
		}
		if err := c.waitForState(ctx, func(s *maintenance.State) bool {
			member := s.Members[request.Name]
			return member != nil && member.Incarnation == request.Incarnation
		}); err != nil {
			return nil, err
		}
	}
	return json.Marshal(joinReply{ClusterID: clusterID})
}

func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id}
}

// waitForState waits for a state.
func (c *Coordinator) waitForState(ctx context.Context, condition func(*maintenance.State) bool) error {
	for {
		c.mu.Lock()
		met, changed := condition(c.state), c.changed
		c.mu.Unlock()
		if met {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// renewLoop renews the lease again and again.
func (c *Coordinator) renewLoop(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.renewLease(ctx)
		if err != nil && ctx.Err() == nil {
			c.options.Log.WithError(err).Debug("the group's lease was not renewed")
		}
		interval := idleReportInterval
		c.mu.Lock()
		if err != nil || slices.ContainsFunc(c.state.Plans, func(plan *maintenance.PlanState) bool { return plan.Phase != maintenance.PlanEnded }) {
			interval = c.options.Group.LeaseDuration / renewalsPerLease
		}
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-time.After(interval):
		case <-changed: // what has just been put in force is told soon
			sleep(ctx, min(interval, leaderInterval))
		case <-ctx.Done():
		}
	}
}

// renewLease tells the leader how things are here, and takes the lease that its answer grants.
func (c *Coordinator) renewLease(ctx context.Context) error {
	if c.node() == nil {
		return errOutsideGroup
	}
	ctx, cancel := context.WithTimeout(ctx, max(requestTimeout, c.options.Group.LeaseDuration/2))
	defer cancel()
	startedAt := time.Now() // the lease counts from before we ask
	sent := c.statusReport()
	body, err := json.Marshal(sent)
	if err != nil {
		return err
	}
	raw, err := c.requestLeader(ctx, pathReport, body)
	var rejected *peer.RejectedError
	if errors.As(err, &rejected) && rejected.Reason == errUnknownIncarnation.Reason {
		c.mu.Lock()
		if c.membership != nil {
			select {
			case c.membership.unknownIncarnation <- struct{}{}:
			default:
			}
		}
		c.mu.Unlock()
	}
	if err != nil {
		return err
	}
	var grant leaseGrant
	if err := json.Unmarshal(raw, &grant); err != nil {
		return err
	}
	return c.acceptLease(ctx, sent, startedAt, grant)
}

// acceptLease takes a lease that was asked for with a word, at a moment, once all that it rests on is in force here.
func (c *Coordinator) acceptLease(ctx context.Context, sent statusReport, startedAt time.Time, grant leaseGrant) error {
	if err := c.waitApplied(ctx, grant.Index); err != nil {
		return err
	}
	if failpoint.Enabled(failpoint.OverlongLease) {
		startedAt = startedAt.Add(time.Minute)
	}
	if node := c.node(); node != nil && !c.confirmed {
		if err := node.MarkConfirmed(ctx); err != nil {
			return err
		}
		c.confirmed = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fenceTimeout() != sent.FenceTimeout { // attempts may run for longer since: that is told first
		return errFenceTimeout
	}
	c.options.Dispatcher.SetLeaseExpiry(startedAt.Add(c.options.Group.LeaseDuration))
	c.options.Dispatcher.SetPlansUnknown(false)
	return nil
}

// statusReport is our word. What is in force is read first: what is busy is then seen after it bound.
func (c *Coordinator) statusReport() statusReport {
	node := c.node()
	c.mu.Lock()
	current := c.membership
	report := statusReport{Name: c.options.Self, FenceTimeout: c.fenceTimeout(), WarmUp: c.warmUp, Plans: c.options.Group.MaintenancePlans, Level: maintenance.SupportedLevel()}
	maxAttempt := c.maxAttempt
	c.mu.Unlock()
	if node == nil || current == nil {
		return report
	}
	alive, _ := c.options.Siblings()
	report.Incarnation, report.Applied = current.identity.Incarnation, node.Status().Applied
	// A process of ours that ended may have left attempts behind; one that lives may send by what it knew.
	report.SoleProcess = alive == 0 && time.Since(current.startedAt) > maxAttempt
	report.BusyWorkers, report.BusyHosts = c.options.Dispatcher.BusyWorkers()
	for _, worker := range c.options.Dispatcher.WorkerStatuses(goneWorkerRetention, report.WarmUp) {
		if worker.Unavailable {
			report.Unavailable = append(report.Unavailable, worker.Name)
		}
		if worker.WarmingUp {
			report.WarmingUp = append(report.WarmingUp, worker.Name)
		}
		if worker.Disabled {
			report.Disabled = append(report.Disabled, worker.Name)
		}
	}
	return report
}

// handleReport takes a member's word and grants it a lease, at the leader.
func (c *Coordinator) handleReport(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var report statusReport
	if err := json.Unmarshal(body, &report); err != nil {
		return nil, &peer.RejectedError{Reason: "no report: " + err.Error()}
	}
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	index, err := node.ReadIndex(ctx) // a quorum confirms that we lead still, after the member asked
	if err != nil {
		return nil, err
	}
	if err := c.waitApplied(ctx, index); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.state.Members[report.Name]
	if member == nil || member.Incarnation != report.Incarnation {
		return nil, errUnknownIncarnation
	}
	c.lastReports[report.Name] = receivedReport{report, time.Now()}
	// Guards against a member with a longer lease than the group waits for.
	if c.state.FenceTimeout < report.FenceTimeout {
		return nil, errFenceTimeout
	}
	return json.Marshal(leaseGrant{Index: index})
}

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
