package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// A bad plan is told by file, line and key, all faults at once, before anybody is asked; exit status 1.
func TestABadPlanIsToldAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plan.toml")
	text := "name = \"\"\nout = 0\noverdue = \"never\"\n[[machine]]\nname = \"m\"\nrunners = [\"a\"]\n[[machine]]\nname = \"m\"\nrunners = [\"a\"]\n"
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, call := range []string{"check", "plan"} {
		var out, bad bytes.Buffer
		if status := run([]string{"outage", call, "--at", "127.0.0.1:1", path}, output{&out, &bad}); status != 1 {
			t.Errorf("%s: exit status %d", call, status)
		}
		for _, want := range []string{
			":1: name: it is missing", ":2: out: 0 machines", `:3: overdue: "never"`, `:8: machine[1].name: "m"`,
			`:9: machine[1].runners: "a" is in machine[0] already`,
		} {
			if !strings.Contains(bad.String(), path+want) {
				t.Errorf("%s: %q is not in:\n%s", call, want, &bad)
			}
		}
	}
}
