package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/engine"
)

// ErrNoFileDescriptor is wrapped by the error of Pool.Get if this process has reached its limit of connections or file descriptors. It is not
// a failure of the worker.
var ErrNoFileDescriptor = errors.New("no file descriptor available")

// DialFunc opens a connection to a worker's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool owns the connections to workers. It opens connections, keeps idle ones for reuse and limits their number. It is safe for concurrent
// use.
type Pool struct {
	counters *engine.Counters

	mu          sync.Mutex
	dial        DialFunc
	maxConns    int           // maximum number of open connections
	idleTimeout time.Duration // idle time after which a connection is closed
	idle        []*Conn       // the longest idle first
	open        int           // number of connections that are idle, in use or being set up
	closed      bool          // Put closes connections instead of keeping them
}

// NewPool returns an empty pool of at most maxConns connections, which updates counters.
func NewPool(dial DialFunc, counters *engine.Counters, maxConns int, idleTimeout time.Duration) *Pool {
	return &Pool{dial: dial, counters: counters, maxConns: maxConns, idleTimeout: idleTimeout}
}

// Get returns the most recently used idle connection to address, or opens a new connection. The caller owns it until Put, Close or Reset.
// The error wraps ErrNoFileDescriptor if the limit of connections or file descriptors is reached, otherwise the dial error.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if conn := p.reuse(address); conn != nil {
		return conn, nil
	}
	return p.openConn(ctx, address)
}

// reuse returns an idle connection to address that is still open, or nil if there is none.
func (p *Pool) reuse(address string) *Conn {
	for {
		conn := p.takeIdle(address)
		if conn == nil {
			return nil
		}
		if conn.isReusable() {
			p.counters.ReusedConns.Add(1)
			return conn
		}
		p.counters.StaleConns.Add(1)
		_ = conn.Close()
	}
}

func (p *Pool) openConn(ctx context.Context, address string) (*Conn, error) {
	dial, ok := p.reserveCapacity()
	if !ok {
		p.counters.NoFileDescriptor.Add(1)
		return nil, ErrNoFileDescriptor
	}
	raw, err := dial(ctx, address)
	if err != nil {
		p.releaseCapacity()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			p.counters.NoFileDescriptor.Add(1)
			return nil, fmt.Errorf("%w: %w", ErrNoFileDescriptor, err)
		}
		return nil, fmt.Errorf("connecting: %w", err)
	}
	p.counters.Dials.Add(1)
	return newConn(p, address, raw), nil
}

// takeIdle removes and returns the most recently used idle connection to address, or nil if there is none.
func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, conn := range slices.Backward(p.idle) {
		if conn.address == address && time.Since(conn.idleSince) < p.idleTimeout {
			p.idle = slices.Delete(p.idle, i, i+1)
			return conn
		}
	}
	return nil
}

// reserveCapacity reserves capacity for one connection and returns the function that opens it. If the limit is reached, it closes the
// connection that has been idle longest. ok is false if there is none.
func (p *Pool) reserveCapacity() (dial DialFunc, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxConns && len(p.idle) > 0 {
		longestIdle := p.idle[0]
		p.closeIdle(func(conn *Conn) bool { return conn == longestIdle })
	}
	if p.open >= p.maxConns {
		return nil, false
	}
	p.open++
	return p.dial, true
}

// releaseCapacity releases the capacity that reserveCapacity has reserved.
func (p *Pool) releaseCapacity() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Put returns a connection to the pool after a complete response. It closes a connection on which the worker has sent additional data.
func (p *Pool) Put(conn *Conn) {
	surplus := conn.Reader.Buffered() > 0
	if surplus || conn.SetDeadline(time.Time{}) != nil {
		_ = conn.Close()
		return
	}
	conn.setReadLimit(noReadLimit)
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	if p.closed {
		p.closeAllIdle()
	}
}

// Reconfigure sets the function that opens new connections, and the idle timeout.
func (p *Pool) Reconfigure(dial DialFunc, idleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial = dial
	p.idleTimeout = idleTimeout
}

// SetMaxConns sets the maximum number of open connections. It closes idle connections above the maximum, the longest idle first.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
	excess := p.open - maxConns
	p.closeIdle(func(*Conn) bool {
		excess--
		return excess >= 0
	})
}

// CloseIdleTo closes the idle connections to an address.
func (p *Pool) CloseIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(conn *Conn) bool { return conn.address == address })
}

// CloseExpired closes connections that have reached the idle timeout. Workers close idle connections after a time of their own, and a
// request that is sent while the worker closes the connection would be lost.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(conn *Conn) bool { return time.Since(conn.idleSince) >= p.idleTimeout })
}

// Close closes all idle connections. Connections in use stay open until they are put back, and are then closed.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAllIdle()
}

// Counts returns the number of open connections and the number of idle ones among them.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

func (p *Pool) closeAllIdle() { p.closeIdle(func(*Conn) bool { return true }) }

// closeIdle closes the matching idle connections, the longest idle first. The caller must hold the lock.
func (p *Pool) closeIdle(matches func(*Conn) bool) {
	var closing []*Conn
	kept := p.idle[:0]
	for _, conn := range p.idle {
		if matches(conn) {
			closing = append(closing, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	for _, conn := range closing {
		conn.closeOnce.Do(func() { // Conn.Close would take the lock again
			conn.Conn.Close()
			p.open--
		})
	}
}
