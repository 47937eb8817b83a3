package server

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"birchfork/internal/engine"
	"birchfork/internal/goldentest"
)

// TestGolden_HotRestart starts a dispatcher with the files that an earlier build left. The dispatcher uses their endpoint list and
// overrides, and writes the list unchanged.
func TestGolden_HotRestart(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("TMPDIR", dir)
	raw := strings.Replace(configText("127.0.0.1:1", "127.0.0.1:9", "5"), `"name":"n1",`, `"name":"n1","operator":"127.0.0.1:0",`, 1)
	if updateGolden() {
		writeGoldenHotRestart(t, raw, filepath.Join(dir, goldenSharedDir))
	}
	if err := os.CopyFS(filepath.Join(dir, goldenSharedDir), os.DirFS(goldenPath(goldenSharedDir))); err != nil {
		t.Fatal(err)
	}
	saved, err := os.Stat(filepath.Join(dir, goldenSharedDir, "list"))
	if err != nil {
		t.Fatal(err)
	}
	// The configuration has an older list with another worker.
	older := strings.Replace(strings.Replace(raw, `"index":41`, `"index":40`, 1), `"name":"w"`, `"name":"other"`, 1)
	srv := startWith(t, older, func(*Config) {})
	list, _ := srv.engine.Endpoints()
	want := []engine.Endpoint{{Name: "w", Address: "127.0.0.1:9", Zone: "a", Kind: "big", Weight: 1}}
	if list.Version != 41 || !list.Stale || !slices.Equal(list.Endpoints, want) {
		t.Errorf("initial endpoints %+v, want %+v", list, want)
	}
	if disabled := srv.engine.DisabledWorkers(); !slices.Equal(disabled, []string{"w"}) {
		t.Errorf("disabled: %v", disabled)
	}
	waitFor(t, "the list is saved", func() bool {
		info, err := os.Stat(filepath.Join(dir, goldenSharedDir, "list"))
		return err == nil && !os.SameFile(saved, info)
	})
	got, err := os.ReadFile(filepath.Join(dir, goldenSharedDir, "list"))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Check(t, filepath.Join(goldenSharedDir, "list"), got)
	expectPostStatus(t, srv, "/-/runners/w/enable", 200)
	mustShutdown(t, srv)
}

// goldenSharedDir is the directory with the hot restart files that an earlier build left.
const goldenSharedDir = "birchfork-n1"

// writeGoldenHotRestart rewrites goldenSharedDir from the files that a dispatcher has left in dir.
func writeGoldenHotRestart(t *testing.T, raw, dir string) {
	t.Helper()
	srv := startWith(t, raw, func(*Config) {})
	expectPostStatus(t, srv, "/-/runners/w/disable", 200)
	waitFor(t, "the list is saved", func() bool {
		_, err := os.Stat(filepath.Join(dir, "list"))
		return err == nil
	})
	if err := os.MkdirAll(goldenPath(goldenSharedDir), 0o700); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"hand", "list"} {
		content, err := os.ReadFile(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, filepath.Join(goldenPath(goldenSharedDir), name), string(content))
	}
	mustShutdown(t, srv)
	if err := os.RemoveAll(dir); err != nil {
		t.Fatal(err)
	}
}
