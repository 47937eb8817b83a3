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

// ErrNoFileDescriptor is the error of Pool.Get if no further connection may be opened: this process has reached its limit, and the worker
// is not at fault.
var ErrNoFileDescriptor = errors.New("no file descriptor left")

// DialFunc opens a connection to a worker's address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Pool owns the connections to workers: it opens them, keeps idle ones for reuse and limits their number. It is safe for concurrent use.
type Pool struct {
	counters *engine.Counters

	mu          sync.Mutex
	dial        DialFunc
	maxConns    int           // maximum number of open connections
	idleTimeout time.Duration // after which idle connections are closed
	idle        []*Conn       // longest idle first
	open        int           // connections that are idle, in use or being set up
	closed      bool          // connections that are put back are closed
}

// NewPool returns an empty pool of at most maxConns connections, which are counted in counters.
func NewPool(dial DialFunc, counters *engine.Counters, maxConns int, idleTimeout time.Duration) *Pool {
	return &Pool{dial: dial, counters: counters, maxConns: maxConns, idleTimeout: idleTimeout}
}

// Get returns the idle connection to address that was put back last, or opens one. The caller owns it until Put, Close or Reset. The error
// is ErrNoFileDescriptor if the limit leaves none, otherwise the dial error.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	if conn := p.reuse(address); conn != nil {
		return conn, nil
	}
	return p.openConn(ctx, address)
}

// reuse takes an idle connection to address that is still open; nil if there is none.
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

// takeIdle takes the connection to address that has been idle for the shortest time; nil if there is none.
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

// reserveCapacity reserves a place for a connection that is to be opened with the returned function. At the limit the longest idle connection
// is closed; ok is false if there is none.
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

// releaseCapacity releases what reserveCapacity reserved.
func (p *Pool) releaseCapacity() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Put returns a connection to the pool after a complete response. A connection on which the worker has sent more than that is closed.
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

// Reconfigure sets how connections are opened from now on, and after which time idle ones are closed.
func (p *Pool) Reconfigure(dial DialFunc, idleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial = dial
	p.idleTimeout = idleTimeout
}

// SetMaxConns sets the maximum number of open connections. Idle ones over it are closed, the longest idle first.
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

// CloseExpired closes connections that have been idle for the idle timeout. A worker closes idle connections too, at a time of its choice,
// and a request that crosses that close would be lost.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(conn *Conn) bool { return time.Since(conn.idleSince) >= p.idleTimeout })
}

// Close closes all idle connections, and from now on those that are put back. Connections in use stay open until then.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeAllIdle()
}

// Counts returns the number of open connections, and how many of them are idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

func (p *Pool) closeAllIdle() { p.closeIdle(func(*Conn) bool { return true }) }

// closeIdle closes the matching idle connections, longest idle first. The caller must hold the lock.
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
		conn.closeOnce.Do(func() { // not Conn.Close, which takes the lock
			conn.Conn.Close()
			p.open--
		})
	}
}
