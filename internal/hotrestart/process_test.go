package hotrestart

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Without a directory nothing is shared, and each process has its own overrides.
func TestProcess_WithoutDir(t *testing.T) {
	if _, err := Open("", "n"); err == nil {
		t.Error("an empty directory name was accepted")
	}
	file := filepath.Join(t.TempDir(), "file")
	writeTestFile(t, file, "")
	if _, err := Open(file, "n"); err == nil {
		t.Error("a file was opened as a directory")
	}
	p := &Process{}
	if w, err := p.SetOverride("x", true); err != nil || !w.Disabled {
		t.Errorf("%v, %v", w, err)
	}
	expectOverrides(t, p, map[string]bool{"x": true})
	if w, err := p.SetOverride("x", false); err != nil || w.Disabled || w.At == 0 {
		t.Errorf("%v, %v", w, err)
	}
	if l, err := p.Endpoints(); l != nil || err != nil || p.SaveEndpoints(json.RawMessage("{}")) != nil || p.Siblings() != (Siblings{}) {
		t.Error("something is shared")
	}
	mark(t, p.MarkServing)
	p.Close()
}

// Unfinished files of killed processes are removed; a file that may still be written is kept.
func TestOpen_RemovesStaleTemps(t *testing.T) {
	dir := t.TempDir()
	p := open(t, dir, "n")
	for name, age := range map[string]time.Duration{"new-1": 2 * staleTempAge, "new-2": 0} {
		path := filepath.Join(p.dir, name)
		writeTestFile(t, path, "")
		if err := os.Chtimes(path, time.Time{}, time.Now().Add(-age)); err != nil {
			t.Fatal(err)
		}
	}
	open(t, dir, "n")
	left, _ := filepath.Glob(filepath.Join(p.dir, "new-*"))
	if len(left) != 1 || !strings.HasSuffix(left[0], "new-2") {
		t.Fatalf("left: %v", left)
	}
}
