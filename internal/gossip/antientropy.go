package gossip

import (
	"context"

	"birchfork/internal/failpoint"
	"birchfork/internal/replication"
)

// maxSyncSteps limits the digest comparisons of one sync. Differences that remain are left to a later round.
const maxSyncSteps = 2

// syncWith compares this replica with another member's and merges the differences: pullFrom fetches missing entries, fetchRemovals
// fetches removals.
func (n *Node) syncWith(ctx context.Context, name string) error {
	for step := range maxSyncSteps {
		inSync, err := n.syncStep(ctx, name, step)
		if inSync || err != nil {
			return err
		}
	}
	return nil
}

// syncStep exchanges digests with a member. If the replicas are equal, it returns inSync; else it fetches either missing entries or
// removals.
func (n *Node) syncStep(ctx context.Context, name string, step int) (inSync bool, err error) {
	ours, version, err := n.localVersion()
	if err != nil {
		return false, err
	}
	var theirs digest
	if err := n.request(ctx, name, digestPath, ours, &theirs); err != nil {
		return false, err
	}
	inSync = theirs.matches(ours)
	n.recordDigest(name, theirs, inSync, version)
	lacksRemovalsOnly := theirs.VersionDigest == ours.VersionDigest && len(theirs.BucketDigests) > 0
	switch {
	case inSync:
		return true, nil
	case lacksRemovalsOnly:
		if err := n.fetchRemovals(ctx, name, ours, theirs); err != nil {
			return false, err
		}
		n.markCaughtUp(name)
	default:
		if err := n.pullFrom(ctx, name); err != nil {
			return false, err
		}
		if step > 0 { // the versions still differ after a step: removals need equal versions and are left to a later round
			n.markCaughtUp(name)
		}
	}
	return false, nil
}

// localVersion returns the digest of this replica and its version vector.
func (n *Node) localVersion() (ours digest, version replication.VersionVector, err error) {
	err = n.withReplica(func() error {
		ours = n.localDigestLocked()
		version = n.replica.Version()
		return nil
	})
	return ours, version, err
}

// recordDigest records a member's digest. A member that is in sync has the same version vector as this replica.
func (n *Node) recordDigest(name string, theirs digest, inSync bool, version replication.VersionVector) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recordContactLocked(name, &theirs, inSync)
	if inSync {
		n.peerVersions[name] = version
		n.caughtUpWith[name] = true
	}
}

// pullFrom fetches the entries that a member has and this replica lacks, chunk by chunk. After an error, the next call resumes after the
// last merged chunk.
func (n *Node) pullFrom(ctx context.Context, name string) error {
	for {
		request, progress, err := n.nextPull(name)
		if err != nil {
			return err
		}
		var chunk replication.Chunk
		if err := n.request(ctx, name, pullPath, request, &chunk); err != nil {
			return err
		}
		if err := n.mergeChunk(name, progress, chunk); err != nil {
			return err
		}
		if chunk.Done {
			return nil
		}
	}
}

// nextPull returns the request for the next chunk and the progress of its pull.
func (n *Node) nextPull(name string) (request pullRequest, progress *replication.PullProgress, err error) {
	err = n.withReplica(func() error {
		progress = n.pulls[name]
		if progress == nil {
			progress = &replication.PullProgress{}
			n.pulls[name] = progress
			if failpoint.Enabled(failpoint.OverwriteReplica) {
				n.replica = replication.New(newIncarnation(n.options.Self))
			}
		}
		request = pullRequest{Version: n.replica.Version(), Cursor: progress.Cursor}
		return nil
	})
	return request, progress, err
}

// mergeChunk merges a member's chunk. An invalid chunk aborts the pull; the next pull starts from the beginning.
func (n *Node) mergeChunk(name string, progress *replication.PullProgress, chunk replication.Chunk) error {
	return n.withReplica(func() error {
		changed, err := n.replica.Merge(progress, chunk)
		if err != nil {
			n.Counters.Rejected.Add(1)
			delete(n.pulls, name)
			return err
		}
		n.Counters.Chunks.Add(1)
		n.Counters.Merged.Add(int64(len(changed)))
		n.applyChangesLocked(changed)
		return nil
	})
}

// fetchRemovals removes the entries that a member with the same version vector has removed.
func (n *Node) fetchRemovals(ctx context.Context, name string, ours, theirs digest) error {
	request := removals{VersionDigest: ours.VersionDigest}
	err := n.withReplica(func() error {
		request.Dots = n.replica.DotsInBuckets(n.replica.DifferingBuckets(theirs.BucketDigests))
		return nil
	})
	if err != nil {
		return err
	}
	var reply removals
	if err := n.request(ctx, name, removalsPath, request, &reply); err != nil {
		return err
	}
	return n.withReplica(func() error {
		changed := n.replica.Discard(reply.Dots)
		n.Counters.Removed.Add(int64(len(changed)))
		n.applyChangesLocked(changed)
		return nil
	})
}
