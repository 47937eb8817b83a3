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

// Core is one member's part without clock, goroutine or network: its caller ticks it and delivers its messages. It is not safe for
// concurrent use.
//
// Its methods panic if the storage fails, or if raft finds a state that is impossible. After a panic the core must not be used.
type Core struct {
	options           Options
	rawNode           *raft.RawNode
	confState         *raftpb.ConfState // the group's members as of the last applied entry
	applied           uint64            // index of the last applied entry
	snapshotIndex     uint64            // index of the last snapshot
	recordedPosition  Position          // what the boot marker has
	ticks             int
	learnerHeartbeats map[uint64]int // the tick of each learner's last heartbeat, by raft ID

	// Reads, see ReadIndex. Rounds are numbered from a random start.
	pendingReads    []pendingRead
	lastReadRound   uint64
	activeReadRound uint64 // 0: none
	ticksSinceRead  int    // since the last round began
}

// NewCore returns a core that continues from its storage. With empty storage it waits to be added to the group by the leader. seed
// distinguishes its reads from those of an earlier process of the same incarnation.
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

// restoreSnapshot restores the state machine from the storage's snapshot, if there is one.
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

// Tick advances the core's clock by one tick. With manual elections a member that does not lead campaigns only by Campaign.
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

// Step delivers messages of other members, with one synced write for all.
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

// lacksPromised reports whether the log may have lost entries that this member has acknowledged. Such a member must not campaign.
func (c *Core) lacksPromised() bool {
	return c.options.MaxPromised != nil && c.options.Storage.Position().logOlderThan(*c.options.MaxPromised)
}

// rejectsVoteRequest reports whether a message asks for a vote that this member may not give: in a term in which it may have voted
// already, or for a log that may lack what it has acknowledged. It guards against outdated storage, which would vote as if nothing were
// lost.
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

// Propose proposes an entry, at the leader: see Node.Propose.
func (c *Core) Propose(data []byte) error {
	defer c.process()
	return proposalError(c.rawNode.Propose(data))
}

// ProposeConfChange proposes a change of the group's members, with an entry for the state machine.
func (c *Core) ProposeConfChange(changes []*raftpb.ConfChangeSingle, data []byte) error {
	defer c.process()
	transition := raftpb.ConfChangeTransitionAuto
	change := &raftpb.ConfChangeV2{Transition: &transition, Changes: changes, Context: data}
	return proposalError(c.rawNode.ProposeConfChange(change))
}

// proposalError translates raft's error of a proposal.
func proposalError(err error) error {
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNoLeader
	}
	return err
}

// CaughtUp returns the raft IDs of the members that are active and have nearly all entries; nil unless this member leads.
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

// Status returns the present status. It never has a Failure.
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

// process carries out the work that raft has after an event.
func (c *Core) process() {
	c.startReadRound()
	for c.rawNode.HasReady() {
		c.processReady(c.rawNode.Ready())
	}
	c.compactLog()
}

// processReady carries out one batch of raft's work in the order that raft needs: persist, then send, then apply.
func (c *Core) processReady(ready raft.Ready) {
	if err := c.options.Storage.save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		panic(err) // messages that depend on it must not be sent: see Node.recoverFailure
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

// recordPosition writes the storage's position to the boot marker, before any message that depends on it is sent. A marker that cannot
// be written is erased, as an outdated one is worse than none.
func (c *Core) recordPosition() {
	position := c.options.Storage.Position()
	if position == c.recordedPosition {
		return
	}
	c.recordedPosition = position
	if err := c.options.BootMarker.record(c.options.Storage.identity.Incarnation, position); err != nil {
		err = errors.Join(err, c.options.BootMarker.erase())
		c.options.Log.WithError(err).Error("boot marker cannot be written: after a restart other members have to verify the disk")
		c.options.BootMarker = nil
	}
}

// send sends a raft message, unless it is a heartbeat that a learner does not need.
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
		// The follower's next response shows whether it arrived.
		c.rawNode.ReportSnapshot(message.GetTo(), raft.SnapshotFinish)
	}
}

// heartbeatDue reports whether a member is to get a heartbeat now. Learners neither vote nor confirm reads: a few heartbeats are enough
// for them to notice missing entries. In a group of hundreds, heartbeats of learners would be most of the leader's traffic.
func (c *Core) heartbeatDue(to uint64) bool {
	if !slices.Contains(c.confState.GetLearners(), to) {
		return true
	}
	if last, ok := c.learnerHeartbeats[to]; ok && c.ticks-last < learnerHeartbeatTicks {
		return false // also heartbeats with a read round: all have one while a read waits
	}
	c.learnerHeartbeats[to] = c.ticks
	return true
}

// applySnapshot replaces the state by a leader's snapshot.
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

// mustUnmarshal decodes bytes that raft itself has encoded, and panics if that fails.
func mustUnmarshal(raw []byte, message proto.Message) {
	if err := proto.Unmarshal(raw, message); err != nil {
		panic(err)
	}
}
