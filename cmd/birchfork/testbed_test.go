//go:build !lean

package main

import (
	"os"
	"strings"
	"testing"
)

// A command with an invalid flag or argument exits with status 1 and an error that names it, without starting anything.
func TestTestbed_RejectsInvalidFlags(t *testing.T) {
	file := t.TempDir() + "/day.toml"
	if err := os.WriteFile(file, []byte("rate = 'x'\nfoo = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"lab", "run", "nothing"}, "calm"},
		{[]string{"lab", "run", file}, file + ":1: rate"},
		{[]string{"lab", "run", file}, file + ":2: foo: unknown key"},
		{[]string{"lab", "run", "calm", "--policy", "best"}, "round-robin"},
		{[]string{"lab", "run", "calm", "--plant", "best"}, "unsafe-twice"},
		{[]string{"lab", "run", "calm", "--rate=-5"}, "must be above 0"},
		{[]string{"lab", "run", "calm", "--workers", "20000"}, "too many workers: 20000 in total, the maximum is 10000"},
		{[]string{"lab", "run", "calm", "--group", "--policy", "least"}, "--group makes an operator's file"},
		{[]string{"lab", "run", "calm", "--group", "--dispatchers", "2"}, "invalid number of dispatchers 2: a group has at least 3"},
		{[]string{"lab", "show", "nothing"}, "calm"},
		{[]string{"lab", "report", "/nothing.json"}, "nothing.json"},
		{[]string{"lab", "compare", "a.json"}, "expected two saved results"},
		{[]string{"lab", "compare", "a.json", "--against", "x"}, "take no saved results"},
		{[]string{"lab", "compare", "--against", "/nothing/there"}, "--against"},
	} {
		if status, _, err := call(c.args...); status != 1 || !strings.Contains(err, c.want) {
			t.Errorf("%v: status %d, error %q; want status 1 and an error that contains %q", c.args, status, err, c.want)
		}
	}
}

func TestTestbed_ListAndShow(t *testing.T) {
	status, std, _ := call("lab", "list")
	for _, want := range []string{"calm", "all-at-once", "machine-silent", "unsafe-twice"} {
		if status != 0 || !strings.Contains(std, want) {
			t.Errorf("list: %d, without %s", status, want)
		}
	}
	status, std, _ = call("lab", "show", "release")
	path := t.TempDir() + "/mine.toml"
	if err := os.WriteFile(path, []byte(std), 0o600); err != nil || status != 0 || !strings.Contains(std, `kind = "release"`) {
		t.Errorf("show: %d, %v, %q", status, err, std)
	}
}
