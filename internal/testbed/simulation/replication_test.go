package simulation

import (
	"testing"
	"time"

	"birchfork/internal/failpoint"
)

// TestReplication_Converges verifies that replicas become equal after partitions, lost disks and outdated disks, that no forgotten override
// reappears, and that the same seed gives the same history.
func TestReplication_Converges(t *testing.T) {
	for seed := range uint64(20) {
		options := ReplicationOptions{Seed: seed, Members: 3 + int(seed%5), Overrides: 30, Workers: 6, WriteFor: 20 * time.Second, Faults: 10}
		result := SimulateReplication(options)
		if len(result.Violations) > 0 {
			t.Errorf("%+v: violations %v, want none", options, result.Violations)
		}
		if again := SimulateReplication(options); again.Digest != result.Digest || again.Messages != result.Messages {
			t.Errorf("%+v: the same seed gave another history", options)
		}
	}
}

// TestReplication_CatchesResurrection verifies that the checks find a violation if replicas accept entries that they have seen removed.
func TestReplication_CatchesResurrection(t *testing.T) {
	failpoint.Set(failpoint.ResurrectEntries)
	defer failpoint.Set("")
	for seed := range uint64(60) {
		options := ReplicationOptions{Seed: seed, Members: 3, Overrides: 30, Workers: 6, WriteFor: 20 * time.Second, Faults: 10}
		if result := SimulateReplication(options); len(result.Violations) > 0 {
			t.Log(result.Violations)
			return
		}
	}
	t.Error("no violation in 60 histories")
}

// TestReplication_LargeGroups verifies that one override reaches 300 members, and 10,000 overrides reach members without any, within 10 s.
func TestReplication_LargeGroups(t *testing.T) {
	for _, options := range []ReplicationOptions{
		{Seed: 1, Members: 300, Overrides: 1},
		{Seed: 1, Members: 3, Overrides: 10_000},
	} {
		result := SimulateReplication(options)
		if len(result.Violations) > 0 || result.ConvergedAfter > 10*time.Second {
			t.Errorf("%+v: got %+v, want no violations and convergence within 10 s", options, result)
		}
	}
}
