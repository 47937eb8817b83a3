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
	"birchfork/internal/routes"
)

// goldenCounters names the counters that the golden files of clients record.
var goldenCounters = []string{
	"taken", "served", "refused", "failed", "gone", "gone_early", "bad_requests", "turned_away", "overdue", "bad_heads", "bad_framing",
	"bad_sizes", "bad_bodies", "bad_classes", "bad_methods", "bad_ids", "rejected", "unreadable", "unwritten", "sent", "bad_runner_lines",
	"ended_ok", "ended_failed", "ended_full", "ended_timed_out", "ended_unreachable", "ended_disconnected", "ended_cancelled",
	"ended_not_sent", "ended_unknown",
}

// counted lists the counters that are not zero.
func (g *rig) counted() string {
	fields := g.store.Counters.Fields()
	var all []string
	for _, name := range goldenCounters {
		if n, ok := fields[name].(int64); ok && n != 0 {
			all = append(all, fmt.Sprintf("%s=%d", name, n))
		}
	}
	return strings.Join(all, " ")
}

var dateHeader = regexp.MustCompile(`\r\nDate: [^\r]*\r\n`)

// exchangeRaw sends the bytes of a request on a connection of its own and returns those of the answer, less its date, and
// whether the server closed the connection behind it.
func exchangeRaw(t *testing.T, g *rig, sent string) (answer string, closed bool) {
	t.Helper()
	c := raw(t, g, sent)
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	var seen bytes.Buffer
	in := bufio.NewReader(io.TeeReader(c, &seen))
	method, _, _ := strings.Cut(sent, " ")
	res, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		t.Fatalf("%q: %v", sent, err)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatalf("%q: %v", sent, err)
	}
	if closed = res.Close; closed {
		if _, err := in.ReadByte(); err == nil {
			t.Fatalf("%q: bytes came behind the last answer", sent)
		}
	}
	return dateHeader.ReplaceAllString(seen.String(), "\r\nDate: DATE\r\n"), closed
}

// record is one request of a client with its answer.
func record(t *testing.T, name, sent, answer string, closed bool, counted string) string {
	t.Helper()
	if len(sent) > 4<<10 {
		sent = sent[:200] + fmt.Sprintf("... %d bytes in all", len(sent))
	}
	return fmt.Sprintf("== %s\n> request\n%s< response\n%sclosed: %t\ncounted: %s\n\n", name, quoteLines(sent), quoteLines(answer), closed, counted)
}

// rawRequest is a client's request with the usual headers; change edits them, with an empty value for a header to be left out.
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

// TestGoldenClientEndings records each way in which a request that reaches the module can end, byte for byte.
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
		setUp  func(g *rig)
	}{
		{"served", serves, nil, nil},
		{"served, with the connection to be closed", serves, map[string]string{"Connection": "close"}, nil},
		{"served while stopping", serves, nil, func(g *rig) { g.front.Stop() }},
		{"served with an empty result", answer(okHead + chunk(line("ID", "done", `,"result":""`)) + "0\r\n\r\n"), nil, nil},
		{"served with a result of every kind of character",
			answer(okHead + chunk(line("ID", "done", `,"result":"\u0000\t\r\n\"\\\u00e9\u20ac\ud83d\ude00"`)) + "0\r\n\r\n"), nil, nil},
		{"failed by the worker's line", answer(okHead + chunk(line("ID", "failed", "")) + "0\r\n\r\n"), nil, nil},
		{"failed by the worker's status", answer("HTTP/1.1 500 x\r\n" + empty), nil, nil},
		{"rejected, as the worker did not run it", answer("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n" + empty), nil, nil},
		{"rejected, with the route's Retry-After", answer("HTTP/1.1 503 x\r\nX-Not-Run: 1\r\n" + empty), nil, func(g *rig) {
			limitSearch(t, g, admission.Route{Concurrent: 9, ComeBack: 750 * time.Millisecond})
		}},
		{"found unusable by the worker", answer("HTTP/1.1 400 x\r\n" + empty), nil, nil},
		{"ended by the process's end", func(net.Conn, *http.Request) bool { return false }, nil, func(g *rig) { g.front.Hurry() }},
	} {
		g := newRig(t, runner(t, c.worker).addr, 0)
		if c.setUp != nil {
			c.setUp(g)
		}
		sent := rawRequest("POST /search/x%20y?q=1", c.change, "body")
		got, closed := exchangeRaw(t, g, sent)
		g.settled(t)
		b.WriteString(record(t, c.name, sent, got, closed, g.counted()))
	}
	checkGolden(t, "frontend-endings.txt", []byte(b.String()))
}

// limitSearch puts the operator's limits of one route in force, which takes all requests of class search.
func limitSearch(t *testing.T, g *rig, limit admission.Route) {
	t.Helper()
	limit.Name, limit.Priority = "gold", admission.Top
	table, err := routes.New([]routes.Route{{Name: "gold", Match: routes.Match{Class: "search"}, Limit: limit, Fallback: -1}},
		routes.Route{Name: "rest"})
	if err != nil {
		t.Fatal(err)
	}
	g.store.Limit(table, admission.Config{Routes: table.Limits()}, make([]dispatch.Class, 3))
}

// TestGoldenOverLimit records the answers to requests that a limit leaves no place for.
func TestGoldenOverLimit(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name  string
		setUp func(g *rig)
		sent  string
	}{
		{"too many open requests", func(g *rig) {}, rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, "")},
		{"too many connections", func(g *rig) { g.mostClients(1) }, rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, "")},
		{"too many bytes of bodies", func(g *rig) { g.front.Bodies.Set(1) },
			rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, strings.Repeat("x", 8<<10))},
	} {
		for _, advised := range []time.Duration{0, 250 * time.Millisecond} {
			worker, open := gate(t)
			g := newRig(t, worker.addr, 1)
			raw(t, g, rawRequest("POST /search", nil, ""))
			until(t, "the first request is open", func() bool { return g.store.Pending() == 1 })
			c.setUp(g)
			g.front.Advise(advised, time.Second)
			got, closed := exchangeRaw(t, g, c.sent)
			name := fmt.Sprintf("%s, Retry-After of %v", c.name, advised)
			b.WriteString(record(t, name, c.sent, got, closed, g.counted()))
			open()
		}
	}
	for _, most := range []time.Duration{0, 200 * time.Millisecond, time.Minute} {
		worker, open := gate(t)
		g := newRig(t, worker.addr, 0)
		limitSearch(t, g, admission.Route{Concurrent: 1, ComeBack: 750 * time.Millisecond})
		raw(t, g, rawRequest("POST /search", nil, ""))
		until(t, "the first request is open", func() bool { return g.store.Pending() == 1 })
		g.front.Advise(0, most)
		sent := rawRequest("POST /search", map[string]string{"X-Request-Id": "b"}, "")
		got, closed := exchangeRaw(t, g, sent)
		b.WriteString(record(t, fmt.Sprintf("the route's limit, Retry-After up to %v", most), sent, got, closed, g.counted()))
		open()
	}
	checkGolden(t, "frontend-over-limit.txt", []byte(b.String()))
}

// TestGoldenBadRequests records status and text of the answer to each kind of request that is no proper one.
func TestGoldenBadRequests(t *testing.T) {
	long := strings.Repeat("a", maxGoldenText)
	post := func(change map[string]string) string { return rawRequest("POST /search", change, "") }
	with := func(name, value string) string { return post(map[string]string{name: value}) }
	var b strings.Builder
	for _, c := range []struct{ name, sent string }{
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
	} {
		g := newRig(t, "", 0)
		got, closed := exchangeRaw(t, g, c.sent)
		if g.store.Counters.Taken.Load() != 0 {
			t.Errorf("%s: the request was taken", c.name)
		}
		b.WriteString(record(t, c.name, c.sent, got, closed, g.counted()))
	}
	worker, open := gate(t)
	defer open()
	g := newRig(t, worker.addr, 0)
	raw(t, g, rawRequest("POST /search", nil, ""))
	until(t, "the first request is open", func() bool { return g.store.Pending() == 1 })
	sent := rawRequest("POST /search", nil, "")
	got, closed := exchangeRaw(t, g, sent)
	b.WriteString(record(t, "an id that is open", sent, got, closed, g.counted()))
	checkGolden(t, "frontend-bad-requests.txt", []byte(b.String()))
}

// maxGoldenText is longer than any text that the front takes.
const maxGoldenText = 5000

// TestGoldenHead records what the headers of a proper request are decoded to.
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
		job, err := readHead(r)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&b, "> request\n%sid: %q\nclass: %q\ntenant: %q\nleft: %v\nslots: %d\nmemory: %v\nretry: %t\n\n",
			quoteLines(sent), job.ID, job.Class, job.Tenant, job.Left, job.Slots, job.Memory, job.Retry)
	}
	checkGolden(t, "frontend-head.txt", []byte(b.String()))
}

// TestGoldenUp records the answers to the platform's question whether the dispatcher is up.
func TestGoldenUp(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name  string
		setUp func(g *rig)
	}{
		{"up", func(g *rig) { g.store.News(upAt("127.0.0.1:1")) }},
		{"no worker", func(g *rig) {}},
		{"leaving", func(g *rig) { g.store.News(upAt("127.0.0.1:1")); g.front.Leave() }},
		{"stopping", func(g *rig) { g.store.News(upAt("127.0.0.1:1")); g.front.Stop() }},
	} {
		for _, method := range []string{"GET", "HEAD"} {
			g := newRig(t, "", 0)
			c.setUp(g)
			sent := method + " /up HTTP/1.1\r\nHost: h\r\n\r\n"
			got, closed := exchangeRaw(t, g, sent)
			b.WriteString(record(t, c.name, sent, got, closed, g.counted()))
		}
	}
	checkGolden(t, "frontend-up.txt", []byte(b.String()))
}
