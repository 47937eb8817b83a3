package gossip

import "time"

// A member that has just started has caught up once it has all entries of some others, or after a time without them.
const (
	catchUpPeers   = 2
	catchUpTimeout = 2 * time.Second
)

// CaughtUp reports whether this member has the overrides that others had at its start, or has waited for them long enough. It is
// true where another process of this dispatcher owns the replica.
func (n *Node) CaughtUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica == nil || n.isCaughtUpLocked()
}

func (n *Node) isCaughtUpLocked() bool {
	return n.caughtUpWithEnoughLocked() || time.Since(n.startedAt) > catchUpTimeout
}

// caughtUpWithEnoughLocked reports whether all entries of enough other members are here.
func (n *Node) caughtUpWithEnoughLocked() bool {
	return len(n.caughtUpWith) >= min(catchUpPeers, len(n.options.Peers))
}

// servesPullsLocked reports whether other members may take over entries from here. Guards against an outdated disk: a member that has
// lost its own would take from it what all others have removed. So entries are sent once this member has caught up with enough
// others, or has been in contact with one for a while.
func (n *Node) servesPullsLocked() bool {
	inContact := !n.firstContact.IsZero() && time.Since(n.firstContact) > catchUpTimeout
	return n.caughtUpWithEnoughLocked() || inContact
}

// markCaughtUp notes that all entries of a member are here.
func (n *Node) markCaughtUp(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica != nil {
		n.caughtUpWith[name] = true
	}
}
