package dispatch

// worker is a dispatcher's state of a worker.
type worker struct {
	Worker     // as on the newest endpoint list
	kind       *kindState
	listed     bool // on the newest endpoint list
	everListed bool
	queues     [bandCount]queue // the requests that have it as a candidate

	disabled          bool // by an operator, whatever the endpoint list says
	disabledAt        Time // last time
	enabledAt         Time // last time; 0: never
	readmittedAt      Time // when it was first listed, restarted or enabled last
	firstRequestDue   Time // when it gets a request at the latest, if it was enabled
	outlierReportedAt Time // last, by another dispatcher; 0: never

	slotsInUse   float64 // of this dispatcher's attempts in flight
	slotsRunning float64 // of those that have begun to run

	// The learned concurrency limit, in slots; below 1 where other dispatchers fill the worker.
	capacity          float64
	capacityReducedAt Time
	// The limit by the last load report.
	reportedCapacity       float64
	reportedCapacityExpiry Time

	groupLoad     float64 // slots in use by all dispatchers, as its aggregator reported
	groupLoadAt   Time
	loadQueriedAt Time

	slowdown     float64 // mean ratio of a run's time to its expected work; 1: a standard core
	runCount     float64
	failureRate  float64
	outcomeCount float64

	ejected       bool // as an outlier: it fails far more than its peers
	unresponsive  bool // it gives no signal
	nextProbeAt   Time // of a worker that is ejected or unresponsive
	probeInterval Time

	warmingSends recentCount // requests sent while it was warming up

	onRing bool // has points on the consistent-hash ring, or will have
}

// kindState is what was learned about the workers of one kind, or about all workers.
type kindState struct {
	size         float64 // the most slots known to have run at once
	sizeReported bool    // by a report of free slots
	slowdown     float64 // see worker
	runCount     float64
	queueWait    float64 // mean delay of a start, in mean run times
}

func newKindState() kindState { return kindState{size: 1, slowdown: 1} }

// zoneState is what was learned about the workers of one zone.
type zoneState struct {
	startDelay         Time    // the shortest from a send to the report of its start
	queueWait          float64 // mean delay of a start, in mean run times
	connectFailureRate float64 // recent
	nextProbeAt        Time    // of a zone that cannot be reached

	warmedUpCapacityWeight float64     // capacity weight of its ready workers that have warmed up
	completed              recentCount // requests that these have completed
}

// initialStartDelay is assumed as a zone's startDelay until one is known.
const initialStartDelay = 50 * Millisecond

func newZoneState() zoneState { return zoneState{startDelay: initialStartDelay} }

// isReady reports whether the newest endpoint list has the worker as ready, and no operator has disabled it.
func (w *worker) isReady() bool { return w.listed && w.State == Ready && !w.disabled }

// lastStart returns when the worker last started, as far as is known. Operators restart a worker while it is
// disabled: unless the endpoint list has shown a start since, it counts as started when it was enabled.
func (w *worker) lastStart() Time {
	if w.StartedAt > w.disabledAt {
		return w.StartedAt
	}
	return w.enabledAt
}

// markResponsive records a signal from the worker.
func (w *worker) markResponsive() { w.unresponsive, w.probeInterval = false, 0 }

// sameDedupScope reports whether two workers drop repeats of each other's requests.
func sameDedupScope(scope DedupScope, a, b *worker) bool {
	switch scope {
	case DedupEverywhere:
		return true
	case DedupZone:
		return a.Zone >= 0 && a.Zone == b.Zone
	case DedupCell:
		return a.Cell >= 0 && a.Cell == b.Cell
	}
	return false
}
