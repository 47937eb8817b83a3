package admin

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"

	"birchfork/internal/memory"
	"birchfork/internal/socket"
)

// limitedListener limits the number of open connections. It accepts every connection, as one that waits in the kernel would block those
// behind it. If there are too many, it closes the oldest one without a pending call.
type limitedListener struct {
	net.Listener
	maxConns int
	heads    *memory.Budget // nil: no limit

	mu    sync.Mutex
	conns []*conn // oldest first
}

// conn is a connection from an operator.
type conn struct {
	net.Conn
	listener  *limitedListener
	pending   bool // a complete call was received that is not answered yet; guarded by the listener's mutex
	closeOnce sync.Once

	headMu   sync.Mutex
	head     memory.HeadReservation // of the only call, until the connection is closed
	headRead bool                   // the head is complete
	closed   bool
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

// contextWithConn adds the connection to the context of its calls.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext returns the connection of a call; nil if it is not a *conn.
func connFromContext(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &conn{Conn: raw, listener: l, head: memory.HeadReservation{Budget: l.heads}}
	if evicted := l.add(accepted); evicted != nil {
		evicted.closeSilently()
	}
	return accepted, nil
}

// add adds a connection, and returns the one to be closed in exchange; nil if the limit is not exceeded or none can be closed.
func (l *limitedListener) add(accepted *conn) (evicted *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, accepted)
	if len(l.conns) <= l.maxConns {
		return nil
	}
	return l.oldestIdle(accepted)
}

// oldestIdle returns the oldest connection without a pending call, other than except; nil if there is none. A connection with unread bytes
// is the last choice, as they may be a complete call. l.mu must be held.
func (l *limitedListener) oldestIdle(except *conn) *conn {
	var oldestUnread *conn
	for _, c := range l.conns {
		switch {
		case c.pending || c == except:
		case !c.hasUnread():
			return c
		case oldestUnread == nil:
			oldestUnread = c
		}
	}
	return oldestUnread
}

// closeIdle closes all connections without a pending call.
func (l *limitedListener) closeIdle() {
	for _, c := range l.idle() {
		c.closeSilently()
	}
}

// idle returns the connections without a pending call.
func (l *limitedListener) idle() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := make([]*conn, 0, len(l.conns))
	for _, c := range l.conns {
		if !c.pending {
			idle = append(idle, c)
		}
	}
	return idle
}

// remove removes a connection from the list.
func (l *limitedListener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.conns, c); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

// setPending sets whether a complete call was received that is not answered yet.
func (c *conn) setPending(pending bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.pending = pending
}

// hasUnread reports whether bytes were received that are not read yet.
func (c *conn) hasUnread() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	n, err := socket.Peek(raw)
	return err == nil && n > 0
}

// Read implements net.Conn. It fails if there is no memory for the call, which net/http then answers with status 400.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.headRead {
		return n, err
	}
	if rejected := c.head.Add(p[:n]); rejected != nil {
		return 0, rejected
	}
	return n, err
}

// endHead records that the head of the call is complete.
func (c *conn) endHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.headRead = true
}

// releaseHead releases the memory of the call. Nothing is read afterwards.
func (c *conn) releaseHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.closed = true
	c.head.Release()
}

// CloseWrite closes the sending side, so that an answer is not lost while the caller still sends. net/http calls it if it exists.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and removes it from the listener's list. Later calls have no effect.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.releaseHead()
		c.listener.remove(c)
	})
	return err
}

// closeSilently closes a connection without an answer and ignores the error.
func (c *conn) closeSilently() { _ = c.Close() }
