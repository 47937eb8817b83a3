package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"birchfork/internal/discoveryagent"
	"birchfork/internal/etcdtest"
)

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

func call(ctx context.Context, args ...string) (int, string, string) {
	var o, e syncBuffer
	status := run(ctx, args, output{&o, &e})
	return status, o.String(), e.String()
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after 30s waiting for: %s", what)
		}
	}
}

// writeAgentFile writes a configuration file with one etcd source, and makes commands use it.
func writeAgentFile(t *testing.T, etcdAddress string) (path string) {
	t.Helper()
	path = t.TempDir() + "/members.toml"
	text := fmt.Sprintf("listen = '127.0.0.1:0'\n[[source]]\nkind='etcd'\nendpoints=['%s']\nprefix='/w/'\n", etcdAddress)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("BIRCHFORK_MEMBERS", path)
	return path
}

// startAgent starts an agent that runs until ctx ends. It returns the agent's URL and a channel that receives the result of Serve.
func startAgent(ctx context.Context, t *testing.T, path string) (url string, served <-chan error) {
	t.Helper()
	cfg, err := discoveryagent.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	addr := make(chan string, 1)
	log := logrus.New()
	log.SetOutput(&syncBuffer{})
	ended := make(chan error, 1)
	go func() { ended <- discoveryagent.Serve(ctx, cfg, log, func(a string) { addr <- a }) }()
	return "http://" + <-addr, ended
}

// publishedStatus returns a worker's status in the list that an agent publishes to dispatchers. It is "none" if the worker is not listed,
// and empty if there is no list.
func publishedStatus(agentURL, worker string) string {
	res, err := http.Get(agentURL + "/discovery/hosts")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	var l struct {
		Endpoints []struct{ Name, Status string }
	}
	if res.StatusCode != http.StatusOK || json.NewDecoder(res.Body).Decode(&l) != nil {
		return ""
	}
	for _, e := range l.Endpoints {
		if e.Name == worker {
			return e.Status
		}
	}
	return "none"
}

// A registered worker is listed and published to dispatchers, can be drained by a command, and drains and leaves when register ends.
func TestAgent_PublishesRegisteredWorker(t *testing.T) {
	e, err := etcdtest.Start()
	if err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	path := writeAgentFile(t, e.Address())
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	agentURL, served := startAgent(ctx, t, path)
	registered, leave := context.WithCancel(t.Context())
	ended := make(chan int, 1)
	var out syncBuffer
	go func() {
		ended <- run(registered, []string{"register", "w1", "127.0.0.1:9", "--zone", "a", "--drain-for", "100ms"}, output{&out, &out})
	}()
	await(t, "up", func() bool { return publishedStatus(agentURL, "w1") == "up" })
	if code, std, _ := call(t.Context(), "list"); code != 0 || !strings.Contains(std, "w1") || !strings.Contains(std, "up") {
		t.Errorf("list: %d, %q", code, std)
	}
	if code, std, err := call(t.Context(), "drain", "w1"); code != 0 || std != "w1 drains\n" {
		t.Errorf("drain: %d, %q, %q", code, std, err)
	}
	await(t, "draining", func() bool { return publishedStatus(agentURL, "w1") == "draining" })
	leave()
	if code := <-ended; code != 0 || !strings.HasSuffix(out.String(), "w1 drains\nw1 has left\n") {
		t.Errorf("register: %d, %q", code, out.String())
	}
	if code, _, err := call(t.Context(), "remove", "w1"); code != 1 || !strings.Contains(err, `unknown worker "w1"`) {
		t.Errorf("remove of a worker that has left: %d, %q", code, err)
	}
	stop()
	if err := <-served; err != nil {
		t.Error(err)
	}
}

// Every error in the file is reported with its line and key. Every failing command exits with status 1 and prints a message.
func TestAgent_ReportsEveryError(t *testing.T) {
	path := t.TempDir() + "/members.toml"
	text := "listen='0.0.0.0:1'\nempty_guard='2h'\n[[source]]\nkind='dns'\n[[source]]\nkind='etcd'\nprefix='w'\nuser='u'\n[[source]]\nkind='file'\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, err := call(t.Context(), "check", "--config", path)
	for _, want := range []string{":1: listen", ":2: empty_guard", ":4: source[0].kind", "source[1].endpoints", ":7: source[1].prefix", ":8: source[1].user", "source[2].path"} {
		if code != 1 || !strings.Contains(err, want) {
			t.Errorf("check: status %d, want 1 and an error for %s: %s", code, want, err)
		}
	}
	for _, args := range [][]string{{"list", "--config", path}, {"serve", "--config", "/nothing"}, {"nonsense"}, {"register", "w", "x", "--config", path}} {
		if code, std, err := call(t.Context(), args...); code != 1 || std != "" || err == "" {
			t.Errorf("%v: %d, %q, %q", args, code, std, err)
		}
	}
}
