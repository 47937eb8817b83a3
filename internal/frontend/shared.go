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
	finishing atomic.Bool
	once      sync.Once
	done      chan struct{} // closed by Close
}

// ListenShared listens at an address that other processes of this dispatcher listen at, or will.
func ListenShared(address string) (*SharedListener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		outer := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(outer, err)
	}}
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	t, ok := l.(*net.TCPListener)
	if !ok {
		l.Close()
		return nil, fmt.Errorf("%s is no TCP address", address)
	}
	return &SharedListener{TCPListener: t, done: make(chan struct{})}, nil
}

// Finish makes Accept take what the kernel has accepted for us already, and then end the listening: from there on all new
// connections are the other process's.
func (l *SharedListener) Finish() {
	l.finishing.Store(true)
	l.SetDeadline(time.Unix(1, 0)) // wakes an Accept that waits
}

// Accept takes the next connection. After the last one it waits for Close, as a server takes an error for a fault.
func (l *SharedListener) Accept() (net.Conn, error) {
	if !l.finishing.Load() {
		c, err := l.TCPListener.Accept()
		if err == nil || !l.finishing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
	}
	if c := l.left(); c != nil {
		return c, nil
	}
	l.TCPListener.Close() // at once: what comes between the last look and this is lost
	<-l.done
	return nil, net.ErrClosed
}

// left takes a connection that waits in the kernel; nil where there is none, or the listener is closed.
func (l *SharedListener) left() net.Conn {
	raw, err := l.SyscallConn()
	if err != nil {
		return nil
	}
	for {
		var fd int
		var err error
		if outer := raw.Control(func(s uintptr) { fd, _, err = unix.Accept4(int(s), unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC) }); outer != nil {
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
		f := os.NewFile(uintptr(fd), "")
		c, err := net.FileConn(f) // has a descriptor of its own
		f.Close()
		if err != nil {
			return nil
		}
		return c
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
