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

// SharedListener is a listener beside which another process may listen at the same address.
type SharedListener struct {
	*net.TCPListener
	draining atomic.Bool
	once     sync.Once
	done     chan struct{} // closed by Close
}

// ListenShared listens at an address that other processes of this dispatcher listen at, or will.
func ListenShared(address string) (*SharedListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(controlErr, err)
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	tcpListener, ok := listener.(*net.TCPListener)
	if !ok {
		listener.Close()
		return nil, fmt.Errorf("%s is no TCP address", address)
	}
	return &SharedListener{TCPListener: tcpListener, done: make(chan struct{})}, nil
}

// Drain makes Accept take what the kernel has accepted for us already, and then end the listening: from there on all new
// connections are the other process's.
func (l *SharedListener) Drain() {
	l.draining.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // wakes an Accept that waits
}

// Accept takes the next connection. After the last one it waits for Close, as a server takes an error for a fault.
func (l *SharedListener) Accept() (net.Conn, error) {
	if !l.draining.Load() {
		conn, err := l.TCPListener.Accept()
		if err == nil || !l.draining.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
	}
	if conn := l.acceptPending(); conn != nil {
		return conn, nil
	}
	l.TCPListener.Close() // at once: what comes between the last look and this is lost
	<-l.done
	return nil, net.ErrClosed
}

// acceptPending takes a connection that waits in the kernel; nil where there is none, or the listener is closed.
func (l *SharedListener) acceptPending() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	for {
		var fd int
		var err error
		if controlErr := raw.Control(func(listenerFD uintptr) {
			fd, _, err = unix.Accept4(int(listenerFD), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		}); controlErr != nil {
			return nil
		}
		switch {
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE): // those that end make room
			time.Sleep(time.Millisecond)
			continue
		case err != nil:
			return nil
		}
		file := os.NewFile(uintptr(fd), "")
		conn, err := net.FileConn(file) // has a descriptor of its own
		file.Close()
		if err != nil {
			return nil
		}
		return conn
	}
}

// Close ends the listening, and Accept.
func (l *SharedListener) Close() (err error) {
	l.once.Do(func() {
		err = l.TCPListener.Close()
		close(l.done)
	})
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
