// Package upstream holds connections to workers.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/engine"
)

// ErrNoFileDescriptor says that no further connection may be opened: our own limit, no fault of the worker's.
var ErrNoFileDescriptor = errors.New("no descriptor is left for a connection")

// DialFunc opens a connection to a worker.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Pool owns the connections to workers. A Conn that Get returned is its taker's until Put or Close.
type Pool struct {
	dial        DialFunc
	counters    *engine.Counters
	maxConns    int           // connections open at a time
	idleTimeout time.Duration // idle ones are closed after this

	mu   sync.Mutex
	idle []*Conn // longest idle first
	open int     // idle ones, those in use and those being set up

	closed bool
}

// NewPool returns an empty pool.
func NewPool(dial DialFunc, counters *engine.Counters, maxConns int, idleTimeout time.Duration) *Pool {
	return &Pool{dial: dial, counters: counters, maxConns: maxConns, idleTimeout: idleTimeout}
}

// Conn is a connection to a worker with its buffer.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	pool      *Pool
	address   string
	input     io.LimitedReader
	idleSince time.Time
	closeOnce sync.Once
}

// Unlimited is a limit on input that is never met.
const Unlimited = 1 << 62

// SetReadLimit bounds what may still be read from the connection.
func (c *Conn) SetReadLimit(n int64) { c.input.N = n }

// ReadLimitReached tells whether that limit was met.
func (c *Conn) ReadLimitReached() bool { return c.input.N <= 0 }

// Get returns an idle connection to addr that is still open, or a new one.
func (p *Pool) Get(ctx context.Context, address string) (*Conn, error) {
	for {
		conn := p.takeIdle(address)
		if conn == nil {
			break
		}
		if conn.stillOpen() {
			p.counters.ReusedConns.Add(1)
			return conn, nil
		}
		p.counters.StaleConns.Add(1)
		conn.Close()
	}
	if !p.reserve() {
		p.counters.NoFileDescriptor.Add(1)
		return nil, ErrNoFileDescriptor
	}
	p.mu.Lock()
	dial := p.dial
	p.mu.Unlock()
	raw, err := dial(ctx, address)
	if err != nil {
		p.release()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			p.counters.NoFileDescriptor.Add(1)
			return nil, fmt.Errorf("%w: %w", ErrNoFileDescriptor, err)
		}
		return nil, fmt.Errorf("connecting: %w", err)
	}
	p.counters.Dials.Add(1)
	conn := &Conn{Conn: raw, pool: p, address: address, input: io.LimitedReader{R: raw, N: Unlimited}}
	conn.Reader = bufio.NewReader(&conn.input)
	return conn, nil
}

func (p *Pool) takeIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if conn := p.idle[i]; conn.address == address && time.Since(conn.idleSince) < p.idleTimeout {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return conn
		}
	}
	return nil
}

// reserve counts a connection that is to be opened; the longest idle one goes where the limit is reached.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxConns && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.closeIdle(func(conn *Conn) bool { return conn == oldest })
	}
	if p.open >= p.maxConns {
		return false
	}
	p.open++
	return true
}

// Reconfigure sets how connections are opened from now on, and after which time idle ones are closed.
func (p *Pool) Reconfigure(dial DialFunc, idleTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial, p.idleTimeout = dial, idleTimeout
}

// SetMaxConns sets how many connections may be open; idle ones go that are too many now.
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

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Reset closes the connection and drops what was written and has not arrived.
func (c *Conn) Reset() error {
	if tcp, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		tcp.SetLinger(0)
	}
	return c.Close()
}

// Put gives a connection back after a whole answer, for further use.
func (p *Pool) Put(conn *Conn) {
	if conn.Reader.Buffered() > 0 || conn.SetDeadline(time.Time{}) != nil { // it said more than its answer
		conn.Close()
		return
	}
	conn.SetReadLimit(Unlimited)
	p.mu.Lock()
	defer p.mu.Unlock()
	conn.idleSince = time.Now()
	p.idle = append(p.idle, conn)
	if p.closed {
		p.closeIdle(func(*Conn) bool { return true })
	}
}

// Close closes the connection and gives its descriptor back, once.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.release()
	})
	return err
}

// CloseIdleTo closes the idle connections to an address.
func (p *Pool) CloseIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(conn *Conn) bool { return conn.address == address })
}

// CloseExpired closes connections that have been idle for long. A worker closes them at its own time, and a request that
// crosses that close would be lost.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(conn *Conn) bool { return time.Since(conn.idleSince) >= p.idleTimeout })
}

// Close closes all idle connections, and from now on those that are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(func(*Conn) bool { return true })
}

// closeIdle closes the idle connections that are picked. The lock is held.
func (p *Pool) closeIdle(matches func(*Conn) bool) {
	kept := p.idle[:0]
	var closing []*Conn
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
		conn.closeOnce.Do(func() {
			conn.Conn.Close()
			p.open--
		})
	}
}

// Counts is how many connections are open, and how many of them idle.
func (p *Pool) Counts() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// stillOpen tells whether an idle connection is open and silent. A close or reset that has come already shows here,
// before a request is written that would be lost with it.
func (c *Conn) stillOpen() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_, err = Peek(raw)
	return errors.Is(err, syscall.EAGAIN)
}

// Peek looks at what has come on a connection and leaves it there: n is 0 at its end, and err is EAGAIN where nothing
// has come. It does not wait, nor for another read that does.
func Peek(raw syscall.RawConn) (n int, err error) {
	outer := raw.Control(func(fd uintptr) { n, err = PeekFD(fd) })
	if outer != nil {
		return 0, outer
	}
	return n, err
}

// PeekFD does the same where the descriptor is at hand.
func PeekFD(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
