package admin

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"

	"birchfork/internal/socket"
)

// limitedListener bounds the number of open connections. It accepts every connection: one that waits in the kernel would hold up those
// behind it. Where there are too many, the oldest is closed on which no complete call has come.
type limitedListener struct {
	net.Listener
	maxConns int

	mu    sync.Mutex
	conns []*conn // oldest first
}

// conn is a connection from an operator.
type conn struct {
	net.Conn
	listener  *limitedListener
	pending   bool // a complete call has come that is not answered yet; guarded by the listener's lock
	closeOnce sync.Once
}

// connKey is the key of a call's connection in its context.
type connKey struct{}

// contextWithConn adds the connection to the context of its calls.
func contextWithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connFromContext is the connection of a call; nil where it came on another kind of connection.
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
	accepted := &conn{Conn: raw, listener: l}
	if evicted := l.add(accepted); evicted != nil {
		evicted.closeSilently()
	}
	return accepted, nil
}

// add notes a connection, and returns the one to be closed for it; nil where none has to be or can be.
func (l *limitedListener) add(accepted *conn) (evicted *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, accepted)
	if len(l.conns) <= l.maxConns {
		return nil
	}
	return l.oldestIdle(accepted)
}

// oldestIdle is the oldest connection without a pending call, other than except; nil where there is none. One on which something waits to
// be read is the last choice, as that may be a complete call. The lock is held.
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

// idle are the connections without a pending call.
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

// remove forgets a connection.
func (l *limitedListener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.conns, c); i >= 0 {
		l.conns = slices.Delete(l.conns, i, i+1)
	}
}

// setPending sets whether a complete call has come that is not answered yet.
func (c *conn) setPending(pending bool) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.pending = pending
}

// hasUnread tells whether bytes have come that nobody has read.
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

// CloseWrite ends sending, so that an answer is not lost with what the caller still sends. net/http looks for it.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// Close closes the connection and forgets it. Later calls do nothing.
func (c *conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.listener.remove(c)
	})
	return err
}

// closeSilently closes a connection whose caller gets no answer.
func (c *conn) closeSilently() { _ = c.Close() }
