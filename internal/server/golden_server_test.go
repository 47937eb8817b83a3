package server

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"birchfork/internal/goldentest"
)

// TestGolden_OperatorCalls checks the answers of a dispatcher to operators' calls.
func TestGolden_OperatorCalls(t *testing.T) {
	t.Setenv("TMPDIR", "")
	env := newTestEnv(t)
	srv := env.startWithAdmin(t)
	close(env.release)
	var out bytes.Buffer
	call := func(when, method, path string) {
		t.Helper()
		status, text := callAdmin(t, srv, method, path)
		fmt.Fprintf(&out, "%s: %s %s: %d %q\n", when, method, path, status, text)
	}
	waitReady(t, srv)
	call("it serves", "GET", "/-/ready")
	call("it serves", "POST", "/-/runners/nobody/disable")
	call("it serves", "POST", "/-/runners/nobody/enable")
	call("it serves", "POST", "/-/runners/w/disable")
	call("it serves", "POST", "/-/runners/w/enable")
	replica := &fakeOverrides{outdated: true}
	srv.overrides = replica
	call("in a group, at its start", "GET", "/-/ready")
	replica.outdated = false
	call("in a group", "GET", "/-/ready")
	call("in a group", "POST", "/-/runners/w/disable")
	replica.err = errors.New("no room")
	call("in a group that is full", "POST", "/-/runners/w/enable")
	srv.overrides = nil
	listening := srv.listening
	srv.listening = make(chan struct{})
	call("it waits for the list", "GET", "/-/ready")
	srv.listening = listening
	srv.handler.FailHealthChecks()
	call("it leaves", "GET", "/-/ready")
	call("it leaves", "POST", "/-/runners/w/enable")
	goldentest.Check(t, "operator-calls.txt", out.Bytes())
	mustShutdown(t, srv)
}

// fieldNames returns the names of the fields of a log line with counters, in order.
func fieldNames(t *testing.T, srv *Server, message string) []byte {
	t.Helper()
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(hookFunc(func(e *logrus.Entry) {
		if e.Message == message {
			fmt.Fprintf(&out, "level=%v msg=%s\n", e.Level, e.Message)
			for _, name := range slices.Sorted(maps.Keys(e.Data)) {
				fmt.Fprintf(&out, "%s %T\n", name, e.Data[name])
			}
		}
	}))
	previous := srv.log
	srv.log = log
	srv.logCounters(message)
	srv.log = previous
	return out.Bytes()
}

// hookFunc is a logrus.Hook for all levels.
type hookFunc func(*logrus.Entry)

// Levels implements logrus.Hook.
func (hookFunc) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (f hookFunc) Fire(e *logrus.Entry) error {
	f(e)
	return nil
}

// TestGolden_Counters checks the names of all counters of a dispatcher with limits from an operator's file.
func TestGolden_Counters(t *testing.T) {
	env := newTestEnv(t)
	close(env.release)
	dir := t.TempDir()
	path, operator := dir+"/config.json", dir+"/operator.toml"
	writeFile(t, path, configText(env.discovery, env.worker, "5"))
	writeFile(t, operator, "[[route]]\nname = 'all'\nconcurrent = 1\n")
	c, err := LoadWithOperator(path, operator, "")
	if err != nil {
		t.Fatal(err)
	}
	srv, err := start(c, discardLog(), nil)
	if err != nil {
		t.Fatal(err)
	}
	waitFor(t, "discovery has sent its list", srv.handler.Ready)
	goldentest.Check(t, "counters.txt", fieldNames(t, srv, "counters"))
	mustShutdown(t, srv)
}

// configPathEnv is the environment variable that makes this test binary run a dispatcher with the configuration at that path.
const configPathEnv = "SERVER_TEST_CONFIG"

// TestMain runs the tests, or a dispatcher if configPathEnv is set.
func TestMain(m *testing.M) {
	path := os.Getenv(configPathEnv)
	if path == "" {
		os.Exit(m.Run())
	}
	c, err := Load(path, "")
	if err == nil {
		log := logrus.New()
		log.SetOutput(os.Stderr)
		err = Run(c, log, nil)
	}
	fmt.Fprintf(os.Stderr, "run: %v\n", err)
}

// TestGolden_FinalLogLines checks the log lines of a dispatcher that is stopped by a signal, and of one whose listener fails.
func TestGolden_FinalLogLines(t *testing.T) {
	env := newTestEnv(t)
	close(env.release)
	dir := t.TempDir()
	config := filepath.Join(dir, "config.json")
	var out bytes.Buffer
	runDispatcher := func(raw string, during func(log *logBuffer, process *os.Process)) {
		t.Helper()
		writeFile(t, config, raw)
		var log logBuffer
		cmd := exec.Command(os.Args[0])
		cmd.Env = append(os.Environ(), configPathEnv+"="+config, "TMPDIR="+dir, "GORACE=atexit_sleep_ms=0")
		cmd.Stderr = &log
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		during(&log, cmd.Process)
		if err := cmd.Wait(); err != nil {
			t.Error(err)
		}
		for line := range strings.SplitSeq(log.text.String(), "\n") {
			if m := regexp.MustCompile(`level=\S+ msg=("[^"]*"|\S+)`).FindString(line); m != "" {
				fmt.Fprintln(&out, m)
			} else if strings.HasPrefix(line, "run: ") {
				fmt.Fprintln(&out, loopbackPort.ReplaceAllString(line, "127.0.0.1:PORT"))
			}
		}
	}
	runDispatcher(configText(env.discovery, env.worker, "0.7"), func(log *logBuffer, process *os.Process) {
		for _, step := range []struct {
			sig  syscall.Signal
			want string
		}{{0, "msg=serving"}, {syscall.SIGUSR1, "msg=counters"}, {syscall.SIGTERM, "msg=stopped"}} {
			if err := process.Signal(step.sig); err != nil {
				t.Fatal(err)
			}
			waitFor(t, step.want, func() bool { return log.contains(step.want) })
		}
	})
	listener, err := net.Listen("tcp", "127.0.0.1:0") // without SO_REUSEPORT: its address cannot be shared
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	t.Setenv("TMPDIR", dir)
	sibling := env.startWithAdmin(t) // so that the new process listens only once it is ready
	raw := strings.Replace(configText(env.discovery, env.worker, "0.7"), `"listen":"127.0.0.1:0"`,
		fmt.Sprintf(`"operator":"127.0.0.1:0","listen":%q`, listener.Addr()), 1)
	runDispatcher(raw, func(log *logBuffer, _ *os.Process) {
		waitFor(t, "the process has ended", func() bool { return log.contains("run: ") })
	})
	mustShutdown(t, sibling)
	goldentest.Check(t, "ends.txt", out.Bytes())
}
