package boltstore

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"go.etcd.io/bbolt"

	"birchfork/internal/goldentest"
)

// TestGolden_ChecksummedValues checks the stored form of values with checksums, and that each value is read back.
func TestGolden_ChecksummedValues(t *testing.T) {
	var b bytes.Buffer
	for _, raw := range []string{"", "a", `{"format":1,"group":"edge"}`, strings.Repeat("value ", 20)} {
		fmt.Fprintf(&b, "%q %s\n", raw, hex.EncodeToString(AddChecksum([]byte(raw))))
	}
	goldentest.Check(t, "sealed.txt", b.Bytes())
	file, err := os.ReadFile(filepath.Join("testdata", "golden", "sealed.txt"))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(file)) {
		var want, stored string
		if _, err := fmt.Sscanf(line, "%q %s", &want, &stored); err != nil {
			t.Fatal(err)
		}
		raw, err := hex.DecodeString(stored)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := VerifyChecksum(raw); err != nil || string(got) != want {
			t.Errorf("%s reads back as %q, error %v", line, got, err)
		}
	}
}

// TestVerifyChecksum_RejectsChangedBytes checks that a value with any single bit flipped, or truncated at any byte, is rejected.
func TestVerifyChecksum_RejectsChangedBytes(t *testing.T) {
	stored := AddChecksum([]byte("value"))
	for i := range len(stored) * 8 {
		changed := bytes.Clone(stored)
		changed[i/8] ^= 1 << (i % 8)
		if _, err := VerifyChecksum(changed); err == nil {
			t.Errorf("value with bit %d flipped was accepted", i)
		}
	}
	for i := range stored {
		if _, err := VerifyChecksum(stored[:i]); err == nil {
			t.Errorf("value truncated to %d bytes was accepted", i)
		}
	}
}

// countCalls returns a load function that counts its calls and creates a bucket.
func countCalls(calls *int) func(*bbolt.DB) error {
	return func(db *bbolt.DB) error {
		*calls++
		return db.Update(func(tx *bbolt.Tx) error {
			_, err := tx.CreateBucketIfNotExists([]byte("meta"))
			return err
		})
	}
}

// TestOpen_LockedFile checks that Open returns ErrLocked for a file that is already open, and that files are private to their owner.
func TestOpen_LockedFile(t *testing.T) {
	dir, calls := t.TempDir(), 0
	db, unreadable, err := Open(dir, "f.db", countCalls(&calls))
	if err != nil || unreadable != nil || calls != 1 {
		t.Fatalf("unreadable %v, error %v after %d calls of load; want neither after 1", unreadable, err, calls)
	}
	defer db.Close()
	if _, _, err := Open(dir, "f.db", countCalls(&calls)); !errors.Is(err, ErrLocked) {
		t.Errorf("second Open: %v, want ErrLocked", err)
	}
	if info, err := os.Stat(filepath.Join(dir, "f.db")); err != nil || info.Mode().Perm() != 0o600 {
		t.Errorf("file: %v, %v; want mode 0600", info, err)
	}
}

// TestOpen_UnreadableFile checks that a file that cannot be read is renamed, and that an empty one is opened.
func TestOpen_UnreadableFile(t *testing.T) {
	errLoad := errors.New("unknown record")
	for name, prepare := range map[string]func(path string) (load func(*bbolt.DB) error){
		"not a bbolt file": func(path string) func(*bbolt.DB) error {
			if err := os.WriteFile(path, bytes.Repeat([]byte("x"), 1<<16), 0o600); err != nil {
				t.Fatal(err)
			}
			return func(*bbolt.DB) error { return nil }
		},
		"load returns an error": func(string) func(*bbolt.DB) error {
			calls := 0
			return func(*bbolt.DB) error {
				if calls++; calls == 1 {
					return errLoad
				}
				return nil
			}
		},
		"load panics": func(string) func(*bbolt.DB) error {
			calls := 0
			return func(*bbolt.DB) error {
				if calls++; calls == 1 {
					panic("page 7")
				}
				return nil
			}
		},
	} {
		dir := t.TempDir()
		path := filepath.Join(dir, "f.db")
		db, unreadable, err := Open(dir, "f.db", prepare(path))
		if err != nil || unreadable == nil {
			t.Errorf("%s: unreadable %v, error %v; want unreadable alone", name, unreadable, err)
			continue
		}
		db.Close()
		if _, err := os.Stat(path + ".unreadable"); err != nil {
			t.Errorf("%s: file was not renamed: %v", name, err)
		}
	}
}

// TestOpen_LeavesUndamagedFile checks that a file is not renamed if it belongs to another member or the operating system returns an error.
func TestOpen_LeavesUndamagedFile(t *testing.T) {
	for _, cause := range []error{ErrOtherOwner, syscall.EIO} {
		dir := t.TempDir()
		db, unreadable, err := Open(dir, "f.db", func(*bbolt.DB) error { return fmt.Errorf("group x: %w", cause) })
		if !errors.Is(err, cause) || db != nil || unreadable != nil {
			t.Errorf("%v: db %v, unreadable %v, error %v; want this error alone", cause, db, unreadable, err)
		}
		if _, err := os.Stat(filepath.Join(dir, "f.db")); err != nil {
			t.Errorf("%v: file was renamed: %v", cause, err)
		}
	}
}

// TestOpen_KeepsContents checks that the contents of a file are still there when it is opened again.
func TestOpen_KeepsContents(t *testing.T) {
	dir := t.TempDir()
	for i := range 2 {
		db, unreadable, err := Open(dir, "f.db", func(db *bbolt.DB) error {
			return db.Update(func(tx *bbolt.Tx) error {
				b, err := tx.CreateBucketIfNotExists([]byte("meta"))
				if err != nil {
					return err
				}
				if got := b.Get([]byte("k")); (got != nil) != (i == 1) {
					return fmt.Errorf("open %d finds %q", i, got)
				}
				return b.Put([]byte("k"), []byte("v"))
			})
		})
		if err != nil || unreadable != nil {
			t.Fatalf("open %d: unreadable %v, error %v; want neither", i, unreadable, err)
		}
		if err := db.Close(); err != nil {
			t.Fatal(err)
		}
	}
}
