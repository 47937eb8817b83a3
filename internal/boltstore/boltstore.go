// Package boltstore opens the bbolt files of a group's member so that a damaged file ends neither the process nor the member's part
// in the group, and gives values checksums: bbolt's own cover the root of a file alone.
package boltstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"syscall"
	"time"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// Errors of Open for files that are not damaged and stay as they are.
var (
	ErrLocked  = errors.New("file is in use by another process")
	ErrForeign = errors.New("file belongs to another member or group") // returned by a load function
)

const (
	lockTimeout      = 100 * time.Millisecond // for another process to close the file
	unreadableSuffix = ".unreadable"          // of the name that a damaged file is given
)

// Open opens a file of a folder, which it creates if there is none, and has load read it.
//
// A file that cannot be read is as good as lost: Open renames it, for operators to look at, calls load again with an empty file, and
// returns as unreadable what was wrong. It returns an err, and no db, if the file cannot be used: ErrLocked, load's ErrForeign, or
// an error of the operating system, after which the file may still be sound.
func Open(folder, file string, load func(*bbolt.DB) error) (db *bbolt.DB, unreadable, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, nil, fmt.Errorf("the group's folder: %w", err)
	}
	path := filepath.Join(folder, file)
	db, err = openAndLoad(path, load)
	if err == nil {
		return db, nil, nil
	}
	if errors.Is(err, ErrLocked) || errors.Is(err, ErrForeign) || isSystemError(err) {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	movedPath := path + unreadableSuffix
	if renameErr := os.Rename(path, movedPath); renameErr != nil {
		return nil, nil, fmt.Errorf("%s: %w: %w", path, err, renameErr)
	}
	unreadable = fmt.Errorf("%s, renamed to %s: %w", path, movedPath, err)
	db, err = openAndLoad(path, load)
	if err != nil {
		return nil, nil, fmt.Errorf("%s: %w", path, err)
	}
	return db, unreadable, nil
}

// isSystemError reports whether the operating system has refused something.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// openAndLoad opens a file and has load read it; after an error the file is closed. bbolt maps the file into memory: where pages are
// damaged it panics, and where they are missing the access faults, which would end the process.
func openAndLoad(path string, load func(*bbolt.DB) error) (db *bbolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("it cannot be read: %v", fault)
		}
		if err != nil && db != nil {
			db.Close()
			db = nil
		}
	}()
	db, err = bbolt.Open(path, 0o600, &bbolt.Options{Timeout: lockTimeout})
	if errors.Is(err, bbolterrors.ErrTimeout) {
		return nil, ErrLocked
	}
	if err != nil {
		return nil, err
	}
	return db, load(db)
}
