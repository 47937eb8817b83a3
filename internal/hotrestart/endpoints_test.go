package hotrestart

import (
	"encoding/json"
	"errors"
	"path/filepath"
	"testing"
)

// A later process reads the saved endpoint list; a truncated file is an error.
func TestEndpoints_SavedForSuccessor(t *testing.T) {
	dir := t.TempDir()
	a := open(t, dir, "n")
	if l, err := a.Endpoints(); l != nil || err != nil {
		t.Fatalf("%s, %v", l, err)
	}
	if err := a.SaveEndpoints(json.RawMessage(`{"index":7}`)); err != nil {
		t.Fatal(err)
	}
	if l, err := open(t, dir, "n").Endpoints(); string(l) != `{"index":7}` || err != nil {
		t.Fatalf("%s, %v", l, err)
	}
	writeTestFile(t, filepath.Join(a.dir, endpointsFile), `{"format":"birchfork li`)
	if l, err := a.Endpoints(); l != nil || !errors.Is(err, errUnusableFile) {
		t.Fatalf("%s, %v", l, err)
	}
}
