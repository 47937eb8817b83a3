package gossip

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"birchfork/internal/hotrestart"
	"birchfork/internal/peer"
	"birchfork/internal/peer/peertest"
	"birchfork/internal/replication"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDispatcher holds the overrides in effect, as a Node needs them from a dispatcher. Each applied override gets the next version.
type fakeDispatcher struct {
	mu       sync.Mutex
	disabled map[string]bool
	version  int64
}

func (d *fakeDispatcher) applyOverride(worker string, disabled bool) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	d.disabled[worker] = disabled
	return d.version
}

func (d *fakeDispatcher) isDisabled(worker string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.disabled[worker]
}

// startNode returns an unattached member of group g and its dispatcher.
func startNode(t *testing.T, name, dir string, peers ...string) (*Node, *fakeDispatcher) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	dispatcher := &fakeDispatcher{disabled: map[string]bool{}}
	node, err := New(Options{Group: "g", Self: name, Dir: dir, Peers: peers, ApplyOverride: dispatcher.applyOverride, Log: log,
		SetOverride: func(string, bool) (string, error) { return "", nil }})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node, dispatcher
}

// TestNode_RejectsPullsBeforeCatchUp verifies that a member that has just started sends no entries. Its disk may be outdated, and a member
// that has lost its own disk would pull entries from it that all others have removed.
func TestNode_RejectsPullsBeforeCatchUp(t *testing.T) {
	node, _ := startNode(t, "a", t.TempDir(), "b", "c")
	pullOnce := func() error {
		_, err := node.handlePull(context.Background(), peer.Sender{Name: "b"}, []byte("{}"))
		return err
	}
	if err := pullOnce(); !errors.Is(err, errNotCaughtUp) {
		t.Errorf("pull right after the start: %v, want errNotCaughtUp", err)
	}
	node.markCaughtUp("b")
	if node.markCaughtUp("c"); pullOnce() != nil {
		t.Errorf("pull after catching up with two others: %v, want no error", pullOnce())
	}
	clear(node.caughtUpWith)
	if node.startedAt = node.startedAt.Add(-time.Hour); !errors.Is(pullOnce(), errNotCaughtUp) {
		t.Errorf("pull without contact to any member: %v, want errNotCaughtUp", pullOnce())
	}
	if node.firstContact = time.Now().Add(-2 * catchUpTimeout); pullOnce() != nil {
		t.Errorf("pull after catchUpTimeout of contact with one other: %v, want no error", pullOnce())
	}
}

// attachAll attaches nodes to each other and returns a function that detaches them.
func attachAll(t *testing.T, nodes ...*Node) (detachAll func()) {
	t.Helper()
	names := make([]string, 0, len(nodes))
	for _, node := range nodes {
		names = append(names, node.options.Self)
	}
	transports, listeners := peertest.NewGroup(t, names...)
	for i, node := range nodes {
		node.Attach(transports[i])
		transports[i].Serve(listeners[i])
	}
	return func() {
		for i, node := range nodes {
			node.Detach()
			transports[i].Close()
		}
	}
}

// setOverride sets an override and fails the test on an error. It ignores the note.
func setOverride(t *testing.T, node *Node, worker string, disabled bool, version int64) {
	t.Helper()
	if _, err := node.SetOverride(worker, disabled, version); err != nil {
		t.Fatal(err)
	}
}

// await waits for up to 20 s until ok returns true.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("timed out after 20 s: ", what)
		}
	}
}

// newerKind and newerData are the kind and data of an entry of a newer build, which members store and forward.
const (
	newerKind = "later"
	newerData = `{"x":1}`
)

// writeNewerEntry adds an entry of newerKind to a node's replica, as a member of a newer build would.
func writeNewerEntry(t *testing.T, node *Node) {
	t.Helper()
	node.mu.Lock()
	_, err := node.replica.Write(replication.Entry{Kind: newerKind, Name: "r", Member: node.options.Self, Data: []byte(newerData)})
	node.mu.Unlock()
	if err != nil {
		t.Error(err)
	}
	node.wake()
}

// hasNewerEntry reports whether a node's replica has the entry of writeNewerEntry.
func hasNewerEntry(node *Node) bool {
	node.mu.Lock()
	defer node.mu.Unlock()
	entries := node.replica.Get(newerKind, "r")
	return len(entries) == 1 && string(entries[0].Data) == newerData
}

// countOverrides returns the number of workers with an override in a node's replica.
func countOverrides(node *Node) int {
	node.mu.Lock()
	defer node.mu.Unlock()
	return len(node.replica.Names(replication.KindOverride))
}

// TestNode_OverrideReachesAllMembers verifies that an override reaches all members and survives a restart, and that an override that
// enables the worker again is removed once all members have it.
func TestNode_OverrideReachesAllMembers(t *testing.T) {
	dir := t.TempDir()
	a, atA := startNode(t, "a", dir, "b", "c")
	b, atB := startNode(t, "b", t.TempDir(), "a", "c")
	c, atC := startNode(t, "c", "", "a", "b")
	detachAll := attachAll(t, a, b, c)
	if note, err := a.SetOverride("r", true, 1); note != "" || err != nil {
		t.Errorf("note %q, error %v; want neither", note, err)
	}
	if note, _ := c.SetOverride("q", true, 1); !strings.Contains(note, "no folder") {
		t.Errorf("note without a directory: %q, want one with \"no folder\"", note)
	}
	await(t, "all members have both overrides", func() bool {
		return atB.isDisabled("r") && atC.isDisabled("r") && atA.isDisabled("q") && atB.isDisabled("q")
	})
	writeNewerEntry(t, c)
	await(t, "the other members have the entry of an unknown kind", func() bool { return hasNewerEntry(a) && hasNewerEntry(b) })
	detachAll()
	a.Close()
	restarted, dispatcher := startNode(t, "a", dir, "b", "c")
	if !dispatcher.isDisabled("r") || !dispatcher.isDisabled("q") || !hasNewerEntry(restarted) {
		t.Errorf("after a restart: disabled %v, has the entry of an unknown kind: %t", dispatcher.disabled, hasNewerEntry(restarted))
	}
	b.mu.Lock() // reopened from its disk, to be attached again
	if err := b.openReplicaLocked(); err != nil {
		t.Fatal(err)
	}
	b.mu.Unlock()
	c2, _ := startNode(t, "c", "", "a", "b")
	detachAll = attachAll(t, restarted, b, c2)
	defer detachAll()
	setOverride(t, restarted, "r", false, 9)
	setOverride(t, restarted, "q", false, 9)
	await(t, "a member without a disk has the entry again", func() bool { return hasNewerEntry(c2) })
	await(t, "no override is left", func() bool {
		return countOverrides(restarted) == 0 && countOverrides(b) == 0 && countOverrides(c2) == 0 && !atB.isDisabled("r")
	})
	restarted.mu.Lock()
	version := restarted.replica.Version()
	restarted.mu.Unlock()
	restarted.Close()
	restored := replication.New("z")
	stored, _, err := openStorage(dir, "g", restored, nil)
	if err != nil || restored.Version().Digest() != version.Digest() {
		t.Errorf("%v; stored version %v, want %v", err, restored.Version(), version)
	}
	if err := stored.close(); err != nil {
		t.Error(err)
	}
}

// TestNode_StalledStorageBlocksOnlyItsWriter verifies that a stalled disk blocks only the operator's call that waits until its override is
// synced.
func TestNode_StalledStorageBlocksOnlyItsWriter(t *testing.T) {
	a, dispatcher := startNode(t, "a", t.TempDir())
	b, _ := startNode(t, "b", "")
	a.options.Peers, b.options.Peers, a.persistTimeout = []string{"b"}, []string{"a"}, time.Hour
	tx, err := a.storage.db.Begin(true) // blocks all other writes
	if err != nil {
		t.Fatal(err)
	}
	detachAll := attachAll(t, a, b)
	answered := make(chan string, 1)
	go func() {
		note, err := a.SetOverride("r", true, 1)
		answered <- fmt.Sprint(note, err)
	}()
	if _, err := b.SetOverride("q", true, 1); err != nil {
		t.Fatal(err)
	}
	await(t, "the other member's override is in effect", func() bool { return dispatcher.isDisabled("q") })
	a.MergeLocalOverrides(nil)
	a.CaughtUp()
	select {
	case reply := <-answered:
		t.Fatalf("answered before the override was synced: %s", reply)
	default:
	}
	if err := tx.Rollback(); err != nil {
		t.Fatal(err)
	}
	if reply := <-answered; reply != "<nil>" {
		t.Errorf("note and error %s, want no note and <nil>", reply)
	}
	detachAll()
}

// TestNode_RemovalsNeedEqualVersions verifies that a member with another version vector gets no removals, because a removed entry may have
// been replaced by one that it lacks.
func TestNode_RemovalsNeedEqualVersions(t *testing.T) {
	node, _ := startNode(t, "a", "")
	setOverride(t, node, "r", true, 1)
	old := node.replica.Get(replication.KindOverride, "r")[0].Dot
	setOverride(t, node, "r", false, 2)
	for versionDigest, want := range map[uint64]bool{node.replica.Version().Digest(): true, replication.VersionVector{old.Incarnation: 1}.Digest(): false} {
		body, err := json.Marshal(removals{versionDigest, []replication.Dot{old}})
		if err != nil {
			t.Fatal(err)
		}
		out, err := node.handleRemovals(context.Background(), peer.Sender{Name: "b"}, body)
		if removed := strings.Contains(string(out), old.Incarnation); removed != want || (err == nil) != want {
			t.Errorf("%s, %v; want the removal: %t", out, err, want)
		}
	}
}

// TestNode_OverrideEndsConflict verifies that an override resolves a conflict, even if the override is already in effect.
func TestNode_OverrideEndsConflict(t *testing.T) {
	node, _ := startNode(t, "a", "")
	other := replication.New("other")
	if _, err := other.Write(replication.Entry{Kind: replication.KindOverride, Name: "r", Member: "b"}); err != nil {
		t.Fatal(err)
	}
	setOverride(t, node, "r", true, 1)
	if _, err := node.replica.Merge(&replication.PullProgress{}, other.NextChunk(nil, replication.Cursor{}, 9)); err != nil {
		t.Fatal(err)
	}
	if reply := node.statusLocked(); len(reply.Overrides) != 1 || !reply.Overrides[0].Conflict || !reply.Overrides[0].Disabled {
		t.Errorf("overrides after concurrent writes: %+v, want one, disabled and in conflict", reply.Overrides)
	}
	setOverride(t, node, "r", true, 2)
	if reply := node.statusLocked(); len(reply.Overrides[0].Writes) != 1 || reply.Overrides[0].Conflict || !reply.Overrides[0].Disabled {
		t.Errorf("overrides after a new write: %+v, want one write, disabled and without a conflict", reply.Overrides)
	}
}

// TestNode_MergesLocalOverrides verifies that new overrides of this dispatcher's other processes are replicated. Overrides from before the
// start are replicated only if the replica has no entry for the worker, once this member has caught up.
func TestNode_MergesLocalOverrides(t *testing.T) {
	node, dispatcher := startNode(t, "a", "", "b")
	if _, err := node.replica.Write(replication.Entry{Kind: replication.KindOverride, Name: "known", Disabled: true, Member: "b"}); err != nil {
		t.Fatal(err)
	}
	overrides := hotrestart.Overrides{"known": {Disabled: false, At: 3}, "lost": {Disabled: true, At: 3}, "back": {Disabled: false, At: 3}}
	node.MergeLocalOverrides(overrides)
	if !dispatcher.isDisabled("known") || node.replica.Len() != 1 {
		t.Errorf("known is disabled: %t, with %d entries; want true, 1", dispatcher.isDisabled("known"), node.replica.Len())
	}
	if _, applied := dispatcher.disabled["lost"]; applied || !node.inherited["lost"] {
		t.Errorf("an inherited override was applied or replicated before catch-up: %v", dispatcher.disabled)
	}
	if node.CaughtUp() {
		t.Error("caught up without contact")
	}
	node.startedAt = node.startedAt.Add(-2 * catchUpTimeout)
	if !node.CaughtUp() {
		t.Error("not caught up after the timeout")
	}
	overrides["known"] = hotrestart.Override{Disabled: true, At: node.localVersions["known"]}
	node.MergeLocalOverrides(overrides)
	if node.replica.Len() != 2 || !node.isDisabledLocked("lost") {
		t.Errorf("%d entries, lost is disabled: %t; want 2, true", node.replica.Len(), node.isDisabledLocked("lost"))
	}
	overrides["lost"] = hotrestart.Override{Disabled: false, At: overrides["lost"].At} // as read from a file that is not yet updated
	node.MergeLocalOverrides(overrides)
	if !node.isDisabledLocked("lost") {
		t.Error("an old override was replicated again")
	}
	overrides["known"] = hotrestart.Override{Disabled: false, At: 99} // set at another process of this dispatcher
	node.MergeLocalOverrides(overrides)
	node.MergeLocalOverrides(overrides)
	if entries := node.replica.Get(replication.KindOverride, "known"); len(entries) != 1 || entries[0].Disabled || !entries[0].CausalContext.Contains(replication.Dot{Incarnation: entries[0].Incarnation, Counter: 1}) {
		t.Errorf("entries of known: %+v, want one that enables it and replaces the first", entries)
	}
}

// TestNode_RejectsMalformedMessages verifies that malformed messages are rejected and counted, and that no part of them is merged.
func TestNode_RejectsMalformedMessages(t *testing.T) {
	node, _ := startNode(t, "a", "", "b")
	long := strings.Repeat("x", replication.MaxNameLength+1)
	for _, body := range []string{"", "{", "[]", `{"seen":"x"}`, `{"seen":-1}`} {
		for _, handler := range []peer.Handler{node.handleDigest, node.handlePull, node.handleRemovals} {
			if out, err := handler(context.Background(), peer.Sender{Name: "b"}, []byte(body)); err == nil && len(out) > 4096 {
				t.Errorf("malformed message %q has a reply of %d bytes", body, len(out))
			}
		}
	}
	if n := node.Counters.Rejected.Load(); n < 10 {
		t.Errorf("%d rejections counted, want at least 10", n)
	}
	valid := replication.Entry{Kind: replication.KindOverride, Name: "r", Dot: replication.Dot{Incarnation: "l", Counter: 1}}
	for what, change := range map[string]func(*replication.Chunk){
		"kind":           func(chunk *replication.Chunk) { chunk.Entries[1].Kind = "" },
		"length of kind": func(chunk *replication.Chunk) { chunk.Entries[1].Kind = replication.EntryKind(long) },
		"data":           func(chunk *replication.Chunk) { chunk.Entries[1].Data = []byte(strings.Repeat("1", 2000)) },
		"zero byte":      func(chunk *replication.Chunk) { chunk.Entries[1].Name = "a\x00b" },
		"name":           func(chunk *replication.Chunk) { chunk.Entries[1].Name = long },
		"empty name":     func(chunk *replication.Chunk) { chunk.Entries[1].Name = "" },
		"counter":        func(chunk *replication.Chunk) { chunk.Entries[1].Counter = 0 },
		"incarnation":    func(chunk *replication.Chunk) { chunk.Incarnation = "" },
		"member":         func(chunk *replication.Chunk) { chunk.Entries[1].Member = long },
		"start cursor":   func(chunk *replication.Chunk) { chunk.From.Name = "z" },
	} {
		chunk := replication.Chunk{Incarnation: "l", Entries: []replication.Entry{valid, valid}, Done: true}
		change(&chunk)
		if _, err := node.replica.Merge(&replication.PullProgress{}, chunk); err == nil || node.replica.Len() > 0 {
			t.Errorf("chunk with invalid %s: error %v, %d entries", what, err, node.replica.Len())
		}
	}
	if _, err := node.replica.Write(replication.Entry{Kind: replication.KindOverride, Name: long}); err == nil {
		t.Error("a name that is too long was written")
	}
}
