package consensus

import (
	"os"
	"path/filepath"
	"testing"
)

// TestBootMarker verifies that a marker is only valid for its incarnation and boot, and that a truncated marker is invalid.
func TestBootMarker(t *testing.T) {
	path := filepath.Join(t.TempDir(), "mark")
	open := func() *BootMarker {
		marker, err := OpenBootMarker(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { mustClose(t, marker) })
		return marker
	}
	long := Position{Term: 1 << 60, LastIndex: 1 << 60, LastTerm: 1 << 60}
	short := Position{Term: 2, LastIndex: 9, LastTerm: 1}
	for _, want := range []Position{long, short} {
		if err := open().record("a", want); err != nil {
			t.Fatal(err)
		}
		if got, ok := open().Lookup("a"); !ok || got != want {
			t.Errorf("position %+v, found %t, want %+v", got, ok, want)
		}
	}
	if _, ok := open().Lookup("b"); ok {
		t.Error("marker is valid for another incarnation")
	}
	marker := open()
	marker.bootID = "another"
	if _, ok := marker.Lookup("a"); ok {
		t.Error("marker is valid for another boot")
	}
	for n := range int64(40) {
		if err := os.Truncate(path, n); err != nil {
			t.Fatal(err)
		}
		if _, ok := open().Lookup("a"); ok {
			t.Errorf("marker truncated to %d bytes is valid", n)
		}
	}
	var none *BootMarker
	if _, ok := none.Lookup("a"); ok || none.record("a", short) != nil {
		t.Error("nil marker has a position, or record returned an error")
	}
}
