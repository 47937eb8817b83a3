package loadgen

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// The encoded request is checked byte for byte.
func TestRequest_AppendTo(t *testing.T) {
	for _, c := range []struct {
		name    string
		request Request
		want    string
	}{
		{
			"required fields", Request{ID: "a", Class: "search", Target: "/search/lab?w=1", TimeLeft: time.Microsecond},
			"POST /search/lab?w=1 HTTP/1.1\r\nHost: h:1\r\nX-Request-Id: a\r\nX-Class: search\r\nX-Deadline-Ms: 1\r\nContent-Length: 0\r\n\r\n",
		},
		{
			"all fields", Request{
				ID: "a", Class: "search", Tenant: "t", Target: "/x", TimeLeft: 1500 * time.Millisecond, Retry: true,
				Extras: "slots=2,memory=0.5", Body: []byte("body"),
			},
			"POST /x HTTP/1.1\r\nHost: h:1\r\nX-Request-Id: a\r\nX-Class: search\r\nX-Deadline-Ms: 1500\r\nX-Tenant: t\r\nX-Retry: 1\r\n" +
				"X-Extras: slots=2,memory=0.5\r\nContent-Length: 4\r\n\r\nbody",
		},
	} {
		if got := string(c.request.appendTo(nil, "h:1")); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// dialServer returns a connection to a server that has written response to it.
func dialServer(t *testing.T, response string) *Conn {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := Dial(listener.Addr().String(), dialTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	server, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { server.Close() })
	if _, err := io.WriteString(server, response); err != nil {
		t.Fatal(err)
	}
	return c
}

func TestConn_Receive(t *testing.T) {
	for _, c := range []struct {
		name, response string
		status         int
		retryAfter     time.Duration
		reusable       bool
		err            error
	}{
		{"served", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 200, 0, true, nil},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", 200, 0, false, nil},
		{"refused", "HTTP/1.1 503 x\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n", 503, 1500 * time.Millisecond, true, nil},
		{"Retry-After too large", "HTTP/1.1 503 x\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n", 503, 0, true, nil},
		{"bytes after the answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabc", 200, 0, false, errExtraBytes},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, reusable, err := dialServer(t, c.response).Receive(time.Now().Add(5 * time.Second))
			if a.Status != c.status || a.RetryAfter != c.retryAfter || reusable != c.reusable || !errors.Is(err, c.err) {
				t.Errorf("got %+v, reusable %v, error %v; want status %d, Retry-After %v, reusable %v, error %v",
					a, reusable, err, c.status, c.retryAfter, c.reusable, c.err)
			}
		})
	}
}

// A connection on which bytes arrived while it was idle is not reused, and the bytes are recorded at its last try.
func TestPool_DropsConnWithExtraBytes(t *testing.T) {
	var p pool
	quiet, noisy := dialServer(t, ""), dialServer(t, "x")
	reported := 0
	for _, c := range []*Conn{quiet, noisy} {
		c.onExtraBytes = func() { reported++ }
		p.put(c)
	}
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n, err := noisy.peek(); err == nil && n > 0 {
			break
		}
	}
	if c := p.take(); c != quiet || c.isFresh || reported != 1 {
		t.Errorf("got connection %v, %d reports; want the quiet one from the pool, 1 report", c, reported)
	}
	if c := p.take(); c != nil {
		t.Error("the pool still holds a connection")
	}
}
