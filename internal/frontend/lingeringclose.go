package frontend

import (
	"errors"
	"syscall"
	"time"

	"birchfork/internal/socket"
)

// lingerTimeout is for a client to take its last response and close: many round trips of the longest ways that platforms have between a client
// and a dispatcher beside it. Until then the connection is the first to go where there are too many.
const lingerTimeout = 250 * time.Millisecond

// Close ends the connection, once. Behind a response that has just been written it ends only our sending, and leaves the rest to the client's
// close, for lingerTimeout: closed at once over bytes that nobody has read, or that arrive a moment later, the connection would be reset, and a
// response that the client has not read would be lost with it.
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

// mayLoseResponse reports whether the client may not have taken its last response yet.
func (c *clientConn) mayLoseResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	justResponded := c.responded && time.Since(c.since) < lingerTimeout
	return c.rawConn != nil && justResponded && !c.writeClosed && !c.evicted
}

// lingeringClose waits for the client's close and closes the connection. What arrives meanwhile is no request of ours. It is read at the end, as
// a close over it would reset the connection and take with it what the kernel still has of the response.
func (c *clientConn) lingeringClose() {
	defer func() { _ = c.closeNow() }()
	// Both fail only where the connection has been closed meanwhile, or after lingerTimeout.
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

// CloseWrite ends our sending. net/http does so before it closes a connection whose client is still sending, and then waits itself.
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

// endReads notes that no request is read any more, and counts one that has begun and is not ours to answer: net/http has rejected it, or it
// did not arrive as a whole.
func (c *clientConn) endReads() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStarted && !c.noMoreRequests && !c.evicted {
		c.tracker.Counters.Unreadable.Add(1)
	}
	c.noMoreRequests = true
}

// closeNow closes the connection at once, and removes it from the tracker.
func (c *clientConn) closeNow() (err error) {
	c.releaseOnce.Do(func() {
		c.endReads()
		err = c.Conn.Close()
		c.tracker.forget(c)
	})
	return err
}
