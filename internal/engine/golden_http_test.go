package engine_test

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
	"birchfork/internal/engine"
	"birchfork/internal/frontend"
	"birchfork/internal/goldentest"
	"birchfork/internal/upstream"
)

// startWorker starts a worker that answers every request with the same text, and returns its address. It stops when the test ends.
func startWorker(t *testing.T, answer string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served sync.WaitGroup
	t.Cleanup(func() {
		listener.Close()
		served.Wait()
	})
	served.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			answerOnce(conn, answer)
		}
	})
	return listener.Addr().String()
}

// answerOnce reads a request, answers it and closes the connection. An error changes the response to the client.
func answerOnce(conn net.Conn, answer string) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	if _, err := io.ReadAll(request.Body); err == nil {
		io.WriteString(conn, answer)
	}
}

// goldenCase is one HTTP request and the state of the engine at its arrival.
type goldenCase struct {
	name    string
	class   string // empty: the class of goldenSettings
	path    string // empty: a path that matches no route
	headers string // further headers, each with its line ending
	maxOpen int
	limited bool
	before  []limitedRequest // requests that are opened before and stay open
	sameID  bool             // a request with the same id is open
	decider deciderFunc
	worker  string // response of the worker; empty: there is no worker
}

// serve serves HTTP clients until the test ends, and returns the server's address.
func serve(t *testing.T, e *engine.Engine) (address string) {
	t.Helper()
	dialer := net.Dialer{Timeout: time.Second}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	pool := upstream.NewPool(dial, &e.Counters, 8, time.Minute)
	t.Cleanup(pool.Close)
	clients := &frontend.ConnTracker{SoftLimit: 50, Counters: &e.Counters}
	handler := frontend.NewHandler(e, &upstream.Transport{Pool: pool, Counters: &e.Counters}, clients)
	handler.SetRetryAfter(200*time.Millisecond, 2*time.Second)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	httpServer := handler.HTTPServer()
	served := make(chan error, 1)
	go func() { served <- httpServer.Serve(clients.WrapListener(listener)) }()
	t.Cleanup(func() {
		if err := errors.Join(httpServer.Close(), <-served); !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serving: %v", err)
		}
	})
	return listener.Addr().String()
}

// prepare returns an engine in the state that the case defines.
func (c *goldenCase) prepare(t *testing.T) *engine.Engine {
	t.Helper()
	e, classes := newEngine(t, c.maxOpen, c.decider)
	if c.limited {
		table, config := limitedRoutes(t)
		e.SetLimits(table, config, classes)
	}
	list := engine.EndpointList{Version: 1, Snapshot: true} // without a list from discovery no request is opened
	if c.worker != "" {
		list.Endpoints = []engine.Endpoint{{
			Name: "w", Address: startWorker(t, c.worker), Zone: "a", Kind: "big", Cell: -1, State: dispatch.Ready,
		}}
	}
	e.UpdateEndpoints(list)
	var specs []engine.RequestSpec
	for i, before := range c.before {
		for j := range before.admitted {
			specs = append(specs, engine.RequestSpec{
				ID: fmt.Sprint("before-", i, "-", j), Tenant: before.tenant, Retry: before.retry, Path: before.path,
			})
		}
	}
	if c.sameID {
		specs = append(specs, engine.RequestSpec{ID: "id-1"})
	}
	for _, spec := range specs {
		spec.Class, spec.TimeLeft, spec.Slots = "search", time.Hour, 1
		if _, err := e.Open(spec); err != nil {
			t.Fatalf("%s: %v", c.name, err)
		}
	}
	return e
}

// do sends the request. It returns the response without the Date header, and the names of the counters that changed.
func (c *goldenCase) do(t *testing.T) string {
	t.Helper()
	e := c.prepare(t)
	address := serve(t, e)
	before := e.Counters.Fields()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	class := cmp.Or(c.class, "search")
	_, err = io.WriteString(conn, "POST "+cmp.Or(c.path, "/"+class+"/x")+" HTTP/1.1\r\nHost: golden\r\nX-Request-Id: id-1\r\n"+
		"X-Deadline-Ms: 5000\r\nX-Class: "+class+"\r\n"+c.headers+"Content-Length: 1\r\n\r\nb")
	if err != nil {
		t.Fatal(err)
	}
	answer, err := readAnswer(bufio.NewReader(conn))
	if err != nil {
		t.Fatalf("%s: %v", c.name, err)
	}
	return "== " + c.name + "\n" + answer + "== counted:" + changedCounters(before, e.Counters.Fields()) + "\n\n"
}

// readAnswer reads one response and omits the Date header. Line endings are written as \r\n and \n.
func readAnswer(in *bufio.Reader) (answer string, err error) {
	length := 0
	for line := ""; line != "\r\n"; {
		if line, err = in.ReadString('\n'); err != nil {
			return "", err
		}
		if value, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, err = strconv.Atoi(strings.TrimSpace(value))
			if err != nil {
				return "", err
			}
		}
		if !strings.HasPrefix(line, "Date: ") {
			answer += strings.Replace(line, "\r\n", "\\r\\n\n", 1)
		}
	}
	body := make([]byte, length)
	_, err = io.ReadFull(in, body)
	return answer + strings.ReplaceAll(string(body), "\n", "\\n\n"), err
}

// changedCounters returns the sorted names of the counters that differ, each with a leading space. It omits counters of connections
// and attempts.
func changedCounters(before, after logrus.Fields) string {
	var names []string
	for name, value := range after {
		ofAttempt := strings.HasPrefix(name, "ended_") || name == "sent" || name == "dials" || name == "client_conns"
		if value != before[name] && !ofAttempt {
			names = append(names, " "+name)
		}
	}
	slices.Sort(names)
	return strings.Join(names, "")
}

// respondOnce returns a decider that answers every arrival with one action.
func respondOnce(action dispatch.Action) deciderFunc {
	return func(event *dispatch.Event) []dispatch.Action {
		if event.Kind != dispatch.RequestArrived {
			return nil
		}
		answer := action
		answer.Request = event.Request
		return []dispatch.Action{answer}
	}
}

// sendOnce sends every request to the only worker, once.
var sendOnce = respondOnce(dispatch.Action{Kind: dispatch.Send})

// goldenCases returns a case for each response that results from the decision module, the limits and the checks of a request. The
// golden file contains the names of the cases.
func goldenCases() []goldenCase {
	all := []goldenCase{
		{name: "an unknown class", class: "other"},
		{name: "an unknown tenant", headers: "X-Tenant: nobody\r\n"},
		{name: "an id that is open", sameID: true},
		{name: "too many open", maxOpen: 2, before: []limitedRequest{{path: "/search/x", admitted: 2}}},
		{name: "refused by the module", decider: respondOnce(dispatch.Action{Kind: dispatch.Reject})},
		{name: "refused by the module until later", decider: respondOnce(dispatch.Action{Kind: dispatch.Reject, Wait: 1500 * dispatch.Millisecond})},
		{name: "given up by the module", decider: respondOnce(dispatch.Action{Kind: dispatch.Fail})},
		{name: "refused by the module, on a route that says when to come back", limited: true, path: "/search/by-concurrency",
			decider: respondOnce(dispatch.Action{Kind: dispatch.Reject})},
		{name: "served", decider: sendOnce, worker: "HTTP/1.1 200 OK\r\nContent-Length: 62\r\n\r\n" +
			`{"id":"id-1","from":"w","state":"done","result":"the result"}` + "\n"},
		{name: "a worker cannot use it", decider: sendOnce, worker: "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"},
	}
	// One case for each limit, with all earlier limits reached.
	for i, c := range limitedRequests {
		if c.rejected == 0 {
			continue
		}
		headers := ""
		if c.tenant != "" {
			headers += "X-Tenant: " + c.tenant + "\r\n"
		}
		if c.retry {
			headers += "X-Retry: 1\r\n"
		}
		all = append(all, goldenCase{
			name: fmt.Sprintf("limited: %s for tenant %q after %d kinds", c.path, c.tenant, i+1), path: c.path, headers: headers,
			limited: true, before: limitedRequests[:i+1],
		})
	}
	return all
}

// TestAnswers_HTTPGolden compares the HTTP response to each error and each final decision of this package with the golden file.
func TestAnswers_HTTPGolden(t *testing.T) {
	got := ""
	for _, c := range goldenCases() {
		got += c.do(t)
	}
	goldentest.Check(t, "http_answers.txt", []byte(got))
}
