package replication

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Dot identifies an entry: it is the Counter-th that an incarnation of a replica has written. An incarnation is chosen at random
// whenever a replica is created, and no two replicas share one.
type Dot struct {
	Incarnation string `json:"life"`
	Counter     uint64 `json:"count"` // from 1 on
}

func (d Dot) digest() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(d.Incarnation), d.Counter))
}

// VersionVector has, by incarnation, the counter up to which entries have been seen.
type VersionVector map[string]uint64

// Contains reports whether an entry has been seen.
func (v VersionVector) Contains(dot Dot) bool { return v[dot.Incarnation] >= dot.Counter }

// Covers reports whether v contains all entries that the other contains.
func (v VersionVector) Covers(other VersionVector) bool {
	for incarnation, counter := range other {
		if v[incarnation] < counter {
			return false
		}
	}
	return true
}

// Total returns how many entries have been seen.
func (v VersionVector) Total() int {
	total := uint64(0)
	for _, counter := range v {
		total += counter
	}
	return int(total)
}

// Digest returns a hash, the same for equal vectors.
func (v VersionVector) Digest() uint64 {
	digest := uint64(0)
	for incarnation, counter := range v {
		digest ^= Dot{Incarnation: incarnation, Counter: counter}.digest() // XOR, so that the order of the map does not matter
	}
	return digest
}

// merge adds the entries that the other contains.
func (v VersionVector) merge(other VersionVector) {
	for incarnation, counter := range other {
		v[incarnation] = max(v[incarnation], counter)
	}
}

// add adds one entry and all before it.
func (v VersionVector) add(dot Dot) {
	v[dot.Incarnation] = max(v[dot.Incarnation], dot.Counter)
}
