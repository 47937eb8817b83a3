package replication

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Dot identifies an entry by the incarnation of the replica that wrote it and a counter of that incarnation's writes. An incarnation is
// chosen at random whenever a replica is created, and no two replicas share one.
type Dot struct {
	Incarnation string `json:"life"`
	Counter     uint64 `json:"count"` // starts at 1
}

func (d Dot) digest() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(d.Incarnation), d.Counter))
}

// VersionVector has, by incarnation, the highest counter up to which all entries have been seen.
type VersionVector map[string]uint64

// Contains reports whether the entry with the given dot has been seen.
func (v VersionVector) Contains(dot Dot) bool { return v[dot.Incarnation] >= dot.Counter }

// Covers reports whether v contains all entries that other contains.
func (v VersionVector) Covers(other VersionVector) bool {
	for incarnation, counter := range other {
		if v[incarnation] < counter {
			return false
		}
	}
	return true
}

// Total returns the number of entries that have been seen.
func (v VersionVector) Total() int {
	total := uint64(0)
	for _, counter := range v {
		total += counter
	}
	return int(total)
}

// Digest returns a hash of the vector. Equal vectors have the same digest.
func (v VersionVector) Digest() uint64 {
	digest := uint64(0)
	for incarnation, counter := range v {
		digest ^= Dot{Incarnation: incarnation, Counter: counter}.digest() // XOR is independent of the map's order
	}
	return digest
}

// merge adds the entries that other contains.
func (v VersionVector) merge(other VersionVector) {
	for incarnation, counter := range other {
		v[incarnation] = max(v[incarnation], counter)
	}
}

// add adds the entry with the given dot, and all entries of its incarnation before it.
func (v VersionVector) add(dot Dot) {
	v[dot.Incarnation] = max(v[dot.Incarnation], dot.Counter)
}
