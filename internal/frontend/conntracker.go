package frontend

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchfork/internal/engine"
	"birchfork/internal/memory"
)

// closePollInterval is the poll interval of WaitClosed. It is short compared with the wait itself: clients close a connection some
// milliseconds after this process has closed it.
const closePollInterval = time.Millisecond

// ConnTracker owns the client connections and limits their number. Connections are always accepted, since one that waits in the kernel
// takes up resources as well: if there are too many, one that awaits no response is closed. If part of a request has arrived on it, or its
// first request may be on its way, that request is rejected first. It is safe for concurrent use; after the first connection the limits must be changed only by SetLimits.
type ConnTracker struct {
	SoftLimit int // number of connections up to which requests are accepted and idle connections are kept
	HardLimit int // number of connections up to which those that may have an unread request are kept; 0: no limit
	Counters  *engine.Counters

	HeadBudget *memory.Budget // for heads over memory.HeadAllowance; nil: no limit

	retryAfter atomic.Int64 // nanoseconds: the Retry-After of requests that are rejected with their connection; 0: none

	mu    sync.Mutex
	conns map[*clientConn]bool
}

// WrapListener returns a listener whose connections the tracker owns.
func (t *ConnTracker) WrapListener(listener net.Listener) net.Listener {
	return &trackingListener{listener, t}
}

type trackingListener struct {
	net.Listener
	tracker *ConnTracker
}

// Accept returns the next connection, and closes others if there are too many.
func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(raw), nil
}

func (t *ConnTracker) track(raw net.Conn) *clientConn {
	conn := &clientConn{Conn: raw, tracker: t, since: time.Now(), headMemory: memory.HeadReservation{Budget: t.HeadBudget}}
	if sc, ok := raw.(syscall.Conn); ok {
		conn.rawConn, _ = sc.SyscallConn()
	}
	t.Counters.ClientConns.Add(1)
	t.mu.Lock()
	if t.conns == nil {
		t.conns = map[*clientConn]bool{}
	}
	t.conns[conn] = true
	evicted := t.evictExcess(conn)
	t.mu.Unlock()
	t.closeEvicted(evicted)
	return conn
}

// SetLimits sets the limits on connections. Connections in excess of them are closed if they await no response.
func (t *ConnTracker) SetLimits(soft, hard int) {
	t.mu.Lock()
	t.SoftLimit = soft
	t.HardLimit = hard
	evicted := t.evictExcess(nil)
	t.mu.Unlock()
	t.closeEvicted(evicted)
}

// closeEvicted closes connections that were evicted because of a limit. It returns when their file descriptors are free.
func (t *ConnTracker) closeEvicted(evicted []*clientConn) {
	for _, conn := range evicted {
		t.Counters.ClientConnsClosed.Add(1)
		_ = conn.closeNow()
	}
}

// evictExcess evicts connections in excess of the limits, but not the newest. One pass over all connections finds the next one to evict: a
// burst over the limit costs one file descriptor per connection, and must not delay the connections that are being served. The caller must
// hold the lock.
func (t *ConnTracker) evictExcess(newest *clientConn) (evicted []*clientConn) {
	if len(t.conns) <= t.SoftLimit {
		return nil
	}
	evicted = t.evictDownTo(t.SoftLimit, newest, false, evicted)
	return t.evictDownTo(t.HardLimit, newest, true, evicted)
}

// evictDownTo evicts connections until limit are left, and appends them to evicted. A limit of 0 means no limit. The caller must hold the
// lock.
func (t *ConnTracker) evictDownTo(limit int, newest *clientConn, includeUnread bool, evicted []*clientConn) []*clientConn {
	var skipped map[*clientConn]bool // candidates that could not be evicted
	for limit > 0 && len(t.conns) > limit {
		candidate := t.nextToEvict(newest, skipped)
		if candidate == nil {
			break
		}
		if candidate.evictForLimit(includeUnread) {
			delete(t.conns, candidate)
			evicted = append(evicted, candidate)
			continue
		}
		if skipped == nil {
			skipped = map[*clientConn]bool{}
		}
		skipped[candidate] = true
	}
	return evicted
}

// nextToEvict returns the connection of the lowest eviction class that has been silent for longest, except the newest one and those in
// skipped; nil if none may be evicted. The caller must hold the lock.
func (t *ConnTracker) nextToEvict(newest *clientConn, skipped map[*clientConn]bool) (best *clientConn) {
	now := time.Now()
	var bestClass evictionClass
	var bestSince time.Time
	for conn := range t.conns {
		if conn == newest || skipped[conn] {
			continue
		}
		class, since := conn.evictionClass(now)
		if class == evictNever {
			continue
		}
		precedes := class < bestClass || class == bestClass && since.Before(bestSince)
		if best == nil || precedes {
			best = conn
			bestClass = class
			bestSince = since
		}
	}
	return best
}

// CloseIdle closes the connections that are idle after a response. Those on which part of a request has arrived are not idle.
func (t *ConnTracker) CloseIdle() {
	now := time.Now()
	t.closeWhere(func(conn *clientConn) bool { return conn.evictIdle(now) })
}

// RejectUnfinished rejects the requests that have begun to arrive, and closes their connections.
func (t *ConnTracker) RejectUnfinished() {
	t.closeWhere((*clientConn).evictUnfinished)
}

// closeWhere closes the connections that evict evicts, each at once: bytes that arrive between the two are not answered.
func (t *ConnTracker) closeWhere(evict func(*clientConn) bool) {
	for _, conn := range t.all() {
		if evict(conn) {
			_ = conn.closeNow()
		}
	}
}

// all returns all connections.
func (t *ConnTracker) all() []*clientConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.conns))
}

// OverLimit reports whether the number of connections exceeds the soft limit, over which requests are rejected.
func (t *ConnTracker) OverLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) > t.SoftLimit
}

// Count returns the number of connections.
func (t *ConnTracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Pending returns the number of connections that await a response, on which a request has begun to arrive, or that are new and may soon
// send one.
func (t *ConnTracker) Pending() (n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for conn := range t.conns {
		if conn.pending() {
			n++
		}
	}
	return n
}

// WaitClosed returns when no connection is left or ctx ends.
func (t *ConnTracker) WaitClosed(ctx context.Context) {
	ticker := time.NewTicker(closePollInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && t.Count() > 0 {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// remove removes a closed connection.
func (t *ConnTracker) remove(conn *clientConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}
