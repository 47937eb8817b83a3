package fakes

import (
	"net"
	"syscall"
	"time"
)

// A machine that vanished is silent: open connections stay open, new ones are not established. A process cannot drop packets,
// but the kernel drops the first packet of a connection to a listener whose backlog is full. So a partition sets the backlog
// to zero and fills it.
const (
	maxBacklogConns = 4                     // that may be needed to fill a backlog of zero
	fillWait        = 60 * time.Millisecond // for a connection that fills it
	backlog         = 4096                  // of a link that is not cut
)

// partition makes the link silent. It takes some dozen milliseconds.
func (l *link) partition() {
	l.worker.mu.Lock()
	if l.healed != nil {
		l.worker.mu.Unlock()
		return
	}
	l.healed = make(chan struct{})
	_ = l.listener.SetDeadline(time.Unix(1, 0)) // fails on a closed listener, which accepts nothing anyway
	l.worker.mu.Unlock()
	l.setBacklog(0)
	for range maxBacklogConns {
		c, err := net.DialTimeout("tcp", l.listener.Addr().String(), fillWait)
		if err != nil {
			break // the backlog is full
		}
		l.worker.mu.Lock()
		l.backlogConns = append(l.backlogConns, c)
		l.worker.mu.Unlock()
	}
}

// heal ends the silence; the caller resets the connections that were open. The worker's lock is held.
func (l *link) heal() {
	if l.healed == nil {
		return
	}
	for _, c := range l.backlogConns {
		_ = c.(*net.TCPConn).SetLinger(0) // fails on a connection that has ended already
		c.Close()
	}
	l.backlogConns = nil
	for c := range l.conns {
		c.silent = true
	}
	l.setBacklog(backlog)
	_ = l.listener.SetDeadline(time.Time{}) // fails on a closed listener only
	close(l.healed)
	l.healed = nil
}

func (l *link) setBacklog(n int) {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return // closed meanwhile
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.Listen(int(fd), n) // changes the backlog of an open listener
	}) // fails on a closed listener, which has no backlog
}

// resetBacklogTime is how long after a partition connections that the kernel established during it are accepted to be reset.
const resetBacklogTime = 2 * time.Millisecond

// resetBacklog resets the connections that the kernel established during a partition: for a vanished machine there are none.
func (l *link) resetBacklog() {
	_ = l.listener.SetDeadline(time.Now().Add(resetBacklogTime)) // on a closed listener the next Accept fails
	defer func() { _ = l.listener.SetDeadline(time.Time{}) }()
	for {
		c, err := l.listener.AcceptTCP()
		if err != nil {
			return
		}
		_ = c.SetLinger(0) // fails on a connection that has ended already
		_ = c.Close()
	}
}
