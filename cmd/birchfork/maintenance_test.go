package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// All errors in an invalid plan are reported with file, line and key before any member is called; the exit status is 1.
func TestMaintenance_RejectsInvalidPlan(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.toml")
	text := "name = \"\"\nout = 0\noverdue = \"never\"\n[[machine]]\nname = \"m\"\nrunners = [\"a\"]\n[[machine]]\nname = \"m\"\nrunners = [\"a\"]\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, call := range []string{"check", "plan"} {
		var stdout, stderr bytes.Buffer
		if status := run([]string{"outage", call, "--at", "127.0.0.1:1", path}, output{&stdout, &stderr}); status != 1 {
			t.Errorf("%s: exit status %d, want 1", call, status)
		}
		for _, want := range []string{
			":1: name: it is missing", ":2: out: 0 machines", `:3: overdue: "never"`, `:8: machine[1].name: "m"`,
			`:9: machine[1].runners: "a" is in machine[0] already`,
		} {
			if !strings.Contains(stderr.String(), path+want) {
				t.Errorf("%s: %q is not in:\n%s", call, want, &stderr)
			}
		}
	}
}

// Errors in a plan that the group reports also get their line. Exit status 1 means that a call is invalid, 2 that it may be repeated later.
func TestRun_ExitStatus(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.toml")
	if err := os.WriteFile(path, []byte("name = \"p\"\n[[machine]]\nname = \"m\"\nrunners = [\"a\"]\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	reply := ""
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			t.Errorf("reading the request: %v", err)
		}
		io.WriteString(w, reply)
	}))
	defer s.Close()
	at := s.Listener.Addr().String()
	empty := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, `{"told":"d2"}`) }))
	defer empty.Close()
	other := empty.Listener.Addr().String()
	for _, c := range []struct {
		args   []string
		reply  string
		status int
		want   string
	}{
		{[]string{"plan", "--at", at, path}, `{"code":0,"text":"handed in"}`, 0, "handed in"},
		{[]string{"plan", "--at", at, path}, `{"code":1,"text":"machine[0].runners: \"a\" is not on the list"}`, 1, path + `:4: machine[0].runners: "a" is not`},
		{[]string{"start", "--at", at, "p"}, `{"code":2,"text":"not in the group yet: d3"}`, 2, "not in the group yet: d3"},
		{[]string{"wait", "--for", "1ms", "--at", at, "m"}, `{"code":2,"text":"m is waiting"}`, 2, "m is waiting"},
		{[]string{"start", "--json", "--at", at, "p"}, `{"code":1,"text":"no plan"}`, 1, `{"code":1,"text":"no plan"}`},
		{[]string{"words", "--at", at}, `{"told":"d1","words":[{"runner":"r","out":true,"conflict":true,"said":[{"member":"d0"}]}]}`, 0, "r       out       true      d0 back"},
		{[]string{"words", "--at", "127.0.0.1:1"}, "", 2, "no member answered"},
		{[]string{"resolve", "--at", at, "r", "back"}, `{"text":"yes; it is not kept"}`, 0, "yes; it is not kept"},
		{[]string{"resolve", "--at", at, "r", "back"}, `{"wrong":true,"text":"no runner"}`, 1, "no runner"},
		{[]string{"resolve", "--at", at, "r", "gone"}, "", 1, `must be one of "out","back"`},
		{[]string{"diff", "--at", at}, `{"told":"d1"}`, 0, "d1 have the same overrides"},
		{[]string{"diff", "--at", at, "d9"}, `{"told":"d1"}`, 1, `unknown member "d9": no member of --at has this name`},
		{[]string{"diff", "--at", at + "," + other}, `{"told":"d1","words":[{"runner":"r","said":[{"member":"d0"}]}]}`, 2, "r at d1: back by d0\nr at d2: nothing\n"},
		{[]string{"diff", "--at", at + "," + other, "d2"}, `{"told":"d1","words":[{"runner":"r"}]}`, 0, "d2 have the same overrides"},
		{[]string{"words"}, "", 1, "missing member address: set --at or BIRCHFORK_GROUP"},
		{[]string{"diff", "--at", at + ",127.0.0.1:1"}, `{"told":"d1"}`, 2, "127.0.0.1:1 did not answer"},
		{[]string{"status", "--at", "nonsense"}, "", 1, `--at: invalid address "nonsense": must be host:port`},
		{[]string{"status", "--at", ""}, "", 1, "missing member address"},
	} {
		reply = c.reply
		var stdout, stderr bytes.Buffer
		command := "outage"
		if slices.Contains([]string{"words", "resolve", "diff"}, c.args[0]) {
			command = "group"
		}
		status := run(append([]string{command}, c.args...), output{&stdout, &stderr})
		if status != c.status || !strings.Contains(stdout.String()+stderr.String(), c.want) {
			t.Errorf("%v: exit status %d, %s%s; want %d, %q", c.args, status, &stdout, &stderr, c.status, c.want)
		}
	}
}
