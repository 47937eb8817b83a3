package coordinator

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

// joinRequest asks the leader to add a member to the group.
type joinRequest struct {
	Name        string `json:"name"`
	Incarnation string `json:"life"`
	RaftID      uint64 `json:"id"`
}

// joinReply confirms that the member was added.
type joinReply struct {
	ClusterID string `json:"founded"`
}

// join sends join requests to the other members until this member is added or an operator's call creates the group at this member.
func (c *Coordinator) join(ctx context.Context, current *membership) {
	request, err := json.Marshal(joinRequest{
		Name: c.options.Self, Incarnation: current.identity.Incarnation, RaftID: current.identity.RaftID,
	})
	if err != nil {
		c.options.Log.WithError(err).Error("encoding the join request failed")
		return
	}
	for {
		select {
		case <-ctx.Done():
			return
		case afterDataLoss := <-current.bootstrap:
			if err := c.bootstrapStorage(current, afterDataLoss); err != nil {
				c.options.Log.WithError(err).Error("group bootstrap failed")
				continue
			}
			return
		case <-time.After(joinInterval):
		}
		if c.joinThroughAny(ctx, current, request) {
			return
		}
	}
}

// joinThroughAny sends the join request to the other members in random order until one answers that this member was added. It reports
// whether the node was started.
func (c *Coordinator) joinThroughAny(ctx context.Context, current *membership, request []byte) bool {
	others := c.others()
	outside := 0 // number of other members that are in no group either
	for _, i := range rand.Perm(len(others)) {
		raw, err := c.request(ctx, current, others[i].Name, pathJoin, request)
		if isRejectedAs(err, errRejectOutsideGroup) {
			outside++
		}
		var reply joinReply
		if err != nil || json.Unmarshal(raw, &reply) != nil || reply.ClusterID == "" {
			continue
		}
		if err := current.storage.SetClusterID(reply.ClusterID); err != nil {
			c.options.Log.WithError(err).Error("group storage not writable")
			continue
		}
		c.startNode(current, c.openBootMarker(), nil, true)
		c.options.Log.WithField("cluster", reply.ClusterID).Info("joined group")
		return true
	}
	// If no other member is in a group, no plan exists that this member could lack.
	if outside == len(others) {
		c.options.Dispatcher.SetPlansUnknown(false)
	}
	return false
}

// handleJoin handles a joinRequest at the leader. It adds the member as a learner and answers once the change is committed.
func (c *Coordinator) handleJoin(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return peer.ServeJSON(body, peer.RejectMalformed[*joinReply]("malformed join request: "), func(request *joinRequest) (*joinReply, error) {
		return c.serveJoin(ctx, request)
	})
}

// serveJoin adds the requested member to the group, unless its incarnation is a member already.
func (c *Coordinator) serveJoin(ctx context.Context, request *joinRequest) (*joinReply, error) {
	i := slices.IndexFunc(c.options.Group.Members, func(listed peer.Member) bool { return listed.Name == request.Name })
	if i < 0 || request.RaftID == 0 || request.Incarnation == "" {
		return nil, &peer.RejectedError{Reason: "join request must have a listed member, an incarnation and a raft ID: " + request.Name}
	}
	node, clusterID := c.node(), c.sender().ClusterID
	if node == nil { // another process has just acquired the membership
		return nil, errOutsideGroup
	}
	c.mu.Lock()
	member := c.state.Members[request.Name]
	c.mu.Unlock()
	if member != nil && member.HadIncarnation(request.Incarnation) {
		return nil, &peer.RejectedError{Reason: "past incarnation of " + request.Name}
	}
	if member == nil || member.Incarnation != request.Incarnation {
		if err := c.addMember(ctx, node, request, c.options.Group.Members[i].Voter); err != nil {
			return nil, err
		}
	}
	return &joinReply{ClusterID: clusterID}, nil
}

// addMember proposes to add a member as a learner, and waits until the change is committed. A future voter becomes one after it has caught
// up: see reconcileVoters.
func (c *Coordinator) addMember(ctx context.Context, node *consensus.Node, request *joinRequest, isVoter bool) error {
	// This entry has no level, unlike those of encodeEntry, for compatibility with earlier builds.
	entry, err := json.Marshal(maintenance.Command{Kind: maintenance.CommandJoinMember, Member: &maintenance.Member{
		Name: request.Name, Incarnation: request.Incarnation, RaftID: request.RaftID, Voter: isVoter,
	}})
	if err != nil {
		return err
	}
	changes := []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, request.RaftID)}
	if err := node.ProposeConfChange(ctx, changes, entry); err != nil {
		return err
	}
	return c.waitForState(ctx, func(state *maintenance.State) bool {
		member := state.Members[request.Name]
		return member != nil && member.Incarnation == request.Incarnation
	})
}

func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id}
}
