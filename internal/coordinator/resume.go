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

// resume starts the node on storage that belongs to a group, once it is verified that the storage is not an outdated copy: with such a
// copy the member would vote as if nothing were lost, and would lack plans.
//
// The boot marker, an operator's call or the positions of enough other voters verify it. Each entry that was committed and each vote that
// was given with this incarnation's help is known to a quorum, and so to at least one of any verificationQuorum voters. Their positions
// are an upper bound on what this incarnation may have promised and lost.
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
		case isRecorded || !isVoter: // a non-voter needs no verification: it sends nothing before it has a lease
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

// verificationQuorum returns whether this member votes, and how many other voters have to answer with their position to verify its disk:
// so many that every majority of the voters contains one of them.
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

// upperBound returns the lowest position that is not older than any of the given ones.
func upperBound(positions map[string]consensus.Position) *consensus.Position {
	bound := consensus.Position{}
	for _, position := range positions {
		bound = bound.UpperBound(position)
	}
	return &bound
}

// openBootMarker opens the boot marker; nil: none is configured, or it cannot be opened.
func (c *Coordinator) openBootMarker() *consensus.BootMarker {
	if c.options.BootMarkerPath == "" {
		return nil
	}
	marker, err := consensus.OpenBootMarker(c.options.BootMarkerPath)
	if err != nil {
		c.options.Log.WithError(err).Warn("no boot marker: after a restart other members have to verify the disk")
	}
	return marker
}

// startNode starts the membership's node on its storage. maxPromised is an upper bound on what this incarnation may have promised and lost;
// nil: it has lost nothing. isVerified reports that the storage is known to be the latest one.
func (c *Coordinator) startNode(current *membership, marker *consensus.BootMarker, maxPromised *consensus.Position, isVerified bool) {
	identity := current.storage.Identity() // the node owns the storage once it has started
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
	// Guards against storage that has a vote but no plan yet: only an incarnation that the group has confirmed once has all plans that
	// had begun.
	if isDurable && identity.Confirmed && isVerified {
		c.options.Dispatcher.SetPlansUnknown(false)
	}
}

// queryPositions sends the position of this member's storage to all other members. It returns the positions that the voters among them
// answer with, by name, and whether a member has rejected the storage as outdated, because it lacks what it has promised to that member.
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

// queryPosition sends a request of queryPositions to one member and returns its position.
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
