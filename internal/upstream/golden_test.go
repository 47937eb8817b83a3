package upstream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"birchfork/internal/goldentest"
)

// TestGoldenRequest compares the bytes of requests to workers with the golden file.
func TestGoldenRequest(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		host     string
		timeLeft time.Duration
		request  *Request
	}{
		{"10.1.2.3:4567", 4321 * time.Millisecond, &Request{Method: "POST", Target: "/search/x%20y?q=1", ID: "id-1",
			Headers: []byte("Content-Type: text/plain\r\nIdempotency-Key: job 7\r\n"), Body: []byte("line 1\r\nline 2\x00\xff")}},
		{"[::1]:80", 1999 * time.Microsecond, &Request{Method: "POST", Target: "/book", ID: "id-2"}},
		{"w:1", 999 * time.Microsecond, &Request{Method: "POST", Target: "/book", ID: "id-3", Body: []byte("x")}},
		{"w:1", -time.Second, &Request{Method: "POST", Target: "/book", ID: "id-4"}},
	} {
		fmt.Fprintf(&b, "== %v left at %s\n%s\n", c.timeLeft, c.host, goldentest.QuoteLines(string(c.request.encode(c.host, c.timeLeft))))
	}
	goldentest.Check(t, "request.txt", []byte(b.String()))
}

// TestGoldenStatusUpdates compares the decoded form of lines from workers with the golden file.
func TestGoldenStatusUpdates(t *testing.T) {
	var b strings.Builder
	for _, sent := range []string{
		`{"id":"ID","from":"w","state":"started"}`,
		`{"id":"ID","from":"w","state":"running","share":0}`,
		`{"id":"ID","from":"w","state":"running","share":0.375}`,
		`{"id":"ID","from":"w","state":"running","share":1}`,
		`{"id":"ID","from":"w","state":"running"}`,
		`{"id":"ID","from":"w","state":"done","result":"made \"it\" \u00e9\u20ac"}`,
		`{"id":"ID","from":"w","state":"done","result":""}`,
		`{"id":"ID","from":"w","state":"failed"}`,
		`{"id":"ID","from":"w","state":"returned"}`,
		`{"id":"ID","from":"w","state":"lost"}`,
		`{"state":"failed","more":[1,{"a":null}],"id":"ID"}`,
		`{"ID":"ID","STATE":"failed"}`,
		` {"id" : "ID" , "state" : "started" } `,
		`{"id":"ID","state":"started","share":7,"result":7}`,
		`{"id":"ID","state":"running","share":-0.1}`,
		`{"id":"ID","state":"running","share":1.1}`,
		`{"id":"ID","state":"running","share":"0.5"}`,
		`{"id":"ID","state":"done"}`,
		`{"id":"ID","state":"done","result":null}`,
		`{"id":"ID","state":"done","result":7}`,
		`{"id":"ID","state":"done","result":{"a":1}}`,
		`{"id":"ID","state":"resting"}`,
		`{"id":"ID"}`,
		`{"id":"other","state":"done","result":"r"}`,
		`{"state":"done","result":"r"}`,
		`{"id":7,"state":"done","result":"r"}`,
		`{"id":"ID","state":"done","result":"r"} x`,
		`{"id":"ID","state":"done","resu`,
		`["ID","done"]`,
		`null`,
		`hello`,
	} {
		update, err := decodeStatusUpdate([]byte(sent), "ID")
		if err != nil {
			fmt.Fprintf(&b, "%s\n  not understood\n", sent)
			continue
		}
		fmt.Fprintf(&b, "%s\n  state %q, share %v, result %q\n", sent, update.State, update.Progress, update.Result)
	}
	goldentest.Check(t, "status-updates.txt", []byte(b.String()))
}
