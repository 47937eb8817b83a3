package frontend

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"birchfork/dispatch"
	"birchfork/internal/admission"
	"birchfork/internal/goldentest"
	"birchfork/internal/routes"
	"birchfork/internal/upstream/upstreamtest"
)

// goldenCounters are the counters that the golden files of client requests record.
var goldenCounters = []string{
	"taken", "served", "refused", "failed", "gone", "gone_early", "bad_requests", "turned_away", "overdue", "bad_heads", "bad_framing",
	"bad_sizes", "bad_bodies", "bad_classes", "bad_methods", "bad_ids", "rejected", "unreadable", "unwritten", "sent", "bad_runner_lines",
	"ended_ok", "ended_failed", "ended_full", "ended_timed_out", "ended_unreachable", "ended_disconnected", "ended_cancelled",
	"ended_not_sent", "ended_unknown",
}

// countersText lists the golden counters that are not zero.
func (h *harness) countersText() string {
	fields := h.engine.Counters.Fields()
	var all []string
	for _, name := range goldenCounters {
		if n, ok := fields[name].(int64); ok && n != 0 {
			all = append(all, fmt.Sprintf("%s=%d", name, n))
		}
	}
	return strings.Join(all, " ")
}

var dateHeader = regexp.MustCompile(`\r\nDate: [^\r]*\r\n`)

// exchangeRaw sends the bytes of a request on a new connection. It returns the bytes of the response with a fixed date, and whether the
// server closed the connection afterwards.
func exchangeRaw(t *testing.T, h *harness, sent string) (answer string, closed bool) {
	t.Helper()
	c := sendRaw(t, h, sent)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	var received bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &received))
	method, _, _ := strings.Cut(sent, " ")
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("%q: %v", sent, err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatalf("%q: %v", sent, err)
	}
	if closed = res.Close; closed {
		if _, err := in.ReadByte(); err == nil {
			t.Fatalf("%q: data after the last response", sent)
		}
	}
	return dateHeader.ReplaceAllString(received.String(), "\r\nDate: DATE\r\n"), closed
}

// formatExchange formats a client's request, its response and the counters.
func formatExchange(t *testing.T, name, sent, answer string, closed bool, counted string) string {
	t.Helper()
	if len(sent) > 4<<10 {
		sent = sent[:200] + fmt.Sprintf("... %d bytes in all", len(sent))
	}
	return fmt.Sprintf("== %s\n> request\n%s< response\n%sclosed: %t\ncounted: %s\n\n", name, goldentest.QuoteLines(sent), goldentest.QuoteLines(answer), closed, counted)
}

// rawRequest returns a client's request with the usual headers. change replaces or adds headers; an empty value removes one.
func rawRequest(start string, change map[string]string, body string) string {
	all := map[string]string{
		"Host": "h", "X-Request-Id": "a", "X-Class": "search", "X-Tenant": "acme", "X-Deadline-Ms": "5000",
		"Content-Length": strconv.Itoa(len(body)),
	}
	maps.Copy(all, change)
	var b strings.Builder
	b.WriteString(start + " HTTP/1.1\r\n")
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if all[name] != "" {
			b.WriteString(name + ": " + all[name] + "\r\n")
		}
	}
	return b.String() + "\r\n" + body
}

// TestGoldenClientEndings records the response, byte by byte, for each way in which a request that is opened at the engine can end.
func TestGoldenClientEndings(t *testing.T) {
	answer := func(s string) func(c net.Conn, r *http.Request) bool {
		return func(c net.Conn, r *http.Request) bool {
			io.WriteString(c, strings.ReplaceAll(s, "ID", r.Header.Get("X-Request-Id")))
			return true
		}
	}
	empty := "Content-Length: 0\r\n\r\n"
	var b strings.Builder
	for _, c := range []struct {
		name   string
		worker func(c net.Conn, r *http.Request) bool
		change map[string]string
		setUp  func(h *harness)
	}{
		{"served", upstreamtest.RespondDone, nil, nil},
		{"served, with the connection to be closed", upstreamtest.RespondDone, map[string]string{"Connection": "close"}, nil},
		{"served while stopping", upstreamtest.RespondDone, nil, func(h *harness) { h.handler.DisableKeepAlives() }},
		{"served with an empty result", answer(upstreamtest.Answer(upstreamtest.StatusLine("ID", "done", `,"result":""`))), nil, nil},
		{"served with a result of every kind of character",
			answer(upstreamtest.Answer(upstreamtest.StatusLine("ID", "done", `,"result":"\u0000\t\r\n\"\\\u00e9\u20ac\ud83d\ude00"`))), nil, nil},
		{"failed by the worker's line", answer(upstreamtest.Answer(upstreamtest.StatusLine("ID", "failed", ""))), nil, nil},
		{"failed by the worker's status", answer("HTTP/1.1 500 x\r\n" + empty), nil, nil},
		{"rejected, as the worker did not run it", answer("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n" + empty), nil, nil},
		{"rejected, with the route's Retry-After", answer("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n" + empty), nil, func(h *harness) {
			limitSearch(t, h, admission.RouteConfig{MaxConcurrent: 9, RetryAfter: 750 * time.Millisecond})
		}},
		{"found unusable by the worker", answer("HTTP/1.1 400 x\r\n" + empty), nil, nil},
		{"ended by the process's end", func(net.Conn, *http.Request) bool { return false }, nil, func(h *harness) { h.handler.ForceClose() }},
	} {
		h := newHarness(t, upstreamtest.StartWorker(t, c.worker).Address, 0)
		if c.setUp != nil {
			c.setUp(h)
		}
		sent := rawRequest("POST /search/x%20y?q=1", c.change, "body")
		got, closed := exchangeRaw(t, h, sent)
		h.settled(t)
		b.WriteString(formatExchange(t, c.name, sent, got, closed, h.countersText()))
	}
	goldentest.Check(t, "frontend-endings.txt", []byte(b.String()))
}

// limitSearch sets route limits on a route that matches all requests of class search.
func limitSearch(t *testing.T, h *harness, limit admission.RouteConfig) {
	t.Helper()
	limit.Name, limit.Priority = "gold", admission.MaxPriority
	table, err := routes.New([]routes.Route{{Name: "gold", Match: routes.Match{Class: "search"}, Admission: limit, Fallback: -1}},
		routes.Route{Name: "rest"})
	if err != nil {
		t.Fatal(err)
	}
	h.engine.SetLimits(table, admission.Config{Routes: table.AdmissionConfigs()}, make([]dispatch.Class, 3))
}

// TestGoldenOverLimit records the responses to requests that exceed a limit.
func TestGoldenOverLimit(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name  string
		setUp func(h *harness)
		sent  string
	}{
		{"too many open requests", func(*harness) {}, rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, "")},
		{"too many connections", func(h *harness) { h.setSoftLimit(1) }, rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, "")},
		{"too many bytes of bodies", func(h *harness) { h.handler.BodyBudget.SetLimit(1) },
			rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, strings.Repeat("x", 8<<10))},
	} {
		for _, retryAfter := range []time.Duration{0, 250 * time.Millisecond} {
			worker, open := startGatedWorker(t)
			h := newHarness(t, worker.Address, 1)
			sendRaw(t, h, rawRequest("POST /search", nil, ""))
			waitFor(t, "the first request is open", func() bool { return h.engine.OpenRequests() == 1 })
			c.setUp(h)
			h.handler.SetRetryAfter(retryAfter, time.Second)
			got, closed := exchangeRaw(t, h, c.sent)
			name := fmt.Sprintf("%s, Retry-After of %v", c.name, retryAfter)
			b.WriteString(formatExchange(t, name, c.sent, got, closed, h.countersText()))
			open()
		}
	}
	for _, maxRetryAfter := range []time.Duration{0, 200 * time.Millisecond, time.Minute} {
		worker, open := startGatedWorker(t)
		h := newHarness(t, worker.Address, 0)
		limitSearch(t, h, admission.RouteConfig{MaxConcurrent: 1, RetryAfter: 750 * time.Millisecond})
		sendRaw(t, h, rawRequest("POST /search", nil, ""))
		waitFor(t, "the first request is open", func() bool { return h.engine.OpenRequests() == 1 })
		h.handler.SetRetryAfter(0, maxRetryAfter)
		sent := rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, "")
		got, closed := exchangeRaw(t, h, sent)
		b.WriteString(formatExchange(t, fmt.Sprintf("the route's limit, Retry-After up to %v", maxRetryAfter), sent, got, closed, h.countersText()))
		open()
	}
	goldentest.Check(t, "frontend-over-limit.txt", []byte(b.String()))
}

// TestGoldenBadRequests records the response to each kind of invalid request.
func TestGoldenBadRequests(t *testing.T) {
	var b strings.Builder
	for _, c := range badRequests() {
		h := newHarness(t, "", 0)
		got, closed := exchangeRaw(t, h, c.sent)
		if h.engine.Counters.Accepted.Load() != 0 {
			t.Errorf("%s: the request was accepted", c.name)
		}
		b.WriteString(formatExchange(t, c.name, c.sent, got, closed, h.countersText()))
	}
	worker, open := startGatedWorker(t)
	defer open()
	h := newHarness(t, worker.Address, 0)
	sendRaw(t, h, rawRequest("POST /search", nil, ""))
	waitFor(t, "the first request is open", func() bool { return h.engine.OpenRequests() == 1 })
	sent := rawRequest("POST /search", nil, "")
	got, closed := exchangeRaw(t, h, sent)
	b.WriteString(formatExchange(t, "an id that is open", sent, got, closed, h.countersText()))
	goldentest.Check(t, "frontend-bad-requests.txt", []byte(b.String()))
}

// namedRequest is the bytes of a request, with a name for the golden file.
type namedRequest struct{ name, sent string }

// badRequests returns requests with one error each.
func badRequests() []namedRequest {
	long := strings.Repeat("a", maxGoldenText)
	post := func(change map[string]string) string { return rawRequest("POST /search", change, "") }
	with := func(name, value string) string { return post(map[string]string{name: value}) }
	return []namedRequest{
		{"no id", with("X-Request-Id", "")},
		{"two ids", with("X-Request-Id", "a\r\nX-Request-Id: b")},
		{"an id with a space", with("X-Request-Id", "a b")},
		{"a long id", with("X-Request-Id", long[:257])},
		{"no class", with("X-Class", "")},
		{"two classes", with("X-Class", "search\r\nX-Class: search")},
		{"two tenants", with("X-Tenant", "acme\r\nX-Tenant: acme")},
		{"another class than the path", with("X-Class", "book")},
		{"an unknown class", rawRequest("POST /odd", map[string]string{"X-Class": "odd"}, "")},
		{"an unknown tenant", with("X-Tenant", "odd")},
		{"no deadline", with("X-Deadline-Ms", "")},
		{"a deadline in words", with("X-Deadline-Ms", "soon")},
		{"a deadline of 0", with("X-Deadline-Ms", "0")},
		{"a deadline beyond an hour", with("X-Deadline-Ms", "3600001")},
		{"two retry marks", with("X-Retry", "1\r\nX-Retry: 1")},
		{"extras without values", with("X-Extras", "slots")},
		{"extras that are no numbers", with("X-Extras", "slots=two")},
		{"an infinite extra", with("X-Extras", "other=Inf")},
		{"half a slot", with("X-Extras", "slots=0.5")},
		{"too many slots", with("X-Extras", "slots=1048577")},
		{"memory below 0", with("X-Extras", "memory=-1")},
		{"two extras", with("X-Extras", "slots=1\r\nX-Extras: slots=1")},
		{"a long path", rawRequest("POST /search/"+long[:4096], nil, "")},
		{"a path with a byte that is no character", rawRequest("POST /search/\xff", nil, "")},
		{"a key with a byte that is no character", with("X-Key", "\xff")},
		{"a long key", with("X-Key", long[:1025])},
		{"a long idempotency key", with("Idempotency-Key", long[:1025])},
		{"a long content type", with("Content-Type", long[:1025])},
		{"a GET", rawRequest("GET /search", nil, "")},
		{"a HEAD", rawRequest("HEAD /search", nil, "")},
		{"a question to nobody", "OPTIONS * HTTP/1.1\r\nHost: h\r\n\r\n"},
		{"a POST to /up", rawRequest("POST /up", nil, "")},
		{"a body over 64 KiB", rawRequest("POST /search", map[string]string{"Content-Length": "65537"}, "")},
		{"a chunked body over 64 KiB", rawRequest("POST /search", map[string]string{"Content-Length": "", "Transfer-Encoding": "chunked"},
			fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 65537, strings.Repeat("x", 65537)))},
		{"nonsense for chunks", rawRequest("POST /search", map[string]string{"Content-Length": "", "Transfer-Encoding": "chunked"}, "zz\r\n")},
		{"both lengths", rawRequest("POST /search", map[string]string{"Content-Length": "5", "Transfer-Encoding": "chunked"}, "0\r\n\r\n")},
		{"a length below the body's", rawRequest("POST /search", map[string]string{"Content-Length": "3"}, "abcdef")},
		{"a further request behind it", rawRequest("POST /search", nil, "") + rawRequest("POST /search", nil, "")},
	}
}

// maxGoldenText is longer than any text that the handler accepts.
const maxGoldenText = 5000

// TestGoldenHead records the decoded headers of a valid request.
func TestGoldenHead(t *testing.T) {
	var b strings.Builder
	for _, change := range []map[string]string{
		nil,
		{"X-Tenant": ""},
		{"X-Retry": "1", "X-Key": "some key", "X-Extras": "slots=4, memory=2.5,other=7", "X-Deadline-Ms": "3600000"},
		{"X-Retry": "yes", "X-Extras": "memory=0.25", "X-Deadline-Ms": "1"},
		{"X-Request-Id": strings.Repeat("~", 256), "X-Class": "book"},
	} {
		class := "search"
		if v := change["X-Class"]; v != "" {
			class = v
		}
		sent := rawRequest("POST /"+class+"/x", change, "")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(sent)))
		if err != nil {
			t.Fatal(err)
		}
		spec, err := decodeHead(r)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "> request\n%sid: %q\nclass: %q\ntenant: %q\nleft: %v\nslots: %d\nmemory: %v\nretry: %t\n\n",
			goldentest.QuoteLines(sent), spec.ID, spec.Class, spec.Tenant, spec.TimeLeft, spec.Slots, spec.Memory, spec.Retry)
	}
	goldentest.Check(t, "frontend-head.txt", []byte(b.String()))
}

// TestGoldenUp records the responses to the platform's health check.
func TestGoldenUp(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name  string
		setUp func(h *harness)
	}{
		{"up", func(h *harness) { h.engine.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1")) }},
		{"no worker", func(*harness) {}},
		{"leaving", func(h *harness) {
			h.engine.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
			h.handler.FailHealthChecks()
		}},
		{"stopping", func(h *harness) {
			h.engine.UpdateEndpoints(upstreamtest.ListWithWorker("127.0.0.1:1"))
			h.handler.DisableKeepAlives()
		}},
	} {
		for _, method := range []string{"GET", "HEAD"} {
			h := newHarness(t, "", 0)
			c.setUp(h)
			sent := method + " /up HTTP/1.1\r\nHost: h\r\n\r\n"
			got, closed := exchangeRaw(t, h, sent)
			b.WriteString(formatExchange(t, c.name, sent, got, closed, h.countersText()))
		}
	}
	goldentest.Check(t, "frontend-up.txt", []byte(b.String()))
}
