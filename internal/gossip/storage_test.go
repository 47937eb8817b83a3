package gossip

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"birchfork/internal/replication"
)

// storedNode writes an override to storage in dir, and returns the file's path and content.
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

// wantNotPersisted fails the test unless a new override has a note that it is not persisted.
func wantNotPersisted(t *testing.T, what string, node *Node, wantNote string) {
	t.Helper()
	if note, err := node.SetOverride("r", true, 1); err != nil || !strings.Contains(note, wantNote) {
		t.Errorf("%s: %q, %v", what, note, err)
	}
}

// Another group's storage is an error.
func TestNode_RejectsStorageOfAnotherGroup(t *testing.T) {
	dir := t.TempDir()
	storedNode(t, dir)
	node, _ := startNode(t, "a", "")
	if _, err := New(Options{Group: "other", Dir: dir, Log: node.options.Log}); err == nil || !strings.Contains(err.Error(), `group "g", not 1, "other"`) {
		t.Errorf("another group's: %v", err)
	}
}

// A damaged file, truncated or with a byte changed, is replaced by an empty one or read correctly.
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
				t.Errorf("cut at %d: %d entries, %v", offset, n, dispatcher.disabled)
			} else {
				lost += 1 - n
			}
			node.Close()
		}
	}
	if lost == 0 {
		t.Error("no damaged file lost anything: the test is void")
	}
}

// Each override has a note for operators while the storage is unusable. The file is not replaced, as it may be intact.
func TestNode_UnusableStorage(t *testing.T) {
	dir := t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, fileName), 0o700); err != nil {
		t.Fatal(err)
	}
	node, _ := startNode(t, "a", dir)
	wantNotPersisted(t, "a file that is a directory", node, "does not keep it over a restart")
	if _, err := os.Stat(filepath.Join(dir, fileName)); err != nil {
		t.Errorf("it was replaced: %v", err)
	}
	file := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	node, _ = startNode(t, "a", file)
	wantNotPersisted(t, "a directory that is a file", node, "does not keep it over a restart")
}

// An override has a note for operators if its write failed, and the write is retried.
func TestNode_FailedWrites(t *testing.T) {
	node, _ := startNode(t, "a", t.TempDir())
	node.storage.db.Close() // all further writes fail
	wantNotPersisted(t, "a disk that fails", node, "does not keep it over a restart: the group's disk")
	if n := node.Counters.PersistFailures.Load(); n != 1 {
		t.Errorf("%d failures counted", n)
	}
	node.mu.Lock()
	defer node.mu.Unlock()
	if !node.writeFailed || !node.dirty[replication.Key{Kind: replication.KindOverride, Name: "r"}] {
		t.Error("what the storage failed to write is not handed to it again")
	}
}
