package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"birchfork/internal/consensus"
	"birchfork/internal/maintenance"
)

// confirmDisk takes staff's word that our disk is the last one that we had.
func (c *Coordinator) confirmDisk() Reply {
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current == nil {
		return Reply{Code: maintenance.CodeRetryLater, Text: "this process does not speak for its dispatcher in the group"}
	}
	select {
	case current.diskConfirmed <- struct{}{}:
		return Reply{Text: "taken"}
	case <-time.After(joinInterval + requestTimeout):
		return Reply{Code: maintenance.CodeRetryLater, Text: "this member does not wait for a word on its disk"}
	}
}

// bootstrap begins the group at this member. The others join it.
func (c *Coordinator) bootstrap(ctx context.Context, afterDataLoss bool) Reply {
	c.mu.Lock()
	current := c.membership
	c.mu.Unlock()
	if current == nil {
		return Reply{Code: maintenance.CodeRetryLater, Text: "this process does not speak for its dispatcher in the group"}
	}
	if clusterID := c.sender().ClusterID; clusterID != "" {
		return Reply{Text: "this member is in the group already, founded as " + clusterID}
	}
	request, err := json.Marshal(joinRequest{Name: c.options.Self})
	if err != nil {
		return Reply{Code: maintenance.CodeInvalid, Text: err.Error()}
	}
	silent := map[string]error{}
	for _, member := range c.options.Group.Members {
		if member.Name == c.options.Self {
			continue
		}
		if _, err := c.request(ctx, current, member.Name, pathJoin, request); !isOutsideGroup(err) {
			silent[member.Name] = err
		}
	}
	if len(silent) > 0 { // one of them may be in the group
		name := slices.Min(slices.Collect(maps.Keys(silent)))
		return Reply{Code: maintenance.CodeRetryLater, Text: fmt.Sprintf("each member has to say that it is in no group yet; %s: %v", name, silent[name])}
	}
	select {
	case current.bootstrap <- afterDataLoss:
	case <-ctx.Done():
		return Reply{Code: maintenance.CodeRetryLater, Text: NotCommittedText}
	}
	for ctx.Err() == nil && c.node() == nil {
		sleep(ctx, 5*time.Millisecond)
	}
	if c.node() == nil {
		return Reply{Code: maintenance.CodeRetryLater, Text: NotCommittedText}
	}
	return Reply{Text: "founded"}
}

// bootstrapStorage begins the group on our disk.
func (c *Coordinator) bootstrapStorage(current *membership, storage *consensus.Storage, afterDataLoss bool) error {
	if !storage.IsEmpty() {
		return errors.New("the group's folder is not empty")
	}
	self, _ := c.self()
	state := maintenance.New()
	state.AppliedIndex, state.HistoryLost = 1, afterDataLoss
	state.Members[c.options.Self] = &maintenance.Member{Name: c.options.Self, Incarnation: current.identity.Incarnation, RaftID: current.identity.RaftID, Voter: self.Voter}
	raw, err := state.Encode()
	if err != nil {
		return err
	}
	if err := consensus.Bootstrap(storage, rand.Text()[:10], raw); err != nil {
		return err
	}
	c.startNode(current, storage, c.openBootMarker(), nil, true)
	return nil
}
