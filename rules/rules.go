// Every decision of the dispatcher. Its interface (settings, events, actions) stands in rules/interface.go,
// what it remembers in rules/state.go; docs/design.md tells why, and when each exception to the design acts.

package rules

import "math"

// Constants: value, unit, reason. docs/design.md tells how sensitive the results are to each.
const (
	pickCount  = 2                 // held lists that a job joins at its landing: the paper's d
	joinCount  = 8                 // lists that it joins each time it has found no room
	picksMost  = 32                // picks weighed for one job: bounds the work of an event
	drawsMost  = 4                 // draws for a pick that may take the job now
	joinTick   = 10 * Millisecond  // no room for this long: further workers join the picks
	joinSlower = 5                 // ticks between further joins at the most
	crossCost  = 5.0               // of a room that one crossing weighs, times its price
	crossWait  = 2 * Second / 10   // longer wait, times the price of a crossing, before other zones do
	roomStart  = 2.0               // slots; every dispatcher takes this of a worker whose size nobody knows
	roomStep   = 0.5               // slots of room for each slot of success at the room
	roomFloor  = 1.0 / 8           // slots; a job now and then keeps a worker's notes coming
	roomFade   = 2.0               // usual runs until a cut is forgotten: others' load has changed by then
	pauseCut   = 0.75              // factor on a room of one job that queued behind others
	queueSlack = 40 * Millisecond  // a start this far past two of the quickest: a queue at the worker
	copySlack  = 10 * Millisecond  // the same where a copy elsewhere costs nothing
	waitWeight = 0.1               // weight of the newest start in the mean waits of a kind and a zone
	shedUp     = 0.3               // more of the landings are refused for each job that starts too late ...
	shedDown   = 0.1               // ... and less for each that starts in time: a fifth may be late
	shedFade   = 5 * Second        // over which refusing fades by itself: who refuses all sees no start
	shedSkew   = 3.0               // power: how much rather the landings that earn less are refused
	cheapWaste = 0.1               // price of wasted work up to which copies are raced
	askLife    = 25 * Millisecond  // a pick's load is waited for this long: messages may get lost
	noteLife   = 10 * Second       // a peer's word on its use counts this long: so does its end if that gets lost
	homeAfter  = 1 * Second        // a home that has just started has not heard from all
	reportLife = 200 * Millisecond // a report counts this long: slots turn over within a run
	stallSlack = 400 * Millisecond // a progress note later than this is no pause: the worker stands still
	failWeight = 0.2               // weight of the newest outcome in a worker's share of failures
	failMargin = 0.25              // share of failures above twice the peers': distrust
	trialGap   = 250 * Millisecond // between the first trials of a worker that is distrusted or silent
	trialMost  = 4 * Second        // between its trials at the most: they double
	paceWeight = 0.2               // weight of the newest run in a worker's pace
	paceMost   = 20.0              // times the mean pace that one run counts for at most
	lateRoom   = 1.5               // expected runs that must fit in before the client gives up
	meanWeight = 0.02              // weight of the newest job in means over all workers
	usualRuns  = 0.005             // weight of the newest run in its class's usual run: slowdowns pass sooner
	extraShare = 0.15              // further attempts for each landing: bounds retry storms
	extraMost  = 10.0              // further attempts saved up at most
	coldChance = 1.0               // of the root of a count by chance: one window in hundreds holds more
	usualOver  = 5.0               // seconds of landings that an equal part of all traffic weighs against ours
	shareLeast = 3.0               // requests that a tenant may send at once at the least
	shareDepth = 1.0               // seconds of its quota that a tenant may send at once
	scanMost   = 8                 // held jobs looked at for one that fits: bounds the work of an event
	askAgain   = 200 * Millisecond // first wait before a lost list is asked for again: doubles
	askTimes   = 3                 // asks within AskWithin at the least while there is no answer
)

// ---- The choke point: every send passes send, every final answer finish. They keep the four rules.

// maySend says whether the rules allow an attempt now. It does not look at room.
func (d *Dispatcher) maySend(j *job, w *worker) bool {
	return j.open && d.now < j.end && len(j.attempts) < d.s.MaxAttempts && // rule one
		j.out() < 2 && d.mayRepeat(j, w) && // rule two
		w.isReady() && // rule three: not even within the grace
		(d.warmth(w) >= 1 || j.drawnCold && j.heldAt >= w.newsAt && j.picked(w)) // rule four
}

func (d *Dispatcher) send(j *job, w *worker) bool {
	if !d.maySend(j, w) {
		return false
	}
	d.unhold(j)
	j.attempts = append(j.attempts, attempt{w: w, sentAt: d.now, noteAt: d.now, out: true})
	w.use += j.need
	d.inUse += j.need
	if w.distrust || w.silent {
		d.spaceTrials(w)
	}
	d.emit(Action{Kind: Send, Request: j.id, Worker: w.ID})
	if d.knows(w) {
		w.load += j.need
		j.attempts[len(j.attempts)-1].load = w.load
	}
	d.tellUse(w)
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
	if j.class.LateWorth <= 0 && !j.running() {
		d.pullBut(j, nil) // guards against queues of work that is worth nothing any more
	}
	d.close(j)
}

// mayRepeat says whether an attempt at w can have no second effect, whatever became of the earlier ones.
func (d *Dispatcher) mayRepeat(j *job, w *worker) bool {
	for i := range j.attempts {
		a := &j.attempts[i]
		switch {
		case a.neverRan:
		case a.out && (!d.s.SecondCopies || a.w == w):
			return false
		case j.class.Effect == Keyed:
			if !sameGroup(j.class.Group, a.w, w) || d.now+d.s.Tick >= a.sentAt+j.class.Window {
				return false
			}
		case j.class.Effect != Safe:
			return false
		}
	}
	return true
}

// warmth is the share of its capacity that a worker has at the least.
func (d *Dispatcher) warmth(w *worker) float64 {
	age := max(0, d.now-w.StartedAt)
	if w.StartedAt <= 0 || age >= d.s.WarmWithin {
		return 1
	}
	return d.s.ColdFrom + (1-d.s.ColdFrom)*float64(age)/float64(d.s.WarmWithin)
}

// coldBears is the chance by which a draw of a cold worker counts. All dispatchers together draw a worker
// pickCount times for each job that it could run at full load; so many may count that chance hardly ever brings
// more into one window than it bears. It takes no agreement, and each uses what its own traffic is.
func (d *Dispatcher) coldBears(w *worker) float64 {
	full := w.kind.size * float64(d.s.FallWindow) / (d.meanWork * d.paceOf(w))
	root := max(0, math.Sqrt(d.s.FallMultiple*d.warmth(w)*full+1)-coldChance)
	return root * root / (pickCount * full)
}

// ---- What a job is worth, and until when.

// believe shrinks a hint towards the mean hint as far as hints have told little of run times (a regression of
// logarithms): it guards against rough hints, by which long jobs seem late and short ones in time.
func (c *classState) believe(hint Time) Time {
	if hint <= 0 {
		return 0
	}
	c.hints += (math.Log(float64(hint)) - c.hints) * meanWeight
	trust := min(1, max(0, c.hintCov/c.hintVar))
	return Time(math.Exp(c.hints + trust*(math.Log(float64(hint))-c.hints)))
}

// until is the last moment at which a send can earn what the job's band stands for: its full worth on a usual
// worker, on the quickest if it is a heavy job; late, an end before the client gives up.
func (d *Dispatcher) until(j *job) Time {
	if j.band == behind && j.class.LateWorth > 0 {
		return j.end - Time(d.expect(j)*d.best()*lateRoom)
	}
	if at := j.aimAt - Time(d.expect(j)*d.all.pace); at > j.landed {
		return at
	}
	return j.aimAt - Time(d.expect(j)*d.best())
}

// demote moves a job that lost its full worth behind the others. It reports false if nothing is left of it.
func (d *Dispatcher) demote(j *job) bool {
	if j.band == behind || j.class.LateWorth <= 0 {
		return false
	}
	j.band = behind
	return d.now < d.until(j)
}

// best is the pace of the quickest kind of worker.
func (d *Dispatcher) best() float64 {
	best := d.all.pace
	for i := range d.kinds {
		if d.kinds[i].runs > 0 {
			best = min(best, d.kinds[i].pace)
		}
	}
	return best
}

// worthRate is what a class earns for the time it takes.
func (d *Dispatcher) worthRate(c *classState) float64 {
	if d.s.WorthByWork {
		return max(c.Worth, 1e-9)
	}
	return max(c.Worth/c.run, 1e-9)
}

func (d *Dispatcher) bestWorth() float64 {
	best := 0.0
	for i := range d.classes {
		best = max(best, d.worthRate(&d.classes[i]))
	}
	return best
}

// backlog is how long the work ahead of a job takes with the slots we have in flight (Little's law), and not much
// longer than the oldest held job has waited: with little in flight the law tells nothing.
func (d *Dispatcher) backlog(j *job) Time {
	ahead := d.waiting[onTime]
	if j.band == behind {
		ahead += d.waiting[behind]
	}
	if j.ticket != 0 {
		ahead -= j.need
	}
	wait := Time(max(0, ahead) * d.meanWork * d.all.pace / max(d.inUse, 1))
	q := &d.held[j.band]
	if q.trim(); len(q.items) == 0 {
		return min(wait, joinTick)
	}
	return min(wait, joinTick+2*(d.now-q.items[q.head].j.heldAt))
}

// overShare says whether a job goes beyond its tenant's share: it is worth little and must not starve others.
// Our part of a quota is taken to be our part of all traffic, which usually is what the quotas add up to.
func (d *Dispatcher) overShare(j *job, retry bool) bool {
	t := j.tenant
	if t == nil || d.s.OverShareWorth >= 1 || d.quotas <= 0 {
		return false
	}
	if !retry {
		d.landings++
	}
	usual := (d.quotas/float64(d.s.GroupSize)*usualOver + d.landings) / (usualOver + float64(d.now-d.bornAt)/float64(Second))
	rate := t.Quota * min(1, usual/d.quotas)
	t.left = min(max(shareLeast, rate*shareDepth), t.left+rate*float64(d.now-t.at)/float64(Second))
	t.at = d.now
	over := t.left < 1
	if !over && !retry {
		t.left--
	}
	return over
}

// fade lets the refusing pass with time.
func (d *Dispatcher) fade() {
	d.shed *= math.Exp(-float64(d.now-d.shedAt) / float64(shedFade))
	d.shedAt = d.now
}

// press follows how many of our jobs start too late: with many dispatchers the queues stand at the workers.
func (d *Dispatcher) press(late bool) {
	d.fade()
	if late {
		d.shed = min(1, d.shed+shedUp)
	} else {
		d.shed = max(0, d.shed-shedDown)
	}
}

// ---- Landing, and the held lists.

func (d *Dispatcher) land(j *job, retry bool) {
	d.extra = min(extraMost, d.extra+extraShare)
	d.meanWork += (d.expect(j) - d.meanWork) * meanWeight
	value := d.worthRate(j.class) / d.bestWorth()
	if d.overShare(j, retry) {
		j.band = behind
		value *= d.s.OverShareWorth
	}
	if d.fade(); d.rng.Float64() < math.Pow(d.shed, shedSkew*value) {
		d.finish(j) // guards against queues at the workers in which all end late
		return
	}
	wait := d.backlog(j)
	if j.class.LateWorth > 0 { // what earns less for its time yields first, and still has its late worth
		wait = Time(float64(wait) * d.bestWorth() / d.worthRate(j.class))
	}
	if d.now+wait > d.until(j) && !d.demote(j) {
		d.finish(j) // guards against queues in which all end late, and waits that come to nothing
		return
	}
	d.hold(j)
}

// hold joins the lists of random ready workers and sends at once where one of them has room.
func (d *Dispatcher) hold(j *job) {
	d.serial++
	j.ticket, j.heldAt, j.step, j.picks = d.serial, d.now, 0, j.picks[:0]
	j.drawnCold = !j.drawn // only the first draws of a job may be of cold workers: see coldBears
	j.drawn = true
	d.joinNext(j)
	d.waiting[j.band] += j.need
	d.held[j.band].push(j)
	d.draw(j, pickCount)
	if !d.place(j) {
		d.schedule(j)
	}
}

// draw joins the lists of n further workers.
func (d *Dispatcher) draw(j *job, n int) {
	for i := range n {
		w := d.pick(j, i%2 == 0 || d.rng.Float64() >= d.farShare(j))
		if w == nil || j.picked(w) {
			continue
		}
		if len(j.picks) == picksMost {
			j.picks = append(j.picks[:0], j.picks[1:]...)
		}
		j.picks = append(j.picks, w)
		w.lists[j.band].push(j)
		d.askLoad(w)
	}
}

// farShare is the chance that a pick is drawn from all zones: it grows as starts wait in the own one, the more so the
// cheaper a crossing is, and as the job waits.
func (d *Dispatcher) farShare(j *job) float64 {
	if d.now >= j.heldAt+d.joinAfter(true) || d.s.Zone < 0 {
		return 1
	}
	return d.zones[d.s.Zone].wait / (crossCost * d.s.PriceCross)
}

// pick draws a random ready worker, one in the own zone if crossings have a price. It draws again where a worker is
// not to be used now.
func (d *Dispatcher) pick(j *job, near bool) *worker {
	from := d.ready
	if near && d.s.PriceCross > 0 && len(d.near) > 0 {
		from = d.near
	}
	for range min(drawsMost, len(from)) {
		w := from[d.rng.IntN(len(from))]
		if w.lost && d.s.CanProbe {
			if d.now >= w.trialAt { // a worker out of reach is tried by a probe: a job would lose time
				d.spaceTrials(w)
				d.emit(Action{Kind: Probe, Worker: w.ID})
			}
			continue
		}
		if (w.distrust || w.silent) && d.now < w.trialAt {
			continue
		}
		if d.warmth(w) < 1 && (j.step > 0 || !j.drawnCold || d.rng.Float64() >= d.coldBears(w)) {
			return nil // not drawn again: that would raise the others' chance
		}
		return w
	}
	return nil
}

// place sends a held job to the pick that has room and uses least of it.
func (d *Dispatcher) place(j *job) bool {
	var best *worker
	for _, w := range j.picks {
		if w.askedAt > w.loadAt && d.now < w.askedAt+askLife {
			return false // its load is on its way
		}
		best = d.better(j, best, w)
	}
	return best != nil && d.send(j, best)
}

// better returns the one of two workers with room for the job that uses less of its room, ties at random.
func (d *Dispatcher) better(j *job, a, b *worker) *worker {
	if !d.hasRoom(j, b) {
		return a
	}
	if a == nil {
		return b
	}
	x, y := d.usage(j, a), d.usage(j, b)
	if y < x || y == x && d.rng.IntN(2) == 0 {
		return b
	}
	return a
}

// ---- Notes. Where dispatchers may tell each other, each worker has a home among them, which adds up what all use of
// it. A lost note costs nothing but that a pick is made without.

func (d *Dispatcher) home(w *worker) int { return int(w.Tag % uint64(d.s.GroupSize)) }

// askLoad asks a worker's home for its load.
func (d *Dispatcher) askLoad(w *worker) {
	if d.s.CanTell && w.use == 0 && d.now >= w.askedAt+askLife {
		w.askedAt = d.now
		if h := d.home(w); h == d.s.Ordinal {
			d.loadIs(w, d.total(w.Tag))
		} else {
			d.emit(Action{Kind: Tell, Peer: h, Note: Note{Kind: Ask, Tag: w.Tag}})
		}
	}
}

// tellUse tells a worker's home what we use of it.
func (d *Dispatcher) tellUse(w *worker) {
	if d.s.CanTell {
		n := Note{Kind: Use, Tag: w.Tag, Slots: w.use}
		if h := d.home(w); h == d.s.Ordinal {
			d.noteUse(h, n)
		} else {
			d.emit(Action{Kind: Tell, Peer: h, Note: n})
		}
	}
}

func (d *Dispatcher) noteUse(peer int, n Note) {
	uses := d.uses[n.Tag]
	i := 0
	for i < len(uses) && uses[i].peer != peer {
		i++
	}
	if i == len(uses) {
		uses = append(uses, peerUse{peer: peer})
	}
	uses[i].slots, uses[i].at = n.Slots, d.now
	if n.Slots <= 0 {
		uses[i] = uses[len(uses)-1]
		uses = uses[:len(uses)-1]
	}
	d.uses[n.Tag] = uses
}

// total is what all have told to use of a worker; -1 while too little can be known.
func (d *Dispatcher) total(tag uint64) float64 {
	if d.now < d.bornAt+homeAfter {
		return -1
	}
	sum := 0.0
	for _, u := range d.uses[tag] {
		if d.now < u.at+noteLife {
			sum += u.slots
		}
	}
	return sum
}

func (d *Dispatcher) loadIs(w *worker, load float64) {
	w.loadAt, w.load = d.now, load
}

// heard takes a peer's note.
func (d *Dispatcher) heard(peer int, n Note) {
	switch n.Kind {
	case Ask:
		if load := d.total(n.Tag); load >= 0 {
			d.emit(Action{Kind: Tell, Peer: peer, Note: Note{Kind: Load, Tag: n.Tag, Slots: load}})
		}
	case Use:
		d.noteUse(peer, n)
	case Load:
		w := d.tags[n.Tag]
		if w == nil {
			return
		}
		d.loadIs(w, n.Slots)
		for b := range w.lists {
			for _, e := range w.lists[b].items[w.lists[b].head:] {
				if e.live() {
					d.place(e.j)
				}
			}
		}
	}
}

// knows says whether w's load is known by a fresh note.
func (d *Dispatcher) knows(w *worker) bool {
	return w.use == 0 && w.loadAt > 0 && w.load >= 0 && d.now < w.loadAt+askLife
}

// usage is the share of its room that w would use with the job, and what else counts against w: that starts wait at
// its kind and in its zone, as little is seen of one worker, and the price of a crossing.
func (d *Dispatcher) usage(j *job, w *worker) float64 {
	if d.knows(w) {
		use := (w.load + j.need) / w.kind.size
		if w.Zone != d.s.Zone {
			use += crossCost * d.s.PriceCross
		}
		return use
	}
	use := (w.use+j.need)/d.roomOf(w) + w.kind.wait + d.zone(w).wait
	if w.Zone != d.s.Zone {
		use += crossCost * d.s.PriceCross
	}
	return use
}

// roomOf is a worker's room: a cut is forgotten as the load of others changes.
func (d *Dispatcher) roomOf(w *worker) float64 {
	usual := d.usualRoom(w)
	if w.room >= usual || w.use > 0 {
		return w.room
	}
	lapse := float64(d.now-w.cutAt) / (roomFade * d.meanWork * d.all.pace)
	return w.room + (usual-w.room)*min(1, lapse)
}

// usualRoom is the mean room, more or less as the list tells the worker's size.
func (d *Dispatcher) usualRoom(w *worker) float64 {
	if d.weight <= 0 || w.Weight <= 0 {
		return d.room
	}
	return d.room * w.Weight / d.weight
}

// paceOf is how long a worker takes for a unit of work; what it has not shown itself is taken from its kind.
func (d *Dispatcher) paceOf(w *worker) float64 {
	if w.runs > 0 {
		return w.pace
	}
	return w.kind.pace
}

// hasRoom says whether a job may go to w by the rules, by w's health and by its learned room.
func (d *Dispatcher) hasRoom(j *job, w *worker) bool {
	if !d.maySend(j, w) || j.class.Kind >= 0 && w.Kind != j.class.Kind {
		return false
	}
	if j.triedAt(w) && len(d.ready) > 1 {
		return false // guards against a worker that fails one job again and again
	}
	if w.distrust || w.silent {
		// Guards against a black hole: a worker that errs or hangs always has room.
		return w.use == 0 && d.now >= w.trialAt && j.class.Effect != Unsafe && !(w.lost && d.s.CanProbe)
	}
	run := Time(d.expect(j) * d.paceOf(w))
	if (j.band == behind || d.now+run > j.aimAt) && d.now+Time(lateRoom*float64(run)) > j.end {
		return false // guards against work that the client gives up on and that may run on at the worker
	}
	if d.now < w.capUntil && w.use+j.need > w.cap {
		return false
	}
	if d.knows(w) {
		queue := 0.0
		if d.now >= j.heldAt+d.joinAfter(true) {
			queue = 1
		}
		return w.load+j.need <= w.kind.size+queue
	}
	return w.use+j.need <= d.roomOf(w) || w.use == 0 && d.now >= w.openAt
}

// joinAfter is how long a job must have waited before workers of its own or of other zones join its picks.
func (d *Dispatcher) joinAfter(far bool) Time {
	if !far {
		return joinTick
	}
	return joinTick + Time(d.s.PriceCross*float64(crossWait))
}

// serve sends held jobs to a worker while it has room: its own list's, then those whose picks it may join.
func (d *Dispatcher) serve(w *worker) {
	if !w.isReady() {
		return
	}
	for b := range bands {
		for d.take(w, &w.lists[b], 0) || d.take(w, &d.held[b], d.joinAfter(w.Zone != d.s.Zone)) {
		}
	}
}

// take sends the oldest job of a list that fits.
func (d *Dispatcher) take(w *worker, q *queue, age Time) bool {
	q.trim()
	seen := 0
	for _, e := range q.items[q.head:] {
		if !e.live() {
			continue
		}
		if seen++; seen > scanMost || d.now < e.j.heldAt+age {
			return false
		}
		if d.hasRoom(e.j, w) && d.send(e.j, w) {
			return true
		}
	}
	return false
}

// ---- Time.

// schedule sets a job's timer to what is due first.
func (d *Dispatcher) schedule(j *job) {
	at := j.end
	if j.ticket != 0 {
		if j.out() == 0 {
			at = min(at, max(d.until(j), d.now+Millisecond))
		}
		at = min(at, j.joinAt)
	}
	if d.hopeless(j, j.aimAt) {
		at = min(at, j.aimAt)
	}
	for i := range j.attempts {
		at = min(at, d.signDue(j, &j.attempts[i]))
	}
	d.setTimer(j, at)
}

// review does what time has made due for a job.
func (d *Dispatcher) review(j *job) {
	if d.now >= j.end {
		d.finish(j)
		return
	}
	for i := range j.attempts {
		d.overdue(j, &j.attempts[i])
	}
	if j.ticket != 0 && d.now >= d.until(j) && j.out() == 0 {
		d.unhold(j)
		if !d.demote(j) {
			d.finish(j)
		} else {
			d.hold(j)
		}
	} else if d.hopeless(j, d.now) {
		d.finish(j)
	} else if j.ticket != 0 && d.now >= j.joinAt {
		j.step++
		d.joinNext(j)
		if !d.place(j) {
			d.draw(j, joinCount)
			d.place(j)
		}
	}
	if j.open {
		d.schedule(j)
	}
}

// joinNext sets when further workers join a held job's picks.
func (d *Dispatcher) joinNext(j *job) {
	j.joinAt = d.now + joinTick*Time(min(j.step+1, joinSlower))
	if d.s.CanTell {
		j.joinAt = max(j.joinAt, d.now+askLife)
	}
}

// hopeless says whether a job whose attempts all wait at workers is worth nothing from a time on.
func (d *Dispatcher) hopeless(j *job, at Time) bool {
	return at >= j.aimAt && j.class.LateWorth <= 0 && d.pulls() && j.out() > 0 && !j.running()
}

// pulls says whether attempts that wait are taken back: where wasted work is cheap, as a cancel may stop nothing.
func (d *Dispatcher) pulls() bool {
	return d.s.CanCancel && d.s.TellsStart && d.s.PriceWaste <= cheapWaste && d.s.SecondCopies
}

// races says whether a job that waits at a worker may be entered at a second one: the first start deletes the other,
// as in the paper.
func (d *Dispatcher) races(j *job) bool {
	return d.pulls() && j.class.Effect == Safe
}

// pullBut takes back the attempts of a job that wait, all but one.
func (d *Dispatcher) pullBut(j *job, but *attempt) {
	for i := range j.attempts {
		if a := &j.attempts[i]; d.pulls() && a.out && !a.pulled && a != but {
			a.pulled = true
			d.emit(Action{Kind: Cancel, Request: j.id, Attempt: i})
		}
	}
}

// signDue is when an attempt's start, or its next progress, should have been told of at the latest.
func (d *Dispatcher) signDue(j *job, a *attempt) Time {
	if a.out && a.startedAt == 0 && !a.queued && d.s.TellsStart {
		return a.sentAt + d.startBy(j, a.w)
	}
	if a.out && a.startedAt > 0 && !a.stalled && d.s.Progress > 0 {
		return a.noteAt + d.s.Progress + stallSlack
	}
	return never
}

// overdue judges a worker by an attempt whose sign is due.
func (d *Dispatcher) overdue(j *job, a *attempt) {
	if d.now < d.signDue(j, a) {
		return
	}
	if a.startedAt > 0 {
		a.stalled = true
		d.suspect(a.w) // guards against a worker that takes jobs and answers none
		return
	}
	a.queued = true
	d.cut(a.w)
	if !d.races(j) || len(j.attempts) >= d.s.MaxAttempts || j.running() || j.ticket != 0 {
		return
	}
	if j.out() == 1 {
		d.hold(j)
		return
	}
	d.pullBut(j, a)
}

// again holds a job for a further attempt where rules, budget and time allow one; it reports whether it does.
func (d *Dispatcher) again(j *job, a *attempt) bool {
	if d.now >= d.until(j) && !d.demote(j) || len(j.attempts) >= d.s.MaxAttempts {
		return false
	}
	if j.mayHaveRun() && !d.races(j) && !a.pulled {
		if j.class.Effect == Unsafe || d.extra < 1 {
			return false // the budget guards against a storm of attempts when all are slow or failing
		}
		d.extra--
	}
	d.hold(j)
	return true
}

// ---- What workers tell, and how they are judged by it.

// reported caps a room at our slots plus the free ones told. An old report neither caps nor opens a room.
// A probe that comes back shows that a worker out of reach takes connections, not that a hanging one works.
func (d *Dispatcher) reported(w *worker, e *Event) {
	if e.Kind == Probed && e.Result == OK && w.lost {
		w.sign()
	}
	if e.Report.Known && e.Report.FreeSlots >= 0 {
		w.cap, w.capUntil = w.use+e.Report.FreeSlots, d.now+reportLife
	}
}

// startBy is how long after its send a job has started if nothing waits at the worker.
func (d *Dispatcher) startBy(j *job, w *worker) Time {
	base, slack := d.zone(w).base, queueSlack
	if d.races(j) {
		slack = copySlack
	}
	if base == 0 {
		return 5 * slack
	}
	return 2*base + slack
}

func (d *Dispatcher) started(j *job, a *attempt) {
	w, delay := a.w, max(1, d.now-a.sentAt)
	if !a.queued && delay > d.startBy(j, w) {
		a.queued = true
		d.cut(w)
	}
	a.startedAt, a.noteAt = d.now, d.now
	w.sign()
	w.running += j.need
	w.kind.size = max(w.kind.size, w.running)
	if !a.queued {
		w.kind.size = max(w.kind.size, min(a.load, w.kind.size+1))
	}
	z := d.zone(w)
	if z.base == 0 || delay < z.base {
		z.base = delay
	}
	wait := float64(max(0, delay-z.base-queueSlack)) / (d.meanWork * d.all.pace)
	w.kind.wait += (wait - w.kind.wait) * waitWeight
	z.wait += (wait - z.wait) * waitWeight
	d.press(a.queued && d.now+Time(d.expect(j)*d.paceOf(w)) > j.aimAt)
	if j.open && d.races(j) {
		d.unhold(j)
		d.pullBut(j, a)
	}
	d.schedule(j)
}

// cut guards against a queue at the worker, where jobs wait out of reach: its room becomes what runs there
// of ours. If that is nothing, others fill it, and we send one job at a time with longer and longer pauses.
func (d *Dispatcher) cut(w *worker) {
	if w.running >= 1 {
		w.room = min(d.roomOf(w), w.running)
	} else {
		w.room = max(roomFloor, min(d.roomOf(w), 1)*pauseCut)
	}
	w.cutAt = d.now
}

func (d *Dispatcher) ended(j *job, a *attempt, e *Event) {
	w := a.w
	atRoom := w.use+j.need > w.room
	a.out, a.neverRan = false, e.Result == Full || e.Result == NotSent || e.Result == Unreachable
	w.use -= j.need
	d.inUse -= j.need
	d.tellUse(w)
	if a.startedAt > 0 {
		w.running -= j.need
	}
	if w.room < 1 {
		w.openAt = d.now + Time(d.meanWork*d.all.pace*(1/w.room-1))
	}
	d.reported(w, e)
	switch e.Result {
	case OK:
		d.succeeded(j, a, atRoom)
	case Full:
		w.room, w.cutAt = max(roomFloor, min(w.room, w.use)), d.now
	case Unreachable:
		w.lost = true
		d.suspect(w) // guards against a cut link or a dead worker: they fail all and always have room
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
	run, weight := float64(d.now-max(a.startedAt, a.sentAt)), paceWeight
	if j.work == 0 {
		weight /= 4 // without hints a long run mostly means a long job
	}
	j.class.learn(j.hint, run)
	pace := min(run/max(d.expect(j), 1), paceMost*d.all.pace)
	w.pace = d.paceOf(w) + (pace-d.paceOf(w))*weight
	w.runs++
	w.kind.learn(pace)
	d.all.learn(pace)
	if atRoom && !a.queued {
		w.room += min(w.room, j.need*roomStep)
	}
}

func (k *kindState) learn(pace float64) {
	k.runs++
	k.pace += (pace - k.pace) * meanWeight
}

// learn takes one run time into the means of its class, and with the hint it had into how hints and run times go
// together.
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

// judge marks a worker that fails far more than its peers, at most a third of the ready ones: a trouble that all
// share is no worker's fault. Its first outcomes count for more: with little traffic there are no others.
func (d *Dispatcher) judge(w *worker, failed float64) {
	w.outcomes++
	w.fails += (failed - w.fails) * max(failWeight, 1/(w.outcomes+1))
	d.fails += (failed - d.fails) * meanWeight
	bad := w.fails > 2*d.fails+failMargin && (w.distrust || d.doubted < len(d.ready)/3)
	if bad && !w.distrust {
		d.doubted++
		w.trialAt = d.now + trialGap
	} else if !bad && w.distrust {
		d.doubted--
	}
	w.distrust = bad
}

// suspect leaves a worker that gives no sign to single trials, further and further apart, until it gives one.
func (d *Dispatcher) suspect(w *worker) {
	if !w.silent {
		w.silent, w.gap, w.trialAt = true, trialGap/2, d.now+trialGap/2
	}
}

// spaceTrials puts a worker's next trial off, twice as far as the last.
func (d *Dispatcher) spaceTrials(w *worker) {
	w.gap = min(max(2*w.gap, trialGap), trialMost)
	w.trialAt = d.now + w.gap
}

// ---- The worker list.

// welcome sets what is believed of a worker that is new or has restarted.
func (d *Dispatcher) welcome(w *worker) {
	w.newsAt, w.room, w.cutAt = d.now, d.room, d.now
	w.fails, w.outcomes, w.distrust = 0, 0, false
	w.sign()
}

// listNews takes the list over, moves entries off workers that drain or are gone, and sees to the watch.
func (d *Dispatcher) listNews(e *Event) {
	if e.Version < d.version {
		return // guards against late news that would bring a drained worker back
	}
	d.updateList(e)
	d.askWait, d.askAt = askAgain, never
	if d.s.ListOnRequest && e.Stale {
		d.ask()
	}
	for _, w := range d.workers {
		if w == nil || w.isReady() {
			continue
		}
		for _, j := range w.orphans() { // a new pick each
			d.draw(j, 1)
		}
	}
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
