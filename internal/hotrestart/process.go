// Package hotrestart implements the state that the processes of one dispatcher share during a hot restart, in which a new process
// replaces the old one: which of them are alive and serve, the operators' overrides of workers, the newest endpoint list, and the ids of
// requests that are open or were of late.
//
// The state is in a few small files in one directory, each replaced atomically by a rename; that of the ids is mapped into memory and changed
// in place. The package owns these files. It makes no decisions, and handles neither signals nor sockets.
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

// dirPrefix is the prefix of the shared directory's name; the dispatcher's name follows.
const dirPrefix = "birchfork-"

// Process is one process of a dispatcher. Its zero value shares nothing and keeps overrides to itself. A Process is safe for concurrent use,
// except for Close, which has to be the last call.
type Process struct {
	dir       string
	name      string   // of the dispatcher
	claimFile *os.File // locked while this process is alive; nil: nothing is shared
	id        int64    // of the claim; unique

	mu        sync.Mutex
	overrides Overrides
	lastRead  os.FileInfo // of the file that overrides were read from; nil: none
	unsaved   bool        // overrides may have entries that the file lacks
}

// Open creates a claim for this process among those of the dispatcher with this name, which share a directory below parent. The caller has
// to close the Process.
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

// createClaim creates the claim file. The file is locked before it is renamed to its final name: a claim without a lock was left by a
// process that has ended.
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
		p.joinRequestIDs()
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

// joinRequestIDs makes this process a member of the set of request ids before siblings see its claim. OpenRequestIDs returns the error.
func (p *Process) joinRequestIDs() {
	if ids, err := p.OpenRequestIDs(); err == nil {
		ids.Close()
	}
}

// removeStaleTemps removes unfinished files of processes that were killed while they wrote.
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

// pathSafe replaces characters that are not safe in a file name.
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

// Dir returns the directory that the processes of this dispatcher share on this machine; empty if nothing is shared.
func (p *Process) Dir() string {
	if p.claimFile == nil {
		return ""
	}
	return p.dir
}

// ID identifies this process among those of its dispatcher; 0 if nothing is shared.
func (p *Process) ID() int64 { return p.id }

// Close removes the claim. The other files are left for later processes.
func (p *Process) Close() {
	if p.claimFile != nil {
		removeFile(p.claimPath())
		p.claimFile.Close()
	}
}
