// Package goldentest compares what this build sends or stores with files that earlier builds wrote.
package goldentest

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Check compares got with testdata/golden/name below the test's package. A difference means that a sent or stored form has changed. With
// UPDATE_GOLDEN=1 in the environment it writes the file instead.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if bytes.Equal(got, want) {
		return
	}
	gotLines, wantLines := strings.Split(string(got), "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s:%d:\n got %s\nwant %s", path, i+1, gotLines[i], wantLines[i])
		}
	}
	t.Fatalf("%s: got %d lines, want %d", path, len(gotLines), len(wantLines))
}

// QuoteLines returns each line of text as a quoted string, including its line end, so that every byte is visible.
func QuoteLines(text string) string {
	var quoted strings.Builder
	for line := range strings.Lines(text) {
		fmt.Fprintf(&quoted, "  %q\n", line)
	}
	return quoted.String()
}
