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

	// suppressedFinding is a source file with one finding of prealloc, which its nolint comment suppresses.
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

// A checkout that was linted and then removed must not affect the findings in another one with the same source: cached findings
// name files of the removed checkout, whose nolint comments can no longer be read.
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
		t.Errorf("lint does not fail for a finding that is not suppressed:\n%s", output)
	}
}

// A linter that runs in another checkout and holds the lock file must not make this one fail.
func TestLint_RunsConcurrently(t *testing.T) {
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
		t.Errorf("lint while another linter holds the lock: %v\n%s", err, output)
	}
}

// shareEmptyCache makes all linters of the test share an empty user cache, with the current build cache of Go.
func shareEmptyCache(t *testing.T) {
	t.Helper()
	buildCache, err := exec.Command("go", "env", "GOCACHE").Output()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("GOCACHE", string(buildCache[:len(buildCache)-1]))
	t.Setenv("XDG_CACHE_HOME", t.TempDir())
}

// checkoutWith returns a new directory with the lint script, its configuration and one package with the given source.
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

// lint runs the checkout's lint script and returns its output.
func lint(checkout string) (string, error) {
	output, err := exec.Command(filepath.Join(checkout, ".ci", "lint"), ".").CombinedOutput()
	return string(output), err
}
