package fakes

import (
	"net"
	"syscall"
	"time"
)

// A partitioned machine is silent: open connections stay open, and new ones are not established. A process cannot drop packets,
// but the kernel drops the SYN of a connection to a listener whose backlog is full. A partition therefore sets the backlog to
// zero and fills it.
const (
	maxBacklogConns = 4                     // sufficient to fill a backlog of zero
	fillTimeout     = 60 * time.Millisecond // for dialing a connection that fills the backlog
	defaultBacklog  = 4096                  // of a link that is not partitioned
)

// partition makes the link silent. It takes tens of milliseconds.
func (l *link) partition() {
	l.worker.mu.Lock()
	if l.healed != nil {
		l.worker.mu.Unlock()
		return
	}
	l.healed = make(chan struct{})
	_ = l.listener.SetDeadline(time.Unix(1, 0)) // ends a waiting AcceptTCP; fails only on a closed listener, which accepts nothing
	l.worker.mu.Unlock()
	l.setBacklog(0)
	for range maxBacklogConns {
		c, err := net.DialTimeout("tcp", l.listener.Addr().String(), fillTimeout)
		if err != nil {
			break // the backlog is full
		}
		l.worker.mu.Lock()
		l.backlogConns = append(l.backlogConns, c)
		l.worker.mu.Unlock()
	}
}

// heal ends the partition; the caller resets the connections that were open. The worker's lock is held.
func (l *link) heal() {
	if l.healed == nil {
		return
	}
	for _, c := range l.backlogConns {
		_ = c.(*net.TCPConn).SetLinger(0) // fails only on a connection that has already ended
		c.Close()
	}
	l.backlogConns = nil
	for c := range l.conns {
		c.silent = true
	}
	l.setBacklog(defaultBacklog)
	_ = l.listener.SetDeadline(time.Time{}) // fails only on a closed listener
	close(l.healed)
	l.healed = nil
}

func (l *link) setBacklog(n int) {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return // the listener is closed
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.Listen(int(fd), n) // changes the backlog of an open listener
	}) // fails only on a closed listener, which has no backlog
}

// resetBacklogTime is the time after a partition in which connections from the backlog are accepted in order to reset them.
const resetBacklogTime = 2 * time.Millisecond

// resetBacklog resets the connections that the kernel established during a partition: a partitioned machine establishes none.
func (l *link) resetBacklog() {
	_ = l.listener.SetDeadline(time.Now().Add(resetBacklogTime)) // fails only on a closed listener, on which AcceptTCP fails too
	defer func() { _ = l.listener.SetDeadline(time.Time{}) }()
	for {
		c, err := l.listener.AcceptTCP()
		if err != nil {
			return
		}
		_ = c.SetLinger(0) // fails only on a connection that has already ended
		_ = c.Close()
	}
}
