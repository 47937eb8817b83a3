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

// Core is one member's part without clock and goroutine: its caller ticks it, carries its messages and takes care that only
// one call is under way at a time. It panics where its disk fails, or where raft finds something that cannot be: then it must
// not be called any more.
type Core struct {
	options           Options
	rawNode           *raft.RawNode
	confState         *raftpb.ConfState
	applied           uint64
	snapshotIndex     uint64
	pendingReads      []pendingRead // that wait for a confirmation
	activeReadRound   uint64        // the number of the read that raft was asked for last; 0: none is out
	recordedPosition  Position      // as the witness has it
	ticks             int
	learnerHeartbeats map[uint64]int // when a follower got its last heartbeat
	ticksSinceRead    int            // ticks ago
	lastReadRound     uint64
}

// NewCore goes on from what the disk has. Where that is empty it waits to be taken into the group. seed tells its reads apart
// from those of a process before.
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
	snapshot, err := options.Storage.memory.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snapshot) {
		if err := options.StateMachine.Restore(snapshot.GetData()); err != nil {
			return nil, fmt.Errorf("the snapshot: %w", err)
		}
		core.applied = snapshot.GetMetadata().GetIndex()
		core.snapshotIndex = core.applied
	}
	core.rawNode, err = raft.NewRawNode(&raft.Config{
		ID: options.Storage.identity.RaftID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: raftStorage{options.Storage.memory, core}, Applied: core.applied,
		MaxSizePerMsg: maxMessageBytes, MaxCommittedSizePerReady: maxMessageBytes, MaxUncommittedEntriesSize: maxUncommittedBytes, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: raftLogger{options.Log},
	})
	return core, err
}

// Tick lets one tick go by. Where the caller drives elections, a member that does not lead campaigns at Campaign alone.
func (c *Core) Tick(manualElections bool) {
	c.ticksSinceRead++
	c.ticks++
	if (manualElections || c.lacksPromised()) && c.rawNode.BasicStatus().RaftState != raft.StateLeader {
		c.rawNode.TickQuiesced()
	} else {
		c.rawNode.Tick()
	}
	c.process()
}

// Campaign asks for votes.
func (c *Core) Campaign() {
	if err := c.rawNode.Campaign(); err != nil {
		c.options.Log.WithError(err).Debug("no campaign")
	}
	c.process()
}

// Step takes messages of other members, all with one synced write.
func (c *Core) Step(messages ...*raftpb.Message) {
	for _, message := range messages {
		if c.rejectsVoteRequest(message) {
			continue
		}
		if err := c.rawNode.Step(message); err != nil {
			c.options.Log.WithError(err).Debug("a message of the group's was passed over")
		}
	}
	c.process()
}

// lacksPromised tells whether our log has less than we may have acknowledged and forgotten: then we ask for no votes.
func (c *Core) lacksPromised() bool {
	return c.options.MaxPromised != nil && c.options.Storage.Position().logOlderThan(*c.options.MaxPromised)
}

// rejectsVoteRequest tells whether a call for our vote is to be passed over: in a term in which we may have voted, or for a log that may lack what we
// have acknowledged. Guards against a disk of before, which votes as if it remembered.
func (c *Core) rejectsVoteRequest(message *raftpb.Message) bool {
	if c.options.MaxPromised == nil || message.GetType() != raftpb.MsgVote && message.GetType() != raftpb.MsgPreVote {
		return false
	}
	return message.GetTerm() <= c.options.MaxPromised.Term || Position{LastIndex: message.GetIndex(), LastTerm: message.GetLogTerm()}.logOlderThan(*c.options.MaxPromised)
}

// Propose offers an entry, at the leader.
func (c *Core) Propose(data []byte) error {
	defer c.process()
	return proposalError(c.rawNode.Propose(data))
}

// ProposeConfChange offers a change of who is in the group, with an entry for the state machine.
func (c *Core) ProposeConfChange(changes []*raftpb.ConfChangeSingle, data []byte) error {
	defer c.process()
	auto := raftpb.ConfChangeTransitionAuto
	return proposalError(c.rawNode.ProposeConfChange(&raftpb.ConfChangeV2{Transition: &auto, Changes: changes, Context: data}))
}

func proposalError(err error) error {
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNoLeader
	}
	return err
}

// CaughtUp are those followers that have nearly all that is settled and were heard of lately; nil where we do not lead.
func (c *Core) CaughtUp() (ids []uint64) {
	if c.rawNode.BasicStatus().RaftState != raft.StateLeader {
		return nil
	}
	c.rawNode.WithProgress(func(id uint64, _ raft.ProgressType, progress tracker.Progress) {
		if progress.RecentActive && progress.Match > 0 && progress.Match+trailingEntries >= c.applied {
			ids = append(ids, id)
		}
	})
	return ids
}

// Status is how things stand.
func (c *Core) Status() Status {
	basic := c.rawNode.BasicStatus()
	return Status{
		LeaderID: basic.Lead, IsLeader: basic.RaftState == raft.StateLeader, Applied: c.applied, Position: c.options.Storage.Position(),
		Voters: c.confState.GetVoters(), Learners: c.confState.GetLearners(),
	}
}

// process carries out what the last event brought.
func (c *Core) process() {
	c.startReadRound()
	c.processReady()
}

// processReady carries out what raft wants done, in its order: kept and synced, then sent, then applied.
func (c *Core) processReady() {
	for c.rawNode.HasReady() {
		ready := c.rawNode.Ready()
		if err := c.options.Storage.save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
			panic(err) // nothing that rests on it may leave; see Agree.guard
		}
		c.recordPosition()
		for _, message := range ready.Messages {
			c.send(message)
		}
		if !raft.IsEmptySnap(ready.Snapshot) {
			if err := c.options.StateMachine.Restore(ready.Snapshot.GetData()); err != nil {
				panic(err)
			}
			c.confState, c.applied = ready.Snapshot.GetMetadata().GetConfState(), ready.Snapshot.GetMetadata().GetIndex()
			c.snapshotIndex = c.applied
		}
		for _, entry := range ready.CommittedEntries {
			c.apply(entry)
		}
		for _, readState := range ready.ReadStates {
			c.completeReads(readState)
		}
		c.rawNode.Advance(ready)
	}
	c.compactLog()
}

// recordPosition has the witness note what the disk has. One that cannot be written is taken away.
func (c *Core) recordPosition() {
	position := c.options.Storage.Position()
	if position == c.recordedPosition {
		return
	}
	c.recordedPosition = position
	if err := c.options.BootMarker.record(c.options.Storage.identity.Incarnation, position); err != nil {
		c.options.Log.WithError(errors.Join(err, c.options.BootMarker.erase())).Error("after a restart this member will have to ask the others whether its disk is the last one")
		c.options.BootMarker = nil
	}
}

func (c *Core) send(message *raftpb.Message) {
	if message.GetType() == raftpb.MsgHeartbeat && !c.heartbeatDue(message) {
		return
	}
	raw, err := proto.Marshal(message)
	if err != nil {
		panic(err)
	}
	isSnapshot := message.GetType() == raftpb.MsgSnap
	c.options.Send(message.GetTo(), raw, isSnapshot)
	if isSnapshot {
		c.rawNode.ReportSnapshot(message.GetTo(), raft.SnapshotFinish) // one that is lost shows by what the member says next
	}
}

// heartbeatDue tells whether a heartbeat is to be sent. Followers have no vote to lose and no quorum to confirm: one now and then tells them
// what they missed. To hundreds of them all would be most of what the leader sends.
func (c *Core) heartbeatDue(message *raftpb.Message) bool {
	if !slices.Contains(c.confState.GetLearners(), message.GetTo()) {
		return true
	}
	if last, ok := c.learnerHeartbeats[message.GetTo()]; ok && c.ticks-last < learnerHeartbeatTicks {
		return false // also one that confirms a read: all do while some read waits
	}
	c.learnerHeartbeats[message.GetTo()] = c.ticks
	return true
}

func (c *Core) apply(entry *raftpb.Entry) {
	data := entry.GetData()
	switch entry.GetType() {
	case raftpb.EntryConfChange:
		var change raftpb.ConfChange
		if err := proto.Unmarshal(data, &change); err != nil {
			panic(err)
		}
		c.confState, data = c.rawNode.ApplyConfChange(&change), change.GetContext()
	case raftpb.EntryConfChangeV2:
		var change raftpb.ConfChangeV2
		if err := proto.Unmarshal(data, &change); err != nil {
			panic(err)
		}
		c.confState, data = c.rawNode.ApplyConfChange(&change), change.GetContext()
	}
	if len(data) > 0 {
		c.options.StateMachine.Apply(entry.GetIndex(), data)
	}
	c.applied = entry.GetIndex()
}
