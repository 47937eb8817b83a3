//go:build !lean

package failpoint

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"birchfork/internal/goldentest"
)

// TestGolden_Names checks the names of the failpoints, which scenarios and flags use.
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

// TestEnabled_OnlyTheOneSet checks that at most one failpoint is enabled at a time, and none by default.
func TestEnabled_OnlyTheOneSet(t *testing.T) {
	t.Cleanup(func() { Set("") })
	for _, set := range Names {
		if Enabled(set) {
			t.Errorf("%s is enabled before it is set", set)
		}
		Set(set)
		for _, name := range Names {
			if Enabled(name) != (name == set) {
				t.Errorf("with %s set: Enabled(%s) is %t", set, name, Enabled(name))
			}
		}
		Set("")
	}
}

// TestClockOffset_ByNamesLastDigit checks that the offset is two hours times the name's last digit, under the failpoints that skew
// clocks, and else 0.
func TestClockOffset_ByNamesLastDigit(t *testing.T) {
	t.Cleanup(func() { Set("") })
	for name, want := range map[string]time.Duration{"": 0, SendWithoutLease: 0, ClockSkew: 6 * time.Hour, LastWriteWins: 6 * time.Hour} {
		Set(name)
		if got := ClockOffset("edge-3"); got != want {
			t.Errorf("under %q: offset %v, want %v", name, got, want)
		}
		if got := ClockOffset(""); got != 0 {
			t.Errorf("under %q: offset %v without a name, want 0", name, got)
		}
	}
}

// TestBeforeSyncedWrite_FailsAfterDelay checks that writes fail only under DiskFull, and only after diskFaultDelay.
func TestBeforeSyncedWrite_FailsAfterDelay(t *testing.T) {
	t.Cleanup(func() { Set("") })
	hourEarlier := time.Now().Add(-time.Hour)
	for _, c := range []struct {
		failpoint string
		openedAt  time.Time
		want      string
	}{
		{"", hourEarlier, "<nil>"},
		{SendWithoutLease, hourEarlier, "<nil>"},
		{DiskFull, time.Now(), "<nil>"},
		{DiskFull, hourEarlier, "writing to the group's disk: no space left on device"},
		{DiskStall, time.Now(), "<nil>"},
	} {
		Set(c.failpoint)
		if got := fmt.Sprint(BeforeSyncedWrite(c.openedAt)); got != c.want {
			t.Errorf("under %q: error %s, want %s", c.failpoint, got, c.want)
		}
	}
}
