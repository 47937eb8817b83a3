package frontend

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// checkGolden compares got with testdata/golden/name. The golden files hold what earlier builds sent and understood, so a
// difference means that the protocol has changed. With UPDATE_GOLDEN=1 in the environment the test writes the file instead:
//
//	UPDATE_GOLDEN=1 go test -run TestGolden ./internal/frontend
func checkGolden(t *testing.T, name string, got []byte) {
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

// quoteLines writes text as one quoted string per line, each with its line end, so that every byte can be seen.
func quoteLines(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		fmt.Fprintf(&b, "  %q\n", line)
	}
	return b.String()
}
