package gossip

import "time"

// A member has caught up once it has all entries of catchUpPeers other members, or catchUpTimeout after its start.
const (
	catchUpPeers   = 2
	catchUpTimeout = 2 * time.Second
)

// CaughtUp reports whether this member has received the overrides that other members had at its start, or has waited for catchUpTimeout.
// It returns true if another process of this dispatcher owns the replica.
func (n *Node) CaughtUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica == nil || n.isCaughtUpLocked()
}

func (n *Node) isCaughtUpLocked() bool {
	return n.caughtUpWithEnoughLocked() || time.Since(n.startedAt) > catchUpTimeout
}

// caughtUpWithEnoughLocked reports whether this replica has all entries of catchUpPeers other members, or of all if there are fewer.
func (n *Node) caughtUpWithEnoughLocked() bool {
	return len(n.caughtUpWith) >= min(catchUpPeers, len(n.options.Peers))
}

// servesPullsLocked reports whether other members may pull entries from this one: it has caught up with enough others, or more than
// catchUpTimeout has elapsed since its first contact with any. Until then its disk may be outdated: a member that has lost its own disk
// would pull entries from it that all others have removed.
func (n *Node) servesPullsLocked() bool {
	inContact := !n.firstContact.IsZero() && time.Since(n.firstContact) > catchUpTimeout
	return n.caughtUpWithEnoughLocked() || inContact
}

// markCaughtUp records that this replica has all entries of a member.
func (n *Node) markCaughtUp(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica != nil {
		n.caughtUpWith[name] = true
	}
}
