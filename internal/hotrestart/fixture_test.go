package hotrestart

import (
	"maps"
	"os"
	"testing"
)

// mustRead reads a file, or fails the test.
func mustRead(t *testing.T, path string) []byte {
	t.Helper()
	raw, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// open opens a Process. The test's cleanup closes it.
func open(t *testing.T, dir, name string) *Process {
	t.Helper()
	p, err := Open(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// expectOverrides syncs and checks which workers have an override, and whether they are disabled.
func expectOverrides(t *testing.T, p *Process, want map[string]bool) {
	t.Helper()
	overrides, err := p.Sync()
	actual := map[string]bool{}
	for name, override := range overrides {
		actual[name] = override.Disabled
	}
	if err != nil || !maps.Equal(actual, want) {
		t.Errorf("disabled: %v, %v, want %v", actual, err, want)
	}
}

// mark calls one of the Process methods that record its state, or fails the test.
func mark(t *testing.T, record func() error) {
	t.Helper()
	if err := record(); err != nil {
		t.Fatal(err)
	}
}

// writeTestFile writes a file, or fails the test.
func writeTestFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
