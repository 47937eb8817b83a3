package consensus

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime/debug"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Node runs one member's part until Close.
type Node struct {
	options  Options
	id       uint64 // our raft id: the disk is the loop's
	calls    chan func(*Core)
	incoming chan *raftpb.Message
	stop     chan struct{}
	done     chan struct{}
	status   atomic.Pointer[Status]
}

// Start runs a member's part. Where its disk is empty it waits to be taken into the group.
func Start(options Options) (*Node, error) {
	core, err := NewCore(options, rand.Uint64())
	if err != nil {
		return nil, err
	}
	node := &Node{
		options: options, id: options.Storage.identity.RaftID, calls: make(chan func(*Core), 64), incoming: make(chan *raftpb.Message, maxPending), stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	node.publishStatus(core)
	go node.run(core)
	return node, nil
}

// Bootstrap begins a group on an empty disk; data is the state to begin with.
func Bootstrap(storage *Storage, clusterID string, state []byte) error {
	return storage.bootstrap(clusterID, state)
}

func (n *Node) run(core *Core) {
	defer close(n.done)
	defer n.recoverFailure()
	debug.SetPanicOnFault(true) // of the disk's mapped file: see Disk.open
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	core.process() // what the disk has settled already
	for {
		n.publishStatus(core)
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			core.Tick(false)
		case message := <-n.incoming:
			messages := []*raftpb.Message{message}
			for range len(n.incoming) {
				messages = append(messages, <-n.incoming)
			}
			core.Step(messages...)
		case call := <-n.calls:
			call(core)
		}
	}
}

func (n *Node) publishStatus(core *Core) {
	status := core.Status()
	n.status.Store(&status)
}

// recoverFailure ends this member's part, and no more, where its disk fails or raft finds something that cannot be.
func (n *Node) recoverFailure() {
	cause := recover()
	if cause == nil {
		return
	}
	status := *n.status.Load()
	status.IsLeader, status.LeaderID, status.Failure = false, 0, fmt.Sprint(cause)
	n.status.Store(&status)
	n.options.Log.WithField("cause", status.Failure).Error("this member takes no part in the group's agreement any more; it serves on")
}

// Status is how things stand, as the loop saw it last.
func (n *Node) Status() Status { return *n.status.Load() }

// Receive takes a message of another member's and says which raft id it is from, and how far that has come by it. It does not
// wait: what there is no room for is lost.
func (n *Node) Receive(raw []byte) (from uint64, position Position, err error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(raw, message); err != nil {
		return 0, position, fmt.Errorf("no message of raft's: %w", err)
	}
	if message.GetTo() != n.id {
		return 0, position, errors.New("it is for another life than ours")
	}
	switch message.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // these speak of a term that nobody is in yet
	case raftpb.MsgAppResp:
		if position.Term = message.GetTerm(); !message.GetReject() {
			position.LastIndex = message.GetIndex()
		}
	default:
		position.Term = message.GetTerm()
	}
	select {
	case n.incoming <- message:
		return message.GetFrom(), position, nil
	default:
		return message.GetFrom(), position, ErrBusy
	}
}

// submit has the loop call f.
func (n *Node) submit(ctx context.Context, call func(*Core)) error {
	select {
	case n.calls <- call:
		return nil
	case <-n.done:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// await has the loop call f and waits for what f sends.
func await[T any](ctx context.Context, n *Node, call func(*Core, chan<- T)) (result T, err error) {
	done := make(chan T, 1)
	if err := n.submit(ctx, func(core *Core) { call(core, done) }); err != nil {
		return result, err
	}
	select {
	case result = <-done:
		return result, nil
	case <-n.done:
		return result, ErrStopped
	case <-ctx.Done():
		return result, ctx.Err()
	}
}

// Propose offers an entry, at the leader. That it is settled shows at the state machine, or never: it may be settled though
// an error is returned later.
func (n *Node) Propose(ctx context.Context, data []byte) error {
	coreErr, err := await(ctx, n, func(core *Core, done chan<- error) { done <- core.Propose(data) })
	return errors.Join(coreErr, err)
}

// ProposeConfChange offers a change of who is in the group, with an entry for the state machine.
func (n *Node) ProposeConfChange(ctx context.Context, changes []*raftpb.ConfChangeSingle, data []byte) error {
	coreErr, err := await(ctx, n, func(core *Core, done chan<- error) { done <- core.ProposeConfChange(changes, data) })
	return errors.Join(coreErr, err)
}

// ReadIndex returns an index such that all that was settled before the call is at or below it: see Core.Read.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	type result struct {
		index uint64
		err   error
	}
	r, err := await(ctx, n, func(core *Core, done chan<- result) {
		core.ReadIndex(func(index uint64, err error) { done <- result{index, err} })
	})
	return r.index, errors.Join(r.err, err)
}

// CaughtUp returns those followers that have nearly all that is settled and were heard of lately; nil where we do not lead.
func (n *Node) CaughtUp(ctx context.Context) []uint64 {
	ids, _ := await(ctx, n, func(core *Core, done chan<- []uint64) { done <- core.CaughtUp() })
	return ids
}

// MarkConfirmed notes on the disk that this life has had a word of the group.
func (n *Node) MarkConfirmed(ctx context.Context) error {
	coreErr, err := await(ctx, n, func(core *Core, done chan<- error) { done <- core.options.Storage.MarkConfirmed() })
	return errors.Join(coreErr, err)
}

// TransferLeadership gives the lead to a voter, if we have it.
func (n *Node) TransferLeadership(ctx context.Context, to uint64) {
	n.submit(ctx, func(core *Core) {
		core.rawNode.TransferLeader(to)
		core.process()
	})
}

// ReportUnreachable says that messages to a member get lost.
func (n *Node) ReportUnreachable(id uint64) {
	select {
	case n.calls <- func(core *Core) { core.rawNode.ReportUnreachable(id) }:
	default:
	}
}

// Close ends this member's part and gives its disk back.
func (n *Node) Close() error {
	close(n.stop)
	<-n.done
	return errors.Join(n.options.BootMarker.Close(), n.options.Storage.Close())
}
