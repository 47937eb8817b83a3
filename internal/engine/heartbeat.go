package engine

import (
	"context"
	"time"
)

// How a stall of the whole process is noticed and met.
const (
	stallThreshold = 250 * time.Millisecond // without a heartbeat for longer, the process has stood still
	stallPause     = 30 * time.Millisecond  // for the watch on discovery to read what came meanwhile
)

// Heartbeat records that the process runs. It is to be called every few dozen milliseconds. It also sees that a lease has run out.
func (e *Engine) Heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordHeartbeat(time.Now())
	e.updateLeaseExclusions()
}

// recordHeartbeat notes a heartbeat, and until when nothing is sent where it comes late. The lock is held.
func (e *Engine) recordHeartbeat(now time.Time) {
	if !e.lastHeartbeat.IsZero() && now.Sub(e.lastHeartbeat) > stallThreshold {
		e.pausedUntil = now.Add(stallPause)
		e.Counters.Stalls.Add(1)
	}
	e.lastHeartbeat = now
}

// waitAfterStall waits for the rest of the pause after a stall, or until ctx ends. It guards against an attempt at a worker whose drain
// came while the process stood still: the drain counts as delivered, though the watch has not read it yet.
func (e *Engine) waitAfterStall(ctx context.Context) {
	e.mu.Lock()
	now := time.Now()
	if !e.lastHeartbeat.IsZero() {
		e.recordHeartbeat(now) // an attempt may be the first to run again
	}
	pause := e.pausedUntil.Sub(now)
	e.mu.Unlock()
	if pause <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(pause):
	}
}
