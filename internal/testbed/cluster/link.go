// Package cluster plays a group of dispatchers: processes of the program with a forwarder on each directed link between two
// of them, staff that hand in plans and work, faults by a timetable, and a judge of what the group promised.
package cluster

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// link forwards connections from one member to another. Its faults hold for both directions of each connection on it or
// for one alone; what was held is delivered when the fault ends, also where its sender has closed meanwhile, as a kernel does, but not
// where it has reset the connection. A kernel that gives up by itself is not played.
type link struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	fault fault
	wake  chan struct{} // closed when the fault changes
	conns map[net.Conn]bool
	bytes int64
	shut  bool
}

// fault is what is wrong with a link.
type fault struct {
	there bool          // nothing passes towards the member that is called
	back  bool          // nothing passes towards the caller
	reset bool          // connections are reset, and new ones too
	delay time.Duration // of each piece
	rate  int           // bytes a second; 0: no bound
	after int           // connections are reset after so many bytes; 0: never
}

const maxChunkBytes = 4 << 10

// newLink forwards from an address of a host of the caller's choice. That of a member is not to be one: its free port is to stay
// so until it listens.
func newLink(host, to string) (*link, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("a link: %w", err)
	}
	k := &link{listener: l, to: to, wake: make(chan struct{}), conns: map[net.Conn]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) address() string { return k.listener.Addr().String() }

// set changes what is wrong; the zero fault heals.
func (k *link) set(f fault) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fault = f
	close(k.wake)
	k.wake = make(chan struct{})
	if f.reset {
		for c := range k.conns {
			reset(c)
		}
	}
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a closed connection
	}
	c.Close()
}

func (k *link) now() (fault, chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fault, k.wake
}

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		if f, _ := k.now(); f.reset || !k.keep(c, true) {
			reset(c)
			continue
		}
		go k.carry(c)
	}
}

// keep notes a connection; false: the link is closed.
func (k *link) keep(c net.Conn, on bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if on && !k.shut {
		k.conns[c] = true
	} else {
		delete(k.conns, c)
	}
	return !k.shut
}

func (k *link) carry(c net.Conn) {
	defer func() { k.keep(c, false); c.Close() }()
	if !k.pass(func(f fault) bool { return f.there }) || broken(c) {
		return
	}
	out, err := net.Dial("tcp", k.to)
	if err != nil {
		reset(c)
		return
	}
	defer func() { k.keep(out, false); out.Close() }()
	if !k.keep(out, true) {
		return
	}
	done := make(chan struct{}, 2)
	go func() { k.copy(out, c, func(f fault) bool { return f.there }); done <- struct{}{} }()
	go func() { k.copy(c, out, func(f fault) bool { return f.back }); done <- struct{}{} }()
	<-done
	c.Close()
	out.Close()
	<-done
}

// pass waits until a direction is open; false: the link is closed.
func (k *link) pass(held func(fault) bool) bool {
	for {
		f, wake := k.now()
		if !held(f) {
			return true
		}
		<-wake
		k.mu.Lock()
		shut := k.shut
		k.mu.Unlock()
		if shut {
			return false
		}
	}
}

func (k *link) copy(to, from net.Conn, held func(fault) bool) {
	buf := make([]byte, maxChunkBytes)
	sent := 0
	for {
		n, err := from.Read(buf)
		if n > 0 {
			was, _ := k.now()
			if !k.pass(held) {
				return
			}
			if held(was) && broken(from) { // its kernel holds it no more
				reset(to)
				return
			}
			f, _ := k.now()
			wait := f.delay
			if f.rate > 0 {
				wait += time.Duration(n) * time.Second / time.Duration(f.rate)
			}
			if wait > 0 {
				time.Sleep(wait)
			}
			if f.after > 0 && sent+n > f.after {
				_, _ = to.Write(buf[:f.after-min(sent, f.after)]) // the connection is reset next either way
				reset(to)
				reset(from)
				return
			}
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
			sent += n
			k.mu.Lock()
			k.bytes += int64(n)
			k.mu.Unlock()
		}
		if err != nil {
			return // net/http's connections end whole: the other half goes with this one
		}
	}
}

// broken tells whether the other side of a connection has reset it.
func broken(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	failed := 0
	err = raw.Control(func(fd uintptr) { failed, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	return err != nil || failed != 0
}

func (k *link) close() {
	k.mu.Lock()
	k.shut = true
	close(k.wake)
	k.wake = make(chan struct{})
	for c := range k.conns {
		reset(c)
	}
	k.mu.Unlock()
	k.listener.Close()
}
