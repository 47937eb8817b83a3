package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// simFleet simulates many dispatchers that send to the same workers, in virtual time. Each worker has slots and a first-in,
// first-out queue, requests arrive at random dispatchers, and faults occur. It counts the calls that workers receive while warming
// up.
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
	maxExcess    float64 // maximum over all windows of the calls beyond the budget, as a fraction of the limit n (see slowStartBudget)
	maxExcessAge Time    // age of the worker at the end of that window
	warmingCalls int     // calls that workers received while warming up
	served       int
}

// simScenario is the configuration of a run of simFleet. burstAt and faultAt count from the start of the warming workers, 3 s after
// the beginning of the run.
type simScenario struct {
	seed            uint64
	dispatchers     int
	workers         int
	slots           []int   // slots per worker, assigned to the workers in rotation
	load            float64 // arrivals as a fraction of the capacity of all workers once they are warmed up
	burst           float64 // factor on the arrival rate for 5 s from burstAt; 0: none
	burstAt         Time
	warmingWorkers  int     // number of workers, the first ones, that start 3 s after the beginning
	listingDelay    Time    // time from the start of these workers until they are listed
	slowWorkers     int     // number of workers, the last ones, that become slower at faultAt
	slowFactor      float64 // factor on the service times of the slow workers
	hungWorkers     int     // number of workers, the last ones, that hang from faultAt
	failingWorkers  int     // number of workers, the last ones, that fail every call from faultAt
	faultAt         Time
	restartInterval Time // time between restarts of one dispatcher after another; 0: none
	reloadInterval  Time // time between reloads of the settings at all dispatchers; 0: none
	skewed          bool // the first dispatcher receives half of the requests
	clientRetries   bool // clients send a rejected request again, without marking it as a retry
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
	jobs        map[RequestID][]*simJob // indexed by attempt
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
	calls    []Time // times of the calls received while warming up, within the window
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

// runSimScenario runs a scenario and returns the fleet with its counters.
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

// scheduleEvents schedules the events of the scenario.
func (f *simFleet) scheduleEvents() {
	begin := f.now + 3*Second // the dispatchers have learned their first estimates by then
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

// after schedules do to run after wait.
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

// publish sends the endpoint list to all dispatchers.
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

// scheduleArrival schedules the next arrival of a Poisson process, which schedules the one after it.
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

// start starts or restarts a dispatcher. A restart loses its open requests.
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

// handleFor passes an event to the dispatcher and carries out the actions. The client of a rejected request retries up to retries
// times.
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

// factor returns the fraction of its full capacity that the worker has at present.
func (w *simWorker) factor() float64 {
	s, age := &w.fleet.settings, w.fleet.now-w.entry.StartedAt
	if w.entry.StartedAt == 0 || age >= s.SlowStartWindow {
		return 1
	}
	return s.SlowStartMinFactor + (1-s.SlowStartMinFactor)*float64(age)/float64(s.SlowStartWindow)
}

// receive queues a call. While the worker is warming up, it also records the excess of the calls in the window over the platform's
// budget.
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

// slowStartBudget returns the maximum number of calls per window that the platform allows if the settings give a limit of n.
func slowStartBudget(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// startQueued starts queued calls while there are free slots.
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
		return // a worker that hangs does so until the end of the run
	}
	j.ended = true
	w.running--
	if result == ResultOK {
		w.fleet.served++
	}
	w.fleet.after(simLatency, func() { j.report(AttemptEnded, result) })
	w.startQueued()
}

// remove removes a cancelled call and reports whether the call was still queued or running.
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

// report reports the start or end of a call to its dispatcher, unless the dispatcher has restarted.
func (j *simJob) report(kind EventKind, result Result) {
	if j.from.incarnation == j.senderIncarnation {
		j.from.handle(Event{Kind: kind, Request: j.request, Attempt: j.attempt, Worker: j.worker.entry.ID, Result: result, Final: result == ResultOK && kind == AttemptEnded})
	}
}

// utilizationWhileWarming returns the calls received while warming up as a fraction of the minimum that these workers can run while
// listed.
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
