package frontend

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"birchfork/internal/upstream/upstreamtest"
)

// hiddenRequest is what a request with two lengths has behind the shorter one.
const hiddenRequest = "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n"

// hugeHead is a body that looks like the head of a request with a long body.
const hugeHead = "POST /x HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n"

// earlyAnswered returns heads of requests that are answered before their body, of bodyLength bytes, has arrived.
func earlyAnswered(bodyLength int) map[string]string {
	framing := "Content-Length: " + strconv.Itoa(bodyLength) + "\r\n\r\n"
	return map[string]string{
		"GET /up":             "GET /up HTTP/1.1\r\nHost: h\r\n" + framing,
		"HEAD /up":            "HEAD /up HTTP/1.1\r\nHost: h\r\n" + framing,
		"GET /up, HTTP/1.0":   "GET /up HTTP/1.0\r\nConnection: keep-alive\r\n" + framing,
		"GET /up, chunked":    "GET /up HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(bodyLength), 16) + "\r\n",
		"GET /up, expecting":  "GET /up HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n" + framing,
		"a wrong method":      "PUT /search HTTP/1.1\r\nHost: h\r\n" + framing,
		"a head without id":   "POST /search HTTP/1.1\r\nHost: h\r\n" + framing,
		"a body that is long": rawRequestHead + "Content-Length: 70000\r\n\r\n",
	}
}

// twoLengths returns requests whose end is ambiguous, each with hiddenRequest behind one of its ends.
func twoLengths() []string {
	length := strconv.Itoa(5 + len(hiddenRequest))
	body := "\r\n0\r\n\r\n" + hiddenRequest
	requests := make([]string, 0, 16)
	for _, framing := range []string{
		"Content-Length: " + length + "\r\nTransfer-Encoding: chunked\r\n",
		"TRANSFER-ENCODING:\tchunked\r\nContent-Length:   " + length + "  \r\n",
		"Transfer-Encoding:\r\n chunked\r\nContent-Length: " + length + "\r\n",
		"Transfer-Encoding: chunked" + strings.Repeat(" ", 2*maxScannedLine) + "\r\nContent-Length: " + length + "\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n",
		"Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\nContent-Length: " + length + "\r\n",
		"Content-Length: 5\r\nContent-Length: " + length + "\r\n",
		"Content-Length: +5\r\n",
		"Content-Length: 5" + strings.Repeat(" ", maxScannedLine-18) + "\r \r\n",
		"Transfer-Encoding: chunked\r\nTrailer: Content-Length\r\n",
	} {
		whole := strings.Replace(rawRequestHead, "a\r\n", "outer\r\n", 1) + framing + body
		requests = append(requests, whole, "\r\n"+whole, "\r"+whole, strings.ReplaceAll(whole, "\r\n", "\n"))
		requests = append(requests, strings.Replace(whole, "HTTP/1.1\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n", 1))
	}
	return requests
}

// Guards against a body that arrives after its answer and is scanned as a head, which hides a request from the check of its length.
func TestHandler_HiddenRequestBehindEarlyAnswer(t *testing.T) {
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Request-Id") == "hidden" {
			t.Error("the hidden request was forwarded")
		}
		return upstreamtest.RespondDone(c, r)
	})
	h := newHarness(t, w.Address, 0)
	for name, head := range earlyAnswered(len(hugeHead)) {
		for _, second := range twoLengths() {
			c := sendRaw(t, h, head)
			in := bufio.NewReader(c)
			c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
			_, last, early := readResponse(in)
			if early == nil && !last && !strings.Contains(head, "Expect") {
				t.Errorf("%s: answered before its body, and the connection stays open", name)
			}
			c.SetReadDeadline(time.Now().Add(time.Second))
			_, _ = io.WriteString(c, hugeHead) // fails if the connection has been closed
			if early != nil || !last {
				_, last, _ = readResponse(in)
			}
			if last {
				c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // nothing may come
			}
			_, _ = io.WriteString(c, second) // likewise
			if status, _, _ := readResponse(in); status == http.StatusOK {
				t.Errorf("%s: a request with an ambiguous length behind it was served: %q", name, second)
			}
			c.Close()
			if t.Failed() {
				break
			}
		}
	}
}

// A health check without a body, or with one that has arrived, leaves its connection open.
func TestHandler_HealthCheckKeepsConnection(t *testing.T) {
	h := newHarness(t, "", 0)
	c := sendRaw(t, h, "")
	in := bufio.NewReader(c)
	for _, check := range []struct{ method, text string }{
		{"GET", "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"HEAD", "HEAD /up HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
		{"GET", "GET /up HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"},
		{"GET", "GET /up HTTP/1.1\nHost: h\n\n"},
	} {
		io.WriteString(c, check.text)
		response, err := http.ReadResponse(in, &http.Request{Method: check.method})
		if err != nil {
			t.Fatalf("%q: %v", check.text, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
		response.Body.Close()
		if response.Close || response.StatusCode != http.StatusServiceUnavailable {
			t.Fatalf("%q: response %v, want 503 on a connection that stays open", check.text, response)
		}
	}
}

// framingChecker passes requests on if the scanner agrees with net/http on their framing, and reports an error otherwise.
type framingChecker struct {
	t    *testing.T
	next http.Handler
}

func (f framingChecker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := connFromContext(r.Context())
	conn.mu.Lock()
	head := conn.head
	conn.mu.Unlock()
	switch isChunked := len(r.TransferEncoding) > 0; {
	case !head.done:
		f.t.Errorf("%s %s: net/http has read a head whose end the scanner has not seen", r.Method, r.RequestURI)
	case isChunked && !head.hasTransferEncoding:
		f.t.Errorf("%s %s: net/http finds a transfer coding, the scanner none", r.Method, r.RequestURI)
	case !isChunked && !head.invalidLength && !head.hasTransferEncoding && r.ContentLength != head.length:
		f.t.Errorf("%s %s: net/http finds the length %d, the scanner %d", r.Method, r.RequestURI, r.ContentLength, head.length)
	}
	f.next.ServeHTTP(w, r)
}

// The scanner and net/http agree on the framing of each request of a connection, whatever came before it and however it is split.
func FuzzRequestFraming(f *testing.F) {
	for _, head := range earlyAnswered(len(hugeHead)) {
		for i, second := range twoLengths() {
			f.Add([]byte(head+hugeHead+second), len(head)+i%2*7)
		}
	}
	w := upstreamtest.StartWorker(f, upstreamtest.RespondDone)
	f.Fuzz(func(t *testing.T, sent []byte, split int) {
		h := newHarness(t, w.Address, 0)
		h.server.Handler = framingChecker{t, h.handler}
		split = max(0, min(split, len(sent)))
		c := sendRaw(t, h, string(sent[:split]))
		c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		in := bufio.NewReader(c)
		_, _, _ = readResponse(in) // the rest is sent after a response to the first part, if there is one
		_, _ = c.Write(sent[split:])
		c.SetReadDeadline(time.Now().Add(5 * time.Millisecond))
		_, _ = io.Copy(io.Discard, in)
	})
}
