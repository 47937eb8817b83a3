package dispatch

// findOrAddWorker returns the worker with an id. A worker that has not been listed yet is added as Gone.
func (d *Dispatcher) findOrAddWorker(id WorkerID) *worker {
	for int(id) >= len(d.workers) {
		d.workers = append(d.workers, nil)
	}
	if d.workers[id] == nil {
		d.workers[id] = &worker{Worker: Worker{ID: id, State: Gone}, kind: &d.kinds[len(d.kinds)-1]}
	}
	return d.workers[id]
}

// zoneOf returns the state of a worker's zone.
func (d *Dispatcher) zoneOf(w *worker) *zoneState {
	if w.Zone >= 0 && w.Zone < d.settings.ZoneCount {
		return &d.zones[w.Zone]
	}
	return &d.zones[d.settings.ZoneCount]
}

// applyEndpoints applies a complete endpoint list or changes of it.
func (d *Dispatcher) applyEndpoints(event *Event) {
	d.endpointVersion = event.Version
	if event.Kind == EndpointSnapshot {
		for _, w := range d.workers {
			if w != nil {
				w.listed = false
			}
		}
	}
	for i := range event.Workers {
		d.applyEndpoint(&event.Workers[i])
	}
	d.recomputeReady()
}

// applyEndpoint applies one entry. A new or restarted worker is readmitted.
func (d *Dispatcher) applyEndpoint(entry *Worker) {
	w := d.findOrAddWorker(entry.ID)
	if !w.everListed {
		w.everListed, w.Kind = true, entry.Kind
		d.linkWorker(w)
		d.workersByTag[entry.Tag] = w
		d.readmit(w)
	} else if entry.StartedAt > w.lastStart() {
		d.readmit(w)
	}
	w.Worker, w.listed = *entry, entry.State != Gone
	d.linkWorker(w)
}

// linkWorker links a worker to the state of its kind, and adds it to the consistent-hash ring if the settings
// use one.
func (d *Dispatcher) linkWorker(w *worker) {
	w.kind = &d.kinds[len(d.kinds)-1]
	if w.everListed && w.Kind >= 0 && w.Kind < d.settings.KindCount {
		w.kind = &d.kinds[w.Kind]
	}
	if w.listed && !w.onRing && d.settings.PriceFetch > 0 {
		w.onRing = true
		d.ringAdditions = append(d.ringAdditions, w)
	}
}

// readmit resets the statistics of a worker that is new, has restarted or was enabled.
func (d *Dispatcher) readmit(w *worker) {
	w.readmittedAt = d.now
	w.capacity, w.capacityReducedAt = d.meanCapacity, d.now
	w.failureRate, w.outcomeCount, w.ejected = 0, 0, false
	w.warmingSends = recentCount{}
	w.markResponsive()
}

// recomputeReady recomputes the list of ready workers and the values derived from it.
func (d *Dispatcher) recomputeReady() {
	d.ready, d.readyInZone = d.ready[:0], d.readyInZone[:0]
	d.meanListedWeight, d.ejectedCount, d.allWarmedUpAt = 0, 0, 0
	for _, w := range d.workers {
		if w == nil || !w.isReady() {
			continue
		}
		d.ready = append(d.ready, w)
		d.meanListedWeight += w.Weight
		if w.lastStart() > 0 {
			d.allWarmedUpAt = max(d.allWarmedUpAt, w.lastStart()+d.settings.SlowStartWindow)
		}
		if w.ejected {
			d.ejectedCount++
		}
		if w.Zone == d.settings.Zone {
			d.readyInZone = append(d.readyInZone, w)
		}
	}
	d.meanListedWeight /= float64(max(1, len(d.ready)))
	d.capacityWeightsExpiry = d.now
	for _, w := range d.ready {
		if w.readmittedAt == d.now { // during this event, before the mean size was known
			w.capacity = d.meanCapacity * d.relativeSize(w)
		}
	}
}
