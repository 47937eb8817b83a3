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
)

// Clients owns the connections from clients and keeps their number. Connections are always accepted, since one that
// waits in the kernel counts as ours: where there are too many, one is closed that owes nothing.
type Clients struct {
	Most     int // connections up to which all requests are taken
	Hard     int // connections up to which those wait that have something to say; 0: no limit
	Counters *engine.Counters

	mu   sync.Mutex
	open map[*clientConn]bool
}

// Listen makes l's connections known.
func (c *Clients) Listen(l net.Listener) net.Listener { return &clientListener{l, c} }

type clientListener struct {
	net.Listener
	clients *Clients
}

func (l *clientListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.clients.add(raw), nil
}

func (c *Clients) add(raw net.Conn) *clientConn {
	conn := &clientConn{Conn: raw, clients: c, since: time.Now()}
	if sc, ok := raw.(syscall.Conn); ok {
		conn.raw, _ = sc.SyscallConn()
	}
	c.Counters.ClientConns.Add(1)
	c.mu.Lock()
	if c.open == nil {
		c.open = map[*clientConn]bool{}
	}
	c.open[conn] = true
	cut := c.choose(conn)
	c.mu.Unlock()
	for _, k := range cut {
		c.Counters.ClientsCut.Add(1)
		k.release() // returns when the descriptor is free
	}
	return conn
}

// choose marks connections to be closed as there are too many, but for the newest. The lock is held. One look at each finds the next to
// go: a crowd that comes over the limit costs a descriptor a connection, and must not cost those that are served their time.
func (c *Clients) choose(newest *clientConn) (cut []*clientConn) {
	if len(c.open) <= c.Most {
		return nil
	}
	var passed map[*clientConn]bool // not to be closed yet
	for _, evenSpeaking := range []bool{false, true} {
		most := c.Most
		if evenSpeaking {
			most = c.Hard
		}
		clear(passed)
		for most > 0 && len(c.open) > most {
			k := c.first(newest, passed)
			if k == nil {
				break
			}
			if k.mark(evenSpeaking) {
				delete(c.open, k)
				cut = append(cut, k)
				continue
			}
			if passed == nil {
				passed = map[*clientConn]bool{}
			}
			passed[k] = true
		}
	}
	return cut
}

// first is the connection that goes first of those that may, but for the newest and those passed over; nil where there is none. The
// lock is held.
func (c *Clients) first(newest *clientConn, passed map[*clientConn]bool) (best *clientConn) {
	now, least, oldest := time.Now(), needed, time.Time{}
	for k := range c.open {
		if k == newest || passed[k] {
			continue
		}
		if rank, since := k.spare(now); rank < least || rank == least && rank != needed && since.Before(oldest) {
			best, least, oldest = k, rank, since
		}
	}
	return best
}

// SetMost sets how many connections there may be; those go that are too many now and are owed nothing.
func (c *Clients) SetMost(most, hard int) {
	c.mu.Lock()
	c.Most, c.Hard = most, hard
	cut := c.choose(nil)
	c.mu.Unlock()
	for _, k := range cut {
		c.Counters.ClientsCut.Add(1)
		k.release()
	}
}

// Owing is how many connections are owed something, or may have something to say yet.
func (c *Clients) Owing() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		if k.owing() {
			n++
		}
	}
	return n
}

// Wait waits until no connection is left, or ctx ends.
func (c *Clients) Wait(ctx context.Context) {
	t := time.NewTicker(waitEvery)
	defer t.Stop()
	for ctx.Err() == nil && c.Open() > 0 {
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// waitEvery is a part of what is waited for: a client's close, some milliseconds after our own.
const waitEvery = time.Millisecond

// Open is how many connections there are.
func (c *Clients) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

// CutIdle closes the connections that stand idle after an answer.
func (c *Clients) CutIdle() {
	c.mu.Lock()
	var cut []*clientConn
	now := time.Now()
	for k := range c.open {
		if rank, _ := k.spare(now); rank == kept && k.mark(false) {
			delete(c.open, k)
			cut = append(cut, k)
		}
	}
	c.mu.Unlock()
	for _, k := range cut {
		k.release()
	}
}

// Over tells whether there are more connections than requests can be taken from.
func (c *Clients) Over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > c.Most
}

// The order in which connections are closed where there are too many.
const (
	leaving = iota // has had its last answer
	strange        // has never had a proper request answered, and time enough to send one
	kept           // a client's that comes again
	fresh          // has just come
	needed         // never closed: it is owed an answer
)

// freshFor is how long a connection may take to say something before it counts as one that says nothing.
const freshFor = 50 * time.Millisecond

// clientConn is a connection from a client. It sees all that net/http reads, so it knows what net/http does not tell:
// whether anything of a request has come, how the request was framed, and whether more came than the request.
type clientConn struct {
	net.Conn
	raw     syscall.RawConn // nil: the connection has no descriptor
	clients *Clients
	once    sync.Once // of Close
	free    sync.Once // of release

	mu        sync.Mutex
	cut       bool // closed by us: nothing is read any more
	since     time.Time
	proper    bool // a proper request has been answered
	taken     bool // a whole request has come, its answer is not begun
	behind    int  // bytes that came behind it and were dropped
	answering bool // its answer is being written; what comes now is a next request
	last      bool // no further request is read
	replied   bool // what was said last on it is an answer of ours
	ended     bool // our sending has ended

	head  headScan
	began bool  // something of the request has come
	left  int64 // of its body
	extra bool  // more has come than the request
}

// behindMost is how much may come behind a request that has not been answered: clients send one request at a time, and whoever sends
// more than a whole one on top waits for nothing that could be answered in order.
const behindMost = headerMost + bodyMost

var errBehind = errors.New("too much came behind a request that is not answered yet")

// Read reads and notes. A connection that is being closed by us gives nothing any more: marking and reading exclude each
// other, so that no request is read from it and then lost. What comes behind a request while that waits for its answer is dropped, as
// the answer is the connection's last one then: net/http would stop looking at the first such byte, and not see the client leave.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if c.raw == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.note(p[:n])
		return n, err
	}
	outer := c.raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.cut {
			err = net.ErrClosed
			return true
		}
		var drop [4 << 10]byte
		for {
			into := p
			if c.taken {
				into = drop[:]
			}
			n, err = syscall.Read(int(fd), into)
			switch {
			case errors.Is(err, syscall.EINTR):
			case errors.Is(err, syscall.EAGAIN):
				return false
			case c.taken && n > 0:
				c.extra, c.behind = true, c.behind+n
				if c.behind > behindMost {
					n, err = 0, errBehind
					return true
				}
			default:
				c.note(p[:max(n, 0)])
				return true
			}
		}
	})
	var timeout net.Error
	switch {
	case errors.As(outer, &timeout) && timeout.Timeout():
		return 0, outer
	case outer != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: outer}
	case err != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: err}
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}

// note follows the framing of what has been read. The lock is held.
func (c *clientConn) note(b []byte) {
	if len(b) == 0 {
		return
	}
	if c.taken {
		c.extra = true
		return
	}
	c.began = true
	if !c.head.done {
		b = b[c.head.scan(b):]
		if !c.head.done {
			return
		}
		c.left = c.head.length
	}
	c.left -= int64(len(b))
	if c.left < 0 && !c.head.coded {
		c.extra = true
	}
}

// misframed tells whether the request's length was given in two ways: what another reader takes for its end may be
// another place, behind which a request of its own is hidden.
func (c *clientConn) misframed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.odd || c.head.coded && c.head.sized
}

// take says that a whole request has come. It returns false where more has come than that: clients send one at a time,
// so its length was wrong.
func (c *clientConn) take() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut || c.extra || c.waiting() {
		c.extra = true
		return false
	}
	c.taken = true
	return true
}

// answer says that the answer begins. It returns whether that has to be the last one on the connection.
func (c *clientConn) answer(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = last || c.extra || c.head.coded // a coded body's end is not known here, so neither is what is behind it
	c.proper = c.proper || c.taken
	c.taken, c.answering, c.behind = false, true, 0
	c.began, c.left, c.head = false, 0, headScan{line: c.head.line[:0]}
	return c.last
}

// answered says that the answer is written.
func (c *clientConn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answering, c.since, c.replied = false, time.Now(), true
}

// stays tells that the connection must not be closed for want of room, or is already. The lock is held.
func (c *clientConn) stays() bool { return c.taken || c.answering || c.cut }

// spare tells when the connection may be closed, and how long it has said nothing whole.
func (c *clientConn) spare(now time.Time) (rank int, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.stays():
		return needed, c.since
	case c.last:
		return leaving, c.since
	case !c.proper && now.Sub(c.since) < freshFor:
		return fresh, c.since
	case !c.proper:
		return strange, c.since
	}
	return kept, c.since
}

// owing tells whether something is owed on the connection, has begun to come, or may come at once.
func (c *clientConn) owing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken || c.answering || !c.cut && !c.last && (c.began || c.waiting() || !c.proper && time.Since(c.since) < freshFor)
}

// mark marks the connection as closed by us, unless it is owed something or, where evenSpeaking is false, a request that
// nobody has read yet waits on it.
func (c *clientConn) mark(evenSpeaking bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stays() || !evenSpeaking && !c.last && !c.began && c.waiting() {
		return false
	}
	c.cut = true
	return true
}

// waiting tells whether bytes have come that nobody has read. The lock is held.
func (c *clientConn) waiting() bool {
	if c.raw == nil {
		return false
	}
	n, err := engine.Peek(c.raw)
	return err == nil && n > 0
}

// gone tells whether the client has ended its sending, by a look at what has come and nobody has read. Guards against a request that
// is sent on though its client left before we came to read that, as after a stall: net/http tells it once it has read it.
func (c *clientConn) gone() bool {
	if c == nil || c.raw == nil {
		return false
	}
	n, err := engine.Peek(c.raw)
	return n == 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// CloseWrite ends what we send: net/http does so before it closes a connection whose client is still sending, and waits itself then.
func (c *clientConn) CloseWrite() error {
	c.leave()
	return c.endSending()
}

func (c *clientConn) endSending() error {
	c.mu.Lock()
	c.ended = true
	c.mu.Unlock()
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// leave notes that nothing is read any more, and counts a request that has begun and is not ours to answer: net/http
// has turned it down, or it did not come whole.
func (c *clientConn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.began && !c.last && !c.cut {
		c.clients.Counters.Unreadable.Add(1)
	}
	c.last = true
}

// lingerMost is for a client to take its last answer and close: a round trip of the longest ways that platforms have between a client
// and a dispatcher beside it, many times over. Until then the connection is the first to go where there are too many.
const lingerMost = 250 * time.Millisecond

// Close ends the connection, once. Where its last answer has just been written it ends our sending alone, and leaves the rest to the
// client's close, for a bounded time: closed at once over bytes that nobody has read, or that come a moment later, the connection is
// reset, and an answer that the client has not read is lost with it.
func (c *clientConn) Close() (err error) {
	c.once.Do(func() {
		c.mu.Lock()
		linger := c.raw != nil && c.replied && time.Since(c.since) < lingerMost && !c.ended && !c.cut
		c.mu.Unlock()
		c.leave()
		if !linger {
			err = c.release()
			return
		}
		c.SetReadDeadline(time.Now().Add(lingerMost))
		err = c.endSending()
		go c.linger()
	})
	return err
}

// linger waits for the client's close. What comes meanwhile is no request of ours: it is dropped at the end, as a close over it would
// reset the connection and take with it what the kernel still has of the answer.
func (c *clientConn) linger() {
	defer c.release()
	c.raw.Read(func(fd uintptr) bool {
		n, err := engine.PeekAt(fd)
		return n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	c.raw.Control(func(fd uintptr) {
		var drop [4 << 10]byte
		for range behindMost / len(drop) {
			if n, err := syscall.Read(int(fd), drop[:]); n <= 0 && !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
}

// release closes the connection at once and forgets it.
func (c *clientConn) release() (err error) {
	c.free.Do(func() {
		c.leave()
		err = c.Conn.Close()
		c.clients.mu.Lock()
		delete(c.clients.open, c)
		c.clients.mu.Unlock()
	})
	return err
}

// connKey is where a request's context has its connection.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

func connOf(ctx context.Context) *clientConn { return ctx.Value(connKey{}).(*clientConn) }
