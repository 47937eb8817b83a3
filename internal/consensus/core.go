package consensus

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Core is one member of a raft group without clock, goroutine or network: its caller ticks it and delivers its messages. It is not safe
// for concurrent use.
//
// Its methods panic if the storage fails or raft detects an impossible state. The core must not be used after a panic.
type Core struct {
	options           Options
	rawNode           *raft.RawNode
	confState         *raftpb.ConfState // the group's members as of the last applied entry
	applied           uint64            // index of the last applied entry
	snapshotIndex     uint64            // index of the last snapshot
	recordedPosition  Position          // last position written to the boot marker
	ticks             int
	learnerHeartbeats map[uint64]int // the tick of each learner's last heartbeat, by raft ID

	// State of reads, see ReadIndex. Round numbers begin at a random value.
	pendingReads    []pendingRead
	lastReadRound   uint64
	activeReadRound uint64 // 0 if none
	ticksSinceRead  int    // since the last read round began
}

// NewCore returns a core that resumes from its storage. With empty storage it waits until the leader adds it to the group. seed
// distinguishes its read rounds from those of an earlier process of the same incarnation.
func NewCore(options Options, seed uint64) (*Core, error) {
	if options.MaxPromised != nil {
		if err := options.Storage.raiseTerm(options.MaxPromised.Term); err != nil {
			return nil, err
		}
	}
	_, confState, err := options.Storage.memory.InitialState()
	if err != nil {
		return nil, err
	}
	core := &Core{options: options, confState: confState, lastReadRound: seed >> 1, learnerHeartbeats: map[uint64]int{}}
	if err := core.restoreSnapshot(); err != nil {
		return nil, err
	}
	core.rawNode, err = raft.NewRawNode(core.raftConfig())
	return core, err
}

// restoreSnapshot restores the state machine from the stored snapshot, if there is one.
func (c *Core) restoreSnapshot() error {
	snapshot, err := c.options.Storage.memory.Snapshot()
	if err != nil {
		return err
	}
	if raft.IsEmptySnap(snapshot) {
		return nil
	}
	if err := c.options.StateMachine.Restore(snapshot.GetData()); err != nil {
		return fmt.Errorf("restoring the stored snapshot: %w", err)
	}
	c.applied = snapshot.GetMetadata().GetIndex()
	c.snapshotIndex = c.applied
	return nil
}

func (c *Core) raftConfig() *raft.Config {
	return &raft.Config{
		ID:                        c.options.Storage.identity.RaftID,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   raftStorage{c.options.Storage.memory, c},
		Applied:                   c.applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxMessageBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		CheckQuorum:               true,
		PreVote:                   true,
		ReadOnlyOption:            raft.ReadOnlySafe,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    raftLogger{c.options.Log},
	}
}

// Tick advances the core's clock by one tick. If manualElections is set, the member only campaigns when Campaign is called.
func (c *Core) Tick(manualElections bool) {
	c.ticksSinceRead++
	c.ticks++
	isLeader := c.rawNode.BasicStatus().RaftState == raft.StateLeader
	mayCampaign := !manualElections && !c.lacksPromised()
	if isLeader || mayCampaign {
		c.rawNode.Tick()
	} else {
		c.rawNode.TickQuiesced()
	}
	c.process()
}

// Campaign starts an election.
func (c *Core) Campaign() {
	if err := c.rawNode.Campaign(); err != nil {
		c.options.Log.WithError(err).Debug("campaign not started")
	}
	c.process()
}

// Step delivers messages from other members, with a single synced write for all of them.
func (c *Core) Step(messages ...*raftpb.Message) {
	for _, message := range messages {
		if c.rejectsVoteRequest(message) {
			continue
		}
		if err := c.rawNode.Step(message); err != nil {
			c.options.Log.WithError(err).Debug("raft message ignored")
		}
	}
	c.process()
}

// lacksPromised reports whether the log may have lost entries that this member has acknowledged. If so, the member must not campaign.
func (c *Core) lacksPromised() bool {
	return c.options.MaxPromised != nil && c.options.Storage.Position().logOlderThan(*c.options.MaxPromised)
}

// rejectsVoteRequest reports whether a message requests a vote that this member must not grant: in a term in which it may have voted
// already, or for a log that may lack entries that this member has acknowledged. Without this check, a member with outdated storage could
// vote twice in a term, or for a leader that lacks committed entries.
func (c *Core) rejectsVoteRequest(message *raftpb.Message) bool {
	promised := c.options.MaxPromised
	isVoteRequest := message.GetType() == raftpb.MsgVote || message.GetType() == raftpb.MsgPreVote
	if promised == nil || !isVoteRequest {
		return false
	}
	candidate := Position{LastIndex: message.GetIndex(), LastTerm: message.GetLogTerm()}
	mayHaveVoted := message.GetTerm() <= promised.Term
	return mayHaveVoted || candidate.logOlderThan(*promised)
}

// Propose proposes an entry. This member must be the leader: see Node.Propose.
func (c *Core) Propose(data []byte) error {
	defer c.process()
	return proposalError(c.rawNode.Propose(data))
}

// ProposeConfChange proposes a change of the group's members, together with an entry for the state machine.
func (c *Core) ProposeConfChange(changes []*raftpb.ConfChangeSingle, data []byte) error {
	defer c.process()
	transition := raftpb.ConfChangeTransitionAuto
	change := &raftpb.ConfChangeV2{Transition: &transition, Changes: changes, Context: data}
	return proposalError(c.rawNode.ProposeConfChange(change))
}

// proposalError translates an error that raft returned for a proposal.
func proposalError(err error) error {
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNoLeader
	}
	return err
}

// CaughtUp returns the raft IDs of the active members that have nearly all entries, or nil if this member is not the leader.
func (c *Core) CaughtUp() (ids []uint64) {
	if c.rawNode.BasicStatus().RaftState != raft.StateLeader {
		return nil
	}
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		isNearEnd := progress.Match > 0 && progress.Match+trailingEntries >= c.applied
		if progress.RecentActive && isNearEnd {
			ids = append(ids, id)
		}
	})
	return ids
}

// Status returns the current status. Its Failure is always empty.
func (c *Core) Status() Status {
	basic := c.rawNode.BasicStatus()
	return Status{
		LeaderID: basic.Lead,
		IsLeader: basic.RaftState == raft.StateLeader,
		Applied:  c.applied,
		Position: c.options.Storage.Position(),
		Voters:   c.confState.GetVoters(),
		Learners: c.confState.GetLearners(),
	}
}

// process does the work that raft has ready after an event.
func (c *Core) process() {
	c.startReadRound()
	for c.rawNode.HasReady() {
		c.processReady(c.rawNode.Ready())
	}
	c.compactLog()
}

// processReady processes one batch of raft's work in the order that raft requires: persist, then send, then apply.
func (c *Core) processReady(ready raft.Ready) {
	if err := c.options.Storage.save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		panic(err) // messages that depend on this write must not be sent: see Node.recoverFailure
	}
	c.recordPosition()
	for _, message := range ready.Messages {
		c.send(message)
	}
	if !raft.IsEmptySnap(ready.Snapshot) {
		c.applySnapshot(ready.Snapshot)
	}
	for _, entry := range ready.CommittedEntries {
		c.apply(entry)
	}
	for _, readState := range ready.ReadStates {
		c.completeReads(readState)
	}
	c.rawNode.Advance(ready)
}

// recordPosition writes the storage's position to the boot marker before any message that depends on the position is sent. If the write
// fails, the marker is erased, because an outdated marker would confirm outdated storage as complete.
func (c *Core) recordPosition() {
	position := c.options.Storage.Position()
	if position == c.recordedPosition {
		return
	}
	c.recordedPosition = position
	if err := c.options.BootMarker.record(c.options.Storage.identity.Incarnation, position); err != nil {
		err = errors.Join(err, c.options.BootMarker.erase())
		c.options.Log.WithError(err).Error("boot marker not writable: after a restart other members have to verify the disk")
		c.options.BootMarker = nil
	}
}

// send sends a raft message. It skips heartbeats that a learner does not need.
func (c *Core) send(message *raftpb.Message) {
	if message.GetType() == raftpb.MsgHeartbeat && !c.heartbeatDue(message.GetTo()) {
		return
	}
	raw, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	isSnapshot := message.GetType() == raftpb.MsgSnap
	c.options.Send(message.GetTo(), raw, isSnapshot)
	if isSnapshot {
		// Raft learns from the follower's next response whether the snapshot arrived.
		c.rawNode.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
	}
}

// heartbeatDue reports whether to send a heartbeat to a member now. Learners neither vote nor confirm reads, so they only need enough
// heartbeats to detect missing entries. In a group of hundreds, heartbeats to learners would be most of the leader's traffic.
func (c *Core) heartbeatDue(to uint64) bool {
	if !slices.Contains(c.confState.GetLearners(), to) {
		return true
	}
	if last, ok := c.learnerHeartbeats[to]; ok && c.ticks-last < learnerHeartbeatTicks {
		return false // also if it carries a read round, as all heartbeats do while reads are pending
	}
	c.learnerHeartbeats[to] = c.ticks
	return true
}

// applySnapshot replaces the state with a snapshot from the leader.
func (c *Core) applySnapshot(snapshot *raftpb.Snapshot) {
	if err := c.options.StateMachine.Restore(snapshot.GetData()); err != nil {
		panic(err)
	}
	c.confState = snapshot.GetMetadata().GetConfState()
	c.applied = snapshot.GetMetadata().GetIndex()
	c.snapshotIndex = c.applied
}

// apply applies a committed entry. Entries without data are internal to raft.
func (c *Core) apply(entry *raftpb.Entry) {
	data := entry.GetData()
	switch entry.GetType() {
	case raftpb.EntryConfChange:
		change := &raftpb.ConfChange{}
		mustUnmarshal(data, change)
		c.confState = c.rawNode.ApplyConfChange(change)
		data = change.GetContext()
	case raftpb.EntryConfChangeV2:
		change := &raftpb.ConfChangeV2{}
		mustUnmarshal(data, change)
		c.confState = c.rawNode.ApplyConfChange(change)
		data = change.GetContext()
	}
	if len(data) > 0 {
		c.options.StateMachine.Apply(entry.GetIndex(), data)
	}
	c.applied = entry.GetIndex()
}

// mustUnmarshal decodes bytes that raft has encoded. It panics on an error.
func mustUnmarshal(raw []byte, message proto.Message) {
	if err := proto.Unmarshal(raw, message); err != nil {
		panic(err)
	}
}
