// Package socket provides socket operations below the level of net.Conn.
package socket

import "syscall"

// Peek reports whether bytes have arrived on a connection, without consuming them. It returns n > 0 if there are any, n = 0 and a nil error
// at the end of the stream, and syscall.EAGAIN if nothing has arrived. It neither blocks nor waits for a concurrent Read that blocks.
func Peek(conn syscall.RawConn) (n int, err error) {
	controlErr := conn.Control(func(fd uintptr) { n, err = PeekFD(fd) })
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

// PeekFD is Peek for callers that hold the file descriptor, such as the function that syscall.RawConn's Read calls.
func PeekFD(fd uintptr) (n int, err error) {
	var b [1]byte
	n, _, err = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}
