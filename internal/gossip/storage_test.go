package gossip

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"birchfork/internal/replication"
)

// storedNode writes an override to storage in dir and returns the path and contents of the file.
func storedNode(t *testing.T, dir string) (file string, raw []byte) {
	t.Helper()
	node, _ := startNode(t, "a", dir)
	setOverride(t, node, "r", true, 1)
	node.Close()
	file = filepath.Join(dir, fileName)
	raw, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return file, raw
}

// wantNotPersisted sets an override and fails the test unless its note contains wantNote.
func wantNotPersisted(t *testing.T, what string, node *Node, wantNote string) {
	t.Helper()
	if note, err := node.SetOverride("r", true, 1); err != nil || !strings.Contains(note, wantNote) {
		t.Errorf("%s: note %q, error %v; want a note with %q", what, note, err, wantNote)
	}
}

// TestNode_RejectsStorageOfAnotherGroup verifies that New returns an error for a file that another group has written.
func TestNode_RejectsStorageOfAnotherGroup(t *testing.T) {
	dir := t.TempDir()
	storedNode(t, dir)
	node, _ := startNode(t, "a", "")
	if _, err := New(Options{Group: "other", Dir: dir, Log: node.options.Log}); err == nil || !strings.Contains(err.Error(), `found format 1, group "g"; expected format 1, group "other"`) {
		t.Errorf("storage of another group: %v, want an error with both formats and groups", err)
	}
}

// TestNode_ReplacesDamagedStorage verifies that a file that is truncated or has a changed byte is replaced by an empty one or read
// correctly.
func TestNode_ReplacesDamagedStorage(t *testing.T) {
	dir := t.TempDir()
	file, raw := storedNode(t, dir)
	lost := 0
	for offset := 0; offset < len(raw); offset += 512 {
		for _, damaged := range [][]byte{raw[:offset], slices.Concat(raw[:offset], []byte{0xff}, raw[offset+1:])} {
			if err := os.WriteFile(file, damaged, 0o600); err != nil {
				t.Fatal(err)
			}
			node, dispatcher := startNode(t, "a", dir)
			if n := node.replica.Len(); n > 1 || n == 1 && !dispatcher.isDisabled("r") {
				t.Errorf("damaged at offset %d: %d entries, disabled %v; want none, or one that disables r", offset, n, dispatcher.disabled)
			} else {
				lost += 1 - n
			}
			node.Close()
		}
	}
	if lost == 0 {
		t.Error("no damaged file was replaced: the test has covered no damage")
	}
}

// TestNode_UnusableStorage verifies that each override has a note for operators while the storage is unusable. The file is not replaced,
// because it may be intact.
func TestNode_UnusableStorage(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, fileName), 0o700); err != nil {
		t.Fatal(err)
	}
	node, _ := startNode(t, "a", dir)
	wantNotPersisted(t, "a file that is a directory", node, "the override does not survive a restart of this member")
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		t.Errorf("the unusable file was replaced: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	node, _ = startNode(t, "a", file)
	wantNotPersisted(t, "a directory that is a file", node, "the override does not survive a restart of this member")
}

// TestNode_FailedWrites verifies that an override has a note for operators if its write failed, and that the write is retried.
func TestNode_FailedWrites(t *testing.T) {
	node, _ := startNode(t, "a", t.TempDir())
	node.storage.db.Close() // all further writes fail
	wantNotPersisted(t, "a failing disk", node, "the override does not survive a restart of this member: group storage: ")
	if n := node.Counters.PersistFailures.Load(); n != 1 {
		t.Errorf("%d failures counted, want 1", n)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.writeFailed || !node.dirty[replication.Key{Kind: replication.KindOverride, Name: "r"}] {
		t.Error("an entry that the storage failed to write is not submitted again")
	}
}
