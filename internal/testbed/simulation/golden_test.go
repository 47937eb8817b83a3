package simulation

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"
)

// The same seeds give the histories that earlier builds played: 200 of the group's cores and 20 of replicated state, each by its digest.
// With the race detector, which makes them ten times as long, every fifth is played. The file is written where UPDATE_GOLDEN is set, by a
// build without it.
func TestSimulate_KeepsDigests(t *testing.T) {
	const path, cores, replicas = "testdata/golden/digests.txt", 200, 20
	lines := make([]string, cores+replicas)
	var group sync.WaitGroup
	slots := make(chan struct{}, 4)
	for i := 0; i < len(lines); i += digestStep {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			seed := uint64(i)
			if i >= cores {
				r := SimulateReplication(ReplicationOptions{Seed: seed - cores, Members: 3 + i%5, Overrides: 30, Workers: 6, WriteFor: 20 * time.Second, Faults: 10})
				lines[i] = fmt.Sprintf("replicas %d %016x %d", seed-cores, r.Digest, r.Messages)
				return
			}
			r, err := Simulate(Options{Seed: seed, Members: 3, Voters: 3, Ticks: 700})
			if err != nil {
				lines[i] = err.Error()
				return
			}
			lines[i] = fmt.Sprintf("cores %d %016x %d %d", seed, r.Digest, r.Done, len(r.Broken))
		})
	}
	group.Wait()
	text := strings.Join(lines, "\n") + "\n"
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(string(golden), "\n")
	if len(want) != len(lines)+1 {
		t.Fatalf("%d digests are kept, not %d", len(want)-1, len(lines))
	}
	for i := 0; i < len(lines); i += digestStep {
		if lines[i] != want[i] {
			t.Errorf("another history than that of earlier builds: %q, want %q", lines[i], want[i])
		}
	}
}
