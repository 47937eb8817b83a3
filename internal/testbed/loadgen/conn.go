package loadgen

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Limits of an answer.
const (
	maxResponseBytes     = 1 << 20 // of the body
	maxRetryAfterSeconds = 3600    // from this value on, Retry-After is ignored
)

// Conn is a client's connection to a dispatcher. It is not safe for concurrent use.
type Conn struct {
	net.Conn
	r            *bufio.Reader
	host         string
	isFresh      bool   // dialed for the current request, not taken from the pool
	onExtraBytes func() // called when bytes follow the last answer; nil: no answer has been received
}

// Dial opens a connection; it fails after timeout.
func Dial(addr string, timeout time.Duration) (*Conn, error) {
	raw, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: raw, r: bufio.NewReaderSize(raw, 2<<10), host: addr, isFresh: true}, nil
}

// requestBuffers holds buffers for encoded requests.
var requestBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 4<<10); return &b }}

// Send writes a request; it times out after the request's TimeLeft.
func (c *Conn) Send(q *Request) error {
	p := requestBuffers.Get().(*[]byte)
	defer requestBuffers.Put(p)
	*p = q.appendTo((*p)[:0], c.host)
	c.SetWriteDeadline(time.Now().Add(q.TimeLeft))
	_, err := c.Write(*p)
	return err
}

// errExtraBytes is returned if further bytes follow an answer.
var errExtraBytes = errors.New("unexpected bytes after the answer")

// Receive reads the answer. reusable reports whether the connection may be used for another request. The error is errExtraBytes
// if further bytes follow the answer, or else that of the connection, which times out at deadline.
func (c *Conn) Receive(deadline time.Time) (a Answer, reusable bool, err error) {
	c.SetReadDeadline(deadline)
	res, err := http.ReadResponse(c.r, nil) //nolint:bodyclose // the connection owns the body; closing it would read what is past maxResponseBytes
	if err != nil {
		return a, false, err
	}
	a.Status = res.StatusCode
	a.Body, err = io.ReadAll(io.LimitReader(res.Body, maxResponseBytes))
	if err != nil {
		return a, false, err
	}
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil && s > 0 && s < maxRetryAfterSeconds {
		a.RetryAfter = time.Duration(s * float64(time.Second))
	}
	if c.r.Buffered() > 0 {
		return a, false, errExtraBytes
	}
	return a, !res.Close, nil
}

// reportExtraBytes calls onExtraBytes if bytes have arrived since the last answer.
func (c *Conn) reportExtraBytes() {
	if n, err := c.peek(); err == nil && n > 0 && c.onExtraBytes != nil {
		c.onExtraBytes()
	}
}

// peek checks without reading whether bytes have arrived on an idle connection; EAGAIN means that none have.
func (c *Conn) peek() (n int, err error) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0, err
	}
	controlErr := raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}
