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

// withDoor starts a dispatcher with an operators' door.
func (w *world) withDoor(t *testing.T) *node {
	t.Helper()
	raw := strings.Replace(configText(w.discovery, w.worker, "5"), `"name":"n1",`, `"name":"n1","operator":"127.0.0.1:0",`, 1)
	return startWith(t, raw, func(*Config) {})
}

// call is an operator's call.
func (n *node) call(t *testing.T, method, path string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.door.Address().String()+path, nil)
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

func (n *node) wants(t *testing.T, method, path string, status int) {
	t.Helper()
	if got, text := n.call(t, method, path); got != status {
		t.Errorf("%s %s: %d %q, want %d", method, path, got, text, status)
	}
}

// fakeCopies is what the group's members keep in common.
type fakeCopies struct {
	said   string
	local  int
	behind bool
	full   error
}

func (f *fakeCopies) Say(runner string, out bool, at int64) (string, error) {
	f.said = fmt.Sprint(runner, out, at > 0)
	return "a note", f.full
}
func (f *fakeCopies) Local(words hotrestart.Words) { f.local += len(words) }
func (f *fakeCopies) CaughtUp() bool               { return !f.behind }
func (f *fakeCopies) Close()                       {}

// In a group a word goes to the others too, and a start waits for theirs.
func TestWordsGoToTheGroup(t *testing.T) {
	t.Setenv("TMPDIR", "") // nothing is shared: no loop of ours asks for words beside the test
	w := newWorld(t)
	n := w.withDoor(t)
	close(w.release)
	defer n.stop()
	await(t, "it says that it can serve", func() bool { s, _ := n.call(t, "GET", "/-/ready"); return s == 200 })
	f := &fakeCopies{behind: true}
	n.copies = f
	if status, text := n.call(t, "GET", "/-/ready"); status != 503 || !strings.Contains(text, "what staff have told the others") {
		t.Errorf("ready: %d %s", status, text)
	}
	f.behind = false
	if status, text := n.call(t, "POST", "/-/runners/w/disable"); status != 200 || text != "yes; a note\n" || f.said != "wtrue true" {
		t.Errorf("%d %q, told of %q", status, text, f.said)
	}
	if n.exchange(); f.local != 1 {
		t.Errorf("heard %d words of this dispatcher", f.local)
	}
	f.full = errors.New("no room")
	if status, text := n.call(t, "POST", "/-/runners/w/enable"); status != 503 || !strings.Contains(text, "no room") {
		t.Errorf("%d %s", status, text)
	}
	if at := n.bySpread("w", true); at == 0 || len(n.store.Out()) != 1 {
		t.Errorf("a word of the group: %d, out %v", at, n.store.Out())
	}
	http.DefaultClient.CloseIdleConnections()
}

// What is called out gets nothing until the one call back, and the door is open until the process ends.
func TestOperatorsTakeARunnerOutAndPutItBack(t *testing.T) {
	w := newWorld(t)
	before, goroutines := descriptors(t), runtime.NumGoroutine()
	n := w.withDoor(t)
	await(t, "it says that it can serve", func() bool { s, _ := n.call(t, "GET", "/-/ready"); return s == 200 })
	n.wants(t, "POST", "/-/runners/nobody/disable", 404)
	n.wants(t, "POST", "/-/runners/nobody/enable", 404)
	n.wants(t, "POST", "/-/runners/w/enable", 200) // it is not out: this must not make it cold
	n.wants(t, "POST", "/-/runners/w/disable", 200)
	n.wants(t, "POST", "/-/runners/w/disable", 200)
	if a := ask(n, "a", "5000"); a.status != 503 {
		t.Errorf("with the only runner out: %+v", a)
	}
	n.wants(t, "POST", "/-/runners/w/enable", 200)
	close(w.release)
	// It is cold now: a job gets there sooner or later.
	asked := 0
	await(t, "the runner is used again", func() bool {
		asked++
		return ask(n, fmt.Sprint("b", asked), "5000").status == 200
	})
	stopped := make(chan error, 1)
	go func() { stopped <- n.stop() }()
	await(t, "it says that it leaves", func() bool { s, _ := n.call(t, "GET", "/-/ready"); return s == 503 })
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", n.door.Address().String()); err == nil {
		t.Error("the door is open after the end")
	}
	http.DefaultClient.CloseIdleConnections()
	await(t, "no descriptor is left behind", func() bool { return descriptors(t) <= before })
	await(t, "no goroutine is left behind", func() bool { return runtime.NumGoroutine() <= goroutines })
}

// Without an address there is no door, and one that is taken is named at the start.
func TestNoDoorWithoutAnAddress(t *testing.T) {
	w := newWorld(t)
	n := w.start(t, "5")
	if n.door != nil {
		t.Error("there is a door")
	}
	close(w.release)
	if err := n.stop(); err != nil {
		t.Error(err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := Decode([]byte(configText(w.discovery, w.worker, "5")))
	if err != nil {
		t.Fatal(err)
	}
	c.Admin = l.Addr().String()
	before, goroutines := descriptors(t), runtime.NumGoroutine()
	if _, err := start(c, quiet(), nil); err == nil || !strings.Contains(err.Error(), "operator: ") {
		t.Errorf("an address that is taken: %v", err)
	}
	await(t, "no descriptor is left behind", func() bool { return descriptors(t) <= before })
	await(t, "no goroutine is left behind", func() bool { return runtime.NumGoroutine() <= goroutines })
}
