package simulation

import (
	"slices"

	"birchfork/internal/replication"
)

// pullRequest asks for the next chunk of the entries that the reader's version does not contain. Its JSON is used only to count bytes.
type pullRequest struct {
	Version replication.VersionVector `json:"Seen"`
	Cursor  replication.Cursor        `json:"From"`
}

// pull makes a member pull from a peer chunk by chunk. After the last chunk it exchanges digests once more, unless the pull resulted from
// such a second exchange.
func (w *replicationWorld) pull(m, peer *replicaMember, afterPull bool) {
	progress := m.pulls[peer.index]
	if progress == nil {
		progress = &replication.PullProgress{}
		m.pulls[peer.index] = progress
	}
	request := pullRequest{Version: m.replica.Version(), Cursor: progress.Cursor}
	respond := func() any { return w.answerPull(peer, request) }
	w.request(m, peer, request, respond, func(response any) {
		chunk, isReady := response.(replication.Chunk)
		if !isReady {
			m.finishSync(peer)
			return
		}
		changed, err := m.replica.Merge(progress, chunk)
		if err != nil {
			delete(m.pulls, peer.index)
			m.finishSync(peer)
			return
		}
		w.checkMerged(m, peer, changed)
		if !chunk.Done {
			w.pull(m, peer, afterPull)
			return
		}
		m.finishSync(peer)
		if afterPull {
			m.caughtUpWith[peer.index] = true
		} else {
			w.exchangeDigests(m, peer, true)
		}
		if len(changed) > 0 {
			w.disseminate(m)
		}
	})
}

// answerPull returns the next chunk. It returns nil shortly after the member's start, when the member may not know of removals that others
// have seen.
func (w *replicationWorld) answerPull(m *replicaMember, request pullRequest) any {
	caughtUp := len(m.caughtUpWith) >= min(2, len(w.members)-1)
	waited := m.firstContact != 0 && w.now >= m.firstContact+startDelay
	if !caughtUp && !waited {
		return nil
	}
	return m.replica.NextChunk(request.Version, request.Cursor, maxChunkEntries)
}

// checkMerged checks that a member has merged no override that all replicas had forgotten and that was not rewritten since.
func (w *replicationWorld) checkMerged(m, sender *replicaMember, changed []replication.Key) {
	for _, key := range changed {
		forgottenAt, forgotten := w.forgottenAt[key.Name]
		if forgotten && forgottenAt > w.writtenAt[key.Name] && w.isResurrected(m, sender, key.Name) {
			w.violation("member %d has an override of worker %s that all members had forgotten at %.2fs", m.index, key.Name, forgottenAt.Seconds())
		}
	}
}

// isResurrected reports whether a member has merged an override that disables a worker although the sender could have learned that the
// override was replaced. The sender could have learned it from a member that has seen the replacement and has been running and reachable
// since before the sender's process started. If there is no such member, the entries of an outdated disk are valid.
func (w *replicationWorld) isResurrected(m, sender *replicaMember, worker string) bool {
	entries := m.replica.Get(replication.KindOverride, worker)
	if !replication.IsDisabled(entries) {
		return false
	}
	return slices.ContainsFunc(w.members, func(other *replicaMember) bool {
		inReach := other != sender && max(other.processStart, other.partitionedUntil) < sender.processStart
		return inReach && other.replica.Version().Contains(entries[0].Dot) && !other.hasOverride(worker)
	})
}
