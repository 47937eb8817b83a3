package dispatch

// maxRingScan is the maximum number of points of the consistent-hash ring that are checked for a ready worker
// that has warmed up.
const maxRingScan = 64

// sampleWorker returns a random worker of a non-empty list. If a request needs data that workers cache, the
// hash of the affinity key replaces the random source: all dispatchers sample the same workers for a key, in
// the same order. A worker that is warming up is sampled uniformly, since the hash would select it for all
// requests with its keys.
func (d *Dispatcher) sampleWorker(r *request, workers []*worker) *worker {
	w := workers[d.rng.IntN(len(workers))]
	if r.affinityKey == 0 || d.isWarmingUp(w) {
		return w
	}
	if affine := d.nextAffinityWorker(r); affine != nil {
		return affine
	}
	return w
}

// nextAffinityWorker returns the worker at the next hash of a request's affinity key, nil if none was found
// within maxRingScan points.
func (d *Dispatcher) nextAffinityWorker(r *request) *worker {
	r.keySamples++
	start := d.ringIndex(uint32(splitmix64(r.affinityKey + r.keySamples<<56)))
	for i := range min(maxRingScan, len(d.ring)) {
		point := &d.ring[(start+i)%len(d.ring)]
		if w := d.workers[point.worker]; w.isReady() && !d.isWarmingUp(w) {
			return w
		}
	}
	return nil
}
