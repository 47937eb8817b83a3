package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"birchfork/internal/upstream/upstreamtest"
)

// benchmarkRequest measures sequential requests on a reused connection, from the client to the worker and back. The reported allocations are
// those of the dispatcher plus a constant number by the test's client and worker.
func benchmarkRequest(b *testing.B, body string) {
	h := newHarness(b, startScriptedWorker(b, len(body)), 0)
	conn, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	var message []byte
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		message = append(message[:0], "POST /search HTTP/1.1\r\nHost: h\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\nX-Request-Id: "...)
		message = fmt.Appendf(message, "%08d\r\nContent-Length: %d\r\n\r\n%s", i, len(body), body)
		if _, err := conn.Write(message); err != nil {
			b.Fatal(err)
		}
		if status, _, err := readResponse(in); err != nil || status != http.StatusOK {
			b.Fatalf("status %d, %v", status, err)
		}
	}
}

// startScriptedWorker starts a worker that answers requests with a body of bodySize bytes and an id of eight characters, with as little work
// as possible. It returns the worker's address.
func startScriptedWorker(b *testing.B, bodySize int) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { listener.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		in := bufio.NewReaderSize(conn, 1<<17)
		answer := []byte(upstreamtest.Answer(upstreamtest.StatusLine("00000000", "started", ""), upstreamtest.StatusLine("00000000", "done", `,"result":"r"`)))
		id := make([]byte, 0, 8)
		for {
			for {
				line, err := in.ReadSlice('\n')
				if err != nil {
					return
				}
				if value, ok := strings.CutPrefix(string(line), "X-Request-Id: "); ok {
					id = append(id[:0], strings.TrimSpace(value)...)
				}
				if len(line) == 2 {
					break
				}
			}
			if _, err := in.Discard(bodySize); err != nil {
				return
			}
			text := string(answer)
			for at := range text {
				if strings.HasPrefix(text[at:], `"id":"`) {
					copy(answer[at+len(`"id":"`):], id)
				}
			}
			if _, err := conn.Write(answer); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

func BenchmarkHandler_Request(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 32 << 10} {
		b.Run(strconv.Itoa(size), func(b *testing.B) { benchmarkRequest(b, strings.Repeat("x", size)) })
	}
}
