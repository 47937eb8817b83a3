// Package gossip replicates the operators' overrides between the members of a group without a leader. A Node owns this process's
// replica (package replication holds the data and merges it), persists it, spreads changes to some random members at once, and
// compares itself with one of them every second, so that members that were cut off converge (anti-entropy). Messages travel by
// package peer.
package gossip

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/boltstore"
	"birchfork/internal/failpoint"
	"birchfork/internal/peer"
	"birchfork/internal/replication"
)

// maxContacts limits the members that have announced themselves and wait for a sync.
const maxContacts = 16

// incarnationLength is the number of characters of a replica's incarnation.
const incarnationLength = 16

// Options are the settings of a Node. Its functions are called from several goroutines.
type Options struct {
	Group string   // name of the group
	Self  string   // name of this member
	Peers []string // names of the other members
	Dir   string   // where the replica is persisted; empty: it is not

	// ApplyOverride puts a worker's replicated override into effect at this dispatcher and returns the version that it has there.
	// It is called with the Node's lock held.
	ApplyOverride func(worker string, disabled bool) (version int64)
	// SetOverride makes an override as the admin server does. The note is for the operator.
	SetOverride func(worker string, disabled bool) (note string, err error)
	// Info describes this process to the other members and to operators; nil: it is not described.
	Info func() MemberInfo

	Log logrus.FieldLogger
}

// MemberInfo is what a member's process says of itself.
type MemberInfo struct {
	Version        string    `json:"version"`  // of the build
	SettingsDigest string    `json:"settings"` // of the platform's settings, but for those that differ by dispatcher
	OperatorDigest string    `json:"operator"` // of the operator's file
	StartedAt      time.Time `json:"started"`  // by that member's clock
}

// Node is one member's part in the gossip. It is safe for concurrent use, but for Attach, Detach and Close, which are for its owner.
//
// A dispatcher may run as two processes during a hot restart. One of them at a time owns the replica, as one at a time can lock its
// file: the Node of the other one does nothing until it is attached.
type Node struct {
	Counters Counters

	options        Options
	startedAt      time.Time
	persistTimeout time.Duration // the constant, but in tests

	mu        sync.Mutex // guards the fields below, up to transport
	session              // reset whenever the replica is opened
	peers     map[string]peerStatus
	traffic   map[string]traffic
	transport *peer.Transport // nil: not attached

	cancel context.CancelFunc // ends the loops
	loops  sync.WaitGroup

	changed  chan struct{} // the replica has something new: a round is due
	contacts chan string   // members that differ from this one
}

// session is what a Node knows while it owns the replica.
type session struct {
	replica *replication.Replica // nil: another process of this dispatcher owns it

	storage          *storage                 // nil: nothing is persisted
	dirty            map[replication.Key]bool // entries that were not handed to the storage, or that it failed to write
	submittedVersion uint64                   // digest of the version vector that was handed to the storage last
	writeFailed      bool                     // the storage failed to write it
	lastBatch        *batch                   // handed to the storage last
	persistErr       error                    // why the replica may not be persisted; nil: it is

	peerVersions map[string]replication.VersionVector // of members that were in sync, at that time
	pulls        map[string]*replication.PullProgress // by member
	syncing      map[string]bool                      // members with a sync under way
	caughtUpWith map[string]bool                      // members all of whose entries are here
	firstContact time.Time                            // with any member

	localVersions    map[string]int64 // by worker: the version of this dispatcher's own override that the replica knows of
	inherited        map[string]bool  // workers that were disabled here before the start, and that the replica knows nothing of
	hasLocalBaseline bool             // further changes to this dispatcher's own overrides are new
}

// newSession returns the state of a Node whose replica has just been opened.
func newSession(replica *replication.Replica, opened *storage, persistErr error) session {
	return session{
		replica:          replica,
		storage:          opened,
		dirty:            map[replication.Key]bool{},
		submittedVersion: replica.Version().Digest(),
		persistErr:       persistErr,
		peerVersions:     map[string]replication.VersionVector{},
		pulls:            map[string]*replication.PullProgress{},
		syncing:          map[string]bool{},
		caughtUpWith:     map[string]bool{},
		localVersions:    map[string]int64{},
		inherited:        map[string]bool{},
	}
}

// New opens the replica and applies the overrides that it has, so that they are in effect before anything is dispatched. Where
// another process of this dispatcher owns the replica that is left to Attach. An error says that the directory belongs to another
// group, or holds what cannot be restored.
func New(options Options) (*Node, error) {
	node := &Node{
		options:        options,
		startedAt:      time.Now(),
		persistTimeout: persistTimeout,
		peers:          map[string]peerStatus{},
		traffic:        map[string]traffic{},
		changed:        make(chan struct{}, 1),
		contacts:       make(chan string, maxContacts),
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if err := node.openReplicaLocked(); err != nil && !errors.Is(err, boltstore.ErrLocked) {
		return nil, err
	}
	return node, nil
}

// openReplicaLocked begins a session with what the storage has. Unreadable or unusable storage is logged and does not keep the
// member from taking part.
func (n *Node) openReplicaLocked() error {
	replica := replication.New(newIncarnation(n.options.Self))
	opened, unreadable, err := openStorage(n.options.Dir, n.options.Group, replica, n.onBatchWritten)
	if errors.Is(err, boltstore.ErrLocked) || errors.Is(err, boltstore.ErrForeign) {
		return err
	}
	if unreadable != nil {
		n.options.Log.WithError(unreadable).Error("stored overrides unreadable, starting without them")
	}
	if err != nil {
		n.options.Log.WithError(err).Error("group folder unusable, overrides are not persisted")
	}
	n.session = newSession(replica, opened, err)
	for _, worker := range replica.Names(replication.KindOverride) {
		if n.isDisabledLocked(worker) {
			n.localVersions[worker] = n.options.ApplyOverride(worker, true)
		}
	}
	return nil
}

// newIncarnation returns a name for a new replica. It is random, as no dot of an earlier replica may be used again.
func newIncarnation(self string) string {
	if failpoint.Enabled(failpoint.ReuseDots) {
		return self
	}
	return rand.Text()[:incarnationLength]
}

// Attach takes part by a transport that does not serve yet. It opens the replica if the Node does not own it, registers the
// handlers and starts the loops that Detach ends.
func (n *Node) Attach(transport *peer.Transport) {
	n.mu.Lock()
	if n.replica == nil {
		if err := n.openReplicaLocked(); err != nil {
			n.options.Log.WithError(err).Error("replica not opened, taking no part in gossip")
		}
	}
	n.transport = transport
	n.mu.Unlock()
	transport.Handle(digestPath, n.handleDigest)
	transport.Handle(pullPath, n.handlePull)
	transport.Handle(removalsPath, n.handleRemovals)
	transport.HandleOperator(OverridesPath, n.handleOperatorCall)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.loops.Go(func() { n.disseminate(ctx) })
}

// Detach ends the loops and closes the Node: another process of this dispatcher may own the replica from then on.
func (n *Node) Detach() {
	n.cancel()
	n.loops.Wait()
	n.Close()
}

// Close persists what is not persisted yet and gives up the replica and its file. An attached Node is closed by Detach.
func (n *Node) Close() {
	n.mu.Lock()
	n.transport = nil
	if n.replica == nil {
		n.mu.Unlock()
		return
	}
	n.persistLocked()
	opened := n.storage
	n.replica, n.storage = nil, nil
	n.mu.Unlock() // the storage's goroutine may be about to report a batch
	if err := opened.close(); err != nil {
		n.options.Log.WithError(err).Warn("closing the stored overrides failed")
	}
}

// withReplica calls f with the lock held, unless another process of this dispatcher owns the replica: then it returns errNoReplica.
func (n *Node) withReplica(f func() error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return errNoReplica
	}
	return f()
}
