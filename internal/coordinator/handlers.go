package coordinator

import (
	"context"
	"errors"
	"math/rand/v2"

	"birchfork/internal/consensus"
	"birchfork/internal/peer"
)

// Paths of the transport between members. A message to a path below pathRelay was relayed by another member and is not relayed again.
const (
	pathRaft     = "/group/raft"
	pathJoin     = "/group/join"
	pathReport   = "/group/report"
	pathPosition = "/group/recall"
	pathCall     = "/group/call"
	pathRelay    = "/group/relay" // prefix of the original path
	// PathOperator is the path of operators' calls.
	PathOperator = "/group/staff"
)

// outsideGroupText is the text of a rejection and of an error. Other builds compare it, so it must not change.
const outsideGroupText = "this member is in no group yet"

// Errors for messages that cannot be answered at present, so that the sender may retry. Their texts are shown to operators.
var (
	errOutsideGroup   = errors.New(outsideGroupText)
	errNoLeader       = errors.New("no leader can be reached")
	errDiskUnverified = errors.New("this member's disk is not verified yet")
	errFenceTimeout   = errors.New("the group's fence timeout is too short for the member's attempts and has to be extended first")
)

// Rejections. Other builds compare their texts, so these must not change.
var (
	errRejectOutsideGroup = &peer.RejectedError{Reason: outsideGroupText}
	errStaleDisk          = &peer.RejectedError{Reason: "that disk has forgotten what this life has said"}
	errUnknownIncarnation = &peer.RejectedError{Reason: "no member under this life: ask to be taken in"}
)

// isRejected reports whether err is a rejection by another member, as opposed to a missing answer.
func isRejected(err error) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected)
}

// isRejectedAs reports whether err is a rejection by another member for the same reason as want.
func isRejectedAs(err error, want *peer.RejectedError) bool {
	var rejected *peer.RejectedError
	return errors.As(err, &rejected) && rejected.Reason == want.Reason
}

// registerHandlers registers the message handlers with a membership's transport.
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

// leaderHandlers returns the handlers for messages that only the leader can answer, by path.
func (c *Coordinator) leaderHandlers() map[string]peer.Handler {
	return map[string]peer.Handler{pathJoin: c.handleJoin, pathReport: c.handleReport, pathCall: c.handleCall}
}

// handleRaft handles a raft message, and records the position that its sender promises.
func (c *Coordinator) handleRaft(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	node := c.node()
	if node == nil {
		return nil, errOutsideGroup
	}
	id, promised, err := node.Receive(body)
	if id != 0 {
		c.mu.Lock()
		c.senderNames[id] = from.Name
		c.promisedPositions[from.Incarnation] = c.promisedPositions[from.Incarnation].Merge(promised)
		c.mu.Unlock()
	}
	return nil, err
}

// handlePosition receives the position of another member's storage and answers with that of this member: see resume.
func (c *Coordinator) handlePosition(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	return peer.ServeJSON(body, peer.RejectMalformed[consensus.Position]("malformed position: "), func(sent *consensus.Position) (consensus.Position, error) {
		return c.servePosition(from, sent)
	})
}

// servePosition returns this member's position, or errStaleDisk if the sender's storage is behind what its incarnation has promised.
func (c *Coordinator) servePosition(from peer.Sender, sent *consensus.Position) (consensus.Position, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sent.Lacks(c.promisedPositions[from.Incarnation]) {
		return consensus.Position{}, errStaleDisk
	}
	if c.membership == nil || c.membership.identity.ClusterID == "" {
		return consensus.Position{}, errRejectOutsideGroup
	}
	if c.membership.node == nil {
		return c.membership.startPosition, nil
	}
	return c.membership.node.Status().Position, nil
}

// isLeader reports whether this member believes that it is the leader. A quorum may have elected another one.
func (c *Coordinator) isLeader() bool {
	node := c.node()
	return node != nil && node.Status().IsLeader
}

// leaderName returns the leader's name, or an empty string if no leader is known.
func (c *Coordinator) leaderName() string {
	node := c.node()
	if node == nil {
		return ""
	}
	return c.memberName(node.Status().LeaderID)
}

// request sends a message to a member and returns its answer. It times out after requestTimeout.
func (c *Coordinator) request(ctx context.Context, current *membership, to, path string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return current.transport.Request(ctx, to, path, body)
}

// forwardToLeader forwards a message to the leader and returns the leader's answer.
func (c *Coordinator) forwardToLeader(ctx context.Context, path string, body []byte) ([]byte, error) {
	current := c.currentMembership()
	if current == nil {
		return nil, errRejectOutsideGroup
	}
	if c.node() == nil {
		// A member whose disk is not verified yet must not answer that it is in no group, because its group may have plans.
		if c.sender().ClusterID != "" {
			return nil, errDiskUnverified
		}
		return nil, errRejectOutsideGroup
	}
	leader := c.leaderName()
	if leader == "" || leader == c.options.Self {
		return nil, errNoLeader
	}
	return c.request(ctx, current, leader, pathRelay+path, body)
}

// requestLeader returns the leader's answer to a message. It handles the message itself if this member is the leader. Otherwise it sends
// the message to the leader, or through another member if the leader cannot be reached directly.
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

// requestThroughMembers sends a message to the other members except the leader, in random order, until one answers. Each forwards the
// message to the leader. If none answers, it returns the last error, which is lastErr if there is no member to try.
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
