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

// deployments are settings of the two shapes that one build serves: with probes, sizes and no reports, and without probes but
// with reports in answers, weights that move, prices of fetches, or one attempt at a time.
var deployments = map[string]string{
	"old": `"weight_kind":"rough","report":{"how":"off","names":[]},"prices":{"probe":0.004,"waste":0.04},
		"policy_limits":{"attempts_cap":4,"probes":true,"cancel":true,"second_copies":true,"connect_timeout":0.25}`,
	"hub": `"weight_kind":"live","report":{"how":"inline","names":["cpu_share","x0"]},"prices":{"origin":0.1,"waste":0.04,"peer":0.01},
		"extra":{"report_x0":"free_slots","tells_start":true},"group_size":3,
		"policy_limits":{"attempts_cap":4,"peers":true,"cancel":true,"second_copies":true,"connect_timeout":0.25}`,
	"errors": `"weight_kind":"off","report":{"how":"inline","names":["pending","x0"]},"prices":{"waste":0.036},
		"extra":{"report_x0":"free_slots","tells_start":true},"registry_mode":"subscribe",
		"policy_limits":{"attempts_cap":5,"cancel":true,"connect_timeout":0.25}`,
}

// deploymentConfig is a whole configuration with those settings.
func deploymentConfig(discovery, settings string) string {
	return `{"name":"n1","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"1",
	"limits":{"cores":1.0,"memory_mb":64,"sockets":256},
	"settings":{"classes":[{"name":"search","deadline":5,"aim":2,"effect":"free"}],"zones":["a"],"zone":"a",
		"machine_types":["big"],` + settings + `}}`
}

func TestDecode_DeploymentsAndUnsupportedSettings(t *testing.T) {
	for name, want := range map[string][]string{
		"old": nil, "hub": {"policy_limits.peers", "report.how"}, "errors": {"report.how"},
	} {
		c, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", deployments[name])))
		if err != nil {
			t.Errorf("%s: %v", name, err)
			continue
		}
		if len(c.Unsupported) != len(want) {
			t.Errorf("%s: named are %q, want %d lines", name, c.Unsupported, len(want))
			continue
		}
		for i, key := range want {
			if !strings.HasPrefix(c.Unsupported[i], key+": ") {
				t.Errorf("%s: %q does not begin with %s", name, c.Unsupported[i], key)
			}
		}
		if c.Settings.PeerMessages || c.Settings.EndpointsOnRequest {
			t.Errorf("%s: the module is told of what sockets have no words for", name)
		}
		if hub := name == "hub"; (c.Settings.PriceFetch > 0) != hub || c.Settings.WeightsShowLoad != hub {
			t.Errorf("%s: fetches cost %v, weights move %v", name, c.Settings.PriceFetch, c.Settings.WeightsShowLoad)
		}
	}
}

func TestDecode_RejectsMixedDeployments(t *testing.T) {
	for _, c := range []struct{ shape, from, to, key string }{
		{"old", `"how":"off"`, `"how":"inline"`, "report.names"},
		{"old", `"how":"off"`, `"how":"loud"`, "report.how"},
		{"old", `"names":[]`, `"names":["pending"]`, "report.names"},
		{"old", `"weight_kind":"rough"`, `"weight_kind":"live"`, "weight_kind"},
		{"old", `"weight_kind":"rough"`, `"weight_kind":"odd"`, "weight_kind"},
		{"old", `"probes":true`, `"probes":false`, "prices.probe"},
		{"old", `"probe":0.004`, `"peer":0.01`, "prices.peer"},
		{"hub", `"how":"inline"`, `"how":"on_probe"`, "report.how"},
		{"hub", `"how":"inline"`, `"how":"off"`, "report.names"},
		{"hub", `"peers":true`, `"peers":false`, "prices.peer"},
		{"hub", `"report_x0":"free_slots",`, ``, "report.names"},
		{"old", `"probe":0.004`, `"probe":"dear"`, "prices.probe"},
		{"old", `"probes":true`, `"probes":"maybe"`, "policy_limits.probes"},
		{"errors", `["pending","x0"]`, `[]`, "report.names"},
	} {
		raw := strings.Replace(deployments[c.shape], c.from, c.to, 1)
		if raw == deployments[c.shape] {
			t.Fatalf("%s has no %s", c.shape, c.from)
		}
		_, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", raw)))
		if err == nil || !strings.Contains(err.Error(), "setting "+c.key+": ") {
			t.Errorf("%s with %s: %v, want a fault of %s", c.shape, c.to, err, c.key)
		}
	}
	both := strings.Replace(strings.Replace(deployments["hub"], `"peers":true`, `"peers":false`, 1), `"how":"inline"`, `"how":"off"`, 1)
	if _, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", both))); err == nil || strings.Count(err.Error(), "setting ") != 3 {
		t.Errorf("not all three faults are named: %v", err)
	}
	// A malformed setting must not hide a mixture, nor be named twice because two have read it.
	both = strings.Replace(strings.Replace(deployments["old"], `"probes":true`, `"probes":true,"peers":"some"`, 1), `"how":"off"`, `"how":"inline"`, 1)
	if _, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", both))); err == nil || strings.Count(err.Error(), "setting ") != 2 ||
		!strings.Contains(err.Error(), "policy_limits.peers") || !strings.Contains(err.Error(), "report.names") {
		t.Errorf("want a fault of policy_limits.peers and one of report.names: %v", err)
	}
	odd := strings.Replace(deployments["errors"], `"pending"`, `"new_value"`, 1)
	if _, err := Decode([]byte(deploymentConfig("127.0.0.1:8500", odd))); err != nil {
		t.Errorf("a value of reports that we do not know: %v", err)
	}
}

// testWorkers is a discovery and workers. A worker tells that a job has started and is done, or, where it is lazy, takes the
// request and says nothing; got lists who got which request, left which lazy worker lost its connection.
type testWorkers struct {
	discovery              string
	received, disconnected chan string
}

func newTestWorkers(t *testing.T, neverStarts ...bool) *testWorkers {
	t.Helper()
	w := &testWorkers{received: make(chan string, 1000), disconnected: make(chan string, 1000)}
	standIn := newTestServers(t)
	var entries []string
	for i, neverStart := range neverStarts {
		name := fmt.Sprintf("w%d", i)
		addr := standIn(func(c net.Conn, in *bufio.Reader, r *http.Request) {
			id := r.Header.Get("X-Request-Id")
			w.received <- id + " " + name
			io.WriteString(c, responseHead)
			if neverStart {
				in.Peek(1) // until the dispatcher closes the connection
				w.disconnected <- name
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
	w.discovery = standIn(func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(c, responseHead+chunk(list)+"0\r\n\r\n")
			return
		}
		io.WriteString(c, responseHead+chunk(`{"index":41,"snapshot":false,"endpoints":[]}`+"\n"))
	})
	return w
}

// serve starts a dispatcher of a shape and waits until it knows the workers.
func (w *testWorkers) serve(t *testing.T, shape string, log *logrus.Logger) *Server {
	t.Helper()
	restoreLimits(t)
	c, err := Decode([]byte(deploymentConfig(w.discovery, shape)))
	if err != nil {
		t.Fatal(err)
	}
	n, err := start(c, log, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { n.shutdown() })
	waitFor(t, "the list is known", func() bool { _, fresh := n.engine.Ready(); return fresh })
	return n
}

// postKeyed asks for one job about a key and returns the status.
func postKeyed(t *testing.T, n *Server, id, key string) int {
	t.Helper()
	r, err := http.NewRequest("POST", "http://"+n.address.String()+"/search", nil)
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
	io.Copy(io.Discard, res.Body)
	return res.StatusCode
}

// TestServer_KeyAffinityWhereFetchesCost plays one job after the other, so that the first pick always has room.
func TestServer_KeyAffinityWhereFetchesCost(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	for deployment, maxWorkers := range map[string]int{"hub": 2, "old": 12} {
		w := newTestWorkers(t, make([]bool, 12)...)
		n := w.serve(t, deployments[deployment], discardLog())
		contacted := map[string]bool{}
		for i := range 40 {
			if s := postKeyed(t, n, fmt.Sprintf("%s%d", deployment, i), "pipe-7"); s != 200 {
				t.Fatalf("%s: status %d", deployment, s)
			}
			_, name, _ := strings.Cut(<-w.received, " ")
			contacted[name] = true
		}
		if len(contacted) > maxWorkers || deployment == "old" && len(contacted) < 4 {
			t.Errorf("%s: jobs about one key met %d of 12 workers, want up to %d", deployment, len(contacted), maxWorkers)
		}
	}
}

// TestServer_MigratesWaitingRequest has one worker that starts and one that takes jobs and never starts them: what
// waits there is taken back by closing its connection, and only then sent to the other.
func TestServer_MigratesWaitingRequest(t *testing.T) {
	defer http.DefaultClient.CloseIdleConnections()
	w := newTestWorkers(t, true, false)
	n := w.serve(t, deployments["errors"], discardLog())
	moved := 0
	for i := range 20 {
		if s := postKeyed(t, n, fmt.Sprintf("m%d", i), ""); s != 200 {
			t.Fatalf("status %d", s)
		}
		if _, name, _ := strings.Cut(<-w.received, " "); name == "w0" {
			moved++
			select {
			case <-w.disconnected:
			case <-time.After(10 * time.Second):
				t.Fatal("what waited was not taken back")
			}
			if _, to, _ := strings.Cut(<-w.received, " "); to != "w1" {
				t.Fatalf("it moved to %s", to)
			}
		}
	}
	if moved == 0 {
		t.Fatal("no job met the worker that starts none")
	}
	if n.engine.Counters.UnsupportedActions.Load() != 0 {
		t.Error("the module ordered what sockets have no words for")
	}
}

func TestStart_LogsUnsupportedSettings(t *testing.T) {
	w := newTestWorkers(t, false)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	w.serve(t, deployments["hub"], log)
	var warnings []string
	for line := range strings.SplitSeq(strings.TrimSpace(out.String()), "\n") {
		var l struct{ Level, Msg string }
		if json.Unmarshal([]byte(line), &l) == nil && l.Level == "warning" {
			warnings = append(warnings, l.Msg)
		}
	}
	if len(warnings) < 2 || !strings.HasPrefix(warnings[0], "policy_limits.peers") || !strings.HasPrefix(warnings[1], "report.how") {
		t.Errorf("the log says %q", warnings)
	}
}
