package coordinator

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/consensus"
	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
)

// resume starts the node on storage that belongs to a group after it has verified that the storage is not an outdated copy. With such a
// copy, the member could vote twice in a term, or for a leader that lacks committed entries, and would lack plans.
//
// The storage is verified by the boot marker, by an operator's call or by the positions of enough other voters. A quorum knows each entry
// that was committed and each vote that was granted with this incarnation's help, and any verificationQuorum voters include a member of
// that quorum. Their positions are therefore an upper bound on what this incarnation may have promised and lost.
func (c *Coordinator) resume(ctx context.Context, current *membership) {
	marker := c.openBootMarker()
	recorded, isRecorded := marker.Lookup(current.identity.Incarnation)
	if failpoint.Enabled(failpoint.AcceptOutdatedDisk) {
		c.startNode(current, marker, nil, true)
		return
	}
	isVoter, neededAnswers := c.verificationQuorum()
	isWaitLogged := false
	for {
		positions, isStale := c.queryPositions(ctx, current)
		isOlderThanMarker := isRecorded && current.startPosition.OlderThan(recorded)
		switch {
		case isStale || isOlderThanMarker:
			_ = marker.Close() // nothing was written to it
			current.signalUnknownIncarnation()
			return
		case isRecorded || !isVoter: // a non-voter needs no verification, because it sends nothing before it has a lease
			c.startNode(current, marker, nil, isRecorded)
			return
		case len(positions) >= neededAnswers:
			c.startNode(current, marker, upperBound(positions), false)
			return
		}
		if !isWaitLogged {
			isWaitLogged = true
			c.options.Log.WithFields(logrus.Fields{"answers": len(positions), "needed": neededAnswers}).
				Warn("disk not verified yet, waiting for other voters' answers or \"birchfork group confirm-disk\"")
		}
		select {
		case <-ctx.Done():
			_ = marker.Close() // nothing was written to it
			return
		case <-current.diskConfirmed:
			c.startNode(current, marker, nil, true)
			return
		case <-time.After(joinInterval):
		}
	}
}

// verificationQuorum reports whether this member is a voter, and returns how many other voters have to answer with their position to verify
// its disk. Every majority of the voters contains at least one of that many voters.
func (c *Coordinator) verificationQuorum() (isVoter bool, neededAnswers int) {
	voters := 0
	for _, member := range c.options.Group.Members {
		if !member.Voter {
			continue
		}
		voters++
		isVoter = isVoter || member.Name == c.options.Self
	}
	majority := voters/2 + 1
	return isVoter, voters - majority + 1
}

// upperBound returns the lowest position that is not older than any of the given positions.
func upperBound(positions map[string]consensus.Position) *consensus.Position {
	bound := consensus.Position{}
	for _, position := range positions {
		bound = bound.UpperBound(position)
	}
	return &bound
}

// openBootMarker opens the boot marker. It returns nil if none is configured or it cannot be opened.
func (c *Coordinator) openBootMarker() *consensus.BootMarker {
	if c.options.BootMarkerPath == "" {
		return nil
	}
	marker, err := consensus.OpenBootMarker(c.options.BootMarkerPath)
	if err != nil {
		c.options.Log.WithError(err).Warn("boot marker unavailable: after a restart other members have to verify the disk")
	}
	return marker
}

// startNode starts the membership's node on its storage. maxPromised is an upper bound on what this incarnation may have promised and lost,
// or nil if it has lost nothing. isVerified means that the storage is known to have the latest state.
func (c *Coordinator) startNode(current *membership, marker *consensus.BootMarker, maxPromised *consensus.Position, isVerified bool) {
	identity := current.storage.Identity() // the node owns the storage from its start on
	isDurable := current.storage.IsDurable()
	node, err := consensus.Start(consensus.Options{
		Storage:      current.storage,
		BootMarker:   marker,
		MaxPromised:  maxPromised,
		StateMachine: c,
		Send:         c.send,
		Log:          c.options.Log,
	})
	if err != nil {
		c.options.Log.WithError(err).Error("consensus not started, serving requests without it")
		return
	}
	c.mu.Lock()
	current.node = node
	current.identity = identity
	c.mu.Unlock()
	// The storage may have a vote but no plans yet. Only the storage of an incarnation that the group has confirmed is known to have all
	// plans that have started.
	if isDurable && identity.Confirmed && isVerified {
		c.options.Dispatcher.SetPlansUnknown(false)
	}
}

// queryPositions sends the position of this member's storage to all other members. It returns the positions in the voters' answers, by
// name, and reports whether a member has rejected the storage as outdated because it is behind what it has promised to that member.
func (c *Coordinator) queryPositions(ctx context.Context, current *membership) (positions map[string]consensus.Position, isStale bool) {
	positions = map[string]consensus.Position{}
	request, err := json.Marshal(current.startPosition)
	if err != nil {
		return positions, false
	}
	ctx, cancel := context.WithTimeout(ctx, positionQueryTimeout)
	defer cancel()
	var mu sync.Mutex // guards the results
	var requests sync.WaitGroup
	for _, member := range c.others() {
		requests.Go(func() {
			position, err := c.queryPosition(ctx, current, member, request)
			mu.Lock()
			defer mu.Unlock()
			if isRejectedAs(err, errStaleDisk) {
				isStale = true
			}
			if err == nil && member.Voter && position.Term > 0 {
				positions[member.Name] = position
			}
		})
	}
	requests.Wait()
	return positions, isStale
}

// queryPosition sends the request of queryPositions to one member and returns the member's position.
func (c *Coordinator) queryPosition(
	ctx context.Context, current *membership, member peer.Member, request []byte,
) (position consensus.Position, err error) {
	raw, err := c.request(ctx, current, member.Name, pathPosition, request)
	if err != nil {
		return consensus.Position{}, err
	}
	err = json.Unmarshal(raw, &position)
	return position, err
}
