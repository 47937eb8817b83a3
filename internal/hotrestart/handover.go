// Package hotrestart is what two processes of one dispatcher share while one takes the other's place: who is alive and
// serves, which runners the operators left out by hand, and the newest list. It is a few small files in one folder, each
// written whole and renamed. It owns these files; it decides nothing, and knows no signals and no sockets.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Times and bounds.
const (
	lockTimeout       = 50 * time.Millisecond // for the other process to be through with a file: it may be stopped, and calls wait
	lockRetryInterval = 5 * time.Millisecond
	staleTempAge      = 1 * time.Minute // a file that is not in its place after so long never will be
	enabledRetention  = 1 * time.Hour   // a runner that was put back so long ago is warm, and its word of no use
	maxFileSize       = 8 << 20         // bytes of a file that are read
)

// The files, and the words that they begin with. Another format than ours is passed over.
const (
	claimPrefix     = "process-"
	tempPrefix      = "new-"
	overridesFile   = "hand"
	endpointsFile   = "list"
	lockFile        = "lock"
	overridesFormat = "birchfork hand 1"
	endpointsFormat = "birchfork list 1"
)

// The states of a process, as its claim tells them.
const (
	stateStarting = "starting"
	stateServing  = "serving"
	stateLeaving  = "leaving"
)

// Override is what the operators said of a runner last.
type Override struct {
	Disabled bool  `json:"out"`
	At       int64 `json:"at"` // Unix time in microseconds
}

// Overrides are what the operators have said, by runner.
type Overrides map[string]Override

// merge takes the newer word on each runner; it tells whether that changed anything.
func (o Overrides) merge(other Overrides) (changed bool) {
	for name, override := range other {
		if old, ok := o[name]; !ok || override.At > old.At {
			o[name], changed = override, true
		}
	}
	return changed
}

// Siblings is what stands beside this process.
type Siblings struct {
	Alive   int
	Serving bool // one of them serves
	Newer   bool // one of them came after this one
}

// Process is one process of a dispatcher. Its zero value shares nothing: what it is told it keeps to itself.
type Process struct {
	dir, name string
	claimFile *os.File // nil: nothing is shared
	id        int64    // of the claim, never used twice

	mu        sync.Mutex
	overrides Overrides
	lastRead  os.FileInfo // the file that words were read from; nil: none
	unsaved   bool        // words has what the file may not have
}

// Open claims a place among the processes of the dispatcher of this name, in a folder that they share.
func Open(dir, name string) (*Process, error) {
	if dir == "" {
		return nil, errors.New("TMPDIR is not set")
	}
	p := &Process{dir: filepath.Join(dir, "birchfork-"+pathSafe(name)), name: name, overrides: Overrides{}}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, fmt.Errorf("the shared folder: %w", err)
	}
	p.removeStaleTemps()
	// Locked before it gets its name: one that is found without a lock is left over from a process that is gone.
	file, err := os.CreateTemp(p.dir, tempPrefix)
	if err != nil {
		return nil, fmt.Errorf("the claim: %w", err)
	}
	p.claimFile, p.id = file, time.Now().UnixNano()
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		err = p.writeState(stateStarting)
	}
	if err == nil {
		err = os.Rename(file.Name(), p.claimPath())
	}
	if err != nil {
		os.Remove(file.Name())
		file.Close()
		return nil, fmt.Errorf("the claim: %w", err)
	}
	return p, nil
}

// removeStaleTemps takes away what processes left that were killed while they wrote.
func (p *Process) removeStaleTemps() {
	entries, _ := os.ReadDir(p.dir)
	for _, entry := range entries {
		if info, err := entry.Info(); err == nil && strings.HasPrefix(entry.Name(), tempPrefix) && time.Since(info.ModTime()) > staleTempAge {
			os.Remove(filepath.Join(p.dir, entry.Name()))
		}
	}
}

// pathSafe is a name that is safe in a path.
func pathSafe(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

func (p *Process) claimPath() string {
	return filepath.Join(p.dir, claimPrefix+strconv.FormatInt(p.id, 10)+"-"+strconv.Itoa(os.Getpid()))
}

// Dir is what the processes of this dispatcher share, on the same machine; empty where nothing is shared.
func (p *Process) Dir() string {
	if p.claimFile == nil {
		return ""
	}
	return p.dir
}

// ID tells processes of one dispatcher apart; 0 where nothing is shared.
func (p *Process) ID() int64 { return p.id }

// writeState writes what this process does into its claim. All states have the same length but for blanks, so that a reader
// never finds parts of two.
func (p *Process) writeState(state string) error {
	if p.claimFile == nil {
		return nil
	}
	if _, err := p.claimFile.WriteAt(fmt.Appendf(nil, "%-9s\n", state), 0); err != nil {
		return fmt.Errorf("the claim: %w", err)
	}
	return nil
}

// MarkServing tells the others that this process serves.
func (p *Process) MarkServing() error { return p.writeState(stateServing) }

// MarkLeaving tells them that it does not any more.
func (p *Process) MarkLeaving() error { return p.writeState(stateLeaving) }

// Siblings looks who else is alive. What processes left that are gone is taken away.
func (p *Process) Siblings() (siblings Siblings) {
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
			os.Remove(path)
			continue
		}
		siblings.Alive++
		siblings.Serving = siblings.Serving || state == stateServing
		siblings.Newer = siblings.Newer || claimID(entry.Name()) > p.id
	}
	return siblings
}

// claimID is the number of a claim by its file's name; 0 where it has none.
func claimID(name string) int64 {
	number, _, _ := strings.Cut(strings.TrimPrefix(name, claimPrefix), "-")
	id, _ := strconv.ParseInt(number, 10, 64)
	return id
}

// probeClaim tells whether the process of a claim is alive, and what it does.
func probeClaim(path string) (state string, alive bool) {
	file, err := os.Open(path)
	if err != nil {
		return "", !errors.Is(err, os.ErrNotExist) // no descriptor left, say: it may well be alive
	}
	defer file.Close()
	if syscall.Flock(int(file.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		return "", false
	}
	var content [16]byte
	n, _ := file.ReadAt(content[:], 0)
	return strings.TrimSpace(string(content[:n])), true
}

// SetOverride notes the operators' word on a runner, newer than any before, and returns it. It counts for this process in any
// case; an error says that others, and later ones, do not hear it yet: each Sync tries again.
func (p *Process) SetOverride(worker string, disabled bool) (Override, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.syncLocked() // the newest word may be the other's
	previous := p.overrides[worker]
	override := Override{Disabled: disabled, At: max(time.Now().UnixMicro(), previous.At+1)}
	if !disabled && !previous.Disabled {
		return previous, err // one that is not out is not put back
	}
	if p.overrides == nil {
		p.overrides = Overrides{}
	}
	p.overrides[worker], p.unsaved = override, true
	return override, p.syncLocked()
}

// Sync exchanges words with the others and returns all; the map is the caller's.
func (p *Process) Sync() (Overrides, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.syncLocked()
	merged := Overrides{}
	merged.merge(p.overrides)
	return merged, err
}

// syncLocked reads the file where it has changed, and writes it where we know more. The lock is held.
func (p *Process) syncLocked() error {
	if p.claimFile == nil {
		return nil
	}
	info, err := os.Stat(filepath.Join(p.dir, overridesFile))
	unchanged := err == nil && p.lastRead != nil && os.SameFile(info, p.lastRead) && info.ModTime().Equal(p.lastRead.ModTime()) && info.Size() == p.lastRead.Size()
	if !p.unsaved && (unchanged || errors.Is(err, os.ErrNotExist)) {
		return nil
	}
	if !p.unsaved {
		return p.readOverrides() // whole files are renamed into place: no lock is needed
	}
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if err := p.readOverrides(); err != nil && !errors.Is(err, errForeignFile) { // what is not ours gives way
		return err
	}
	for name, override := range p.overrides {
		if !override.Disabled && time.Since(time.UnixMicro(override.At)) > enabledRetention {
			delete(p.overrides, name)
		}
	}
	if err := p.writeFile(overridesFile, overridesContent{Format: overridesFormat, Dispatcher: p.name, Workers: p.overrides}); err != nil {
		return err
	}
	p.unsaved = false
	p.lastRead, _ = os.Stat(filepath.Join(p.dir, overridesFile))
	return nil
}

type overridesContent struct {
	Format     string    `json:"format"`
	Dispatcher string    `json:"dispatcher"`
	Workers    Overrides `json:"runners"`
}

var errForeignFile = errors.New("it is torn, of another format or another dispatcher's")

// readOverrides merges the file's words into ours. A file that is not ours is passed over, once.
func (p *Process) readOverrides() error {
	path := filepath.Join(p.dir, overridesFile)
	previous := p.lastRead
	p.lastRead, _ = os.Stat(path)
	raw, err := readFile(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		p.lastRead = previous // to be read again
		return fmt.Errorf("%s: %w", overridesFile, err)
	}
	overrides, err := decodeOverrides(raw, p.name)
	if err != nil {
		return fmt.Errorf("%s: %w", overridesFile, err)
	}
	p.overrides.merge(overrides)
	return nil
}

func decodeOverrides(raw []byte, name string) (Overrides, error) {
	var content overridesContent
	if err := json.Unmarshal(raw, &content); err != nil {
		return nil, fmt.Errorf("%w: %w", errForeignFile, err)
	}
	if content.Format != overridesFormat || content.Dispatcher != name {
		return nil, errForeignFile
	}
	return content.Workers, nil
}

type endpointsContent struct {
	Format     string          `json:"format"`
	Dispatcher string          `json:"dispatcher"`
	Endpoints  json.RawMessage `json:"list"`
}

// SaveEndpoints leaves the newest list for a process that starts, in discovery's form.
func (p *Process) SaveEndpoints(endpoints json.RawMessage) error {
	if p.claimFile == nil {
		return nil
	}
	return p.writeFile(endpointsFile, endpointsContent{endpointsFormat, p.name, endpoints})
}

// Endpoints is the newest list that another process left; nil where there is none.
func (p *Process) Endpoints() (json.RawMessage, error) {
	if p.claimFile == nil {
		return nil, nil
	}
	raw, err := readFile(filepath.Join(p.dir, endpointsFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", endpointsFile, err)
	}
	return decodeEndpoints(raw, p.name)
}

func decodeEndpoints(raw []byte, name string) (json.RawMessage, error) {
	var content endpointsContent
	if err := json.Unmarshal(raw, &content); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", endpointsFile, errForeignFile, err)
	}
	if content.Format != endpointsFormat || content.Dispatcher != name || len(content.Endpoints) == 0 {
		return nil, fmt.Errorf("%s: %w", endpointsFile, errForeignFile)
	}
	return content.Endpoints, nil
}

// Close gives the claim back. The other files stay, for processes to come.
func (p *Process) Close() {
	if p.claimFile != nil {
		os.Remove(p.claimPath())
		p.claimFile.Close()
	}
}

// lock keeps other processes from writing.
func (p *Process) lock() (unlock func(), err error) {
	file, err := os.OpenFile(filepath.Join(p.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the lock: %w", err)
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { file.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(deadline) {
			file.Close()
			return nil, fmt.Errorf("the lock: %w", err)
		}
	}
}

// writeFile puts a whole file in place.
func (p *Process) writeFile(name string, content any) error {
	raw, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	file, err := os.CreateTemp(p.dir, tempPrefix)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, err = file.Write(raw)
	if err = errors.Join(err, file.Close()); err == nil {
		err = os.Rename(file.Name(), filepath.Join(p.dir, name))
	}
	if err != nil {
		os.Remove(file.Name())
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// readFile reads a file that somebody else may have put there.
func readFile(path string) ([]byte, error) {
	info, err := os.Lstat(path)
	switch {
	case err != nil:
		return nil, err
	case !info.Mode().IsRegular():
		return nil, errors.New("it is no plain file")
	case info.Size() > maxFileSize:
		return nil, fmt.Errorf("it is larger than %d bytes", maxFileSize)
	}
	return os.ReadFile(path)
}
