// Package linttest tests .ci/lint, the script that runs the linter.
package linttest

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
)

const (
	moduleFile = "module example\n\ngo 1.24\n"

	// suppressedFinding has one finding of prealloc, which its nolint comment suppresses.
	suppressedFinding = `// Package example has one finding that is suppressed.
package example

// Doubled returns each number twice as large.
func Doubled(numbers []int) []int {
	var doubled []int //nolint:prealloc // suppressed on purpose
	for _, number := range numbers {
		doubled = append(doubled, 2*number)
	}
	return doubled
}
`
	openFinding = `// Package example has one finding that is open.
package example

// Doubled returns each number twice as large.
func Doubled(numbers []int) []int {
	var doubled []int
	for _, number := range numbers {
		doubled = append(doubled, 2*number)
	}
	return doubled
}
`
)

// A checkout that was linted before and is gone must not decide what the linter says of another one with the same text: its cached
// findings name files that can no longer be read for their nolint comments.
func TestLint_IgnoresRemovedCheckouts(t *testing.T) {
	shareEmptyCache(t)
	first := checkoutWith(t, suppressedFinding)
	if output, err := lint(first); err != nil {
		t.Fatalf("lint of the first checkout: %v\n%s", err, output)
	}
	if err := os.RemoveAll(first); err != nil {
		t.Fatal(err)
	}
	if output, err := lint(checkoutWith(t, suppressedFinding)); err != nil {
		t.Errorf("lint of a second checkout after the first was removed: %v\n%s", err, output)
	}
}

func TestLint_FailsForOpenFinding(t *testing.T) {
	shareEmptyCache(t)
	if output, err := lint(checkoutWith(t, openFinding)); err == nil {
		t.Errorf("lint accepts a finding that is not suppressed:\n%s", output)
	}
}

// A linter that runs in another checkout must not make this one fail.
func TestLint_RunsBesideAnother(t *testing.T) {
	shareEmptyCache(t)
	t.Setenv("TMPDIR", t.TempDir())
	other, err := os.Create(filepath.Join(os.TempDir(), "golangci-lint.lock"))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if err := syscall.Flock(int(other.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	if output, err := lint(checkoutWith(t, suppressedFinding)); err != nil {
		t.Errorf("lint while another linter has its lock: %v\n%s", err, output)
	}
}

// shareEmptyCache gives all linters that the test starts one user cache of its own, and the build cache that Go uses now.
func shareEmptyCache(t *testing.T) {
	t.Helper()
	buildCache, err := exec.Command("go", "env", "GOCACHE").Output()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("GOCACHE", string(buildCache[:len(buildCache)-1]))
	t.Setenv("XDG_CACHE_HOME", t.TempDir())
}

// checkoutWith returns a new folder with the linter's script and configuration and one package of the given source.
func checkoutWith(t *testing.T, source string) string {
	t.Helper()
	checkout := t.TempDir()
	for _, name := range []string{".ci/lint", ".ci/tools/go.mod", ".ci/tools/go.sum", ".golangci.yml"} {
		content, err := os.ReadFile(filepath.Join("..", "..", name))
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, filepath.Join(checkout, name), content)
	}
	writeFile(t, filepath.Join(checkout, "go.mod"), []byte(moduleFile))
	writeFile(t, filepath.Join(checkout, "example.go"), []byte(source))
	return checkout
}

func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, content, 0o755); err != nil {
		t.Fatal(err)
	}
}

// lint runs the checkout's own script and returns what it printed.
func lint(checkout string) (string, error) {
	output, err := exec.Command(filepath.Join(checkout, ".ci", "lint"), ".").CombinedOutput()
	return string(output), err
}
