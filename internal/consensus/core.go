package consensus

import (
	"encoding/binary"
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
	o       Options
	rn      *raft.RawNode
	conf    *raftpb.ConfState
	applied uint64
	cutAt   uint64
	reads   []read // that wait for a confirmation
	asked   uint64 // the number of the read that raft was asked for last; 0: none is out
	mark    Mark   // as the witness has it
	ticks   int
	beats   map[uint64]int // when a follower got its last heartbeat
	askedAt int            // ticks ago
	number  uint64
}

type read struct {
	after uint64 // confirmed by a read of this number or a later one
	done  func(index uint64, err error)
}

// NewCore goes on from what the disk has. Where that is empty it waits to be taken into the group. seed tells its reads apart
// from those of a process before.
func NewCore(o Options, seed uint64) (*Core, error) {
	if o.Bound != nil {
		if err := o.Disk.raise(o.Bound.Term); err != nil {
			return nil, err
		}
	}
	_, conf, err := o.Disk.cache.InitialState()
	if err != nil {
		return nil, err
	}
	c := &Core{o: o, conf: conf, number: seed >> 1, beats: map[uint64]int{}}
	snap, err := o.Disk.cache.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := o.Machine.Restore(snap.GetData()); err != nil {
			return nil, fmt.Errorf("the snapshot: %w", err)
		}
		c.applied = snap.GetMetadata().GetIndex()
		c.cutAt = c.applied
	}
	c.rn, err = raft.NewRawNode(&raft.Config{
		ID: o.Disk.who.ID, ElectionTick: election, HeartbeatTick: heartbeat, Storage: storage{o.Disk.cache, c}, Applied: c.applied,
		MaxSizePerMsg: bytesMost, MaxCommittedSizePerReady: bytesMost, MaxUncommittedEntriesSize: uncommitted, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: quiet{o.Log},
	})
	return c, err
}

// Tick lets one tick go by. Where the caller drives elections, a member that does not lead campaigns at Campaign alone.
func (c *Core) Tick(byHand bool) {
	c.askedAt++
	c.ticks++
	if (byHand || c.short()) && c.rn.BasicStatus().RaftState != raft.StateLeader {
		c.rn.TickQuiesced()
	} else {
		c.rn.Tick()
	}
	c.settle()
}

// Campaign asks for votes.
func (c *Core) Campaign() {
	if err := c.rn.Campaign(); err != nil {
		c.o.Log.WithError(err).Debug("no campaign")
	}
	c.settle()
}

// Step takes messages of other members, all with one synced write.
func (c *Core) Step(all ...*raftpb.Message) {
	for _, m := range all {
		if c.bars(m) {
			continue
		}
		if err := c.rn.Step(m); err != nil {
			c.o.Log.WithError(err).Debug("a message of the group's was passed over")
		}
	}
	c.settle()
}

// short tells whether our log has less than we may have acknowledged and forgotten: then we ask for no votes.
func (c *Core) short() bool { return c.o.Bound != nil && c.o.Disk.Mark().shorter(*c.o.Bound) }

// bars tells whether a call for our vote is to be passed over: in a term in which we may have voted, or for a log that may lack what we
// have acknowledged. Guards against a disk of before, which votes as if it remembered.
func (c *Core) bars(m *raftpb.Message) bool {
	if c.o.Bound == nil || m.GetType() != raftpb.MsgVote && m.GetType() != raftpb.MsgPreVote {
		return false
	}
	return m.GetTerm() <= c.o.Bound.Term || Mark{Last: m.GetIndex(), LastTerm: m.GetLogTerm()}.shorter(*c.o.Bound)
}

// Propose offers an entry, at the leader.
func (c *Core) Propose(data []byte) error {
	defer c.settle()
	return dropped(c.rn.Propose(data))
}

// Change offers a change of who is in the group, with an entry for the state machine.
func (c *Core) Change(changes []*raftpb.ConfChangeSingle, data []byte) error {
	defer c.settle()
	auto := raftpb.ConfChangeTransitionAuto
	return dropped(c.rn.ProposeConfChange(&raftpb.ConfChangeV2{Transition: &auto, Changes: changes, Context: data}))
}

func dropped(err error) error {
	if errors.Is(err, raft.ErrProposalDropped) {
		return ErrNoLeader
	}
	return err
}

// Read has done called with an index such that all that was settled before the call is at or below it: a quorum has confirmed
// by then, since the call, that this member leads, or its leader does. It may never be called.
func (c *Core) Read(done func(index uint64, err error)) {
	if len(c.reads) >= messagesMost {
		done(0, ErrBusy)
		return
	}
	c.reads = append(c.reads, read{after: c.number + 1, done: done}) // the one that is out was asked for before us
	c.settle()
}

// Caught are those followers that have nearly all that is settled and were heard of lately; nil where we do not lead.
func (c *Core) Caught() (ids []uint64) {
	if c.rn.BasicStatus().RaftState != raft.StateLeader {
		return nil
	}
	c.rn.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
		if p.RecentActive && p.Match > 0 && p.Match+kept >= c.applied {
			ids = append(ids, id)
		}
	})
	return ids
}

// Status is how things stand.
func (c *Core) Status() Status {
	b := c.rn.BasicStatus()
	return Status{
		Leader: b.Lead, Leads: b.RaftState == raft.StateLeader, Applied: c.applied, Mark: c.o.Disk.Mark(),
		Voters: c.conf.GetVoters(), Follow: c.conf.GetLearners(),
	}
}

// settle carries out what the last event brought.
func (c *Core) settle() {
	c.ask()
	c.work()
}

// ask has the reads that wait confirmed, one round for all.
func (c *Core) ask() {
	if c.asked != 0 && c.askedAt < readAgain || len(c.reads) == 0 {
		return
	}
	c.number++
	c.asked, c.askedAt = c.number, 0
	c.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, c.number))
}

// work carries out what raft wants done, in its order: kept and synced, then sent, then applied.
func (c *Core) work() {
	for c.rn.HasReady() {
		rd := c.rn.Ready()
		if err := c.o.Disk.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			panic(err) // nothing that rests on it may leave; see Agree.guard
		}
		c.noted()
		for _, m := range rd.Messages {
			c.send(m)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := c.o.Machine.Restore(rd.Snapshot.GetData()); err != nil {
				panic(err)
			}
			c.conf, c.applied = rd.Snapshot.GetMetadata().GetConfState(), rd.Snapshot.GetMetadata().GetIndex()
			c.cutAt = c.applied
		}
		for _, e := range rd.CommittedEntries {
			c.apply(e)
		}
		for _, s := range rd.ReadStates {
			c.confirmed(s)
		}
		c.rn.Advance(rd)
	}
	c.cut()
}

// noted has the witness note what the disk has. One that cannot be written is taken away.
func (c *Core) noted() {
	m := c.o.Disk.Mark()
	if m == c.mark {
		return
	}
	c.mark = m
	if err := c.o.Witness.saw(c.o.Disk.who.Life, m); err != nil {
		c.o.Log.WithError(errors.Join(err, c.o.Witness.drop())).Error("after a restart this member will have to ask the others whether its disk is the last one")
		c.o.Witness = nil
	}
}

func (c *Core) send(m *raftpb.Message) {
	if m.GetType() == raftpb.MsgHeartbeat && !c.beat(m) {
		return
	}
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	snap := m.GetType() == raftpb.MsgSnap
	c.o.Send(m.GetTo(), raw, snap)
	if snap {
		c.rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost shows by what the member says next
	}
}

// beat tells whether a heartbeat is to be sent. Followers have no vote to lose and no quorum to confirm: one now and then tells them
// what they missed. To hundreds of them all would be most of what the leader sends.
func (c *Core) beat(m *raftpb.Message) bool {
	if !slices.Contains(c.conf.GetLearners(), m.GetTo()) {
		return true
	}
	if last, ok := c.beats[m.GetTo()]; ok && c.ticks-last < followerBeat {
		return false // also one that confirms a read: all do while some read waits
	}
	c.beats[m.GetTo()] = c.ticks
	return true
}

func (c *Core) apply(e *raftpb.Entry) {
	data := e.GetData()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := proto.Unmarshal(data, &cc); err != nil {
			panic(err)
		}
		c.conf, data = c.rn.ApplyConfChange(&cc), cc.GetContext()
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := proto.Unmarshal(data, &cc); err != nil {
			panic(err)
		}
		c.conf, data = c.rn.ApplyConfChange(&cc), cc.GetContext()
	}
	if len(data) > 0 {
		c.o.Machine.Apply(e.GetIndex(), data)
	}
	c.applied = e.GetIndex()
}

// confirmed ends the reads that one round of raft's confirms.
func (c *Core) confirmed(s raft.ReadState) {
	n := binary.BigEndian.Uint64(s.RequestCtx)
	if n == c.asked {
		c.asked = 0
	}
	var left []read
	was := c.reads
	c.reads = nil
	for _, r := range was {
		if r.after <= n {
			r.done(s.Index, nil)
		} else {
			left = append(left, r)
		}
	}
	c.reads = append(left, c.reads...)
}

// cut keeps the log short.
func (c *Core) cut() {
	if c.applied-c.cutAt < snapshotAfter {
		return
	}
	if err := c.snapshot(); err != nil {
		panic(err)
	}
	if err := c.o.Disk.compact(c.applied - kept); err != nil {
		panic(err)
	}
}

// snapshot keeps all that is settled, with who is in the group now.
func (c *Core) snapshot() error {
	if c.cutAt == c.applied {
		return nil
	}
	data, err := c.o.Machine.Snapshot()
	if err != nil {
		return err
	}
	if err := c.o.Disk.snapshot(c.applied, c.conf, data); err != nil {
		return err
	}
	c.cutAt = c.applied
	return nil
}

// storage is what raft reads. A snapshot for a follower is made when it is asked for: one from before the follower came would
// not have it in.
type storage struct {
	*raft.MemoryStorage
	c *Core
}

// Snapshot makes a snapshot of the present; the loop's goroutine asks for it.
func (s storage) Snapshot() (*raftpb.Snapshot, error) {
	if err := s.c.snapshot(); err != nil {
		s.c.o.Log.WithError(err).Error("no snapshot can be made for a member that is behind")
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return s.MemoryStorage.Snapshot()
}
