package frontend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchfork/internal/upstream/upstreamtest"
)

// setSmallReceiveBuffer makes a client's kernel buffer little unread data.
func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	return errors.Join(controlErr, err)
}

// largeSendBufferListener is a listener whose connections can buffer a complete long response.
type largeSendBufferListener struct{ net.Listener }

func (l largeSendBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(2 << 20)
	}
	return c, err
}

// A close with unread bytes would reset the connection, and the part of the response that is still in the kernel would be lost.
func TestHandler_FinalResponseSurvivesSurplusBytes(t *testing.T) {
	for _, delay := range []time.Duration{lingerTimeout / 4, 2 * lingerTimeout} { // during the lingering close, and after it
		testFinalResponse(t, delay)
	}
}

// testFinalResponse sends a request, sends surplus bytes once the response is written, and reads most of the response after a delay.
func testFinalResponse(t *testing.T, delay time.Duration) {
	t.Helper()
	const size = 512 << 10 // more than the client's kernel buffers
	result := strings.Repeat("r", size)
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, upstreamtest.Answer(upstreamtest.StatusLine(r.Header.Get("X-Request-Id"), "done", `,"result":"`+result+`"`)))
		return true
	})
	h := newHarness(t, w.Address, 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h.serve(t, largeSendBufferListener{l})
	d := net.Dialer{Control: setSmallReceiveBuffer}
	c, err := d.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The response is the last one on the connection, because of Connection: close.
	io.WriteString(c, strings.Replace(rawRequestHead, "Host: h", "Host: h\r\nConnection: close", 1)+"Content-Length: 0\r\n\r\n")
	serverSide := serverSideConn(t, h)
	waitFor(t, "the response is in the kernel", func() bool {
		serverSide.mu.Lock()
		defer serverSide.mu.Unlock()
		return serverSide.noMoreRequests && !serverSide.responding && !serverSide.awaitingResponse
	})
	io.WriteString(c, "POST /search HTTP/1.1\r\n")
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	time.Sleep(delay)
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != size {
		t.Fatalf("read after %v: received %d of %d bytes, error %v", delay, n, size, err)
	}
}
