package engine

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
)

// ErrNoDescriptor says that no further connection may be opened: our own limit, no fault of the worker's.
var ErrNoDescriptor = errors.New("no descriptor is left for a connection")

// Dial opens a connection to a worker.
type Dial func(ctx context.Context, addr string) (net.Conn, error)

// Pool owns the connections to workers. A Conn that Get returned is its taker's until Put or Close.
type Pool struct {
	dial     Dial
	counters *Counters
	most     int           // connections open at a time
	idleLife time.Duration // idle ones are closed after this

	mu   sync.Mutex
	idle []*Conn // longest idle first
	open int     // idle ones, those in use and those being set up

	closed bool
}

// NewPool returns an empty pool.
func NewPool(dial Dial, c *Counters, most int, idleLife time.Duration) *Pool {
	return &Pool{dial: dial, counters: c, most: most, idleLife: idleLife}
}

// Conn is a connection to a worker with its buffer.
type Conn struct {
	net.Conn
	Reader *bufio.Reader

	pool  *Pool
	addr  string
	in    io.LimitedReader
	since time.Time
	once  sync.Once
}

// Unbounded is a limit on input that is never met.
const Unbounded = 1 << 62

// Limit bounds what may still be read from the connection.
func (c *Conn) Limit(n int64) { c.in.N = n }

// Spent tells whether that limit was met.
func (c *Conn) Spent() bool { return c.in.N <= 0 }

// Get returns an idle connection to addr that is still open, or a new one.
func (p *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if c.unused() {
			p.counters.Reused.Add(1)
			return c, nil
		}
		p.counters.StaleConns.Add(1)
		c.Close()
	}
	if !p.reserve() {
		p.counters.NoDescriptor.Add(1)
		return nil, ErrNoDescriptor
	}
	p.mu.Lock()
	dial := p.dial
	p.mu.Unlock()
	raw, err := dial(ctx, addr)
	if err != nil {
		p.giveBack()
		if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
			p.counters.NoDescriptor.Add(1)
			return nil, fmt.Errorf("%w: %w", ErrNoDescriptor, err)
		}
		return nil, fmt.Errorf("connecting: %w", err)
	}
	p.counters.Dials.Add(1)
	c := &Conn{Conn: raw, pool: p, addr: addr, in: io.LimitedReader{R: raw, N: Unbounded}}
	c.Reader = bufio.NewReader(&c.in)
	return c, nil
}

func (p *Pool) takeIdle(addr string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idle) - 1; i >= 0; i-- {
		if c := p.idle[i]; c.addr == addr && time.Since(c.since) < p.idleLife {
			p.idle = append(p.idle[:i], p.idle[i+1:]...)
			return c
		}
	}
	return nil
}

// reserve counts a connection that is to be opened; the longest idle one goes where the limit is reached.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.closeIdle(func(c *Conn) bool { return c == oldest })
	}
	if p.open >= p.most {
		return false
	}
	p.open++
	return true
}

// Tune sets how connections are opened from now on, and after which time idle ones are closed.
func (p *Pool) Tune(dial Dial, idleLife time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dial, p.idleLife = dial, idleLife
}

// SetMost sets how many connections may be open; idle ones go that are too many now.
func (p *Pool) SetMost(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
	over := p.open - most
	p.closeIdle(func(*Conn) bool {
		over--
		return over >= 0
	})
}

func (p *Pool) giveBack() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// Reset closes the connection and drops what was written and has not arrived.
func (c *Conn) Reset() error {
	if t, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		t.SetLinger(0)
	}
	return c.Close()
}

// Put gives a connection back after a whole answer, for further use.
func (p *Pool) Put(c *Conn) {
	if c.Reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil { // it said more than its answer
		c.Close()
		return
	}
	c.Limit(Unbounded)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.since = time.Now()
	p.idle = append(p.idle, c)
	if p.closed {
		p.closeIdle(func(*Conn) bool { return true })
	}
}

// Close closes the connection and gives its descriptor back, once.
func (c *Conn) Close() error {
	var err error
	c.once.Do(func() {
		err = c.Conn.Close()
		c.pool.giveBack()
	})
	return err
}

// Drop closes the idle connections to an address.
func (p *Pool) Drop(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(c *Conn) bool { return c.addr == addr })
}

// Sweep closes connections that have been idle for long. A worker closes them at its own time, and a request that
// crosses that close would be lost.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdle(func(c *Conn) bool { return time.Since(c.since) >= p.idleLife })
}

// Close closes all idle connections, and from now on those that are put back.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle(func(*Conn) bool { return true })
}

// closeIdle closes the idle connections that are picked. The lock is held.
func (p *Pool) closeIdle(picked func(*Conn) bool) {
	kept := p.idle[:0]
	var gone []*Conn
	for _, c := range p.idle {
		if picked(c) {
			gone = append(gone, c)
		} else {
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
	for _, c := range gone {
		c.once.Do(func() {
			c.Conn.Close()
			p.open--
		})
	}
}

// Open is how many connections are open, and how many of them idle.
func (p *Pool) Open() (open, idle int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open, len(p.idle)
}

// unused tells whether an idle connection is open and silent. A close or reset that has come already shows here,
// before a request is written that would be lost with it.
func (c *Conn) unused() bool {
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
	outer := raw.Control(func(fd uintptr) { n, err = PeekAt(fd) })
	if outer != nil {
		return 0, outer
	}
	return n, err
}

// PeekAt does the same where the descriptor is at hand.
func PeekAt(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
