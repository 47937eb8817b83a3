package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// This file generates the event streams of golden_test.go.

const (
	goldenEvents    = 400 // random events per seed
	goldenIdleSteps = 300 // steps of 15 ms at the end of each seed, in which only timers fire
	goldenDuration  = 3 * Second
)

// runGoldenStream passes the events of one seed to a dispatcher: random, contradictory events for even seeds, and the events of a
// simulated fleet for odd seeds. It checks the four rules for every action.
func runGoldenStream(seed uint64, digest *actionDigest) error {
	rng := rand.New(rand.NewPCG(seed, 41))
	settings := goldenSettings(rng)
	dispatcher, err := New(settings, seed)
	if err != nil {
		return err
	}
	workers := 3 + rng.IntN(10)
	if seed%20 == 12 {
		workers = 200
	}
	stream := &randomStream{rng: rng, dispatcher: dispatcher, workers: workers, now: 100 * Second, observe: digest.add, checker: &ruleChecker{
		settings: settings, requests: map[RequestID]*observedRequest{}, workers: map[WorkerID]Worker{}, warmingSends: map[WorkerID][]Time{},
		disabled: map[WorkerID]bool{}, enabledAt: map[WorkerID]Time{}, disabledAt: map[WorkerID]Time{}}}
	if err := stream.handle(stream.endpointEvent(EndpointSnapshot)); err != nil {
		return err
	}
	if seed%2 == 0 {
		return stream.runGolden()
	}
	return newGoldenFleet(stream, digest).runGolden()
}

// goldenSettings returns random settings. They vary peer messages, prices, hedging and migration, sizes and weights, zones, and
// quotas.
func goldenSettings(rng *rand.Rand) Settings {
	s := testSettings()
	s.GroupSize = []int{1, 2, 4, 40, 600}[rng.IntN(5)]
	s.Ordinal = rng.IntN(s.GroupSize)
	s.PeerMessages, s.CanCancel, s.CanHedge = rng.IntN(3) == 0, rng.IntN(4) > 0, rng.IntN(2) == 0
	s.ReportsStart, s.EndpointsOnRequest, s.RetryAfter = rng.IntN(4) > 0, rng.IntN(3) == 0, rng.IntN(2) == 0
	s.MaxRetryAfter, s.ProgressInterval = Time(rng.IntN(3))*Second/2, Time(rng.IntN(2))*Second
	s.MaxAttempts = 1 + rng.IntN(6)
	s.ZoneCount = 1 + rng.IntN(3)
	s.Zone = rng.IntN(s.ZoneCount+1) - 1
	s.KindCount = 1 + rng.IntN(3)
	switch rng.IntN(4) {
	case 0:
		s.WeightsShowSize = true
	case 1:
		s.WeightsShowLoad = true
	}
	s.PriceWaste = []float64{0, 0.04, 0.2}[rng.IntN(3)]
	s.PriceFetch = []float64{0, 0, 0.05, 0.2}[rng.IntN(4)]
	s.PriceCrossZone = []float64{0, 0.02, 0.1}[rng.IntN(3)]
	s.SlowStartMinFactor, s.SlowStartWindow = []float64{0.1, 0.2, 0.5}[rng.IntN(3)], Time(1+rng.IntN(30))*Second
	s.OverloadMultiple = 3 + 2*rng.Float64()
	if rng.IntN(2) == 0 {
		s.Tenants, s.OverQuotaWeight = []Tenant{{QuotaRPS: 20}, {QuotaRPS: 3}}, []float64{0, 0.1, 0.5}[rng.IntN(3)]
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.LatencyObjective, c.ObjectiveStretch = Time(50+rng.IntN(800))*ms, float64(rng.IntN(5))/2
		c.LateWeight = []float64{0, 0.3, 1}[rng.IntN(3)]
		if rng.IntN(8) == 0 {
			c.WorkerKind = rng.IntN(s.KindCount)
		}
	}
	return s
}

// runGolden passes the random events of random_test.go, with additional random fields.
func (s *randomStream) runGolden() error {
	rng := s.rng
	maxStep, limited := 1000*(2+rng.IntN(40)), rng.IntN(2) == 0
	for range goldenEvents {
		if rng.IntN(4) > 0 {
			s.now += Time(rng.IntN(maxStep))
		}
		if err := s.fireTimers(); err != nil {
			return err
		}
		event := s.nextEvent()
		switch event.Kind {
		case RequestArrived:
			randomizeRequest(rng, &event, limited)
		case EndpointSnapshot:
			event.Stale = rng.IntN(4) == 0
		case AttemptProgressed:
			if rng.IntN(4) == 0 {
				event.Kind = ResponseStarted
			}
		case SettingsChanged:
			extendSettings(rng, &event)
		}
		if err := s.handle(event); err != nil {
			return err
		}
	}
	for range goldenIdleSteps {
		s.now += 15 * ms
		if err := s.fireTimers(); err != nil {
			return err
		}
	}
	return nil
}

// randomizeRequest sets the fields of a request that random_test.go leaves unset. limited adds random route limits.
func randomizeRequest(rng *rand.Rand, event *Event, limited bool) {
	if rng.IntN(3) == 0 {
		event.ExpectedWork = 0
	}
	if rng.IntN(10) == 0 {
		event.Slots, event.Memory = 1+rng.IntN(3), rng.Float64()*3
	}
	if !limited {
		return
	}
	randomOrZero := func(t Time) Time { return t * Time(rng.IntN(2)) * Time(1+rng.IntN(20)) / 20 }
	event.RouteLimits = RouteLimits{
		Timeout: randomOrZero(3 * Second), AttemptTimeout: randomOrZero(Second), MaxQueueTime: randomOrZero(Second), MaxAttempts: rng.IntN(4), NoHedging: rng.IntN(4) == 0,
		HedgeDelay: randomOrZero(100 * ms), RetryNotRunOnly: rng.IntN(4) == 0, DedupWindow: randomOrZero(2 * Second), RetryBackoff: randomOrZero(100 * ms), MaxRetryBackoff: randomOrZero(400 * ms),
		BackoffJitter: float64(rng.IntN(3)) / 3,
	}
}

// extendSettings adds a zone, a kind, a class and a tenant to changed settings.
func extendSettings(rng *rand.Rand, event *Event) {
	s := event.Settings
	s.ZoneCount, s.KindCount = s.ZoneCount+rng.IntN(2), s.KindCount+rng.IntN(2)
	if len(s.Classes) < 6 {
		s.Classes = append(s.Classes, s.Classes[rng.IntN(4)])
	}
	if len(s.Tenants) > 0 {
		s.Tenants = append(slices.Clone(s.Tenants), Tenant{QuotaRPS: 7})
		event.OldTenants = []int{1, 0}
	}
}

// goldenFleet simulates workers. Each runs as many requests as it has slots and queues the others.
type goldenFleet struct {
	*randomStream
	digest      *actionDigest
	scheduled   []scheduledEvent // sorted by time, then by order of insertion
	workers     []goldenWorker
	nextRequest RequestID
}

type scheduledEvent struct {
	at    Time
	event Event
}

type goldenWorker struct {
	slots       int
	running     int
	slowdown    float64 // run time divided by work
	failureRate float64 // fraction of requests that fail
	unreachable bool
	queue       []Event // AttemptStarted events of the queued requests
}

func newGoldenFleet(stream *randomStream, digest *actionDigest) *goldenFleet {
	f := &goldenFleet{randomStream: stream, digest: digest}
	for range stream.workers {
		w := goldenWorker{slots: 1 + stream.rng.IntN(maxSlots), slowdown: 1 + stream.rng.Float64()*2}
		if stream.rng.IntN(6) == 0 {
			w.failureRate = stream.rng.Float64()
		}
		f.workers = append(f.workers, w)
	}
	if stream.rng.IntN(5) == 0 { // every second worker, all in one zone, is unreachable
		for i := 1; i < len(f.workers); i += 2 {
			f.workers[i].unreachable = true
		}
	}
	stream.observe = f.execute
	return f
}

// runGolden lets requests arrive at 0.5 to 1.5 times the fleet's capacity for goldenDuration. It then advances the clock until no
// event is due.
func (f *goldenFleet) runGolden() error {
	slots := 0
	for _, w := range f.workers {
		slots += w.slots
	}
	slotTimePerArrival := 1500 + f.rng.IntN(3000) // slots times microseconds between two arrivals, divided by 100
	gap := max(slotTimePerArrival*100/slots, 1)
	limited := f.rng.IntN(3) == 0
	end := f.now + goldenDuration
	for at := f.now; at < end; at += Time(f.rng.IntN(2 * gap)) {
		if err := f.advanceTo(at); err != nil {
			return err
		}
		if err := f.handle(f.arrival(limited)); err != nil {
			return err
		}
		if f.rng.IntN(60) == 0 {
			if err := f.handle(f.disturbance()); err != nil {
				return err
			}
		}
	}
	return f.advanceTo(end + 6*Second)
}

// arrival returns the next request.
func (f *goldenFleet) arrival(limited bool) Event {
	rng := f.rng
	event := Event{Kind: RequestArrived, Request: f.nextRequest, Class: rng.IntN(4), Tenant: rng.IntN(3) - 1, ExpectedWork: 100*ms + Time(rng.IntN(200))*ms,
		TimeLeft: 5 * Second, Slots: 1, Retry: rng.IntN(10) == 0, AffinityKey: uint64(rng.IntN(5))}
	f.nextRequest++
	randomizeRequest(rng, &event, limited)
	return event
}

// disturbance returns a change of the endpoint list or of the settings, a client's disconnect, an operator's override, or an outlier
// report of another dispatcher.
func (f *goldenFleet) disturbance() Event {
	rng := f.rng
	switch rng.IntN(6) {
	case 0:
		return f.endpointEvent(EndpointUpdate)
	case 1:
		return f.endpointEvent(EndpointSnapshot)
	case 2:
		return Event{Kind: RequestAbandoned, Request: RequestID(rng.IntN(int(f.nextRequest) + 1))}
	case 3:
		return f.settingsEvent()
	}
	for w := range f.workers {
		if f.checker.disabled[WorkerID(w)] && rng.IntN(2) == 0 {
			return Event{Kind: WorkerEnabled, Worker: WorkerID(w), Elapsed: Time(rng.IntN(2)) * Second}
		}
	}
	return Event{Kind: WorkerDisabled + EventKind(rng.IntN(3)), Worker: WorkerID(rng.IntN(len(f.workers)))}
}

// advanceTo advances the clock to at, and delivers the events and fires the timers that become due.
func (f *goldenFleet) advanceTo(at Time) error {
	for {
		slices.Sort(f.timers)
		f.timers = slices.Compact(f.timers)
		isEventDue := len(f.scheduled) > 0 && f.scheduled[0].at <= at
		isTimerDue := len(f.timers) > 0 && f.timers[0] <= at
		switch {
		case isTimerDue && (!isEventDue || f.scheduled[0].at >= f.timers[0]):
			f.now, f.timers = max(f.now, f.timers[0]), f.timers[1:]
			if err := f.handle(Event{Kind: TimerFired}); err != nil {
				return err
			}
		case isEventDue:
			next := f.scheduled[0]
			f.now, f.scheduled = next.at, f.scheduled[1:]
			if err := f.deliver(next.event); err != nil {
				return err
			}
		default:
			f.now = at
			return nil
		}
	}
}

func (f *goldenFleet) schedule(wait Time, event Event) {
	at := f.now + wait
	i, _ := slices.BinarySearchFunc(f.scheduled, at+1, func(d scheduledEvent, at Time) int { return cmp.Compare(d.at, at) })
	f.scheduled = slices.Insert(f.scheduled, i, scheduledEvent{at, event})
}

// inFlight reports whether the attempt of event has not ended.
func (f *goldenFleet) inFlight(event *Event) bool {
	observed := f.checker.requests[event.Request]
	return observed != nil && event.Attempt < len(observed.attempts) && observed.attempts[event.Attempt].inFlight
}

// deliver passes a due event to the dispatcher unless its attempt has already ended, and updates the state of the worker.
func (f *goldenFleet) deliver(event Event) error {
	if event.Kind == PeerMessageReceived {
		return f.handle(event)
	}
	if !f.inFlight(&event) {
		return nil
	}
	w := &f.workers[event.Worker]
	if event.Kind == AttemptStarted {
		f.schedule(Time(float64(100*ms+Time(f.rng.IntN(150))*ms)*w.slowdown), Event{Kind: AttemptEnded, Request: event.Request, Attempt: event.Attempt,
			Worker: event.Worker, Result: f.result(w), Report: LoadReport{Known: f.rng.IntN(2) == 0, FreeSlots: float64(w.slots - w.running), QueueLength: -1}})
		return f.handle(event)
	}
	event.Final = event.Result == ResultOK
	if !slices.ContainsFunc(w.queue, func(q Event) bool { return q.Request == event.Request && q.Attempt == event.Attempt }) {
		w.running--
	}
	w.queue = slices.DeleteFunc(w.queue, func(q Event) bool { return q.Request == event.Request && q.Attempt == event.Attempt })
	for len(w.queue) > 0 && w.running < w.slots {
		w.running++
		f.schedule(ms, w.queue[0])
		w.queue = w.queue[1:]
	}
	return f.handle(event)
}

func (f *goldenFleet) result(w *goldenWorker) Result {
	if f.rng.Float64() < w.failureRate {
		return []Result{ResultFailed, ResultDisconnected, ResultTimedOut, ResultUnknown}[f.rng.IntN(4)]
	}
	return ResultOK
}

// execute adds an action to the digest and carries it out.
func (f *goldenFleet) execute(now Time, action Action) {
	f.digest.add(now, action)
	switch action.Kind {
	case Send:
		// The attempt's number is the number of attempts before it.
		event := Event{Kind: AttemptStarted, Request: action.Request, Attempt: len(f.checker.requests[action.Request].attempts), Worker: action.Worker}
		w := &f.workers[action.Worker]
		switch {
		case w.unreachable:
			w.running++
			event.Kind, event.Result = AttemptEnded, ResultUnreachable
			f.schedule(30*ms, event)
		case f.rng.Float64() < w.failureRate/4:
			w.running++ // released when it ends
			event.Kind, event.Result = AttemptEnded, []Result{ResultUnreachable, ResultOverloaded, ResultNotSent}[f.rng.IntN(3)]
			f.schedule(3*ms, event)
		case w.running < w.slots:
			w.running++
			f.schedule(ms+Time(f.rng.IntN(3000)), event)
		default:
			w.queue = append(w.queue, event)
		}
	case Cancel:
		f.schedule(2*ms, Event{Kind: AttemptEnded, Request: action.Request, Attempt: action.Attempt, Worker: f.checker.requests[action.Request].attempts[action.Attempt].worker, Result: ResultCancelled})
	case SendToPeer:
		if action.Message.Kind == LoadQuery && f.rng.IntN(8) > 0 {
			f.schedule(5*ms+Time(f.rng.IntN(60))*ms, Event{Kind: PeerMessageReceived, Peer: action.Peer, Message: PeerMessage{Kind: LoadReply, Tag: action.Message.Tag, Slots: float64(f.rng.IntN(5))}})
		}
	}
}
