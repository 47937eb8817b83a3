package dispatch

import (
	"cmp"
	"slices"
)

// pointsPerWorker is high enough that the workers' shares of the ring are about equal.
const pointsPerWorker = 16

// ringPoint is a point of a worker on the consistent-hash ring. The points are the same at every dispatcher.
type ringPoint struct {
	position uint32
	worker   WorkerID
}

func (p ringPoint) compare(other ringPoint) int {
	return cmp.Or(cmp.Compare(p.position, other.position), cmp.Compare(p.worker, other.worker))
}

// ringIndex returns the index of the first point at or after a position. The ring is updated only here and
// only if there are new workers: a dispatcher whose requests have no affinity keys has no ring, and changes
// of the endpoint list need no sorting.
func (d *Dispatcher) ringIndex(position uint32) int {
	if len(d.ringAdditions) > 0 {
		d.updateRing()
	}
	i, _ := slices.BinarySearchFunc(d.ring, position, func(p ringPoint, position uint32) int {
		return cmp.Compare(p.position, position)
	})
	return i
}

// updateRing adds the points of new workers and removes the points of workers that have left the endpoint
// list. Guards against a ring in which most workers are unlisted, so that no ready worker is found for a key.
func (d *Dispatcher) updateRing() {
	additions := make([]ringPoint, 0, len(d.ringAdditions)*pointsPerWorker)
	for _, w := range d.ringAdditions {
		for i := range pointsPerWorker {
			position := uint32(splitmix64(w.Tag + uint64(i)<<32))
			additions = append(additions, ringPoint{position, w.ID})
		}
	}
	slices.SortFunc(additions, ringPoint.compare)
	d.ringAdditions = d.ringAdditions[:0]
	kept := slices.DeleteFunc(d.ring, func(p ringPoint) bool {
		w := d.workers[p.worker]
		w.onRing = w.onRing && w.listed
		return !w.onRing
	})
	d.ring = mergePoints(kept, additions)
}

// mergePoints merges two sorted lists of points.
func mergePoints(a, b []ringPoint) []ringPoint {
	merged := make([]ringPoint, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if b[0].compare(a[0]) < 0 {
			merged = append(merged, b[0])
			b = b[1:]
		} else {
			merged = append(merged, a[0])
			a = a[1:]
		}
	}
	return append(append(merged, a...), b...)
}

// splitmix64 maps numbers to uniformly distributed ones (the finalizer of the SplitMix64 generator).
func splitmix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
