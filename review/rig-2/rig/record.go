// Package rig has the stand-ins of the second review: discovery, runners, clients and the control of a dispatcher's process. They follow
// the platform's pages and use loopback addresses and free ports only.
package rig

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the record of one run. It is safe for concurrent use.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	bad   int
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Since returns the time since the start of the run.
func (r *Record) Since() time.Duration { return time.Since(r.start) }

// Log writes one line.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes one line and prints it.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf("%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	r.Log(format, args...)
}

// Broken records that the rule was broken.
func (r *Record) Broken(format string, args ...any) {
	r.mu.Lock()
	r.bad++
	n := r.bad
	r.mu.Unlock()
	if n <= 20 {
		r.Say("BROKEN: "+format, args...)
		return
	}
	r.Log("BROKEN: "+format, args...)
}

// BrokenCount returns how often the rule was broken.
func (r *Record) BrokenCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bad
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
