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

// membership is the state of a process while it takes part in the group.
type membership struct {
	transport     *peer.Transport
	storage       *consensus.Storage // owned by node once there is one
	startedAt     time.Time
	startPosition consensus.Position // of the storage

	// Coordinator.mu guards identity and node.
	identity consensus.Identity
	node     *consensus.Node // nil: this member has not joined yet, or its disk is not verified yet

	confirmed bool // the storage has recorded that the group confirmed this incarnation; used by renewLoop only

	bootstrap          chan bool     // operators' calls to create the group at this member; true: after a data loss
	diskConfirmed      chan struct{} // operators' calls that confirm the disk
	unknownIncarnation chan struct{} // signalled if the group does not know this incarnation, or its disk is outdated
}

// signalUnknownIncarnation makes the membership end, so that a new incarnation begins. It does not block.
func (m *membership) signalUnknownIncarnation() {
	select {
	case m.unknownIncarnation <- struct{}{}:
	default: // it was signalled already
	}
}

// runMembership gets the membership and keeps it until ctx ends, a newer process needs it or the group does not know this incarnation. It
// returns at once if there is a newer process.
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

// openMembership opens the listener and the storage, which only one process can have open at a time.
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
			Group:             c.options.Group.Name,
			Self:              c.options.Self,
			Members:           c.options.Group.Members,
			Identity:          c.sender,
			IsPastIncarnation: c.isPastIncarnation,
			OnUnreachable:     c.reportUnreachable,
			Log:               c.options.Log,
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

// serveMembership registers the handlers and starts to serve the membership's transport.
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

// resumeOrJoin starts the membership's node as soon as possible: on its storage if that has a group, else by joining one.
func (c *Coordinator) resumeOrJoin(ctx context.Context, current *membership) {
	if current.storage.Identity().ClusterID != "" {
		c.resume(ctx, current)
	} else {
		c.join(ctx, current)
	}
}

// watchMembership waits until the membership has to end, and returns whether its storage is to be discarded.
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

// openStorage opens the storage in the group's directory. If the operating system returns an error, this member takes part without
// persistence: without a membership its dispatcher would send nothing.
func (c *Coordinator) openStorage() (*consensus.Storage, error) {
	identity, err := newIdentity(&c.options)
	if err != nil {
		return nil, err
	}
	storage, err := consensus.OpenStorage(c.options.Group.DataDir, identity)
	isOthers := errors.Is(err, boltstore.ErrLocked) || errors.Is(err, boltstore.ErrOtherOwner)
	if err == nil || isOthers {
		return storage, err
	}
	c.options.Log.WithError(err).Error("group storage unavailable, taking part without persistence")
	return consensus.OpenStorage("", identity)
}

// logUnreadable logs the error by which storage found its file unreadable, if there was one.
func logUnreadable(log logrus.FieldLogger, storage *consensus.Storage) {
	if storage.Unreadable != nil {
		log.WithError(storage.Unreadable).Error("group storage unreadable, beginning a new incarnation")
	}
}

// newIdentity returns an identity for empty storage, with a random incarnation and raft ID.
func newIdentity(options *Options) (consensus.Identity, error) {
	id, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<62))
	if err != nil {
		return consensus.Identity{}, fmt.Errorf("drawing a raft ID: %w", err)
	}
	return consensus.Identity{
		Group:       options.Group.Name,
		Name:        options.Self,
		Incarnation: rand.Text()[:incarnationLength],
		RaftID:      id.Uint64() + 1, // 0 is not a valid ID
	}, nil
}

// Check returns why a process without siblings could not take part, as errors that name the key of the operator's file: its address is in
// use, or its directory is another member's or locked. It uses only Group, Self and Log of the options.
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

// checkStorage returns an error if the group's directory belongs to another member or is locked. Errors of the operating system are no
// obstacle: see openStorage.
func checkStorage(options *Options) error {
	identity, err := newIdentity(options)
	if err != nil {
		return err
	}
	storage, err := consensus.OpenStorage(options.Group.DataDir, identity)
	if errors.Is(err, boltstore.ErrOtherOwner) || errors.Is(err, boltstore.ErrLocked) {
		return fmt.Errorf("group.folder: %w", err)
	}
	if err != nil {
		return nil
	}
	logUnreadable(options.Log, storage)
	_ = storage.Close() // nothing was written that has to be stored
	return nil
}

// self returns this member's entry in the operator's file; false: there is none.
func (c *Coordinator) self() (peer.Member, bool) {
	i := slices.IndexFunc(c.options.Group.Members, func(member peer.Member) bool { return member.Name == c.options.Self })
	if i < 0 {
		return peer.Member{}, false
	}
	return c.options.Group.Members[i], true
}

// others returns the other members in the operator's file.
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

// memberName returns the name of the member with a raft ID; empty: none has it, or it belonged to an earlier incarnation, which receives
// nothing any more.
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
	return c.observedNames[id] // while this member has not received the state yet
}

// hadRaftID reports whether an earlier incarnation of a member had a raft ID.
func hadRaftID(member *maintenance.Member, id uint64) bool {
	return slices.ContainsFunc(member.PastIncarnations, func(past maintenance.PastIncarnation) bool { return past.RaftID == id })
}

// reportUnreachable reports to the node that a message to a member was lost.
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
