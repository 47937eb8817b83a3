// Package boltstore opens the bbolt files of a group member. A damaged file neither terminates the process nor ends its membership of the
// group. The package also adds checksums to values, because bbolt's own checksums cover only the meta pages of a file.
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

// Errors that Open returns for intact files. It does not change these files.
var (
	ErrLocked     = errors.New("file is in use by another process")
	ErrOtherOwner = errors.New("file belongs to another member or group") // returned by load functions
)

const (
	lockTimeout      = 100 * time.Millisecond // how long Open waits for another process to close the file
	unreadableSuffix = ".unreadable"          // appended to the name of a damaged file
)

// Open opens a file in a directory, creates both if they do not exist, and calls load to read the file.
//
// If the file cannot be read, Open renames it so that operators can inspect it, calls load again with an empty file, and returns the cause
// as unreadable. If the file cannot be used, Open returns err and no db: ErrLocked, load's ErrOtherOwner, or an error of the operating
// system, after which the file may still be intact.
func Open(dir, file string, load func(*bbolt.DB) error) (db *bbolt.DB, unreadable, err error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, nil, fmt.Errorf("creating the directory: %w", err)
	}
	path := filepath.Join(dir, file)
	db, err = openAndLoad(path, load)
	if err == nil {
		return db, nil, nil
	}
	if errors.Is(err, ErrLocked) || errors.Is(err, ErrOtherOwner) || isSystemError(err) {
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

// isSystemError reports whether err wraps an error of the operating system.
func isSystemError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno)
}

// openAndLoad opens a file and calls load to read it. It closes the file after an error. bbolt maps the file into memory: it panics on
// damaged pages, and access to missing pages is a memory fault that would terminate the process. Both are returned as errors.
func openAndLoad(path string, load func(*bbolt.DB) error) (db *bbolt.DB, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if fault := recover(); fault != nil {
			err = fmt.Errorf("file cannot be read: %v", fault)
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
