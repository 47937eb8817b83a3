package loadgen

import (
	"errors"
	"sync"
	"syscall"
)

// pool holds the idle connections to one dispatcher. It is safe for concurrent use.
type pool struct {
	mu     sync.Mutex
	idle   []*Conn
	closed bool
}

// take returns an idle connection on which no bytes have arrived since its last answer, or nil if there is none. It closes
// connections on which bytes have arrived or that have ended.
func (p *pool) take() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		switch n, err := c.peek(); {
		case errors.Is(err, syscall.EAGAIN):
			c.isFresh = false
			return c
		case err == nil && n > 0 && c.onExtraBytes != nil:
			c.onExtraBytes()
		}
		c.Close()
	}
	return nil
}

// put returns a connection to the pool. Its answers have been read completely.
func (p *pool) put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes the pool and its idle connections. Connections that are put back later are closed.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.reportExtraBytes()
		c.Close()
	}
	p.idle = nil
}
