package frontend

import (
	"errors"
	"syscall"
	"time"

	"birchfork/internal/socket"
)

// lingerTimeout is how long a client may take to read its last response and close the connection: many round trips on the longest network
// paths between clients and dispatchers. Meanwhile the connection is in the first class to be evicted.
const lingerTimeout = 250 * time.Millisecond

// Close closes the connection; later calls have no effect. Shortly after a response it closes only the sending direction, and the rest in
// the background once the client has closed, or after lingerTimeout. A complete close would reset the connection if there are unread bytes
// or more arrive shortly after, and a response that the client has not read yet would be lost.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		lingers := c.mayLoseResponse()
		c.endReads()
		if !lingers {
			err = c.closeNow()
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection
		err = c.endWrites()
		go c.lingeringClose() // ends within lingerTimeout
	})
	return err
}

// mayLoseResponse reports whether an immediate close could destroy a response that the client has not read yet.
func (c *clientConn) mayLoseResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	justResponded := c.responded && time.Since(c.since) < lingerTimeout
	return c.rawConn != nil && justResponded && !c.writeClosed && !c.evicted
}

// lingeringClose waits for the client's close, at most lingerTimeout, and then closes the connection. Data that arrives meanwhile is not
// served. It is read before the close, since a close with unread bytes would reset the connection and drop the part of the response that is
// still in the kernel.
func (c *clientConn) lingeringClose() {
	defer func() { _ = c.closeNow() }()
	// Both calls fail only after lingerTimeout, or if the connection has been closed meanwhile.
	_ = c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err := socket.PeekFD(fd)
		return n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	_ = c.rawConn.Control(func(fd uintptr) { discardArrived(int(fd)) })
}

// CloseWrite closes the sending direction. net/http calls it on a connection whose client is still sending, and waits before it closes the
// connection.
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

// endReads records that no further request is read. If part of a request has arrived, it counts that request as interrupted: it is not
// served, because net/http rejected it or because it is incomplete.
func (c *clientConn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted && !c.noMoreRequests && !c.evicted {
		c.tracker.Counters.InterruptedRequests.Add(1)
	}
	c.noMoreRequests = true
}

// releaseHead releases the memory of a head that is not answered any more.
func (c *clientConn) releaseHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headMemory.Release()
}

// closeNow closes the connection immediately, and removes it from the tracker. A request with which it was evicted is rejected before.
func (c *clientConn) closeNow() (err error) {
	c.releaseOnce.Do(func() {
		c.refuse()
		c.endReads()
		err = c.Conn.Close()
		c.releaseHead()
		c.tracker.remove(c)
	})
	return err
}
