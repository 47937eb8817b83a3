package server

import (
	"context"
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"birchfork/dispatch"
	"birchfork/internal/config"
)

// In a group the kernel times out data that a silent link has not delivered, and discards it when the connection is closed. Without a group
// the socket options have the system's defaults.
func TestDialer_SocketTimeoutsInGroup(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c := &Config{}
	c.Settings.Classes = []dispatch.Class{{Deadline: 5 * dispatch.Second}, {Deadline: 3 * dispatch.Second}}
	for _, group := range []*config.Group{nil, {}} {
		c.Operator = &config.OperatorConfig{Group: group}
		conn, err := c.dialer()(context.Background(), listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		raw, err := conn.(syscall.Conn).SyscallConn()
		if err != nil {
			t.Fatal(err)
		}
		var userTimeout, linger int
		var optionErr error
		err = raw.Control(func(fd uintptr) {
			userTimeout, optionErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
			linger, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_LINGER) // the first field of the struct, Onoff
		})
		want := group != nil
		if err != nil || optionErr != nil || (userTimeout == 5000) != want || (linger == 1) != want {
			t.Errorf("group %t: user timeout %d ms, linger %d, %v, %v", want, userTimeout, linger, err, optionErr)
		}
	}
}
