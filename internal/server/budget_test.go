package server

import (
	"runtime"
	"runtime/debug"
	"testing"
)

// With any number of processes, each may open a connection to a worker, and none has a client limit of 0, which would mean no limit.
func TestDescriptorBudget_StaysPositive(t *testing.T) {
	c := &Config{AdminAddress: "127.0.0.1:1", Limits: Limits{Sockets: minSockets}}
	for processes := range 20 {
		b := c.descriptorBudget(processes + 1)
		if b.workers < 1 || b.clientsSoft < 1 || b.clientsHard < b.clientsSoft {
			t.Errorf("%d processes: %+v", processes+1, b)
		}
	}
}

// A fraction of a core is one processor; the heap may take three quarters of the memory.
func TestApplyRuntimeLimits(t *testing.T) {
	restoreLimits(t)
	applyRuntimeLimits(Limits{Cores: 0.5, MemoryMB: 100})
	if procs := runtime.GOMAXPROCS(0); procs != 1 {
		t.Errorf("GOMAXPROCS %d", procs)
	}
	if memory := debug.SetMemoryLimit(-1); memory != 75<<20 {
		t.Errorf("memory limit %d", memory)
	}
}
