package cluster

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// link forwards connections from one member to another. Its faults apply to both directions of each connection or to one of them. Bytes
// that a fault blocked are delivered when it ends, also where their sender has closed meanwhile, as a kernel does, but not where the
// sender has reset the connection. It does not simulate a kernel that gives up by itself. It is safe for concurrent use.
type link struct {
	listener net.Listener
	target   string // address of the member that is reached

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{} // closed when the fault changes or the link is closed
	conns   map[net.Conn]bool
	bytes   int64 // forwarded in both directions
	closed  bool
}

// linkFault is the fault of a link; the zero value is none.
type linkFault struct {
	blockForward    bool          // nothing passes towards the member that is reached
	blockBackward   bool          // nothing passes towards the member that connects
	reset           bool          // connections are reset, new ones too
	delay           time.Duration // of each chunk
	bytesPerSecond  int           // 0: no limit
	resetAfterBytes int           // connections are reset after so many bytes in one direction; 0: never
}

// block blocks both directions if on.
func (f *linkFault) block(on bool) {
	f.blockForward = f.blockForward || on
	f.blockBackward = f.blockBackward || on
}

// forwardBlocked reports whether the fault blocks the direction towards the member that is reached.
func (f linkFault) forwardBlocked() bool { return f.blockForward }

// backwardBlocked reports whether the fault blocks the direction towards the member that connects.
func (f linkFault) backwardBlocked() bool { return f.blockBackward }

// chunkDelay returns the time that a chunk of so many bytes takes.
func (f linkFault) chunkDelay(bytes int) time.Duration {
	delay := f.delay
	if f.bytesPerSecond > 0 {
		delay += time.Duration(bytes) * time.Second / time.Duration(f.bytesPerSecond)
	}
	return delay
}

const maxChunkBytes = 4 << 10

// newLink returns a link to a target address, which listens on a free port of host. The host must not be a member's: the port that was
// chosen for the member is to stay free until it listens.
func newLink(host, target string) (*link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("a link: %w", err)
	}
	l := &link{listener: listener, target: target, changed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go l.accept()
	return l, nil
}

// address returns the address on which the link listens.
func (l *link) address() string { return l.listener.Addr().String() }

// setFault replaces the fault; the zero fault heals the link.
func (l *link) setFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	l.notifyChange()
	if f.reset {
		l.resetAll()
	}
}

// notifyChange wakes those that wait for a change. The caller holds the lock.
func (l *link) notifyChange() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// resetAll resets all connections. The caller holds the lock.
func (l *link) resetAll() {
	for c := range l.conns {
		reset(c)
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails on a closed connection
	}
	c.Close()
}

// currentFault returns the fault and a channel that is closed when it changes.
func (l *link) currentFault() (linkFault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.changed
}

// isClosed reports whether close was called.
func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// accept forwards each new connection until the listener is closed.
func (l *link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		if f, _ := l.currentFault(); f.reset || !l.track(c) {
			reset(c)
			continue
		}
		go l.forward(c)
	}
}

// track adds a connection to those that are reset with the link; false: the link is closed.
func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[c] = true
	return true
}

// closeTracked closes a connection and forgets it.
func (l *link) closeTracked(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	c.Close()
}

// forward connects to the target and copies both directions until one of them ends.
func (l *link) forward(in net.Conn) {
	defer l.closeTracked(in)
	if !l.waitUntilOpen(linkFault.forwardBlocked) || wasReset(in) {
		return
	}
	out, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(in)
		return
	}
	defer l.closeTracked(out)
	if !l.track(out) {
		return
	}
	ended := make(chan struct{}, 2)
	go func() {
		l.copyDirection(out, in, linkFault.forwardBlocked)
		ended <- struct{}{}
	}()
	go func() {
		l.copyDirection(in, out, linkFault.backwardBlocked)
		ended <- struct{}{}
	}()
	<-ended
	in.Close()
	out.Close()
	<-ended
}

// waitUntilOpen waits until a direction is not blocked; false: the link is closed.
func (l *link) waitUntilOpen(isBlocked func(linkFault) bool) bool {
	for {
		f, changed := l.currentFault()
		if !isBlocked(f) {
			return true
		}
		<-changed
		if l.isClosed() {
			return false
		}
	}
}

// copyDirection copies one direction of a connection until it ends or the link's fault breaks it.
func (l *link) copyDirection(to, from net.Conn, isBlocked func(linkFault) bool) {
	buf := make([]byte, maxChunkBytes)
	sent := 0
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !l.copyChunk(to, from, buf[:n], sent, isBlocked) {
				return
			}
			sent += n
		}
		if err != nil {
			return // net/http closes both directions at once: the other one ends with this one
		}
	}
}

// copyChunk sends a chunk when its direction is open, after sent earlier bytes; false: the connection has ended.
func (l *link) copyChunk(to, from net.Conn, chunk []byte, sent int, isBlocked func(linkFault) bool) bool {
	before, _ := l.currentFault()
	if !l.waitUntilOpen(isBlocked) {
		return false
	}
	if isBlocked(before) && wasReset(from) { // its kernel has dropped what was unsent
		reset(to)
		return false
	}
	f, _ := l.currentFault()
	if delay := f.chunkDelay(len(chunk)); delay > 0 {
		time.Sleep(delay)
	}
	if f.resetAfterBytes > 0 && sent+len(chunk) > f.resetAfterBytes {
		_, _ = to.Write(chunk[:f.resetAfterBytes-min(sent, f.resetAfterBytes)]) // the connection is reset next either way
		reset(to)
		reset(from)
		return false
	}
	if _, err := to.Write(chunk); err != nil {
		return false
	}
	l.mu.Lock()
	l.bytes += int64(len(chunk))
	l.mu.Unlock()
	return true
}

// wasReset reports whether the other side has reset a connection.
func wasReset(c net.Conn) bool {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return true
	}
	socketError := 0
	err = raw.Control(func(fd uintptr) { socketError, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) })
	return err != nil || socketError != 0
}

// close stops listening and resets all connections.
func (l *link) close() {
	l.mu.Lock()
	l.closed = true
	l.notifyChange()
	l.resetAll()
	l.mu.Unlock()
	l.listener.Close()
}
