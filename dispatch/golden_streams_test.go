package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// The streams of events that golden_test.go feeds to the module.

const (
	goldenEvents = 400 // random events for each seed
	goldenQuiet  = 300 // steps of 15 ms without events at the end of each seed, in which timers go on
	goldenRun    = 3 * Second
)

// goldenStream feeds one seed's events to a dispatcher: of even seeds random ones that contradict each other, of odd seeds
// those of a fleet that serves. The four rules are checked on the way.
func goldenStream(seed uint64, digest *actionDigest) error {
	r := rand.New(rand.NewPCG(seed, 41))
	s := goldenSettings(r)
	d, err := New(s, seed)
	if err != nil {
		return err
	}
	workers := 3 + r.IntN(10)
	if seed%20 == 12 {
		workers = 200
	}
	g := &day{r: r, d: d, workers: workers, now: 100 * Second, observe: digest.add, v: &watcher{
		s: s, jobs: map[RequestID]*seen{}, state: map[WorkerID]Worker{}, cold: map[WorkerID][]Time{},
		out: map[WorkerID]bool{}, backAt: map[WorkerID]Time{}, outAt: map[WorkerID]Time{}}}
	if err := g.handle(g.listEvent(ListSnapshot)); err != nil {
		return err
	}
	if seed%2 == 0 {
		return g.goldenRandom()
	}
	return newGoldenFleet(g, digest).run()
}

// goldenSettings draws settings of every shape: notes between dispatchers, prices, hedged requests and moves, sizes and
// weights, zones, quotas.
func goldenSettings(r *rand.Rand) Settings {
	s := settings()
	s.GroupSize = []int{1, 2, 4, 40, 600}[r.IntN(5)]
	s.Ordinal = r.IntN(s.GroupSize)
	s.CanTell, s.CanCancel, s.SecondCopies = r.IntN(3) == 0, r.IntN(4) > 0, r.IntN(2) == 0
	s.TellsStart, s.ListOnRequest, s.RetryAfter = r.IntN(4) > 0, r.IntN(3) == 0, r.IntN(2) == 0
	s.MaxRetryAfter, s.Progress = Time(r.IntN(3))*Second/2, Time(r.IntN(2))*Second
	s.MaxAttempts = 1 + r.IntN(6)
	s.Zones = 1 + r.IntN(3)
	s.Zone = r.IntN(s.Zones+1) - 1
	s.Kinds = 1 + r.IntN(3)
	switch r.IntN(4) {
	case 0:
		s.Sized = true
	case 1:
		s.WeightsMove = true
	}
	s.PriceWaste = []float64{0, 0.04, 0.2}[r.IntN(3)]
	s.PriceFetch = []float64{0, 0, 0.05, 0.2}[r.IntN(4)]
	s.PriceCross = []float64{0, 0.02, 0.1}[r.IntN(3)]
	s.ColdFrom, s.WarmWithin = []float64{0.1, 0.2, 0.5}[r.IntN(3)], Time(1+r.IntN(30))*Second
	s.FallMultiple = 3 + 2*r.Float64()
	if r.IntN(2) == 0 {
		s.Tenants, s.OverShareWorth = []Tenant{{Quota: 20}, {Quota: 3}}, []float64{0, 0.1, 0.5}[r.IntN(3)]
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Aim, c.Stretch = Time(50+r.IntN(800))*ms, float64(r.IntN(5))/2
		c.LateWorth = []float64{0, 0.3, 1}[r.IntN(3)]
		if r.IntN(8) == 0 {
			c.Kind = r.IntN(s.Kinds)
		}
	}
	return s
}

// goldenRandom feeds the events of random_test.go, with more of them drawn.
func (g *day) goldenRandom() error {
	r := g.r
	pace, narrowed := 1000*(2+r.IntN(40)), r.IntN(2) == 0
	for range goldenEvents {
		if r.IntN(4) > 0 {
			g.now += Time(r.IntN(pace))
		}
		if err := g.fire(); err != nil {
			return err
		}
		e := g.event()
		switch e.Kind {
		case Arrived:
			goldenRequest(r, &e, narrowed)
		case ListSnapshot:
			e.Stale = r.IntN(4) == 0
		case Progressed:
			if r.IntN(4) == 0 {
				e.Kind = AnswerBegan
			}
		case Retuned:
			goldenRetuned(r, &e)
		}
		if err := g.handle(e); err != nil {
			return err
		}
	}
	for range goldenQuiet {
		g.now += 15 * ms
		if err := g.fire(); err != nil {
			return err
		}
	}
	return nil
}

// goldenRequest gives a request what random_test.go does not draw.
func goldenRequest(r *rand.Rand, e *Event, narrowed bool) {
	if r.IntN(3) == 0 {
		e.Work = 0
	}
	if r.IntN(10) == 0 {
		e.Slots, e.Memory = 1+r.IntN(3), r.Float64()*3
	}
	if !narrowed {
		return
	}
	some := func(t Time) Time { return t * Time(r.IntN(2)) * Time(1+r.IntN(20)) / 20 }
	e.Narrow = Narrow{
		Within: some(3 * Second), Wait: some(Second), Hold: some(Second), Attempts: r.IntN(4), Single: r.IntN(4) == 0,
		Race: some(100 * ms), Strict: r.IntN(4) == 0, Window: some(2 * Second), Pause: some(100 * ms), MaxPause: some(400 * ms),
		Jitter: float64(r.IntN(3)) / 3,
	}
}

// goldenRetuned adds a zone, a kind, a class and a tenant to changed settings.
func goldenRetuned(r *rand.Rand, e *Event) {
	s := e.Settings
	s.Zones, s.Kinds = s.Zones+r.IntN(2), s.Kinds+r.IntN(2)
	if len(s.Classes) < 6 {
		s.Classes = append(s.Classes, s.Classes[r.IntN(4)])
	}
	if len(s.Tenants) > 0 {
		s.Tenants = append(slices.Clone(s.Tenants), Tenant{Quota: 7})
		e.Tenants = []int{1, 0}
	}
}

// goldenFleet serves what a dispatcher sends: each worker runs as many jobs as it has slots and queues the others.
type goldenFleet struct {
	*day
	digest  *actionDigest
	due     []goldenDue // by time, those of one time in the order in which they were added
	workers []goldenWorker
	next    RequestID
}

type goldenDue struct {
	at    Time
	event Event
}

type goldenWorker struct {
	slots   int
	running int
	pace    float64 // time for a unit of work
	failing float64 // share of jobs that fail
	cutOff  bool
	queue   []Event // starts to come
}

func newGoldenFleet(g *day, digest *actionDigest) *goldenFleet {
	f := &goldenFleet{day: g, digest: digest}
	for range g.workers {
		w := goldenWorker{slots: 1 + g.r.IntN(slotsMost), pace: 1 + g.r.Float64()*2}
		if g.r.IntN(6) == 0 {
			w.failing = g.r.Float64()
		}
		f.workers = append(f.workers, w)
	}
	if g.r.IntN(5) == 0 { // every second worker, which are those of one zone, cannot be reached
		for i := 1; i < len(f.workers); i += 2 {
			f.workers[i].cutOff = true
		}
	}
	g.observe = f.act
	return f
}

// run lets requests arrive for a while, at a half to one and a half of what the fleet can do, and time pass until nothing is due.
func (f *goldenFleet) run() error {
	slots := 0
	for _, w := range f.workers {
		slots += w.slots
	}
	rate := 1500 + f.r.IntN(3000) // slots times microseconds between two arrivals, in hundreds
	gap := max(rate*100/slots, 1)
	narrowed := f.r.IntN(3) == 0
	end := f.now + goldenRun
	for at := f.now; at < end; at += Time(f.r.IntN(2 * gap)) {
		if err := f.pass(at); err != nil {
			return err
		}
		if err := f.handle(f.arrival(narrowed)); err != nil {
			return err
		}
		if f.r.IntN(60) == 0 {
			if err := f.handle(f.disturbance()); err != nil {
				return err
			}
		}
	}
	return f.pass(end + 6*Second)
}

// arrival is the next request.
func (f *goldenFleet) arrival(narrowed bool) Event {
	r := f.r
	e := Event{Kind: Arrived, Request: f.next, Class: r.IntN(4), Tenant: r.IntN(3) - 1, Work: 100*ms + Time(r.IntN(200))*ms,
		Left: 5 * Second, Slots: 1, Retry: r.IntN(10) == 0, Key: uint64(r.IntN(5))}
	f.next++
	goldenRequest(r, &e, narrowed)
	return e
}

// disturbance is a change of the list, an operator's call, a word from another dispatcher or a client that leaves.
func (f *goldenFleet) disturbance() Event {
	r := f.r
	switch r.IntN(6) {
	case 0:
		return f.listEvent(ListChange)
	case 1:
		return f.listEvent(ListSnapshot)
	case 2:
		return Event{Kind: ClientGone, Request: RequestID(r.IntN(int(f.next) + 1))}
	case 3:
		return f.retuned()
	}
	for w := range f.workers {
		if f.v.out[WorkerID(w)] && r.IntN(2) == 0 {
			return Event{Kind: PutBack, Worker: WorkerID(w), Elapsed: Time(r.IntN(2)) * Second}
		}
	}
	return Event{Kind: TakenOut + EventKind(r.IntN(3)), Worker: WorkerID(r.IntN(len(f.workers)))}
}

// pass lets time pass until at, with all that falls due.
func (f *goldenFleet) pass(at Time) error {
	for {
		slices.Sort(f.timers)
		f.timers = slices.Compact(f.timers)
		timer, due := len(f.timers) > 0 && f.timers[0] <= at, len(f.due) > 0 && f.due[0].at <= at
		switch {
		case timer && !(due && f.due[0].at < f.timers[0]):
			f.now, f.timers = max(f.now, f.timers[0]), f.timers[1:]
			if err := f.handle(Event{Kind: TimerFired}); err != nil {
				return err
			}
		case due:
			next := f.due[0]
			f.now, f.due = next.at, f.due[1:]
			if err := f.deliver(next.event); err != nil {
				return err
			}
		default:
			f.now = at
			return nil
		}
	}
}

func (f *goldenFleet) later(wait Time, e Event) {
	at := f.now + wait
	i, _ := slices.BinarySearchFunc(f.due, at+1, func(d goldenDue, at Time) int { return cmp.Compare(d.at, at) })
	f.due = slices.Insert(f.due, i, goldenDue{at, e})
}

// out says whether an attempt has not ended.
func (f *goldenFleet) out(e *Event) bool {
	j := f.v.jobs[e.Request]
	return j != nil && e.Attempt < len(j.tries) && j.tries[e.Attempt].out
}

// deliver hands a due event over, unless its attempt has ended meanwhile, and lets the worker go on.
func (f *goldenFleet) deliver(e Event) error {
	if e.Kind == Heard {
		return f.handle(e)
	}
	if !f.out(&e) {
		return nil
	}
	w := &f.workers[e.Worker]
	if e.Kind == Started {
		f.later(Time(float64(100*ms+Time(f.r.IntN(150))*ms)*w.pace), Event{Kind: Ended, Request: e.Request, Attempt: e.Attempt,
			Worker: e.Worker, Result: f.result(w), Report: Report{Known: f.r.IntN(2) == 0, FreeSlots: float64(w.slots - w.running), Queue: -1}})
		return f.handle(e)
	}
	e.Final = e.Result == OK
	if !slices.ContainsFunc(w.queue, func(q Event) bool { return q.Request == e.Request && q.Attempt == e.Attempt }) {
		w.running--
	}
	w.queue = slices.DeleteFunc(w.queue, func(q Event) bool { return q.Request == e.Request && q.Attempt == e.Attempt })
	for len(w.queue) > 0 && w.running < w.slots {
		w.running++
		f.later(ms, w.queue[0])
		w.queue = w.queue[1:]
	}
	return f.handle(e)
}

func (f *goldenFleet) result(w *goldenWorker) Result {
	if f.r.Float64() < w.failing {
		return []Result{Failed, Disconnected, TimedOut, UnknownResult}[f.r.IntN(4)]
	}
	return OK
}

// act carries an action out.
func (f *goldenFleet) act(now Time, a Action) {
	f.digest.add(now, a)
	switch a.Kind {
	case Send:
		// The number of the attempt is that of those before it.
		e := Event{Kind: Started, Request: a.Request, Attempt: len(f.v.jobs[a.Request].tries), Worker: a.Worker}
		w := &f.workers[a.Worker]
		switch {
		case w.cutOff:
			w.running++
			e.Kind, e.Result = Ended, Unreachable
			f.later(30*ms, e)
		case f.r.Float64() < w.failing/4:
			w.running++ // given back at its end
			e.Kind, e.Result = Ended, []Result{Unreachable, Full, NotSent}[f.r.IntN(3)]
			f.later(3*ms, e)
		case w.running < w.slots:
			w.running++
			f.later(ms+Time(f.r.IntN(3000)), e)
		default:
			w.queue = append(w.queue, e)
		}
	case Cancel:
		f.later(2*ms, Event{Kind: Ended, Request: a.Request, Attempt: a.Attempt, Worker: f.v.jobs[a.Request].tries[a.Attempt].w, Result: Cancelled})
	case Tell:
		if a.Note.Kind == Ask && f.r.IntN(8) > 0 {
			f.later(5*ms+Time(f.r.IntN(60))*ms, Event{Kind: Heard, Peer: a.Peer, Note: Note{Kind: Load, Tag: a.Note.Tag, Slots: float64(f.r.IntN(5))}})
		}
	}
}
