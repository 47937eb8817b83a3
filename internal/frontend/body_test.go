package frontend

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"birchfork/internal/upstream/upstreamtest"
)

// A body of 64 KiB is allowed.
func TestHandler_ForwardsLargestBody(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	if status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", strings.Repeat("x", maxBodyBytes))); status != 200 {
		t.Fatalf("status %d", status)
	}
	if _, body := w.Request(0); len(body) != maxBodyBytes {
		t.Fatalf("%d bytes came", len(body))
	}
}

// A client that sends 60 MB at full speed gets its response before it has finished, and the response survives the reset that its bytes
// cause; also with a chunked body.
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
				break // connection closed
			}
		}
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil || res.StatusCode != 413 || !res.Close {
			t.Fatalf("%s after %d bytes: %v, %+v", framing[:8], sent, err, res)
		}
		res.Body.Close()
		if sent > 50_000_000 {
			t.Errorf("%s: all %d bytes were taken", framing[:8], sent)
		}
	}
	if n := h.engine.Counters.BadSizes.Load(); n != 2 {
		t.Errorf("%d bodies were too long", n)
	}
}

// A chunked body is allowed. What follows it is not read.
func TestHandler_ChunkedBody(t *testing.T) {
	w := upstreamtest.StartWorker(t, upstreamtest.RespondDone)
	h := newHarness(t, w.Address, 0)
	c := sendRaw(t, h, rawRequestHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"+rawRequestHead+"Content-Length: 0\r\n\r\n")
	if status, closed := readToClose(t, c); status != 200 || !closed {
		t.Fatalf("status %d, closed %v", status, closed)
	}
	if n := w.RequestCount(); n != 1 {
		t.Fatalf("%d requests", n)
	}
	if _, body := w.Request(0); body != "abcde" {
		t.Fatalf("body %q", body)
	}
}

// Bodies use memory only as far as they have arrived, and together no more than their budget; small ones always fit.
func TestHandler_BodiesStayWithinBudget(t *testing.T) {
	release := make(chan bool)
	w := upstreamtest.StartWorker(t, func(c net.Conn, r *http.Request) bool { <-release; return upstreamtest.RespondDone(c, r) })
	h := newHarness(t, w.Address, 0)
	h.handler.BodyBudget.SetLimit(100 << 10)
	big := strings.Repeat("x", 60<<10)
	first := make(chan int)
	go func() { status, _, _ := doRequest(t, newRequest(t, h.url, "search", "a", big)); first <- status }()
	waitFor(t, "the first is at the worker", func() bool { return w.RequestCount() == 1 })
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

// Reservations are kept when the limit changes.
func TestMemoryBudget_SetLimitKeepsReservations(t *testing.T) {
	var b MemoryBudget
	b.SetLimit(100)
	if !b.reserve(60) {
		t.Fatal("there is none")
	}
	b.SetLimit(50)
	if b.reserve(1) {
		t.Error("more is taken than there is")
	}
	b.available.Add(60) // released
	if !b.reserve(50) || b.reserve(1) {
		t.Error("not all is there again, or more than all")
	}
}
