package frontend

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/engine"
)

func TestHandler_BadRequestsNeverReachDispatcher(t *testing.T) {
	h := newHarness(t, "", 0)
	for _, c := range []struct {
		name   string
		change func(r *http.Request)
		want   int
	}{
		{"no id", func(r *http.Request) { r.Header.Del("X-Request-Id") }, 400},
		{"an empty id", func(r *http.Request) { r.Header.Set("X-Request-Id", "") }, 400},
		{"two ids", func(r *http.Request) { r.Header.Add("X-Request-Id", "b") }, 400},
		{"an id with a space", func(r *http.Request) { r.Header.Set("X-Request-Id", "a b") }, 400},
		{"a long id", func(r *http.Request) { r.Header.Set("X-Request-Id", strings.Repeat("a", 257)) }, 400},
		{"no class", func(r *http.Request) { r.Header.Del("X-Class") }, 400},
		{"another class than the path", func(r *http.Request) { r.Header.Set("X-Class", "book") }, 400},
		{"an unknown class", func(r *http.Request) { r.Header.Set("X-Class", "odd"); r.URL.Path = "/odd" }, 404},
		{"an unknown tenant", func(r *http.Request) { r.Header.Set("X-Tenant", "odd") }, 400},
		{"no deadline", func(r *http.Request) { r.Header.Del("X-Deadline-Ms") }, 400},
		{"a deadline in words", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "soon") }, 400},
		{"a deadline of 0", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "0") }, 400},
		{"a deadline below 0", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "-5") }, 400},
		{"an endless deadline", func(r *http.Request) { r.Header.Set("X-Deadline-Ms", "99999999999") }, 400},
		{"slots in words", func(r *http.Request) { r.Header.Set("X-Extras", "slots=two") }, 400},
		{"half a slot", func(r *http.Request) { r.Header.Set("X-Extras", "slots=0.5") }, 400},
		{"extras without values", func(r *http.Request) { r.Header.Set("X-Extras", "slots") }, 400},
		{"memory below 0", func(r *http.Request) { r.Header.Set("X-Extras", "memory=-1") }, 400},
		{"a GET", func(r *http.Request) { r.Method = "GET" }, 405},
		{"a body over 64 KiB", func(r *http.Request) {
			r.Body = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1)))
			r.ContentLength = maxBodyBytes + 1
		}, 413},
		{"a chunked body over 64 KiB", func(r *http.Request) {
			r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", maxBodyBytes+1))), -1
		}, 413},
	} {
		r := newRequest(t, h.url, "search", "a", "")
		c.change(r)
		if status, _, _ := doRequest(t, r); status != c.want {
			t.Errorf("%s: status %d, want %d", c.name, status, c.want)
		}
	}
	if h.engine.Counters.Accepted.Load() != 0 || h.engine.Counters.BadRequests.Load() != 21 {
		t.Fatal(h.engine.Counters.Fields())
	}
}

func TestDecodeHead(t *testing.T) {
	r := newRequest(t, "http://h", "search", "a", "")
	r.Header.Set("X-Retry", "1")
	r.Header.Set("X-Extras", "slots=4, memory=2.5,other=7")
	spec, err := decodeHead(r)
	want := engine.RequestSpec{ID: "a", Class: "search", Tenant: "acme", TimeLeft: 5 * time.Second, Slots: 4, Memory: 2.5, Retry: true}
	if err != nil || spec != want {
		t.Fatalf("%+v, %v", spec, err)
	}
}

// A body of 64 KiB is allowed.
func TestHandler_ForwardsLargestBody(t *testing.T) {
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", strings.Repeat("x", maxBodyBytes))); status != 200 {
		t.Fatalf("status %d", status)
	}
	if len(w.bodies[0]) != maxBodyBytes {
		t.Fatalf("%d bytes came", len(w.bodies[0]))
	}
}

// sendRaw writes bytes on a connection of its own and returns it.
func sendRaw(t *testing.T, h *harness, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(h.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

const rawRequestHead = "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\n"

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not so in time: " + what)
		}
	}
}

// A client that never takes its answer must not hold its connection and the request for ever.
func TestHandler_UnreadResponseTimesOut(t *testing.T) {
	defer func(d time.Duration) { writeTimeout = d }(writeTimeout)
	writeTimeout = 50 * time.Millisecond
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	near, far := net.Pipe() // takes nothing in by itself
	defer far.Close()
	go h.server.Serve(h.handler.Conns.WrapListener(&singleConnListener{conn: near, done: make(chan bool)}))
	io.WriteString(far, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the answer is given up", func() bool { return h.engine.Counters.WriteFailures.Load() == 1 })
}

// singleConnListener is a listener with one connection.
type singleConnListener struct {
	conn net.Conn
	done chan bool
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if c := l.conn; c != nil {
		l.conn = nil
		return c, nil
	}
	<-l.done
	return nil, net.ErrClosed
}
func (l *singleConnListener) Close() error   { close(l.done); return nil }
func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

func TestHandler_PartialRequestIsNotForwarded(t *testing.T) {
	h := newHarness(t, "", 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 10\r\n\r\nhalf")
	c.Close()
	waitFor(t, "the request is counted as bad", func() bool { return h.engine.Counters.BadRequests.Load() == 1 })
	if h.engine.Counters.Accepted.Load() != 0 {
		t.Fatal("it was taken")
	}
}

// The time to take an answer counts for that answer alone, not for the next one on the same connection.
func TestHandler_WriteTimeoutIsPerResponse(t *testing.T) {
	defer func(d time.Duration) { writeTimeout = d }(writeTimeout)
	writeTimeout = 200 * time.Millisecond
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	in := bufio.NewReader(c)
	for i, want := range []int{200, 200, 503} {
		res, err := http.ReadResponse(in, nil)
		if err != nil || res.StatusCode != want {
			t.Fatalf("answer %d: %v, %+v", i, err, res)
		}
		io.Copy(io.Discard, res.Body)
		time.Sleep(2 * writeTimeout)
		if i == 0 {
			io.WriteString(c, strings.Replace(rawRequestHead, "Id: a", "Id: b", 1)+"Content-Length: 0\r\n\r\n")
		}
		if i == 1 {
			h.handler.DisableKeepAlives()
			io.WriteString(c, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}
}

// Reading the body within a time of its own must not pass for the client's going later.
func TestHandler_RequestTimeoutEndsWithBody(t *testing.T) {
	defer func(d time.Duration) { requestTimeout = d }(requestTimeout)
	requestTimeout = 300 * time.Millisecond
	w := startWorker(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(2 * requestTimeout)
		return respondDone(c, r)
	})
	h := newHarness(t, w.addr, 0)
	r := newRequest(t, h.url, "search", "a", "body")
	if status, _, _ := doRequest(t, r); status != 200 || h.engine.Counters.ClientsGone.Load() != 0 {
		t.Fatalf("status %d, %d gone", status, h.engine.Counters.ClientsGone.Load())
	}
}

func TestHandler_ClientCloseEndsRequest(t *testing.T) {
	release := make(chan bool)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return respondDone(c, r) })
	h := newHarness(t, w.addr, 0)
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the worker has it", func() bool { return w.requestCount() == 1 })
	c.Close()
	waitFor(t, "the client counts as gone", func() bool { return h.engine.Counters.ClientsGone.Load() == 1 })
	close(release)
	h.settled(t) // the attempt still ends in order
	if h.engine.Counters.Served.Load() != 0 || h.engine.Counters.Outcomes[dispatch.ResultOK].Load() != 1 {
		t.Fatal(h.engine.Counters.Fields())
	}
}

func TestHandler_ShedRequestGetsRetryAfter(t *testing.T) {
	h := newHarness(t, "", 0) // no worker is known: jobs are held until nobody can wait for them any more
	r := newRequest(t, h.url, "search", "a", "")
	r.Header.Set("X-Deadline-Ms", "1000")
	status, _, head := doRequest(t, r)
	if status != 503 || h.engine.Counters.Shed.Load() != 1 {
		t.Fatalf("status %d, %v", status, h.engine.Counters.Fields())
	}
	if v := head.Get("Retry-After"); v != "" {
		if e, err := strconv.ParseFloat(v, 64); err != nil || e < 0 || e > 2 {
			t.Fatalf("Retry-After %q", v)
		}
	}
}

func TestHandler_OpenRequestLimit(t *testing.T) {
	release := make(chan bool)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return respondDone(c, r) })
	h := newHarness(t, w.addr, 1)
	sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the first is open", func() bool { return h.engine.OpenRequests() == 1 })
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "b", "")); status != 503 || h.engine.Counters.RejectedOverLimit.Load() != 1 {
		t.Fatalf("status %d", status)
	}
	close(release)
	h.settled(t)
}

// What is held when the platform is about to kill us still gets its answer.
func TestHandler_ForceCloseFailsQueued(t *testing.T) {
	release := make(chan bool)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return false })
	h := newHarness(t, w.addr, 0)
	answered := make(chan int, 1)
	go func() {
		rec := httptest.NewRecorder()
		r := httptest.NewRequest("POST", "/search", nil)
		for k, v := range map[string]string{"X-Request-Id": "a", "X-Class": "search", "X-Deadline-Ms": "5000"} {
			r.Header.Set(k, v)
		}
		near, far := net.Pipe()
		defer far.Close()
		h.handler.ServeHTTP(rec, r.WithContext(contextWithConn(r.Context(), h.handler.Conns.track(near))))
		answered <- rec.Code
	}()
	waitFor(t, "the worker has it", func() bool { return w.requestCount() == 1 })
	h.handler.DisableKeepAlives()
	h.handler.ForceClose()
	if code := <-answered; code != 500 || h.engine.Counters.Overdue.Load() != 1 {
		t.Fatalf("status %d", code)
	}
	close(release)
	h.settled(t)
}

func TestHandler_Up(t *testing.T) {
	h := newHarness(t, "", 0)
	up := func() int {
		res, err := http.Get(h.url + "/up")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode
	}
	if up() != 503 {
		t.Fatal("up without any worker")
	}
	l := listWithWorker("127.0.0.1:1")
	l.Stale = true
	h.engine.UpdateEndpoints(l)
	if up() != 503 {
		t.Fatal("up by an old list before discovery could speak")
	}
	h.handler.startedAt = h.handler.startedAt.Add(-2 * firstListTimeout)
	if up() != 200 {
		t.Fatal("not up by the old list, though discovery is silent")
	}
	h.handler.startedAt = time.Now()
	h.engine.UpdateEndpoints(listWithWorker("127.0.0.1:1"))
	if up() != 200 {
		t.Fatal("not up")
	}
	h.handler.DisableKeepAlives()
	if up() != 503 {
		t.Fatal("up while stopping")
	}
}

// While stopping all is served as before, but no connection is kept.
func TestHandler_ServesWithKeepAlivesDisabled(t *testing.T) {
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	h.handler.DisableKeepAlives()
	c := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, nil)
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Fatalf("%v, %+v", err, res)
	}
	io.Copy(io.Discard, res.Body)
	if _, err := in.ReadByte(); err != io.EOF {
		t.Fatalf("the connection did not end: %v", err)
	}
}

func (h *harness) setSoftLimit(n int) {
	h.handler.Conns.mu.Lock()
	defer h.handler.Conns.mu.Unlock()
	h.handler.Conns.SoftLimit = n
}

// Connections beyond the limit are accepted all the same: what waits in the kernel counts as taken. Idle ones give way.
func TestConnTracker_EvictsIdle(t *testing.T) {
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	h.setSoftLimit(2)
	var conns []net.Conn
	for i := range 4 {
		head := strings.Replace(rawRequestHead, "X-Request-Id: a", fmt.Sprint("X-Request-Id: ", i), 1)
		c := sendRaw(t, h, head+"Content-Length: 0\r\n\r\n")
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != 200 {
			t.Fatalf("connection %d: %v, %+v", i, err, res)
		}
		io.Copy(io.Discard, res.Body)
		conns = append(conns, c)
		waitFor(t, "the connection is idle", func() bool { return h.countClass(evictIdle) == min(i+1, 2) })
	}
	if h.engine.Counters.ClientConnsClosed.Load() != 2 {
		t.Fatalf("%d were cut", h.engine.Counters.ClientConnsClosed.Load())
	}
	conns[0].SetReadDeadline(time.Now().Add(10 * time.Second))
	if _, err := conns[0].Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("not the longest idle one was closed: %v", err)
	}
}

// A connection may look idle while its next request has come already, read or not: closing it would lose that request.
func TestConnTracker_CloseIdleKeepsUnreadRequests(t *testing.T) {
	h := newHarness(t, "", 0)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	connect := func() (*clientConn, net.Conn) {
		far, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		near, err := h.handler.Conns.WrapListener(l).Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		c := near.(*clientConn)
		c.proven = true
		return c, far
	}
	silent, _ := connect()
	unread, far := connect()
	io.WriteString(far, "P")
	waitFor(t, "it has come", func() bool { unread.mu.Lock(); defer unread.mu.Unlock(); return unread.hasUnread() })
	awaiting, _ := connect()
	awaiting.completeRequest()
	responding, _ := connect()
	responding.beginResponse(false)
	h.handler.Conns.CloseIdle()
	for _, c := range []struct {
		name    string
		conn    *clientConn
		evicted bool
	}{{"silent", silent, true}, {"unread", unread, false}, {"taken", awaiting, false}, {"answering", responding, false}} {
		if c.conn.evicted != c.evicted {
			t.Errorf("%s: cut %v", c.name, c.conn.evicted)
		}
	}
	if _, err := silent.Read(make([]byte, 1)); err == nil {
		t.Error("a connection that was cut is read")
	}
	b := make([]byte, 9)
	if n, err := unread.Read(b); n != 1 || err != nil || !unread.requestStarted {
		t.Errorf("%d bytes, %v", n, err)
	}
}

// countClass counts the connections of a rank.
func (h *harness) countClass(class int) (n int) {
	h.handler.Conns.mu.Lock()
	defer h.handler.Conns.mu.Unlock()
	for c := range h.handler.Conns.conns {
		if got, _ := c.evictionClass(time.Now()); got == class {
			n++
		}
	}
	return n
}

func TestHandler_RejectsOverSoftLimit(t *testing.T) {
	release := make(chan bool)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return respondDone(c, r) })
	h := newHarness(t, w.addr, 0)
	h.setSoftLimit(1)
	sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the first is open", func() bool { return h.engine.OpenRequests() == 1 })
	for want, delay := range map[string]time.Duration{"": 0, "0.200": 200 * time.Millisecond} {
		h.handler.SetRetryAfter(delay, delay)
		n := h.engine.Counters.RejectedOverLimit.Load()
		status, _, head := doRequest(t, newRequest(t, h.url, "search", "b"+want, ""))
		if status != 503 || h.engine.Counters.RejectedOverLimit.Load() != n+1 {
			t.Fatalf("status %d, %v", status, head)
		}
		if got := head.Get("Retry-After"); got != want {
			t.Errorf("Retry-After %q, want %q", got, want)
		}
	}
	close(release)
	h.settled(t)
}

// readToClose reads an answer's status and whether the connection ends behind it, with nothing more.
func readToClose(t *testing.T, c net.Conn) (status int, closed bool) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	in := bufio.NewReader(c)
	res, err := http.ReadResponse(in, nil)
	if err != nil {
		return 0, errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET)
	}
	io.Copy(io.Discard, res.Body)
	_, err = in.ReadByte()
	return res.StatusCode, errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// What cannot be read, or hides a request behind another's end, is answered, goes nowhere and ends its connection.
func TestHandler_MalformedRequests(t *testing.T) {
	hidden := "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\n" +
		"Content-Length: 0\r\n\r\n"
	both := rawRequestHead + "Transfer-Encoding: chunked\r\nContent-Length: " + strconv.Itoa(len(hidden)+5) + "\r\n\r\n0\r\n\r\n" + hidden
	for _, c := range []struct {
		name, send string
		status     int // 0: a close will do
		counter    string
	}{
		{"both lengths", both, 400, "bad_framing"},
		{"both lengths, folded and in odd case", rawRequestHead + "tRansfer-encoding:\r\n chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n" + hidden, 400, "bad_framing"},
		{"both lengths, bare line ends", strings.ReplaceAll(both, "\r\n", "\n"), 400, "bad_framing"},
		{"both lengths to HTTP/1.0", strings.Replace(both, "HTTP/1.1", "HTTP/1.0", 1), 400, "bad_framing"},
		{"both lengths to a GET", strings.Replace(both, "POST /search", "GET /up", 1), 400, "bad_framing"},
		{"a number hidden by spaces", rawRequestHead + "Content-Length: " + strings.Repeat(" ", 200) + "3\r\n\r\nabc", 400, "bad_framing"},
		{"a length below the body's", rawRequestHead + "Content-Length: 3\r\n\r\nabcdef", 400, "bad_framing"},
		{"two requests at once", rawRequestHead + "Content-Length: 0\r\n\r\n" + hidden, 400, "bad_framing"},
		{"two lengths", rawRequestHead + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400, "unreadable"},
		{"a negative length", rawRequestHead + "Content-Length: -3\r\n\r\nabc", 400, "unreadable"},
		{"a length of words", rawRequestHead + "Content-Length: three\r\n\r\nabc", 400, "unreadable"},
		{"a huge length", rawRequestHead + "Content-Length: 60000000\r\n\r\nabc", 413, "bad_sizes"},
		{"an endless length", rawRequestHead + "Content-Length: 99999999999999999999\r\n\r\nabc", 400, "unreadable"},
		{"an unknown coding", rawRequestHead + "Transfer-Encoding: odd\r\n\r\n" + hidden, 501, "unreadable"},
		{"nonsense for chunks", rawRequestHead + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + hidden, 400, "bad_bodies"},
		{"no HTTP", "\x16\x03\x01\x00\xa5 hello\r\n\r\n", 400, "unreadable"},
		{"a head without end", rawRequestHead + strings.Repeat("X-More: "+strings.Repeat("a", 1000)+"\r\n", 40), 431, "unreadable"},
		{"an unknown class with a request behind it", strings.ReplaceAll(rawRequestHead, "search", "odd") + "Content-Length: 3\r\n\r\nabc" + hidden, 400, "bad_framing"},
		{"a class with a letter that workers cannot read", strings.ReplaceAll(rawRequestHead, "/search", "/search/\xff") + "Content-Length: 0\r\n\r\n", 400, "bad_heads"},
		{"a question to nobody", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n", 405, "bad_methods"},
		{"a deadline with a sign", strings.Replace(rawRequestHead, "5000", "+5000", 1) + "Content-Length: 0\r\n\r\n", 400, "bad_heads"},
		{"an expectation nobody knows", rawRequestHead + "Expect: magic\r\nContent-Length: 0\r\n\r\n", 417, "unreadable"},
		{"a key with such a letter", rawRequestHead + "X-Key: \xff\r\nContent-Length: 0\r\n\r\n", 400, "bad_heads"},
	} {
		w := startWorker(t, respondDone)
		h := newHarness(t, w.addr, 0)
		conn := sendRaw(t, h, "")
		go io.WriteString(conn, c.send)
		status, closed := readToClose(t, conn)
		if status != c.status || !closed {
			t.Errorf("%s: status %d, closed %v", c.name, status, closed)
		}
		waitFor(t, c.name+" is counted", func() bool { return h.engine.Counters.Fields()[c.counter] == int64(1) })
		if w.requestCount() != 0 || h.engine.Counters.Accepted.Load() != 0 {
			t.Errorf("%s: %d requests came to the worker", c.name, w.requestCount())
		}
	}
}

// A client that sends 60 MB at full speed is answered before it is through, and the answer survives the reset that its
// bytes meet; chunked it is the same.
func TestHandler_RejectsHugeBodyEarly(t *testing.T) {
	h := newHarness(t, "", 0)
	for i, framing := range []string{"Content-Length: 60000000\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n"} {
		c := sendRaw(t, h, rawRequestHead+framing)
		c.SetDeadline(time.Now().Add(20 * time.Second))
		block := make([]byte, 100_000)
		if i == 1 {
			block = append([]byte(fmt.Sprintf("%x\r\n", len(block))), append(block, "\r\n"...)...)
		}
		sent := 0
		for range 600 {
			n, err := c.Write(block)
			if sent += n; err != nil {
				break // cut off
			}
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != 413 || !res.Close {
			t.Fatalf("%s after %d bytes: %v, %+v", framing[:8], sent, err, res)
		}
		if sent > 50_000_000 {
			t.Errorf("%s: all %d bytes were taken", framing[:8], sent)
		}
	}
	if n := h.engine.Counters.BadSizes.Load(); n != 2 {
		t.Errorf("%d bodies were too long", n)
	}
}

// A chunked body alone is in order. What is behind it is not read.
func TestHandler_ChunkedBody(t *testing.T) {
	w := startWorker(t, respondDone)
	h := newHarness(t, w.addr, 0)
	c := sendRaw(t, h, rawRequestHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+rawRequestHead+"Content-Length: 0\r\n\r\n")
	if status, closed := readToClose(t, c); status != 200 || !closed {
		t.Fatalf("status %d, closed %v", status, closed)
	}
	if w.requestCount() != 1 || w.bodies[0] != "abcde" {
		t.Fatalf("%d requests, %q", w.requestCount(), w.bodies)
	}
}

// Whatever a client does not send in time, from its connecting on, must not hold a connection.
func TestHandler_SlowRequestsTimeOut(t *testing.T) {
	defer func(d time.Duration) { requestTimeout = d }(requestTimeout)
	requestTimeout = 100 * time.Millisecond
	h := newHarness(t, "", 0)
	for name, send := range map[string]string{
		"nothing": "", "half a head": rawRequestHead, "half a body": rawRequestHead + "Content-Length: 10\r\n\r\nhalf",
		"a chunk": rawRequestHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nab",
	} {
		c := sendRaw(t, h, send)
		stop := make(chan bool)
		if send != "" {
			go func() { // drips on
				for {
					select {
					case <-stop:
						return
					case <-time.After(10 * time.Millisecond):
						c.Write([]byte("x"))
					}
				}
			}()
		}
		if name == "half a body" {
			close(stop)
		}
		if status, closed := readToClose(t, c); status != 0 && status != 400 || !closed {
			t.Errorf("%s: status %d, closed %v", name, status, closed)
		}
		if name != "half a body" {
			close(stop)
		}
	}
	if h.engine.Counters.Accepted.Load() != 0 {
		t.Error("something was taken")
	}
}

// Clients that say nothing give way to those that speak, the longest silent first, and never one with a request taken.
func TestConnTracker_EvictsSilent(t *testing.T) {
	release := make(chan bool)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return respondDone(c, r) })
	h := newHarness(t, w.addr, 0)
	h.setSoftLimit(4)
	h.handler.Conns.HardLimit = 6
	busy := sendRaw(t, h, rawRequestHead+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the first is open", func() bool { return h.engine.OpenRequests() == 1 })
	var silent []net.Conn
	for range 30 {
		c := sendRaw(t, h, "")
		silent = append(silent, c)
		waitFor(t, "it is known", func() bool { return h.engine.Counters.ClientConns.Load() == int64(1+len(silent)) })
	}
	for i, c := range silent[:27] {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(make([]byte, 1)); err != io.EOF {
			t.Fatalf("silent connection %d: %v", i, err)
		}
	}
	if n := h.countClass(evictUnproven) + h.countClass(evictNew); n != 3 || h.engine.Counters.ClientConnsClosed.Load() != 27 {
		t.Fatalf("%d are open, %d were cut", n, h.engine.Counters.ClientConnsClosed.Load())
	}
	another := sendRaw(t, h, strings.Replace(rawRequestHead, "Id: a", "Id: b", 1)+"Content-Length: 0\r\n\r\n")
	waitFor(t, "the usual one is open too", func() bool { return h.engine.OpenRequests() == 2 })
	close(release)
	for _, c := range []net.Conn{busy, another} {
		if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || res.StatusCode != 200 {
			t.Fatalf("%v, %+v", err, res)
		}
	}
}

// Bodies hold memory only as far as they have come, and together no more than their budget; small ones always fit.
func TestHandler_BodiesStayWithinBudget(t *testing.T) {
	release := make(chan bool)
	w := startWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return respondDone(c, r) })
	h := newHarness(t, w.addr, 0)
	h.handler.BodyBudget.SetLimit(100 << 10)
	big := strings.Repeat("x", 60<<10)
	first := make(chan int)
	go func() { status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", big)); first <- status }()
	waitFor(t, "the first is at the worker", func() bool { return w.requestCount() == 1 })
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "b", big)); status != 503 {
		t.Errorf("the second: status %d", status)
	}
	go func() {
		status, _, _ := doRequest(t, newRequest(t, h.url, "search", "c", big[:unbudgetedBodyBytes]))
		first <- status
	}()
	close(release)
	for range 2 {
		if status := <-first; status != 200 {
			t.Errorf("status %d", status)
		}
	}
	h.settled(t)
	waitFor(t, "all is given back", func() bool { return h.handler.BodyBudget.available.Load() == 100<<10 })
}

func FuzzHeadScanner(f *testing.F) {
	f.Add([]byte(rawRequestHead+"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"), 7)
	f.Add([]byte(rawRequestHead+"Content-Length:\n 3\n\n"), 1)
	f.Fuzz(func(t *testing.T, b []byte, split int) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(b)))
		if err != nil {
			return
		}
		var whole, parts headScanner
		n := whole.scan(b)
		if !whole.done {
			t.Fatalf("net/http reads a head in %q, we do not", b)
		}
		if i := max(0, min(split, n-1)); parts.scan(b[:i]) != i || i+parts.scan(b[i:n]) != n || !parts.done {
			t.Fatalf("%q ends elsewhere in two parts", b)
		}
		if r.ContentLength > 0 && !whole.invalidLength && whole.length != r.ContentLength {
			t.Fatalf("length %d, net/http takes %d", whole.length, r.ContentLength)
		}
		if len(r.TransferEncoding) > 0 && !whole.hasTransferEncoding {
			t.Fatalf("net/http finds a coding in %q, we do not", b)
		}
	})
}

func FuzzDecodeHead(f *testing.F) {
	f.Add("a", "search", "480", "slots=1,memory=0.5", "/search/x")
	f.Add("", "", "-1", "=,", "//")
	f.Fuzz(func(t *testing.T, id, class, ms, extras, path string) {
		r := httptest.NewRequest("POST", "/", nil)
		r.URL.Path = path
		for k, v := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Deadline-Ms": ms, "X-Extras": extras} {
			r.Header.Set(k, v)
		}
		j, err := decodeHead(r)
		if err == nil && (j.ID == "" || j.Class == "" || j.TimeLeft <= 0 || j.Slots < 1 || !(j.Memory >= 0)) {
			t.Fatalf("%+v passed", j)
		}
	})
}
