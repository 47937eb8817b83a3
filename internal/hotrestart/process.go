// Package hotrestart holds what the processes of one dispatcher share while one takes the other's place: which of them are alive and
// serve, the operators' overrides of workers, and the newest endpoint list.
//
// It is a few small files in one directory, each written as a whole and renamed into place. The package owns these files. It decides
// nothing, and knows neither signals nor sockets.
package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// dirPrefix begins the name of the shared directory; the dispatcher's name follows.
const dirPrefix = "birchfork-"

// Process is one process of a dispatcher. Its zero value shares nothing: overrides that are set on it are its own. A Process is safe for
// concurrent use, but for Close, which is the last call.
type Process struct {
	dir       string
	name      string   // of the dispatcher
	claimFile *os.File // locked while this process lives; nil: nothing is shared
	id        int64    // of the claim, never used twice

	mu        sync.Mutex
	overrides Overrides
	lastRead  os.FileInfo // of the file that overrides were read from; nil: none
	unsaved   bool        // overrides may have what the file has not
}

// Open claims a place among the processes of the dispatcher of this name, which share a directory below parent. The caller has to close
// the process.
func Open(parent, name string) (*Process, error) {
	if parent == "" {
		return nil, errors.New("TMPDIR is not set")
	}
	p := &Process{dir: filepath.Join(parent, dirPrefix+pathSafe(name)), name: name, overrides: Overrides{}}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, fmt.Errorf("shared directory: %w", err)
	}
	p.removeStaleTemps()
	if err := p.createClaim(); err != nil {
		return nil, fmt.Errorf("claim file: %w", err)
	}
	return p, nil
}

// createClaim creates the claim file. It is locked before it gets its name: a claim without a lock is left from a process that has ended.
func (p *Process) createClaim() error {
	file, err := os.CreateTemp(p.dir, tempPrefix)
	if err != nil {
		return err
	}
	p.claimFile = file
	p.id = time.Now().UnixNano()
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		err = p.writeState(stateStarting)
	}
	if err == nil {
		err = os.Rename(file.Name(), p.claimPath())
	}
	if err != nil {
		removeFile(file.Name())
		file.Close()
	}
	return err
}

// removeStaleTemps removes the files of processes that were killed while they wrote.
func (p *Process) removeStaleTemps() {
	entries, err := os.ReadDir(p.dir)
	if err != nil {
		return
	}
	for _, entry := range entries {
		info, err := entry.Info()
		if err != nil || !strings.HasPrefix(entry.Name(), tempPrefix) {
			continue
		}
		if time.Since(info.ModTime()) > staleTempAge {
			removeFile(filepath.Join(p.dir, entry.Name()))
		}
	}
}

// pathSafe replaces what has no place in a file's name.
func pathSafe(name string) string {
	return strings.Map(func(r rune) rune {
		isDigit := r >= '0' && r <= '9'
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if isDigit || isLetter || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

// Dir is the directory that the processes of this dispatcher share on this machine; empty where nothing is shared.
func (p *Process) Dir() string {
	if p.claimFile == nil {
		return ""
	}
	return p.dir
}

// ID tells the processes of one dispatcher apart; 0 where nothing is shared.
func (p *Process) ID() int64 { return p.id }

// Close gives up the claim. The other files stay for later processes.
func (p *Process) Close() {
	if p.claimFile != nil {
		removeFile(p.claimPath())
		p.claimFile.Close()
	}
}
