package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"

	"birchfork/internal/consensus"
	"birchfork/internal/peer"
)

// Paths of the members' transport. A message to a path of pathRelay was relayed by another member already, and is not relayed again.
const (
	pathRaft     = "/group/raft"
	pathJoin     = "/group/join"
	pathReport   = "/group/report"
	pathPosition = "/group/recall"
	pathCall     = "/group/call"
	pathRelay    = "/group/relay" // followed by the path that it is for
	// PathOperator is the path of operators' calls.
	PathOperator = "/group/staff"
)

// outsideGroupText is both a rejection and an error. Members of other builds compare it.
const outsideGroupText = "this member is in no group yet"

// Errors that say that a message cannot be answered now. The sender may try again. Their texts are shown to operators.
var (
	errOutsideGroup    = errors.New(outsideGroupText)
	errNoLeader        = errors.New("no leader can be reached")
	errDiskUnconfirmed = errors.New("this member does not know yet whether its disk is its last one")
	errFenceTimeout    = errors.New("attempts may run for longer than what is settled; that is settled first")
)

// Rejections. Members of other builds compare their texts.
var (
	errRejectOutsideGroup = &peer.RejectedError{Reason: outsideGroupText}
	errStaleDisk          = &peer.RejectedError{Reason: "that disk has forgotten what this life has said"}
	errUnknownIncarnation = &peer.RejectedError{Reason: "no member under this life: ask to be taken in"}
)

// isRejected reports whether another member has rejected a message, rather than failed to answer.
func isRejected(err error) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected)
}

// isRejectedAs reports whether another member has rejected a message for the reason of want.
func isRejectedAs(err error, want *peer.RejectedError) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected) && rejected.Reason == want.Reason
}

// registerHandlers registers the handlers of a membership's transport.
func (c *Coordinator) registerHandlers(transport *peer.Transport) {
	transport.Handle(pathRaft, c.handleRaft)
	transport.Handle(pathPosition, c.handlePosition)
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

// leaderHandlers returns the handlers of what only the leader can answer, by path.
func (c *Coordinator) leaderHandlers() map[string]peer.Handler {
	return map[string]peer.Handler{pathJoin: c.handleJoin, pathReport: c.handleReport, pathCall: c.handleCall}
}

// handleRaft takes a raft message, and notes what its sender promises by it.
func (c *Coordinator) handleRaft(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	id, promised, err := node.Receive(body)
	if id != 0 {
		c.mu.Lock()
		c.observedNames[id] = from.Name
		c.observedPositions[from.Incarnation] = c.observedPositions[from.Incarnation].Merge(promised)
		c.mu.Unlock()
	}
	return nil, err
}

// handlePosition takes the position of another member's storage, and answers with this member's: see resume.
func (c *Coordinator) handlePosition(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	var position consensus.Position
	if err := json.Unmarshal(body, &position); err != nil {
		return nil, &peer.RejectedError{Reason: "no mark: " + err.Error()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if position.Misses(c.observedPositions[from.Incarnation]) {
		return nil, errStaleDisk
	}
	if c.membership == nil || c.membership.identity.ClusterID == "" {
		return nil, errRejectOutsideGroup
	}
	if c.membership.node == nil {
		return json.Marshal(c.membership.startPosition)
	}
	return json.Marshal(c.membership.node.Status().Position)
}

// isLeader reports whether this member leads, as far as it knows.
func (c *Coordinator) isLeader() bool {
	node := c.node()
	return node != nil && node.Status().IsLeader
}

// leaderName returns the leader's name; empty: none is known.
func (c *Coordinator) leaderName() string {
	node := c.node()
	if node == nil {
		return ""
	}
	return c.memberName(node.Status().LeaderID)
}

// request sends a message to a member and returns its answer.
func (c *Coordinator) request(ctx context.Context, current *membership, to, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return current.transport.Request(ctx, to, path, body)
}

// forwardToLeader forwards a message to the leader, for a member that may not reach it.
func (c *Coordinator) forwardToLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	current := c.currentMembership()
	if current == nil {
		return nil, errRejectOutsideGroup
	}
	if c.node() == nil {
		// A member that is in a group and waits must not be taken for one that knows of no plan.
		if c.sender().ClusterID != "" {
			return nil, errDiskUnconfirmed
		}
		return nil, errRejectOutsideGroup
	}
	leader := c.leaderName()
	if leader == "" || leader == c.options.Self {
		return nil, errNoLeader
	}
	return c.request(ctx, current, leader, pathRelay+path, body)
}

// requestLeader has the leader answer a message: this member itself, the leader directly, or through another member where it cannot be
// reached from here.
func (c *Coordinator) requestLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	if c.isLeader() {
		return c.leaderHandlers()[path](ctx, c.sender(), body)
	}
	answer, err := c.forwardToLeader(ctx, path, body)
	if err == nil || isRejected(err) {
		return answer, err
	}
	return c.requestThroughMembers(ctx, path, body, err)
}

// requestThroughMembers has another member forward a message to the leader. It returns the last error, which is lastErr if there is no
// member to try.
func (c *Coordinator) requestThroughMembers(ctx context.Context, path string, body []byte, lastErr error) ([]byte, error) {
	current := c.currentMembership()
	if current == nil {
		return nil, lastErr
	}
	leader := c.leaderName()
	others := c.others()
	for _, i := range rand.Perm(len(others)) {
		if others[i].Name == leader || ctx.Err() != nil {
			continue
		}
		answer, err := c.request(ctx, current, others[i].Name, path, body)
		isAnswer := err == nil || isRejected(err) && !isRejectedAs(err, errRejectOutsideGroup)
		if isAnswer {
			return answer, err
		}
		lastErr = err
	}
	return nil, lastErr
}
