package fakes

import (
	"errors"
	"io"
	"net"

	"birchfork/internal/testbed/invariant"
)

// link is the listener of one dispatcher in one incarnation of a worker, with its connections.
type link struct {
	worker      *Worker
	incarnation int
	dispatcher  int
	listener    *net.TCPListener

	// Guarded by the worker's lock.
	conns        map[*conn]bool
	jobs         map[*Job]*conn
	healed       chan struct{} // closed when the partition ends; nil: the link is not partitioned
	backlogConns []net.Conn    // fill the listener's backlog during a partition
}

// accept accepts connections until the listener is closed. During a partition it waits.
func (l *link) accept() {
	for {
		raw, err := l.listener.AcceptTCP()
		if err != nil {
			healed := l.partitionHealed()
			if healed == nil && !isTimeout(err) {
				return // closed
			}
			if healed != nil {
				<-healed
				l.resetBacklog()
			}
			continue
		}
		c := &conn{link: l, TCPConn: raw}
		if !l.add(c) {
			_ = raw.Close() // the incarnation has ended
			return
		}
		go c.serve()
	}
}

// add registers a connection. It returns false if the link's incarnation has ended.
func (l *link) add(c *conn) bool {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	if !l.isCurrent() {
		return false
	}
	l.conns[c] = true
	return true
}

// isCurrent reports whether the link's incarnation is running. The worker's lock is held.
func (l *link) isCurrent() bool {
	return l.worker.machine != nil && l.worker.incarnation == l.incarnation
}

// partitionHealed returns a channel that is closed when the current partition ends, or nil if the link is not partitioned.
func (l *link) partitionHealed() <-chan struct{} {
	l.worker.mu.Lock()
	defer l.worker.mu.Unlock()
	return l.healed
}

// resetConns resets all connections. The worker's lock is held.
func (l *link) resetConns() {
	for c := range l.conns {
		c.reset(invariant.Died)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// isNetErr reports whether a read failed because of the connection, as opposed to malformed input.
func isNetErr(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) || errors.Is(err, io.ErrUnexpectedEOF)
}
