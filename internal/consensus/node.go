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

// maxPendingCalls is the maximum number of calls queued for a node's goroutine.
const maxPendingCalls = 64

// Node runs a Core in a goroutine of its own until Close. Its methods are safe for concurrent use.
type Node struct {
	options  Options
	id       uint64 // raft ID, copied because only the goroutine may access the storage
	calls    chan func(*Core)
	incoming chan *raftpb.Message
	stop     chan struct{}
	done     chan struct{}
	status   atomic.Pointer[Status]
}

// Start starts a node. With empty storage it waits until the leader adds it to the group. The node takes ownership of the storage and
// the boot marker, and closes them.
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

// Bootstrap creates a group on empty storage, with the storage's member as the only voter. clusterID distinguishes the group from others
// of the same name. state is the group's initial snapshot.
func Bootstrap(storage *Storage, clusterID string, state []byte) error {
	return storage.bootstrap(clusterID, state)
}

// run is the main loop of the node's goroutine.
func (n *Node) run(core *Core) {
	defer close(n.done)
	defer n.recoverFailure()
	debug.SetPanicOnFault(true) // the storage's file is mapped into memory: see boltstore.Open
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	core.process() // applies the committed entries of the storage
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

// drainIncoming returns first and all messages queued after it, so that one synced write covers all of them.
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

// recoverFailure recovers from a panic of the core, so that a failure of the storage or an impossible state in raft stops consensus but
// not the process.
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

// Receive queues a message from another member. It returns the sender's raft ID and the position that the sender promises with the
// message. It does not block: if the queue is full, it drops the message and returns ErrBusy.
func (n *Node) Receive(raw []byte) (from uint64, promised Position, err error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(raw, message); err != nil {
		return 0, Position{}, fmt.Errorf("malformed raft message: %w", err)
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

// promisedBy returns the position that the sender of a message promises with it.
func promisedBy(message *raftpb.Message) Position {
	switch message.GetType() {
	case raftpb.MsgPreVote, raftpb.MsgPreVoteResp: // the sender has not entered the message's term yet
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

// await runs call in the node's goroutine and returns the result that call sends on the channel.
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

// do runs call in the node's goroutine and returns its error.
func (n *Node) do(ctx context.Context, call func(*Core) error) error {
	callErr, err := await(ctx, n, func(core *Core, results chan<- error) { results <- call(core) })
	if err != nil {
		return err
	}
	return callErr
}

// Propose proposes an entry. This member must be the leader. A nil error means that the entry was appended to the log, not that it is or
// will be committed. The entry may be committed even if an error is returned.
func (n *Node) Propose(ctx context.Context, data []byte) error {
	return n.do(ctx, func(core *Core) error { return core.Propose(data) })
}

// ProposeConfChange proposes a change of the group's members together with an entry for the state machine. Errors are as for Propose.
func (n *Node) ProposeConfChange(ctx context.Context, changes []*raftpb.ConfChangeSingle, data []byte) error {
	return n.do(ctx, func(core *Core) error { return core.ProposeConfChange(changes, data) })
}

// ReadIndex returns an index at or above that of every entry committed before the call: see Core.ReadIndex.
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

// CaughtUp returns the raft IDs of the active members that have nearly all entries, or nil if this member is not the leader.
func (n *Node) CaughtUp(ctx context.Context) []uint64 {
	ids, err := await(ctx, n, func(core *Core, results chan<- []uint64) { results <- core.CaughtUp() })
	if err != nil {
		return nil
	}
	return ids
}

// MarkConfirmed records in the storage that the group has confirmed this incarnation: see Identity.
func (n *Node) MarkConfirmed(ctx context.Context) error {
	return n.do(ctx, func(core *Core) error { return core.options.Storage.MarkConfirmed() })
}

// TransferLeadership starts to transfer leadership to a voter if this member is the leader. It does not wait for the result, which
// Status reports.
func (n *Node) TransferLeadership(ctx context.Context, to uint64) {
	_ = n.submit(ctx, func(core *Core) { // after an error this member is still the leader
		core.rawNode.TransferLeader(to)
		core.process()
	})
}

// ReportUnreachable tells raft that messages to a member were lost. It does not block.
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
