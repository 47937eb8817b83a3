package fakes

import (
	"net"
	"syscall"
	"time"
)

// A machine that vanished says nothing: what is open stays open, new connections do not come up. A process cannot drop
// packets, but the kernel drops the first packet of a connection to a listener whose backlog is full. So the backlog is
// set to nothing, and filled.
const (
	maxBacklogConns = 4
	fillWait        = 60 * time.Millisecond
	backlog         = 4096
)

// partition makes the link silent. It takes some dozen milliseconds.
func (k *link) partition() {
	k.w.mu.Lock()
	if k.healed != nil {
		k.w.mu.Unlock()
		return
	}
	k.healed = make(chan struct{})
	_ = k.listener.SetDeadline(time.Unix(1, 0)) // fails on a closed listener, which accepts nothing anyway
	k.w.mu.Unlock()
	k.setBacklog(0)
	for range maxBacklogConns {
		c, err := net.DialTimeout("tcp", k.listener.Addr().String(), fillWait)
		if err != nil {
			break // it does not come up any more
		}
		k.w.mu.Lock()
		k.fill = append(k.fill, c)
		k.w.mu.Unlock()
	}
}

// heal ends the silence; the caller resets what was open. The worker's lock is held.
func (k *link) heal() {
	if k.healed == nil {
		return
	}
	for _, c := range k.fill {
		_ = c.(*net.TCPConn).SetLinger(0) // fails on a connection that has ended already
		c.Close()
	}
	k.fill = nil
	for c := range k.conns {
		c.silent = true
	}
	k.setBacklog(backlog)
	_ = k.listener.SetDeadline(time.Time{}) // fails on a closed listener only
	close(k.healed)
	k.healed = nil
}

func (k *link) setBacklog(n int) {
	raw, err := k.listener.SyscallConn()
	if err != nil {
		return // closed meanwhile
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.Listen(int(fd), n) // changes the backlog of an open listener
	}) // fails on a closed listener, which has no backlog
}

// clearDuration is how long after a silence what had got through in the kernel is looked for.
const clearDuration = 2 * time.Millisecond

// clear resets the connections that came up in the kernel during a silence: to the machine they never did.
func (k *link) clear() {
	_ = k.listener.SetDeadline(time.Now().Add(clearDuration)) // on a closed listener the next Accept fails
	defer func() { _ = k.listener.SetDeadline(time.Time{}) }()
	for {
		c, err := k.listener.AcceptTCP()
		if err != nil {
			return
		}
		_ = c.SetLinger(0) // fails on a connection that has ended already
		_ = c.Close()
	}
}
