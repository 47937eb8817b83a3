package simulation

import (
	"cmp"
	"encoding/json"
	"time"

	"birchfork/internal/replication"
)

// The latency of a message is minLatency plus a random part of latencyRange.
const (
	minLatency   = time.Millisecond
	latencyRange = 4 * time.Millisecond
)

// disseminate begins a digest exchange with gossipFanout random members.
func (w *replicationWorld) disseminate(m *replicaMember) {
	for range gossipFanout {
		w.syncWith(m, w.randomPeer(m))
	}
}

// gossipRound begins a digest exchange with a random member, and schedules the next round.
func (w *replicationWorld) gossipRound(m *replicaMember) {
	w.syncWith(m, w.randomPeer(m))
	w.collectGarbage(m)
	w.after(gossipInterval/2+w.randomDuration(gossipInterval), func() { w.gossipRound(m) })
}

// collectGarbage collects the garbage of a member's replica once the member has a version from each other member.
func (w *replicationWorld) collectGarbage(m *replicaMember) {
	if len(m.receivedVersions) < len(w.members)-1 {
		return
	}
	var versions []replication.VersionVector
	for i := range w.members { // in a fixed order, so that the history is deterministic
		if i != m.index {
			versions = append(versions, m.receivedVersions[i])
		}
	}
	m.replica.CollectGarbage(versions)
}

// request sends a request and its response. respond runs at the receiver and returns the response, which the sender handles with receive.
// If a partition loses either message, the sender may begin another exchange with the receiver after requestTimeout. If the sender has
// restarted with a new incarnation meanwhile, the response is dropped.
func (w *replicationWorld) request(from, to *replicaMember, message any, respond func() any, receive func(response any)) {
	incarnation := from.incarnations
	passes := func() bool { return w.now >= from.partitionedUntil && w.now >= to.partitionedUntil }
	timeOut := func() { w.after(requestTimeout, func() { delete(from.syncing, to.index) }) }
	w.countMessage(message)
	if !passes() {
		timeOut()
		return
	}
	w.after(w.latency(), func() {
		if !passes() {
			timeOut()
			return
		}
		response := respond()
		w.countMessage(response)
		w.after(w.latency(), func() {
			switch {
			case from.incarnations != incarnation:
			case !passes():
				timeOut()
			default:
				receive(response)
			}
		})
	})
}

// latency returns the random latency of a message.
func (w *replicationWorld) latency() time.Duration {
	return minLatency + w.randomDuration(latencyRange)
}

// countMessage counts a message and the bytes of its JSON.
func (w *replicationWorld) countMessage(message any) {
	raw, err := json.Marshal(message)
	if err != nil {
		w.violation("encoding a message: %v", err)
	}
	w.result.Messages++
	w.result.Bytes += len(raw)
}

// digestMessage is a message of a digest exchange. Its JSON is that of internal/gossip.
type digestMessage struct {
	Version uint64   `json:"seen"` // digest of its version vector
	Entries uint64   `json:"sum"`  // digest of its entries
	Buckets []uint64 `json:"sums,omitempty"`
}

func (m *replicaMember) digestMessage() digestMessage {
	return digestMessage{Version: m.replica.Version().Digest(), Entries: m.replica.Digest()}
}

// equals reports whether both members have the same version vector and entries.
func (d digestMessage) equals(other digestMessage) bool {
	return d.Version == other.Version && d.Entries == other.Entries
}

// syncWith begins a digest exchange, in which a member fetches the entries that its peer has and it lacks.
func (w *replicationWorld) syncWith(m, peer *replicaMember) { w.exchangeDigests(m, peer, false) }

// exchangeDigests exchanges digests with a peer; afterPull is set if a pull preceded it. It does nothing while an exchange with the peer
// is in progress.
func (w *replicationWorld) exchangeDigests(m, peer *replicaMember, afterPull bool) {
	if m.syncing[peer.index] {
		return
	}
	m.syncing[peer.index] = true
	own, version := m.digestMessage(), m.replica.Version()
	respond := func() any { return w.answerDigest(m, peer, own) }
	w.request(m, peer, own, respond, func(response any) {
		theirs := response.(digestMessage)
		m.firstContact = cmp.Or(m.firstContact, w.now)
		switch {
		case theirs.equals(own):
			m.receivedVersions[peer.index] = version
			m.finishSync(peer)
			m.caughtUpWith[peer.index] = true
		case theirs.Version == own.Version && len(theirs.Buckets) > 0:
			w.discardRemoved(m, peer, theirs.Buckets)
		default:
			w.pull(m, peer, afterPull)
		}
	})
}

// answerDigest returns peer's reply to m's digests. If they differ, peer begins an exchange in the opposite direction.
func (w *replicationWorld) answerDigest(m, peer *replicaMember, theirs digestMessage) digestMessage {
	own := peer.digestMessage()
	peer.firstContact = cmp.Or(peer.firstContact, w.now)
	if own.equals(theirs) {
		peer.receivedVersions[m.index] = peer.replica.Version()
		return own
	}
	if own.Version == theirs.Version {
		own.Buckets = peer.replica.BucketDigests()
	}
	w.syncWith(peer, m)
	return own
}

// finishSync allows the next exchange with a member.
func (m *replicaMember) finishSync(peer *replicaMember) { delete(m.syncing, peer.index) }

// discardRemoved makes a member drop the entries that a peer with the same version vector has seen removed. buckets are the peer's bucket
// digests.
func (w *replicationWorld) discardRemoved(m, peer *replicaMember, buckets []uint64) {
	dots := m.replica.DotsInBuckets(m.replica.DifferingBuckets(buckets))
	version := m.replica.Version().Digest()
	respond := func() any {
		if peer.replica.Version().Digest() != version {
			return []replication.Dot(nil)
		}
		return peer.replica.Removed(dots)
	}
	w.request(m, peer, dots, respond, func(response any) {
		m.replica.Discard(response.([]replication.Dot))
		m.caughtUpWith[peer.index] = true
		m.finishSync(peer)
	})
}
