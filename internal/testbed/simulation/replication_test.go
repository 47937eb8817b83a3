package simulation

import (
	"testing"
	"time"

	"birchfork/internal/failpoint"
)

// Copies of words with cuts, lost and old disks: all become one, and nothing that was forgotten comes back.
func TestReplication_Converges(t *testing.T) {
	for seed := range uint64(20) {
		o := ReplicationOptions{Seed: seed, Members: 3 + int(seed%5), Overrides: 30, Workers: 6, WriteFor: 20 * time.Second, Faults: 10}
		r := SimulateReplication(o)
		if len(r.Broken) > 0 {
			t.Errorf("%+v: %v", o, r.Broken)
		}
		if again := SimulateReplication(o); again.Digest != r.Digest || again.Messages != r.Messages {
			t.Errorf("%+v: another history with the same seed", o)
		}
	}
}

// Where what was seen to go is taken again, copies do not become one, or have what all had forgotten.
func TestReplication_CatchesResurrection(t *testing.T) {
	failpoint.Set(failpoint.ResurrectEntries)
	defer failpoint.Set("")
	for seed := range uint64(60) {
		if r := SimulateReplication(ReplicationOptions{Seed: seed, Members: 3, Overrides: 30, Workers: 6, WriteFor: 20 * time.Second, Faults: 10}); len(r.Broken) > 0 {
			t.Log(r.Broken)
			return
		}
	}
	t.Error("not seen in 60 histories")
}

// A word reaches three hundred members, and a member without any takes 10,000, within the bounds.
func TestReplication_LargeGroups(t *testing.T) {
	if r := SimulateReplication(ReplicationOptions{Seed: 1, Members: 300, Overrides: 1}); len(r.Broken) > 0 || r.ConvergedAfter > 10*time.Second {
		t.Errorf("%+v", r)
	}
	if r := SimulateReplication(ReplicationOptions{Seed: 1, Members: 3, Overrides: 10_000}); len(r.Broken) > 0 || r.ConvergedAfter > 10*time.Second {
		t.Errorf("%+v", r)
	}
}
