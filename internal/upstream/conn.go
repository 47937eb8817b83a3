package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"birchfork/internal/socket"
)

// noReadLimit is the read limit of a connection without a limit.
const noReadLimit = 1 << 62

// connInput is the input of a connection, up to its read limit.
type connInput struct {
	io.LimitedReader
	onRead func(data []byte) error // nil: not set
}

// Read implements io.Reader.
func (i *connInput) Read(p []byte) (int, error) {
	n, err := i.LimitedReader.Read(p)
	if n > 0 && i.onRead != nil {
		if rejected := i.onRead(p[:n]); rejected != nil {
			return 0, rejected
		}
	}
	return n, err
}

// Conn is a connection to a worker that belongs to a Pool. The goroutine that got it from the pool owns it until Put, Close or Reset.
// Reader and the read limit are not safe for concurrent use; all other methods are, like those of net.Conn.
type Conn struct {
	net.Conn
	Reader *bufio.Reader // data from the worker, up to the read limit

	pool      *Pool
	address   string
	input     connInput
	idleSince time.Time // set by Put
	closeOnce sync.Once
}

func newConn(pool *Pool, address string, raw net.Conn) *Conn {
	c := &Conn{Conn: raw, pool: pool, address: address, input: connInput{LimitedReader: io.LimitedReader{R: raw, N: noReadLimit}}}
	c.Reader = bufio.NewReader(&c.input)
	return c
}

// setReadLimit sets the number of bytes that may still be read from the connection. Reader returns io.EOF after them.
func (c *Conn) setReadLimit(n int64) { c.input.N = n }

// readLimitReached reports whether the read limit has been reached.
func (c *Conn) readLimitReached() bool { return c.input.N <= 0 }

// onRead sets a function that is called with all data that is read from now on, before Reader returns it. Its error ends the reading. nil:
// no function is called.
func (c *Conn) onRead(onRead func(data []byte) error) { c.input.onRead = onRead }

// interrupt makes the current read or write, and all later ones, fail with a timeout.
func (c *Conn) interrupt() { c.SetDeadline(time.Unix(1, 0)) }

// Close closes the connection and releases its capacity in the pool. Further calls have no effect.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.pool.releaseCapacity()
	})
	return err
}

// Reset closes the connection like Close and discards written data that the kernel has not delivered yet.
func (c *Conn) Reset() error {
	if tcp, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already broken
	}
	return c.Close()
}

// isReusable reports whether an idle connection is open and has no unread data. It detects a close or reset that has already arrived, after
// which a request would be lost.
func (c *Conn) isReusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_, err = socket.Peek(raw)
	return errors.Is(err, syscall.EAGAIN)
}
