package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"birchfork/internal/peer"
	"birchfork/internal/replication"
)

// Limits of an exchange with another member.
const (
	requestTimeout  = time.Second
	maxChunkEntries = 200 // about 40 kB
)

// The paths of the messages between members.
const (
	digestPath   = "/group/copies/hello"
	pullPath     = "/group/copies/pull"
	removalsPath = "/group/copies/gone"
)

// Rejections of messages.
var (
	errNoReplica        = &peer.RejectedError{Reason: "this process does not own the replica"}
	errNotCaughtUp      = &peer.RejectedError{Reason: "this process has just started and has not caught up with other members yet"}
	errDifferentVersion = &peer.RejectedError{Reason: "version vectors differ"}
)

// digest summarizes a replica, so that two members can detect differences. It is used as request and as reply.
type digest struct {
	VersionDigest   uint64     `json:"seen"`           // of the version vector
	EntryDigest     uint64     `json:"sum"`            // of all entries
	BucketDigests   []uint64   `json:"sums,omitempty"` // of the entries by bucket; only in a reply to a digest with the same VersionDigest
	ObservedEntries int        `json:"count"`          // number of entries that the replica has ever had, removed ones included
	StoredEntries   int        `json:"held"`
	Info            MemberInfo `json:"about,omitzero"`
}

// matches reports whether both replicas have the same entries and version vector.
func (d digest) matches(other digest) bool {
	return d.VersionDigest == other.VersionDigest && d.EntryDigest == other.EntryDigest
}

// pullRequest requests a chunk of the entries that its sender lacks. The reply is a replication.Chunk.
type pullRequest struct {
	Version replication.VersionVector `json:"seen"`
	Cursor  replication.Cursor        `json:"from"`
}

// removals is used as request and as reply. The request lists the sender's entries, the reply those that the receiver has removed.
type removals struct {
	VersionDigest uint64            `json:"seen"` // of the version vector, which must be equal at both members
	Dots          []replication.Dot `json:"dots"`
}

// request sends a message to a member as JSON and decodes the reply.
func (n *Node) request(ctx context.Context, to, path string, message, reply any) error {
	n.mu.Lock()
	transport := n.transport
	n.mu.Unlock()
	if transport == nil {
		return errNoReplica
	}
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := transport.Request(ctx, to, path, body)
	n.countTraffic(to, len(body), len(answer))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, reply); err != nil {
		return fmt.Errorf("decoding the reply to %s from %s: %w", path, to, err)
	}
	return nil
}

// handle decodes a member's JSON message, calls serve with the lock held and encodes the reply. A malformed message is counted and
// rejected.
func handle[Request, Reply any](n *Node, body []byte, serve func(*Request) (Reply, error)) ([]byte, error) {
	malformed := func(decodeErr error) (Reply, error) {
		n.Counters.Rejected.Add(1)
		return peer.RejectMalformed[Reply]("malformed replication message: ")(decodeErr)
	}
	return peer.ServeJSON(body, malformed, func(request *Request) (reply Reply, err error) {
		err = n.withReplica(func() error {
			reply, err = serve(request)
			return err
		})
		return reply, err
	})
}

// handleDigest compares digests. If they differ, it schedules a sync, because the sender may have entries that this replica lacks.
func (n *Node) handleDigest(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	return handle(n, body, func(theirs *digest) (digest, error) {
		ours := n.localDigestLocked()
		inSync := theirs.matches(ours)
		n.recordContactLocked(from.Name, theirs, inSync)
		if inSync {
			n.peerVersions[from.Name] = n.replica.Version()
			return ours, nil
		}
		if theirs.VersionDigest == ours.VersionDigest {
			ours.BucketDigests = n.replica.BucketDigests()
		}
		select {
		case n.pendingSyncs <- from.Name:
		default: // the queue is full; the sync is left to a later round
		}
		return ours, nil
	})
}

// handlePull returns a chunk of the entries that the sender lacks.
func (n *Node) handlePull(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return handle(n, body, func(request *pullRequest) (replication.Chunk, error) {
		if !n.servesPullsLocked() {
			return replication.Chunk{}, errNotCaughtUp
		}
		return n.replica.NextChunk(request.Version, request.Cursor, maxChunkEntries), nil
	})
}

// handleRemovals returns which of the sender's entries this replica has removed. It rejects a sender with another version vector, because
// a removed entry may have been replaced by one that the sender lacks.
func (n *Node) handleRemovals(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return handle(n, body, func(request *removals) (removals, error) {
		if request.VersionDigest != n.replica.Version().Digest() {
			return removals{}, errDifferentVersion
		}
		return removals{VersionDigest: request.VersionDigest, Dots: n.replica.Removed(request.Dots)}, nil
	})
}

// localDigestLocked returns the digest of this replica, without the buckets.
func (n *Node) localDigestLocked() digest {
	version := n.replica.Version()
	ours := digest{
		VersionDigest:   version.Digest(),
		EntryDigest:     n.replica.Digest(),
		ObservedEntries: version.Total(),
		StoredEntries:   n.replica.Len(),
	}
	if n.options.Info != nil {
		ours.Info = n.options.Info()
	}
	return ours
}
