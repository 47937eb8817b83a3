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

// incarnationLength is the length of an incarnation and of a cluster ID, in characters.
const incarnationLength = 10

// membership is the state of a process that takes part in the group.
type membership struct {
	transport     *peer.Transport
	storage       *consensus.Storage // owned by node once node is set
	startedAt     time.Time
	startPosition consensus.Position // position of the storage when it was opened

	// Coordinator.mu guards identity and node.
	identity consensus.Identity
	node     *consensus.Node // nil until this member has joined or its disk is verified

	confirmed bool // the storage has recorded that the group has confirmed this incarnation; only used by renewLoop

	bootstrap          chan bool     // operators' calls to create the group at this member; true after a data loss
	diskConfirmed      chan struct{} // operators' confirmations of the disk
	unknownIncarnation chan struct{} // signalled if the group does not know this incarnation, or the disk is outdated
}

// signalUnknownIncarnation requests the end of the membership, so that a new incarnation begins. It does not block.
func (m *membership) signalUnknownIncarnation() {
	select {
	case m.unknownIncarnation <- struct{}{}:
	default: // already signalled
	}
}

// runMembership acquires the membership and keeps it until ctx ends, a newer process needs it or the group does not know this incarnation.
// It returns immediately if there is a newer process.
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

// openMembership opens the listener and the storage. Only one process at a time can have them open.
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

// serveMembership registers the handlers with the membership's transport and starts to serve it.
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

// resumeOrJoin resumes from the membership's storage if that belongs to a group, and otherwise joins the group.
func (c *Coordinator) resumeOrJoin(ctx context.Context, current *membership) {
	if current.storage.Identity().ClusterID != "" {
		c.resume(ctx, current)
	} else {
		c.join(ctx, current)
	}
}

// watchMembership waits until the membership has to end, and reports whether its storage has to be discarded.
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

// closeMembership closes the transport, waits for the loops to end, and closes the storage.
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
// persistence, because its dispatcher would send nothing without a membership.
func (c *Coordinator) openStorage() (*consensus.Storage, error) {
	identity, err := newIdentity(&c.options)
	if err != nil {
		return nil, err
	}
	storage, err := consensus.OpenStorage(c.options.Group.DataDir, identity)
	belongsToOther := errors.Is(err, boltstore.ErrLocked) || errors.Is(err, boltstore.ErrOtherOwner)
	if err == nil || belongsToOther {
		return storage, err
	}
	c.options.Log.WithError(err).Error("group storage unavailable, taking part without persistence")
	return consensus.OpenStorage("", identity)
}

// logUnreadable logs the error of reading the storage's file, if there was one.
func logUnreadable(log logrus.FieldLogger, storage *consensus.Storage) {
	if storage.Unreadable != nil {
		log.WithError(storage.Unreadable).Error("group storage unreadable, beginning a new incarnation")
	}
}

// newIdentity returns an identity for empty storage, with a random incarnation and raft ID.
func newIdentity(options *Options) (consensus.Identity, error) {
	id, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<62))
	if err != nil {
		return consensus.Identity{}, fmt.Errorf("generating a raft ID: %w", err)
	}
	return consensus.Identity{
		Group:       options.Group.Name,
		Name:        options.Self,
		Incarnation: rand.Text()[:incarnationLength],
		RaftID:      id.Uint64() + 1, // 0 is not a valid ID
	}, nil
}

// Check reports whether a process without siblings could take part in the group. Its errors name the key in the operator's file: the
// address is in use, or the directory belongs to another member or is locked. Check only uses Group, Self and Log of the options.
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

// checkStorage returns an error if the group's directory belongs to another member or is locked. It ignores errors of the operating system,
// because a member can take part without persistence: see openStorage.
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
	_ = storage.Close() // nothing that has to be kept was written
	return nil
}

// self returns this member's entry in the operator's file, and false if there is none.
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

// currentMembership returns the membership, or nil if this process has none.
func (c *Coordinator) currentMembership() *membership {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.membership
}

// node returns the membership's node, or nil if there is none.
func (c *Coordinator) node() *consensus.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membership == nil {
		return nil
	}
	return c.membership.node
}

// sender returns the identity with which this member sends messages.
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

// isPastIncarnation reports whether a newer incarnation of a member has replaced the given one.
func (c *Coordinator) isPastIncarnation(name, incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.state.Members[name]
	return member != nil && member.HadIncarnation(incarnation)
}

// memberName returns the name of the member with a raft ID. It returns an empty string if there is none, or if the ID belongs to a past
// incarnation, to which nothing must be sent.
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
	return c.senderNames[id] // used until this member has received the state
}

// hadRaftID reports whether a past incarnation of a member had a raft ID.
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

// send sends a raft message to the member with raft ID to. It does not block.
func (c *Coordinator) send(to uint64, raw []byte, _ bool) {
	name := c.memberName(to)
	current := c.currentMembership()
	if current != nil && name != "" {
		current.transport.Send(name, pathRaft, raw)
	}
}
