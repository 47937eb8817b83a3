package gossip

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"birchfork/internal/replication"
)

// Counters count since the Node was created. They are safe for concurrent use.
type Counters struct {
	Rounds          atomic.Int64 // rounds of dissemination
	Chunks          atomic.Int64 // merged chunks
	Merged          atomic.Int64 // entries that changed the replica
	Removed         atomic.Int64 // entries that other members had removed
	Rejected        atomic.Int64 // malformed messages and chunks
	PersistFailures atomic.Int64
}

// Fields returns the counters by their names in log and status.
func (n *Node) Fields() map[string]int64 {
	c := &n.Counters
	return map[string]int64{
		"words_rounds":  c.Rounds.Load(),
		"words_pieces":  c.Chunks.Load(),
		"words_taken":   c.Merged.Load(),
		"words_dropped": c.Removed.Load(),
		"words_refused": c.Rejected.Load(),
		"words_unkept":  c.PersistFailures.Load(),
	}
}

// peerStatus is the last status that another member has reported.
type peerStatus struct {
	info            MemberInfo
	lastContact     time.Time // zero: never
	lastInSync      time.Time // when it had the same entries as this member; zero: never
	observedEntries int
	storedEntries   int
}

// traffic counts this member's requests to another one.
type traffic struct {
	messages int64
	bytesOut int64
	bytesIn  int64
}

// recordContactLocked records a digest of another member.
func (n *Node) recordContactLocked(name string, theirs *digest, inSync bool) {
	now := time.Now()
	if n.firstContact.IsZero() {
		n.firstContact = now
	}
	status := n.peers[name]
	status.info = theirs.Info
	status.lastContact = now
	status.observedEntries = theirs.ObservedEntries
	status.storedEntries = theirs.StoredEntries
	if inSync {
		status.lastInSync = now
	}
	n.peers[name] = status
}

// countTraffic counts a request to another member.
func (n *Node) countTraffic(to string, bytesOut, bytesIn int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := n.traffic[to]
	count.messages++
	count.bytesOut += int64(bytesOut)
	count.bytesIn += int64(bytesIn)
	n.traffic[to] = count
}

// statusLocked returns the report of this member as the reply to a call.
func (n *Node) statusLocked() *Reply {
	return &Reply{
		Member:       n.options.Self,
		CaughtUp:     n.isCaughtUpLocked(),
		NotPersisted: n.notPersistedLocked(),
		Digest:       fmt.Sprintf("%016x", n.replica.Digest()),
		Incarnations: len(n.replica.Version()),
		Overrides:    n.overrideStatusesLocked(),
		Members:      n.memberStatusesLocked(),
		Counters:     n.Fields(),
	}
}

// notPersistedLocked returns why overrides do not survive a restart, or an empty string if they do.
func (n *Node) notPersistedLocked() string {
	switch {
	case n.persistErr != nil:
		return n.persistErr.Error()
	case n.storage == nil:
		return errNoDir.Error()
	}
	return ""
}

// memberStatusesLocked returns this member's status, followed by those of the other members, sorted by name.
func (n *Node) memberStatusesLocked() []MemberStatus {
	ours := n.localDigestLocked()
	statuses := make([]MemberStatus, 0, 1+len(n.options.Peers))
	statuses = append(statuses, MemberStatus{Name: n.options.Self, MemberInfo: ours.Info, StoredEntries: ours.StoredEntries})
	for _, name := range slices.Sorted(slices.Values(n.options.Peers)) {
		status, count := n.peers[name], n.traffic[name]
		statuses = append(statuses, MemberStatus{
			Name:           name,
			MemberInfo:     status.info,
			LastContact:    timeSince(status.lastContact),
			LastInSync:     timeSince(status.lastInSync),
			MissingEntries: ours.ObservedEntries - status.observedEntries,
			StoredEntries:  status.storedEntries,
			Messages:       count.messages,
			BytesOut:       count.bytesOut,
			BytesIn:        count.bytesIn,
		})
	}
	return statuses
}

// timeSince returns the time since t. It is negative for a zero t, which means never.
func timeSince(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return time.Since(t)
}

// overrideStatusesLocked returns the status of each worker's override.
func (n *Node) overrideStatusesLocked() (statuses []OverrideStatus) {
	for _, worker := range n.replica.Names(replication.KindOverride) {
		entries := n.replica.Get(replication.KindOverride, worker)
		status := OverrideStatus{Worker: worker, Disabled: replication.IsDisabled(entries), Conflict: replication.InConflict(entries)}
		for _, entry := range entries {
			write := OverrideWrite{Disabled: entry.Disabled, Member: entry.Member, At: time.UnixMilli(entry.WrittenAt)}
			status.Writes = append(status.Writes, write)
		}
		slices.SortFunc(status.Writes, func(a, b OverrideWrite) int { return a.At.Compare(b.At) })
		statuses = append(statuses, status)
	}
	return statuses
}
