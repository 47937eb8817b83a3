package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"birchfork/internal/hotrestart"
)

// startWithAdmin starts a dispatcher with an operators' door.
func (e *testEnv) startWithAdmin(t *testing.T) *Server {
	t.Helper()
	raw := strings.Replace(configText(e.discovery, e.worker, "5"), `"name":"n1",`, `"name":"n1","operator":"127.0.0.1:0",`, 1)
	return startWith(t, raw, func(*Config) {})
}

// callAdmin is an operator's call.
func (s *Server) callAdmin(t *testing.T, method, path string) (int, string) {
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
	b, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(b)
}

func (s *Server) expectStatus(t *testing.T, method, path string, status int) {
	t.Helper()
	if actual, text := s.callAdmin(t, method, path); actual != status {
		t.Errorf("%s %s: %d %q, want %d", method, path, actual, text, status)
	}
}

// fakeOverrides is what the group's members keep in common.
type fakeOverrides struct {
	lastCall string
	merged   int
	behind   bool
	err      error
}

func (f *fakeOverrides) SetOverride(runner string, disabled bool, at int64) (string, error) {
	f.lastCall = fmt.Sprint(runner, disabled, at > 0)
	return "a note", f.err
}
func (f *fakeOverrides) MergeLocalOverrides(overrides hotrestart.Overrides) {
	f.merged += len(overrides)
}
func (f *fakeOverrides) CaughtUp() bool { return !f.behind }
func (f *fakeOverrides) Close()         {}

// In a group a word goes to the others too, and a start waits for theirs.
func TestAdmin_OverridesReachGroup(t *testing.T) {
	t.Setenv("TMPDIR", "") // nothing is shared: no loop of ours asks for words beside the test
	w := newTestEnv(t)
	n := w.startWithAdmin(t)
	close(w.release)
	defer n.shutdown()
	waitFor(t, "it says that it can serve", func() bool { s, _ := n.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	f := &fakeOverrides{behind: true}
	n.overrides = f
	if status, text := n.callAdmin(t, "GET", "/-/ready"); status != 503 || !strings.Contains(text, "what staff have told the others") {
		t.Errorf("ready: %d %s", status, text)
	}
	f.behind = false
	if status, text := n.callAdmin(t, "POST", "/-/runners/w/disable"); status != 200 || text != "yes; a note\n" || f.lastCall != "wtrue true" {
		t.Errorf("%d %q, told of %q", status, text, f.lastCall)
	}
	if n.syncOverrides(); f.merged != 1 {
		t.Errorf("heard %d words of this dispatcher", f.merged)
	}
	f.err = errors.New("no room")
	if status, text := n.callAdmin(t, "POST", "/-/runners/w/enable"); status != 503 || !strings.Contains(text, "no room") {
		t.Errorf("%d %s", status, text)
	}
	if at := n.applyGroupOverride("w", true); at == 0 || len(n.engine.DisabledWorkers()) != 1 {
		t.Errorf("a word of the group: %d, out %v", at, n.engine.DisabledWorkers())
	}
	http.DefaultClient.CloseIdleConnections()
}

// What is called out gets nothing until the one call back, and the door is open until the process ends.
func TestAdmin_DisablesAndEnablesWorker(t *testing.T) {
	w := newTestEnv(t)
	before, goroutines := countDescriptors(t), runtime.NumGoroutine()
	n := w.startWithAdmin(t)
	waitFor(t, "it says that it can serve", func() bool { s, _ := n.callAdmin(t, "GET", "/-/ready"); return s == 200 })
	n.expectStatus(t, "POST", "/-/runners/nobody/disable", 404)
	n.expectStatus(t, "POST", "/-/runners/nobody/enable", 404)
	n.expectStatus(t, "POST", "/-/runners/w/enable", 200) // it is not out: this must not make it cold
	n.expectStatus(t, "POST", "/-/runners/w/disable", 200)
	n.expectStatus(t, "POST", "/-/runners/w/disable", 200)
	if a := post(n, "a", "5000"); a.status != 503 {
		t.Errorf("with the only runner out: %+v", a)
	}
	n.expectStatus(t, "POST", "/-/runners/w/enable", 200)
	close(w.release)
	// It is cold now: a job gets there sooner or later.
	attempts := 0
	waitFor(t, "the runner is used again", func() bool {
		attempts++
		return post(n, fmt.Sprint("b", attempts), "5000").status == 200
	})
	stopped := make(chan error, 1)
	go func() { stopped <- n.shutdown() }()
	waitFor(t, "it says that it leaves", func() bool { s, _ := n.callAdmin(t, "GET", "/-/ready"); return s == 503 })
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", n.admin.Addr().String()); err == nil {
		t.Error("the door is open after the end")
	}
	http.DefaultClient.CloseIdleConnections()
	waitFor(t, "no descriptor is left behind", func() bool { return countDescriptors(t) <= before })
	waitFor(t, "no goroutine is left behind", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// Without an address there is no door, and one that is taken is named at the start.
func TestAdmin_NeedsAddress(t *testing.T) {
	w := newTestEnv(t)
	n := w.start(t, "5")
	if n.admin != nil {
		t.Error("there is a door")
	}
	close(w.release)
	if err := n.shutdown(); err != nil {
		t.Error(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := Decode([]byte(configText(w.discovery, w.worker, "5")))
	if err != nil {
		t.Fatal(err)
	}
	c.AdminAddress = listener.Addr().String()
	before, goroutines := countDescriptors(t), runtime.NumGoroutine()
	if _, err := start(c, discardLog(), nil); err == nil || !strings.Contains(err.Error(), "operator: ") {
		t.Errorf("an address that is taken: %v", err)
	}
	waitFor(t, "no descriptor is left behind", func() bool { return countDescriptors(t) <= before })
	waitFor(t, "no goroutine is left behind", func() bool { return runtime.NumGoroutine() <= goroutines })
}
