package frontend

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// evictionClass is the order in which client connections are closed if there are too many, lowest first.
type evictionClass int

const (
	evictClosing           evictionClass = iota // its final response has been written
	evictUnproven                               // has sent nothing yet, although newConnPeriod is over
	evictUnprovenReceiving                      // part of its first request has arrived, and newConnPeriod is over
	evictIdle                                   // has had a response to a valid request, and has sent nothing since
	evictNew                                    // has just connected
	evictReceiving                              // has had a response to a valid request, and part of the next one has arrived
	evictNever                                  // awaits a response, or is being closed already
)

// newConnPeriod is how long a new connection may take to send something before it counts as unproven.
const newConnPeriod = 50 * time.Millisecond

// evictionClass returns the connection's eviction class, and the time since which it has been in it.
func (c *clientConn) evictionClass(now time.Time) (class evictionClass, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.mustKeep():
		return evictNever, c.since
	case c.noMoreRequests || c.errorWritten:
		return evictClosing, c.since
	case c.requestStarted && c.proven:
		return evictReceiving, c.startDeadline
	case c.isNew(now):
		return evictNew, c.since
	case c.requestStarted:
		return evictUnprovenReceiving, c.since
	case !c.proven:
		return evictUnproven, c.since
	}
	return evictIdle, c.since
}

// evictIdle evicts the connection if it is idle after a response, and reports whether it did. A connection on which anything has arrived
// since is not idle.
func (c *clientConn) evictIdle(now time.Time) bool {
	class, _ := c.evictionClass(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	if class != evictIdle || c.mustKeep() || c.hasRequest() {
		return false
	}
	c.evicted = true
	return true
}

// evictForLimit marks the connection as being closed by this process because of a limit, and reports whether it did. It does not if a
// response is awaited or being written, if the connection is evicted already or, unless includeUnread is set, if unread bytes have arrived.
// A request that has begun to arrive is rejected, and so is the first request of a connection, which may be on its way.
func (c *clientConn) evictForLimit(includeUnread bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	isClosing := c.noMoreRequests || c.errorWritten
	if c.mustKeep() || !includeUnread && !isClosing && c.hasUnread() {
		return false
	}
	c.evicted = true
	if c.hasRequest() {
		c.tracker.Counters.RejectedOverLimit.Add(1)
		c.refuseOnClose = true
	}
	c.refuseOnClose = c.refuseOnClose || !c.responded && !isClosing
	return true
}

// evictUnfinished evicts the connection if a request has begun to arrive or may be unread, and reports whether it did. The request is
// rejected.
func (c *clientConn) evictUnfinished() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.mustKeep() || !c.hasRequest() {
		return false
	}
	c.evicted = true
	c.tracker.Counters.RejectedOverLimit.Add(1)
	c.refuseOnClose = true
	return true
}

// hasRequest reports whether a request has begun to arrive that is still to be answered. The caller must hold the lock.
func (c *clientConn) hasRequest() bool {
	if c.noMoreRequests || c.errorWritten {
		return false
	}
	return c.requestStarted || c.hasUnread()
}

// pending reports whether a response is awaited or being written, a request has begun to arrive, or the connection is new, so that one may
// arrive at any moment.
func (c *clientConn) pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.awaitingResponse || c.responding {
		return true
	}
	if c.evicted || c.noMoreRequests {
		return false
	}
	return c.hasRequest() || c.isNew(time.Now())
}

// mustKeep reports whether a response is awaited or being written, or the connection is evicted already. The caller must hold the lock.
func (c *clientConn) mustKeep() bool { return c.awaitingResponse || c.responding || c.evicted }

// isNew reports whether the client may not have had time to send its first request. The caller must hold the lock.
func (c *clientConn) isNew(now time.Time) bool { return !c.proven && now.Sub(c.since) < newConnPeriod }

// refuse writes a complete response to the request with which the connection was evicted, and discards what has arrived, so that the close
// does not reset the connection. A client whose request arrives after the close finds the response among what it has received. It never
// blocks: a response for which the kernel has no room is lost.
func (c *clientConn) refuse() {
	c.mu.Lock()
	isDue := c.refuseOnClose
	c.refuseOnClose = false
	c.mu.Unlock()
	if !isDue || c.rawConn == nil {
		return
	}
	response := refusal(time.Duration(c.tracker.retryAfter.Load()))
	// Control fails only on a closed connection.
	_ = c.rawConn.Control(func(fd uintptr) {
		_, _ = syscall.Write(int(fd), response)
		discardArrived(int(fd))
	})
}

// refusal returns the response to a request that is rejected before it has been read.
func refusal(retryAfter time.Duration) []byte {
	text := fmt.Sprintf("HTTP/1.1 %d %s\r\n", http.StatusServiceUnavailable, http.StatusText(http.StatusServiceUnavailable))
	if retryAfter > 0 {
		text += "Retry-After: " + formatRetryAfter(retryAfter) + "\r\n"
	}
	return fmt.Appendf(nil, "%sConnection: close\r\nContent-Length: %d\r\n\r\n%s", text, len(overLimitText), overLimitText)
}

// discardArrived reads and discards what has arrived at a file descriptor, up to maxSurplusBytes.
func discardArrived(fd int) {
	var discard [discardBytes]byte
	for range maxSurplusBytes / len(discard) {
		n, err := syscall.Read(fd, discard[:])
		if n <= 0 && !errors.Is(err, syscall.EINTR) {
			return
		}
	}
}
