package replication

import (
	"cmp"
	"encoding/json"
	"flag"
	"fmt"
	"slices"

	"pgregory.net/rapid"
)

// The seed is fixed, so that CI runs the same histories each time. -rapid.seed selects others.
func init() {
	if err := flag.Set("rapid.seed", "33"); err != nil {
		panic(err)
	}
}

// disk is the stored state of a replica.
type disk struct {
	version VersionVector
	entries []Entry
}

// cluster is a set of replicas, with all entries that were ever written.
type cluster struct {
	t                *rapid.T
	replicas         []*Replica
	pulls            []map[int]*PullProgress // by reader and sender
	reportedVersions []map[int]VersionVector // by receiver and sender
	disks            []disk
	delayed          []func() // merges of delayed chunks

	written      []Entry
	collected    map[Dot]bool // dots of entries that a replica dropped as garbage
	incarnations int
	restarted    bool // whether any replica was restarted from its disk
}

func newCluster(t *rapid.T, size int) *cluster {
	t.Helper()
	c := &cluster{
		t:                t,
		replicas:         make([]*Replica, size),
		pulls:            make([]map[int]*PullProgress, size),
		reportedVersions: make([]map[int]VersionVector, size),
		disks:            make([]disk, size),
		collected:        map[Dot]bool{},
	}
	for i := range size {
		c.reportedVersions[i] = map[int]VersionVector{}
		c.start(i)
	}
	return c
}

// start starts a replica with the contents of its disk, which may be outdated.
func (c *cluster) start(i int) {
	c.incarnations++
	c.replicas[i] = New(fmt.Sprint("life", c.incarnations))
	c.pulls[i] = map[int]*PullProgress{}
	if err := c.replicas[i].Restore(c.disks[i].version, c.disks[i].entries); err != nil {
		c.t.Fatal(err)
	}
}

// store writes a replica to its disk.
func (c *cluster) store(i int) {
	c.disks[i] = disk{version: c.replicas[i].Version(), entries: c.overrides(c.replicas[i])}
}

func (c *cluster) write(i int, name string, disabled bool) {
	c.t.Helper()
	entry, err := c.replicas[i].Write(Entry{Kind: KindOverride, Name: name, Disabled: disabled})
	if err != nil {
		c.t.Fatal(err)
	}
	c.written = append(c.written, entry)
}

// overrides returns all overrides that a replica holds.
func (c *cluster) overrides(replica *Replica) (entries []Entry) {
	for _, name := range replica.Names(KindOverride) {
		entries = append(entries, replica.Get(KindOverride, name)...)
	}
	return entries
}

// requestDelayed requests a first chunk from sender, which reader merges in a later step.
func (c *cluster) requestDelayed(reader, sender int) {
	chunk := c.replicas[sender].NextChunk(c.replicas[reader].Version(), Cursor{}, 9)
	replica := c.replicas[reader]
	c.delayed = append(c.delayed, func() {
		if replica != c.replicas[reader] {
			return // the reader was restarted in the meantime
		}
		if _, err := replica.Merge(&PullProgress{}, chunk); err != nil {
			c.t.Fatal(err)
		}
	})
}

// transferChunk sends one chunk from sender to reader, once or twice, and reports whether it was the last.
func (c *cluster) transferChunk(reader, sender, maxEntries int, twice bool) (done bool) {
	c.t.Helper()
	progress := c.pulls[reader][sender]
	if progress == nil {
		progress = &PullProgress{}
		c.pulls[reader][sender] = progress
	}
	known := c.replicas[reader].Version()
	c.reportedVersions[sender][reader] = known
	raw, err := json.Marshal(c.replicas[sender].NextChunk(known, progress.Cursor, maxEntries))
	if err != nil {
		c.t.Fatal(err)
	}
	var chunk Chunk
	if err := json.Unmarshal(raw, &chunk); err != nil {
		c.t.Fatal(err)
	}
	if _, err := c.replicas[reader].Merge(progress, chunk); err != nil { // the sender was restarted, so the pull restarts
		*progress = PullProgress{}
		return false
	}
	if twice {
		// The repeated chunk is out of order unless it is the first one of a pull. Both outcomes are correct.
		_, _ = c.replicas[reader].Merge(progress, chunk)
	}
	return chunk.Done
}

// repair drops the entries of replica i that replica j has replaced or dropped, if both have equal version vectors.
func (c *cluster) repair(i, j int) {
	a, b := c.replicas[i], c.replicas[j]
	if a.Version().Digest() == b.Version().Digest() && a.Digest() != b.Digest() {
		a.Discard(b.Removed(a.DotsInBuckets(a.DifferingBuckets(b.BucketDigests()))))
	}
}

// collectGarbage drops the overrides of a replica that all others have reported as seen, and checks that none of them was still needed.
func (c *cluster) collectGarbage(i int) {
	c.t.Helper()
	var members []VersionVector
	for j := range c.replicas {
		if j != i {
			members = append(members, c.reportedVersions[i][j])
		}
	}
	before := c.overrides(c.replicas[i])
	c.replicas[i].CollectGarbage(members)
	for _, entry := range before {
		if c.replicas[i].find(entry.Dot) != nil {
			continue
		}
		if entry.Disabled {
			c.t.Fatalf("an override that disables its worker was dropped: %+v", entry)
		}
		concurrent := c.latestUncollected(entry.Name)
		c.collected[entry.Dot] = true
		inConflict := len(concurrent) > 1 && slices.Contains(dotsOf(concurrent), entry.Dot)
		if !c.restarted && inConflict {
			c.t.Fatalf("one side of a conflict was dropped: %+v", concurrent)
		}
	}
}

// latest returns the entries of a name that no other entry replaces.
func (c *cluster) latest(name string) (entries []Entry) {
	for _, entry := range c.written {
		replaces := func(other Entry) bool { return other.Name == name && other.CausalContext.Contains(entry.Dot) }
		if entry.Name == name && !slices.ContainsFunc(c.written, replaces) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// latestUncollected returns the entries of latest that no replica has dropped as garbage.
func (c *cluster) latestUncollected(name string) []Entry { return c.withoutCollected(c.latest(name)) }

func (c *cluster) withoutCollected(entries []Entry) []Entry {
	return slices.DeleteFunc(entries, func(entry Entry) bool { return c.collected[entry.Dot] })
}

// holdsOnlyCopy reports whether a replica holds one of the latest entries that no other replica holds.
func (c *cluster) holdsOnlyCopy(i int) bool {
	for _, name := range c.replicas[i].Names(KindOverride) {
		for _, entry := range c.latest(name) {
			if c.isOnlyHolder(i, entry.Dot) {
				return true
			}
		}
	}
	return false
}

func (c *cluster) isOnlyHolder(i int, dot Dot) bool {
	for j, replica := range c.replicas {
		hasEntry := replica.find(dot) != nil
		if hasEntry != (j == i) {
			return false
		}
	}
	return true
}

// exchangeAll makes all replicas equal by pulls and repairs between all pairs, three times.
func (c *cluster) exchangeAll() {
	for range 3 {
		for i := range c.replicas {
			for j := range c.replicas {
				c.pullAll(i, j)
			}
		}
		for i := range c.replicas {
			for j := range c.replicas {
				c.repair(i, j)
			}
		}
	}
}

// pullAll transfers all chunks from sender to reader.
func (c *cluster) pullAll(reader, sender int) {
	done := reader == sender
	for !done {
		done = c.transferChunk(reader, sender, 2, false)
	}
}

// dotsOf returns the dots of entries, sorted.
func dotsOf(entries []Entry) []Dot {
	dots := make([]Dot, 0, len(entries))
	for _, entry := range entries {
		dots = append(dots, entry.Dot)
	}
	sortDots(dots)
	return dots
}

func sortDots(dots []Dot) {
	slices.SortFunc(dots, func(a, b Dot) int {
		return cmp.Or(cmp.Compare(a.Incarnation, b.Incarnation), cmp.Compare(a.Counter, b.Counter))
	})
}
