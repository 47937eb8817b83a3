// Package agree is the loop round raft: it ticks it, keeps what it wants kept, carries its messages and hands settled
// entries to a state machine in their one order. The algorithm is go.etcd.io/raft's. The loop's goroutine owns raft and the
// disk.
package agree

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"
)

// Times and bounds.
const (
	tickEvery     = 50 * time.Millisecond
	heartbeat     = 3  // ticks: 150 ms
	election      = 20 // ticks: a follower campaigns 1 to 2 s after the last word of its leader
	readAgain     = 10 // ticks until a read that has no answer is asked for again
	messagesMost  = 1024
	bytesMost     = 256 << 10 // of a message's entries
	uncommitted   = 4 << 20   // bytes of proposals that are not settled
	snapshotAfter = 1000      // entries until the log is cut
	kept          = 200       // entries behind it, for those that are a little late
)

// Machine is what is agreed on. It is called by the loop alone.
type Machine interface {
	Apply(index uint64, data []byte)
	Snapshot() ([]byte, error)
	Restore(data []byte) error
}

// Errors of proposals and reads.
var (
	ErrNoLeader = errors.New("no leader is known")
	ErrStopped  = errors.New("the agreement has stopped")
	ErrBusy     = errors.New("too much waits to be agreed on")
)

// Options is all that an Agree is made of.
type Options struct {
	Disk    *Disk
	Machine Machine
	Send    func(to uint64, raw []byte, snapshot bool) // must not wait
	Log     logrus.FieldLogger
}

// Status is how things stand with this member.
type Status struct {
	Leader  uint64 // raft id; 0: none is known
	Leads   bool
	Term    uint64
	Applied uint64
	Voters  []uint64
	Follow  []uint64 // learners
	Failed  string   // why it stopped; empty: it runs
}

// Agree runs one member's part until Close.
type Agree struct {
	o      Options
	calls  chan func(*raft.RawNode)
	in     chan *raftpb.Message
	quit   chan struct{}
	done   chan struct{}
	status atomic.Pointer[Status]

	// The loop's own.
	conf    *raftpb.ConfState
	applied uint64
	cutAt   uint64
	reads   []*read // that wait for a confirmation
	asked   uint64  // the number of the read that raft was asked for last; 0: none is out
	askedAt int     // ticks ago
	number  uint64
}

type read struct {
	after uint64 // confirmed by a read of this number or a later one
	done  chan result
}

type result struct {
	index uint64
	err   error
}

// Start runs a member's part. Where its disk is empty it waits to be taken into the group.
func Start(o Options) (*Agree, error) {
	_, conf, err := o.Disk.cache.InitialState()
	if err != nil {
		return nil, err
	}
	a := &Agree{
		o: o, calls: make(chan func(*raft.RawNode), 64), in: make(chan *raftpb.Message, messagesMost), quit: make(chan struct{}),
		done: make(chan struct{}), conf: conf, number: rand.Uint64() >> 1,
	}
	snap, err := o.Disk.cache.Snapshot()
	if err != nil {
		return nil, err
	}
	if !raft.IsEmptySnap(snap) {
		if err := o.Machine.Restore(snap.GetData()); err != nil {
			return nil, fmt.Errorf("the snapshot: %w", err)
		}
		a.applied = snap.GetMetadata().GetIndex()
		a.cutAt = a.applied
	}
	a.status.Store(&Status{Applied: a.applied})
	rn, err := raft.NewRawNode(&raft.Config{
		ID: o.Disk.who.ID, ElectionTick: election, HeartbeatTick: heartbeat, Storage: storage{o.Disk.cache, a}, Applied: a.applied,
		MaxSizePerMsg: bytesMost, MaxCommittedSizePerReady: bytesMost, MaxUncommittedEntriesSize: uncommitted, MaxInflightMsgs: 64,
		CheckQuorum: true, PreVote: true, ReadOnlyOption: raft.ReadOnlySafe, DisableProposalForwarding: true, StepDownOnRemoval: true,
		Logger: quiet{o.Log},
	})
	if err != nil {
		return nil, err
	}
	go a.loop(rn)
	return a, nil
}

// Found begins a group on an empty disk; data is the state to begin with.
func Found(d *Disk, founded string, data []byte) error { return d.found(founded, data) }

func (a *Agree) loop(rn *raft.RawNode) {
	defer close(a.done)
	defer func() {
		for _, r := range a.reads {
			r.done <- result{err: ErrStopped}
		}
	}()
	defer a.guard()
	debug.SetPanicOnFault(true) // of the disk's mapped file: see Disk.open
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	a.work(rn) // what the disk has settled already
	for {
		select {
		case <-a.quit:
			return
		case <-t.C:
			rn.Tick()
			a.askedAt++
		case m := <-a.in:
			a.step(rn, m)
			for range len(a.in) {
				a.step(rn, <-a.in)
			}
		case f := <-a.calls:
			f(rn)
		}
		a.ask(rn)
		a.work(rn)
	}
}

// guard ends this member's part, and no more, where its disk fails or raft finds something that cannot be.
func (a *Agree) guard() {
	v := recover()
	if v == nil {
		return
	}
	s := *a.status.Load()
	s.Leads, s.Leader, s.Failed = false, 0, fmt.Sprint(v)
	a.status.Store(&s)
	a.o.Log.WithField("cause", s.Failed).Error("this member takes no part in the group's agreement any more; it serves on")
}

func (a *Agree) step(rn *raft.RawNode, m *raftpb.Message) {
	if err := rn.Step(m); err != nil {
		a.o.Log.WithError(err).Debug("a message of the group's was passed over")
	}
}

// ask has the reads that wait confirmed, one round for all.
func (a *Agree) ask(rn *raft.RawNode) {
	if a.asked != 0 && a.askedAt < readAgain || len(a.reads) == 0 {
		return
	}
	a.number++
	a.asked, a.askedAt = a.number, 0
	rn.ReadIndex(binary.BigEndian.AppendUint64(nil, a.number))
}

// work carries out what raft wants done, in its order: kept and synced, then sent, then applied.
func (a *Agree) work(rn *raft.RawNode) {
	for rn.HasReady() {
		rd := rn.Ready()
		if err := a.o.Disk.save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			panic(err) // nothing that rests on it may leave; see guard
		}
		for _, m := range rd.Messages {
			a.send(rn, m)
		}
		if !raft.IsEmptySnap(rd.Snapshot) {
			if err := a.o.Machine.Restore(rd.Snapshot.GetData()); err != nil {
				panic(err)
			}
			a.conf, a.applied = rd.Snapshot.GetMetadata().GetConfState(), rd.Snapshot.GetMetadata().GetIndex()
			a.cutAt = a.applied
		}
		for _, e := range rd.CommittedEntries {
			a.apply(rn, e)
		}
		for _, s := range rd.ReadStates {
			a.confirmed(s)
		}
		rn.Advance(rd)
	}
	a.cut()
	a.tell(rn)
}

func (a *Agree) send(rn *raft.RawNode, m *raftpb.Message) {
	raw, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	snap := m.GetType() == raftpb.MsgSnap
	a.o.Send(m.GetTo(), raw, snap)
	if snap {
		rn.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost shows by what the member says next
	}
}

func (a *Agree) apply(rn *raft.RawNode, e *raftpb.Entry) {
	data := e.GetData()
	switch e.GetType() {
	case raftpb.EntryConfChange:
		var cc raftpb.ConfChange
		if err := proto.Unmarshal(data, &cc); err != nil {
			panic(err)
		}
		a.conf, data = rn.ApplyConfChange(&cc), cc.GetContext()
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := proto.Unmarshal(data, &cc); err != nil {
			panic(err)
		}
		a.conf, data = rn.ApplyConfChange(&cc), cc.GetContext()
	}
	if len(data) > 0 {
		a.o.Machine.Apply(e.GetIndex(), data)
	}
	a.applied = e.GetIndex()
}

// confirmed ends the reads that one round of raft's confirms.
func (a *Agree) confirmed(s raft.ReadState) {
	n := binary.BigEndian.Uint64(s.RequestCtx)
	if n == a.asked {
		a.asked = 0
	}
	left := a.reads[:0]
	for _, r := range a.reads {
		if r.after <= n {
			r.done <- result{index: s.Index}
		} else {
			left = append(left, r)
		}
	}
	a.reads = left
}

// cut keeps the log short.
func (a *Agree) cut() {
	if a.applied-a.cutAt < snapshotAfter {
		return
	}
	if err := a.snapshot(); err != nil {
		panic(err)
	}
	if err := a.o.Disk.compact(a.applied - kept); err != nil {
		panic(err)
	}
}

// snapshot keeps all that is settled, with who is in the group now.
func (a *Agree) snapshot() error {
	if a.cutAt == a.applied {
		return nil
	}
	data, err := a.o.Machine.Snapshot()
	if err != nil {
		return err
	}
	if err := a.o.Disk.snapshot(a.applied, a.conf, data); err != nil {
		return err
	}
	a.cutAt = a.applied
	return nil
}

// storage is what raft reads. A snapshot for a follower is made when it is asked for: one from before the follower came would
// not have it in.
type storage struct {
	*raft.MemoryStorage
	a *Agree
}

// Snapshot makes a snapshot of the present; the loop's goroutine asks for it.
func (s storage) Snapshot() (*raftpb.Snapshot, error) {
	if err := s.a.snapshot(); err != nil {
		s.a.o.Log.WithError(err).Error("no snapshot can be made for a member that is behind")
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return s.MemoryStorage.Snapshot()
}

func (a *Agree) tell(rn *raft.RawNode) {
	b := rn.BasicStatus()
	a.status.Store(&Status{
		Leader: b.Lead, Leads: b.RaftState == raft.StateLeader, Term: b.GetTerm(), Applied: a.applied,
		Voters: a.conf.GetVoters(), Follow: a.conf.GetLearners(),
	})
}

// Status is how things stand, as the loop saw it last.
func (a *Agree) Status() Status { return *a.status.Load() }

// Mark is how far a member has said that it has come: what its disk has to have for ever.
type Mark struct {
	Term uint64 `json:"term"` // it has heard of this one, and may have voted in it
	Last uint64 `json:"last"` // it has acknowledged the entries up to this one
}

// Behind tells whether a disk that has come so far has forgotten what was said.
func (m Mark) Behind(said Mark) bool { return m.Term < said.Term || m.Last < said.Last }

// Join is the mark that covers both.
func (m Mark) Join(o Mark) Mark { return Mark{max(m.Term, o.Term), max(m.Last, o.Last)} }

// Receive takes a message of another member's and says which raft id it is from, and how far that has come by it. It does not
// wait: what there is no room for is lost.
func (a *Agree) Receive(raw []byte) (from uint64, mark Mark, err error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return 0, mark, fmt.Errorf("no message of raft's: %w", err)
	}
	if m.GetTo() != a.o.Disk.who.ID {
		return 0, mark, errors.New("it is for another life than ours")
	}
	switch m.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // these speak of a term that nobody is in yet
	case raftpb.MsgAppResp:
		if mark.Term = m.GetTerm(); !m.GetReject() {
			mark.Last = m.GetIndex()
		}
	default:
		mark.Term = m.GetTerm()
	}
	select {
	case a.in <- m:
		return m.GetFrom(), mark, nil
	default:
		return m.GetFrom(), mark, ErrBusy
	}
}

// do has the loop call f.
func (a *Agree) do(ctx context.Context, f func(*raft.RawNode)) error {
	select {
	case a.calls <- f:
		return nil
	case <-a.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Propose offers an entry, at the leader. That it is settled shows at the state machine, or never: it may be settled though
// an error is returned later.
func (a *Agree) Propose(ctx context.Context, data []byte) error {
	return a.propose(ctx, func(rn *raft.RawNode) error { return rn.Propose(data) })
}

// Change offers a change of who is in the group, with an entry for the state machine.
func (a *Agree) Change(ctx context.Context, changes []*raftpb.ConfChangeSingle, data []byte) error {
	auto := raftpb.ConfChangeTransitionAuto
	return a.propose(ctx, func(rn *raft.RawNode) error {
		return rn.ProposeConfChange(&raftpb.ConfChangeV2{Transition: &auto, Changes: changes, Context: data})
	})
}

func (a *Agree) propose(ctx context.Context, f func(*raft.RawNode) error) error {
	done := make(chan error, 1)
	if err := a.do(ctx, func(rn *raft.RawNode) { done <- f(rn) }); err != nil {
		return err
	}
	select {
	case err := <-done:
		if errors.Is(err, raft.ErrProposalDropped) {
			return ErrNoLeader
		}
		return err
	case <-a.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Read returns an index such that all that was settled before the call is at or below it: a quorum has confirmed, since the
// call, that this member leads, or its leader does.
func (a *Agree) Read(ctx context.Context) (uint64, error) {
	done := make(chan result, 1)
	err := a.do(ctx, func(*raft.RawNode) {
		if len(a.reads) >= messagesMost {
			done <- result{err: ErrBusy}
			return
		}
		// The one that is out was asked for before us.
		a.reads = append(a.reads, &read{after: a.number + 1, done: done})
	})
	if err != nil {
		return 0, err
	}
	select {
	case r := <-done:
		return r.index, r.err
	case <-a.done:
		return 0, ErrStopped
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// Caught returns those followers that have nearly all that is settled and were heard of lately; nil where we do not lead.
func (a *Agree) Caught(ctx context.Context) (ids []uint64) {
	done := make(chan struct{})
	err := a.do(ctx, func(rn *raft.RawNode) {
		defer close(done)
		if rn.BasicStatus().RaftState != raft.StateLeader {
			return
		}
		rn.WithProgress(func(id uint64, _ raft.ProgressType, p tracker.Progress) {
			if p.RecentActive && p.Match > 0 && p.Match+kept >= a.applied {
				ids = append(ids, id)
			}
		})
	})
	if err == nil {
		select {
		case <-done:
		case <-a.done:
		}
	}
	return ids
}

// HandOver gives the lead to a voter, if we have it.
func (a *Agree) HandOver(ctx context.Context, to uint64) {
	a.do(ctx, func(rn *raft.RawNode) { rn.TransferLeader(to) })
}

// Unreachable says that messages to a member get lost.
func (a *Agree) Unreachable(id uint64) {
	select {
	case a.calls <- func(rn *raft.RawNode) { rn.ReportUnreachable(id) }:
	default:
	}
}

// Close ends this member's part and gives its disk back.
func (a *Agree) Close() error {
	close(a.quit)
	<-a.done
	return a.o.Disk.Close()
}
