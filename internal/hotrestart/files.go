package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// Names of auxiliary files.
const (
	lockFile   = "lock"
	tempPrefix = "new-" // of a file that is being written
)

// Times and limits of files.
const (
	lockTimeout       = 50 * time.Millisecond // for another process to release the lock; it may be suspended while callers wait
	lockRetryInterval = 5 * time.Millisecond
	staleTempAge      = 1 * time.Minute // age from which an unfinished file counts as abandoned
	maxFileSize       = 8 << 20         // bytes; larger files are not read
)

// errUnusableFile is the error for a file whose content cannot be used. The next write replaces the file.
var errUnusableFile = errors.New("unusable file: truncated, of another format or of another dispatcher")

// lock prevents other processes from writing until unlock is called. It fails after lockTimeout.
func (p *Process) lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(p.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("lock file: %w", err)
	}
	deadline := time.Now().Add(lockTimeout)
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { file.Close() }, nil
		}
		canRetry := errors.Is(err, syscall.EWOULDBLOCK) || errors.Is(err, syscall.EINTR)
		if !canRetry || time.Now().After(deadline) {
			file.Close()
			return nil, fmt.Errorf("lock file: %w", err)
		}
		time.Sleep(lockRetryInterval)
	}
}

// writeFile replaces a file of the shared directory atomically with content as JSON.
func (p *Process) writeFile(name string, content any) error {
	raw, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	file, err := os.CreateTemp(p.dir, tempPrefix)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, writeErr := file.Write(raw)
	err = errors.Join(writeErr, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), filepath.Join(p.dir, name))
	}
	if err != nil {
		removeFile(file.Name())
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readFile reads a file that may not have been written by this program: it has to be a regular file of at most maxFileSize.
func readFile(path string) ([]byte, error) {
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, errors.New("not a regular file")
	case info.Size() > maxFileSize:
		return nil, fmt.Errorf("file too large: %d bytes, must be at most %d", info.Size(), maxFileSize)
	}
	return os.ReadFile(path)
}

// statOrNil returns the FileInfo of a file; nil if there is none.
func statOrNil(path string) os.FileInfo {
	info, err := os.Stat(path)
	if err != nil {
		return nil
	}
	return info
}

// removeFile removes a file. It ignores errors: another process may have removed the file, and a later process removes what is left.
func removeFile(path string) { _ = os.Remove(path) }
