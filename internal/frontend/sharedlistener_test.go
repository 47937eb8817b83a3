package frontend

import (
	"errors"
	"net"
	"strings"
	"testing"
)

// connect opens connections to an address and closes them when the test ends.
func connect(t *testing.T, address string, count int) {
	t.Helper()
	for range count {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
	}
}

// acceptAll accepts connections until Accept fails. It returns channels of the connections, with capacity for count, and of Accept's error.
func acceptAll(listener net.Listener, count int) (accepted <-chan net.Conn, ended <-chan error) {
	conns, failed := make(chan net.Conn, count), make(chan error, 1)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				failed <- err
				return
			}
			conns <- c
		}
	}()
	return conns, failed
}

// A draining listener returns all connections that the kernel has accepted for it. Later connections go to the other listener.
func TestSharedListener_DrainAcceptsPending(t *testing.T) {
	first, err := ListenShared("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := first.Addr().String()
	const connCount = 40
	connect(t, address, connCount)
	second, err := ListenShared(address)
	if err != nil {
		t.Fatalf("a second listener on the address: %v", err)
	}
	defer func() { _ = second.Close() }()
	accepted, ended := acceptAll(first, connCount)
	first.Drain()
	for range connCount {
		(<-accepted).Close()
	}
	for { // until the first listener is closed
		raw, err := first.SyscallConn()
		if err != nil || raw.Control(func(uintptr) {}) != nil {
			break
		}
	}
	connect(t, address, connCount)
	for range connCount {
		c, err := second.Accept()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
	select {
	case err := <-ended:
		t.Fatalf("Accept ended before Close: %v", err)
	default:
	}
	if err := first.Close(); err != nil {
		t.Errorf("first Close: %v", err)
	}
	if err := <-ended; !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept ended with %v, want %v", err, net.ErrClosed)
	}
	if err := first.Close(); err != nil {
		t.Errorf("second Close: %v", err)
	}
	if len(accepted) > 0 {
		t.Errorf("the draining listener accepted %d connections after its drain", len(accepted))
	}
}

// An address that a listener uses exclusively cannot be shared.
func TestListenShared_AddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if _, err := ListenShared(l.Addr().String()); err == nil || !strings.Contains(err.Error(), "in use") {
		t.Fatalf("error %v, want that the address is in use", err)
	}
}
