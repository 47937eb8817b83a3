// Package gossip replicates the operators' overrides between the members of a group without a leader. A Node owns this process's
// replica (package replication has its data and merges it), persists it, disseminates changes to some random members at once, and
// compares the replica with that of one random member about every second, so that disconnected members converge (anti-entropy).
// Messages are sent by package peer.
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

// maxPendingSyncs limits the members that have sent a different digest and are queued for a sync.
const maxPendingSyncs = 16

// incarnationLength is the number of characters of a replica's incarnation.
const incarnationLength = 16

// Options are the settings of a Node. Their functions are called from several goroutines.
type Options struct {
	Group string   // name of the group
	Self  string   // name of this member
	Peers []string // names of the other members
	Dir   string   // directory for the persisted replica; empty: it is not persisted

	// ApplyOverride puts a worker's replicated override into effect at this dispatcher and returns its version there. It is called
	// with the Node's lock held.
	ApplyOverride func(worker string, disabled bool) (version int64)
	// SetOverride sets an override in the same way as the admin server. The note is shown to the operator.
	SetOverride func(worker string, disabled bool) (note string, err error)
	// Info describes this process to the other members and to operators. It may be nil.
	Info func() MemberInfo

	Log logrus.FieldLogger
}

// MemberInfo is a member's description of its process.
type MemberInfo struct {
	Version        string    `json:"version"`  // of the build
	SettingsDigest string    `json:"settings"` // of the platform's settings, except those that differ between dispatchers
	OperatorDigest string    `json:"operator"` // of the operator's file
	StartedAt      time.Time `json:"started"`  // by that member's clock
}

// Node runs the gossip of one member. It is safe for concurrent use, except for Attach, Detach and Close, which only its owner
// calls.
//
// A dispatcher may run as two processes during a hot restart. Only one of them owns the replica at a time, because only one can
// lock its file. The Node of the other process is idle until it is attached.
type Node struct {
	Counters Counters

	options        Options
	startedAt      time.Time
	persistTimeout time.Duration // the constant, except in tests

	mu        sync.Mutex // guards the fields below, up to transport
	session              // replaced whenever the replica is opened
	peers     map[string]peerStatus
	traffic   map[string]traffic
	transport *peer.Transport // nil: not attached

	cancel context.CancelFunc // stops the loops
	loops  sync.WaitGroup

	changed      chan struct{} // signalled after a change of the replica, which makes a round due
	pendingSyncs chan string   // members whose digests differ from this one's
}

// session is the state of a Node while it owns the replica.
type session struct {
	replica *replication.Replica // nil: another process of this dispatcher owns it

	storage                *storage                 // nil: nothing is persisted
	dirty                  map[replication.Key]bool // keys of entries to submit to the storage: changed, or not written because of an error
	submittedVersionDigest uint64                   // digest of the version vector that was last submitted to the storage
	writeFailed            bool                     // the storage has failed to write a batch since the last submission
	lastBatch              *batch                   // the batch last submitted to the storage
	persistErr             error                    // why changes may not be persisted; nil: they are

	peerVersions map[string]replication.VersionVector // by member: its version vector when last in sync
	pulls        map[string]*replication.PullProgress // by member
	syncing      map[string]bool                      // members with a running sync
	caughtUpWith map[string]bool                      // members all of whose entries this replica has
	firstContact time.Time                            // time of the first contact with any member

	localVersions    map[string]int64 // by worker: the version of this dispatcher's override that was last merged with the replica
	inherited        map[string]bool  // workers disabled at this dispatcher before the start, without an entry in the replica
	hasLocalBaseline bool             // the overrides from before the start are merged: later changes are new
}

// newSession returns the state of a Node whose replica has just been opened.
func newSession(replica *replication.Replica, opened *storage, persistErr error) session {
	return session{
		replica:                replica,
		storage:                opened,
		dirty:                  map[replication.Key]bool{},
		submittedVersionDigest: replica.Version().Digest(),
		persistErr:             persistErr,
		peerVersions:           map[string]replication.VersionVector{},
		pulls:                  map[string]*replication.PullProgress{},
		syncing:                map[string]bool{},
		caughtUpWith:           map[string]bool{},
		localVersions:          map[string]int64{},
		inherited:              map[string]bool{},
	}
}

// New opens the replica and applies its overrides, so that they are in effect before the first dispatch. If another process of this
// dispatcher owns the replica, Attach opens it later. New returns an error if the file in the directory belongs to another group or
// has another format.
func New(options Options) (*Node, error) {
	node := &Node{
		options:        options,
		startedAt:      time.Now(),
		persistTimeout: persistTimeout,
		peers:          map[string]peerStatus{},
		traffic:        map[string]traffic{},
		changed:        make(chan struct{}, 1),
		pendingSyncs:   make(chan string, maxPendingSyncs),
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if err := node.openReplicaLocked(); err != nil && !errors.Is(err, boltstore.ErrLocked) {
		return nil, err
	}
	return node, nil
}

// openReplicaLocked begins a session with the contents of the storage. Unreadable or unusable storage is logged, and the member takes
// part without it.
func (n *Node) openReplicaLocked() error {
	replica := replication.New(newIncarnation(n.options.Self))
	opened, unreadable, err := openStorage(n.options.Dir, n.options.Group, replica, n.onBatchWritten)
	if errors.Is(err, boltstore.ErrLocked) || errors.Is(err, boltstore.ErrOtherOwner) {
		return err
	}
	if unreadable != nil {
		n.options.Log.WithError(unreadable).Error("group storage unreadable, starting without stored overrides")
	}
	if err != nil {
		n.options.Log.WithError(err).Error("group storage unusable, overrides are not persisted")
	}
	n.session = newSession(replica, opened, err)
	for _, worker := range replica.Names(replication.KindOverride) {
		if n.isDisabledLocked(worker) {
			n.localVersions[worker] = n.options.ApplyOverride(worker, true)
		}
	}
	return nil
}

// newIncarnation returns the incarnation of a new replica. It is random, so that no dot of an earlier replica is reused.
func newIncarnation(self string) string {
	if failpoint.Enabled(failpoint.ReuseDots) {
		return self
	}
	return rand.Text()[:incarnationLength]
}

// Attach connects the Node to a transport that does not serve yet. It opens the replica if the Node does not own it, registers the
// handlers and starts the loops, which Detach stops.
func (n *Node) Attach(transport *peer.Transport) {
	n.mu.Lock()
	if n.replica == nil {
		if err := n.openReplicaLocked(); err != nil {
			n.options.Log.WithError(err).Error("opening the replica failed, not taking part in gossip")
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

// Detach stops the loops and closes the Node. Another process of this dispatcher may own the replica afterwards.
func (n *Node) Detach() {
	n.cancel()
	n.loops.Wait()
	n.Close()
}

// Close persists pending changes and releases the replica and its file. An attached Node must be closed by Detach.
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
	n.mu.Unlock() // unlocked before close, because the storage's goroutine may wait for the lock to report a batch
	if err := opened.close(); err != nil {
		n.options.Log.WithError(err).Warn("closing the group storage failed")
	}
}

// withReplica calls f with the lock held. It returns errNoReplica without calling f if this process does not own the replica.
func (n *Node) withReplica(f func() error) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return errNoReplica
	}
	return f()
}
