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

// membership is this process's place in the group.
type membership struct {
	transport *peer.Transport
	identity  consensus.Identity
	node      *consensus.Node // nil: outside of the group
	startedAt time.Time

	bootstrap          chan bool          // staff's word to begin the group here, and whether there was one before
	unknownIncarnation chan struct{}      // the group does not know this life: another is to be begun
	diskConfirmed      chan struct{}      // staff's word that the disk is its last one
	startPosition      consensus.Position // that the disk had at the start
}

// runMembership takes the voice and gives it back when it returns.
func (c *Coordinator) runMembership(ctx context.Context) error {
	if _, newer := c.options.Siblings(); newer {
		return nil
	}
	self, ok := c.self()
	if !ok {
		return fmt.Errorf("%q is no member by our file", c.options.Self)
	}
	listener, err := net.Listen("tcp", self.Address) // one process at a time can
	if err != nil {
		return fmt.Errorf("group.member: %w", err)
	}
	storage, err := c.openStorage()
	if err != nil {
		listener.Close()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.confirmed = storage.Identity().Confirmed // nobody renews yet
	current := &membership{identity: storage.Identity(), startedAt: time.Now(), bootstrap: make(chan bool), unknownIncarnation: make(chan struct{}, 1),
		diskConfirmed: make(chan struct{}), startPosition: storage.Position()}
	current.transport = peer.NewTransport(peer.Options{
		Group: c.options.Group.Name, Self: c.options.Self, Members: c.options.Group.Members, Identity: c.sender, IsStale: c.isPastIncarnation, OnUnreachable: c.reportUnreachable, Log: c.options.Log,
	})
	c.registerHandlers(current.transport)
	for _, user := range c.options.TransportUsers {
		user.Attach(current.transport)
	}
	c.mu.Lock()
	c.membership = current
	c.mu.Unlock()
	current.transport.Serve(listener)
	c.options.Log.WithFields(logrus.Fields{"link": self.Address, "life": current.identity.Incarnation, "founded": current.identity.ClusterID, "kept": storage.IsDurable()}).
		Info("this process speaks for its dispatcher in the group")
	if storage.Unreadable != nil {
		logUnreadable(c.options.Log, storage)
	}
	var loops sync.WaitGroup
	if current.identity.ClusterID != "" {
		loops.Go(func() { c.resume(ctx, current, storage) })
	} else {
		loops.Go(func() { c.join(ctx, current, storage) })
	}
	loops.Go(func() { c.renewLoop(ctx) })
	loops.Go(func() { c.leaderLoop(ctx) })
	discard := false
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(membershipInterval):
		case <-current.unknownIncarnation:
			c.options.Log.Warn("the group does not know this life of ours: another is begun, and what this one kept is forgotten")
			discard = true
			cancel()
		}
		if _, newer := c.options.Siblings(); newer && ctx.Err() == nil {
			c.options.Log.Info("a newer process of this dispatcher speaks in the group from here on")
			cancel()
		}
	}
	if !c.closing.Load() {
		c.transferLeadership()
	}
	cancel()
	for _, user := range c.options.TransportUsers {
		user.Detach()
	}
	current.transport.Close()
	loops.Wait()
	c.mu.Lock()
	c.membership = nil
	c.mu.Unlock()
	if current.node != nil {
		err = current.node.Close()
	} else {
		err = storage.Close()
	}
	if discard {
		c.options.Dispatcher.SetPlansUnknown(c.options.Group.MaintenancePlans)
		err = errors.Join(err, storage.Remove())
	}
	return err
}

// openStorage opens our folder, or begins one with a new life. Where the system refuses the folder we keep nothing, and take part
// all the same: without a place in the group this dispatcher would send nothing.
func (c *Coordinator) openStorage() (*consensus.Storage, error) {
	identity, err := newIdentity(&c.options)
	if err != nil {
		return nil, err
	}
	storage, err := consensus.OpenStorage(c.options.Group.DataDir, identity)
	if err == nil || errors.Is(err, boltstore.ErrLocked) || errors.Is(err, boltstore.ErrForeign) {
		return storage, err
	}
	c.options.Log.WithError(err).Error("the group's folder cannot be used: what is settled is not kept over a restart of this member")
	return consensus.OpenStorage("", identity)
}

func logUnreadable(log logrus.FieldLogger, storage *consensus.Storage) {
	log.WithError(storage.Unreadable).Error("what this member kept cannot be read: it begins another life")
}

// newIdentity is who we are if our folder is empty.
func newIdentity(options *Options) (consensus.Identity, error) {
	id, err := rand.Int(rand.Reader, new(big.Int).SetUint64(1<<62))
	return consensus.Identity{Group: options.Group.Name, Name: options.Self, Incarnation: rand.Text()[:10], RaftID: id.Uint64() + 1}, err
}

// Check tells, by key of the operator's file, why a process that is alone cannot take part: its link's address is in use, or its
// folder is another member's.
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
	identity, err := newIdentity(&options)
	if err != nil {
		return err
	}
	switch storage, err := consensus.OpenStorage(options.Group.DataDir, identity); {
	case err == nil:
		if storage.Unreadable != nil {
			logUnreadable(options.Log, storage)
		}
		storage.Close()
	case errors.Is(err, boltstore.ErrForeign), errors.Is(err, boltstore.ErrLocked):
		errs = append(errs, fmt.Errorf("group.folder: %w", err))
	}
	return errors.Join(errs...)
}

func (c *Coordinator) self() (peer.Member, bool) {
	for _, member := range c.options.Group.Members {
		if member.Name == c.options.Self {
			return member, true
		}
	}
	return peer.Member{}, false
}

// sender says whose our messages are.
func (c *Coordinator) sender() peer.Sender {
	c.mu.Lock()
	defer c.mu.Unlock()
	sender := peer.Sender{Name: c.options.Self}
	if c.membership != nil {
		sender.Incarnation, sender.ClusterID = c.membership.identity.Incarnation, c.membership.identity.ClusterID
	}
	return sender
}

// isPastIncarnation tells whether a member has begun another life since one.
func (c *Coordinator) isPastIncarnation(name, incarnation string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	member := c.state.Members[name]
	return member != nil && member.HadIncarnation(incarnation)
}

// reportUnreachable says that a message to a member did not arrive.
func (c *Coordinator) reportUnreachable(name string) {
	c.mu.Lock()
	member, current := c.state.Members[name], c.membership
	c.mu.Unlock()
	if node := c.node(); node != nil && member != nil && current != nil {
		node.ReportUnreachable(member.RaftID)
	}
}

// node is our part in it; nil where we have none.
func (c *Coordinator) node() *consensus.Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.membership == nil {
		return nil
	}
	return c.membership.node
}

// memberName is the member of a raft id; empty where none has it.
func (c *Coordinator) memberName(id uint64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, member := range c.state.Members {
		if member.RaftID == id {
			return member.Name
		}
		if slices.ContainsFunc(member.PastIncarnations, func(past maintenance.PastIncarnation) bool { return past.RaftID == id }) {
			return "" // nobody listens under that id any more
		}
	}
	return c.observedNames[id] // we may be too new to have the state
}

// send carries one of raft's messages.
func (c *Coordinator) send(to uint64, raw []byte, _ bool) {
	name := c.memberName(to)
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current != nil && name != "" {
		current.transport.Send(name, pathRaft, raw)
	}
}
