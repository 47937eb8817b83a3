package replication

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestReplicas_Converge verifies that after a random history and a complete exchange all replicas are equal and hold the entries that no
// other entry replaces. In a history, entries are written, transferred in chunks, duplicated, delayed, lost with a disk, restored from an
// outdated disk and dropped as garbage.
func TestReplicas_Converge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(2, 5).Draw(t, "replicas")
		c := newCluster(t, size)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c.drawStep()
		}
		c.exchangeAll()
		for i, replica := range c.replicas {
			first := c.replicas[0]
			if replica.Digest() != first.Digest() || replica.Version().Digest() != first.Version().Digest() {
				t.Fatalf("replica %d holds %v, replica 0 holds %v", i, c.overrides(replica), c.overrides(first))
			}
		}
		for _, name := range []string{"a", "b", "c"} {
			// Overrides that a replica has dropped as garbage are ignored: a replica that has lost its disk may pull them again.
			want, got := c.latestUncollected(name), c.withoutCollected(c.replicas[0].Get(KindOverride, name))
			if !slices.Equal(dotsOf(got), dotsOf(want)) {
				t.Fatalf("entries of %s: %v, want %v", name, got, want)
			}
		}
	})
}

// drawStep makes one random step of a history.
func (c *cluster) drawStep() {
	replica := rapid.IntRange(0, len(c.replicas)-1)
	i, j := replica.Draw(c.t, "i"), replica.Draw(c.t, "j")
	switch rapid.IntRange(0, 10).Draw(c.t, "step") {
	case 0, 1, 2:
		name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(c.t, "name")
		c.write(i, name, rapid.Bool().Draw(c.t, "disabled"))
	case 3, 4, 5:
		if i != j {
			c.transferChunk(i, j, 1, rapid.Bool().Draw(c.t, "twice"))
		}
	case 6:
		c.store(i)
	case 7:
		if !c.holdsOnlyCopy(i) {
			c.restarted = true
			c.start(i)
		}
	case 8:
		c.collectGarbage(i)
		c.repair(i, j)
	case 9:
		c.requestDelayed(i, j)
	case 10:
		if len(c.delayed) > 0 {
			k := rapid.IntRange(0, len(c.delayed)-1).Draw(c.t, "delayed")
			c.delayed[k]()
			c.delayed = slices.Delete(c.delayed, k, k+1)
		}
	}
}
