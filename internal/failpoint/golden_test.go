//go:build !lean

package failpoint

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// TestGolden_Names holds the names of faults, which scenarios and flags give as strings: testdata/golden/names.txt, which
// UPDATE_GOLDEN=1 writes anew.
func TestGolden_Names(t *testing.T) {
	var b bytes.Buffer
	fmt.Fprintln(&b, "faults of the program, in this order:")
	for _, name := range Names {
		fmt.Fprintln(&b, name)
	}
	fmt.Fprintln(&b, "conditions:")
	for _, name := range []string{ClocksApart, Older, NewerWords, DiskFails, DiskStalls} {
		fmt.Fprintln(&b, name)
	}
	path := filepath.Join("testdata", "golden", "names.txt")
	if os.Getenv("UPDATE_GOLDEN") == "1" {
		if err := os.WriteFile(path, b.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(b.Bytes(), want) {
		t.Errorf("got\n%s\nwant\n%s", b.Bytes(), want)
	}
}

// TestOn_AnswersForTheOneThatIsSet holds that one fault at a time is on, and none by default.
func TestOn_AnswersForTheOneThatIsSet(t *testing.T) {
	t.Cleanup(func() { Set("") })
	for _, set := range Names {
		if On(set) {
			t.Errorf("%s is on before it is set", set)
		}
		Set(set)
		for _, name := range Names {
			if On(name) != (name == set) {
				t.Errorf("with %s set: %s is %t", set, name, On(name))
			}
		}
		Set("")
	}
}

// TestSkew_ByTheNamesLastDigit holds two hours for each count, and only where clocks are to differ.
func TestSkew_ByTheNamesLastDigit(t *testing.T) {
	t.Cleanup(func() { Set("") })
	for fault, want := range map[string]time.Duration{"": 0, NoLease: 0, ClocksApart: 6 * time.Hour, ClockWins: 6 * time.Hour} {
		Set(fault)
		if got := Skew("edge-3"); got != want {
			t.Errorf("%q: %v, want %v", fault, got, want)
		}
		if got := Skew(""); got != 0 {
			t.Errorf("%q, no name: %v", fault, got)
		}
	}
}

// TestWrite_FailsSomeTimeAfterOpening holds when writes of a disk that is to fail begin to fail.
func TestWrite_FailsSomeTimeAfterOpening(t *testing.T) {
	t.Cleanup(func() { Set("") })
	long := time.Now().Add(-time.Hour)
	for _, c := range []struct {
		fault  string
		opened time.Time
		want   string
	}{
		{"", long, "<nil>"},
		{NoLease, long, "<nil>"},
		{DiskFails, time.Now(), "<nil>"},
		{DiskFails, long, "the group's disk: no space left on device"},
		{DiskStalls, time.Now(), "<nil>"},
	} {
		Set(c.fault)
		if got := fmt.Sprint(Write(c.opened)); got != c.want {
			t.Errorf("%q: %s, want %s", c.fault, got, c.want)
		}
	}
}
