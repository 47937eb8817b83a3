package dispatch

// worker is what a dispatcher knows of a worker.
type worker struct {
	Worker     // as on the newest endpoint list
	kind       *kindState
	listed     bool // on the newest endpoint list
	everListed bool
	queues     [bandCount]queue // the requests whose candidate it is

	disabled          bool // by an operator, whatever the endpoint list says
	disabledAt        Time // last
	enabledAt         Time // last; 0: never
	readmittedAt      Time // its first start or last restart that was reported
	firstRequestDue   Time // of a worker that was enabled: when it is to get a request at the latest
	outlierReportedAt Time // last, by another dispatcher; 0: never

	slotsInUse   float64 // of this dispatcher's attempts in flight
	slotsRunning float64 // of those that have begun to run

	// The learned concurrency limit, in slots; below 1 where others fill the worker.
	capacity          float64
	capacityReducedAt Time
	// The bound on it by the last load report.
	reportedCapacity      float64
	reportedCapacityUntil Time

	groupLoad     float64 // slots in use by all dispatchers, as its aggregator reported
	groupLoadAt   Time
	loadQueriedAt Time

	slowdown     float64 // mean of a run's time divided by its expected work; 1: a standard core
	runCount     float64
	failureRate  float64
	outcomeCount float64

	ejected       bool // as an outlier: it fails far more than its peers
	unresponsive  bool // it gives no sign
	nextProbeAt   Time // of a worker that is ejected or unresponsive
	probeInterval Time

	onRing bool // has points on the consistent-hash ring, or will have
}

// kindState is what the workers of one kind have shown, or all workers together.
type kindState struct {
	size         float64 // the most slots known to have run at once
	sizeReported bool    // by a report of free slots
	slowdown     float64 // see worker
	runCount     float64
	queueWait    float64 // mean wait for a start, in usual runs
}

func newKindState() kindState { return kindState{size: 1, slowdown: 1} }

// zoneState is what the workers of one zone have shown.
type zoneState struct {
	startDelay         Time    // the shortest from a send to the report of its start
	queueWait          float64 // mean wait for a start, in usual runs
	connectFailureRate float64 // recent
	nextProbeAt        Time    // of a zone that cannot be reached
}

// initialStartDelay is taken for a zone's startDelay until one is known.
const initialStartDelay = 50 * Millisecond

func newZoneState() zoneState { return zoneState{startDelay: initialStartDelay} }

// isReady says whether the newest endpoint list has the worker as one that may be sent to, and no operator
// has disabled it.
func (w *worker) isReady() bool { return w.listed && w.State == Ready && !w.disabled }

// lastStart is when the worker started last, as far as is known. Operators restart a worker while it is
// disabled: where the endpoint list has shown no start since, it counts as started when it was enabled.
func (w *worker) lastStart() Time {
	if w.StartedAt > w.disabledAt {
		return w.StartedAt
	}
	return w.enabledAt
}

// markResponsive takes a sign that the worker is there.
func (w *worker) markResponsive() { w.unresponsive, w.probeInterval = false, 0 }

// sameDedupScope says whether two workers drop repeats of each other's requests.
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
