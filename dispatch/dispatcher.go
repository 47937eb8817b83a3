package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// never is a time that is never reached. The sum of two such times does not overflow.
const never = Time(math.MaxInt64 / 4)

// Dispatcher makes the decisions of one dispatcher of a group. It is not safe for concurrent use: the caller
// passes one event at a time.
type Dispatcher struct {
	settings  Settings
	rng       *rand.Rand
	now       Time
	startedAt Time     // time of the first event
	actions   []Action // of the event that is being handled

	classes       []classState
	tenants       []tenantState
	totalQuota    float64 // of all tenants, in requests per second
	quotaArrivals float64 // requests counted against quotas, excluding clients' retries

	workers                []*worker // by id; nil: unknown
	workersByTag           map[uint64]*worker
	kinds                  []kindState // the last is for kinds that the settings do not name
	zones                  []zoneState // the last is for zones that the settings do not name
	fleet                  kindState   // all workers together
	ready                  []*worker
	readyInZone            []*worker // ready workers in this dispatcher's zone
	awaitingFirstRequest   []*worker // enabled again; no request sent there since
	meanListedWeight       float64   // of the ready workers
	allWarmedUpAt          Time      // when all ready workers have warmed up
	ejectedCount           int       // of the ready workers
	warmedUpCapacityWeight float64   // sum over the ready workers that have warmed up
	readyCapacityWeight    float64   // sum over all ready workers
	capacityWeightsExpiry  Time      // of both sums
	ring                   []ringPoint
	ringAdditions          []*worker // workers whose points are not on the ring yet

	requests     []*request // by id; nil: unknown
	freeRequests []*request
	queues       [bandCount]queue   // all queued requests, in the order in which they were queued
	queuedSlots  [bandCount]float64 // slots that the queued requests need
	timers       timerHeap
	timerAt      Time   // due time of the caller's timer; never: not set
	serial       uint64 // last number assigned to a queue ticket or a timer

	completed recentCount // requests that warmed-up workers have completed
	arrived   recentCount // requests of clients, excluding retries
	// The share of the samples of warming workers after which the request was sent there; at least
	// minSampleWinRate.
	sampleWinRate float64
	slotsInUse    float64 // of this dispatcher's attempts in flight at all workers
	meanCapacity  float64 // of workers, updated at the end of each attempt
	meanWork      float64 // of the requests that arrived, in microseconds
	failureRate   float64 // of attempts at all workers
	retryBudget   float64 // retries that may be made now
	shedding      float64 // strength of load shedding, 0 (none) to 1 ...
	sheddingAt    Time    // ... as of this time

	usageByTag map[uint64]aggregatedUsage // by tag of the workers for which this dispatcher is the aggregator

	endpointVersion uint64
	nextPollAt      Time // time of the next request for the endpoint list
	pollBackoff     Time
}

// New returns a dispatcher without workers. Its error wraps a *SettingsError.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := validate(&s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Dispatcher{
		settings:      s,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		workersByTag:  map[uint64]*worker{},
		usageByTag:    map[uint64]aggregatedUsage{},
		kinds:         make([]kindState, s.KindCount+1),
		zones:         make([]zoneState, s.ZoneCount+1),
		fleet:         newKindState(),
		timerAt:       never,
		nextPollAt:    never,
		pollBackoff:   initialPollBackoff,
		retryBudget:   maxRetryBudget,
		meanCapacity:  initialCapacity,
		sampleWinRate: 1,
	}
	for i := range d.kinds {
		d.kinds[i] = newKindState()
	}
	for i := range d.zones {
		d.zones[i] = newZoneState()
	}
	for _, c := range s.Classes {
		d.meanWork = max(d.meanWork, float64(c.LatencyObjective))
		d.classes = append(d.classes, newClassState(c))
	}
	for _, t := range s.Tenants {
		d.tenants = append(d.tenants, tenantState{Tenant: t})
		d.totalQuota += t.QuotaRPS
	}
	return d, nil
}

// Handle handles one event and appends the resulting actions to actions. Events about unknown requests,
// attempts, classes and workers are ignored. A time before that of the last event counts as the time of the
// last event.
func (d *Dispatcher) Handle(now Time, event *Event, actions []Action) []Action {
	d.now, d.actions = max(now, d.now), actions
	if d.startedAt == 0 {
		d.startedAt = d.now
	}
	d.handleEvent(event)
	d.runTimers()
	actions, d.actions = d.actions, nil
	return actions
}

func (d *Dispatcher) handleEvent(event *Event) {
	switch event.Kind {
	case EndpointSnapshot, EndpointUpdate:
		d.handleEndpoints(event)
	case EndpointWatchLost:
		d.handleWatchLost()
	case RequestArrived:
		if d.request(event.Request) == nil && event.Class >= 0 && event.Class < len(d.classes) {
			d.admit(d.newRequest(event), event.Retry)
		}
	case AttemptStarted, AttemptProgressed, ResponseStarted, AttemptEnded:
		if r, a := d.attempt(event); a != nil {
			d.handleAttempt(r, a, event)
		}
	case RequestAbandoned:
		if r := d.request(event.Request); r != nil && r.open {
			d.closeRequest(r)
		}
	case TimerFired:
		if d.timerAt <= d.now {
			d.timerAt = never
		}
	case PeerMessageReceived:
		if d.isValidMessage(event) {
			d.handlePeerMessage(event.Peer, event.Message)
		}
	case WorkerDisabled, WorkerEnabled:
		d.handleOverride(event)
	case OutlierReported:
		d.handleOutlierReport(event)
	case SettingsChanged:
		d.changeSettings(event)
	}
}

// emit appends an action to the actions of the event that is being handled.
func (d *Dispatcher) emit(a Action) { d.actions = append(d.actions, a) }

// request returns the request with an id, nil if there is none.
func (d *Dispatcher) request(id RequestID) *request {
	if int(id) < len(d.requests) {
		return d.requests[id]
	}
	return nil
}

// attempt returns the request and the attempt in flight to which an event belongs, nil if there is none.
func (d *Dispatcher) attempt(event *Event) (*request, *attempt) {
	r := d.request(event.Request)
	if r == nil || event.Attempt < 0 || event.Attempt >= len(r.attempts) {
		return nil, nil
	}
	a := &r.attempts[event.Attempt]
	if !a.inFlight {
		return nil, nil
	}
	return r, a
}
