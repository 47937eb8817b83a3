package simulation

import (
	"testing"
	"time"

	"birchfork/internal/failpoint"
)

// Copies of words with cuts, lost and old disks: all become one, and nothing that was forgotten comes back.
func TestCopies(t *testing.T) {
	for seed := range uint64(20) {
		o := CopiesOptions{Seed: seed, Members: 3 + int(seed%5), Words: 30, Runners: 6, Say: 20 * time.Second, Faults: 10}
		r := PlayCopies(o)
		if len(r.Broken) > 0 {
			t.Errorf("%+v: %v", o, r.Broken)
		}
		if again := PlayCopies(o); again.Digest != r.Digest || again.Messages != r.Messages {
			t.Errorf("%+v: another history with the same seed", o)
		}
	}
}

// Where what was seen to go is taken again, copies do not become one, or have what all had forgotten.
func TestCopiesThatForgetNothing(t *testing.T) {
	failpoint.Set(failpoint.ResurrectEntries)
	defer failpoint.Set("")
	for seed := range uint64(60) {
		if r := PlayCopies(CopiesOptions{Seed: seed, Members: 3, Words: 30, Runners: 6, Say: 20 * time.Second, Faults: 10}); len(r.Broken) > 0 {
			t.Log(r.Broken)
			return
		}
	}
	t.Error("not seen in 60 histories")
}

// A word reaches three hundred members, and a member without any takes 10,000, within the bounds.
func TestCopiesOfMany(t *testing.T) {
	if r := PlayCopies(CopiesOptions{Seed: 1, Members: 300, Words: 1}); len(r.Broken) > 0 || r.One > 10*time.Second {
		t.Errorf("%+v", r)
	}
	if r := PlayCopies(CopiesOptions{Seed: 1, Members: 3, Words: 10_000}); len(r.Broken) > 0 || r.One > 10*time.Second {
		t.Errorf("%+v", r)
	}
}
