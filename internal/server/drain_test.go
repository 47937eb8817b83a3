package server

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"birchfork/dispatch"
)

// upRequest is a health check of the dispatcher.
const upRequest = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n"

// A drain finishes open requests, accepts new ones at first, and leaks no descriptor or goroutine.
func TestShutdown_FinishesOpenAndAcceptsNewRequests(t *testing.T) {
	env := newTestEnv(t)
	expectNoLeaks := watchLeaks(t)
	srv := env.start(t, "5")
	waitFor(t, "the dispatcher is up", func() bool {
		res, err := http.Get("http://" + srv.address.String() + "/up")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	answers := make(chan response, 2)
	go func() { answers <- post(srv, "held", "5000") }()
	<-env.received
	idle := dialClient(t, srv) // sends nothing
	kept := dialClient(t, srv) // has been used
	if res := kept.exchange(t, upRequest); res.status != 200 || res.closed {
		t.Fatalf("%+v", res)
	}

	stopped := make(chan error, 1)
	go func() { stopped <- srv.shutdown() }()
	waitFor(t, "the health check fails", func() bool { return !srv.handler.Up() })
	time.Sleep(20 * time.Millisecond)
	for range 2 { // clients keep using their connections
		if res := kept.exchange(t, upRequest); res.status != 503 || res.closed {
			t.Errorf("on an existing connection while draining: %+v", res)
		}
	}
	go func() { answers <- post(srv, "late", "5000") }()
	if id := <-env.received; id != "late" {
		t.Fatalf("received request %s, want late", id)
	}
	waitFor(t, "keep-alives are disabled", srv.handler.KeepAlivesDisabled)
	close(env.release)
	for range 2 {
		if a := <-answers; a.status != 200 || !a.closed || a.err != nil {
			t.Errorf("%+v", a)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if a := post(srv, "after", "5000"); a.err == nil {
		t.Error("a stopped dispatcher accepted a request")
	}
	idle.Close()
	kept.Close()
	expectNoLeaks()
	f := srv.engine.Counters.Fields()
	if f["taken"] != int64(2) || f["served"] != int64(2) || f["gone"] != int64(0) {
		t.Error(f)
	}
}

// A request that is partly received when a drain begins is answered once the rest has arrived, even if that takes longer than lingerTime.
func TestShutdown_WaitsForPartialRequest(t *testing.T) {
	env := newTestEnv(t)
	srv := env.start(t, "5")
	close(env.release)
	go func() {
		for id := range env.received {
			_ = id // nothing else reads the ids
		}
	}()
	slow := dialClient(t, srv)
	stopped := make(chan error, 1)
	go func() { stopped <- srv.shutdown() }()
	waitFor(t, "keep-alives are disabled", srv.handler.KeepAlivesDisabled)
	io.WriteString(slow, "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n")
	select { // for longer than the listener lingers without a request
	case err := <-stopped:
		t.Fatalf("stopped before the request was received: %v", err)
	case <-time.After(lingerTime + 200*time.Millisecond):
	}
	if res := slow.exchange(t, "\r\nbody"); res.status != 200 || !res.closed {
		t.Fatalf("%+v", res)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// partialRequest is a request without its body of four bytes.
const partialRequest = "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\n"

// Guards against a drain that closes kept connections in the middle of a request: each whose last byte comes before the end is served, and
// one whose last byte never comes gets a whole response at the end, before the platform kills the process.
func TestShutdown_AnswersPartialRequestsOnKeptConnections(t *testing.T) {
	env := newTestEnv(t)
	srv := env.start(t, "1.5")
	close(env.release)
	kept := make([]*clientConn, 8)
	for i := range kept {
		kept[i] = dialClient(t, srv)
		if res := kept[i].exchange(t, fmt.Sprintf(partialRequest, fmt.Sprint("first-", i))+"body"); res.status != 200 || res.closed {
			t.Fatalf("%+v", res)
		}
	}
	begin := time.Now()
	stopped := make(chan error, 1)
	go func() { stopped <- srv.shutdown() }()
	timeout := max(srv.drainTimeout(), minAcceptTime)
	firstPiece := srv.acceptTime(timeout) - 150*time.Millisecond
	time.Sleep(time.Until(begin.Add(firstPiece)))
	for i, c := range kept { // cut in the head or in the body
		text := fmt.Sprintf(partialRequest, fmt.Sprint("second-", i))
		io.WriteString(c, text[:len(text)-4*(i%2)])
	}
	for i, c := range kept[:6] {
		time.Sleep(time.Until(begin.Add(firstPiece + time.Duration(i+1)*100*time.Millisecond)))
		text := fmt.Sprintf(partialRequest, fmt.Sprint("second-", i))
		if res := c.exchange(t, text[len(text)-4*(i%2):]+"body"); res.status != 200 {
			t.Errorf("request %d: %+v, want status 200", i, res)
		}
	}
	for i, c := range kept[6:] {
		if res := c.exchange(t, ""); res.status != 503 || !res.closed {
			t.Errorf("unfinished request %d: %+v, want status 503 on a connection that ends", i, res)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if took, kill := time.Since(begin), timeout+finishMargin; took > kill {
		t.Errorf("stopped after %v, the platform kills after %v", took, kill)
	}
}

// Requests that cannot be finished before the platform kills the process are answered as failed.
func TestShutdown_FailsOverdueRequests(t *testing.T) {
	env := newTestEnv(t)
	srv := env.start(t, "0.7")
	answers := make(chan response, 1)
	go func() { answers <- post(srv, "held", "60000") }()
	<-env.received
	began := time.Now()
	mustShutdown(t, srv)
	if took := time.Since(began); took < minAcceptTime {
		t.Errorf("stopped after %v, while requests should still have been accepted", took)
	}
	if a := <-answers; a.status != 500 || a.err != nil {
		t.Errorf("%+v", a)
	}
	close(env.release)
}

func TestDrainTimeout_EndsBeforeKill(t *testing.T) {
	for deadline, kill := range map[dispatch.Time]time.Duration{
		10 * dispatch.Second:       3700 * time.Millisecond,
		500 * dispatch.Millisecond: 1200 * time.Millisecond,
		100 * dispatch.Millisecond: 800 * time.Millisecond,
	} {
		srv := &Server{config: &Config{Settings: dispatch.Settings{Classes: []dispatch.Class{{Deadline: deadline}}}}}
		if end := max(srv.drainTimeout(), minAcceptTime) + closeTimeout; end >= kill || end < kill/2 {
			t.Errorf("deadline %v us: the drain ends after %v, the platform kills after %v", deadline, end, kill)
		}
	}
}
