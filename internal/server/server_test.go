package server

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/dispatch"
)

// config is a good configuration; a test replaces parts of it.
func configText(discovery, worker, deadline string) string {
	return `{"name":"n1","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"known":{"index":41,"snapshot":true,"endpoints":[{"name":"w","address":"` + worker + `","zone":"a","type":"big",
		"group":0,"status":"up","weight":1.0,"since_ms":0}]},
	"settings":{"classes":[{"name":"search","deadline":` + deadline + `,"aim":0.4,"effect":"free"}],"zones":["a"],"zone":"a",
		"machine_types":["big"],"registry_mode":"subscribe","report":{"how":"inline","names":["pending"]},
		"policy_limits":{"attempts_cap":3,"connect_timeout":0.25,"peers":true,"open_cap":70,"idle_close":4}}}`
}

func TestDecode_Values(t *testing.T) {
	c, err := Decode([]byte(configText("127.0.0.1:8500", "127.0.0.1:9", "5")))
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n1" || c.Seed != 0x8c1f30d27a5be964 || c.MaxOpen != 70 || c.Limits.Sockets != 1024 ||
		len(c.KnownEndpoints.Endpoints) != 1 || !c.KnownEndpoints.Stale || !c.KnownEndpoints.Snapshot || len(c.Settings.Classes) != 1 {
		t.Fatalf("%+v", c)
	}
	if c.Settings.PeerMessages || c.Settings.EndpointsOnRequest {
		t.Fatal("the module is told of what sockets have no words for")
	}
	if got := idleTimeout(c.Settings); got != 2*time.Second {
		t.Fatalf("idle connections are kept for %v, want half of what workers allow", got)
	}
}

func TestDecode_NamesEveryFault(t *testing.T) {
	for _, c := range []struct {
		change [2]string
		want   string
	}{
		{[2]string{`"listen":"127.0.0.1:0"`, `"listen":"here"`}, "listen"},
		{[2]string{`"discovery":"127.0.0.1:8500"`, `"discovery":""`}, "discovery"},
		{[2]string{`"discovery":"127.0.0.1:8500"`, `"discovery":"127.0.0.1:85000"`}, "discovery"},
		{[2]string{`"attempts_cap":3`, `"attempts_cap":0`}, "attempts_cap: 0 is not above 0"},
		{[2]string{`"deadline":5,`, ``}, "classes.0.deadline: it is missing"},
		{[2]string{`"name":"n1"`, `"operator":"here"`}, "operator"},
		{[2]string{`"name":"n1","listen":"127.0.0.1:0"`, `"operator":"127.0.0.1:5","listen":"127.0.0.1:5"`}, "operator"},
		{[2]string{`"cores":1.0`, `"cores":0`}, "limits.cores"},
		{[2]string{`"memory_mb":192`, `"memory_mb":1`}, "limits.memory_mb"},
		{[2]string{`"sockets":1024`, `"sockets":9`}, "limits.sockets"},
		{[2]string{`"status":"up"`, `"status":"odd"`}, "known"},
		{[2]string{`"snapshot":true`, `"snapshot":3`}, "known"},
		{[2]string{`"deadline":5`, `"deadline":0`}, "classes.0.deadline: 0 is not above 0"},
		{[2]string{`"effect":"free"`, `"effect":"odd"`}, "classes.0.effect"},
		{[2]string{`"settings":`, `"other":`}, "settings"},
		{[2]string{`"name":"n1"`, `"name":1`}, "configuration"},
		{[2]string{`{`, ``}, "configuration"},
	} {
		raw := strings.Replace(configText("127.0.0.1:8500", "127.0.0.1:9", "5"), c.change[0], c.change[1], 1)
		if _, err := Decode([]byte(raw)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", c.change[1], err)
		}
	}
	_, err := Decode([]byte(`{"listen":"x","discovery":"y","limits":{"cores":-1}}`))
	if err == nil || strings.Count(err.Error(), "\n") != 3 {
		t.Errorf("not all four faults are named: %v", err)
	}
	if _, err := Load(t.TempDir()+"/none", ""); err == nil {
		t.Error("a missing file passed")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(configText("127.0.0.1:8500", "127.0.0.1:9", "5")))
	for _, s := range deployments {
		f.Add([]byte(deploymentConfig("127.0.0.1:8500", s)))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		if c, err := Decode(raw); err == nil && (len(c.Settings.Classes) == 0 || c.Limits.Sockets < minSockets) {
			t.Fatalf("%+v passed", c)
		}
	})
}

// restoreLimits gives the runtime its limits back after the test.
func restoreLimits(t *testing.T) {
	t.Helper()
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
	})
}

func TestApplyRuntimeLimits(t *testing.T) {
	restoreLimits(t)
	applyRuntimeLimits(Limits{Cores: 0.5, MemoryMB: 100})
	if n := runtime.GOMAXPROCS(0); n != 1 {
		t.Errorf("GOMAXPROCS %d", n)
	}
	if m := debug.SetMemoryLimit(-1); m != 75<<20 {
		t.Errorf("memory limit %d", m)
	}
}

// testEnv is a discovery and one worker. The worker answers a request when the test lets it.
type testEnv struct {
	discovery, worker string
	release           chan bool
	received          chan string
}

// newTestServers returns what starts a stand-in on loopback and tells its address: serve is called with each request of each
// connection. At the test's end they listen no more, and it waits until all connections are closed.
func newTestServers(t *testing.T) func(serve func(c net.Conn, in *bufio.Reader, r *http.Request)) string {
	t.Helper()
	served := new(sync.WaitGroup)
	t.Cleanup(served.Wait)
	return func(serve func(c net.Conn, in *bufio.Reader, r *http.Request)) string {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				served.Add(1)
				go func() {
					defer served.Done()
					defer c.Close()
					in := bufio.NewReader(c)
					for {
						r, err := http.ReadRequest(in)
						if err != nil {
							return
						}
						serve(c, in, r)
					}
				}()
			}
		}()
		return l.Addr().String()
	}
}

// The answer's head and a chunk of its body, as workers and discovery write them.
const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	w := &testEnv{release: make(chan bool), received: make(chan string, 100)}
	standIn := newTestServers(t)
	w.worker = standIn(func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		w.received <- id
		<-w.release
		io.WriteString(c, responseHead+chunk(fmt.Sprintf(`{"id":%q,"state":"done","result":"r"}`, id))+"0\r\n\r\n")
	})
	w.discovery = standIn(func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		entry := `{"name":"w","address":"` + w.worker + `","zone":"a","type":"big","group":0,"status":"up","weight":1.0}`
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(c, responseHead+chunk(`{"index":41,"snapshot":true,"endpoints":[`+entry+`]}`+"\n")+"0\r\n\r\n")
			return
		}
		io.WriteString(c, responseHead+chunk(`{"index":41,"snapshot":false,"endpoints":[]}`+"\n"))
	})
	return w
}

func discardLog() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (e *testEnv) start(t *testing.T, deadline string) *Server {
	t.Helper()
	return startWith(t, configText(e.discovery, e.worker, deadline), func(*Config) {})
}

// startWith starts a dispatcher with a configuration that a test changes.
func startWith(t *testing.T, raw string, change func(*Config)) *Server {
	t.Helper()
	c, err := Decode([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	change(c)
	n, err := start(c, discardLog(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

type response struct {
	status int
	closed bool
	err    error
}

// post sends a job on a connection of its own.
func post(n *Server, id, ms string) response {
	c, err := net.Dial("tcp", n.address.String())
	if err != nil {
		return response{err: err}
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Class: search\r\nX-Deadline-Ms: %s\r\n"+
		"Content-Length: 0\r\n\r\n", id, ms)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return response{err: err}
	}
	_, err = io.Copy(io.Discard, res.Body)
	return response{res.StatusCode, res.Close, err}
}

func countDescriptors(t *testing.T) int {
	t.Helper()
	d, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(d)
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("not so in time: " + what)
		}
	}
}

func TestShutdown_FinishesOpenAndAcceptsNewRequests(t *testing.T) {
	w := newTestEnv(t)
	before, goroutines := countDescriptors(t), runtime.NumGoroutine()
	n := w.start(t, "5")
	waitFor(t, "it is up", func() bool {
		res, err := http.Get("http://" + n.address.String() + "/up")
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		return res.StatusCode == 200
	})
	http.DefaultClient.CloseIdleConnections()
	answers := make(chan response, 2)
	go func() { answers <- post(n, "held", "5000") }()
	<-w.received
	idle, err := net.Dial("tcp", n.address.String()) // a client's connection that says nothing
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()

	kept, err := net.Dial("tcp", n.address.String()) // a client's connection that has been used
	if err != nil {
		t.Fatal(err)
	}
	defer kept.Close()
	in := bufio.NewReader(kept)
	io.WriteString(kept, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
	if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != 200 || res.Close {
		t.Fatalf("%v, %+v", err, res)
	}

	stopped := make(chan error, 1)
	go func() { stopped <- n.shutdown() }()
	waitFor(t, "it is stopping", func() bool { return !n.handler.Up() })
	time.Sleep(20 * time.Millisecond)
	for range 2 { // clients go on using those that they have
		io.WriteString(kept, "GET /up HTTP/1.1\r\nHost: h\r\n\r\n")
		if res, err := http.ReadResponse(in, nil); err != nil || res.StatusCode != 503 || res.Close {
			t.Errorf("on a kept connection while leaving: %v, %+v", err, res)
		}
	}
	go func() { answers <- post(n, "late", "5000") }()
	if id := <-w.received; id != "late" {
		t.Fatalf("%s came", id)
	}
	waitFor(t, "no connection is kept any more", n.handler.KeepAlivesDisabled)
	close(w.release)
	for range 2 {
		if a := <-answers; a.status != 200 || !a.closed || a.err != nil {
			t.Errorf("%+v", a)
		}
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if a := post(n, "after", "5000"); a.err == nil {
		t.Error("it still serves")
	}
	idle.Close()
	kept.Close()
	waitFor(t, "no descriptor is left behind", func() bool { return countDescriptors(t) <= before+0 })
	waitFor(t, "no goroutine is left behind", func() bool { return runtime.NumGoroutine() <= goroutines })
	f := n.engine.Counters.Fields()
	if f["taken"] != int64(2) || f["served"] != int64(2) || f["gone"] != int64(0) {
		t.Error(f)
	}
}

// A request of which half has come when we stop has been taken once the rest is here: whoever writes slowly must not meet our end.
func TestShutdown_WaitsForPartialRequest(t *testing.T) {
	w := newTestEnv(t)
	n := w.start(t, "5")
	close(w.release)
	go func() {
		for range w.received {
		}
	}()
	c, err := net.Dial("tcp", n.address.String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	stopped := make(chan error, 1)
	go func() { stopped <- n.shutdown() }()
	waitFor(t, "no connection is kept any more", n.handler.KeepAlivesDisabled)
	io.WriteString(c, "POST /search HTTP/1.1\r\nHost: h\r\nX-Request-Id: slow\r\nX-Class: search\r\nX-Deadline-Ms: 5000\r\nContent-Length: 4\r\n")
	select { // longer than we would stay for nothing
	case err := <-stopped:
		t.Fatalf("it has ended over half a request: %v", err)
	case <-time.After(lingerTime + 200*time.Millisecond):
	}
	io.WriteString(c, "\r\nbody")
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || res.StatusCode != 200 || !res.Close {
		t.Fatalf("%+v, %v", res, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// logBuffer collects what is logged.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

// runLogged runs a whole dispatcher in the background and collects its log.
func runLogged(c *Config) (out *logBuffer, done chan error) {
	out, done = &logBuffer{}, make(chan error, 1)
	log := logrus.New()
	log.SetOutput(out)
	go func() { done <- Run(c, log, nil) }()
	return out, done
}

func TestRun_Signals(t *testing.T) {
	restoreLimits(t)
	w := newTestEnv(t)
	c, err := Decode([]byte(configText(w.discovery, w.worker, "5")))
	if err != nil {
		t.Fatal(err)
	}
	out, ended := runLogged(c)
	for _, step := range []struct {
		sig  syscall.Signal
		want string
	}{{0, "msg=serving"}, {syscall.SIGUSR1, "msg=counters"}, {syscall.SIGTERM, "msg=stopped"}} {
		if err := syscall.Kill(os.Getpid(), step.sig); err != nil {
			t.Fatal(err)
		}
		waitFor(t, step.want, func() bool { return out.contains(step.want) })
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}

// A new configuration must not cost what is open, whatever it holds, and also where it comes while we stop.
func TestRun_HangUpReloads(t *testing.T) {
	restoreLimits(t)
	w, other := newTestEnv(t), newTestEnv(t)
	path := t.TempDir() + "/config.json"
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := l.Addr().String()
	l.Close()
	write := func(discovery string) {
		t.Helper()
		raw := strings.Replace(configText(discovery, w.worker, "5"), "127.0.0.1:0", listen, 1)
		if discovery == "" {
			raw = "{"
		}
		if err := os.WriteFile(path, []byte(raw), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(w.discovery)
	c, err := Load(path, "")
	if err != nil {
		t.Fatal(err)
	}
	out, ended := runLogged(c)
	signal := func(sig syscall.Signal, want string) {
		t.Helper()
		if err := syscall.Kill(os.Getpid(), sig); err != nil {
			t.Fatal(err)
		}
		waitFor(t, want, func() bool { return out.contains(want) })
	}
	waitFor(t, "it serves", func() bool { return out.contains("msg=serving") })
	answers := make(chan response, 1)
	n := &Server{address: l.Addr()}
	go func() { answers <- post(n, "held", "5000") }()
	<-w.received
	write("")
	signal(syscall.SIGHUP, "the old one stays")
	write(other.discovery)
	signal(syscall.SIGHUP, "the list comes from another address now")
	signal(syscall.SIGTERM, "msg=stopping")
	write(w.discovery)
	signal(syscall.SIGHUP, `in force" attempts=3 classes_gone= classes_new= discovery="`+w.discovery)
	close(w.release)
	if a := <-answers; a.status != 200 || a.err != nil {
		t.Errorf("the held job: %+v", a)
	}
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"bad_reloads=1", "reloads=2", "list_moves="} {
		if !out.contains(want) {
			t.Errorf("%s is not in the last counters", want)
		}
	}
}

// What cannot be finished before the platform kills us is answered all the same.
func TestShutdown_FailsOverdueRequests(t *testing.T) {
	w := newTestEnv(t)
	n := w.start(t, "0.7")
	answers := make(chan response, 1)
	go func() { answers <- post(n, "held", "60000") }()
	<-w.received
	began := time.Now()
	if err := n.shutdown(); err != nil {
		t.Error(err)
	}
	if took := time.Since(began); took < minAcceptTime {
		t.Errorf("stopped after %v: clients still came", took)
	}
	if a := <-answers; a.status != 500 || a.err != nil {
		t.Errorf("%+v", a)
	}
	close(w.release)
}

func TestDrainTimeout_EndsBeforeKill(t *testing.T) {
	for deadline, kill := range map[dispatch.Time]time.Duration{
		10 * dispatch.Second:       3700 * time.Millisecond,
		500 * dispatch.Millisecond: 1200 * time.Millisecond,
		100 * dispatch.Millisecond: 800 * time.Millisecond,
	} {
		n := &Server{config: &Config{Settings: dispatch.Settings{Classes: []dispatch.Class{{Deadline: deadline}}}}}
		if end := max(n.drainTimeout(), minAcceptTime) + closeTimeout; end >= kill || end < kill/2 {
			t.Errorf("deadline %v us: we end after %v, the platform kills after %v", deadline, end, kill)
		}
	}
}

func TestStart_ReportsListenError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Decode([]byte(strings.Replace(configText("127.0.0.1:1", "127.0.0.1:9", "5"), "127.0.0.1:0", l.Addr().String(), 1)))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := start(c, discardLog(), nil); err == nil || !strings.Contains(err.Error(), "listening") {
		t.Fatalf("%v", err)
	}
}

func TestLogCounters(t *testing.T) {
	w := newTestEnv(t)
	n := w.start(t, "5")
	var out strings.Builder
	l := logrus.New()
	l.SetOutput(&out)
	l.SetFormatter(&logrus.JSONFormatter{})
	n.log = l
	n.logCounters("counters")
	var line map[string]any
	if err := json.Unmarshal([]byte(out.String()), &line); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"taken", "sent", "served", "refused", "failed", "gone", "ended_ok", "open", "runner_conns"} {
		if _, ok := line[name]; !ok {
			t.Errorf("%s is not in %v", name, line)
		}
	}
	if err := n.shutdown(); err != nil {
		t.Error(err)
	}
}

// The operator's file: a request over its limit is refused at once with its reason; a bad file changes nothing and is
// counted; a good one holds for requests that come from then on.
func TestReload_OperatorFile(t *testing.T) {
	w := newTestEnv(t)
	dir := t.TempDir()
	path, operator := dir+"/config.json", dir+"/operator.toml"
	write := func(path, text string) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(path, configText(w.discovery, w.worker, "5"))
	write(operator, "[[route]]\nname = 'all'\nconcurrent = 1\n")
	c, err := LoadWithOperator(path, operator, "")
	if err != nil {
		t.Fatal(err)
	}
	n, err := start(c, discardLog(), nil)
	if err != nil {
		t.Fatal(err)
	}
	answers := make(chan response, 2)
	go func() { answers <- post(n, "first", "5000") }()
	<-w.received
	if a := post(n, "second", "5000"); a.status != 503 || a.closed {
		t.Errorf("over the limit: %+v", a)
	}
	write(operator, "[[route]]\nname = 'all'\nconcurrent = 1\nattempts = 9\n")
	n.reload()
	if a := post(n, "third", "5000"); a.status != 503 || n.engine.Counters.BadReloads.Load() != 1 {
		t.Errorf("after a bad file: %+v, %d counted", a, n.engine.Counters.BadReloads.Load())
	}
	write(operator, "[[route]]\nname = 'all'\nconcurrent = 2\n")
	n.reload()
	go func() { answers <- post(n, "fourth", "5000") }()
	<-w.received // it came through beside the first
	if f := n.engine.LimitFields(); f["limit_held"] != 2 || f["limit_concurrent"] != int64(2) {
		t.Errorf("counted %v", f)
	}
	close(w.release)
	for range 2 {
		if a := <-answers; a.status != 200 {
			t.Errorf("an admitted job: %+v", a)
		}
	}
	if err := n.shutdown(); err != nil {
		t.Error(err)
	}
	if f := n.engine.LimitFields(); f["limit_held"] != 0 {
		t.Errorf("%v places leaked", f["limit_held"])
	}
	write(operator, "[[route]]\nname = 'all'\nclass = 'none'\n")
	if _, err := LoadWithOperator(path, operator, ""); err == nil || !strings.Contains(err.Error(), "route[0].class") {
		t.Errorf("a file that is unlawful at the start: %v", err)
	}
}
