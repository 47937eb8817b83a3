// Every decision of the dispatcher. Its interface (settings, events, actions) stands in
// dispatch/interface.go, what it remembers in dispatch/state.go; docs/design.md tells why, and when each
// exception to the design acts.

package dispatch

import (
	"math"
	"slices"
)

// Constants: value, unit, reason. docs/design.md tells how sensitive the results are to each.
const (
	pickCount  = 2                 // held lists that a job joins at its landing: the paper's d
	joinCount  = 24                // lists that it joins each time it has found no room
	picksMost  = 64                // picks weighed for one job: bounds the work of an event
	scanMost   = 8                 // held jobs looked at for one that fits, draws for a pick
	ringScan   = 64                // points of the ring looked at for a worker that is ready and warm
	joinTick   = 10 * Millisecond  // no room for this long: further workers join the picks
	crossWait  = 2 * Second / 10   // longer wait, times the price of a crossing, before other zones join
	costWeight = 15.0              // rooms that a crossing or a fetch weighs, times its price
	roomStart  = 2.0               // slots; every dispatcher takes this of a worker whose size nobody knows
	roomStep   = 0.5               // slots of room for each slot of success at the room
	roomFloor  = 1.0 / 8           // slots at the least
	roomFade   = 2.0               // usual runs until a cut is forgotten: others' load has changed by then
	lastCut    = 0.75              // factor on a room of one job that queued behind others
	queueSlack = 40 * Millisecond  // a start this far past two of the quickest: a queue at the worker
	copySlack  = 10 * Millisecond  // the same where a copy elsewhere costs next to nothing
	reportLife = 200 * Millisecond // free slots told count this long: slots turn over within a run
	sizeStep   = 8.0               // slots by which one report raises a kind's size at the most
	queueLife  = 2 * Second        // a worker told to be crowded counts as that this long: queues last
	askLife    = 60 * Millisecond  // a pick's load is waited for this long: notes take up to 54 ms and back
	wordLife   = 600 * Millisecond // a home's word counts this long: an older one says more than none
	askCount   = 4                 // workers that a draw joins where each is asked for: notes have a price
	homeAfter  = 1 * Second        // a home that has just started has not heard of all use
	stallSlack = 400 * Millisecond // a progress note later than this is no pause: the worker stands still
	newWeight  = 0.2               // weight of the newest outcome, start, connect or run where few are seen
	meanWeight = 0.02              // and in means over all workers
	firstRuns  = 4.0               // runs that the pace taken for the start counts as: one run tells little
	usualRuns  = 0.005             // and in a class's usual run, so that slowdowns pass sooner
	failMargin = 0.25              // share of failures above twice the peers': distrust
	trialGap   = 250 * Millisecond // between the first trials of a worker that is distrusted or silent
	owedAfter  = 500 * Millisecond // so long at least only draws find a worker that was put back by hand ...
	owedWithin = 3 * Second        // ... and at most: from then on it is owed a job
	trialMost  = 4 * Second        // between its trials at the most: they double
	paceMost   = 20.0              // times the mean pace that one run counts for at most
	coldBlind  = 0.5               // part of the mean size that a cold worker may have where none is told
	coldPicks  = 1.5               // picks of a cold worker for each job that it gets: others take the rest
	extraShare = 0.15              // further attempts for each landing: bounds retry storms
	extraMost  = 10.0              // further attempts saved up at most
	cheapWaste = 0.1               // price of a copy, its work and its fetch, up to which waiting jobs move
	shedUp     = 0.3               // harder refusing for each job that a queue makes start too late ...
	shedDown   = 0.1               // ... and less for each other start: a quarter may be late
	shedFade   = 5 * Second        // refusing fades by itself over this: who refuses all sees no start
	shedSkew   = 3.0               // how much rather landings beyond a tenant's share are refused
	usualOver  = 5.0               // seconds of an equal part of all traffic that weigh against our landings
	shareLeast = 12.0              // requests that a tenant may send at once, or a second of its share
	askAgain   = 200 * Millisecond // first wait before a lost list is asked for again: doubles
	askTimes   = 3                 // asks within AskWithin at the least while there is no answer
)

// maySend says whether the rules allow an attempt. All sends pass send, all answers finish: the choke point.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	return j.open && d.now < j.end && len(j.attempts) < d.most(j) && d.now >= j.pausedTo && // rule one
		j.out() < 2 && d.mayRepeat(j, w) && // rule two
		w.isReady() && // rule three: not even within the grace
		(d.warmth(w) >= 1 || j.first && j.heldAt >= w.newsAt && j.picked(w)) // rule four: see coldBears
}

// most is how many attempts a job may have.
func (d *Dispatcher) most(j *job) int {
	if j.narrow.Attempts > 0 {
		return min(j.narrow.Attempts, j.most, d.s.MaxAttempts)
	}
	return min(j.most, d.s.MaxAttempts) // guards against an attempt that new settings do not allow any more
}

func (d *Dispatcher) send(j *job, w *worker) bool {
	if !d.maySend(j, w) {
		return false
	}
	d.unhold(j)
	a := attempt{w: w, sentAt: d.now, noteAt: d.now, out: true}
	if d.knows(w) {
		w.load += j.need
		a.load = w.load
	}
	if w.distrust || w.silent {
		d.spaceTrials(w)
	}
	d.sent(j, a)
	d.schedule(j)
	return true
}

// finish gives the final answer: a refusal where that cannot bring a second effect, else a failure.
func (d *Dispatcher) finish(j *job) {
	if !j.open {
		return
	}
	a := Action{Kind: Refuse, Request: j.id}
	dropsRepeats := j.class.Effect == Safe || j.class.Effect == Keyed && j.class.Group == GroupAll
	if j.mayHaveRun() && !dropsRepeats {
		a.Kind = GiveUp
	} else if d.s.RetryAfter {
		a.Wait = min(d.backlog(j), d.s.MaxRetryAfter)
	}
	d.emit(a)
	d.close(j)
}

// mayRepeat says whether an attempt at w can have no second effect, whatever became of the earlier ones.
func (d *Dispatcher) mayRepeat(j *job, w *worker) bool {
	for i := range j.attempts {
		a := &j.attempts[i]
		harmless := !j.narrow.Strict && (j.class.Effect == Safe || j.class.Effect == Keyed &&
			sameGroup(j.class.Group, a.w, w))
		if !a.neverRan && (!harmless || a.out && (!d.s.SecondCopies || j.narrow.Single || a.w == w)) {
			return false
		}
	}
	return d.now < d.repeatBy(j)
}

// repeatBy is when a further attempt has to be out by its first byte: repeats are dropped for so long only,
// from our order of the first that may have run, as that one went out no sooner.
func (d *Dispatcher) repeatBy(j *job) Time { return j.ranSince() + j.window - d.s.Tick }

// warmth is the share of its capacity that a worker has at the least.
func (d *Dispatcher) warmth(w *worker) float64 {
	age := max(0, d.now-w.start())
	if w.start() <= 0 || age >= d.s.WarmWithin {
		return 1
	}
	return d.s.ColdFrom + (1-d.s.ColdFrom)*float64(age)/float64(d.s.WarmWithin)
}

// coldBears is the chance by which a draw of a cold worker counts: at full load as many jobs take a worker as
// it could run when warm, and so many draws count that hardly any window brings more than it bears. Draws
// come to all alike, whatever they can do, so one that can do less counts fewer.
func (d *Dispatcher) coldBears(w *worker) float64 {
	full := w.kind.size * float64(d.s.FallWindow) / (d.meanWork * d.paceOf(w))
	root := max(0, math.Sqrt(d.s.FallMultiple*d.warmth(w)*full+1)-1)
	return min(1, coldPicks*d.leastPart(w)*d.all.pace/d.paceOf(w)*root*root/full)
}

// believe shrinks a hint towards the mean as far as hints told little of run times (a regression of logs).
func (c *classState) believe(hint Time) Time {
	if hint <= 0 {
		return 0
	}
	c.hints += (math.Log(float64(hint)) - c.hints) * meanWeight
	trust := min(1, max(0, c.hintCov/c.hintVar))
	return Time(math.Exp(c.hints + trust*(math.Log(float64(hint))-c.hints)))
}

// until is the last moment to send a job for its full worth on a usual worker; heavy ones get a quarter.
// Where nothing tells the work, half would be late by its spread, which moves the aim by more than the run.
func (d *Dispatcher) until(j *job) Time {
	run := d.expect(j) * d.all.pace
	if j.work == 0 {
		run += j.class.spread * math.Abs(j.class.Stretch-1) * run
	}
	return max(j.aimAt-Time(run), j.landed+(j.aimAt-j.landed)/4)
}

// sendBy is the last moment to send a held job that has nothing out.
func (d *Dispatcher) sendBy(j *job) Time {
	if j.narrow.Hold > 0 {
		return min(d.until(j), j.landed+j.narrow.Hold)
	}
	return d.until(j)
}

// backlog is how long the work ahead takes with what we have in flight (Little's law), as far as waits agree.
func (d *Dispatcher) backlog(j *job) Time {
	ahead := d.waiting[onTime]
	if j.band == behind {
		ahead += d.waiting[behind]
	}
	if j.ticket != 0 {
		ahead -= j.need
	}
	wait := Time(max(0, ahead) * d.meanWork * d.all.pace / max(d.inUse, 1))
	return min(wait, joinTick+2*d.held[j.band].age(d.now))
}

// overShare says whether a job goes beyond its tenant's share: our part of it is our part of all traffic.
func (d *Dispatcher) overShare(j *job, retry bool) bool {
	t := j.tenant
	if t == nil || d.s.OverShareWorth >= 1 || d.quotas <= 0 {
		return false
	}
	ours := d.quotas / float64(d.s.GroupSize) * usualOver
	usual := (ours + d.landings) / (usualOver + float64(d.now-d.bornAt)/float64(Second))
	rate := t.Quota * min(1, usual/d.quotas)
	t.left = min(max(shareLeast, rate), t.left+rate*float64(d.now-t.at)/float64(Second))
	t.at = d.now
	over := t.left < 1
	if !retry {
		d.landings++
		t.left = max(0, t.left-1)
	}
	return over
}

// press follows how many jobs start too late: with many dispatchers the queues stand at the workers.
func (d *Dispatcher) press(change float64) {
	d.shed = max(0, d.shed*math.Exp(-float64(d.now-d.shedAt)/float64(shedFade))+change)
	d.shed, d.shedAt = min(1, d.shed), d.now
}

func (d *Dispatcher) land(j *job, retry bool) {
	d.extra = min(extraMost, d.extra+extraShare)
	d.meanWork += (d.expect(j) - d.meanWork) * meanWeight
	part := 1.0
	j.drawn = retry // repeats draw no cold workers: a storm of them would push these over
	if d.overShare(j, retry) {
		j.band, part = behind, d.s.OverShareWorth
	}
	d.press(0)
	// Guards against queues in which all end late, at the workers or here, and waits that come to nothing.
	switch by := d.until(j); {
	case d.now+d.backlog(j) <= by && d.rng.Float64() >= math.Pow(d.shed, shedSkew*part):
		d.hold(j)
	case d.now > by || !d.sendCold(j):
		d.finish(j)
	}
}

// sendCold sends a job that would be refused to a cold worker, if one is drawn and has room: the queues that
// refuse it stand at the warm ones. Without, cold workers get the fewer jobs the more they are needed.
func (d *Dispatcher) sendCold(j *job) bool {
	if d.now >= d.coldTo || d.s.CanTell { // none is cold, or a draw costs notes that would come too late
		return false
	}
	d.enlist(j)
	d.draw(j, pickCount)
	warm := func(w *worker) bool { return d.warmth(w) >= 1 }
	j.picks = slices.DeleteFunc(j.picks, warm)
	return d.place(j)
}

// hold joins the lists of random ready workers and sends at once where one of them has room.
func (d *Dispatcher) hold(j *job) {
	d.enlist(j)
	d.draw(j, pickCount)
	if !d.place(j) {
		d.schedule(j)
	}
}

// draw joins the lists of n further workers; where notes tell loads, it asks for those that it does not know.
func (d *Dispatcher) draw(j *job, n int) {
	j.joinAt = d.now + joinTick
	if d.s.CanTell {
		j.joinAt, n = d.now+askLife, min(n, askCount) // no worker is used blindly that others may crowd
	}
	for i := range n {
		w := d.pick(j, i%2 == 0)
		if w == nil || j.picked(w) {
			continue
		}
		j.addPick(w)
		if d.s.CanTell && d.now >= w.askedAt+askLife {
			w.askedAt = d.now
			d.tellHome(w, Ask)
		}
	}
}

// farAfter is how long a job must have waited before all zones join its picks.
func (d *Dispatcher) farAfter() Time { return joinTick + Time(d.s.PriceCross*float64(crossWait)) }

// pick draws a random ready worker that may be used, of all zones the more often the longer starts wait near.
func (d *Dispatcher) pick(j *job, near bool) *worker {
	if w := d.owed(); w != nil && near && j.first && j.step == 0 && j.class.Kind < 0 {
		return w
	}
	from, even := d.ready, 1.0
	if cost := costWeight * d.s.PriceCross; j.key == 0 && cost > 0 && len(d.near) > 0 &&
		(near || d.now < j.heldAt+d.farAfter() && math.Sqrt(d.rng.Float64())*cost >= d.zones[d.s.Zone].wait) {
		// Where few are left of a zone, its draws would bring a cold one many times its part.
		from, even = d.near, min(1, float64(len(d.near)*d.s.Zones)/float64(len(d.ready)))
	}
	for i := range min(scanMost, len(from)) {
		w := d.drawn(j, from)
		z := d.zone(w)
		switch {
		case (w.distrust || w.silent) && d.now < w.trialAt:
		case z.lost > 0.5 && d.now < z.trialAt: // guards against a cut link: none behind it can be reached
		case d.warmth(w) < 1 && i > 0: // nor does it take the draws of those passed over
		case d.warmth(w) < 1 && !(j.first && j.step == 0 && d.rng.Float64() < even*d.coldBears(w)):
			return nil // not drawn again: that would raise the others' chance
		default:
			z.trialAt = d.now + trialGap
			return w
		}
	}
	return nil
}

// drawn draws a worker at random. Where jobs need what workers keep, the key's hash takes the random source's
// place: all dispatchers draw the same workers for a key, in the same order. A cold one is drawn evenly, as a
// hash would bring it more than its part (one fell over at seven times what it bore).
func (d *Dispatcher) drawn(j *job, from []*worker) *worker {
	w := from[d.rng.IntN(len(from))]
	if j.key == 0 || d.warmth(w) < 1 {
		return w
	}
	j.draws++
	at := d.onRing(uint32(mix(j.key + j.draws<<56)))
	for i := range min(ringScan, len(d.ring)) {
		if h := d.workers[d.ring[(at+i)%len(d.ring)].w]; h.isReady() && d.warmth(h) >= 1 {
			return h
		}
	}
	return w
}

// place sends a held job to the pick that has room and uses least of it, ties at random, once loads are told.
func (d *Dispatcher) place(j *job) bool {
	var best *worker
	least := math.Inf(1)
	for i, w := range j.picks {
		if w.askedAt > w.loadAt && d.now < w.askedAt+askLife {
			return false
		}
		if !d.hasRoom(j, w) {
			continue
		}
		x := d.usage(j, w)
		if j.key != 0 {
			x += costWeight * d.s.PriceFetch * float64(i)
		}
		if x < least || x == least && d.rng.IntN(2) == 0 {
			best, least = w, x
		}
	}
	return best != nil && d.send(j, best)
}

// usage is the share of its room that w would use, times its pace, and more where jobs wait or if it is far.
func (d *Dispatcher) usage(j *job, w *worker) float64 {
	use := (w.use+j.need)/d.roomOf(w)*d.paceOf(w)/d.all.pace + w.kind.wait + d.zone(w).wait
	if d.knows(w) {
		use = (w.load + j.need) / w.kind.size * d.paceOf(w) / d.all.pace
	}
	if !d.s.CanTell && d.s.WeightsMove && w.Weight > 0 {
		use *= d.weight / w.Weight * d.weight / w.Weight // it falls as others fill the worker
	}
	if w.Zone != d.s.Zone {
		use += costWeight * d.s.PriceCross
	}
	return use
}

// roomOf is a worker's room. With nothing of ours there and no notes, a cut fades to the mean by listed size.
func (d *Dispatcher) roomOf(w *worker) float64 {
	usual := d.room * d.part(w)
	if w.room >= usual || w.use > 0 || d.s.CanTell {
		return w.room
	}
	return w.room + (usual-w.room)*min(1, float64(d.now-w.cutAt)/(roomFade*d.meanWork*d.all.pace))
}

// paceOf is how long a worker takes for a unit of work; what it has not shown itself is taken from its kind.
func (d *Dispatcher) paceOf(w *worker) float64 {
	if w.runs > 0 {
		return w.pace
	}
	return w.kind.pace
}

// hasRoom says whether a job may go to w by the rules, by w's health and by its room.
func (d *Dispatcher) hasRoom(j *job, w *worker) bool {
	if !d.maySend(j, w) || j.class.Kind >= 0 && w.Kind != j.class.Kind {
		return false
	}
	switch {
	case j.triedAt(w) && len(d.ready) > 1, !d.knows(w) && d.now < w.capUntil && w.use+j.need > w.cap:
		return false // the first guards against a worker that fails one job again and again
	case !d.s.CanTell && d.s.WeightsMove && w.Weight > 0 && w.Weight < d.weight/2 &&
		d.now < j.heldAt+d.farAfter(): // others fill it, as far as its weight has told
		return false
	case w.distrust || w.silent: // guards against a black hole: a worker that errs or hangs always has room
		return w.use == 0 && d.now >= w.trialAt && j.class.Effect != Unsafe
	case d.knows(w):
		return w.load+j.need <= w.kind.size || w.load <= w.kind.size && d.now >= j.heldAt+d.farAfter()
	}
	return w.use+j.need <= d.roomOf(w) || w.use == 0
}

// serve sends held jobs to a worker while it has room: the oldest of its own list, then those it may join.
func (d *Dispatcher) serve(w *worker) {
	heldBefore := d.now - joinTick
	if w.Zone != d.s.Zone {
		heldBefore = d.now - d.farAfter()
	}
	for b := range bands {
		for _, j := range append(w.lists[b].oldest(d.now), d.held[b].oldest(heldBefore)...) {
			if j.ticket != 0 && d.hasRoom(j, w) {
				d.send(j, w)
			}
		}
	}
}

// review does what time has made due for a job.
func (d *Dispatcher) review(j *job) {
	for i := range j.attempts {
		d.overdue(j, &j.attempts[i])
	}
	switch {
	case d.now >= j.end, d.now >= j.aimAt && d.hopeless(j),
		j.unsent() && (d.now >= d.sendBy(j) || len(j.attempts) >= d.most(j)):
		d.finish(j)
	case j.ticket != 0 && d.now >= j.joinAt:
		j.step++
		if !d.place(j) {
			d.draw(j, joinCount)
			d.place(j)
		}
	}
	if j.open {
		d.schedule(j)
	}
}

// hopeless says whether a job only waits at workers, in queues, and is worth nothing once its aim has passed.
func (d *Dispatcher) hopeless(j *job) bool {
	return j.class.LateWorth <= 0 && d.pulls() && j.out() > 0 && !j.running()
}

// pulls says whether attempts that wait, or have no answer owed, are taken back: where waste is cheap, as a
// cancel may stop nothing. Guards against workers that are full of work that is worth nothing any more.
func (d *Dispatcher) pulls() bool {
	return d.s.CanCancel && d.s.TellsStart && d.s.PriceWaste+d.s.PriceFetch <= cheapWaste
}

// races says whether a job that waits at a worker moves or is entered twice: a start deletes the other.
func (d *Dispatcher) races(j *job) bool {
	twice := d.s.SecondCopies && j.class.Effect == Safe && !j.narrow.Single && !j.narrow.Strict
	return d.pulls() && twice || d.moves(j)
}

// moves says whether a job waiting at a worker is taken back first and then entered at another.
func (d *Dispatcher) moves(j *job) bool {
	return d.pulls() && !d.s.SecondCopies && j.class.Effect != Unsafe && !j.narrow.Strict
}

// startBy is how long after its send a job has started if nothing waits at the worker.
func (d *Dispatcher) startBy(j *job, w *worker) Time {
	slack := queueSlack
	if d.races(j) {
		slack = copySlack
	}
	if d.moves(j) {
		slack = copySlack << min(len(j.attempts)-1, 20) // attempts are few: they must not be gone at once
	}
	return 2*d.zone(w).base + slack
}

// signDue is when an attempt's start, or its next progress, should have been told of at the latest.
func (d *Dispatcher) signDue(j *job, a *attempt) Time {
	switch {
	case a.out && a.startedAt == 0 && !a.queued && d.s.TellsStart:
		return a.sentAt + d.startBy(j, a.w)
	case a.out && a.startedAt == 0 && a.queued && !a.raced && d.s.TellsStart:
		return a.sentAt + j.narrow.Race
	case a.out && a.startedAt == 0 && !a.late && d.s.TellsStart:
		return max(d.until(j), a.sentAt+1)
	case a.out && a.startedAt > 0 && !a.stalled && d.s.Progress > 0:
		return a.noteAt + d.s.Progress + stallSlack
	}
	return never
}

// overdue judges a worker by an attempt whose sign is due, and enters a job elsewhere that may race.
func (d *Dispatcher) overdue(j *job, a *attempt) {
	switch {
	case d.now < d.signDue(j, a):
		return
	case a.startedAt > 0:
		a.stalled = true
		d.suspect(a.w) // guards against a worker that takes jobs and answers none
		return
	case a.raced:
		a.late = true
		if !d.moves(j) { // what moved has met the queues of several and leaves the last at its aim
			d.press(shedUp * (1 - j.class.LateWorth))
		}
		return
	case !a.queued:
		a.queued = true
		d.cut(a.w)
	}
	if d.now < a.sentAt+j.narrow.Race {
		return
	}
	a.raced = true
	switch {
	case !d.races(j) || len(j.attempts) >= d.most(j) || j.running() || j.ticket != 0:
	case d.moves(j):
		d.takeBack(j, nil) // its end brings the next
	case j.out() == 1:
		d.hold(j)
	default:
		d.takeBack(j, a) // its end brings the next
	}
}

// again holds a job for a further attempt where rules, budget and time allow one; it reports whether it does.
func (d *Dispatcher) again(j *job, a *attempt) bool {
	if d.now >= d.sendBy(j) || len(j.attempts) >= d.most(j) || j.narrow.Strict && j.mayHaveRun() {
		return false
	}
	if j.mayHaveRun() && !a.pulled {
		if j.class.Effect == Unsafe || d.extra < 1 {
			return false // the budget guards against a storm of attempts when all are slow or failing
		}
		d.extra--
	}
	d.hold(j)
	return true
}

// reported takes a worker's word on its load. Free slots cap its room and never open it: all would
// flock there.
func (d *Dispatcher) reported(w *worker, e *Event) {
	if e.Report.Known && e.Report.FreeSlots >= 0 {
		w.cap, w.capUntil = w.use+e.Report.FreeSlots, d.now+reportLife
		told := math.Floor(min(e.Report.FreeSlots, w.kind.size+sizeStep)) // one absurd word must not open all
		w.kind.size, w.kind.told = max(w.kind.size, told), true
	}
}

func (d *Dispatcher) started(j *job, a *attempt) {
	w, z, delay := a.w, d.zone(a.w), max(1, d.now-a.sentAt)
	w.sign()
	a.startedAt, a.noteAt, w.running = d.now, d.now, w.running+j.need
	w.kind.size = max(w.kind.size, w.running)
	if !a.queued && !w.kind.told {
		w.kind.size = max(w.kind.size, min(a.load, w.kind.size+1))
	}
	z.base, z.lost = min(z.base, delay), z.lost*(1-newWeight)
	wait := float64(max(0, delay-z.base-queueSlack)) / (d.meanWork * d.all.pace)
	w.kind.wait += (wait - w.kind.wait) * newWeight
	z.wait += (wait - z.wait) * newWeight
	if !a.late {
		d.press(-shedDown)
	}
	if j.open && d.races(j) {
		d.unhold(j)
		d.takeBack(j, a)
	}
	d.schedule(j)
}

// cut guards against a queue at the worker, out of reach: its room becomes what of ours runs, or below one.
func (d *Dispatcher) cut(w *worker) {
	if w.running >= 1 {
		w.room = min(d.roomOf(w), w.running)
	} else {
		w.room = max(roomFloor, min(d.roomOf(w), 1)*lastCut)
	}
	w.cutAt = d.now
}

func (d *Dispatcher) ended(j *job, a *attempt, e *Event) {
	w, z := a.w, d.zone(a.w)
	atRoom := w.use+j.need > w.room
	a.neverRan = e.Result == Full || e.Result == NotSent || e.Result == Unreachable
	d.freed(j, a)
	d.reported(w, e)
	if n := &j.narrow; n.Pause > 0 { // guards against workers that are asked again before they can be well
		pause := min(n.Pause<<min(len(j.attempts)-1, 20), max(n.MaxPause, n.Pause))
		j.pausedTo = d.now + Time(float64(pause)*(1-n.Jitter*d.rng.Float64()))
	}
	switch e.Result {
	case OK:
		d.succeeded(j, a, atRoom)
	case Full:
		w.room, w.cutAt = max(roomFloor, min(w.room, w.use)), d.now
		d.tellHome(w, Crowded)
	case TimedOut: // guards against work that nobody waits for and no home counts, but that fills the worker
		d.tellHome(w, Crowded)
	case Unreachable:
		z.lost += (1 - z.lost) * newWeight
		d.suspect(w) // guards against a dead worker: it fails all and always has room
	case Failed, Disconnected:
		d.judge(w, 1)
	}
	d.room += (w.room - d.room) * meanWeight
	if e.Final || !j.open {
		d.close(j)
	} else if j.ticket == 0 && !j.running() && (d.now >= j.end || !d.again(j, a)) && j.out() == 0 {
		d.finish(j)
	}
	d.serve(w)
}

func (d *Dispatcher) succeeded(j *job, a *attempt, atRoom bool) {
	w := a.w
	d.judge(w, 0)
	w.sign()
	run, weight := float64(d.now-max(a.startedAt, a.sentAt)), newWeight
	if j.work == 0 {
		weight /= 4 // without hints a long run mostly means a long job
	}
	off := min(1, math.Abs(run/max(d.expect(j)*d.paceOf(w), 1)-1))
	j.class.spread += (off - j.class.spread) * meanWeight
	j.class.learn(j.hint, run)
	pace := min(run/max(d.expect(j), 1), paceMost*d.all.pace) // one run must not tell too much
	w.pace, w.runs = d.paceOf(w)+(pace-d.paceOf(w))*weight, w.runs+1
	w.kind.learnPace(pace)
	d.all.learnPace(pace)
	if atRoom && !a.queued {
		w.room += min(w.room, j.need*roomStep)
	}
}

// learn takes a run into the means of its class, and how the hint it had and its time go together.
func (c *classState) learn(hint Time, run float64) {
	c.runs++
	c.run += (run - c.run) * max(usualRuns, 1/c.runs)
	if hint > 0 {
		x, y := math.Log(float64(hint))-c.hints, math.Log(run+1)-c.logRun
		c.hintVar += (x*x - c.hintVar) * meanWeight
		c.hintCov += (x*y - c.hintCov) * meanWeight
		c.logRun += y * meanWeight
	}
}

// judge marks workers that fail far more than their peers, at most a third: what all share is no one's fault.
func (d *Dispatcher) judge(w *worker, failed float64) {
	w.outcomes++
	w.fails += (failed - w.fails) * max(newWeight, 1/(w.outcomes+1))
	d.fails += (failed - d.fails) * meanWeight
	bad := w.fails > 2*d.fails+failMargin && (w.distrust || d.doubted < len(d.ready)/3)
	if bad && !w.distrust {
		d.doubted++
		d.spaceTrials(w)
	} else if !bad && w.distrust {
		d.doubted--
	}
	w.distrust = bad
}

// suspect leaves a worker that gives no sign to single trials until it gives one.
func (d *Dispatcher) suspect(w *worker) {
	if !w.silent {
		w.silent = true
		d.spaceTrials(w)
	}
}

func (d *Dispatcher) spaceTrials(w *worker) {
	w.gap = min(max(2*w.gap, trialGap), trialMost)
	w.trialAt = d.now + w.gap
}

// owe makes sure that a worker that was put back by hand is used again: draws seldom find a cold one. Each
// dispatcher owes it one job, at a moment of its own; of many only as many do as it bears.
func (d *Dispatcher) owe(w *worker) {
	bears := d.s.FallMultiple * d.s.ColdFrom * float64(owedWithin) / (d.meanWork * d.paceOf(w))
	if d.rng.Float64()*float64(d.s.GroupSize) < max(1, bears) {
		w.owedAt = w.backAt + owedAfter + Time(d.rng.Float64()*float64(owedWithin-owedAfter))
		d.owing = append(d.owing, w)
	}
}

// welcome sets what is believed of a worker that is new or has restarted.
func (d *Dispatcher) welcome(w *worker) {
	w.newsAt, w.room, w.cutAt = d.now, d.room, d.now
	w.fails, w.outcomes, w.distrust = 0, 0, false
	w.sign()
}

// listNews takes the list over, gives entries at workers that are leaving a new pick, and sees to the watch.
func (d *Dispatcher) listNews(e *Event) {
	if e.Version < d.version {
		return // guards against late news that would bring a drained worker back
	}
	d.updateList(e)
	d.askWait, d.askAt = askAgain, never
	if d.s.ListOnRequest && e.Stale {
		d.ask()
	}
	d.repick()
}

// listLost keeps the last list and asks again, less and less often but in time for rule three.
func (d *Dispatcher) listLost() {
	d.askAt = min(d.askAt, d.now+d.askWait)
	d.askWait = min(2*d.askWait, d.s.AskWithin/askTimes)
}

func (d *Dispatcher) ask() {
	d.askAt = d.now + d.s.AskWithin/askTimes // the answer may get lost too
	d.emit(Action{Kind: WatchList})
}
