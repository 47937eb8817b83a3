package dispatch

const (
	initialPollBackoff = 200 * Millisecond // before a lost endpoint list is asked for again; doubles
	pollsPerInterval   = 3                 // at least, within Settings.MaxPollInterval without an answer
)

// handleEndpoints takes the endpoint list over, gives requests that are queued at workers that are leaving
// another candidate, and sees to the watch. Guards against late events that would bring a draining worker
// back.
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

// handleWatchLost keeps the last endpoint list and asks again, less and less often but in time for rule
// three.
func (d *Dispatcher) handleWatchLost() {
	d.nextPollAt = min(d.nextPollAt, d.now+d.pollBackoff)
	d.pollBackoff = min(2*d.pollBackoff, d.settings.MaxPollInterval/pollsPerInterval)
}

// watchEndpoints asks for the endpoint list. The answer may get lost, so it is asked for again.
func (d *Dispatcher) watchEndpoints() {
	d.nextPollAt = d.now + d.settings.MaxPollInterval/pollsPerInterval
	d.emit(Action{Kind: WatchEndpoints})
}

// handleOverride takes an operator's call that disables or enables a worker: a fact beside the endpoint list,
// which no list undoes.
func (d *Dispatcher) handleOverride(event *Event) {
	if event.Worker < 0 {
		return
	}
	w := d.findOrAddWorker(event.Worker)
	disable := event.Kind == WorkerDisabled
	if !disable {
		w.enabledAt = max(w.enabledAt, d.now-max(event.Elapsed, 0))
		if !w.disabled { // another process of this dispatcher had it disabled, since when is unknown
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

// resampleOrphaned gives requests that are queued at workers that are not ready another candidate.
func (d *Dispatcher) resampleOrphaned() {
	for _, r := range d.takeOrphaned() {
		d.sampleCandidates(r, 1)
	}
}
