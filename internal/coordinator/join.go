package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	randv2 "math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
	"birchfork/internal/peer"
)

type joinRequest struct {
	Name        string `json:"name"`
	Incarnation string `json:"life"`
	RaftID      uint64 `json:"id"`
}

type joinReply struct {
	ClusterID string `json:"founded"`
}

// join asks the others to be taken in, until it is.
func (c *Coordinator) join(ctx context.Context, current *membership, storage *consensus.Storage) {
	request, err := json.Marshal(joinRequest{Name: c.options.Self, Incarnation: current.identity.Incarnation, RaftID: current.identity.RaftID})
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case afterDataLoss := <-current.bootstrap:
			if err := c.bootstrapStorage(current, storage, afterDataLoss); err != nil {
				c.options.Log.WithError(err).Error("the group cannot be founded here")
				continue
			}
			return
		case <-time.After(joinInterval):
		}
		outside := 0
		for _, i := range randv2.Perm(len(c.options.Group.Members)) {
			member := c.options.Group.Members[i]
			if member.Name == c.options.Self {
				continue
			}
			raw, err := c.request(ctx, current, member.Name, pathJoin, request)
			var rejected *peer.RejectedError
			if errors.As(err, &rejected) && rejected.Reason == outsideGroupText {
				outside++
			}
			var reply joinReply
			if err != nil || json.Unmarshal(raw, &reply) != nil || reply.ClusterID == "" {
				continue
			}
			if err := storage.SetClusterID(reply.ClusterID); err != nil {
				c.options.Log.WithError(err).Error("the group's folder cannot be written")
				continue
			}
			c.startNode(current, storage, c.openBootMarker(), nil, true)
			c.options.Log.WithField("founded", reply.ClusterID).Info("this member was taken into the group")
			return
		}
		// Where all the others are in no group either there is no plan that we could have missed.
		if outside == len(c.options.Group.Members)-1 {
			c.options.Dispatcher.SetPlansUnknown(false)
		}
	}
}

// handleJoin takes a member in, at the leader.
func (c *Coordinator) handleJoin(ctx context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	var request joinRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, &peer.RejectedError{Reason: "no call to be taken in: " + err.Error()}
	}
	i := slices.IndexFunc(c.options.Group.Members, func(listed peer.Member) bool { return listed.Name == request.Name })
	if i < 0 || request.RaftID == 0 || request.Incarnation == "" {
		return nil, &peer.RejectedError{Reason: "no member by our file: " + request.Name}
	}
	node, clusterID := c.node(), c.sender().ClusterID
	if node == nil { // our place has just gone to another process
		return nil, errOutsideGroup
	}
	c.mu.Lock()
	member := c.state.Members[request.Name]
	c.mu.Unlock()
	if member != nil && member.HadIncarnation(request.Incarnation) {
		return nil, &peer.RejectedError{Reason: "an earlier life of " + request.Name}
	}
	if member == nil || member.Incarnation != request.Incarnation {
		entry, err := json.Marshal(maintenance.Command{Kind: maintenance.CommandJoinMember, Member: &maintenance.Member{
			Name: request.Name, Incarnation: request.Incarnation, RaftID: request.RaftID, Voter: c.options.Group.Members[i].Voter,
		}})
		if err != nil {
			return nil, err
		}
		err = node.ProposeConfChange(ctx, []*raftpb.ConfChangeSingle{confChange(raftpb.ConfChangeAddLearnerNode, request.RaftID)}, entry)
		if err != nil {
			return nil, err
		}
		if err := c.waitForState(ctx, func(s *maintenance.State) bool {
			member := s.Members[request.Name]
			return member != nil && member.Incarnation == request.Incarnation
		}); err != nil {
			return nil, err
		}
	}
	return json.Marshal(joinReply{ClusterID: clusterID})
}

func confChange(kind raftpb.ConfChangeType, id uint64) *raftpb.ConfChangeSingle {
	return &raftpb.ConfChangeSingle{Type: &kind, NodeId: &id}
}
