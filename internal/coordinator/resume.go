package coordinator

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
)

// openBootMarker opens the note beside the disk; nil where there is none.
func (c *Coordinator) openBootMarker() *consensus.BootMarker {
	if c.options.BootMarkerPath == "" {
		return nil
	}
	marker, err := consensus.OpenBootMarker(c.options.BootMarkerPath)
	if err != nil {
		c.options.Log.WithError(err).Warn("after a restart this member will have to ask the others whether its disk is the last one")
	}
	return marker
}

// resume takes part by what the disk has, once it is known not to be one of before: that would vote as if it remembered, and its
// plans are not all. A note beside it tells, or enough others do: of those that settled an entry with this life, or elected somebody,
// at least one is among any so many. What they have bounds what it may have said and forgotten.
func (c *Coordinator) resume(ctx context.Context, current *membership, storage *consensus.Storage) {
	marker := c.openBootMarker()
	recorded, known := marker.Lookup(current.identity.Incarnation)
	if failpoint.Enabled(failpoint.TrustDisk) {
		c.startNode(current, storage, marker, nil, true)
		return
	}
	voters, selfVotes := 0, false
	for _, member := range c.options.Group.Members {
		if member.Voter {
			voters++
			selfVotes = selfVotes || member.Name == c.options.Self
		}
	}
	needed := voters - (voters/2 + 1) + 1
	logged := false
	for {
		positions, stale := c.queryPositions(ctx, current)
		if stale || known && current.startPosition.OlderThan(recorded) {
			marker.Close()
			current.unknownIncarnation <- struct{}{}
			return
		}
		switch {
		case known || !selfVotes: // who has no vote needs no bound; it sends nothing before its lease
			c.startNode(current, storage, marker, nil, known)
			return
		case len(positions) >= needed:
			maxPromised := consensus.Position{}
			for _, position := range positions {
				maxPromised = maxPromised.UpperBound(position)
			}
			c.startNode(current, storage, marker, &maxPromised, false)
			return
		}
		if !logged {
			logged = true
			c.options.Log.WithFields(logrus.Fields{"heard": len(positions), "needed": needed}).
				Warn("nothing tells whether this member's disk is its last one: it takes no part before enough other voters have answered, or group vouch")
		}
		select {
		case <-ctx.Done():
			marker.Close()
			return
		case <-current.diskConfirmed:
			c.startNode(current, storage, marker, nil, true)
			return
		case <-time.After(joinInterval):
		}
	}
}

// startNode takes part in the agreement by what the disk has. bound is what it may have said and forgotten; proven tells that there is no
// such thing.
func (c *Coordinator) startNode(current *membership, storage *consensus.Storage, marker *consensus.BootMarker, maxPromised *consensus.Position, verified bool) {
	identity := storage.Identity() // from the start on the disk is the loop's
	node, err := consensus.Start(consensus.Options{Storage: storage, BootMarker: marker, MaxPromised: maxPromised, StateMachine: c, Send: c.send, Log: c.options.Log})
	if err != nil {
		c.options.Log.WithError(err).Error("this member takes no part in the group's agreement; it serves on")
		return
	}
	c.mu.Lock()
	current.node, current.identity = node, identity
	c.mu.Unlock()
	if storage.IsDurable() && identity.Confirmed && verified {
		// Guards against a disk that has a vote and no plan yet: what it has is not enough, it has to have been confirmed once.
		// From then on no plan has begun that this life did not confirm.
		c.options.Dispatcher.SetPlansUnknown(false)
	}
}

// queryPositions asks the others whether our disk is older than what this life has said to them, and how far they are: voters' answers, by
// name.
func (c *Coordinator) queryPositions(ctx context.Context, current *membership) (positions map[string]consensus.Position, stale bool) {
	positions = map[string]consensus.Position{}
	request, err := json.Marshal(current.startPosition)
	if err != nil {
		return positions, false
	}
	ctx, cancel := context.WithTimeout(ctx, positionQueryTimeout)
	defer cancel()
	var mu sync.Mutex
	var requests sync.WaitGroup
	for _, member := range c.options.Group.Members {
		if member.Name == c.options.Self {
			continue
		}
		requests.Go(func() {
			raw, err := c.request(ctx, current, member.Name, pathPosition, request)
			var rejected *peer.RejectedError
			var position consensus.Position
			mu.Lock()
			defer mu.Unlock()
			stale = stale || errors.As(err, &rejected) && rejected.Reason == staleDiskText
			if err == nil && json.Unmarshal(raw, &position) == nil && position.Term > 0 && member.Voter {
				positions[member.Name] = position
			}
		})
	}
	requests.Wait()
	return positions, stale
}
