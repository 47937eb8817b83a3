package frontend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// descriptorRetryDelay is how long Accept waits for a free file descriptor.
const descriptorRetryDelay = time.Millisecond

// SharedListener is a TCP listener on an address that other processes of this dispatcher may share. It is safe for concurrent use.
type SharedListener struct {
	*net.TCPListener
	draining  atomic.Bool
	closeOnce sync.Once
	closed    chan struct{} // closed by Close
}

// ListenShared listens on an address that other processes of this dispatcher may share. It fails if a listener that is not shared uses the
// address.
func ListenShared(address string) (*SharedListener, error) {
	config := net.ListenConfig{Control: setReusePort}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, fmt.Errorf("invalid listen address %q: must be a TCP address", address)
	}
	return &SharedListener{TCPListener: tcpListener, closed: make(chan struct{})}, nil
}

// AddressInUse reports whether a listener uses an address, also one that is shared. It opens a listener that is not shared and closes it.
func AddressInUse(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Is(err, syscall.EADDRINUSE)
	}
	listener.Close()
	return false
}

func setReusePort(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(controlErr, err)
}

// Drain makes Accept return the connections that the kernel has already accepted, and then stop listening: later connections go to the
// sibling process.
func (l *SharedListener) Drain() {
	l.draining.Store(true)
	_ = l.SetDeadline(time.Unix(1, 0)) // wakes up a waiting Accept; fails on a closed listener, where none waits
}

// Accept returns the next connection. After the last one that Drain leaves it waits for Close, since a server would treat an error as a
// failure.
func (l *SharedListener) Accept() (net.Conn, error) {
	if !l.draining.Load() {
		conn, err := l.TCPListener.Accept()
		wokenByDrain := errors.Is(err, os.ErrDeadlineExceeded) && l.draining.Load()
		if !wokenByDrain {
			return conn, err
		}
	}
	if conn := l.acceptPending(); conn != nil {
		return conn, nil
	}
	l.TCPListener.Close() // without delay: a connection that arrives after the last check and before the close is lost
	<-l.closed
	return nil, net.ErrClosed
}

// acceptPending returns a connection that the kernel has accepted; nil if there is none or the listener is closed.
func (l *SharedListener) acceptPending() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	for {
		fd, err := acceptFD(raw)
		switch {
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE): // a descriptor becomes free when a connection is closed
			time.Sleep(descriptorRetryDelay)
			continue
		case err != nil:
			return nil
		}
		file := os.NewFile(uintptr(fd), "")
		conn, err := net.FileConn(file) // duplicates the file descriptor
		file.Close()
		if err != nil {
			return nil
		}
		return conn
	}
}

// acceptFD accepts a connection without waiting.
func acceptFD(listener syscall.RawConn) (fd int, err error) {
	controlErr := listener.Control(func(listenerFD uintptr) {
		fd, _, err = unix.Accept4(int(listenerFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return fd, err
}

// Close stops listening and ends Accept. It may be called more than once.
func (l *SharedListener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.TCPListener.Close()
		close(l.closed)
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
