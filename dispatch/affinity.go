package dispatch

// maxRingScan is how many points of the consistent-hash ring are looked at for a worker that is ready and has
// warmed up.
const maxRingScan = 64

// sampleWorker returns a random one of some ready workers. Where requests need data that workers cache, the
// hash of the affinity key takes the place of the random source: all dispatchers sample the same workers for
// a key, in the same order. One that is warming up is sampled evenly, as a hash would bring it all requests
// of its keys.
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

// nextAffinityWorker returns the worker at the next hash of a request's affinity key, nil where none is near.
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
