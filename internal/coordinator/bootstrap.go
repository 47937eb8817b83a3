package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// errStorageNotEmpty means that a group cannot be created because the storage already has entries.
var errStorageNotEmpty = errors.New("group storage is not empty")

// bootstrap creates the group at this member for an operator's call; the other members join it later. It only creates the group if every
// other member has answered that it is in no group.
func (c *Coordinator) bootstrap(ctx context.Context, afterDataLoss bool) *Reply {
	current := c.currentMembership()
	if current == nil {
		return retryLater(noMembershipText)
	}
	if clusterID := c.sender().ClusterID; clusterID != "" {
		return &Reply{Text: "this member is in a group already, with cluster ID " + clusterID}
	}
	unconfirmed, err := c.unconfirmedMembers(ctx, current)
	if err != nil {
		return &Reply{Code: maintenance.CodeInvalid, Text: err.Error()}
	}
	if len(unconfirmed) > 0 {
		name := slices.Min(slices.Collect(maps.Keys(unconfirmed)))
		return retryLater("every other member must confirm that it is in no group; %s: %v", name, unconfirmed[name])
	}
	select {
	case current.bootstrap <- afterDataLoss:
	case <-ctx.Done():
		return retryLater(NotCommittedText)
	}
	for ctx.Err() == nil && c.node() == nil {
		sleep(ctx, pollInterval)
	}
	if c.node() == nil {
		return retryLater(NotCommittedText)
	}
	return &Reply{Text: "founded"}
}

// unconfirmedMembers returns, by name, the other members that have not answered that they are in no group, with the errors of the requests
// to them. The error is nil for a member that accepted the request, as a member in a group may.
func (c *Coordinator) unconfirmedMembers(ctx context.Context, current *membership) (map[string]error, error) {
	request, err := json.Marshal(joinRequest{Name: c.options.Self}) // without an incarnation, the request is never granted
	if err != nil {
		return nil, err
	}
	unconfirmed := map[string]error{}
	for _, member := range c.others() {
		if _, err := c.request(ctx, current, member.Name, pathJoin, request); !isRejectedAs(err, errRejectOutsideGroup) {
			unconfirmed[member.Name] = err
		}
	}
	return unconfirmed, nil
}

// bootstrapStorage creates the group in this member's storage and starts the node.
func (c *Coordinator) bootstrapStorage(current *membership, afterDataLoss bool) error {
	if !current.storage.IsEmpty() {
		return errStorageNotEmpty
	}
	self, _ := c.self()
	state := maintenance.New()
	state.AppliedIndex = 1
	state.HistoryLost = afterDataLoss
	state.Members[c.options.Self] = &maintenance.Member{
		Name: c.options.Self, Incarnation: current.identity.Incarnation, RaftID: current.identity.RaftID, Voter: self.Voter,
	}
	raw, err := state.Encode()
	if err != nil {
		return err
	}
	if err := consensus.Bootstrap(current.storage, rand.Text()[:incarnationLength], raw); err != nil {
		return err
	}
	c.startNode(current, c.openBootMarker(), nil, true)
	return nil
}

// confirmDisk records an operator's confirmation that this member's disk has the member's latest state. Only a member whose disk is not
// verified yet accepts the confirmation: see resume.
func (c *Coordinator) confirmDisk() *Reply {
	current := c.currentMembership()
	if current == nil {
		return retryLater(noMembershipText)
	}
	select {
	case current.diskConfirmed <- struct{}{}:
		return &Reply{Text: "taken"}
	case <-time.After(joinInterval + requestTimeout):
		return retryLater("this member is not waiting for its disk to be confirmed")
	}
}
