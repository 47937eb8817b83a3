package cluster

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// link forwards connections from a member to a target: another member, a worker or discovery. A fault applies to one or both directions
// of each connection. Bytes that a fault blocked are delivered when it ends, even if the sender has closed the connection meanwhile, as a
// kernel does, but not if the sender has reset it. Retransmission time-outs of the kernel are not simulated. A link is safe for concurrent
// use.
type link struct {
	listener net.Listener
	target   string // address

	mu      sync.Mutex
	fault   linkFault
	changed chan struct{} // closed when the fault changes or the link is closed
	conns   map[net.Conn]bool
	bytes   int64 // forwarded in both directions
	closed  bool
}

// linkFault is the fault of a link. The zero value is no fault.
type linkFault struct {
	blockForward    bool          // blocks traffic to the target
	blockBackward   bool          // blocks traffic to the connecting member
	reset           bool          // existing and new connections are reset
	delay           time.Duration // delay of each chunk
	bytesPerSecond  int           // 0: no limit
	resetAfterBytes int           // resets a connection after this many bytes in one direction; 0: never
}

// block blocks both directions if on.
func (f *linkFault) block(on bool) {
	f.blockForward = f.blockForward || on
	f.blockBackward = f.blockBackward || on
}

// forwardBlocked reports whether the fault blocks the direction to the target.
func (f linkFault) forwardBlocked() bool { return f.blockForward }

// backwardBlocked reports whether the fault blocks the direction to the connecting member.
func (f linkFault) backwardBlocked() bool { return f.blockBackward }

// chunkDelay returns the delay of a chunk of the given size.
func (f linkFault) chunkDelay(bytes int) time.Duration {
	delay := f.delay
	if f.bytesPerSecond > 0 {
		delay += time.Duration(bytes) * time.Second / time.Duration(f.bytesPerSecond)
	}
	return delay
}

const maxChunkBytes = 4 << 10

// newLink returns a link to target that listens on a free port of host. No member may use the same host, because the link could take the
// port that was chosen for the member before the member listens on it.
func newLink(host, target string) (*link, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		return nil, fmt.Errorf("creating a link to %s: %w", target, err)
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

// notifyChange wakes all goroutines that wait for a change. The caller holds the lock.
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

// track adds a connection to those that are reset with the link. It returns false if the link is closed.
func (l *link) track(c net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[c] = true
	return true
}

// closeTracked closes a connection and stops tracking it.
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

// waitUntilOpen waits until a direction is not blocked. It returns false if the link is closed.
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

// copyDirection copies one direction of a connection until the connection ends or the link's fault resets it.
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
			return // net/http closes both directions at once, so the other one ends too
		}
	}
}

// copyChunk sends a chunk once its direction is open; sent is the number of bytes before it. It returns false if the connection has ended.
func (l *link) copyChunk(to, from net.Conn, chunk []byte, sent int, isBlocked func(linkFault) bool) bool {
	before, _ := l.currentFault()
	if !l.waitUntilOpen(isBlocked) {
		return false
	}
	if isBlocked(before) && wasReset(from) { // the sender's kernel has dropped unsent bytes
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

// wasReset reports whether the peer has reset a connection.
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
