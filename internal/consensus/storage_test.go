package consensus

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"birchfork/internal/boltstore"
)

var testIdentity = Identity{Group: "g", Name: "a", Incarnation: "first", RaftID: 7}

// storedPosition is the position of the file that newStorageDir writes.
var storedPosition = Position{Term: 3, LastIndex: 4, LastTerm: 3}

// newStorageDir returns a directory with a storage file that contains a vote and three entries, and the file's bytes.
func newStorageDir(t *testing.T) (dir string, raw []byte) {
	t.Helper()
	dir = t.TempDir()
	storage, err := OpenStorage(dir, testIdentity)
	if err != nil {
		t.Fatal(err)
	}
	if err := Bootstrap(storage, "f", []byte("state")); err != nil {
		t.Fatal(err)
	}
	var entries []*raftpb.Entry
	for i := uint64(2); i < 5; i++ {
		entries = append(entries, &raftpb.Entry{Index: proto.Uint64(i), Term: proto.Uint64(3), Data: bytes.Repeat([]byte{byte(i)}, 40)})
	}
	if err := storage.save(&raftpb.HardState{Term: proto.Uint64(3), Vote: proto.Uint64(9), Commit: proto.Uint64(4)}, entries, nil); err != nil {
		t.Fatal(err)
	}
	if err := storage.Close(); err != nil {
		t.Fatal(err)
	}
	if raw, err = os.ReadFile(filepath.Join(dir, storageFile)); err != nil {
		t.Fatal(err)
	}
	return dir, raw
}

// TestStorage_BelongsToOneMember verifies that a file keeps its first incarnation, that only one process can open it, and that a file of
// another group or member is rejected and not changed.
func TestStorage_BelongsToOneMember(t *testing.T) {
	dir, raw := newStorageDir(t)
	storage, err := OpenStorage(dir, Identity{Group: "g", Name: "a", Incarnation: "second", RaftID: 8})
	if err != nil {
		t.Fatal(err)
	}
	hardState, _, _ := storage.memory.InitialState()
	if identity := storage.Identity(); identity.Incarnation != "first" || identity.ClusterID != "f" {
		t.Errorf(`identity %+v, want incarnation "first" and cluster ID "f"`, identity)
	}
	if storage.Position() != storedPosition || hardState.GetVote() != 9 || storage.IsEmpty() {
		t.Errorf("position %+v, hard state %v, empty %t, want %+v, vote 9, not empty", storage.Position(), hardState, storage.IsEmpty(), storedPosition)
	}
	if _, err := OpenStorage(dir, testIdentity); !errors.Is(err, boltstore.ErrLocked) {
		t.Errorf("opening a file that is open already: got error %v, want ErrLocked", err)
	}
	mustClose(t, storage)
	for _, other := range []Identity{{Group: "h", Name: "a"}, {Group: "g", Name: "b"}} {
		if _, err := OpenStorage(dir, other); !errors.Is(err, boltstore.ErrOtherOwner) {
			t.Errorf("opening the file as %+v: got error %v, want ErrOtherOwner", other, err)
		}
	}
	if now, _ := os.ReadFile(filepath.Join(dir, storageFile)); !bytes.Equal(now, raw) {
		t.Error("the rejected file was changed")
	}
}

// corruptFileOutcomes counts the outcomes of opening corrupt files.
type corruptFileOutcomes struct {
	readInFull int
	setAside   int // a new incarnation began
}

// TestStorage_CorruptFileBeginsNewIncarnation verifies that a file that is truncated or has a flipped bit is either read in full or set
// aside for a new incarnation. With only part of its state, the member could vote twice in a term.
func TestStorage_CorruptFileBeginsNewIncarnation(t *testing.T) {
	_, raw := newStorageDir(t)
	var outcomes corruptFileOutcomes
	for n := 0; n < len(raw); n += 509 {
		outcomes.try(t, fmt.Sprintf("truncated at %d", n), raw[:n])
	}
	flip := func(n int) {
		flipped := bytes.Clone(raw)
		flipped[n] ^= 4
		outcomes.try(t, fmt.Sprintf("bit flipped at %d", n), flipped)
	}
	for n := 3; n < len(raw); n += 211 {
		flip(n)
	}
	entry := bytes.Repeat([]byte{3}, 40) // data of one entry; the file may contain several copies
	for at := bytes.Index(raw, entry); at >= 0; {
		flip(at + 7)
		next := bytes.Index(raw[at+len(entry):], entry)
		if next < 0 {
			break
		}
		at += len(entry) + next
	}
	if outcomes.readInFull == 0 || outcomes.setAside == 0 {
		t.Errorf("%d files read in full, %d set aside, want at least one of each", outcomes.readInFull, outcomes.setAside)
	}
}

// try opens a storage file with the given content, and counts the outcome.
func (c *corruptFileOutcomes) try(t *testing.T, what string, raw []byte) {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, storageFile), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	storage, err := OpenStorage(dir, Identity{Group: "g", Name: "a", Incarnation: "second", RaftID: 8})
	switch {
	case errors.Is(err, boltstore.ErrOtherOwner): // the flipped bit is in the identity
		return
	case err != nil:
		t.Errorf("%s: %v", what, err)
		return
	}
	defer mustClose(t, storage)
	hardState, _, _ := storage.memory.InitialState()
	incarnation, position := storage.Identity().Incarnation, storage.Position()
	switch {
	case incarnation == "first" && position == storedPosition && hardState.GetVote() == 9 && entriesAreComplete(storage):
		c.readInFull++
	case incarnation == "second" && storage.IsEmpty():
		c.setAside++
	case incarnation == "first" && position.LastIndex < storedPosition.LastIndex: // an older complete state: bbolt used its other meta page
	default:
		t.Errorf("%s: neither read in full nor set aside: %+v, position %+v, hard state %v", what, storage.Identity(), position, hardState)
	}
}

// entriesAreComplete reports whether the storage has all entries of the file that newStorageDir writes.
func entriesAreComplete(storage *Storage) bool {
	entries, err := storage.memory.Entries(2, 5, 1<<20)
	for i, entry := range entries {
		if !bytes.Equal(entry.GetData(), bytes.Repeat([]byte{byte(2 + i)}, 40)) {
			return false
		}
	}
	return err == nil
}

// TestStorage_ReplacesConflictingEntries verifies that entries of a former leader are replaced by those of the current leader, in memory
// and in the file.
func TestStorage_ReplacesConflictingEntries(t *testing.T) {
	dir, _ := newStorageDir(t)
	for i := range 2 {
		storage, err := OpenStorage(dir, testIdentity)
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			if err := storage.save(nil, []*raftpb.Entry{{Index: proto.Uint64(3), Term: proto.Uint64(4)}}, nil); err != nil {
				t.Fatal(err)
			}
		}
		if term, err := storage.memory.Term(3); storage.Position().LastIndex != 3 || term != 4 || err != nil {
			t.Errorf("position %+v, entry 3 has term %d, error %v, want last index 3 and term 4", storage.Position(), term, err)
		}
		mustClose(t, storage)
	}
}
