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

// asSuccessor changes a configuration into that of a process beside n.
func (n *node) asSuccessor(c *Config) { c.Listen, c.Admin = n.address.String(), "127.0.0.1:0" }

// upgrade starts another process of the same dispatcher beside n.
func (w *world) upgrade(t *testing.T, n *node) *node {
	t.Helper()
	young := startWith(t, configText(w.discovery, w.worker, "5"), n.asSuccessor)
	await(t, "the new one says yes", func() bool { s, _ := young.call(t, "GET", "/-/ready"); return s == 200 })
	return young
}

// On an upgrade the old process finishes what it has and ends; what is said of runners holds over it; limits are shared
// meanwhile, and the new one has them whole after.
func TestUpgrade(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	keepLimits(t)
	w := newWorld(t)
	goroutines := runtime.NumGoroutine()
	old := w.withDoor(t)
	await(t, "it can serve", func() bool { s, _ := old.call(t, "GET", "/-/ready"); return s == 200 })
	kept, err := net.Dial("tcp", old.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	in := bufio.NewReader(kept)
	fmt.Fprint(kept, "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: first\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n")
	<-w.got
	w.release <- true
	res, err := http.ReadResponse(in, nil)
	if err != nil || res.Close || res.StatusCode != 200 {
		t.Fatalf("%v, %+v", err, res)
	}
	io.Copy(io.Discard, res.Body)
	answers := make(chan result, 1)
	go func() { answers <- ask(old, "held", "5000") }()
	<-w.got
	old.wants(t, "POST", "/-/runners/w/disable", 200)

	young := w.upgrade(t, old)
	if young.seed() == young.config.Seed {
		t.Error("both draw alike")
	}
	if out := young.store.Out(); len(out) != 1 || out[0] != "w" {
		t.Errorf("out at the new process: %v", out)
	}
	await(t, "the old one shares its limits", func() bool { return debug.SetMemoryLimit(-1) == old.config.Limits.memory(memoryShare)/2 })

	var said lines
	old.log.(*logrus.Logger).SetOutput(&said)
	stopped := make(chan error, 1)
	go func() { stopped <- old.stop() }()
	await(t, "it leaves", old.front.Stopping)
	if s, _ := old.call(t, "GET", "/-/ready"); s != 503 {
		t.Errorf("the old one says %d while it leaves", s)
	}
	old.wants(t, "POST", "/-/runners/w/enable", 200) // operators may still ask the old one
	await(t, "the new one hears it", func() bool { return len(young.store.Out()) == 0 })
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
	if a := ask(young, "new", "5000"); a.status != 200 {
		t.Errorf("at the new one: %+v", a)
	}
	await(t, "the new one has the limits whole", func() bool { return debug.SetMemoryLimit(-1) == old.config.Limits.memory(memoryShare) })
	if !said.has("another process of this dispatcher serves") {
		t.Error("it left as where nobody takes its place")
	}
	if f := old.store.Counters.Fields(); f["taken"] != int64(2) || f["served"] != int64(2) || f["gone"] != int64(0) {
		t.Error(f)
	}

	third := w.upgrade(t, young) // one after the other
	if err := young.stop(); err != nil {
		t.Error(err)
	}
	go func() { w.release <- true }()
	if a := ask(third, "third", "5000"); a.status != 200 {
		t.Errorf("at the third: %+v", a)
	}
	if err := third.stop(); err != nil { // alone, it takes its time as ever
		t.Error(err)
	}
	http.DefaultClient.CloseIdleConnections()
	await(t, "no goroutine is left behind", func() bool { return runtime.NumGoroutine() <= goroutines })
	if left, _ := filepath.Glob(filepath.Join(t.TempDir(), "*", "process-*")); len(left) > 0 {
		t.Errorf("claims are left: %v", left)
	}
}

// A request that had begun to come when its process left is answered, though nothing else holds that process.
func TestUpgradeWaitsForARequestThatHasBegun(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	keepLimits(t)
	w := newWorld(t)
	close(w.release)
	old := w.withDoor(t)
	await(t, "it can serve", func() bool { s, _ := old.call(t, "GET", "/-/ready"); return s == 200 })
	c, err := net.Dial("tcp", old.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, "GET /up HTT")
	await(t, "it has begun to come", func() bool { return old.front.Clients.Owing() == 1 })
	young := w.upgrade(t, old)
	stopped := make(chan error, 1)
	go func() { stopped <- old.stop() }()
	await(t, "it leaves", old.front.Stopping)
	time.Sleep(yieldQuiet + 100*time.Millisecond)
	io.WriteString(c, "P/1.1\r\nHost: h\r\n\r\n")
	if res, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || !res.Close {
		t.Errorf("%v, %+v", err, res)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if err := young.stop(); err != nil {
		t.Error(err)
	}
}

// Among many processes each may still open a connection to a worker, and 0 clients would be no limit.
func TestSharesStayAboveNothing(t *testing.T) {
	c := &Config{Admin: "127.0.0.1:1", Limits: Limits{Sockets: leastSockets}}
	for processes := range 20 {
		if runners, clients, hard := c.share(processes + 1); runners < 1 || clients < 1 || hard < clients {
			t.Errorf("%d processes: %d, %d, %d", processes+1, runners, clients, hard)
		}
	}
}

// A new process that ends before its yes leaves the old one as it was, and one that never can serve takes no client.
func TestUpgradeThatFails(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	keepLimits(t)
	w := newWorld(t)
	old := w.withDoor(t)
	await(t, "it can serve", func() bool { s, _ := old.call(t, "GET", "/-/ready"); return s == 200 })
	dead, err := hotrestart.Open(t.TempDir(), "other") // not of this dispatcher
	if err != nil {
		t.Fatal(err)
	}
	defer dead.Close()
	if o := old.process.Others(); o.Alive != 0 {
		t.Errorf("%+v", o)
	}
	c, err := Decode([]byte(configText(w.discovery, w.worker, "5")))
	if err != nil {
		t.Fatal(err)
	}
	c.Listen, c.Admin = old.address.String(), "192.0.2.1:1" // not ours
	if _, err := start(c, quiet(), nil); err == nil || !strings.Contains(err.Error(), "operator: ") {
		t.Errorf("%v", err)
	}
	if o := old.process.Others(); o.Alive != 0 {
		t.Errorf("what never served is still there: %+v", o)
	}
	go func() { w.release <- true }()
	if a := ask(old, "a", "5000"); a.status != 200 || a.closed {
		t.Errorf("%+v", a)
	}
	if err := old.stop(); err != nil {
		t.Error(err)
	}
}

// Without a folder to share nothing else is lost: the door answers, runners are left out, and a restart is a restart.
func TestDoorWithoutAFolder(t *testing.T) {
	t.Setenv("TMPDIR", "")
	w := newWorld(t)
	n := w.withDoor(t)
	await(t, "it can serve", func() bool { s, _ := n.call(t, "GET", "/-/ready"); return s == 200 })
	n.wants(t, "POST", "/-/runners/w/disable", 200)
	if out := n.store.Out(); len(out) != 1 {
		t.Errorf("out: %v", out)
	}
	n.wants(t, "POST", "/-/runners/w/enable", 200)
	if out := n.store.Out(); len(out) != 0 {
		t.Errorf("out: %v", out)
	}
	close(w.release)
	if err := n.stop(); err != nil {
		t.Error(err)
	}
}

// A new process begins with the list that the old one left, where discovery is silent and the configuration's is old.
func TestUpgradeBeginsWithTheOldProcessesList(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	keepLimits(t)
	w := newWorld(t)
	old := w.withDoor(t)
	await(t, "the list is left", func() bool { l, _ := old.process.List(); return l != nil })
	raw := strings.Replace(configText("127.0.0.1:1", "127.0.0.1:2", "5"), `"name":"w"`, `"name":"gone"`, 1)
	ended := startWith(t, raw, old.asSuccessor) // told to end before its yes: it has nothing to finish
	if err := ended.stop(); err != nil || ended.listener != nil {
		t.Errorf("%v, it listens: %v", err, ended.listener != nil)
	}
	young := startWith(t, raw, old.asSuccessor)
	l, _ := young.store.List()
	if len(l.Entries) != 1 || l.Entries[0].Name != "w" || l.Entries[0].Address != w.worker || !l.Stale || l.Index != 41 {
		t.Errorf("%+v", l)
	}
	await(t, "it says yes though discovery is silent", func() bool { s, _ := young.call(t, "GET", "/-/ready"); return s == 200 })
	close(w.release)
	for _, n := range []*node{old, young} {
		if err := n.stop(); err != nil {
			t.Error(err)
		}
	}
}
