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

// maxPendingCalls is how many calls may wait for a node's goroutine.
const maxPendingCalls = 64

// Node runs a Core in a goroutine of its own until Close. Its methods are safe for concurrent use.
type Node struct {
	options  Options
	id       uint64 // raft ID; the storage belongs to the goroutine
	calls    chan func(*Core)
	incoming chan *raftpb.Message
	stop     chan struct{}
	done     chan struct{}
	status   atomic.Pointer[Status]
}

// Start starts a node. With empty storage it waits to be added to the group by its leader. The node owns the storage and the
// boot marker from then on, and closes them.
func Start(options Options) (*Node, error) {
	core, err := NewCore(options, rand.Uint64())
	if err != nil {
		return nil, err
	}
	node := &Node{
		options:  options,
		id:       options.Storage.identity.RaftID,
		calls:    make(chan func(*Core), maxPendingCalls),
		incoming: make(chan *raftpb.Message, maxQueueLength),
		stop:     make(chan struct{}),
		done:     make(chan struct{}),
	}
	node.publishStatus(core)
	go node.run(core)
	return node, nil
}

// Bootstrap creates a group on empty storage, whose member is the only voter. clusterID distinguishes this group from others of its name,
// state is its initial snapshot.
func Bootstrap(storage *Storage, clusterID string, state []byte) error {
	return storage.bootstrap(clusterID, state)
}

// run is the node's goroutine.
func (n *Node) run(core *Core) {
	defer close(n.done)
	defer n.recoverFailure()
	debug.SetPanicOnFault(true) // the storage's file is mapped into memory: see boltstore.Open
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	core.process() // applies what the storage has as committed
	for {
		n.publishStatus(core)
		select {
		case <-n.stop:
			return
		case <-ticker.C:
			core.Tick(false)
		case message := <-n.incoming:
			core.Step(n.drainIncoming(message)...)
		case call := <-n.calls:
			call(core)
		}
	}
}

// drainIncoming returns a message and those queued after it, so that one synced write is enough for all.
func (n *Node) drainIncoming(first *raftpb.Message) []*raftpb.Message {
	waiting := len(n.incoming)
	messages := make([]*raftpb.Message, 1, 1+waiting)
	messages[0] = first
	for range waiting {
		messages = append(messages, <-n.incoming)
	}
	return messages
}

func (n *Node) publishStatus(core *Core) {
	status := core.Status()
	n.status.Store(&status)
}

// recoverFailure stops consensus, and not the process, if the storage fails or raft finds a state that is impossible.
func (n *Node) recoverFailure() {
	cause := recover()
	if cause == nil {
		return
	}
	status := *n.status.Load()
	status.IsLeader = false
	status.LeaderID = 0
	status.Failure = fmt.Sprint(cause)
	n.status.Store(&status)
	n.options.Log.WithField("error", status.Failure).Error("consensus stopped, serving requests without it")
}

// Status returns the status after the last event.
func (n *Node) Status() Status { return *n.status.Load() }

// Receive queues a message of another member. It returns the sender's raft ID and what the sender has promised by the message. It does
// not block: if the queue is full, the message is dropped and ErrBusy returned.
func (n *Node) Receive(raw []byte) (from uint64, promised Position, err error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(raw, message); err != nil {
		return 0, Position{}, fmt.Errorf("no message of raft's: %w", err)
	}
	if message.GetTo() != n.id {
		return 0, Position{}, ErrWrongIncarnation
	}
	promised = promisedBy(message)
	select {
	case n.incoming <- message:
		return message.GetFrom(), promised, nil
	default:
		return message.GetFrom(), promised, ErrBusy
	}
}

// promisedBy returns what the sender of a message promises by it.
func promisedBy(message *raftpb.Message) Position {
	switch message.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // their term is one that the sender has not entered yet
		return Position{}
	case raftpb.MsgAppResp:
		if message.GetReject() {
			return Position{Term: message.GetTerm()}
		}
		return Position{Term: message.GetTerm(), LastIndex: message.GetIndex()}
	}
	return Position{Term: message.GetTerm()}
}

// submit queues a call for the node's goroutine.
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

// await has the node's goroutine make a call, and waits for what the call sends.
func await[T any](ctx context.Context, n *Node, call func(*Core, chan<- T)) (result T, err error) {
	results := make(chan T, 1)
	if err := n.submit(ctx, func(core *Core) { call(core, results) }); err != nil {
		return result, err
	}
	select {
	case result = <-results:
		return result, nil
	case <-n.done:
		return result, ErrStopped
	case <-ctx.Done():
		return result, ctx.Err()
	}
}

// do has the node's goroutine make a call, and returns its error.
func (n *Node) do(ctx context.Context, call func(*Core) error) error {
	callErr, err := await(ctx, n, func(core *Core, results chan<- error) { results <- call(core) })
	if err != nil {
		return err
	}
	return callErr
}

// Propose proposes an entry, at the leader. A nil error says that it was appended, not that it is committed: the state machine sees it
// once it is, or never. It may be committed although an error is returned.
func (n *Node) Propose(ctx context.Context, data []byte) error {
	return n.do(ctx, func(core *Core) error { return core.Propose(data) })
}

// ProposeConfChange proposes a change of the group's members, with an entry for the state machine, as Propose does.
func (n *Node) ProposeConfChange(ctx context.Context, changes []*raftpb.ConfChangeSingle, data []byte) error {
	return n.do(ctx, func(core *Core) error { return core.ProposeConfChange(changes, data) })
}

// ReadIndex returns an index such that everything that was committed before the call is at or below it: see Core.ReadIndex.
func (n *Node) ReadIndex(ctx context.Context) (uint64, error) {
	type result struct {
		index uint64
		err   error
	}
	r, err := await(ctx, n, func(core *Core, results chan<- result) {
		core.ReadIndex(func(index uint64, err error) { results <- result{index, err} })
	})
	return r.index, errors.Join(r.err, err)
}

// CaughtUp returns the raft IDs of the members that are active and have nearly all entries; nil unless this member leads.
func (n *Node) CaughtUp(ctx context.Context) []uint64 {
	ids, err := await(ctx, n, func(core *Core, results chan<- []uint64) { results <- core.CaughtUp() })
	if err != nil {
		return nil
	}
	return ids
}

// MarkConfirmed notes in the storage that the group has confirmed this incarnation: see Identity.
func (n *Node) MarkConfirmed(ctx context.Context) error {
	return n.do(ctx, func(core *Core) error { return core.options.Storage.MarkConfirmed() })
}

// TransferLeadership transfers leadership to a voter, if this member leads. It does not wait: Status shows whether it succeeded.
func (n *Node) TransferLeadership(ctx context.Context, to uint64) {
	_ = n.submit(ctx, func(core *Core) { // after an error this member still leads
		core.rawNode.TransferLeader(to)
		core.process()
	})
}

// ReportUnreachable reports to raft that messages to a member are lost. It does not block.
func (n *Node) ReportUnreachable(id uint64) {
	select {
	case n.calls <- func(core *Core) { core.rawNode.ReportUnreachable(id) }:
	default:
	}
}

// Close stops the node and closes its boot marker and storage. It must be called once.
func (n *Node) Close() error {
	close(n.stop)
	<-n.done
	return errors.Join(n.options.BootMarker.Close(), n.options.Storage.Close())
}
