package engine

import (
	"context"
	"time"
)

// Detection and handling of a stall of the process.
const (
	stallThreshold = 250 * time.Millisecond // longest time without a heartbeat that is not a stall
	stallPause     = 30 * time.Millisecond  // time after a stall for the watch on discovery to read what has arrived meanwhile
)

// Heartbeat records that the process runs. It must be called every few dozen milliseconds. It also notices that a lease has expired.
func (e *Engine) Heartbeat() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.recordHeartbeat(time.Now())
	e.updateLeaseExclusions()
}

// recordHeartbeat records a heartbeat and, if it is late, until when nothing is sent. The caller must hold the lock.
func (e *Engine) recordHeartbeat(now time.Time) {
	if !e.lastHeartbeat.IsZero() && now.Sub(e.lastHeartbeat) > stallThreshold {
		e.pauseEnd = now.Add(stallPause)
		e.Counters.Stalls.Add(1)
	}
	e.lastHeartbeat = now
}

// waitAfterStall waits until the pause after a stall is over, or until ctx ends. It guards against an attempt at a worker whose drain
// arrived while the process stood still: the drain counts as delivered, although the watch has not read it yet.
func (e *Engine) waitAfterStall(ctx context.Context) {
	e.mu.Lock()
	now := time.Now()
	if !e.lastHeartbeat.IsZero() {
		e.recordHeartbeat(now) // an attempt may be the first to run after the stall
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
