// Package gossip carries one member's copy of what is replicated to the others of its group, and keeps it on disk. What copies come
// to stands in internal/replication; how messages travel in internal/peer.
package gossip

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	randv2 "math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/boltstore"
	"birchfork/internal/failpoint"
	"birchfork/internal/hotrestart"
	"birchfork/internal/peer"
	"birchfork/internal/replication"
)

// Times and bounds of a member.
const (
	roundInterval      = time.Second     // between rounds while nothing is new
	requestTimeout     = time.Second     // for a member's answer
	persistTimeout     = 3 * time.Second // for the disk to take a word: then staff hear that it has not yet
	fanout             = 3               // members that news goes to at once
	maxChunkEntries    = 200             // entries of a piece, some 40 kB
	maxConcurrentPulls = 4               // members that are asked at a time
	catchUpTimeout     = 2 * time.Second // a start waits for the others' words no longer than that
	catchUpPeers       = 2               // ... or until so many have told all they had
)

// The paths of the links.
const (
	digestPath    = "/group/copies/hello"
	pullPath      = "/group/copies/pull"
	removalsPath  = "/group/copies/gone"
	OverridesPath = "/group/words"
)

// Options is all that a Spread is made of.
type Options struct {
	Group, Self string
	Dir         string   // empty: nothing is kept over a restart
	Peers       []string // the other members
	// Changed puts what staff's words on a runner come to now in force at this dispatcher, and returns which word that was there.
	ApplyOverride func(runner string, out bool) int64
	// Say says a word as the operators' door does.
	SetOverride func(runner string, out bool) (note string, err error)
	Info        func() MemberInfo // this process, for the others and staff; nil: nothing is told
	Log         logrus.FieldLogger
}

// MemberInfo is what members tell of themselves, to be seen side by side.
type MemberInfo struct {
	Version        string    `json:"version"`
	SettingsDigest string    `json:"settings"` // a digest of the platform's, but for what is each dispatcher's own
	OperatorDigest string    `json:"operator"` // ... of the operator's file
	StartedAt      time.Time `json:"started"`  // by that member's clock
}

// peerStatus is what another member told last.
type peerStatus struct {
	info                           MemberInfo
	lastContact, lastInSync        time.Time // of its last word, and of the last one by which it had the same as we; zero: never
	observedEntries, storedEntries int       // entries that it has seen, and has
}

// traffic counts what has gone to a member and come from it.
type traffic struct{ messages, bytesOut, bytesIn int64 }

// Counters count what passes.
type Counters struct {
	Rounds, Chunks, Merged, Removed, Rejected, PersistFailures atomic.Int64
}

// Node is one member's part, until Close.
type Node struct {
	Counters Counters

	options   Options
	startedAt time.Time

	persistTimeout time.Duration // syncWait, but in tests

	mu            sync.Mutex
	replica       *replication.Replica // nil: another process of this dispatcher has it
	storage       *storage
	dirty         map[replication.Key]bool // what the disk was not given, or did not take
	submittedSum  uint64                   // what was seen, as the disk was given it
	writeFailed   bool                     // it did not take that
	lastBatch     *batch                   // that it was given
	persistErr    error                    // why the disk may not have them
	peerVersions  map[string]replication.VersionVector
	pulls         map[string]*replication.PullProgress
	syncing       map[string]bool
	caughtUpWith  map[string]bool // members that have told all they had
	firstContact  time.Time       // when another member was first heard of by this copy
	peers         map[string]peerStatus
	traffic       map[string]traffic
	localVersions map[string]int64 // words of this dispatcher's processes that are in the copy, or were before it
	inherited     map[string]bool  // runners that were out before, of which the copy knew nothing
	localBaseline bool             // words from before are told apart from new ones

	transport *peer.Transport // nil: this process has no place in the group
	cancel    context.CancelFunc
	done      chan struct{}
	changed   chan struct{}
	contacts  chan string
}

// New reads the disk, so that what it has binds before anything is sent. Where another process of this dispatcher has it that one
// is to tell, until it leaves.
func New(options Options) (*Node, error) {
	node := &Node{options: options, startedAt: time.Now(), persistTimeout: persistTimeout, peers: map[string]peerStatus{}, traffic: map[string]traffic{}, changed: make(chan struct{}, 1), contacts: make(chan string, 16)}
	node.mu.Lock()
	defer node.mu.Unlock()
	if err := node.openReplica(); err != nil && !errors.Is(err, boltstore.ErrLocked) {
		return nil, err
	}
	return node, nil
}

// openReplica begins a copy by what the disk has. The lock is held.
func (n *Node) openReplica() error {
	incarnation := rand.Text()[:16] // of its own: no count of it was ever used
	if failpoint.Enabled(failpoint.ReuseDots) {
		incarnation = n.options.Self
	}
	c := replication.New(incarnation)
	d, unreadable, err := openStorage(n.options.Dir, n.options.Group, c, n.onBatchWritten)
	if errors.Is(err, boltstore.ErrLocked) || errors.Is(err, boltstore.ErrForeign) {
		return err
	}
	if unreadable != nil {
		n.options.Log.WithError(unreadable).Error("the words that this member kept cannot be read; the others' are taken")
	}
	if n.persistErr = nil; err != nil {
		n.persistErr = err
		n.options.Log.WithError(err).Error("the group's folder cannot be used: words are not kept over a restart of this member")
	}
	n.replica, n.storage, n.dirty, n.submittedSum, n.writeFailed = c, d, map[replication.Key]bool{}, c.Version().Digest(), false
	n.lastBatch = nil
	n.peerVersions, n.pulls, n.syncing, n.caughtUpWith = map[string]replication.VersionVector{}, map[string]*replication.PullProgress{}, map[string]bool{}, map[string]bool{}
	n.firstContact = time.Time{}
	n.localVersions, n.inherited, n.localBaseline = map[string]int64{}, map[string]bool{}, false
	for _, name := range c.Names(replication.KindOverride) {
		if out := n.isDisabled(name); out {
			n.localVersions[name] = n.options.ApplyOverride(name, out)
		}
	}
	return nil
}

// isDisabled is what staff's words on a runner come to. The lock is held.
func (n *Node) isDisabled(name string) bool {
	return replication.IsDisabled(n.replica.Get(replication.KindOverride, name))
}

// Attach takes part by the links of a place in the group, before they serve.
func (n *Node) Attach(transport *peer.Transport) {
	n.mu.Lock()
	if n.replica == nil {
		if err := n.openReplica(); err != nil {
			n.options.Log.WithError(err).Error("this member takes no part in what is replicated")
		}
	}
	n.transport = transport
	n.mu.Unlock()
	transport.Handle(digestPath, n.handleDigest)
	transport.Handle(pullPath, n.handlePull)
	transport.Handle(removalsPath, n.handleRemovals)
	transport.HandleOperator(OverridesPath, n.handleOperatorCall)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel, n.done = cancel, make(chan struct{})
	go n.loop(ctx, n.done)
}

// Detach gives the place up: another process of this dispatcher has the copy from then on.
func (n *Node) Detach() {
	n.cancel()
	<-n.done
	n.Close()
}

// Close ends this member's part, after Leave if it has a place: it lets go of copy and disk.
func (n *Node) Close() {
	n.mu.Lock()
	n.transport = nil
	if n.replica == nil {
		n.mu.Unlock()
		return
	}
	n.persist()
	d := n.storage
	n.replica, n.storage = nil, nil
	n.mu.Unlock() // the disk's loop may want it
	if err := d.close(); err != nil {
		n.options.Log.WithError(err).Warn("the group's words were not closed in order")
	}
}

// persist has the disk write what it may not have; it is tried again with each round. The lock is held.
func (n *Node) persist() {
	sum := n.replica.Version().Digest()
	if failpoint.Enabled(failpoint.AnswerBeforeSync) && time.Since(n.startedAt) < 8*time.Second {
		return
	}
	if len(n.dirty) == 0 && sum == n.submittedSum && !n.writeFailed || n.storage == nil {
		return
	}
	b, err := n.storage.enqueue(n.replica, n.dirty)
	if err != nil {
		n.persistFailed(err)
		return
	}
	n.dirty, n.submittedSum, n.writeFailed, n.lastBatch = map[replication.Key]bool{}, sum, false, b
}

// onBatchWritten hears what became of a batch: what the disk did not take it is given again.
func (n *Node) onBatchWritten(d *storage, b *batch) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.storage != d: // it is closed just now
	case b.err == nil:
		n.persistErr = nil
	default:
		n.writeFailed = true
		for ref := range b.entries {
			n.dirty[ref] = true
		}
		n.persistFailed(b.err)
	}
}

// persistFailed notes that words are not kept. The lock is held.
func (n *Node) persistFailed(err error) {
	n.Counters.PersistFailures.Add(1)
	if n.persistErr == nil {
		n.options.Log.WithError(err).Error("words are not kept on this member's disk; it is tried again")
	}
	n.persistErr = err
}

// SetOverride takes a word of staff that is in force here already, as the given word of this dispatcher's processes, and syncs it. The
// note is for staff: what they should know beside that it was taken.
func (n *Node) SetOverride(worker string, disabled bool, version int64) (note string, err error) {
	n.mu.Lock()
	if n.replica == nil {
		n.mu.Unlock()
		return "", nil // the process that has the copy hears it from this one's
	}
	err = n.setOverride(worker, disabled, version)
	b, persistErr := n.lastBatch, n.persistErr
	if n.storage == nil && persistErr == nil {
		persistErr = errNoDir
	}
	n.mu.Unlock()
	if err != nil {
		return "", err
	}
	if b != nil {
		select {
		case <-b.done:
			persistErr = b.err
		case <-time.After(n.persistTimeout):
			persistErr = errPersistTimeout
		}
	}
	if persistErr != nil {
		note = fmt.Sprintf("this member does not keep it over a restart: %v", persistErr)
	}
	return note, nil
}

// setOverride takes a word and hands it to the disk. The lock is held.
func (n *Node) setOverride(worker string, disabled bool, version int64) error {
	n.localVersions[worker] = version
	delete(n.inherited, worker)
	entries := n.replica.Get(replication.KindOverride, worker)
	if replication.IsDisabled(entries) != disabled || replication.InConflict(entries) || disabled && len(entries) == 0 {
		if _, err := n.replica.Write(replication.Entry{Kind: replication.KindOverride, Name: worker, Disabled: disabled, Member: n.options.Self, WrittenAt: time.Now().Add(failpoint.ClockOffset(n.options.Self)).UnixMilli()}); err != nil {
			return fmt.Errorf("it binds here alone: %w", err)
		}
		n.dirty[replication.Key{Kind: replication.KindOverride, Name: worker}] = true
		if failpoint.Enabled(failpoint.NewerEntries) {
			e, err := n.replica.Write(replication.Entry{Kind: "later", Name: worker, Member: n.options.Self, Data: []byte(`{"of":"a newer build"}`)})
			if err != nil {
				return err
			}
			n.dirty[replication.Key{Kind: e.Kind, Name: e.Name}] = true
		}
	}
	n.persist()
	n.wake()
	return nil
}

func (n *Node) wake() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// MergeLocalOverrides hears all words of this dispatcher's processes, now and then: what another one was told goes into the copy. Those from
// before count where the copy knows nothing of a runner, once the others had time to tell.
func (n *Node) MergeLocalOverrides(overrides hotrestart.Overrides) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return
	}
	for _, worker := range slices.Sorted(maps.Keys(overrides)) {
		override := overrides[worker]
		if n.localVersions[worker] == override.At {
			continue
		}
		n.localVersions[worker] = override.At
		entries := n.replica.Get(replication.KindOverride, worker)
		switch {
		case n.localBaseline:
			if replication.IsDisabled(entries) != override.Disabled {
				n.setOverride(worker, override.Disabled, override.At)
			}
		case len(entries) == 0 && override.Disabled:
			n.inherited[worker] = true
		case replication.IsDisabled(entries) != override.Disabled:
			n.localVersions[worker] = n.options.ApplyOverride(worker, !override.Disabled)
		}
	}
	n.localBaseline = true
	if len(n.inherited) > 0 && n.isCaughtUp() {
		for _, worker := range slices.Sorted(maps.Keys(n.inherited)) {
			if len(n.replica.Get(replication.KindOverride, worker)) == 0 {
				n.setOverride(worker, true, n.localVersions[worker])
			}
		}
		clear(n.inherited)
	}
}

// CaughtUp tells whether this member has what others had at its start, or has waited for it long enough.
func (n *Node) CaughtUp() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.replica == nil || n.isCaughtUp()
}

func (n *Node) isCaughtUp() bool {
	return n.caughtUpWithEnough() || time.Since(n.startedAt) > catchUpTimeout
}

// caughtUpWithEnough tells whether enough others have told all they had. The lock is held.
func (n *Node) caughtUpWithEnough() bool {
	return len(n.caughtUpWith) >= min(catchUpPeers, len(n.options.Peers))
}

// applyChanges has what may mean something else now be in force and on disk. The lock is held.
func (n *Node) applyChanges(changed []replication.Key) {
	for _, ref := range changed {
		if n.dirty[ref] = true; ref.Kind != replication.KindOverride { // of a newer build: passed on alone
			continue
		}
		delete(n.inherited, ref.Name)
		n.localVersions[ref.Name] = n.options.ApplyOverride(ref.Name, n.isDisabled(ref.Name))
	}
	n.persist()
	if len(changed) > 0 {
		n.wake()
	}
}

// loop meets other members, round by round.
func (n *Node) loop(ctx context.Context, done chan struct{}) {
	defer close(done)
	var syncs sync.WaitGroup
	defer syncs.Wait()
	slots := make(chan struct{}, maxConcurrentPulls)
	startSync := func(name string) {
		n.mu.Lock()
		free := n.replica != nil && !n.syncing[name]
		if free {
			n.syncing[name] = true
		}
		n.mu.Unlock()
		if !free || failpoint.Enabled(failpoint.NoOverrideExchange) {
			return
		}
		syncs.Go(func() {
			defer func() {
				n.mu.Lock()
				delete(n.syncing, name)
				n.mu.Unlock()
			}()
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
			case <-ctx.Done():
				return
			}
			if err := n.syncWith(ctx, name); err != nil {
				n.options.Log.WithError(err).WithField("member", name).Debug("a member's words could not be taken")
			}
		})
	}
	for first := true; ctx.Err() == nil; first = false {
		targets := 1
		if !first {
			select {
			case <-ctx.Done():
				return
			case <-time.After(roundInterval/2 + randv2.N(roundInterval)):
			case <-n.changed:
				targets = fanout
			case name := <-n.contacts:
				startSync(name)
				continue
			}
		} else {
			targets = fanout
		}
		n.Counters.Rounds.Add(1)
		for _, i := range randv2.Perm(len(n.options.Peers))[:min(targets, len(n.options.Peers))] {
			startSync(n.options.Peers[i])
		}
		n.forgetTombstones()
	}
}

// forgetTombstones lets go of words "back" that all members have.
func (n *Node) forgetTombstones() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return
	}
	var members []replication.VersionVector
	for _, name := range n.options.Peers {
		version, ok := n.peerVersions[name]
		if !ok {
			n.persist()
			return
		}
		members = append(members, version)
	}
	for _, ref := range n.replica.CollectGarbage(members) {
		n.dirty[ref] = true
	}
	n.persist()
}

// digest is what a copy is like, in short.
type digest struct {
	VersionSum      uint64     `json:"seen"`
	EntrySum        uint64     `json:"sum"`
	BucketSums      []uint64   `json:"sums,omitempty"` // by bucket, where the same was seen and not the same is there
	ObservedEntries int        `json:"count"`          // entries that were seen, those that are gone too
	StoredEntries   int        `json:"held"`
	Info            MemberInfo `json:"about,omitzero"`
}

// localDigest is ours. The lock is held.
func (n *Node) localDigest() digest {
	versionVector := n.replica.Version()
	ours := digest{VersionSum: versionVector.Digest(), EntrySum: n.replica.Digest(), ObservedEntries: versionVector.Total(), StoredEntries: n.replica.Len()}
	if n.options.Info != nil {
		ours.Info = n.options.Info()
	}
	return ours
}

// recordContact notes another member's. The lock is held.
func (n *Node) recordContact(name string, theirs *digest, inSync bool) {
	if n.firstContact.IsZero() {
		n.firstContact = time.Now()
	}
	m := n.peers[name]
	m.info, m.lastContact, m.observedEntries, m.storedEntries = theirs.Info, time.Now(), theirs.ObservedEntries, theirs.StoredEntries
	if inSync {
		m.lastInSync = m.lastContact
	}
	n.peers[name] = m
}

type pullRequest struct {
	VersionVector replication.VersionVector `json:"seen"`
	After         replication.Cursor        `json:"from"`
}

type removals struct {
	VersionSum uint64            `json:"seen"`
	Dots       []replication.Dot `json:"dots"`
}

var (
	errNoReplica   = &peer.RejectedError{Reason: "this process has no copy"}
	errNotCaughtUp = &peer.RejectedError{Reason: "this process has just started: it has to hear of others first what its disk is worth"}
)

// syncWith takes all that a member has and we have not, and lets go of what it has seen go.
func (n *Node) syncWith(ctx context.Context, name string) error {
	for attempt := 0; ; attempt++ {
		n.mu.Lock()
		if n.replica == nil {
			n.mu.Unlock()
			return errNoReplica
		}
		ours, versionVector := n.localDigest(), n.replica.Version()
		n.mu.Unlock()
		var theirs digest
		if err := n.request(ctx, name, digestPath, ours, &theirs); err != nil {
			return err
		}
		n.mu.Lock()
		n.recordContact(name, &theirs, theirs.VersionSum == ours.VersionSum && theirs.EntrySum == ours.EntrySum)
		n.mu.Unlock()
		switch {
		case theirs.VersionSum == ours.VersionSum && theirs.EntrySum == ours.EntrySum:
			n.mu.Lock()
			n.peerVersions[name], n.caughtUpWith[name] = versionVector, true
			n.mu.Unlock()
			return nil
		case theirs.VersionSum == ours.VersionSum && len(theirs.BucketSums) > 0:
			if err := n.fetchRemovals(ctx, name, ours, theirs); err != nil {
				return err
			}
			n.markCaughtUp(name)
		default:
			if err := n.pullFrom(ctx, name); err != nil {
				return err
			}
			if attempt > 0 { // what it has seen go is gone here too
				n.markCaughtUp(name)
			}
		}
		if attempt > 0 { // the rest is the next round's
			return nil
		}
	}
}

func (n *Node) markCaughtUp(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica != nil {
		n.caughtUpWith[name] = true
	}
}

// pullFrom takes pieces up to the last one; what is cut off goes on there.
func (n *Node) pullFrom(ctx context.Context, name string) error {
	for {
		n.mu.Lock()
		if n.replica == nil {
			n.mu.Unlock()
			return errNoReplica
		}
		p := n.pulls[name]
		if p == nil {
			p = &replication.PullProgress{}
			n.pulls[name] = p
			if failpoint.Enabled(failpoint.OverwriteReplica) {
				n.replica = replication.New(rand.Text()[:16])
			}
		}
		req := pullRequest{n.replica.Version(), p.Cursor}
		n.mu.Unlock()
		var piece replication.Chunk
		if err := n.request(ctx, name, pullPath, req, &piece); err != nil {
			return err
		}
		n.mu.Lock()
		if n.replica == nil {
			n.mu.Unlock()
			return errNoReplica
		}
		changed, err := n.replica.Merge(p, piece)
		if err != nil {
			n.Counters.Rejected.Add(1)
			delete(n.pulls, name)
			n.mu.Unlock()
			return err
		}
		n.Counters.Chunks.Add(1)
		n.Counters.Merged.Add(int64(len(changed)))
		n.applyChanges(changed)
		n.mu.Unlock()
		if piece.Done {
			return nil
		}
	}
}

// fetchRemovals lets go of entries that a member has seen go, where both have seen the same.
func (n *Node) fetchRemovals(ctx context.Context, name string, ours, theirs digest) error {
	n.mu.Lock()
	if n.replica == nil {
		n.mu.Unlock()
		return errNoReplica
	}
	req := removals{ours.VersionSum, n.replica.DotsInBuckets(n.replica.DifferingBuckets(theirs.BucketSums))}
	n.mu.Unlock()
	var out removals
	if err := n.request(ctx, name, removalsPath, req, &out); err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.replica == nil {
		return errNoReplica
	}
	changed := n.replica.Discard(out.Dots)
	n.Counters.Removed.Add(int64(len(changed)))
	n.applyChanges(changed)
	return nil
}

func (n *Node) request(ctx context.Context, to, path string, in, into any) error {
	n.mu.Lock()
	l := n.transport
	n.mu.Unlock()
	if l == nil {
		return errNoReplica
	}
	raw, err := json.Marshal(in)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	out := len(raw)
	raw, err = l.Request(ctx, to, path, raw)
	n.mu.Lock()
	p := n.traffic[to]
	n.traffic[to] = traffic{p.messages + 1, p.bytesOut + int64(out), p.bytesIn + int64(len(raw))}
	n.mu.Unlock()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%s of %s: %w", path, to, err)
	}
	return nil
}

// handle reads a member's message and answers it, under the lock.
func handle[In, Out any](s *Node, body []byte, do func(*In) (Out, error)) ([]byte, error) {
	var in In
	if err := json.Unmarshal(body, &in); err != nil {
		s.Counters.Rejected.Add(1)
		return nil, &peer.RejectedError{Reason: "no message about copies: " + err.Error()}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.replica == nil {
		return nil, errNoReplica
	}
	out, err := do(&in)
	if err != nil {
		return nil, err
	}
	return json.Marshal(out)
}

func (n *Node) handleDigest(_ context.Context, from peer.Sender, body []byte) ([]byte, error) {
	return handle(n, body, func(its *digest) (digest, error) {
		is := n.localDigest()
		n.recordContact(from.Name, its, its.VersionSum == is.VersionSum && its.EntrySum == is.EntrySum)
		if its.VersionSum == is.VersionSum && its.EntrySum == is.EntrySum {
			n.peerVersions[from.Name] = n.replica.Version()
			return is, nil
		}
		if its.VersionSum == is.VersionSum {
			is.BucketSums = n.replica.BucketDigests()
		}
		select {
		case n.contacts <- from.Name: // it may have what we have not
		default:
		}
		return is, nil
	})
}

func (n *Node) handlePull(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return handle(n, body, func(p *pullRequest) (replication.Chunk, error) {
		// Guards against a disk of before: one that has lost its own would take from it what all others have forgotten.
		if n.caughtUpWithEnough() || !n.firstContact.IsZero() && time.Since(n.firstContact) > catchUpTimeout {
			return n.replica.NextChunk(p.VersionVector, p.After, maxChunkEntries), nil
		}
		return replication.Chunk{}, errNotCaughtUp
	})
}

func (n *Node) handleRemovals(_ context.Context, _ peer.Sender, body []byte) ([]byte, error) {
	return handle(n, body, func(g *removals) (removals, error) {
		// Guards against one that has seen less: what we let go of may be replaced by what it has not.
		if g.VersionSum != n.replica.Version().Digest() {
			return removals{}, &peer.RejectedError{Reason: "not the same was seen here"}
		}
		return removals{g.VersionSum, n.replica.Removed(g.Dots)}, nil
	})
}
