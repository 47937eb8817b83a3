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
	lockWait   = 50 * time.Millisecond // for the other process to be through with a file: it may be stopped, and calls wait
	lockRetry  = 5 * time.Millisecond
	halfDone   = 1 * time.Minute // a file that is not in its place after so long never will be
	forgetWord = 1 * time.Hour   // a runner that was put back so long ago is warm, and its word of no use
	fileMost   = 8 << 20         // bytes of a file that are read
)

// The files, and the words that they begin with. Another format than ours is passed over.
const (
	claimPrefix = "process-"
	newPrefix   = "new-"
	handFile    = "hand"
	listFile    = "list"
	lockFile    = "lock"
	handFormat  = "birchfork hand 1"
	listFormat  = "birchfork list 1"
)

// The states of a process, as its claim tells them.
const (
	starting = "starting"
	serving  = "serving"
	leaving  = "leaving"
)

// Word is what the operators said of a runner last.
type Word struct {
	Out bool  `json:"out"`
	At  int64 `json:"at"` // Unix time in microseconds
}

// Words are what the operators have said, by runner.
type Words map[string]Word

// merge takes the newer word on each runner; it tells whether that changed anything.
func (w Words) merge(o Words) (changed bool) {
	for name, word := range o {
		if old, ok := w[name]; !ok || word.At > old.At {
			w[name], changed = word, true
		}
	}
	return changed
}

// Others is what stands beside this process.
type Others struct {
	Alive   int
	Serving bool // one of them serves
	Newer   bool // one of them came after this one
}

// Process is one process of a dispatcher. Its zero value shares nothing: what it is told it keeps to itself.
type Process struct {
	dir, name string
	claim     *os.File // nil: nothing is shared
	number    int64    // of the claim, never used twice

	mu     sync.Mutex
	words  Words
	read   os.FileInfo // the file that words were read from; nil: none
	behind bool        // words has what the file may not have
}

// Open claims a place among the processes of the dispatcher of this name, in a folder that they share.
func Open(dir, name string) (*Process, error) {
	if dir == "" {
		return nil, errors.New("TMPDIR is not set")
	}
	p := &Process{dir: filepath.Join(dir, "birchfork-"+plain(name)), name: name, words: Words{}}
	if err := os.MkdirAll(p.dir, 0o700); err != nil {
		return nil, fmt.Errorf("the shared folder: %w", err)
	}
	p.tidy()
	// Locked before it gets its name: one that is found without a lock is left over from a process that is gone.
	f, err := os.CreateTemp(p.dir, newPrefix)
	if err != nil {
		return nil, fmt.Errorf("the claim: %w", err)
	}
	p.claim, p.number = f, time.Now().UnixNano()
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		err = p.state(starting)
	}
	if err == nil {
		err = os.Rename(f.Name(), p.claimPath())
	}
	if err != nil {
		os.Remove(f.Name())
		f.Close()
		return nil, fmt.Errorf("the claim: %w", err)
	}
	return p, nil
}

// tidy takes away what processes left that were killed while they wrote.
func (p *Process) tidy() {
	entries, _ := os.ReadDir(p.dir)
	for _, e := range entries {
		if i, err := e.Info(); err == nil && strings.HasPrefix(e.Name(), newPrefix) && time.Since(i.ModTime()) > halfDone {
			os.Remove(filepath.Join(p.dir, e.Name()))
		}
	}
}

// plain is a name that is safe in a path.
func plain(name string) string {
	return strings.Map(func(r rune) rune {
		if r >= '0' && r <= '9' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, name)
}

func (p *Process) claimPath() string {
	return filepath.Join(p.dir, claimPrefix+strconv.FormatInt(p.number, 10)+"-"+strconv.Itoa(os.Getpid()))
}

// Folder is what the processes of this dispatcher share, on the same machine; empty where nothing is shared.
func (p *Process) Folder() string {
	if p.claim == nil {
		return ""
	}
	return p.dir
}

// Number tells processes of one dispatcher apart; 0 where nothing is shared.
func (p *Process) Number() int64 { return p.number }

// state writes what this process does into its claim. All states have the same length but for blanks, so that a reader
// never finds parts of two.
func (p *Process) state(s string) error {
	if p.claim == nil {
		return nil
	}
	if _, err := p.claim.WriteAt(fmt.Appendf(nil, "%-9s\n", s), 0); err != nil {
		return fmt.Errorf("the claim: %w", err)
	}
	return nil
}

// Serving tells the others that this process serves.
func (p *Process) Serving() error { return p.state(serving) }

// Leaving tells them that it does not any more.
func (p *Process) Leaving() error { return p.state(leaving) }

// Others looks who else is alive. What processes left that are gone is taken away.
func (p *Process) Others() (o Others) {
	if p.claim == nil {
		return o
	}
	entries, err := os.ReadDir(p.dir)
	if err != nil {
		return o
	}
	for _, e := range entries {
		path := filepath.Join(p.dir, e.Name())
		if !strings.HasPrefix(e.Name(), claimPrefix) || path == p.claimPath() {
			continue
		}
		state, alive := look(path)
		if !alive {
			os.Remove(path)
			continue
		}
		o.Alive++
		o.Serving = o.Serving || state == serving
		o.Newer = o.Newer || claimed(e.Name()) > p.number
	}
	return o
}

// claimed is the number of a claim by its file's name; 0 where it has none.
func claimed(file string) int64 {
	number, _, _ := strings.Cut(strings.TrimPrefix(file, claimPrefix), "-")
	n, _ := strconv.ParseInt(number, 10, 64)
	return n
}

// look tells whether the process of a claim is alive, and what it does.
func look(path string) (state string, alive bool) {
	f, err := os.Open(path)
	if err != nil {
		return "", !errors.Is(err, os.ErrNotExist) // no descriptor left, say: it may well be alive
	}
	defer f.Close()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		return "", false
	}
	var b [16]byte
	n, _ := f.ReadAt(b[:], 0)
	return strings.TrimSpace(string(b[:n])), true
}

// Say notes the operators' word on a runner, newer than any before, and returns it. It counts for this process in any
// case; an error says that others, and later ones, do not hear it yet: each Sync tries again.
func (p *Process) Say(runner string, out bool) (Word, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.sync() // the newest word may be the other's
	old := p.words[runner]
	w := Word{Out: out, At: max(time.Now().UnixMicro(), old.At+1)}
	if !out && !old.Out {
		return old, err // one that is not out is not put back
	}
	if p.words == nil {
		p.words = Words{}
	}
	p.words[runner], p.behind = w, true
	return w, p.sync()
}

// Sync exchanges words with the others and returns all; the map is the caller's.
func (p *Process) Sync() (Words, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := p.sync()
	all := Words{}
	all.merge(p.words)
	return all, err
}

// sync reads the file where it has changed, and writes it where we know more. The lock is held.
func (p *Process) sync() error {
	if p.claim == nil {
		return nil
	}
	now, err := os.Stat(filepath.Join(p.dir, handFile))
	same := err == nil && p.read != nil && os.SameFile(now, p.read) && now.ModTime().Equal(p.read.ModTime()) && now.Size() == p.read.Size()
	if !p.behind && (same || errors.Is(err, os.ErrNotExist)) {
		return nil
	}
	if !p.behind {
		return p.readWords() // whole files are renamed into place: no lock is needed
	}
	unlock, err := p.lock()
	if err != nil {
		return err
	}
	defer unlock()
	if err := p.readWords(); err != nil && !errors.Is(err, errForeign) { // what is not ours gives way
		return err
	}
	for name, w := range p.words {
		if !w.Out && time.Since(time.UnixMicro(w.At)) > forgetWord {
			delete(p.words, name)
		}
	}
	if err := p.write(handFile, handContent{Format: handFormat, Dispatcher: p.name, Runners: p.words}); err != nil {
		return err
	}
	p.behind = false
	p.read, _ = os.Stat(filepath.Join(p.dir, handFile))
	return nil
}

type handContent struct {
	Format     string `json:"format"`
	Dispatcher string `json:"dispatcher"`
	Runners    Words  `json:"runners"`
}

var errForeign = errors.New("it is torn, of another format or another dispatcher's")

// readWords merges the file's words into ours. A file that is not ours is passed over, once.
func (p *Process) readWords() error {
	path := filepath.Join(p.dir, handFile)
	was := p.read
	p.read, _ = os.Stat(path)
	raw, err := read(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		p.read = was // to be read again
		return fmt.Errorf("%s: %w", handFile, err)
	}
	words, err := decodeWords(raw, p.name)
	if err != nil {
		return fmt.Errorf("%s: %w", handFile, err)
	}
	p.words.merge(words)
	return nil
}

func decodeWords(raw []byte, name string) (Words, error) {
	var c handContent
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("%w: %w", errForeign, err)
	}
	if c.Format != handFormat || c.Dispatcher != name {
		return nil, errForeign
	}
	return c.Runners, nil
}

type listContent struct {
	Format     string          `json:"format"`
	Dispatcher string          `json:"dispatcher"`
	List       json.RawMessage `json:"list"`
}

// KeepList leaves the newest list for a process that starts, in discovery's form.
func (p *Process) KeepList(list json.RawMessage) error {
	if p.claim == nil {
		return nil
	}
	return p.write(listFile, listContent{listFormat, p.name, list})
}

// List is the newest list that another process left; nil where there is none.
func (p *Process) List() (json.RawMessage, error) {
	if p.claim == nil {
		return nil, nil
	}
	raw, err := read(filepath.Join(p.dir, listFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", listFile, err)
	}
	return decodeList(raw, p.name)
}

func decodeList(raw []byte, name string) (json.RawMessage, error) {
	var c listContent
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, fmt.Errorf("%s: %w: %w", listFile, errForeign, err)
	}
	if c.Format != listFormat || c.Dispatcher != name || len(c.List) == 0 {
		return nil, fmt.Errorf("%s: %w", listFile, errForeign)
	}
	return c.List, nil
}

// Close gives the claim back. The other files stay, for processes to come.
func (p *Process) Close() {
	if p.claim != nil {
		os.Remove(p.claimPath())
		p.claim.Close()
	}
}

// lock keeps other processes from writing.
func (p *Process) lock() (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(p.dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("the lock: %w", err)
	}
	for end := time.Now().Add(lockWait); ; time.Sleep(lockRetry) {
		err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { f.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) || time.Now().After(end) {
			f.Close()
			return nil, fmt.Errorf("the lock: %w", err)
		}
	}
}

// write puts a whole file in place.
func (p *Process) write(name string, content any) error {
	raw, err := json.Marshal(content)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	f, err := os.CreateTemp(p.dir, newPrefix)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	_, err = f.Write(raw)
	if err = errors.Join(err, f.Close()); err == nil {
		err = os.Rename(f.Name(), filepath.Join(p.dir, name))
	}
	if err != nil {
		os.Remove(f.Name())
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// read reads a file that somebody else may have put there.
func read(path string) ([]byte, error) {
	i, err := os.Lstat(path)
	switch {
	case err != nil:
		return nil, err
	case !i.Mode().IsRegular():
		return nil, errors.New("it is no plain file")
	case i.Size() > fileMost:
		return nil, fmt.Errorf("it is larger than %d bytes", fileMost)
	}
	return os.ReadFile(path)
}
