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

// Names of files that have no content of their own.
const (
	lockFile   = "lock"
	tempPrefix = "new-" // of a file that is being written
)

// Times and bounds of files.
const (
	lockTimeout       = 50 * time.Millisecond // for another process to be through with a file: it may be stopped, and calls wait
	lockRetryInterval = 5 * time.Millisecond
	staleTempAge      = 1 * time.Minute // a file that is not in its place after so long never will be
	maxFileSize       = 8 << 20         // bytes of a file that are read
)

// errForeignFile tells that a file is of no use here. It is replaced by the next write.
var errForeignFile = errors.New("torn, of another format or of another dispatcher")

// lock keeps other processes from writing, until unlock.
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

// writeFile writes a file of the shared directory as JSON, as a whole.
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

// readFile reads a file that anybody may have put there.
func readFile(path string) ([]byte, error) {
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, errors.New("not a regular file")
	case info.Size() > maxFileSize:
		return nil, fmt.Errorf("larger than %d bytes", maxFileSize)
	}
	return os.ReadFile(path)
}

// statOrNil is what is known of a file; nil where there is none.
func statOrNil(path string) os.FileInfo {
	info, err := os.Stat(path)
	if err != nil {
		return nil
	}
	return info
}

// removeFile removes a file that may be gone already: another process may remove it too. What is left is removed by a later process.
func removeFile(path string) { _ = os.Remove(path) }
