package fakes

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"birchfork/internal/testbed/invariant"
)

// Limits of a connection.
const (
	maxRequestBytes = 1 << 20 // of a body
	readBufferBytes = 4 << 10
	writeTimeout    = time.Second // after which a dispatcher that does not read is disconnected
)

// conn is a connection from a dispatcher. It carries one request at a time.
type conn struct {
	*net.TCPConn
	link *link

	// Used only by the reading goroutine.
	firstByteAt    time.Duration // of the current request; 0: not received yet
	awaitFirstByte bool          // no byte of the next request has been received yet

	// Guarded by the worker's lock.
	id      string             // of the last request
	job     *Job               // nil: no job is open on the connection
	attempt *invariant.Attempt // nil: no attempt is open
	work    time.Duration      // of the last job, on a core of speed 1
	output  []byte             // not written yet
	silent  bool               // the link has been partitioned since the connection was opened: nothing more is written
	ended   bool
}

// Read records when the first byte of a request is received. Data that arrives during a partition is discarded, and the
// connection fails when the partition ends.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.awaitFirstByte {
		c.firstByteAt, c.awaitFirstByte = c.link.worker.cfg.Ledger.Now(), false
	}
	if healed := c.link.partitionHealed(); healed != nil {
		<-healed
		return 0, io.ErrUnexpectedEOF
	}
	return n, err
}

// serve reads requests until the connection ends. A job that is still open on it is dropped.
func (c *conn) serve() {
	w := c.link.worker
	r := bufio.NewReaderSize(c, readBufferBytes)
	for {
		c.awaitFirstByte = r.Buffered() == 0
		if !c.awaitFirstByte {
			c.firstByteAt = w.cfg.Ledger.Now()
		}
		if w.cfg.IdleClose > 0 {
			_ = c.SetReadDeadline(time.Now().Add(w.cfg.IdleClose)) // fails on a closed connection, as the next read does
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			if c.handleReadError(err) {
				continue
			}
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, maxRequestBytes))
		if err != nil {
			w.mu.Lock()
			c.drop() // an incomplete request is not an attempt
			w.mu.Unlock()
			return
		}
		w.handleRequest(c, req, body)
	}
}

// handleReadError ends the connection after a failed read and records input that is not HTTP. It returns true if the
// connection stays open: only idle connections are closed after IdleClose, not those with an open job.
func (c *conn) handleReadError(err error) bool {
	w := c.link.worker
	w.mu.Lock()
	defer w.mu.Unlock()
	if isTimeout(err) && c.job != nil {
		return true
	}
	isMalformed := !errors.Is(err, io.EOF) && !isNetErr(err)
	if isMalformed && !c.awaitFirstByte && c.job == nil && c.link.healed == nil {
		w.recordProtocolFault(c.link.dispatcher, err.Error())
	}
	c.drop()
	return false
}

// flush writes the buffered output. A dispatcher that does not read is disconnected. The worker's lock is held.
func (c *conn) flush() {
	if len(c.output) == 0 {
		return
	}
	if c.link.healed == nil && !c.silent {
		_ = c.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails on a closed connection, as the write does
		if _, err := c.Write(c.output); err != nil {
			c.drop()
		}
	}
	c.output = c.output[:0]
}

// drop closes the connection because the dispatcher closed it or violated the protocol, and stops its job. The worker's lock is
// held.
func (c *conn) drop() {
	c.end(invariant.Dropped)
	_ = c.Close() // it may already be closed
}

// reset closes the connection with a TCP reset. The worker's lock is held.
func (c *conn) reset(end invariant.End) {
	_ = c.SetLinger(0) // fails on a closed connection
	c.end(end)
	_ = c.Close() // it may already be closed
}

// end ends the open job and unregisters the connection, once. The worker's lock is held. Calls may be nested: a job that stops
// frees capacity, a job that begins in its place may overload the machine, and the crash ends all connections.
func (c *conn) end(end invariant.End) {
	if c.ended {
		return
	}
	c.ended = true
	w, j := c.link.worker, c.job
	c.endAttempt(end)
	delete(c.link.conns, c)
	if j != nil && c.link.isCurrent() {
		w.machine.Drop(j)
		w.step(func(*Machine) {})
	}
}

// endAttempt records the end of the open attempt, if there is one, and frees the connection for the next request. The
// worker's lock is held.
func (c *conn) endAttempt(end invariant.End) {
	if c.job != nil {
		delete(c.link.jobs, c.job)
		c.job = nil
	}
	if a := c.attempt; a != nil {
		ledger := c.link.worker.cfg.Ledger
		ledger.Do(func() { a.End, a.Ended = end, ledger.Now() })
		c.attempt = nil
	}
}
