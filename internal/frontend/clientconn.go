package frontend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/memory"
	"birchfork/internal/socket"
)

// maxSurplusBytes limits the bytes that may arrive after a request that awaits its response. Clients send one request at a time; one
// that sends more than a further complete request cannot be answered in order.
const maxSurplusBytes = maxHeaderBytes + maxBodyBytes

// discardBytes is the size of the buffers for discarded bytes.
const discardBytes = 4 << 10

// errTooMuchSurplus ends a connection on which more than maxSurplusBytes have arrived after a request.
var errTooMuchSurplus = errors.New("more than 72 KiB received after a request that awaits its response")

// clientConn is a client's connection. It inspects all bytes that net/http reads and tracks what net/http does not report: whether part of a
// request has arrived, how the request was framed, and whether more than the request arrived. It is safe for concurrent use.
type clientConn struct {
	net.Conn
	rawConn     syscall.RawConn // nil if the connection has no file descriptor
	tracker     *ConnTracker
	closeOnce   sync.Once // of Close
	releaseOnce sync.Once // of closeNow

	mu               sync.Mutex
	evicted          bool      // this process is closing the connection; nothing is read or written any more
	refuseOnClose    bool      // evicted with an unanswered request, or one that may be on its way: it is rejected before the connection is closed
	since            time.Time // time of the last response, or of the connection's start
	proven           bool      // a response to a valid request has begun
	awaitingResponse bool      // a complete request has arrived, and its response has not begun
	surplusBytes     int       // bytes that arrived after that request and were discarded
	responding       bool      // the response is being written; what arrives now belongs to the next request
	responded        bool      // a response has been written
	noMoreRequests   bool      // no further request is read
	errorWritten     bool      // net/http has written an error response by itself, after which it closes the connection
	writeClosed      bool      // the sending direction is closed

	// State of the request that is arriving.
	head           headScanner
	headMemory     memory.HeadReservation // until the response begins, since net/http keeps the decoded head
	requestStarted bool                   // part of the request has arrived, not counting empty lines before it
	startDeadline  time.Time              // for the rest of that request
	bodyLeft       int64                  // bytes of the body that have not arrived, according to Content-Length
	surplus        bool                   // more than the request has arrived
}

// Read reads from the connection and tracks the framing of requests. After an eviction it returns no data: evict and Read exclude each
// other, so that no request is read and then lost. Data that arrives after a request that awaits its response is discarded, since that
// response is then the last one on the connection: otherwise net/http would stop reading at the first such byte, and would not notice that
// the client disconnects.
func (c *clientConn) Read(p []byte) (n int, err error) {
	if c.rawConn == nil || len(p) == 0 {
		n, err = c.Conn.Read(p)
		c.mu.Lock()
		defer c.mu.Unlock()
		if rejected := c.trackFraming(p[:n]); rejected != nil {
			return 0, rejected
		}
		return n, err
	}
	rawErr := c.rawConn.Read(func(fd uintptr) (done bool) {
		n, done, err = c.readFD(int(fd), p)
		return done
	})
	var timeout net.Error
	switch {
	case errors.Is(err, memory.ErrHeadTooLarge): // net/http answers with status 400; it would not if this were a *net.OpError
		return 0, err
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

// readFD reads once from the connection's file descriptor. done is false if no data is available: the runtime calls readFD again when there
// is some. At the end of the stream n is 0 and err is nil.
func (c *clientConn) readFD(fd int, p []byte) (n int, done bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return 0, true, net.ErrClosed
	}
	if c.awaitingResponse {
		done, err = c.discardSurplus(fd)
		return 0, done, err
	}
	n, err = readRetrying(fd, p)
	if errors.Is(err, syscall.EAGAIN) {
		return 0, false, nil
	}
	if rejected := c.trackFraming(p[:max(n, 0)]); rejected != nil {
		return 0, true, rejected
	}
	return n, true, err
}

// discardSurplus discards the bytes that have arrived. done is true at the end of the stream, on an error, and after maxSurplusBytes. The
// caller must hold the lock.
func (c *clientConn) discardSurplus(fd int) (done bool, err error) {
	var discard [discardBytes]byte
	for {
		n, err := readRetrying(fd, discard[:])
		switch {
		case errors.Is(err, syscall.EAGAIN):
			return false, nil
		case err != nil || n == 0:
			return true, err
		}
		c.surplus = true
		c.surplusBytes += n
		if c.surplusBytes > maxSurplusBytes {
			return true, errTooMuchSurplus
		}
	}
}

// readRetrying reads from a file descriptor, and retries if a signal interrupts the read.
func readRetrying(fd int, p []byte) (n int, err error) {
	for {
		n, err = syscall.Read(fd, p)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// trackFraming updates the state of the arriving request with data that has been read. It returns memory.ErrHeadTooLarge if there is no
// memory for the head. The caller must hold the lock.
func (c *clientConn) trackFraming(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	if c.awaitingResponse {
		c.surplus = true
		return nil
	}
	c.trackStart(data)
	if !c.head.done {
		headBytes := c.head.scan(data)
		if err := c.headMemory.Add(data[:headBytes]); err != nil {
			return err
		}
		data = data[headBytes:]
		if !c.head.done {
			return nil
		}
		c.bodyLeft = c.head.length
	}
	c.bodyLeft -= int64(len(data))
	if c.bodyLeft < 0 && !c.head.hasTransferEncoding {
		c.surplus = true
	}
	return nil
}

// trackStart records the start of a request if data contains it, and limits the time for the rest. net/http does so only from the fourth byte
// of a further request on. The caller must hold the lock.
func (c *clientConn) trackStart(data []byte) {
	if c.requestStarted || len(bytes.TrimLeft(data, "\r\n")) == 0 {
		return
	}
	c.requestStarted = true
	if !c.responded { // the time has run since the connection's start
		c.startDeadline = c.since.Add(requestTimeout)
		return
	}
	c.startDeadline = time.Now().Add(requestTimeout)
	_ = c.Conn.SetReadDeadline(c.startDeadline) // fails only on a closed connection
}

// SetReadDeadline sets the deadline of reads. While a request arrives it is not later than that request's own; net/http removes the deadline
// once a request is complete.
func (c *clientConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	isReceiving := c.requestStarted && !c.noMoreRequests && !c.startDeadline.IsZero()
	isLater := deadline.After(c.startDeadline) || deadline.IsZero() && !c.head.done
	if isReceiving && isLater {
		deadline = c.startDeadline
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Write writes to the connection, unless it has been evicted: the client may have got another response then.
func (c *clientConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.evicted {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	isInterim := bytes.HasPrefix(p, []byte("HTTP/1.1 100 "))
	c.errorWritten = c.errorWritten || !c.responding && !isInterim
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// ambiguousLength reports whether the request's length was invalid or given in two ways. Another HTTP implementation may use the other
// length and find a hidden request behind the body (request smuggling). This includes a Transfer-Encoding in HTTP/1.0, which net/http ignores.
func (c *clientConn) ambiguousLength(r *http.Request) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.head.hasTransferEncoding && (c.head.hasLength || !r.ProtoAtLeast(1, 1)) {
		return true
	}
	return c.head.invalidLength
}

// requestEnded reports whether the request has been scanned exactly to its end, so that the next byte begins another one. The end of a body
// with a transfer coding is not scanned. The caller must hold the lock.
func (c *clientConn) requestEnded() bool {
	isFramed := c.head.done && !c.head.invalidLength && !c.head.hasTransferEncoding
	return isFramed && c.bodyLeft == 0 && !c.surplus
}

// completeRequest records that a complete request has arrived. It returns false if the connection was evicted or more than the request has
// arrived: clients send one request at a time, so its length was wrong.
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

// beginResponse records that the response begins, and reports whether it is the last one on the connection: because it is final, or because
// the request has not been scanned to its end, for example if its body has not arrived. What arrives afterwards is scanned as the next
// request, so that a rest of this one would be taken for a head.
func (c *clientConn) beginResponse(final bool) (last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noMoreRequests = final || !c.requestEnded()
	c.proven = c.proven || c.awaitingResponse
	c.awaitingResponse = false
	c.surplusBytes = 0
	c.responding = true
	c.requestStarted = false
	c.startDeadline = time.Time{}
	c.bodyLeft = 0
	c.head = headScanner{line: c.head.line[:0]}
	c.headMemory.Release()
	return c.noMoreRequests
}

// endResponse records that the response has been written.
func (c *clientConn) endResponse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responding = false
	c.responded = true
	c.since = time.Now()
}

// hasUnread reports whether unread bytes have arrived. The caller must hold the lock.
func (c *clientConn) hasUnread() bool {
	if c.rawConn == nil {
		return false
	}
	n, err := socket.Peek(c.rawConn)
	return err == nil && n > 0
}

// ClientGone reports whether the client has closed its sending direction, by peeking at unread bytes. It guards against sending a request
// to a worker after its client has disconnected: net/http reports that only once it has read the end of the stream, which may be late, for
// example after a stall of this process.
func (c *clientConn) ClientGone() bool {
	if c.rawConn == nil {
		return false
	}
	n, err := socket.Peek(c.rawConn)
	return n == 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
}

// connContextKey is the context key of a request's connection.
type connContextKey struct{}

func contextWithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey{}, conn)
}

func connFromContext(ctx context.Context) *clientConn {
	return ctx.Value(connContextKey{}).(*clientConn)
}
