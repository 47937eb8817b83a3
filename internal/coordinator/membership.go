package coordinator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"math/big"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/boltstore"
	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// incarnationLength is the number of characters of an incarnation, and of a cluster ID.
const incarnationLength = 10

// membership is what a process holds while it takes part in the group.
type membership struct {
	transport     *peer.Transport
	storage       *consensus.Storage // the node's once there is one
	startedAt     time.Time
	startPosition consensus.Position // of the storage

	// Coordinator.mu guards these two.
	identity consensus.Identity
	node     *consensus.Node // nil: this member has not joined yet, or its disk is not verified

	confirmed bool // the storage has noted that the group confirmed this incarnation; the renewal loop's

	bootstrap          chan bool     // an operator's call to create the group here, and whether it is after a data loss
	diskConfirmed      chan struct{} // an operator's call that confirms the disk
	unknownIncarnation chan struct{} // the group does not know this incarnation, or its disk is old
}

// signalUnknownIncarnation has the membership end and a new incarnation begin.
func (m *membership) signalUnknownIncarnation() {
	select {
	case m.unknownIncarnation <- struct{}{}:
	default: // it is known already
	}
}

// runMembership gets a membership and holds it until ctx ends, a newer process is to have it, or the group does not know this incarnation.
func (c *Coordinator) runMembership(ctx context.Context) error {
	if c.newerSiblingExists() {
		return nil
	}
	current, listener, err := c.openMembership()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.serveMembership(current, listener)
	var loops sync.WaitGroup
	loops.Go(func() { c.resumeOrJoin(ctx, current) })
	loops.Go(func() { c.renewLoop(ctx) })
	loops.Go(func() { c.leaderLoop(ctx) })
	discardStorage := c.watchMembership(ctx, current)
	cancel()
	if !c.closing.Load() {
		c.transferLeadership(ctx)
	}
	return c.closeMembership(current, &loops, discardStorage)
}

func (c *Coordinator) newerSiblingExists() bool {
	_, newer := c.options.Siblings()
	return newer
}

// openMembership opens the listener and the storage. Only one process at a time can.
func (c *Coordinator) openMembership() (*membership, net.Listener, error) {
	self, ok := c.self()
	if !ok {
		return nil, nil, fmt.Errorf("the operator's file lists no member %q", c.options.Self)
	}
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		return nil, nil, fmt.Errorf("group.member: %w", err)
	}
	storage, err := c.openStorage()
	if err != nil {
		listener.Close()
		return nil, nil, err
	}
	current := &membership{
		transport: peer.NewTransport(peer.Options{
			Group:         c.options.Group.Name,
			Self:          c.options.Self,
			Members:       c.options.Group.Members,
			Identity:      c.sender,
			IsStale:       c.isPastIncarnation,
			OnUnreachable: c.reportUnreachable,
			Log:           c.options.Log,
		}),
		storage:            storage,
		startedAt:          time.Now(),
		startPosition:      storage.Position(),
		identity:           storage.Identity(),
		confirmed:          storage.Identity().Confirmed,
		bootstrap:          make(chan bool),
		diskConfirmed:      make(chan struct{}),
		unknownIncarnation: make(chan struct{}, 1),
	}
	return current, listener, nil
}

// serveMembership begins to serve the membership's transport.
func (c *Coordinator) serveMembership(current *membership, listener net.Listener) {
	c.registerHandlers(current.transport)
	for _, user := range c.options.TransportUsers {
		user.Attach(current.transport)
	}
	c.mu.Lock()
	c.membership = current
	identity := current.identity
	c.mu.Unlock()
	current.transport.Serve(listener)
	c.options.Log.WithFields(logrus.Fields{
		"address":     listener.Addr().String(),
		"incarnation": identity.Incarnation,
		"cluster":     identity.ClusterID,
		"durable":     current.storage.IsDurable(),
	}).Info("group membership acquired")
	logUnreadable(c.options.Log, current.storage)
}

// resumeOrJoin starts the membership's node, as soon as that is possible.
func (c *Coordinator) resumeOrJoin(ctx context.Context, current *membership) {
	if current.storage.Identity().ClusterID != "" {
		c.resume(ctx, current)
	} else {
		c.join(ctx, current)
	}
}

// watchMembership returns when the membership has to end, and whether its storage is to be discarded.
func (c *Coordinator) watchMembership(ctx context.Context, current *membership) (discardStorage bool) {
	for {
		select {
		case <-ctx.Done():
			return false
		case <-current.unknownIncarnation:
			c.options.Log.Warn("the group does not know this incarnation, discarding its storage to join anew")
			return true
		case <-time.After(membershipInterval):
		}
		if c.newerSiblingExists() {
			c.options.Log.Info("group membership yielded to a newer process")
			return false
		}
	}
}

// closeMembership closes what openMembership opened, once the loops have ended.
func (c *Coordinator) closeMembership(current *membership, loops *sync.WaitGroup, discardStorage bool) error {
	for _, user := range c.options.TransportUsers {
		user.Detach()
	}
	current.transport.Close()
	loops.Wait()
	c.mu.Lock()
	c.membership = nil
	node := current.node
	c.mu.Unlock()
	var err error
	if node != nil {
		err = node.Close()
	} else {
		err = current.storage.Close()
	}
	if discardStorage {
		c.options.Dispatcher.SetPlansUnknown(c.options.Group.MaintenancePlans)
		err = errors.Join(err, current.storage.Remove())
	}
	return err
}

// openStorage opens the group's directory. Where the system refuses it this member takes part without persistence: without a
// membership its dispatcher would send nothing.
func (c *Coordinator) openStorage() (*consensus.Storage, error) {
	identity, err := newIdentity(&c.options)
	if err != nil {
		return nil, err
	}
	storage, err := consensus.OpenStorage(c.options.Group.DataDir, identity)
	isOthers := errors.Is(err, boltstore.ErrLocked) || errors.Is(err, boltstore.ErrForeign)
	if err == nil || isOthers {
		return storage, err
	}
	c.options.Log.WithError(err).Error("group storage unavailable, taking part without persistence")
	return consensus.OpenStorage("", identity)
}

// logUnreadable logs what storage could not read, if there is such.
func logUnreadable(log logrus.FieldLogger, storage *consensus.Storage) {
	if storage.Unreadable != nil {
		log.WithError(storage.Unreadable).Error("group storage unreadable, beginning a new incarnation")
	}
}

// newIdentity draws the identity of empty storage.
func newIdentity(options *Options) (consensus.Identity, error) {
	id, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<62))
	if err != nil {
		return consensus.Identity{}, fmt.Errorf("drawing a raft ID: %w", err)
	}
	return consensus.Identity{
		Group:       options.Group.Name,
		Name:        options.Self,
		Incarnation: rand.Text()[:incarnationLength],
		RaftID:      id.Uint64() + 1, // 0 is no ID
	}, nil
}

// Check returns, by key of the operator's file, why a process that is alone could not take part: its address is in use, or its directory
// is another member's or locked. It needs Group, Self and Log of the options.
func Check(options Options) error {
	var errs []error
	for i, member := range options.Group.Members {
		if member.Name != options.Self {
			continue
		}
		listener, err := net.Listen("tcp", member.Address)
		if err != nil {
			errs = append(errs, fmt.Errorf("group.member[%d].link: %w", i, err))
			continue
		}
		listener.Close()
	}
	return errors.Join(append(errs, checkStorage(&options))...)
}

// checkStorage returns why the group's directory is not this member's to use. What the system refuses is no such reason: see openStorage.
func checkStorage(options *Options) error {
	identity, err := newIdentity(options)
	if err != nil {
		return err
	}
	storage, err := consensus.OpenStorage(options.Group.DataDir, identity)
	if errors.Is(err, boltstore.ErrForeign) || errors.Is(err, boltstore.ErrLocked) {
		return fmt.Errorf("group.folder: %w", err)
	}
	if err != nil {
		return nil
	}
	logUnreadable(options.Log, storage)
	_ = storage.Close() // nothing was written that is needed
	return nil
}

// self returns this member as the operator's file has it.
func (c *Coordinator) self() (peer.Member, bool) {
	i := slices.IndexFunc(c.options.Group.Members, func(member peer.Member) bool { return member.Name == c.options.Self })
	if i < 0 {
		return peer.Member{}, false
	}
	return c.options.Group.Members[i], true
}

// others returns the other members of the operator's file.
func (c *Coordinator) others() []peer.Member {
	isSelf := func(member peer.Member) bool { return member.Name == c.options.Self }
	return slices.DeleteFunc(slices.Clone(c.options.Group.Members), isSelf)
}

// currentMembership returns the membership; nil: this process has none.
func (c *Coordinator) currentMembership() *membership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership
}

// node returns the membership's node; nil: there is none.
func (c *Coordinator) node() *consensus.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membership == nil {
		return nil
	}
	return c.membership.node
}

// sender returns the sender of this member's messages.
func (c *Coordinator) sender() peer.Sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	sender := peer.Sender{Name: c.options.Self}
	if c.membership != nil {
		sender.Incarnation = c.membership.identity.Incarnation
		sender.ClusterID = c.membership.identity.ClusterID
	}
	return sender
}

// isPastIncarnation reports whether a member has begun a newer incarnation than the given one.
func (c *Coordinator) isPastIncarnation(name, incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.state.Members[name]
	return member != nil && member.HadIncarnation(incarnation)
}

// memberName returns the member with a raft ID; empty: none has it, or an earlier incarnation had it, which nobody listens for.
func (c *Coordinator) memberName(id uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range c.state.Members {
		if member.RaftID == id {
			return member.Name
		}
		if hadRaftID(member, id) {
			return ""
		}
	}
	return c.observedNames[id] // for a member that has not got the state yet
}

// hadRaftID reports whether an earlier incarnation of a member had a raft ID.
func hadRaftID(member *maintenance.Member, id uint64) bool {
	return slices.ContainsFunc(member.PastIncarnations, func(past maintenance.PastIncarnation) bool { return past.RaftID == id })
}

// reportUnreachable tells the node that a message to a member was lost.
func (c *Coordinator) reportUnreachable(name string) {
	c.mu.Lock()
	member := c.state.Members[name]
	c.mu.Unlock()
	if node := c.node(); node != nil && member != nil {
		node.ReportUnreachable(member.RaftID)
	}
}

// send sends a raft message. It does not block.
func (c *Coordinator) send(to uint64, raw []byte, _ bool) {
	name := c.memberName(to)
	current := c.currentMembership()
	if current != nil && name != "" {
		current.transport.Send(name, pathRaft, raw)
	}
}
