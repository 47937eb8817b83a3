package dispatch

const (
	initialPollBackoff = 200 * Millisecond // before the first poll after a lost watch; doubles
	pollsPerInterval   = 3                 // minimum number per Settings.MaxPollInterval without an answer
)

// handleEndpoints applies the endpoint list, samples another candidate for each request that is queued at a
// worker that is no longer ready, and restores the watch if needed. Outdated events are ignored: they
// would mark a draining worker as ready.
func (d *Dispatcher) handleEndpoints(event *Event) {
	if event.Version < d.endpointVersion {
		return
	}
	d.applyEndpoints(event)
	d.pollBackoff, d.nextPollAt = initialPollBackoff, never
	if d.settings.EndpointsOnRequest && event.Stale {
		d.watchEndpoints()
	}
	d.resampleOrphaned()
}

// handleWatchLost keeps the last endpoint list and schedules a poll. The backoff has an upper bound, so that
// rule three holds.
func (d *Dispatcher) handleWatchLost() {
	d.nextPollAt = min(d.nextPollAt, d.now+d.pollBackoff)
	d.pollBackoff = min(2*d.pollBackoff, d.settings.MaxPollInterval/pollsPerInterval)
}

// watchEndpoints requests the endpoint list. The request is repeated, since the answer may be lost.
func (d *Dispatcher) watchEndpoints() {
	d.nextPollAt = d.now + d.settings.MaxPollInterval/pollsPerInterval
	d.emit(Action{Kind: WatchEndpoints})
}

// handleOverride disables or enables a worker for an operator or the group. The override is independent of
// the endpoint list, and no list changes it.
func (d *Dispatcher) handleOverride(event *Event) {
	if event.Worker < 0 {
		return
	}
	w := d.findOrAddWorker(event.Worker)
	disable := event.Kind == WorkerDisabled
	if !disable {
		w.enabledAt = max(w.enabledAt, d.now-max(event.Elapsed, 0))
		if !w.disabled { // disabled through another process of this dispatcher, at an unknown time
			w.disabledAt = w.enabledAt
		}
	}
	if w.disabled == disable {
		return
	}
	w.disabled = disable
	if disable {
		w.disabledAt = d.now
	} else {
		d.readmit(w)
		d.scheduleFirstRequest(w)
	}
	d.recomputeReady()
	d.clearFirstRequest(nil)
	d.resampleOrphaned()
}

// resampleOrphaned samples another candidate for requests that are queued at workers that are not ready.
func (d *Dispatcher) resampleOrphaned() {
	for _, r := range d.takeOrphaned() {
		d.sampleCandidates(r, 1)
	}
}
