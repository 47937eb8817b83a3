// Package socket looks at sockets below the level of net.Conn.
package socket

import "syscall"

// Peek looks at the bytes that have arrived on a connection and leaves them there. It returns n > 0 where some have, n = 0 and no error at
// the end of the stream, and syscall.EAGAIN where nothing has arrived. It never blocks, nor waits for a Read that does.
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
