package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
	"birchfork/internal/replication"
)

// Intervals and limits of dissemination.
const (
	roundInterval      = time.Second // mean time between rounds while the replica does not change
	idleFanout         = 1           // members that a round contacts while the replica does not change
	fanout             = 3           // members that a round contacts after a change
	maxConcurrentSyncs = 4
)

// wake starts a round at once, after a change of the replica.
func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default: // a round is already due
	}
}

// disseminate syncs with random members, round by round, until the context is cancelled. It returns once all syncs have ended.
func (n *Node) disseminate(ctx context.Context) {
	pool := &syncPool{node: n, slots: make(chan struct{}, maxConcurrentSyncs)}
	defer pool.running.Wait()
	targets := fanout
	for ctx.Err() == nil {
		n.Counters.Rounds.Add(1)
		for _, name := range peer.Sample(n.options.Peers, targets) {
			pool.start(ctx, name)
		}
		n.collectGarbage()
		targets = n.awaitRound(ctx, pool)
	}
}

// awaitRound waits until a round is due and returns the number of members to contact. Meanwhile it syncs with members that have sent a
// different digest.
func (n *Node) awaitRound(ctx context.Context, pool *syncPool) (targets int) {
	for {
		select {
		case <-ctx.Done():
			return 0
		case <-time.After(roundInterval/2 + rand.N(roundInterval)):
			return idleFanout
		case <-n.changed:
			return fanout
		case name := <-n.pendingSyncs:
			pool.start(ctx, name)
		}
	}
}

// collectGarbage drops entries that enable a worker again once all members have them, and submits unpersisted changes to the storage.
func (n *Node) collectGarbage() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return
	}
	if versions, known := n.allPeerVersionsLocked(); known {
		for _, key := range n.replica.CollectGarbage(versions) {
			n.dirty[key] = true
		}
	}
	n.persistLocked()
}

// allPeerVersionsLocked returns the version vectors of the other members; known reports whether all have been received.
func (n *Node) allPeerVersionsLocked() (versions []replication.VersionVector, known bool) {
	versions = make([]replication.VersionVector, 0, len(n.options.Peers))
	for _, name := range n.options.Peers {
		version, ok := n.peerVersions[name]
		if !ok {
			return nil, false
		}
		versions = append(versions, version)
	}
	return versions, true
}

// syncPool runs syncs with other members: at most one at a time with each, and maxConcurrentSyncs in total.
type syncPool struct {
	node    *Node
	slots   chan struct{} // holds a token for each running sync
	running sync.WaitGroup
}

// start begins a sync with a member unless one is running, and returns at once.
func (p *syncPool) start(ctx context.Context, name string) {
	if failpoint.Enabled(failpoint.NoOverrideExchange) || !p.node.beginSync(name) {
		return
	}
	p.running.Go(func() {
		defer p.node.endSync(name)
		select {
		case p.slots <- struct{}{}:
			defer func() { <-p.slots }()
		case <-ctx.Done():
			return
		}
		if err := p.node.syncWith(ctx, name); err != nil {
			p.node.options.Log.WithError(err).WithField("peer", name).Debug("sync with a member failed")
		}
	})
}

// beginSync marks a member as syncing. It returns false if a sync with it is already running or this process does not own the replica.
func (n *Node) beginSync(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil || n.syncing[name] {
		return false
	}
	n.syncing[name] = true
	return true
}

func (n *Node) endSync(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.syncing, name)
}
