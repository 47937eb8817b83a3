package frontend

import (
	"errors"
	"syscall"
	"time"

	"birchfork/internal/socket"
)

// lingerTimeout is how long a client may take to read its last response and close: many round trips on the longest paths that platforms
// have between a client and its dispatcher. Until then the connection is in the first class to be evicted.
const lingerTimeout = 250 * time.Millisecond

// Close closes the connection, once. After a response that has just been written it closes only the sending direction, and waits up to
// lingerTimeout for the client's close. Closing immediately with unread bytes, or with bytes that arrive shortly after, would reset the
// connection, and a response that the client has not read would be lost.
func (c *clientConn) Close() (err error) {
	c.closeOnce.Do(func() {
		lingers := c.mayLoseResponse()
		c.endReads()
		if !lingers {
			err = c.closeNow()
			return
		}
		c.SetReadDeadline(time.Now().Add(lingerTimeout))
		err = c.endWrites()
		go c.lingeringClose() // ends within lingerTimeout
	})
	return err
}

// mayLoseResponse reports whether the client may not have read its last response yet.
func (c *clientConn) mayLoseResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	justResponded := c.responded && time.Since(c.since) < lingerTimeout
	return c.rawConn != nil && justResponded && !c.writeClosed && !c.evicted
}

// lingeringClose waits for the client's close and closes the connection. What arrives meanwhile is not served. It is read at the end, since
// a close with unread bytes would reset the connection and discard what the kernel still has of the response.
func (c *clientConn) lingeringClose() {
	defer func() { _ = c.closeNow() }()
	// Both fail only if the connection has been closed meanwhile, or after lingerTimeout.
	_ = c.rawConn.Read(func(fd uintptr) (done bool) {
		n, err := socket.PeekFD(fd)
		return n <= 0 && !errors.Is(err, syscall.EAGAIN)
	})
	_ = c.rawConn.Control(func(fd uintptr) {
		var discard [discardBytes]byte
		for range maxSurplusBytes / len(discard) {
			n, err := syscall.Read(int(fd), discard[:])
			if n <= 0 && !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
}

// CloseWrite closes the sending direction. net/http calls it before it closes a connection whose client is still sending, and then waits
// itself.
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

// endReads records that no further request is read, and counts a started request that will not be served: net/http has rejected it, or it
// did not arrive completely.
func (c *clientConn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted && !c.noMoreRequests && !c.evicted {
		c.tracker.Counters.InterruptedRequests.Add(1)
	}
	c.noMoreRequests = true
}

// closeNow closes the connection immediately, and removes it from the tracker.
func (c *clientConn) closeNow() (err error) {
	c.releaseOnce.Do(func() {
		c.endReads()
		err = c.Conn.Close()
		c.tracker.forget(c)
	})
	return err
}
