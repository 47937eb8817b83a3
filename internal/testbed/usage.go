package testbed

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// usage is the resource usage of a dispatcher, over all its processes.
type usage struct {
	cpu time.Duration // of the processes that have ended
	rss int64         // peak, bytes
	fds int           // peak of the samples
}

// procDir returns the directory of a process under /proc.
func (p *process) procDir() string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid))
}

// sample reads the memory and the open descriptors of the current process. Usage is unchanged if the system does not provide
// them.
func (d *dispatcher) sample() {
	p := d.currentProcess()
	if p == nil {
		return
	}
	status, err := os.ReadFile(filepath.Join(p.procDir(), "status"))
	if err != nil {
		return
	}
	_, rest, _ := bytes.Cut(status, []byte("VmHWM:"))
	fields := bytes.Fields(rest)
	if len(fields) == 0 {
		return
	}
	kb, _ := strconv.ParseInt(string(fields[0]), 10, 64)
	fds, _ := os.ReadDir(filepath.Join(p.procDir(), "fd"))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usage.rss = max(d.usage.rss, kb<<10)
	d.usage.fds = max(d.usage.fds, len(fds))
}

// used returns the usage of all processes so far, without the CPU time of the running process.
func (d *dispatcher) used() usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.usage
}

// clockTick is the unit of CPU time under /proc, which is the same on all Linux platforms that Go supports.
const clockTick = 10 * time.Millisecond

// Indexes of fields of /proc/PID/stat, counted from the one after the process's name.
const (
	userTimeField   = 11
	systemTimeField = 12
)

// cpu returns the CPU time of the current process, or 0 if the system does not provide it.
func (d *dispatcher) cpu() time.Duration {
	p := d.currentProcess()
	if p == nil {
		return 0
	}
	raw, err := os.ReadFile(filepath.Join(p.procDir(), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(raw, []byte(") ")) // after the name, which may contain spaces
	fields := bytes.Fields(rest)
	if len(fields) <= systemTimeField {
		return 0
	}
	user, _ := strconv.ParseInt(string(fields[userTimeField]), 10, 64)
	system, _ := strconv.ParseInt(string(fields[systemTimeField]), 10, 64)
	return time.Duration(user+system) * clockTick
}
