// Package rig holds the stand-ins for the cases of the review: clients, workers, discovery's agent and the platform, which starts dispatchers
// with the commands of the deploy file. All addresses are loopback addresses.
package rig

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Record is the file record.txt of a case. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in a folder. From then on SIGTERM and SIGINT end the case and the processes that it started.
func NewRecord(folder string) *Record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		CannotRun("record.txt: %v", err)
	}
	ending := make(chan os.Signal, 1)
	signal.Notify(ending, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ending
		CannotRun("ended from outside")
	}()
	return &Record{file: file, start: time.Now()}
}

// Printf writes one line with the time since the start in milliseconds.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ms := float64(time.Since(r.start).Microseconds()) / 1000
	fmt.Fprintf(r.file, "%10.1f  %s\n", ms, fmt.Sprintf(format, args...))
}

// Say writes one line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// Exit codes of a case.
const (
	RuleHeld   = 0
	RuleBroken = 1
	NotRun     = 2
)

var tempFolder string

// TempFolder creates the folder of a case's files. End removes it.
func TempFolder() string {
	folder, err := os.MkdirTemp("", "birchfork-review-")
	if err != nil {
		CannotRun("%v", err)
	}
	tempFolder = folder
	return folder
}

// End ends all processes that were started, and removes the folder of TempFolder.
func End() {
	KillAll()
	if tempFolder != "" {
		os.RemoveAll(tempFolder)
	}
}

// CannotRun ends the case because it could not run.
func CannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	End()
	os.Exit(NotRun)
}

// Trouble reports whether the disruption is switched on: TROUBLE=0 switches it off.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }
