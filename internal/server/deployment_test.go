package server

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// testWorkers is a discovery server and its workers. A worker reports that a request has started and is done. A worker that never starts
// requests reads them and sends only the head of a response.
type testWorkers struct {
	discovery    string
	received     chan string // id of each request and name of its worker
	disconnected chan string // names of workers that never start requests, one for each connection that the dispatcher closed
}

// newTestWorkers starts a worker for each argument, and the discovery server that lists them.
func newTestWorkers(t *testing.T, neverStarts ...bool) *testWorkers {
	t.Helper()
	w := &testWorkers{received: make(chan string, 1000), disconnected: make(chan string, 1000)}
	startServer := newTestServers(t)
	entries := make([]string, 0, len(neverStarts))
	for i, neverStart := range neverStarts {
		name := fmt.Sprintf("w%d", i)
		addr := startServer(func(c net.Conn, in *bufio.Reader, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			w.received <- id + " " + name
			io.WriteString(c, responseHead)
			if neverStart {
				if _, err := in.Peek(1); err != nil { // until the dispatcher closes the connection
					w.disconnected <- name
				}
				return
			}
			for _, s := range []string{`"started"`, `"done","result":"r"`} {
				io.WriteString(c, chunk(fmt.Sprintf(`{"id":%q,"state":%s}`, id, s)+"\n"))
			}
			io.WriteString(c, "0\r\n\r\n")
		})
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"big","group":0,"status":"up","weight":1.0}`, name, addr))
	}
	list := `{"index":41,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}` + "\n"
	w.discovery = startServer(func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(c, responseHead+chunk(list)+"0\r\n\r\n")
			return
		}
		io.WriteString(c, responseHead+chunk(`{"index":41,"snapshot":false,"endpoints":[]}`+"\n"))
	})
	return w
}

// serve starts a dispatcher with the settings of a deployment and waits until it has the endpoint list.
func (w *testWorkers) serve(t *testing.T, deployment string, log *logrus.Logger) *Server {
	t.Helper()
	restoreLimits(t)
	c, err := Decode([]byte(deploymentConfig(w.discovery, deployment)))
	if err != nil {
		t.Fatal(err)
	}
	srv, err := start(c, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustShutdown(t, srv) })
	waitFor(t, "the endpoint list is known", func() bool { _, fresh := srv.engine.Ready(); return fresh })
	return srv
}

// postKeyed sends one request with a key and returns the status.
func postKeyed(t *testing.T, srv *Server, id, key string) int {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+srv.address.String()+"/search", nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range map[string]string{"X-Request-Id": id, "X-Class": "search", "X-Deadline-Ms": "5000", "X-Key": key} {
		r.Header.Set(k, v)
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		t.Fatal(err)
	}
	return res.StatusCode
}

// If fetches have a price, requests with the same key go to few workers. They are sent one after the other, so that the first candidate
// always has capacity.
func TestServer_KeyAffinityWithFetchPrice(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	for deployment, maxWorkers := range map[string]int{"hub": 2, "old": 12} {
		w := newTestWorkers(t, make([]bool, 12)...)
		srv := w.serve(t, deployments[deployment], discardLog())
		contacted := map[string]bool{}
		for i := range 40 {
			if s := postKeyed(t, srv, fmt.Sprintf("%s%d", deployment, i), "pipe-7"); s != 200 {
				t.Fatalf("%s: status %d", deployment, s)
			}
			_, name, _ := strings.Cut(<-w.received, " ")
			contacted[name] = true
		}
		if len(contacted) > maxWorkers || deployment == "old" && len(contacted) < 4 {
			t.Errorf("%s: requests with the same key went to %d of 12 workers, want at most %d", deployment, len(contacted), maxWorkers)
		}
	}
}

// A request that waits at a worker which never starts it is cancelled by closing its connection, and only then sent to the other worker.
func TestServer_MigratesWaitingRequest(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	w := newTestWorkers(t, true, false)
	srv := w.serve(t, deployments["errors"], discardLog())
	migrated := 0
	for i := range 20 {
		if s := postKeyed(t, srv, fmt.Sprintf("m%d", i), ""); s != 200 {
			t.Fatalf("status %d", s)
		}
		if _, name, _ := strings.Cut(<-w.received, " "); name == "w0" {
			migrated++
			select {
			case <-w.disconnected:
			case <-time.After(10 * time.Second):
				t.Fatal("the waiting request was not cancelled")
			}
			if _, to, _ := strings.Cut(<-w.received, " "); to != "w1" {
				t.Fatalf("it migrated to %s", to)
			}
		}
	}
	if migrated == 0 {
		t.Fatal("no request was sent to the worker that never starts requests")
	}
	if srv.engine.Counters.UnsupportedActions.Load() != 0 {
		t.Error("the decision module requested what sockets do not support")
	}
}

// The first warnings of the log name the settings that sockets do not support.
func TestStart_LogsUnsupportedSettings(t *testing.T) {
	w := newTestWorkers(t, false)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	w.serve(t, deployments["hub"], log)
	var warnings []string
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		var entry struct{ Level, Msg string }
		if json.Unmarshal([]byte(line), &entry) == nil && entry.Level == "warning" {
			warnings = append(warnings, entry.Msg)
		}
	}
	if len(warnings) < 2 || !strings.HasPrefix(warnings[0], "policy_limits.peers") || !strings.HasPrefix(warnings[1], "report.how") {
		t.Errorf("warnings %q", warnings)
	}
}
