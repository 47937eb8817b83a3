package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

// configText returns a valid configuration, of which tests replace parts.
func configText(discovery, worker, deadline string) string {
	return `{"name":"n1","listen":"127.0.0.1:0","discovery":"` + discovery + `","seed":"8c1f30d27a5be964",
	"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
	"known":{"index":41,"snapshot":true,"endpoints":[{"name":"w","address":"` + worker + `","zone":"a","type":"big",
		"group":0,"status":"up","weight":1.0,"since_ms":0}]},
	"settings":{"classes":[{"name":"search","deadline":` + deadline + `,"aim":0.4,"effect":"free"}],"zones":["a"],"zone":"a",
		"machine_types":["big"],"registry_mode":"subscribe","report":{"how":"inline","names":["pending"]},
		"policy_limits":{"attempts_cap":3,"connect_timeout":0.25,"peers":true,"open_cap":70,"idle_close":4}}}`
}

// restoreLimits restores the runtime's limits after the test.
func restoreLimits(t *testing.T) {
	t.Helper()
	procs, memory := runtime.GOMAXPROCS(0), debug.SetMemoryLimit(-1)
	t.Cleanup(func() {
		runtime.GOMAXPROCS(procs)
		debug.SetMemoryLimit(memory)
	})
}

// testEnv is a discovery server and one worker. The worker answers a request when the test sends on release, or has closed it.
type testEnv struct {
	discovery, worker string
	release           chan bool
	received          chan string // the ids of requests
}

// newTestServers returns a function that starts a server on loopback and returns its address. The server calls serve for each request of
// each connection. The test's cleanup stops listening and waits until all connections are closed.
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

// responseHead is the head of the responses of workers and of discovery.
const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// chunk returns a chunk of such a response's body.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// newTestEnv starts the servers of a testEnv.
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	env := &testEnv{release: make(chan bool), received: make(chan string, 100)}
	startServer := newTestServers(t)
	env.worker = startServer(func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		id := r.Header.Get("X-Request-Id")
		env.received <- id
		<-env.release
		io.WriteString(c, responseHead+chunk(fmt.Sprintf(`{"id":%q,"state":"done","result":"r"}`, id))+"0\r\n\r\n")
	})
	env.discovery = startServer(func(c net.Conn, _ *bufio.Reader, r *http.Request) {
		entry := `{"name":"w","address":"` + env.worker + `","zone":"a","type":"big","group":0,"status":"up","weight":1.0}`
		if r.URL.Query().Get("follow") == "" {
			io.WriteString(c, responseHead+chunk(`{"index":41,"snapshot":true,"endpoints":[`+entry+`]}`+"\n")+"0\r\n\r\n")
			return
		}
		io.WriteString(c, responseHead+chunk(`{"index":41,"snapshot":false,"endpoints":[]}`+"\n"))
	})
	return env
}

// discardLog returns a logger that logs nothing.
func discardLog() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// start starts a dispatcher without an admin server, whose one class has this deadline in seconds, and waits until discovery has sent its list.
func (e *testEnv) start(t *testing.T, deadline string) *Server {
	t.Helper()
	srv := startWith(t, configText(e.discovery, e.worker, deadline), func(*Config) {})
	waitFor(t, "discovery has sent its list", srv.handler.Ready)
	return srv
}

// startWith starts a dispatcher with a decoded configuration, which change may modify.
func startWith(t *testing.T, raw string, change func(*Config)) *Server {
	t.Helper()
	c, err := Decode([]byte(raw))
	if err != nil {
		t.Fatal(err)
	}
	change(c)
	srv, err := start(c, discardLog(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return srv
}

// response is the response that a client received.
type response struct {
	status int
	closed bool // the server closes the connection after it
	err    error
}

// post sends a request on a connection of its own and waits for the response.
func post(srv *Server, id, ms string) response {
	c, err := net.Dial("tcp", srv.address.String())
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
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return response{res.StatusCode, res.Close, err}
}

// countDescriptors returns how many file descriptors this process has open.
func countDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(entries)
}

// waitFor waits until ok is true, for ten seconds at most.
func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out after 10s waiting for: " + condition)
		}
	}
}

// logBuffer collects log output.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

// contains reports whether s has been logged.
func (l *logBuffer) contains(s string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.text.String(), s)
}

// startWithAdmin starts a dispatcher with an admin server.
func (e *testEnv) startWithAdmin(t *testing.T) *Server {
	t.Helper()
	raw := strings.Replace(configText(e.discovery, e.worker, "5"), `"name":"n1",`, `"name":"n1","operator":"127.0.0.1:0",`, 1)
	srv := startWith(t, raw, func(*Config) {})
	waitFor(t, "discovery has sent its list", srv.handler.Ready)
	return srv
}

// callAdmin calls the admin server and returns the status and the body.
func callAdmin(t *testing.T, s *Server, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+s.admin.Addr().String()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return res.StatusCode, string(body)
}

// expectPostStatus calls the admin server by POST and checks the status.
func expectPostStatus(t *testing.T, s *Server, path string, status int) {
	t.Helper()
	if actual, text := callAdmin(t, s, "POST", path); actual != status {
		t.Errorf("POST %s: %d %q, want %d", path, actual, text, status)
	}
}

// configureSuccessor returns a function that changes a configuration into that of a sibling of predecessor.
func configureSuccessor(predecessor *Server) func(*Config) {
	return func(c *Config) {
		c.ListenAddress = predecessor.address.String()
		c.AdminAddress = "127.0.0.1:0"
	}
}

// startSuccessor starts another process of predecessor's dispatcher and waits until it is ready.
func (e *testEnv) startSuccessor(t *testing.T, predecessor *Server) *Server {
	t.Helper()
	successor := startWith(t, configText(e.discovery, e.worker, "5"), configureSuccessor(predecessor))
	waitReady(t, successor)
	return successor
}

// waitReady waits until the admin server reports that the dispatcher is ready.
func waitReady(t *testing.T, s *Server) {
	t.Helper()
	waitFor(t, "the dispatcher is ready", func() bool {
		status, _ := callAdmin(t, s, "GET", "/-/ready")
		return status == 200
	})
}

// mustShutdown drains and stops a dispatcher.
func mustShutdown(t *testing.T, s *Server) {
	t.Helper()
	if err := s.shutdown(); err != nil {
		t.Error(err)
	}
}

// clientConn is a client's connection.
type clientConn struct {
	net.Conn
	in *bufio.Reader
}

// dialClient connects to a dispatcher as a client. The test's cleanup closes the connection.
func dialClient(t *testing.T, s *Server) *clientConn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return &clientConn{Conn: conn, in: bufio.NewReader(conn)}
}

// exchange writes a request, or the rest of one, and reads the response with its body.
func (c *clientConn) exchange(t *testing.T, request string) response {
	t.Helper()
	io.WriteString(c, request)
	res, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return response{res.StatusCode, res.Close, err}
}

// watchLeaks counts the open descriptors and goroutines, and returns a function that waits until there are no more than at the call.
func watchLeaks(t *testing.T) (expectNone func()) {
	t.Helper()
	descriptors, goroutines := countDescriptors(t), runtime.NumGoroutine()
	return func() {
		t.Helper()
		waitFor(t, "no descriptor is leaked", func() bool { return countDescriptors(t) <= descriptors })
		waitFor(t, "no goroutine is leaked", func() bool { return runtime.NumGoroutine() <= goroutines })
	}
}

// writeFile writes a file, or fails the test.
func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// updateGolden reports whether UPDATE_GOLDEN=1 in the environment requests that the files of testdata/golden are written. Set it only to
// change a format on purpose: operators, their scripts and other builds of this program read these formats.
func updateGolden() bool { return os.Getenv("UPDATE_GOLDEN") == "1" }

// goldenPath returns the path of a golden file.
func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// loopbackPort matches an address of a test, whose port differs from run to run.
var loopbackPort = regexp.MustCompile(`127\.0\.0\.1:\d+`)
