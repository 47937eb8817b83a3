package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"birchfork/internal/consensus"
	"birchfork/internal/peer"
)

// The paths of the links. What comes by a relay was passed on once already.
const (
	pathRaft     = "/group/raft"
	pathJoin     = "/group/join"
	pathReport   = "/group/report"
	pathPosition = "/group/recall"
	pathCall     = "/group/call"
	pathRelay    = "/group/relay" // and the path that it is for
	PathOperator = "/group/staff"
)

const staleDiskText = "that disk has forgotten what this life has said"

const outsideGroupText = "this member is in no group yet"

// Errors of a member.
var (
	errOutsideGroup       = errors.New(outsideGroupText)
	errNoLeader           = errors.New("no leader can be reached")
	errDiskUnconfirmed    = errors.New("this member does not know yet whether its disk is its last one")
	errFenceTimeout       = errors.New("attempts may run for longer than what is settled; that is settled first")
	errUnknownIncarnation = &peer.RejectedError{Reason: "no member under this life: ask to be taken in"}
)

// leaderHandlers are the handlers of what only a leader can answer, by path.
func (c *Coordinator) leaderHandlers() map[string]peer.Handler {
	return map[string]peer.Handler{pathJoin: c.handleJoin, pathReport: c.handleReport, pathCall: c.handleCall}
}

// registerHandlers says what comes by the links.
func (c *Coordinator) registerHandlers(transport *peer.Transport) {
	transport.Handle(pathRaft, func(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
		node := c.node()
		if node == nil {
			return nil, errOutsideGroup
		}
		id, position, err := node.Receive(body)
		if id != 0 {
			c.mu.Lock()
			c.observedNames[id] = from.Name
			c.observedPositions[from.Incarnation] = c.observedPositions[from.Incarnation].Merge(position)
			c.mu.Unlock()
		}
		return nil, err
	})
	transport.Handle(pathPosition, func(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
		var position consensus.Position
		if err := json.Unmarshal(body, &position); err != nil {
			return nil, &peer.RejectedError{Reason: "no mark: " + err.Error()}
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if promised := c.observedPositions[from.Incarnation]; position.Misses(promised) {
			return nil, &peer.RejectedError{Reason: staleDiskText}
		}
		if c.membership == nil || c.membership.identity.ClusterID == "" {
			return nil, &peer.RejectedError{Reason: outsideGroupText}
		}
		if c.membership.node != nil {
			return json.Marshal(c.membership.node.Status().Position)
		}
		return json.Marshal(c.membership.startPosition)
	})
	for path, handler := range c.leaderHandlers() {
		transport.Handle(path, func(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
			if c.isLeader() {
				return handler(ctx, from, body)
			}
			return c.forwardToLeader(ctx, path, body)
		})
		transport.Handle(pathRelay+path, func(ctx context.Context, from peer.Sender, body []byte) ([]byte, error) {
			if c.isLeader() {
				return handler(ctx, from, body)
			}
			return nil, errNoLeader
		})
	}
	transport.HandleOperator(PathOperator, c.handleOperatorCall)
}

func (c *Coordinator) isLeader() bool {
	a := c.node()
	return a != nil && a.Status().IsLeader
}

// leaderName is the leader's name; empty where none is known.
func (c *Coordinator) leaderName() string {
	node := c.node()
	if node == nil {
		return ""
	}
	return c.memberName(node.Status().LeaderID)
}

func (c *Coordinator) request(ctx context.Context, current *membership, to, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return current.transport.Request(ctx, to, path, body)
}

// forwardToLeader passes a message on to the leader, for one that cannot reach it.
func (c *Coordinator) forwardToLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current == nil || c.node() == nil && c.sender().ClusterID == "" {
		return nil, &peer.RejectedError{Reason: outsideGroupText}
	}
	if c.node() == nil { // who is in a group and waits must not be taken for one that knows of no plan
		return nil, errDiskUnconfirmed
	}
	leader := c.leaderName()
	if leader == "" || leader == c.options.Self {
		return nil, errNoLeader
	}
	return c.request(ctx, current, leader, pathRelay+path, body)
}

// requestLeader asks the leader: itself, or by way of another member where the leader cannot be reached from here.
func (c *Coordinator) requestLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	if c.isLeader() {
		return c.leaderHandlers()[path](ctx, c.sender(), body)
	}
	reply, err := c.forwardToLeader(ctx, path, body)
	if err == nil || isRejected(err) {
		return reply, err
	}
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	leader := c.leaderName()
	for _, i := range rand.Perm(len(c.options.Group.Members)) {
		member := c.options.Group.Members[i]
		if current == nil || member.Name == c.options.Self || member.Name == leader || ctx.Err() != nil {
			continue
		}
		if reply, err = c.request(ctx, current, member.Name, path, body); err == nil || isRejected(err) && !isOutsideGroup(err) {
			return reply, err
		}
	}
	if err == nil {
		err = errNoLeader
	}
	return nil, err
}

func isRejected(err error) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected)
}

func isOutsideGroup(err error) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected) && rejected.Reason == outsideGroupText
}
