package engine

import (
	"context"
	"time"
)

// Parameters of the detection and handling of stalls.
const (
	stallThreshold = 250 * time.Millisecond // a longer time without a heartbeat is a stall
	stallPause     = 30 * time.Millisecond  // time for the discovery watch to read the updates that arrived during the stall
)

// Heartbeat records that the process is running. It must be called every few dozen milliseconds. It also checks whether the lease has
// expired.
func (e *Engine) Heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordHeartbeat(time.Now())
	e.updateLeaseExclusions()
}

// recordHeartbeat records a heartbeat and, if it follows a stall, starts the pause in which nothing is sent. The caller must hold the lock.
func (e *Engine) recordHeartbeat(now time.Time) {
	if !e.lastHeartbeat.IsZero() && now.Sub(e.lastHeartbeat) > stallThreshold {
		e.pauseEnd = now.Add(stallPause)
		e.Counters.Stalls.Add(1)
	}
	e.lastHeartbeat = now
}

// waitAfterStall waits until the pause after a stall is over or ctx is done. It prevents an attempt at a worker whose drain arrived during
// the stall: the drain counts as delivered, although the discovery watch has not read it yet.
func (e *Engine) waitAfterStall(ctx context.Context) {
	e.mu.Lock()
	now := time.Now()
	if !e.lastHeartbeat.IsZero() {
		e.recordHeartbeat(now) // the attempt may run before the first heartbeat after the stall
	}
	pause := e.pauseEnd.Sub(now)
	e.mu.Unlock()
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
