package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

func TestCheck_NamesWhatDoesNotExist(t *testing.T) {
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
		"2: there is no file or folder internal/store", "2: there is no file or folder engine/gone.go",
		"3: package engine declares no Old", "3: package engine declares no Engine.Gone", "4: nothing is declared as mostOpen",
		"5: no type Engine has a member Leave", "5: there is no package store",
	}
	if got := repository.check(page); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}
