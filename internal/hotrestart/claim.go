package hotrestart

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
)

// claimPrefix begins the name of a claim file; the claim's id and the process's id follow. A claim file holds the state of its process,
// and is locked as long as the process lives.
const claimPrefix = "process-"

// processState is what a process does, as its claim file tells it.
type processState string

// The states of a process.
const (
	stateStarting processState = "starting"
	stateServing  processState = "serving"
	stateLeaving  processState = "leaving"
)

// stateLength is the bytes of a claim file that are read; more than any state has.
const stateLength = 16

// Siblings are the other processes of a dispatcher that are alive.
type Siblings struct {
	Alive   int  // how many there are
	Serving bool // one of them serves
	Newer   bool // one of them has claimed its place after this one
}

// MarkServing tells siblings that this process serves.
func (p *Process) MarkServing() error { return p.writeState(stateServing) }

// MarkLeaving tells siblings that this process does not serve any more.
func (p *Process) MarkLeaving() error { return p.writeState(stateLeaving) }

// Siblings looks which other processes are alive. The claims of those that have ended are removed.
func (p *Process) Siblings() Siblings {
	var siblings Siblings
	if p.claimFile == nil {
		return siblings
	}
	entries, err := os.ReadDir(p.dir)
	if err != nil {
		return siblings
	}
	for _, entry := range entries {
		path := filepath.Join(p.dir, entry.Name())
		if !strings.HasPrefix(entry.Name(), claimPrefix) || path == p.claimPath() {
			continue
		}
		state, alive := probeClaim(path)
		if !alive {
			removeFile(path)
			continue
		}
		siblings.Alive++
		if state == stateServing {
			siblings.Serving = true
		}
		if claimID(entry.Name()) > p.id {
			siblings.Newer = true
		}
	}
	return siblings
}

// claimPath is the path of this process's claim file.
func (p *Process) claimPath() string {
	name := claimPrefix + strconv.FormatInt(p.id, 10) + "-" + strconv.Itoa(os.Getpid())
	return filepath.Join(p.dir, name)
}

// writeState writes what this process does into its claim file. All states are padded to one length, so that a reader never finds parts
// of two.
func (p *Process) writeState(state processState) error {
	if p.claimFile == nil {
		return nil
	}
	if _, err := p.claimFile.WriteAt(fmt.Appendf(nil, "%-9s\n", state), 0); err != nil {
		return fmt.Errorf("claim file: %w", err)
	}
	return nil
}

// claimID is the id of a claim by the name of its file; 0 where it has none.
func claimID(name string) int64 {
	number, _, _ := strings.Cut(strings.TrimPrefix(name, claimPrefix), "-")
	id, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// probeClaim tells whether the process of a claim is alive, and what it does. Where the claim cannot be opened, as no descriptor is left,
// the process is taken for alive.
func probeClaim(path string) (state processState, alive bool) {
	file, err := os.Open(path)
	if err != nil {
		return "", !errors.Is(err, os.ErrNotExist)
	}
	defer file.Close()
	if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		return "", false
	}
	var content [stateLength]byte
	n, _ := file.ReadAt(content[:], 0) // as far as it goes
	return processState(strings.TrimSpace(string(content[:n]))), true
}
