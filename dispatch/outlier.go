package dispatch

const (
	// outlierMargin is the amount by which a worker's failure rate may exceed twice the fleet's before the
	// worker is ejected.
	outlierMargin = 0.25

	// The interval between probes of a worker that is ejected or unresponsive doubles from minProbeInterval
	// up to maxProbeInterval.
	minProbeInterval = 250 * Millisecond
	maxProbeInterval = 4 * Second

	// outlierReportInterval is the time after a report during which further reports about a worker that has
	// since succeeded here are ignored: it may fail for one dispatcher only.
	outlierReportInterval = 10 * Second
)

// recordOutcome records a success (0) or a failure (1). It ejects a worker whose failure rate is far above
// the fleet's, and ends the ejection once the rate has dropped.
func (d *Dispatcher) recordOutcome(w *worker, failure float64) {
	w.outcomeCount++
	w.failureRate += (failure - w.failureRate) * max(fastEWMAWeight, 1/(w.outcomeCount+1))
	d.failureRate += (failure - d.failureRate) * slowEWMAWeight
	isOutlier := w.failureRate > 2*d.failureRate+outlierMargin
	mayEject := w.ejected || d.ejectedCount < d.maxEjected()
	eject := isOutlier && mayEject
	if eject && !w.ejected {
		d.ejectedCount++
		d.scheduleProbe(w)
	} else if !eject && w.ejected {
		d.ejectedCount--
	}
	w.ejected = eject
}

// maxEjected returns the maximum number of ejected workers, a third of those that are ready: if more fail,
// the workers are not the cause.
func (d *Dispatcher) maxEjected() int { return len(d.ready) / 3 }

// handleOutlierReport ejects a worker that fails for another dispatcher. The worker receives single requests
// that may be retried, as probes, until one succeeds here. Observations of this dispatcher take precedence.
func (d *Dispatcher) handleOutlierReport(event *Event) {
	if event.Worker < 0 {
		return
	}
	w := d.findOrAddWorker(event.Worker)
	wasReported := w.outlierReportedAt > 0 && d.now-w.outlierReportedAt < outlierReportInterval
	if w.unresponsive || w.ejected || wasReported {
		return
	}
	if !w.isReady() || d.ejectedCount >= d.maxEjected() {
		return
	}
	w.outlierReportedAt, w.ejected = d.now, true
	w.failureRate, w.outcomeCount = 2*outlierMargin, 0 // so that one success ends the ejection
	d.ejectedCount++
	d.scheduleProbe(w)
	d.resampleOrphaned()
}

// markUnresponsive limits a worker to single probes until it sends a signal.
func (d *Dispatcher) markUnresponsive(w *worker) {
	if !w.unresponsive {
		w.unresponsive = true
		d.scheduleProbe(w)
	}
}

// scheduleProbe sets the time of the next probe of a worker that is ejected or unresponsive.
func (d *Dispatcher) scheduleProbe(w *worker) {
	w.probeInterval = min(max(2*w.probeInterval, minProbeInterval), maxProbeInterval)
	w.nextProbeAt = d.now + w.probeInterval
}

// awaitsProbe reports whether a worker receives no request until its next probe.
func (d *Dispatcher) awaitsProbe(w *worker) bool {
	return (w.ejected || w.unresponsive) && d.now < w.nextProbeAt
}
