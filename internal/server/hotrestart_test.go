package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/hotrestart"
)

// configureSuccessor changes a configuration into that of a process beside n.
func (s *Server) configureSuccessor(c *Config) {
	c.ListenAddress, c.AdminAddress = s.address.String(), "127.0.0.1:0"
}

// startSuccessor starts another process of the same dispatcher beside n.
func (e *testEnv) startSuccessor(t *testing.T, n *Server) *Server {
	t.Helper()
	successor := startWith(t, configText(e.discovery, e.worker, "5"), n.configureSuccessor)
	waitFor(t, "the new one says yes", func() bool { s, _ := successor.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	return successor
}

// On an upgrade the old process finishes what it has and ends; what is said of runners holds over it; limits are shared
// meanwhile, and the new one has them whole after.
func TestHotRestart(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	restoreLimits(t)
	w := newTestEnv(t)
	goroutines := runtime.NumGoroutine()
	old := w.startWithAdmin(t)
	waitFor(t, "it can serve", func() bool { s, _ := old.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	kept, err := net.Dial("tcp", old.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	in := bufio.NewReader(kept)
	fmt.Fprint(kept, "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: first\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
	<-w.received
	w.release <- true
	res, err := http.ReadResponse(in, nil)
	if err != nil || res.Close || res.StatusCode != 200 {
		t.Fatalf("%v, %+v", err, res)
	}
	io.Copy(io.Discard, res.Body)
	answers := make(chan response, 1)
	go func() { answers <- post(old, "held", "5000") }()
	<-w.received
	old.expectStatus(t, "POST", "/-/runners/w/disable", 200)

	successor := w.startSuccessor(t, old)
	if successor.randomSeed() == successor.config.Seed {
		t.Error("both draw alike")
	}
	if out := successor.engine.DisabledWorkers(); len(out) != 1 || out[0] != "w" {
		t.Errorf("out at the new process: %v", out)
	}
	waitFor(t, "the old one shares its limits", func() bool { return debug.SetMemoryLimit(-1) == old.config.Limits.memoryBytes(memoryLimitFraction)/2 })

	var logged logBuffer
	old.log.(*logrus.Logger).SetOutput(&logged)
	stopped := make(chan error, 1)
	go func() { stopped <- old.shutdown() }()
	waitFor(t, "it leaves", old.handler.KeepAlivesDisabled)
	if s, _ := old.callAdmin(t, "GET", "/-/ready"); s != 503 {
		t.Errorf("the old one says %d while it leaves", s)
	}
	old.expectStatus(t, "POST", "/-/runners/w/enable", 200) // operators may still ask the old one
	waitFor(t, "the new one hears it", func() bool { return len(successor.engine.DisabledWorkers()) == 0 })
	if _, err := in.ReadByte(); err != io.EOF { // while it still holds a job: its client goes to the new one
		t.Errorf("an idle connection: %v", err)
	}
	w.release <- true
	if a := <-answers; a.status != 200 || !a.closed || a.err != nil {
		t.Errorf("what the old one had: %+v", a)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	go func() { w.release <- true }()
	if a := post(successor, "new", "5000"); a.status != 200 {
		t.Errorf("at the new one: %+v", a)
	}
	waitFor(t, "the new one has the limits whole", func() bool { return debug.SetMemoryLimit(-1) == old.config.Limits.memoryBytes(memoryLimitFraction) })
	if !logged.contains("another process of this dispatcher serves") {
		t.Error("it left as where nobody takes its place")
	}
	if f := old.engine.Counters.Fields(); f["taken"] != int64(2) || f["served"] != int64(2) || f["gone"] != int64(0) {
		t.Error(f)
	}

	third := w.startSuccessor(t, successor) // one after the other
	if err := successor.shutdown(); err != nil {
		t.Error(err)
	}
	go func() { w.release <- true }()
	if a := post(third, "third", "5000"); a.status != 200 {
		t.Errorf("at the third: %+v", a)
	}
	if err := third.shutdown(); err != nil { // alone, it takes its time as ever
		t.Error(err)
	}
	http.DefaultClient.CloseIdleConnections()
	waitFor(t, "no goroutine is left behind", func() bool { return runtime.NumGoroutine() <= goroutines })
	if left, _ := filepath.Glob(filepath.Join(t.TempDir(), "*", "process-*")); len(left) > 0 {
		t.Errorf("claims are left: %v", left)
	}
}

// A request that had begun to come when its process left is answered, though nothing else holds that process.
func TestHotRestart_WaitsForPartialRequest(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	restoreLimits(t)
	w := newTestEnv(t)
	close(w.release)
	old := w.startWithAdmin(t)
	waitFor(t, "it can serve", func() bool { s, _ := old.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	c, err := net.Dial("tcp", old.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /up HTT")
	waitFor(t, "it has begun to come", func() bool { return old.handler.Conns.Pending() == 1 })
	successor := w.startSuccessor(t, old)
	stopped := make(chan error, 1)
	go func() { stopped <- old.shutdown() }()
	waitFor(t, "it leaves", old.handler.KeepAlivesDisabled)
	time.Sleep(idleCloseDelay + 100*time.Millisecond)
	io.WriteString(c, "P/1.1\r\nHost: h\r\n\r\n")
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !res.Close {
		t.Errorf("%v, %+v", err, res)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if err := successor.shutdown(); err != nil {
		t.Error(err)
	}
}

// Among many processes each may still open a connection to a worker, and 0 clients would be no limit.
func TestDescriptorBudget_StaysPositive(t *testing.T) {
	c := &Config{AdminAddress: "127.0.0.1:1", Limits: Limits{Sockets: minSockets}}
	for processes := range 20 {
		if b := c.descriptorBudget(processes + 1); b.workers < 1 || b.clientsSoft < 1 || b.clientsHard < b.clientsSoft {
			t.Errorf("%d processes: %+v", processes+1, b)
		}
	}
}

// A new process that ends before its yes leaves the old one as it was, and one that never can serve takes no client.
func TestHotRestart_FailedSuccessor(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	restoreLimits(t)
	w := newTestEnv(t)
	old := w.startWithAdmin(t)
	waitFor(t, "it can serve", func() bool { s, _ := old.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	dead, err := hotrestart.Open(t.TempDir(), "other") // not of this dispatcher
	if err != nil {
		t.Fatal(err)
	}
	defer dead.Close()
	if o := old.process.Siblings(); o.Alive != 0 {
		t.Errorf("%+v", o)
	}
	c, err := Decode([]byte(configText(w.discovery, w.worker, "5")))
	if err != nil {
		t.Fatal(err)
	}
	c.ListenAddress, c.AdminAddress = old.address.String(), "192.0.2.1:1" // not ours
	if _, err := start(c, discardLog(), nil); err == nil || !strings.Contains(err.Error(), "operator: ") {
		t.Errorf("%v", err)
	}
	if o := old.process.Siblings(); o.Alive != 0 {
		t.Errorf("what never served is still there: %+v", o)
	}
	go func() { w.release <- true }()
	if a := post(old, "a", "5000"); a.status != 200 || a.closed {
		t.Errorf("%+v", a)
	}
	if err := old.shutdown(); err != nil {
		t.Error(err)
	}
}

// Without a folder to share nothing else is lost: the door answers, runners are left out, and a restart is a restart.
func TestAdmin_WithoutSharedDir(t *testing.T) {
	t.Setenv("TMPDIR", "")
	w := newTestEnv(t)
	n := w.startWithAdmin(t)
	waitFor(t, "it can serve", func() bool { s, _ := n.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	n.expectStatus(t, "POST", "/-/runners/w/disable", 200)
	if out := n.engine.DisabledWorkers(); len(out) != 1 {
		t.Errorf("out: %v", out)
	}
	n.expectStatus(t, "POST", "/-/runners/w/enable", 200)
	if out := n.engine.DisabledWorkers(); len(out) != 0 {
		t.Errorf("out: %v", out)
	}
	close(w.release)
	if err := n.shutdown(); err != nil {
		t.Error(err)
	}
}

// A new process begins with the list that the old one left, where discovery is silent and the configuration's is old.
func TestHotRestart_InheritsEndpoints(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	restoreLimits(t)
	w := newTestEnv(t)
	old := w.startWithAdmin(t)
	waitFor(t, "the list is left", func() bool { l, _ := old.process.Endpoints(); return l != nil })
	raw := strings.Replace(configText("127.0.0.1:1", "127.0.0.1:2", "5"), `"name":"w"`, `"name":"gone"`, 1)
	ended := startWith(t, raw, old.configureSuccessor) // told to end before its yes: it has nothing to finish
	if err := ended.shutdown(); err != nil || ended.sharedListener != nil {
		t.Errorf("%v, it listens: %v", err, ended.sharedListener != nil)
	}
	successor := startWith(t, raw, old.configureSuccessor)
	l, _ := successor.engine.Endpoints()
	if len(l.Endpoints) != 1 || l.Endpoints[0].Name != "w" || l.Endpoints[0].Address != w.worker || !l.Stale || l.Version != 41 {
		t.Errorf("%+v", l)
	}
	waitFor(t, "it says yes though discovery is silent", func() bool { s, _ := successor.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	close(w.release)
	for _, n := range []*Server{old, successor} {
		if err := n.shutdown(); err != nil {
			t.Error(err)
		}
	}
}
