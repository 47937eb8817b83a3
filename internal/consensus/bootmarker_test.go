package consensus

import (
	"os"
	"path/filepath"
	"testing"
)

// TestBootMarker verifies that a marker is valid for one incarnation and one boot of the machine, and not at all if it is incomplete.
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
			t.Errorf("%+v, %t, want %+v", got, ok, want)
		}
	}
	if _, ok := open().Lookup("b"); ok {
		t.Error("it counts for another incarnation")
	}
	marker := open()
	marker.bootID = "another"
	if _, ok := marker.Lookup("a"); ok {
		t.Error("it counts for another boot")
	}
	for n := range int64(40) {
		if err := os.Truncate(path, n); err != nil {
			t.Fatal(err)
		}
		if _, ok := open().Lookup("a"); ok {
			t.Errorf("%d bytes of it count", n)
		}
	}
	var none *BootMarker
	if _, ok := none.Lookup("a"); ok || none.record("a", short) != nil {
		t.Error("a nil marker counts, or fails")
	}
}
