package frontend

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/engine"
	"birchfork/internal/upstream"
)

// ConnTracker owns the connections from clients and keeps their number. Connections are always accepted, since one that
// waits in the kernel counts as ours: where there are too many, one is closed that owes nothing.
type ConnTracker struct {
	SoftLimit int // connections up to which all requests are taken
	HardLimit int // connections up to which those wait that have something to say; 0: no limit
	Counters  *engine.Counters

	mu    sync.Mutex
	conns map[*clientConn]bool
}

// WrapListener makes l's connections known.
func (t *ConnTracker) WrapListener(listener net.Listener) net.Listener {
	return &trackingListener{listener, t}
}

type trackingListener struct {
	net.Listener
	tracker *ConnTracker
}

func (l *trackingListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(raw), nil
}

func (t *ConnTracker) track(raw net.Conn) *clientConn {
	conn := &clientConn{Conn: raw, tracker: t, since: time.Now()}
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
	for _, victim := range evicted {
		t.Counters.ClientConnsClosed.Add(1)
		victim.closeNow() // returns when the descriptor is free
	}
	return conn
}

// evictExcess marks connections to be closed as there are too many, but for the newest. The lock is held. One look at each finds the next to
// go: a crowd that comes over the limit costs a descriptor a connection, and must not cost those that are served their time.
func (t *ConnTracker) evictExcess(newest *clientConn) (evicted []*clientConn) {
	if len(t.conns) <= t.SoftLimit {
		return nil
	}
	var skipped map[*clientConn]bool // not to be closed yet
	for _, includeUnread := range []bool{false, true} {
		limit := t.SoftLimit
		if includeUnread {
			limit = t.HardLimit
		}
		clear(skipped)
		for limit > 0 && len(t.conns) > limit {
			candidate := t.nextToEvict(newest, skipped)
			if candidate == nil {
				break
			}
			if candidate.evict(includeUnread) {
				delete(t.conns, candidate)
				evicted = append(evicted, candidate)
				continue
			}
			if skipped == nil {
				skipped = map[*clientConn]bool{}
			}
			skipped[candidate] = true
		}
	}
	return evicted
}

// nextToEvict is the connection that goes first of those that may, but for the newest and those passed over; nil where there is none. The
// lock is held.
func (t *ConnTracker) nextToEvict(newest *clientConn, skipped map[*clientConn]bool) (best *clientConn) {
	now, lowest, oldest := time.Now(), evictNever, time.Time{}
	for conn := range t.conns {
		if conn == newest || skipped[conn] {
			continue
		}
		if class, since := conn.evictionClass(now); class < lowest || class == lowest && class != evictNever && since.Before(oldest) {
			best, lowest, oldest = conn, class, since
		}
	}
	return best
}

// SetLimits sets how many connections there may be; those go that are too many now and are owed nothing.
func (t *ConnTracker) SetLimits(soft, hard int) {
	t.mu.Lock()
	t.SoftLimit, t.HardLimit = soft, hard
	evicted := t.evictExcess(nil)
	t.mu.Unlock()
	for _, victim := range evicted {
		t.Counters.ClientConnsClosed.Add(1)
		victim.closeNow()
	}
}

// Pending is how many connections are owed something, or may have something to say yet.
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

// WaitClosed waits until no connection is left, or ctx ends.
func (t *ConnTracker) WaitClosed(ctx context.Context) {
	ticker := time.NewTicker(waitInterval)
	defer ticker.Stop()
	for ctx.Err() == nil && t.Count() > 0 {
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// waitInterval is a part of what is waited for: a client's close, some milliseconds after our own.
const waitInterval = time.Millisecond

// Count is how many connections there are.
func (t *ConnTracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// CloseIdle closes the connections that stand idle after an answer.
func (t *ConnTracker) CloseIdle() {
	t.mu.Lock()
	var idle []*clientConn
	now := time.Now()
	for conn := range t.conns {
		if class, _ := conn.evictionClass(now); class == evictIdle && conn.evict(false) {
			delete(t.conns, conn)
			idle = append(idle, conn)
		}
	}
	t.mu.Unlock()
	for _, conn := range idle {
		conn.closeNow()
	}
}

// OverLimit tells whether there are more connections than requests can be taken from.
func (t *ConnTracker) OverLimit() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns) > t.SoftLimit
}

// The order in which connections are closed where there are too many.
const (
	evictClosing  = iota // has had its last answer
	evictUnproven        // has never had a proper request answered, and time enough to send one
	evictIdle            // a client's that comes again
	evictNew             // has just come
	evictNever           // never closed: it is owed an answer
)

// newConnPeriod is how long a connection may take to say something before it counts as one that says nothing.
const newConnPeriod = 50 * time.Millisecond

// clientConn is a connection from a client. It sees all that net/http reads, so it knows what net/http does not tell:
// whether anything of a request has come, how the request was framed, and whether more came than the request.
type clientConn struct {
	net.Conn
	rawConn     syscall.RawConn // nil: the connection has no descriptor
	tracker     *ConnTracker
	closeOnce   sync.Once // of Close
	releaseOnce sync.Once // of release

	mu               sync.Mutex
	evicted          bool // closed by us: nothing is read any more
	since            time.Time
	proven           bool // a proper request has been answered
	awaitingResponse bool // a whole request has come, its answer is not begun
	surplusBytes     int  // bytes that came behind it and were dropped
	responding       bool // its answer is being written; what comes now is a next request
	noMoreRequests   bool // no further request is read
	responded        bool // what was said last on it is an answer of ours
	writeClosed      bool // our sending has ended

	head           headScanner
	requestStarted bool  // something of the request has come
	bodyLeft       int64 // of its body
	surplus        bool  // more has come than the request
}

// maxSurplusBytes is how much may come behind a request that has not been answered: clients send one request at a time, and whoever sends
// more than a whole one on top waits for nothing that could be answered in order.
const maxSurplusBytes = maxHeaderBytes + maxBodyBytes

var errTooMuchSurplus = errors.New("too much came behind a request that is not answered yet")

// Read reads and notes. A connection that is being closed by us gives nothing any more: marking and reading exclude each
// other, so that no request is read from it and then lost. What comes behind a request while that waits for its answer is dropped, as
// the answer is the connection's last one then: net/http would stop looking at the first such byte, and not see the client leave.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if c.rawConn == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.trackFraming(p[:n])
		return n, err
	}
	rawErr := c.rawConn.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.evicted {
			err = net.ErrClosed
			return true
		}
		var discard [4 << 10]byte
		for {
			buffer := p
			if c.awaitingResponse {
				buffer = discard[:]
			}
			n, err = syscall.Read(int(fd), buffer)
			switch {
			case errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				return false
			case c.awaitingResponse && n > 0:
				c.surplus, c.surplusBytes = true, c.surplusBytes+n
				if c.surplusBytes > maxSurplusBytes {
					n, err = 0, errTooMuchSurplus
					return true
				}
			default:
				c.trackFraming(p[:max(n, 0)])
				return true
			}
		}
	})
	var timeout net.Error
	switch {
	case errors.As(rawErr, &timeout) && timeout.Timeout():
		return 0, rawErr
	case rawErr != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: rawErr}
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// trackFraming follows the framing of what has been read. The lock is held.
func (c *clientConn) trackFraming(data []byte) {
	if len(data) == 0 {
		return
	}
	if c.awaitingResponse {
		c.surplus = true
		return
	}
	c.requestStarted = true
	if !c.head.done {
		data = data[c.head.scan(data):]
		if !c.head.done {
			return
		}
		c.bodyLeft = c.head.length
	}
	c.bodyLeft -= int64(len(data))
	if c.bodyLeft < 0 && !c.head.hasTransferEncoding {
		c.surplus = true
	}
}

// ambiguousLength tells whether the request's length was given in two ways: what another reader takes for its end may be
// another place, behind which a request of its own is hidden.
func (c *clientConn) ambiguousLength() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.invalidLength || c.head.hasTransferEncoding && c.head.hasLength
}

// completeRequest says that a whole request has come. It returns false where more has come than that: clients send one at a time,
// so its length was wrong.
func (c *clientConn) completeRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.surplus || c.hasUnread() {
		c.surplus = true
		return false
	}
	c.awaitingResponse = true
	return true
}

// beginResponse says that the answer begins. It returns whether that has to be the last one on the connection.
func (c *clientConn) beginResponse(final bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMoreRequests = final || c.surplus || c.head.hasTransferEncoding // a coded body's end is not known here, so neither is what is behind it
	c.proven = c.proven || c.awaitingResponse
	c.awaitingResponse, c.responding, c.surplusBytes = false, true, 0
	c.requestStarted, c.bodyLeft, c.head = false, 0, headScanner{line: c.head.line[:0]}
	return c.noMoreRequests
}

// endResponse says that the answer is written.
func (c *clientConn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding, c.since, c.responded = false, time.Now(), true
}

// mustKeep tells that the connection must not be closed for want of room, or is already. The lock is held.
func (c *clientConn) mustKeep() bool { return c.awaitingResponse || c.responding || c.evicted }

// evictionClass tells when the connection may be closed, and how long it has said nothing whole.
func (c *clientConn) evictionClass(now time.Time) (class int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.mustKeep():
		return evictNever, c.since
	case c.noMoreRequests:
		return evictClosing, c.since
	case !c.proven && now.Sub(c.since) < newConnPeriod:
		return evictNew, c.since
	case !c.proven:
		return evictUnproven, c.since
	}
	return evictIdle, c.since
}

// pending tells whether something is owed on the connection, has begun to come, or may come at once.
func (c *clientConn) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.awaitingResponse || c.responding || !c.evicted && !c.noMoreRequests && (c.requestStarted || c.hasUnread() || !c.proven && time.Since(c.since) < newConnPeriod)
}

// evict marks the connection as closed by us, unless it is owed something or, where evenSpeaking is false, a request that
// nobody has read yet waits on it.
func (c *clientConn) evict(includeUnread bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mustKeep() || !includeUnread && !c.noMoreRequests && !c.requestStarted && c.hasUnread() {
		return false
	}
	c.evicted = true
	return true
}

// hasUnread tells whether bytes have come that nobody has read. The lock is held.
func (c *clientConn) hasUnread() bool {
	if c.rawConn == nil {
		return false
	}
	n, err := upstream.Peek(c.rawConn)
	return err == nil && n > 0
}

// clientGone tells whether the client has ended its sending, by a look at what has come and nobody has read. Guards against a request that
// is sent on though its client left before we came to read that, as after a stall: net/http tells it once it has read it.
func (c *clientConn) clientGone() bool {
	if c == nil || c.rawConn == nil {
		return false
	}
	n, err := upstream.Peek(c.rawConn)
	return n == 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// CloseWrite ends what we send: net/http does so before it closes a connection whose client is still sending, and waits itself then.
func (c *clientConn) CloseWrite() error {
	c.endReads()
	return c.endWrites()
}

func (c *clientConn) endWrites() error {
	c.mu.Lock()
	c.writeClosed = true
	c.mu.Unlock()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// endReads notes that nothing is read any more, and counts a request that has begun and is not ours to answer: net/http
// has turned it down, or it did not come whole.
func (c *clientConn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted && !c.noMoreRequests && !c.evicted {
		c.tracker.Counters.Unreadable.Add(1)
	}
	c.noMoreRequests = true
}

// lingerTimeout is for a client to take its last answer and close: a round trip of the longest ways that platforms have between a client
// and a dispatcher beside it, many times over. Until then the connection is the first to go where there are too many.
const lingerTimeout = 250 * time.Millisecond

// Close ends the connection, once. Where its last answer has just been written it ends our sending alone, and leaves the rest to the
// client's close, for a bounded time: closed at once over bytes that nobody has read, or that come a moment later, the connection is
// reset, and an answer that the client has not read is lost with it.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		c.mu.Lock()
		lingers := c.rawConn != nil && c.responded && time.Since(c.since) < lingerTimeout && !c.writeClosed && !c.evicted
		c.mu.Unlock()
		c.endReads()
		if !lingers {
			err = c.closeNow()
			return
		}
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		err = c.endWrites()
		go c.lingeringClose()
	})
	return err
}

// lingeringClose waits for the client's close. What comes meanwhile is no request of ours: it is dropped at the end, as a close over it would
// reset the connection and take with it what the kernel still has of the answer.
func (c *clientConn) lingeringClose() {
	defer c.closeNow()
	c.rawConn.Read(func(fd uintptr) bool {
		n, err := upstream.PeekFD(fd)
		return n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	c.rawConn.Control(func(fd uintptr) {
		var discard [4 << 10]byte
		for range maxSurplusBytes / len(discard) {
			if n, err := syscall.Read(int(fd), discard[:]); n <= 0 && !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
}

// closeNow closes the connection at once and forgets it.
func (c *clientConn) closeNow() (err error) {
	c.releaseOnce.Do(func() {
		c.endReads()
		err = c.Conn.Close()
		c.tracker.mu.Lock()
		delete(c.tracker.conns, c)
		c.tracker.mu.Unlock()
	})
	return err
}

// connContextKey is where a request's context has its connection.
type connContextKey struct{}

func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

func connFromContext(ctx context.Context) *clientConn {
	return ctx.Value(connContextKey{}).(*clientConn)
}
