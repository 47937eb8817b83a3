//go:build !lean

package failpoint

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"birchfork/internal/goldentest"
)

// TestGolden_Names checks the names of faults and conditions, which scenarios and flags have as strings.
func TestGolden_Names(t *testing.T) {
	var b bytes.Buffer
	fmt.Fprintln(&b, "faults of the program, in this order:")
	for _, name := range Names {
		fmt.Fprintln(&b, name)
	}
	fmt.Fprintln(&b, "conditions:")
	for _, name := range []string{ClockSkew, OlderBuild, NewerEntries, DiskFull, DiskStall} {
		fmt.Fprintln(&b, name)
	}
	goldentest.Check(t, "names.txt", b.Bytes())
}

// TestEnabled_OnlyTheOneSet checks that one fault at a time is enabled, and none by default.
func TestEnabled_OnlyTheOneSet(t *testing.T) {
	t.Cleanup(func() { Set("") })
	for _, set := range Names {
		if Enabled(set) {
			t.Errorf("%s is on before it is set", set)
		}
		Set(set)
		for _, name := range Names {
			if Enabled(name) != (name == set) {
				t.Errorf("with %s set: %s is %t", set, name, Enabled(name))
			}
		}
		Set("")
	}
}

// TestClockOffset_ByNamesLastDigit checks for two hours per unit of the digit, and only under the faults that skew clocks.
func TestClockOffset_ByNamesLastDigit(t *testing.T) {
	t.Cleanup(func() { Set("") })
	for fault, want := range map[string]time.Duration{"": 0, SendWithoutLease: 0, ClockSkew: 6 * time.Hour, LastWriteWins: 6 * time.Hour} {
		Set(fault)
		if got := ClockOffset("edge-3"); got != want {
			t.Errorf("%q: %v, want %v", fault, got, want)
		}
		if got := ClockOffset(""); got != 0 {
			t.Errorf("%q, no name: %v", fault, got)
		}
	}
}

// TestBeforeSyncedWrite_FailsAfterDelay checks from when on writes fail under DiskFull.
func TestBeforeSyncedWrite_FailsAfterDelay(t *testing.T) {
	t.Cleanup(func() { Set("") })
	long := time.Now().Add(-time.Hour)
	for _, c := range []struct {
		fault  string
		opened time.Time
		want   string
	}{
		{"", long, "<nil>"},
		{SendWithoutLease, long, "<nil>"},
		{DiskFull, time.Now(), "<nil>"},
		{DiskFull, long, "the group's disk: no space left on device"},
		{DiskStall, time.Now(), "<nil>"},
	} {
		Set(c.fault)
		if got := fmt.Sprint(BeforeSyncedWrite(c.opened)); got != c.want {
			t.Errorf("%q: %s, want %s", c.fault, got, c.want)
		}
	}
}
