package consensus

import (
	"os"
	"path/filepath"
	"testing"
)

// A witness speaks for one life in one run of the machine, and says nothing where it is not whole.
func TestBootMarker(t *testing.T) {
	path := filepath.Join(t.TempDir(), "mark")
	open := func() *BootMarker {
		marker, err := OpenBootMarker(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { marker.Close() })
		return marker
	}
	long, short := Position{Term: 1 << 60, LastIndex: 1 << 60, LastTerm: 1 << 60}, Position{Term: 2, LastIndex: 9, LastTerm: 1}
	for _, m := range []Position{long, short} {
		if err := open().record("a", m); err != nil {
			t.Fatal(err)
		}
		if is, ok := open().Lookup("a"); !ok || is != m {
			t.Errorf("%+v, %t, want %+v", is, ok, m)
		}
	}
	if _, ok := open().Lookup("b"); ok {
		t.Error("it speaks for another life")
	}
	marker := open()
	marker.bootID = "another"
	if _, ok := marker.Lookup("a"); ok {
		t.Error("it speaks for another run of the machine")
	}
	for n := range int64(40) {
		if err := os.Truncate(path, n); err != nil {
			t.Fatal(err)
		}
		if _, ok := open().Lookup("a"); ok {
			t.Errorf("%d bytes of it speak", n)
		}
	}
	if _, ok := (*BootMarker)(nil).Lookup("a"); ok || (*BootMarker)(nil).record("a", short) != nil {
		t.Error("none speaks, or fails")
	}
}
