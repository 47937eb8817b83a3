//go:build !lean

package replication

import (
	"encoding/json"
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// history executes random operations on a set of replicas.
type history struct {
	t            *testing.T
	random       *rand.Rand
	replicas     []*Replica
	pulls        map[[2]int]*PullProgress // by reader and sender
	disks        []Chunk
	incarnations int
	digest       hash.Hash64 // of all results
}

// newHistory returns a history with four empty replicas.
func newHistory(t *testing.T, seed uint64) *history {
	t.Helper()
	h := &history{
		t: t, random: rand.New(rand.NewPCG(seed, 77)), replicas: make([]*Replica, 4), pulls: map[[2]int]*PullProgress{},
		disks: make([]Chunk, 4), digest: fnv.New64a(),
	}
	for i := range h.replicas {
		h.start(i)
	}
	return h
}

// start starts a replica with the contents of its disk.
func (h *history) start(i int) {
	h.incarnations++
	h.replicas[i] = New(fmt.Sprint("life-", h.incarnations))
	if err := h.replicas[i].Restore(h.disks[i].Version, h.disks[i].Entries); err != nil {
		h.t.Fatal(err)
	}
	for j := range h.replicas {
		delete(h.pulls, [2]int{i, j})
	}
}

// addToDigest adds a value to the digest.
func (h *history) addToDigest(value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		h.t.Fatal(err)
	}
	fmt.Fprintf(h.digest, "%s\n", raw)
}

// step executes one random operation and adds its results to the digest.
func (h *history) step() {
	i := h.random.IntN(len(h.replicas))
	j := (i + 1 + h.random.IntN(len(h.replicas)-1)) % len(h.replicas)
	replica, other := h.replicas[i], h.replicas[j]
	switch h.random.IntN(12) {
	case 0, 1, 2:
		h.write(i)
	case 3, 4, 5, 6:
		h.pull(i, j)
	case 7:
		dots := replica.DotsInBuckets(replica.DifferingBuckets(other.BucketDigests()))
		sortDots(dots)
		removed := other.Removed(dots)
		h.addToDigest(dots)
		h.addToDigest(removed)
		if replica.Version().Digest() == other.Version().Digest() {
			h.addToDigest(replica.Discard(removed))
		}
	case 8:
		var members []VersionVector
		for k, member := range h.replicas {
			if k != i {
				members = append(members, member.Version())
			}
		}
		h.addToDigest(replica.CollectGarbage(members))
	case 9:
		h.disks[i] = replica.NextChunk(nil, Cursor{}, 1000)
	case 10:
		h.start(i)
	case 11:
		changed, err := replica.Merge(&PullProgress{}, other.NextChunk(replica.Version(), Cursor{}, 1000))
		h.addToDigest(changed)
		h.addToDigest(err != nil)
	}
	h.addReplicaToDigest(h.replicas[i])
}

// write writes a random entry to a replica, usually an override.
func (h *history) write(i int) {
	entry := Entry{
		Kind: KindOverride, Name: fmt.Sprint("r", h.random.IntN(9)), Disabled: h.random.IntN(2) == 0, Member: fmt.Sprint("d", i),
		WrittenAt: h.random.Int64N(1000),
	}
	if h.random.IntN(10) == 0 {
		entry.Kind, entry.Data = "later", []byte(`[1]`)
	}
	written, err := h.replicas[i].Write(entry)
	if err != nil {
		h.t.Fatal(err)
	}
	h.addToDigest(written)
}

// pull transfers one chunk from sender to reader.
func (h *history) pull(reader, sender int) {
	pull := [2]int{reader, sender}
	if h.pulls[pull] == nil {
		h.pulls[pull] = &PullProgress{}
	}
	replica, progress := h.replicas[reader], h.pulls[pull]
	chunk := h.replicas[sender].NextChunk(replica.Version(), progress.Cursor, h.random.IntN(4))
	h.addToDigest(chunk)
	changed, err := replica.Merge(progress, chunk)
	h.addToDigest(changed)
	h.addToDigest(err != nil)
	if err != nil {
		delete(h.pulls, pull)
	}
}

// addReplicaToDigest adds the results of all queries of a replica to the digest.
func (h *history) addReplicaToDigest(replica *Replica) {
	h.addToDigest(replica.Version())
	h.addToDigest(replica.Version().Total())
	h.addToDigest([]uint64{replica.Digest(), replica.Version().Digest(), uint64(replica.Len())})
	for _, kind := range []EntryKind{KindOverride, "later"} {
		h.addToDigest(replica.Names(kind))
		for _, name := range replica.Names(kind) {
			entries := replica.Get(kind, name)
			h.addToDigest(entries)
			h.addToDigest([]bool{IsDisabled(entries), InConflict(entries)})
		}
	}
	h.addToDigest([]bool{replica.Version().Covers(h.replicas[0].Version()), h.replicas[0].Version().Covers(replica.Version())})
}
