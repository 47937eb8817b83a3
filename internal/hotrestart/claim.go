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

// claimPrefix is the prefix of a claim file's name; the claim's id and the process id follow. A claim file contains the state of its
// process, which holds a lock on the file while it is alive.
const claimPrefix = "process-"

// processState is the state of a process, as written to its claim file.
type processState string

// The states of a process.
const (
	stateStarting processState = "starting"
	stateServing  processState = "serving"
	stateLeaving  processState = "leaving"
)

// stateLength is how many bytes of a claim file are read. It exceeds the length of every state.
const stateLength = 16

// Siblings are the other processes of a dispatcher that are alive.
type Siblings struct {
	Alive   int  // their number
	Serving bool // one of them serves
	Newer   bool // one of them has created its claim after this process
}

// MarkServing records, for siblings, that this process serves.
func (p *Process) MarkServing() error { return p.writeState(stateServing) }

// MarkLeaving records, for siblings, that this process no longer serves.
func (p *Process) MarkLeaving() error { return p.writeState(stateLeaving) }

// Siblings returns which other processes are alive. It removes the claims of processes that have ended.
func (p *Process) Siblings() Siblings {
	var siblings Siblings
	for _, claim := range p.siblingClaims() {
		siblings.Alive++
		if claim.state == stateServing {
			siblings.Serving = true
		}
		if claim.id > p.id {
			siblings.Newer = true
		}
	}
	return siblings
}

// SiblingIDs returns the ids of the other processes that are alive, as ID returns that of this process.
func (p *Process) SiblingIDs() (ids []int64) {
	for _, claim := range p.siblingClaims() {
		ids = append(ids, claim.id)
	}
	return ids
}

// claim is the claim of a process that is alive.
type claim struct {
	id    int64
	state processState
}

// siblingClaims returns the claims of other processes that are alive, and removes those of processes that have ended.
func (p *Process) siblingClaims() (claims []claim) {
	if p.claimFile == nil {
		return nil
	}
	entries, err := os.ReadDir(p.dir)
	if err != nil {
		return nil
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
		claims = append(claims, claim{id: claimID(entry.Name()), state: state})
	}
	return claims
}

// claimPath returns the path of this process's claim file.
func (p *Process) claimPath() string {
	name := claimPrefix + strconv.FormatInt(p.id, 10) + "-" + strconv.Itoa(os.Getpid())
	return filepath.Join(p.dir, name)
}

// writeState writes the state of this process to its claim file. All states are padded to the same length, so that a reader never finds
// parts of two states.
func (p *Process) writeState(state processState) error {
	if p.claimFile == nil {
		return nil
	}
	if _, err := p.claimFile.WriteAt(fmt.Appendf(nil, "%-9s\n", state), 0); err != nil {
		return fmt.Errorf("claim file: %w", err)
	}
	return nil
}

// claimID returns the id of a claim from the name of its file; 0 if the name has none.
func claimID(name string) int64 {
	number, _, _ := strings.Cut(strings.TrimPrefix(name, claimPrefix), "-")
	id, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return 0
	}
	return id
}

// probeClaim reports whether the process of a claim is alive, and returns its state. If the claim exists but cannot be opened, for example
// because no descriptor is free, the process counts as alive.
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
	n, _ := file.ReadAt(content[:], 0) // a shorter file gives a shorter state
	return processState(strings.TrimSpace(string(content[:n]))), true
}
