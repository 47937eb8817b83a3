package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The file of overrides.
const (
	overridesFile   = "hand"
	overridesFormat = "birchfork hand 1"
)

// enabledRetention is how long the override of a worker that is enabled again is kept. After that the worker's slow start is long over, and
// siblings with an older override have ended.
const enabledRetention = 1 * time.Hour

// Override is the newest operator override of one worker.
type Override struct {
	Disabled bool  `json:"out"`
	At       int64 `json:"at"` // Unix time in microseconds; the newer override wins
}

// Overrides has the newest override of each worker, by the worker's name.
type Overrides map[string]Override

// merge copies the overrides that are newer in other, and reports whether there were any.
func (o Overrides) merge(other Overrides) (changed bool) {
	for worker, override := range other {
		known, exists := o[worker]
		if !exists || override.At > known.At {
			o[worker] = override
			changed = true
		}
	}
	return changed
}

// overridesContent is the JSON of the file of overrides.
type overridesContent struct {
	Format     string    `json:"format"`
	Dispatcher string    `json:"dispatcher"`
	Workers    Overrides `json:"runners"`
}

// SetOverride disables a worker or enables it again, by an override that is newer than all before it, and returns that override. Enabling
// a worker that is not disabled changes nothing and returns its present override, which may be the zero value. The override is in force
// in this process in any case. An error means that other and later processes do not see it yet; each Sync retries.
func (p *Process) SetOverride(worker string, disabled bool) (Override, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.syncLocked() // the newest override may be a sibling's
	previous := p.overrides[worker]
	if !disabled && !previous.Disabled {
		return previous, err
	}
	if p.overrides == nil {
		p.overrides = Overrides{}
	}
	override := Override{Disabled: disabled, At: max(time.Now().UnixMicro(), previous.At+1)}
	p.overrides[worker] = override
	p.unsaved = true
	return override, p.syncLocked()
}

// Sync exchanges overrides with the other processes and returns all of them in a new map. An error means that some may be missing in this
// process or in the others.
func (p *Process) Sync() (Overrides, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.syncLocked()
	all := Overrides{}
	all.merge(p.overrides)
	return all, err
}

// syncLocked writes the file if this process has unsaved overrides, else reads it if it has changed. p.mu must be held.
func (p *Process) syncLocked() error {
	if p.claimFile == nil {
		return nil
	}
	if p.unsaved {
		return p.saveOverrides()
	}
	info, err := os.Stat(filepath.Join(p.dir, overridesFile))
	if errors.Is(err, os.ErrNotExist) || err == nil && p.hasRead(info) {
		return nil
	}
	return p.readOverrides() // files are replaced atomically: reading needs no lock
}

// hasRead reports whether the file of overrides is the one that was read last. p.mu must be held.
func (p *Process) hasRead(info os.FileInfo) bool {
	last := p.lastRead
	return last != nil && os.SameFile(info, last) && info.ModTime().Equal(last.ModTime()) && info.Size() == last.Size()
}

// saveOverrides merges the overrides with those of the file and writes the result. p.mu must be held.
func (p *Process) saveOverrides() error {
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if err := p.readOverrides(); err != nil && !errors.Is(err, errUnusableFile) { // an unusable file is replaced
		return err
	}
	for worker, override := range p.overrides {
		if !override.Disabled && time.Since(time.UnixMicro(override.At)) > enabledRetention {
			delete(p.overrides, worker)
		}
	}
	content := overridesContent{Format: overridesFormat, Dispatcher: p.name, Workers: p.overrides}
	if err := p.writeFile(overridesFile, content); err != nil {
		return err
	}
	p.unsaved = false
	p.lastRead = statOrNil(filepath.Join(p.dir, overridesFile))
	return nil
}

// readOverrides merges the file's overrides into those of this process. An unusable file counts as read, so that syncLocked
// returns the error once. p.mu must be held.
func (p *Process) readOverrides() error {
	path := filepath.Join(p.dir, overridesFile)
	previous := p.lastRead
	p.lastRead = statOrNil(path)
	raw, err := readFile(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		p.lastRead = previous // the next call reads it again
		return fmt.Errorf("%s: %w", overridesFile, err)
	}
	overrides, err := decodeOverrides(raw, p.name)
	if err != nil {
		return fmt.Errorf("%s: %w", overridesFile, err)
	}
	p.overrides.merge(overrides)
	return nil
}

// decodeOverrides decodes the file of overrides. Its errors wrap errUnusableFile, also for the file of a dispatcher with another
// name.
func decodeOverrides(raw []byte, name string) (Overrides, error) {
	var content overridesContent
	if err := json.Unmarshal(raw, &content); err != nil {
		return nil, fmt.Errorf("%w: %w", errUnusableFile, err)
	}
	if content.Format != overridesFormat || content.Dispatcher != name {
		return nil, errUnusableFile
	}
	return content.Workers, nil
}
