package dispatch

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// What a dispatcher remembers, and how events reach the decisions. Nothing here decides: see rules.go.

// firstBase is taken for the quickest start of a zone until one is known.
const firstBase = 50 * Millisecond

const never = Time(math.MaxInt64 / 4)

// The bands of held work.
const (
	onTime = iota // can still earn its full worth
	behind        // beyond its tenant's share: waits behind all of the above
	bands
)

type attempt struct {
	w         *worker
	sentAt    Time
	startedAt Time // 0: not started
	noteAt    Time // of the last sign of progress
	out       bool
	neverRan  bool
	queued    bool    // has told of a queue at the worker
	pulled    bool    // taken back
	load      float64 // slots that all used there with it, as far as known
	late      bool    // queued so long that it cannot be in time
	stalled   bool
	raced     bool // what a queue there asks for has been done
}

type job struct {
	id       RequestID
	class    *classState
	tenant   *tenantState // nil: none
	need     float64      // slots, or memory units if that is more
	hint     Time         // the work told, 0: none
	work     Time         // expected, on a standard core; 0: not told
	landed   Time
	end      Time // the last moment for an answer
	aimAt    Time
	open     bool // owes its final answer
	band     int
	ticket   uint64 // of its entries in held lists; 0: not held
	heldAt   Time
	timer    uint64 // of its live entry among the timers
	attempts []attempt
	picks    []*worker // whose held lists it has joined
	drawn    bool      // has drawn picks before
	first    bool      // its picks are the first it drew
	step     int       // of joins since it was held
	joinAt   Time      // of the next
	key      uint64    // 0: none
	draws    uint64    // by the key, since it was held
	narrow   Narrow    // what the operator allows
	window   Time      // how long repeats are dropped; never: time does not matter
	most     int       // attempts, by the settings that it landed under
	pausedTo Time      // no further attempt before
}

// out counts the attempts that have not ended.
func (j *job) out() int {
	n := 0
	for i := range j.attempts {
		if j.attempts[i].out {
			n++
		}
	}
	return n
}

// unsent says whether the job is held with nothing out.
func (j *job) unsent() bool { return j.ticket != 0 && j.out() == 0 }

// running says whether an attempt that has not ended has started.
func (j *job) running() bool {
	for i := range j.attempts {
		if j.attempts[i].out && j.attempts[i].startedAt > 0 {
			return true
		}
	}
	return false
}

func (j *job) picked(w *worker) bool { return slices.Contains(j.picks, w) }

// addPick joins a worker's held list.
func (j *job) addPick(w *worker) {
	if len(j.picks) == picksMost {
		j.picks = append(j.picks[:0], j.picks[1:]...)
	}
	j.picks = append(j.picks, w)
	w.lists[j.band].push(j)
}

func (j *job) triedAt(w *worker) bool {
	for i := range j.attempts {
		if j.attempts[i].w == w {
			return true
		}
	}
	return false
}

func (j *job) mayHaveRun() bool { return j.ranSince() != never }

// ranSince is when the first attempt that may have run was ordered; never: none may have.
func (j *job) ranSince() Time {
	for i := range j.attempts {
		if !j.attempts[i].neverRan {
			return j.attempts[i].sentAt
		}
	}
	return never
}

type classState struct {
	Class
	run              float64 // usual run time, microseconds: too slow to follow a passing slowdown
	runs             float64
	spread           float64 // mean distance of runs from what was expected, as a part of that
	hints, logRun    float64 // means of the logarithms of hints and run times
	hintVar, hintCov float64 // and how they go together
}

// Notes. Where dispatchers may tell each other, each worker has a home among them that adds up what all use of it. A
// lost note costs nothing but that a job is placed without.

// heard takes a note: as a home, or with a load that was asked for.
func (d *Dispatcher) heard(peer int, n Note) {
	w := d.tags[n.Tag]
	switch {
	case n.Kind == Use:
		d.noteUse(peer, n)
	case n.Kind == Crowded:
		u := d.uses[n.Tag]
		u.fullUntil = d.now + queueLife
		d.uses[n.Tag] = u
	case n.Kind == Ask && d.now >= d.bornAt+homeAfter:
		u := d.uses[n.Tag]
		if d.now < u.fullUntil {
			u.sum += crowded
		}
		d.tell(peer, Note{Kind: Load, Tag: n.Tag, Slots: u.sum})
	case n.Kind == Load && w != nil:
		w.load, w.loadAt = n.Slots, d.now
		if peer != d.s.Ordinal {
			d.placeAll(w)
		}
	}
}

// knows says whether w's load has been told just now.
func (d *Dispatcher) knows(w *worker) bool {
	return d.s.CanTell && w.loadAt > 0 && d.now < w.loadAt+wordLife
}

// sent and freed keep the slots in use and tell the worker's home of them.
func (d *Dispatcher) sent(j *job, a attempt) {
	by := d.repeatBy(j) // by the attempts before this one
	j.attempts = append(j.attempts, a)
	if len(d.owing) > 0 {
		d.paid(a.w)
	}
	a.w.use += j.need
	d.inUse += j.need
	d.emit(Action{Kind: Send, Request: j.id, Worker: a.w.ID, Wait: j.narrow.Wait, By: by})
	d.tellHome(a.w, Use)
}

func (d *Dispatcher) freed(j *job, a *attempt) {
	a.out = false
	a.w.use -= j.need
	d.inUse -= j.need
	if a.startedAt > 0 {
		a.w.running -= j.need
	}
	d.tellHome(a.w, Use)
}

// takeBack cancels a job's attempts that are out, all but one.
func (d *Dispatcher) takeBack(j *job, but *attempt) {
	for i := range j.attempts {
		if a := &j.attempts[i]; a.out && !a.pulled && a != but {
			a.pulled = true
			d.emit(Action{Kind: Cancel, Request: j.id, Attempt: i})
		}
	}
}

// tellHome asks a worker's home for its load or tells it what we use there.
func (d *Dispatcher) tellHome(w *worker, kind NoteKind) {
	if d.s.CanTell {
		d.tell(int(w.Tag%uint64(d.s.GroupSize)), Note{Kind: kind, Tag: w.Tag, Slots: w.use})
	}
}

func (d *Dispatcher) tell(peer int, n Note) {
	if peer == d.s.Ordinal {
		d.heard(peer, n)
		return
	}
	d.emit(Action{Kind: Tell, Peer: peer, Note: n})
}

// placeAll places what waited for a worker's load.
func (d *Dispatcher) placeAll(w *worker) {
	for b := range w.lists {
		for _, j := range w.lists[b].oldest(d.now) {
			d.place(j)
		}
	}
}

// homeUse is what dispatchers have told to use of a worker whose home we are.
type homeUse struct {
	sum       float64
	fullUntil Time
	peers     []peerUse
}

type peerUse struct {
	peer  int
	slots float64
	at    Time
}

// crowded is added to the use of a worker that turned a job away or let one wait past its client's time, in slots.
const crowded = 16.0

// noteLife is how long a word on use counts that is not renewed: the word that it ended may have got lost.
const noteLife = 10 * Second

// noteUse takes over a dispatcher's word on its use of a worker.
func (d *Dispatcher) noteUse(peer int, n Note) {
	u := d.uses[n.Tag]
	u.peers = slices.DeleteFunc(u.peers, func(p peerUse) bool { return p.peer == peer || d.now >= p.at+noteLife })
	if n.Slots > 0 {
		u.peers = append(u.peers, peerUse{peer, n.Slots, d.now})
	}
	u.sum = 0
	for _, p := range u.peers {
		u.sum += p.slots
	}
	d.uses[n.Tag] = u
}

// point is a place of a worker on the ring of hashes, the same at every dispatcher. Each worker has several, so that
// their parts of the ring are about even.
type point struct {
	at uint32
	w  WorkerID
}

const ringPoints = 16

// onRing returns the index of the first point from a place on. New workers join, and those that have left go, when it is
// asked for and there are new ones: a dispatcher whose jobs have no keys keeps no ring.
func (d *Dispatcher) onRing(at uint32) int {
	if len(d.fresh) > 0 {
		add := make([]point, 0, len(d.fresh)*ringPoints)
		for _, w := range d.fresh {
			for i := range ringPoints {
				add = append(add, point{uint32(mix(w.Tag + uint64(i)<<32)), w.ID})
			}
		}
		slices.SortFunc(add, point.compare)
		// Guards against a ring full of machines that are gone, in which a key would find none of its workers.
		old := slices.DeleteFunc(d.ring, func(p point) bool {
			w := d.workers[p.w]
			w.ringed = w.ringed && w.told
			return !w.ringed
		})
		d.ring, d.fresh = make([]point, 0, len(old)+len(add)), d.fresh[:0]
		for len(old) > 0 && len(add) > 0 {
			next := &old
			if add[0].compare(old[0]) < 0 {
				next = &add
			}
			d.ring, *next = append(d.ring, (*next)[0]), (*next)[1:]
		}
		d.ring = append(append(d.ring, old...), add...)
	}
	i, _ := slices.BinarySearchFunc(d.ring, at, func(p point, at uint32) int { return cmp.Compare(p.at, at) })
	return i
}

func (p point) compare(o point) int { return cmp.Or(cmp.Compare(p.at, o.at), cmp.Compare(p.w, o.w)) }

// mix spreads numbers evenly (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// part is a worker's listed size against the mean, 1 where none is told.
func (d *Dispatcher) part(w *worker) float64 {
	if d.weight > 0 && w.Weight > 0 && !d.s.WeightsMove {
		return w.Weight / d.weight
	}
	return 1
}

// leastPart is the least that a worker's size may be against the mean. Guards against small ones of a fleet whose list tells no sizes:
// draws come to all alike, and a dispatcher of many sees too little of a worker to learn what it can do.
func (d *Dispatcher) leastPart(w *worker) float64 {
	if !d.s.Sized && !d.s.CanTell && d.s.Kinds > 1 && !w.kind.told {
		return coldBlind
	}
	return d.part(w)
}

// learnPace takes a run into a pace. Where many share the work each sees few runs: the first count for more.
func (k *kindState) learnPace(pace float64) {
	k.runs++
	k.pace += (pace - k.pace) * max(meanWeight, 1/(k.runs+firstRuns))
}

type tenantState struct {
	Tenant
	left float64 // requests within the share
	at   Time
}

// kindState is what workers of one kind have shown, or all workers together.
type kindState struct {
	size float64 // most slots known to have run at once
	told bool    // by a report on free slots
	pace float64
	runs float64
	wait float64 // mean wait for a start, in usual runs
}

// zoneState is what the workers of one zone have shown.
type zoneState struct {
	base    Time    // quickest start
	wait    float64 // mean wait for a start, in usual runs
	lost    float64 // share of connects that failed of late
	trialAt Time
}

type worker struct {
	Worker
	kind     *kindState
	told     bool    // on the list
	met      bool    // has been
	out      bool    // left out by hand, whatever the list says
	outAt    Time    // when that began last ...
	backAt   Time    // ... and ended; 0: never
	owedAt   Time    // when it is to get a job at the latest
	newsAt   Time    // of its first start or last restart
	room     float64 // slots; below 1: others fill it
	cutAt    Time
	use      float64 // our slots in flight
	running  float64 // our slots that have started
	lists    [bands]queue
	cap      float64 // slots, by the last report
	capUntil Time
	load     float64 // slots used there, by its home's word
	loadAt   Time
	askedAt  Time
	pace     float64
	runs     float64
	fails    float64
	outcomes float64
	distrust bool
	warnedAt Time // by another dispatcher last; 0: never
	silent   bool
	ringed   bool // has points on the ring, or will have
	trialAt  Time
	gap      Time // between trials
}

// isReady says whether the newest list takes the worker for one that may be sent to, and nobody has taken it out by hand.
func (w *worker) isReady() bool { return w.told && w.State == Ready && !w.out }

// start is when the worker started last, as far as is known: the operators start it anew while it is out. Where the list
// has not told a start since, it counts as started at the call back.
func (w *worker) start() Time {
	if w.StartedAt > w.outAt {
		return w.StartedAt
	}
	return w.backAt
}

// sign takes a worker's sign of life.
func (w *worker) sign() { w.silent, w.gap = false, 0 }

// sameGroup says whether two workers drop repeats of each other's jobs.
func sameGroup(g Group, a, b *worker) bool {
	return g == GroupAll || g == GroupZone && a.Zone >= 0 && a.Zone == b.Zone ||
		g == GroupCell && a.Cell >= 0 && a.Cell == b.Cell
}

// Dispatcher decides for one submitter. It is not safe for use by several goroutines at once.
type Dispatcher struct {
	s        Settings
	rng      *rand.Rand
	now      Time
	out      []Action
	classes  []classState
	tenants  []tenantState
	quotas   float64   // of all tenants together
	landings float64   // but for retries
	bornAt   Time      // of the first event
	workers  []*worker // by id
	kinds    []kindState
	zones    []zoneState
	ready    []*worker
	owing    []*worker // put back by hand and not used since
	near     []*worker // the ready ones in our own zone
	ring     []point   // of the workers listed when it last grew, and some that have left since
	fresh    []*worker // whose points are not in it yet
	weight   float64   // mean of the ready ones' listed weights
	coldTo   Time      // when all ready ones are warm
	doubted  int       // ready workers that are distrusted
	jobs     []*job    // by id
	pool     []*job
	held     [bands]queue // all held jobs, in the order of their landing
	waiting  [bands]float64
	timers   timerHeap
	serial   uint64
	armedAt  Time
	all      kindState
	room     float64 // mean of rooms at the ends of jobs
	fails    float64 // share of failures at all workers
	shedAt   Time
	uses     map[uint64]homeUse // of the workers whose home we are
	tags     map[uint64]*worker
	shed     float64 // how hard landings are refused, 0 to 1
	meanWork float64 // of landed jobs
	inUse    float64 // our slots in flight at all workers
	extra    float64
	version  uint64
	askAt    Time // when to ask for the list again
	askWait  Time
}

// New returns a dispatcher that knows no worker yet. The same settings, seed and events give the same actions.
func New(s Settings, seed uint64) (*Dispatcher, error) {
	if err := validate(&s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	d := &Dispatcher{s: s, rng: rand.New(rand.NewPCG(seed, 1)), armedAt: never, askAt: never,
		askWait: askAgain, extra: extraMost, room: roomStart, all: kindState{size: 1, pace: 1}}
	d.kinds = make([]kindState, s.Kinds+1) // the last is for kinds that the settings do not name
	for i := range d.kinds {
		d.kinds[i] = d.all
	}
	d.uses, d.tags = map[uint64]homeUse{}, map[uint64]*worker{}
	d.zones = make([]zoneState, s.Zones+1)
	for i := range d.zones {
		d.zones[i].base = firstBase
	}
	for _, c := range s.Classes {
		d.meanWork = max(d.meanWork, float64(c.Aim))
		d.classes = append(d.classes, newClass(c))
	}
	for _, t := range s.Tenants {
		d.tenants = append(d.tenants, tenantState{Tenant: t})
		d.quotas += t.Quota
	}
	return d, nil
}

// newClass is a class that has shown nothing yet.
func newClass(c Class) classState {
	aim := math.Log(float64(max(c.Aim, 1)))
	return classState{Class: c, run: float64(c.Aim), hints: aim, logRun: aim, hintVar: 1, hintCov: 1}
}

// retune takes other settings over. Jobs under way keep the class that they came under: they point to it, and it goes with
// the last of them. What was learned of a class goes on. Settings that make no sense are passed over.
func (d *Dispatcher) retune(e *Event) {
	if e.Settings == nil || validate(e.Settings) != nil {
		return
	}
	s := *e.Settings
	s.Zones, s.Kinds = max(s.Zones, d.s.Zones), max(s.Kinds, d.s.Kinds)
	classes := make([]classState, 0, len(s.Classes))
	for i, c := range s.Classes {
		state := newClass(c)
		if old := carried(e.Classes, i); old >= 0 && old < len(d.classes) {
			state = d.classes[old]
			state.Class = c
		}
		classes = append(classes, state)
	}
	tenants, quotas := make([]tenantState, 0, len(s.Tenants)), 0.0
	for i, t := range s.Tenants {
		state := tenantState{}
		if old := carried(e.Tenants, i); old >= 0 && old < len(d.tenants) {
			state = d.tenants[old]
		}
		state.Tenant = t
		tenants, quotas = append(tenants, state), quotas+t.Quota
	}
	for len(d.zones) <= s.Zones { // the last is for those that the settings do not name
		d.zones = slices.Insert(d.zones, len(d.zones)-1, zoneState{base: firstBase})
	}
	for len(d.kinds) <= s.Kinds {
		d.kinds = slices.Insert(d.kinds, len(d.kinds)-1, kindState{size: 1, pace: 1})
	}
	d.s, d.classes, d.tenants, d.quotas = s, classes, tenants, quotas
	for _, w := range d.workers {
		if w != nil {
			d.known(w)
		}
	}
	d.recount()
	for _, j := range d.jobs { // those that may make no attempt more end
		if j != nil && j.open {
			d.review(j)
		}
	}
}

// carried is the old number of a class or tenant, -1 where it is new.
func carried(from []int, i int) int {
	if i < len(from) {
		return from[i]
	}
	return -1
}

func validate(s *Settings) error {
	if len(s.Classes) == 0 {
		return errors.New("Classes: there are none")
	}
	for i, c := range s.Classes {
		if c.Kind < -1 || c.Kind >= s.Kinds {
			return fmt.Errorf("Classes[%d].Kind: %d is out of range", i, c.Kind)
		}
		if c.Effect > Unsafe || c.Group > GroupCell {
			return fmt.Errorf("Classes[%d].Effect or Group: out of range", i)
		}
		if c.Aim < 0 || c.Deadline <= 0 || c.Window < 0 || !(c.Stretch >= 0) || !(c.LateWorth >= 0) {
			return fmt.Errorf("Classes[%d].Aim, Deadline, Window, Stretch or LateWorth: negative or missing", i)
		}
		if !(c.Worth >= 0) {
			return fmt.Errorf("Classes[%d].Worth: %v is negative", i, c.Worth)
		}
	}
	for i, t := range s.Tenants {
		if !(t.Quota >= 0) {
			return fmt.Errorf("Tenants[%d].Quota: %v is negative", i, t.Quota)
		}
	}
	if s.Zone < -1 || s.Zone >= s.Zones {
		return fmt.Errorf("Zone: %d is out of range", s.Zone)
	}
	if s.Ordinal < 0 || s.Ordinal >= max(s.GroupSize, 1) {
		return fmt.Errorf("Ordinal: %d is not in the group", s.Ordinal)
	}
	if s.GroupSize < 1 || s.MaxAttempts < 1 {
		return errors.New("GroupSize or MaxAttempts: less than 1")
	}
	for _, t := range []struct {
		name string
		t    Time
	}{{"Tick", s.Tick}, {"MaxRetryAfter", s.MaxRetryAfter}, {"ConnectTimeout", s.ConnectTimeout},
		{"Progress", s.Progress}, {"AskWithin", s.AskWithin}, {"DrainGrace", s.DrainGrace},
		{"WarmWithin", s.WarmWithin}, {"FallWindow", s.FallWindow}, {"IdleClose", s.IdleClose}} {
		if t.t < 0 {
			return fmt.Errorf("%s: %d is negative", t.name, t.t)
		}
	}
	if !(s.ColdFrom >= 0) || !(s.FallMultiple >= 0) || !(s.PriceCross >= 0) ||
		!(s.PriceFetch >= 0) || !(s.OverShareWorth >= 0) {
		return errors.New("ColdFrom, FallMultiple, PriceCross, PriceFetch or OverShareWorth: negative")
	}
	return nil
}

// Handle decides on one event and appends what is to be done to out.
func (d *Dispatcher) Handle(now Time, e *Event, out []Action) []Action {
	d.now, d.out = max(now, d.now), out
	if d.bornAt == 0 {
		d.bornAt = d.now
	}
	j := d.job(e.Request)
	switch e.Kind {
	case ListSnapshot, ListChange:
		d.listNews(e)
	case ListLost:
		d.listLost()
	case Arrived:
		if j == nil && e.Class >= 0 && e.Class < len(d.classes) {
			d.land(d.newJob(e), e.Retry)
		}
	case Started, Progressed, AnswerBegan, Ended:
		if j != nil && e.Attempt >= 0 && e.Attempt < len(j.attempts) && j.attempts[e.Attempt].out {
			d.attemptNews(j, &j.attempts[e.Attempt], e)
		}
	case ClientGone:
		if j != nil && j.open {
			d.close(j)
		}
	case Heard: // nonsense from peers is passed over
		if d.s.CanTell && e.Peer >= 0 && e.Peer < d.s.GroupSize && e.Peer != d.s.Ordinal && e.Note.Slots >= 0 {
			d.heard(e.Peer, e.Note)
		}
	case Retuned:
		d.retune(e)
	case TakenOut, PutBack:
		d.byHand(e)
	case Warned:
		d.warned(e)
	case TimerFired:
		if d.armedAt <= d.now {
			d.armedAt = never
		}
	}
	d.runTimers()
	out, d.out = d.out, nil
	return out
}

// expect is a job's expected work in microseconds on a standard core.
func (d *Dispatcher) expect(j *job) float64 {
	if j.work > 0 {
		return float64(j.work)
	}
	return j.class.run
}

func (d *Dispatcher) emit(a Action) { d.out = append(d.out, a) }

func (d *Dispatcher) job(id RequestID) *job {
	if int(id) < len(d.jobs) {
		return d.jobs[id]
	}
	return nil
}

func (d *Dispatcher) worker(id WorkerID) *worker {
	if id >= 0 && int(id) < len(d.workers) {
		return d.workers[id]
	}
	return nil
}

func (d *Dispatcher) newJob(e *Event) *job {
	var j *job
	if n := len(d.pool); n > 0 {
		j, d.pool = d.pool[n-1], d.pool[:n-1]
	} else {
		j = new(job)
	}
	*j = job{id: e.Request, class: &d.classes[e.Class], need: max(float64(e.Slots), e.Memory, 1), hint: e.Work,
		landed: d.now, end: d.now + e.Left - d.s.Tick, open: true, attempts: j.attempts[:0], picks: j.picks[:0], narrow: e.Narrow,
		key: e.Key, most: d.s.MaxAttempts}
	if e.Narrow.Within > 0 {
		j.end = min(j.end, d.now+e.Narrow.Within)
	}
	if j.window = never; j.class.Effect == Keyed {
		j.window = j.class.Window
		if e.Narrow.Window > 0 {
			j.window = min(j.window, e.Narrow.Window)
		}
	}
	if d.s.PriceFetch <= 0 {
		j.key = 0
	}
	j.work = j.class.believe(j.hint)
	if e.Tenant >= 0 && e.Tenant < len(d.tenants) {
		j.tenant = &d.tenants[e.Tenant]
	}
	gone := max(0, j.class.Deadline-e.Left) // earlier tries of the client have used this much of the aim
	j.aimAt = min(d.now-gone+j.class.Aim+Time(j.class.Stretch*d.expect(j)), j.end)
	for int(e.Request) >= len(d.jobs) {
		d.jobs = append(d.jobs, nil)
	}
	d.jobs[e.Request] = j
	return j
}

func (d *Dispatcher) attemptNews(j *job, a *attempt, e *Event) {
	switch {
	case e.Kind == Started && a.startedAt == 0:
		d.started(j, a)
	case e.Kind == Progressed:
		a.noteAt, a.stalled = d.now, false
		a.w.sign()
		d.schedule(j)
	case e.Kind == AnswerBegan:
		a.noteAt, j.end = d.now, never
	case e.Kind == Ended:
		d.ended(j, a, e)
	}
}

// close ends a job that owes no answer any more. Its attempts that are out still hold their slots, until the end of
// each is told; after the last it is forgotten.
func (d *Dispatcher) close(j *job) {
	d.unhold(j)
	if d.pulls() {
		d.takeBack(j, nil)
	}
	j.open = false
	if j.out() == 0 {
		d.jobs[j.id] = nil
		j.timer = 0
		d.pool = append(d.pool, j)
	}
}

// unhold deletes a job's entries in all lists: entries of another ticket than the job's are dead.
func (d *Dispatcher) unhold(j *job) {
	if j.ticket != 0 {
		j.ticket = 0
		d.waiting[j.band] -= j.need
	}
}

// orphans strikes the entries of workers that drain or are gone, and returns their held jobs.
func (d *Dispatcher) orphans() (jobs []*job) {
	for _, w := range d.workers {
		if w == nil || w.isReady() {
			continue
		}
		for b := range w.lists {
			for _, e := range w.lists[b].items[w.lists[b].head:] {
				if e.live() {
					jobs = append(jobs, e.j)
				}
			}
			w.lists[b] = queue{}
		}
	}
	return jobs
}

// enlist gives a job its place among the held ones.
func (d *Dispatcher) enlist(j *job) {
	d.serial++
	j.ticket, j.heldAt, j.step, j.picks = d.serial, d.now, 0, j.picks[:0]
	j.draws = 0
	j.first, j.drawn = !j.drawn, true
	d.waiting[j.band] += j.need
	d.held[j.band].push(j)
}

// schedule sets a job's timer to what is due first.
func (d *Dispatcher) schedule(j *job) {
	at := j.end
	if j.ticket != 0 {
		at = min(at, j.joinAt)
		if j.unsent() {
			at = min(at, d.sendBy(j))
		}
	}
	if d.hopeless(j) {
		at = min(at, j.aimAt)
	}
	for i := range j.attempts {
		at = min(at, d.signDue(j, &j.attempts[i]))
	}
	d.setTimer(j, at)
}

// setTimer replaces a job's timer.
func (d *Dispatcher) setTimer(j *job, at Time) {
	d.serial++
	j.timer = d.serial
	d.timers.push(timer{at: max(at, d.now+1), j: j, serial: j.timer})
}

// runTimers does all that is due and asks for a timer for the next.
func (d *Dispatcher) runTimers() {
	for len(d.timers) > 0 && d.timers[0].at <= d.now {
		if t := d.timers.pop(); t.j.timer == t.serial {
			d.review(t.j)
		}
	}
	if d.now >= d.askAt {
		d.ask()
	}
	next := d.askAt
	if len(d.timers) > 0 {
		next = min(next, d.timers[0].at)
	}
	if next < d.armedAt {
		d.armedAt = max(next, d.now+d.s.Tick)
		d.emit(Action{Kind: SetTimer, Wait: d.armedAt - d.now})
	}
}

// updateList takes over the list's news.
func (d *Dispatcher) updateList(e *Event) {
	d.version = e.Version
	if e.Kind == ListSnapshot {
		for _, w := range d.workers {
			if w != nil {
				w.told = false
			}
		}
	}
	for i := range e.Workers {
		d.entry(&e.Workers[i])
	}
	d.recount()
}

// recount finds the ready workers and what goes with them.
func (d *Dispatcher) recount() {
	d.ready, d.near, d.weight, d.doubted, d.coldTo = d.ready[:0], d.near[:0], 0, 0, 0
	for _, w := range d.workers {
		if w == nil || !w.isReady() {
			continue
		}
		d.ready = append(d.ready, w)
		d.weight += w.Weight
		if w.start() > 0 {
			d.coldTo = max(d.coldTo, w.start()+d.s.WarmWithin)
		}
		if w.distrust {
			d.doubted++
		}
		if w.Zone == d.s.Zone {
			d.near = append(d.near, w)
		}
	}
	d.weight /= float64(max(1, len(d.ready)))
	for _, w := range d.ready {
		if w.newsAt == d.now { // welcomed above, before the mean size was known
			w.room = d.room * d.part(w)
		}
	}
}

func (d *Dispatcher) entry(n *Worker) {
	w := d.meet(n.ID)
	if !w.met {
		w.met, w.Kind = true, n.Kind
		d.known(w)
		d.tags[n.Tag] = w
		d.welcome(w)
	} else if n.StartedAt > w.start() {
		d.welcome(w)
	}
	w.Worker, w.told = *n, n.State != Gone
	d.known(w)
}

// known gives a worker the state of its kind, and its points on the ring where the settings ask for one.
func (d *Dispatcher) known(w *worker) {
	w.kind = &d.kinds[len(d.kinds)-1]
	if w.met && w.Kind >= 0 && w.Kind < d.s.Kinds {
		w.kind = &d.kinds[w.Kind]
	}
	if w.told && !w.ringed && d.s.PriceFetch > 0 {
		w.ringed, d.fresh = true, append(d.fresh, w)
	}
}

// meet returns the worker of an id; one that has not been listed yet knows nothing of itself.
func (d *Dispatcher) meet(id WorkerID) *worker {
	for int(id) >= len(d.workers) {
		d.workers = append(d.workers, nil)
	}
	if d.workers[id] == nil {
		d.workers[id] = &worker{Worker: Worker{ID: id, State: Gone}, kind: &d.kinds[len(d.kinds)-1]}
	}
	return d.workers[id]
}

// byHand takes the operators' word on a worker over: a fact beside the list's, which no list undoes.
func (d *Dispatcher) byHand(e *Event) {
	if e.Worker < 0 {
		return
	}
	w := d.meet(e.Worker)
	if e.Kind == PutBack {
		w.backAt = max(w.backAt, d.now-max(e.Elapsed, 0))
		if !w.out { // another process of ours took it out: when, it did not say
			w.outAt = w.backAt
		}
	}
	if out := e.Kind == TakenOut; w.out != out {
		if w.out = out; out {
			w.outAt = d.now
		} else {
			d.welcome(w)
			d.owe(w)
		}
		d.recount()
		d.paid(nil)
		d.repick()
	}
}

// heedAgain is how long another dispatcher's word on a worker that has proved good for us since is not heeded again: a worker may
// fail for one dispatcher alone.
const heedAgain = 10 * Second

// warned distrusts a worker that fails for another dispatcher: single trials, of jobs that may be repeated, until one succeeds for
// us. What we saw ourselves counts for more; what all share is no one's fault, so that a third are distrusted at the most.
func (d *Dispatcher) warned(e *Event) {
	if e.Worker < 0 {
		return
	}
	w := d.meet(e.Worker)
	if w.silent || w.distrust || w.warnedAt > 0 && d.now-w.warnedAt < heedAgain {
		return
	}
	if !w.isReady() || d.doubted >= len(d.ready)/3 {
		return
	}
	w.warnedAt, w.distrust = d.now, true
	w.fails, w.outcomes = 2*failMargin, 0 // so much that one success ends it
	d.doubted++
	d.spaceTrials(w)
	d.repick()
}

// paid says that a worker that was put back has got a job, or gets none, as it was taken out again.
func (d *Dispatcher) paid(w *worker) {
	d.owing = slices.DeleteFunc(d.owing, func(o *worker) bool { return o == w || o.out })
}

// owed is a worker whose time has come to get a job; nil where there is none.
func (d *Dispatcher) owed() *worker {
	for _, w := range d.owing {
		if w.isReady() && d.now >= w.owedAt {
			return w
		}
	}
	return nil
}

// repick gives what is held at workers that are not ready another pick.
func (d *Dispatcher) repick() {
	for _, j := range d.orphans() {
		d.draw(j, 1)
	}
}

// zone is the state of a worker's zone.
func (d *Dispatcher) zone(w *worker) *zoneState {
	if w.Zone >= 0 && w.Zone < d.s.Zones {
		return &d.zones[w.Zone]
	}
	return &d.zones[d.s.Zones]
}

// held lists: entries live as long as their job is held under the same ticket.

type entry struct {
	j      *job
	ticket uint64
}

func (e *entry) live() bool { return e.ticket == e.j.ticket }

// queue is a first-come list whose dead entries go when they reach the head.
type queue struct {
	items []entry
	head  int
}

func (q *queue) push(j *job) {
	q.trim()
	q.items = append(q.items, entry{j, j.ticket})
}

// oldest returns the oldest jobs that are held since before a time, scanMost of them at the most.
func (q *queue) oldest(before Time) (jobs []*job) {
	q.trim()
	for _, e := range q.items[q.head:] {
		if e.live() && (len(jobs) == scanMost || e.j.heldAt > before) {
			break
		}
		if e.live() {
			jobs = append(jobs, e.j)
		}
	}
	return jobs
}

// age is how long the oldest has been held.
func (q *queue) age(now Time) Time {
	if q.trim(); q.head < len(q.items) {
		return now - q.items[q.head].j.heldAt
	}
	return 0
}

// trim drops dead entries at the head and the space before it.
func (q *queue) trim() {
	for q.head < len(q.items) && !q.items[q.head].live() {
		q.items[q.head] = entry{}
		q.head++
	}
	if q.head == len(q.items) {
		q.items, q.head = q.items[:0], 0
	} else if q.head > 64 && 2*q.head > len(q.items) {
		q.items = q.items[:copy(q.items, q.items[q.head:])]
		q.head = 0
	}
}

type timer struct {
	at     Time
	serial uint64
	j      *job
}

func (t *timer) before(o *timer) bool { return t.at < o.at || t.at == o.at && t.serial < o.serial }

// timerHeap is a binary heap, the earliest first.
type timerHeap []timer

func (h *timerHeap) push(t timer) {
	s := append(*h, t)
	i := len(s) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !s[i].before(&s[up]) {
			break
		}
		s[i], s[up] = s[up], s[i]
		i = up
	}
	*h = s
}

func (h *timerHeap) pop() timer {
	s := *h
	top := s[0]
	n := len(s) - 1
	s[0], s[n] = s[n], timer{}
	s = s[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c >= n {
			break
		}
		if c+1 < n && s[c+1].before(&s[c]) {
			c++
		}
		if !s[c].before(&s[i]) {
			break
		}
		s[i], s[c] = s[c], s[i]
		i = c
	}
	*h = s
	return top
}
