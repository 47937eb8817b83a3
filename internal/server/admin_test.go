package server

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"birchfork/internal/hotrestart"
)

// fakeOverrides is a replica of a group's overrides that records its calls.
type fakeOverrides struct {
	lastCall string
	merged   int
	outdated bool
	err      error
}

func (f *fakeOverrides) SetOverride(worker string, disabled bool, at int64) (string, error) {
	f.lastCall = fmt.Sprint(worker, disabled, at > 0)
	return "a note", f.err
}

func (f *fakeOverrides) MergeLocalOverrides(overrides hotrestart.Overrides) {
	f.merged += len(overrides)
}

func (f *fakeOverrides) CaughtUp() bool { return !f.outdated }

func (f *fakeOverrides) Close() {}

// In a group, overrides are replicated, and a member is ready once it has the other members' overrides.
func TestAdmin_OverridesReachGroup(t *testing.T) {
	t.Setenv("TMPDIR", "") // nothing is shared, so that no loop syncs overrides during the test
	env := newTestEnv(t)
	srv := env.startWithAdmin(t)
	close(env.release)
	defer mustShutdown(t, srv)
	waitReady(t, srv)
	replica := &fakeOverrides{outdated: true}
	srv.overrides = replica
	if status, text := callAdmin(t, srv, "GET", "/-/ready"); status != 503 || !strings.Contains(text, "what staff have told the others") {
		t.Errorf("ready: %d %s", status, text)
	}
	replica.outdated = false
	if status, text := callAdmin(t, srv, "POST", "/-/runners/w/disable"); status != 200 || text != "yes; a note\n" || replica.lastCall != "wtrue true" {
		t.Errorf("%d %q, replicated %q", status, text, replica.lastCall)
	}
	srv.syncOverrides()
	if replica.merged != 1 {
		t.Errorf("%d overrides merged, want 1", replica.merged)
	}
	replica.err = errors.New("no room")
	if status, text := callAdmin(t, srv, "POST", "/-/runners/w/enable"); status != 503 || !strings.Contains(text, "no room") {
		t.Errorf("%d %s", status, text)
	}
	if at := srv.applyGroupOverride("w", true); at == 0 || len(srv.engine.DisabledWorkers()) != 1 {
		t.Errorf("override from the group: version %d, disabled %v", at, srv.engine.DisabledWorkers())
	}
	http.DefaultClient.CloseIdleConnections()
}

// A disabled worker gets no requests until it is enabled, and the admin server answers until the process ends.
func TestAdmin_DisablesAndEnablesWorker(t *testing.T) {
	env := newTestEnv(t)
	expectNoLeaks := watchLeaks(t)
	srv := env.startWithAdmin(t)
	waitReady(t, srv)
	expectPostStatus(t, srv, "/-/runners/nobody/disable", 404)
	expectPostStatus(t, srv, "/-/runners/nobody/enable", 404)
	expectPostStatus(t, srv, "/-/runners/w/enable", 200) // already enabled: this must not begin a slow start
	expectPostStatus(t, srv, "/-/runners/w/disable", 200)
	expectPostStatus(t, srv, "/-/runners/w/disable", 200)
	if a := post(srv, "a", "5000"); a.status != 503 {
		t.Errorf("with the only worker disabled: %+v", a)
	}
	expectPostStatus(t, srv, "/-/runners/w/enable", 200)
	close(env.release)
	// The worker is in slow start, so the first requests may be rejected.
	attempts := 0
	waitFor(t, "the worker is used again", func() bool {
		attempts++
		return post(srv, fmt.Sprint("b", attempts), "5000").status == 200
	})
	stopped := make(chan error, 1)
	go func() { stopped <- srv.shutdown() }()
	waitFor(t, "the dispatcher is no longer ready", func() bool {
		status, _ := callAdmin(t, srv, "GET", "/-/ready")
		return status == 503
	})
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if _, err := net.Dial("tcp", srv.admin.Addr().String()); err == nil {
		t.Error("the admin server accepts connections after the shutdown")
	}
	http.DefaultClient.CloseIdleConnections()
	expectNoLeaks()
}

// Without an address there is no admin server. If the address is in use, the start fails with an error that names the key.
func TestAdmin_NeedsAddress(t *testing.T) {
	env := newTestEnv(t)
	srv := env.start(t, "5")
	if srv.admin != nil {
		t.Error("there is an admin server")
	}
	close(env.release)
	mustShutdown(t, srv)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	c, err := Decode([]byte(configText(env.discovery, env.worker, "5")))
	if err != nil {
		t.Fatal(err)
	}
	c.AdminAddress = listener.Addr().String()
	expectNoLeaks := watchLeaks(t)
	if _, err := start(c, discardLog(), nil); err == nil || !strings.Contains(err.Error(), "operator: ") {
		t.Errorf("an address in use: %v", err)
	}
	expectNoLeaks()
}
