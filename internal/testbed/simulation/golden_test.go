package simulation

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// The golden file and the numbers of histories in it.
const (
	goldenDigests              = "testdata/golden/digests.txt"
	goldenHistories            = 200
	goldenReplicationHistories = 20
)

// TestSimulate_MatchesGoldenDigests verifies by digests that the same seeds give the same histories as in earlier builds: 200 of Simulate
// and 20 of SimulateReplication. With the race detector, which slows them down tenfold, it simulates only every fifth history.
// UPDATE_GOLDEN=1 writes the file, in a build without the race detector.
func TestSimulate_MatchesGoldenDigests(t *testing.T) {
	lines := simulateGoldenHistories()
	if os.Getenv("UPDATE_GOLDEN") != "" {
		text := strings.Join(lines, "\n") + "\n"
		if err := os.WriteFile(goldenDigests, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(goldenDigests)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(string(golden), "\n")
	if len(want) != len(lines)+1 {
		t.Fatalf("%d golden digests, want %d", len(want)-1, len(lines))
	}
	for i := 0; i < len(lines); i += digestStep {
		if lines[i] != want[i] {
			t.Errorf("the history differs from earlier builds: got %q, want %q", lines[i], want[i])
		}
	}
}

// simulateGoldenHistories returns the lines of the golden file. The lines of histories that digestStep skips are empty.
func simulateGoldenHistories() []string {
	lines := make([]string, goldenHistories+goldenReplicationHistories)
	var group sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := 0; i < len(lines); i += digestStep {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if i < goldenHistories {
				lines[i] = simulateGolden(uint64(i))
			} else {
				lines[i] = simulateGoldenReplication(uint64(i-goldenHistories), 3+i%5)
			}
		})
	}
	group.Wait()
	return lines
}

func simulateGolden(seed uint64) string {
	result, err := Simulate(Options{Seed: seed, Members: 3, Voters: 3, Ticks: 700})
	if err != nil {
		return err.Error()
	}
	return fmt.Sprintf("cores %d %016x %d %d", seed, result.Digest, result.MachinesDone, len(result.Violations))
}

func simulateGoldenReplication(seed uint64, members int) string {
	result := SimulateReplication(ReplicationOptions{
		Seed: seed, Members: members, Overrides: 30, Workers: 6, WriteFor: 20 * time.Second, Faults: 10,
	})
	return fmt.Sprintf("replicas %d %016x %d", seed, result.Digest, result.Messages)
}
