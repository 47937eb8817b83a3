package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// simFleet is many dispatchers that send to the same workers, in virtual time: workers with slots and a first-come queue, requests
// at random dispatchers, and faults. It counts what workers that are warming up are sent.
type simFleet struct {
	t            *testing.T
	scenario     simScenario
	settings     Settings
	rng          *rand.Rand
	now          Time
	events       simEvents
	sequence     int
	dispatchers  []*simDispatcher
	workers      []*simWorker
	version      uint64
	maxExcess    float64 // of all windows: calls beyond the budget, in parts of N
	maxExcessAge Time    // the age of the worker in that window
	warmingCalls int     // calls that they were sent
	served       int
}

// simScenario is what a simFleet plays. Times are since the first event.
type simScenario struct {
	seed            uint64
	dispatchers     int
	workers         int
	slots           []int   // of the workers in turn
	load            float64 // arrivals, as a share of what all workers can run once warmed up
	burst           float64 // factor on the arrivals from burstAt on, for 5 s; 0: none
	burstAt         Time
	warmingWorkers  int     // workers that start when the day begins
	listingDelay    Time    // from their start
	slowWorkers     int     // workers, from the last, that are slower ...
	slowFactor      float64 // ... by this, from faultAt on
	hungWorkers     int     // workers, from the last, that hang from faultAt on
	failingWorkers  int     // workers, from the last, at which every call fails from faultAt on
	faultAt         Time
	restartInterval Time // one dispatcher after another is started anew; 0: none
	reloadInterval  Time // all dispatchers get their settings again; 0: none
	skewed          bool // the first dispatcher gets half of the requests
	clientRetries   bool // a rejected request is sent again, unmarked
	duration        Time
}

const (
	simWork    = 100 * ms
	simLatency = ms / 2
)

type simEvent struct {
	at       Time
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type simDispatcher struct {
	fleet       *simFleet
	index       int
	incarnation int
	dispatcher  *Dispatcher
	jobs        map[RequestID][]*simJob // by attempt
	next        RequestID
}

type simWorker struct {
	fleet    *simFleet
	entry    Worker
	slots    int
	slowdown float64
	hung     bool
	failing  bool
	running  int
	queue    []*simJob
	calls    []Time // while it is warming up, within the window
}

type simJob struct {
	from              *simDispatcher
	senderIncarnation int
	request           RequestID
	attempt           int
	worker            *simWorker
	running           bool
	ended             bool
}

// runSimScenario plays a day.
func runSimScenario(t *testing.T, scenario simScenario) *simFleet {
	t.Helper()
	s := testSettings()
	s.GroupSize, s.PriceCrossZone, s.PriceWaste = scenario.dispatchers, 0, 0.04
	s.SlowStartMinFactor, s.SlowStartWindow = 0.12, 24*Second
	s.OverloadMultiple, s.OverloadWindow = 2.5, 1500*ms
	s.WeightsShowSize = true
	f := &simFleet{t: t, scenario: scenario, settings: s, rng: rand.New(rand.NewPCG(scenario.seed, 17)), now: 100 * Second, maxExcess: math.Inf(-1)}
	for i := range scenario.workers {
		w := &simWorker{fleet: f, slots: scenario.slots[i%len(scenario.slots)], slowdown: 1}
		w.entry = Worker{ID: WorkerID(i), Weight: float64(w.slots), Tag: uint64(i)}
		f.workers = append(f.workers, w)
	}
	for i := range scenario.dispatchers {
		d := &simDispatcher{fleet: f, index: i}
		f.dispatchers = append(f.dispatchers, d)
		d.start()
	}
	f.scheduleEvents()
	end := f.now + scenario.duration
	for len(f.events) > 0 && f.events[0].at <= end {
		e := heap.Pop(&f.events).(simEvent)
		f.now = e.at
		e.run()
	}
	return f
}

// plan schedules what happens on the day.
func (f *simFleet) scheduleEvents() {
	begin := f.now + 3*Second // dispatchers have learned a little by then
	for i := range f.scenario.warmingWorkers {
		w := f.workers[i]
		w.entry.State = Gone
		f.after(begin-f.now, func() { w.entry.StartedAt = f.now })
		f.after(begin-f.now+f.scenario.listingDelay, func() { w.entry.State = Ready; f.publish() })
	}
	f.publish()
	f.after(begin-f.now+f.scenario.faultAt, f.beginFaults)
	f.scheduleArrival(begin)
	if interval := f.scenario.restartInterval; interval > 0 {
		f.repeat(interval, func(n int) { f.dispatchers[n%len(f.dispatchers)].start() })
	}
	if interval := f.scenario.reloadInterval; interval > 0 {
		f.repeat(interval, func(int) {
			for _, d := range f.dispatchers {
				s := f.settings
				d.handle(Event{Kind: SettingsChanged, Settings: &s, OldClasses: []int{0, 1, 2, 3}})
			}
		})
	}
}

func (f *simFleet) beginFaults() {
	for i := range f.workers {
		w, fromLast := f.workers[i], len(f.workers)-i
		if fromLast <= f.scenario.slowWorkers {
			w.slowdown = f.scenario.slowFactor
		}
		w.hung = fromLast <= f.scenario.hungWorkers
		w.failing = fromLast <= f.scenario.failingWorkers
	}
}

// after runs do once wait has passed.
func (f *simFleet) after(wait Time, do func()) {
	f.sequence++
	heap.Push(&f.events, simEvent{f.now + wait, f.sequence, do})
}

func (f *simFleet) repeat(interval Time, do func(n int)) {
	n := 0
	var again func()
	again = func() {
		do(n)
		n++
		f.after(interval, again)
	}
	f.after(interval, again)
}

// publish sends the list to all dispatchers.
func (f *simFleet) publish() {
	f.version++
	for _, d := range f.dispatchers {
		d.handle(f.list())
	}
}

func (f *simFleet) list() Event {
	e := Event{Kind: EndpointSnapshot, Version: f.version}
	for _, w := range f.workers {
		if w.entry.State == Ready {
			e.Workers = append(e.Workers, w.entry)
		}
	}
	return e
}

// scheduleArrival lets requests arrive, as a Poisson process.
func (f *simFleet) scheduleArrival(begin Time) {
	slots := 0
	for _, w := range f.workers {
		slots += w.slots
	}
	rate := f.scenario.load * float64(slots) / float64(simWork)
	from := begin + f.scenario.burstAt
	if f.scenario.burst > 0 && f.now >= from && f.now < from+5*Second {
		rate *= f.scenario.burst
	}
	f.after(max(1, Time(f.rng.ExpFloat64()/rate)), func() {
		i := f.rng.IntN(len(f.dispatchers))
		if f.scenario.skewed && f.rng.IntN(2) == 0 {
			i = 0
		}
		f.dispatchers[i].arrive(3)
		f.scheduleArrival(begin)
	})
}

// start starts a dispatcher, again where it ran: what its clients wait for is lost.
func (d *simDispatcher) start() {
	for id := range d.next {
		for _, j := range d.jobs[id] {
			j.worker.remove(j)
		}
	}
	d.incarnation++
	s := d.fleet.settings
	s.Ordinal = d.index
	dispatcher, err := New(s, d.fleet.rng.Uint64())
	if err != nil {
		d.fleet.t.Fatal(err)
	}
	d.dispatcher, d.jobs = dispatcher, map[RequestID][]*simJob{}
	d.handle(d.fleet.list())
}

func (d *simDispatcher) arrive(retries int) {
	id := d.next
	d.next++
	d.handleFor(Event{Kind: RequestArrived, Request: id, Tenant: -1, TimeLeft: 5 * Second, Slots: 1}, retries)
}

func (d *simDispatcher) handle(e Event) { d.handleFor(e, 0) }

// handleFor passes an event and carries out the actions. A rejected request is tried again retries times.
func (d *simDispatcher) handleFor(e Event, retries int) {
	f, senderIncarnation := d.fleet, d.incarnation
	for _, a := range d.dispatcher.Handle(f.now, &e, nil) {
		switch a.Kind {
		case Send:
			j := &simJob{from: d, senderIncarnation: senderIncarnation, request: a.Request, attempt: len(d.jobs[a.Request]), worker: f.workers[a.Worker]}
			d.jobs[a.Request] = append(d.jobs[a.Request], j)
			f.after(simLatency, func() { j.worker.receive(j) })
		case Cancel:
			if j := d.jobs[a.Request][a.Attempt]; j.worker.remove(j) {
				f.after(simLatency, func() { j.report(AttemptEnded, ResultCancelled) })
			}
		case Reject:
			if f.scenario.clientRetries && retries > 0 {
				f.after(100*ms, func() { d.arrive(retries - 1) })
			}
		case SetTimer:
			f.after(a.Wait, func() {
				if d.incarnation == senderIncarnation {
					d.handle(Event{Kind: TimerFired})
				}
			})
		}
	}
}

// factor returns the share of its capacity that the worker has.
func (w *simWorker) factor() float64 {
	s, age := &w.fleet.settings, w.fleet.now-w.entry.StartedAt
	if w.entry.StartedAt == 0 || age >= s.SlowStartWindow {
		return 1
	}
	return s.SlowStartMinFactor + (1-s.SlowStartMinFactor)*float64(age)/float64(s.SlowStartWindow)
}

// receive takes a call, and compares the calls of the window with the budget of the platform's terms.
func (w *simWorker) receive(j *simJob) {
	f := w.fleet
	if factor := w.factor(); factor < 1 {
		f.warmingCalls++
		w.calls = append(w.calls, f.now)
		w.calls = slices.DeleteFunc(w.calls, func(at Time) bool { return at <= f.now-f.settings.OverloadWindow })
		n := f.settings.OverloadMultiple * factor * float64(w.slots) * float64(f.settings.OverloadWindow) / float64(simWork)
		if beyond := (float64(len(w.calls)) - slowStartBudget(n)) / n; beyond > f.maxExcess {
			f.maxExcess, f.maxExcessAge = beyond, f.now-w.entry.StartedAt
		}
	}
	if j.ended {
		return
	}
	w.queue = append(w.queue, j)
	w.startQueued()
}

// slowStartBudget returns the calls that the platform's terms allow in a window of which the settings name n.
func slowStartBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// begin begins queued calls while there are free slots.
func (w *simWorker) startQueued() {
	for !w.hung && w.running < w.slots && len(w.queue) > 0 {
		j := w.queue[0]
		w.queue = w.queue[1:]
		j.running = true
		w.running++
		w.fleet.after(simLatency, func() { j.report(AttemptStarted, ResultOK) })
		run := Time(float64(simWork) * w.slowdown / w.factor() * (0.7 + 0.6*w.fleet.rng.Float64()))
		result := ResultOK
		if w.failing {
			run, result = 2*ms, ResultFailed
		}
		w.fleet.after(run, func() { w.finish(j, result) })
	}
}

func (w *simWorker) finish(j *simJob, result Result) {
	if j.ended || w.hung {
		return // a worker that hangs does so for the rest of the day
	}
	j.ended = true
	w.running--
	if result == ResultOK {
		w.fleet.served++
	}
	w.fleet.after(simLatency, func() { j.report(AttemptEnded, result) })
	w.startQueued()
}

// drop ends a call that is cancelled, and reports whether it had not ended.
func (w *simWorker) remove(j *simJob) bool {
	if j.ended {
		return false
	}
	j.ended = true
	if j.running {
		w.running--
		w.startQueued()
	} else {
		w.queue = slices.DeleteFunc(w.queue, func(queued *simJob) bool { return queued == j })
	}
	return true
}

// report reports to the dispatcher what happened to a call.
func (j *simJob) report(kind EventKind, result Result) {
	if j.from.incarnation == j.senderIncarnation {
		j.from.handle(Event{Kind: kind, Request: j.request, Attempt: j.attempt, Worker: j.worker.entry.ID, Result: result, Final: result == ResultOK && kind == AttemptEnded})
	}
}

// utilizationWhileWarming returns the calls to workers that are warming up, as a share of what these can run at least while listed.
func (f *simFleet) utilizationWhileWarming() float64 {
	const step = 100 * ms
	capacity, s := 0.0, &f.settings
	for _, w := range f.workers[:f.scenario.warmingWorkers] {
		for age := f.scenario.listingDelay; w.entry.StartedAt+age < f.now; age += step {
			factor := s.SlowStartMinFactor + (1-s.SlowStartMinFactor)*float64(age)/float64(s.SlowStartWindow)
			capacity += factor * float64(w.slots) * float64(step) / float64(simWork)
		}
	}
	return float64(f.warmingCalls) / capacity
}
