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

// setSmallReceiveBuffer leaves a client little buffer for unread data.
func setSmallReceiveBuffer(_, _ string, raw syscall.RawConn) (err error) {
	controlErr := raw.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096) })
	return errors.Join(controlErr, err)
}

// largeSendBufferListener is a listener whose connections can buffer a long response completely.
type largeSendBufferListener struct{ net.Listener }

func (l largeSendBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		err = c.(*net.TCPConn).SetWriteBuffer(2 << 20)
	}
	return c, err
}

// A close over unread bytes would reset the connection, and the part of the response that is still in the kernel would be lost.
func TestHandler_FinalResponseSurvivesSurplusBytes(t *testing.T) {
	for _, late := range []time.Duration{lingerTimeout / 4, 2 * lingerTimeout} { // during the lingering close, and after it
		testLastResponse(t, late)
	}
}

// testLastResponse sends a request whose client sends more after the response, and reads the response with the delay late.
func testLastResponse(t *testing.T, late time.Duration) {
	t.Helper()
	const size = 512 << 10 // more than a client receives before it reads
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
	// The first request's answer is the last one, since surplus bytes arrived after it.
	io.WriteString(c, strings.Replace(rawRequestHead, "Host: h", "Host: h\r\nConnection: close", 1)+"Content-Length: 0\r\n\r\n")
	serverSide := serverSideConn(t, h)
	waitFor(t, "the answer is with the kernel", func() bool {
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
	time.Sleep(late)
	n, err := io.Copy(io.Discard, res.Body)
	if err != nil || n != size {
		t.Fatalf("read %v late: %d of %d bytes came, %v", late, n, size, err)
	}
}
