//go:build lean

package failpoint

import (
	"testing"
	"time"
)

// TestLean_HasNoFault holds that a lean build has no fault to switch on.
func TestLean_HasNoFault(t *testing.T) {
	for _, name := range []string{NoLease, ClocksApart, DiskFails, "no-lease", ""} {
		if On(name) {
			t.Errorf("%q is on", name)
		}
	}
	if Skew("edge-3") != 0 {
		t.Error("a clock is off")
	}
	if err := Write(time.Now().Add(-time.Hour)); err != nil {
		t.Error(err)
	}
}
