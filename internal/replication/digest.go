package replication

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"birchfork/internal/failpoint"
)

// bucketCount is the number of buckets. Entries are assigned to buckets by key, so that digests locate differences between replicas.
const bucketCount = 64

// Digest returns a hash of the entries. Replicas with the same entries have the same digest.
func (r *Replica) Digest() uint64 {
	raw := make([]byte, 0, 8*bucketCount)
	for _, digest := range r.bucketDigests {
		raw = binary.BigEndian.AppendUint64(raw, digest)
	}
	return xxhash.Sum64(raw)
}

// BucketDigests returns a hash of the entries of each bucket.
func (r *Replica) BucketDigests() []uint64 { return slices.Clone(r.bucketDigests[:]) }

// DifferingBuckets returns the buckets whose digests differ from another replica's.
func (r *Replica) DifferingBuckets(digests []uint64) (buckets []int) {
	for i, digest := range r.bucketDigests {
		if i >= len(digests) || digests[i] != digest {
			buckets = append(buckets, i)
		}
	}
	return buckets
}

// DotsInBuckets returns the dots of the entries in the given buckets, in no particular order.
func (r *Replica) DotsInBuckets(buckets []int) (dots []Dot) {
	for key, entries := range r.entries {
		if !slices.Contains(buckets, key.bucket()) {
			continue
		}
		for _, entry := range entries {
			dots = append(dots, entry.Dot)
		}
	}
	return dots
}

// Removed returns those of the given dots that the replica has seen but does not hold: their entries were replaced or dropped.
func (r *Replica) Removed(dots []Dot) (removed []Dot) {
	if failpoint.Enabled(failpoint.ResurrectEntries) {
		return nil
	}
	for _, dot := range dots {
		if r.version.Contains(dot) && r.find(dot) == nil {
			removed = append(removed, dot)
		}
	}
	return removed
}

// Discard drops entries that another replica has replaced or dropped, and returns the keys whose entries have changed. It removes entries
// that a replica has restored from an outdated disk. The version vector still contains them.
func (r *Replica) Discard(removed []Dot) (changed []Key) {
	for _, dot := range removed {
		if entry := r.find(dot); entry != nil {
			r.remove(entry)
			changed = append(changed, entry.key())
		}
	}
	return changed
}
