package dispatch

// worker is this dispatcher's state of a worker.
type worker struct {
	Worker     // entry of the newest endpoint list
	kind       *kindState
	listed     bool // on the newest endpoint list
	everListed bool
	queues     [bandCount]queue // requests that have the worker as a candidate

	disabled          bool // by an operator or the group, independent of the endpoint list
	disabledAt        Time // most recent time
	enabledAt         Time // latest start of the warm-up that an enabling reported; 0: never
	readmittedAt      Time // most recent first listing, restart or enabling
	firstRequestDue   Time // due time of a request that is sent there without sampling, after it was enabled
	outlierReportedAt Time // most recent report by another dispatcher; 0: never

	slotsInUse   float64 // of this dispatcher's attempts in flight
	slotsRunning float64 // of the attempts that have begun to run

	// The learned concurrency limit, in slots; below 1 if other dispatchers fill the worker.
	capacity          float64
	capacityReducedAt Time
	// The limit according to the last load report.
	reportedCapacity       float64
	reportedCapacityExpiry Time

	groupLoad     float64 // slots in use by all dispatchers, as reported by the worker's aggregator
	groupLoadAt   Time
	loadQueriedAt Time

	slowdown     float64 // mean ratio of run time to expected work; 1: a standard core
	runCount     float64
	failureRate  float64
	outcomeCount float64

	ejected       bool // as an outlier: its failure rate is far above the fleet's
	unresponsive  bool // an expected signal is missing
	nextProbeAt   Time // of a worker that is ejected or unresponsive
	probeInterval Time

	warmingSends recentCount // requests sent to it while it was warming up

	onRing bool // has points on the consistent-hash ring, or is queued in ringAdditions
}

// kindState holds the statistics of the workers of one kind, or of all workers.
type kindState struct {
	size         float64 // maximum number of slots known to have run at once
	sizeReported bool    // the size includes a report of free slots
	slowdown     float64 // see worker
	runCount     float64
	queueWait    float64 // mean delay of a start, in mean run times
}

func newKindState() kindState { return kindState{size: 1, slowdown: 1} }

// zoneState holds the statistics of the workers of one zone.
type zoneState struct {
	startDelay         Time    // minimum time from a send to the report of its start
	queueWait          float64 // mean delay of a start, in mean run times
	connectFailureRate float64 // recent
	nextProbeAt        Time    // of a zone that cannot be reached

	warmedUpCapacityWeight float64     // capacity weight of its ready workers that have warmed up
	completed              recentCount // requests that warmed-up workers have completed
}

// initialStartDelay is a zone's startDelay until a shorter one is observed.
const initialStartDelay = 50 * Millisecond

func newZoneState() zoneState { return zoneState{startDelay: initialStartDelay} }

// isReady reports whether the newest endpoint list contains the worker as ready and it is not disabled.
func (w *worker) isReady() bool { return w.listed && w.State == Ready && !w.disabled }

// lastStart returns the last known start of the worker: the listed start if it is later than disabledAt, else
// enabledAt, since operators restart a worker while it is disabled.
func (w *worker) lastStart() Time {
	if w.StartedAt > w.disabledAt {
		return w.StartedAt
	}
	return w.enabledAt
}

// markResponsive records a signal from the worker.
func (w *worker) markResponsive() { w.unresponsive, w.probeInterval = false, 0 }

// sameDedupScope reports whether two workers drop repeats of each other's requests within a scope.
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
