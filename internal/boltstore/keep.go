// Package boltstore opens a member's files: bbolt with the care that it needs where pages may be torn, and values with checksums of
// their own, as the file's cover its root alone.
package boltstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/bbolt"
)

// Errors of a file.
var (
	ErrTaken   = errors.New("another process has the group's folder")
	ErrForeign = errors.New("the group's folder is not ours")
	errBits    = errors.New("its checksum does not fit")
)

const (
	lockWait  = 100 * time.Millisecond // for another process to let go of the file
	badSuffix = ".unreadable"          // what a file that cannot be read is called from then on
)

// Open opens a file of a folder, or begins it, and has load read it. What cannot be read is as good as lost: it gets another
// name, for people to look at, and load is called again with an empty file; unreadable says what was wrong. An error says that the
// file cannot be used: another process has it, it is not ours (load's ErrForeign), or the system refuses.
func Open(folder, file string, load func(*bbolt.DB) error) (db *bbolt.DB, unreadable, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, fmt.Errorf("the group's folder: %w", err)
	}
	path := filepath.Join(folder, file)
	db, err = open(path, load)
	if err == nil {
		return db, nil, nil
	}
	if errors.Is(err, ErrTaken) || errors.Is(err, ErrForeign) || isSystem(err) {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	bad := path + badSuffix
	if rename := os.Rename(path, bad); rename != nil {
		return nil, nil, fmt.Errorf("%s: %w: %w", path, err, rename)
	}
	unreadable = fmt.Errorf("%s, which is now %s: %w", path, bad, err)
	if db, err = open(path, load); err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, unreadable, nil
}

// isSystem tells whether the system refused something: the file may be whole.
func isSystem(err error) bool {
	var sys syscall.Errno
	return errors.As(err, &sys)
}

// open opens the file and reads it. bbolt maps it into memory: where pages make no sense, or are missing, it panics, or the
// kernel faults the access, which would end the process.
func open(path string, load func(*bbolt.DB) error) (db *bbolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("it cannot be read: %v", v)
		}
		if err != nil && db != nil {
			db.Close()
			db = nil
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockWait})
	if errors.Is(err, bbolt.ErrTimeout) {
		return nil, ErrTaken
	}
	if err != nil {
		return nil, err
	}
	return db, load(db)
}

// Seal is a value with its checksum.
func Seal(raw []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxhash.Sum64(raw)), raw...)
}

// Unseal is what was sealed; the bytes are the caller's for as long as sealed is.
func Unseal(sealed []byte) ([]byte, error) {
	if len(sealed) < 8 || binary.BigEndian.Uint64(sealed) != xxhash.Sum64(sealed[8:]) {
		return nil, errBits
	}
	return sealed[8:], nil
}
