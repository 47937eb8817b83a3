package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestCheck_ReportsUnknownNames(t *testing.T) {
	root := t.TempDir()
	for name, text := range map[string]string{
		"internal/engine/engine.go": "package engine\n\nimport \"net/http\"\n\ntype Engine struct{ Open int }\n\nfunc (e *Engine) Close() {}\n\nfunc New() {}\n\nconst Max = 1\n\nvar maxOpen int\n",
		"docs/design.md":            "",
	} {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	repository, err := load(root)
	if err != nil {
		t.Fatal(err)
	}
	page := "`internal/engine`, `internal/engine/engine.go`, `engine.go`, `docs/design.md`, `engine.New`, `engine.(*Engine).Close()`, `engine.Engine.Open`, `http.Get`, `engine.Max`\n" +
		"`internal/store`, `engine/gone.go`\n`engine.Old` and `engine.Engine.Gone`\n`maxOpen`, `mostOpen`, `serve`\n`Engine.Close`, `Engine.Leave`, `store.New`, `a.b`\n"
	want := []string{
		"2: unknown file or directory internal/store", "2: unknown file or directory engine/gone.go",
		"3: package engine does not declare Old", "3: package engine does not declare Engine.Gone", "4: unknown identifier mostOpen",
		"5: unknown member Leave of type Engine", "5: unknown package store",
	}
	if got := repository.check(page); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
