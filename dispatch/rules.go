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
	initialCandidates     = 2                 // held lists that a job joins at its landing: the paper's d
	furtherCandidates     = 24                // lists that it joins each time it has found no room
	maxCandidates         = 64                // picks weighed for one job: bounds the work of an event
	maxScan               = 8                 // held jobs looked at for one that fits, draws for a pick
	maxRingScan           = 64                // points of the ring looked at for a worker that is ready and warm
	candidateInterval     = 10 * Millisecond  // no room for this long: further workers join the picks
	crossZoneWait         = 2 * Second / 10   // longer wait, times the price of a crossing, before other zones join
	priceWeight           = 15.0              // rooms that a crossing or a fetch weighs, times its price
	initialCapacity       = 2.0               // slots; every dispatcher takes this of a worker whose size nobody knows
	capacityStep          = 0.5               // slots of room for each slot of success at the room
	minCapacity           = 1.0 / 8           // slots at the least
	capacityRecoveryRuns  = 2.0               // usual runs until a cut is forgotten: others' load has changed by then
	singleSlotReduction   = 0.75              // factor on a room of one job that queued behind others
	startSlack            = 40 * Millisecond  // a start this far past two of the quickest: a queue at the worker
	hedgeStartSlack       = 10 * Millisecond  // the same where a copy elsewhere costs next to nothing
	loadReportTTL         = 200 * Millisecond // free slots told count this long: slots turn over within a run
	maxSizeStep           = 8.0               // slots by which one report raises a kind's size at the most
	overloadTTL           = 2 * Second        // a worker told to be crowded counts as that this long: queues last
	loadQueryTimeout      = 60 * Millisecond  // a pick's load is waited for this long: notes take up to 54 ms and back
	loadReplyTTL          = 600 * Millisecond // a home's word counts this long: an older one says more than none
	maxLoadQueries        = 4                 // workers that a draw joins where each is asked for: notes have a price
	aggregatorWarmup      = 1 * Second        // a home that has just started has not heard of all use
	progressSlack         = 400 * Millisecond // a progress note later than this is no pause: the worker stands still
	fastEWMAWeight        = 0.2               // weight of the newest outcome, start, connect or run where few are seen
	slowEWMAWeight        = 0.02              // and in means over all workers
	priorRuns             = 4.0               // runs that the pace taken for the start counts as: one run tells little
	classRunEWMAWeight    = 0.005             // and in a class's usual run, so that slowdowns pass sooner
	outlierMargin         = 0.25              // share of failures above twice the peers': distrust
	minProbeInterval      = 250 * Millisecond // between the first trials of a worker that is distrusted or silent
	firstRequestMinDelay  = 500 * Millisecond // so long at least only draws find a worker that was put back by hand ...
	firstRequestMaxDelay  = 3 * Second        // ... and at most: from then on it is owed a job
	maxProbeInterval      = 4 * Second        // between its trials at the most: they double
	maxSlowdownRatio      = 20.0              // times the mean pace that one run counts for at most
	unknownRelativeSize   = 0.5               // part of the mean size that a cold worker may have where none is told
	slowStartSampleFactor = 1.5               // picks of a cold worker for each job that it gets: others take the rest
	retryBudgetRatio      = 0.15              // further attempts for each landing: bounds retry storms
	maxRetryBudget        = 10.0              // further attempts saved up at most
	maxCancelPrice        = 0.1               // price of a copy, its work and its fetch, up to which waiting jobs move
	shedIncrease          = 0.3               // harder refusing for each job that a queue makes start too late ...
	shedDecrease          = 0.1               // ... and less for each other start: a quarter may be late
	shedDecayTime         = 5 * Second        // refusing fades by itself over this: who refuses all sees no start
	shedExponent          = 3.0               // how much rather landings beyond a tenant's share are refused
	trafficPriorSeconds   = 5.0               // seconds of an equal part of all traffic that weigh against our landings
	minQuotaBurst         = 12.0              // requests that a tenant may send at once, or a second of its share
	initialPollBackoff    = 200 * Millisecond // first wait before a lost list is asked for again: doubles
	pollsPerInterval      = 3                 // asks within AskWithin at the least while there is no answer
)

// maySend says whether the rules allow an attempt. All sends pass send, all answers finish: the choke point.
func (d *Dispatcher) maySend(r *request, w *worker) bool {
	return r.open && d.now < r.deadline && len(r.attempts) < d.maxAttempts(r) && d.now >= r.retryNotBefore && // rule one
		r.inFlight() < 2 && d.mayRetry(r, w) && // rule two
		w.isReady() && // rule three: not even within the grace
		(d.slowStartFactor(w) >= 1 || r.firstCandidates && r.queuedAt >= w.readmittedAt && r.isCandidate(w)) // rule four: see coldBears
}

// maxAttempts is how many attempts a job may have.
func (d *Dispatcher) maxAttempts(r *request) int {
	if r.limits.MaxAttempts > 0 {
		return min(r.limits.MaxAttempts, r.maxAttempts, d.settings.MaxAttempts)
	}
	return min(r.maxAttempts, d.settings.MaxAttempts) // guards against an attempt that new settings do not allow any more
}

func (d *Dispatcher) send(r *request, w *worker) bool {
	if !d.maySend(r, w) {
		return false
	}
	d.dequeue(r)
	a := attempt{worker: w, sentAt: d.now, lastSignalAt: d.now, inFlight: true}
	if d.knowsGroupLoad(w) {
		w.groupLoad += r.slots
		a.groupLoad = w.groupLoad
	}
	if w.ejected || w.unresponsive {
		d.scheduleProbe(w)
	}
	d.recordSend(r, a)
	d.schedule(r)
	return true
}

// respond gives the final answer: a refusal where that cannot bring a second effect, else a failure.
func (d *Dispatcher) respond(r *request) {
	if !r.open {
		return
	}
	a := Action{Kind: Reject, Request: r.id}
	dropsRepeats := r.class.Idempotency == Idempotent || r.class.Idempotency == Deduplicated && r.class.DedupScope == DedupEverywhere
	if r.mayHaveRun() && !dropsRepeats {
		a.Kind = Fail
	} else if d.settings.RetryAfter {
		a.Wait = min(d.backlogDelay(r), d.settings.MaxRetryAfter)
	}
	d.emit(a)
	d.closeRequest(r)
}

// mayRetry says whether an attempt at w can have no second effect, whatever became of the earlier ones.
func (d *Dispatcher) mayRetry(r *request, w *worker) bool {
	for i := range r.attempts {
		a := &r.attempts[i]
		mayRunAgain := !r.limits.RetryNotRunOnly && (r.class.Idempotency == Idempotent || r.class.Idempotency == Deduplicated &&
			sameDedupScope(r.class.DedupScope, a.worker, w))
		if !a.neverRan && (!mayRunAgain || a.inFlight && (!d.settings.CanHedge || r.limits.NoHedging || a.worker == w)) {
			return false
		}
	}
	return d.now < d.retryDeadline(r)
}

// retryDeadline is when a further attempt has to be out by its first byte: repeats are dropped for so long only,
// from our order of the first that may have run, as that one went out no sooner.
func (d *Dispatcher) retryDeadline(r *request) Time {
	return r.mayHaveRunSince() + r.dedupWindow - d.settings.Tick
}

// slowStartFactor is the share of its capacity that a worker has at the least.
func (d *Dispatcher) slowStartFactor(w *worker) float64 {
	age := max(0, d.now-w.lastStart())
	if w.lastStart() <= 0 || age >= d.settings.SlowStartWindow {
		return 1
	}
	return d.settings.SlowStartMinFactor + (1-d.settings.SlowStartMinFactor)*float64(age)/float64(d.settings.SlowStartWindow)
}

// slowStartAdmits is the chance by which a draw of a cold worker counts: at full load as many jobs take a worker as
// it could run when warm, and so many draws count that hardly any window brings more than it bears. Draws
// come to all alike, whatever they can do, so one that can do less counts fewer.
func (d *Dispatcher) slowStartAdmits(w *worker) float64 {
	fullLoad := w.kind.size * float64(d.settings.OverloadWindow) / (d.meanWork * d.slowdownOf(w))
	root := max(0, math.Sqrt(d.settings.OverloadMultiple*d.slowStartFactor(w)*fullLoad+1)-1)
	return min(1, slowStartSampleFactor*d.minRelativeSize(w)*d.fleet.slowdown/d.slowdownOf(w)*root*root/fullLoad)
}

// calibrateHint shrinks a hint towards the mean as far as hints told little of run times (a regression of logs).
func (c *classState) calibrateHint(hint Time) Time {
	if hint <= 0 {
		return 0
	}
	c.meanLogHint += (math.Log(float64(hint)) - c.meanLogHint) * slowEWMAWeight
	trust := min(1, max(0, c.logHintCovariance/c.logHintVariance))
	return Time(math.Exp(c.meanLogHint + trust*(math.Log(float64(hint))-c.meanLogHint)))
}

// latestOnTimeSend is the last moment to send a job for its full worth on a usual worker; heavy ones get a quarter.
// Where nothing tells the work, half would be late by its spread, which moves the aim by more than the run.
func (d *Dispatcher) latestOnTimeSend(r *request) Time {
	expectedRun := d.expectedWork(r) * d.fleet.slowdown
	if r.work == 0 {
		expectedRun += r.class.relativeDeviation * math.Abs(r.class.ObjectiveStretch-1) * expectedRun
	}
	return max(r.objectiveAt-Time(expectedRun), r.arrivedAt+(r.objectiveAt-r.arrivedAt)/4)
}

// queueDeadline is the last moment to send a held job that has nothing out.
func (d *Dispatcher) queueDeadline(r *request) Time {
	if r.limits.MaxQueueTime > 0 {
		return min(d.latestOnTimeSend(r), r.arrivedAt+r.limits.MaxQueueTime)
	}
	return d.latestOnTimeSend(r)
}

// backlogDelay is how long the work ahead takes with what we have in flight (Little's law), as far as waits agree.
func (d *Dispatcher) backlogDelay(r *request) Time {
	ahead := d.queuedSlots[bandNormal]
	if r.band == bandOverQuota {
		ahead += d.queuedSlots[bandOverQuota]
	}
	if r.queueTicket != 0 {
		ahead -= r.slots
	}
	wait := Time(max(0, ahead) * d.meanWork * d.fleet.slowdown / max(d.slotsInUse, 1))
	return min(wait, candidateInterval+2*d.queues[r.band].headAge(d.now))
}

// overQuota says whether a job goes beyond its tenant's share: our part of it is our part of all traffic.
func (d *Dispatcher) overQuota(r *request, retry bool) bool {
	tenant := r.tenant
	if tenant == nil || d.settings.OverQuotaWeight >= 1 || d.totalQuota <= 0 {
		return false
	}
	ownQuota := d.totalQuota / float64(d.settings.GroupSize) * trafficPriorSeconds
	ownRate := (ownQuota + d.arrivals) / (trafficPriorSeconds + float64(d.now-d.startedAt)/float64(Second))
	rate := tenant.QuotaRPS * min(1, ownRate/d.totalQuota)
	tenant.tokens = min(max(minQuotaBurst, rate), tenant.tokens+rate*float64(d.now-tenant.refilledAt)/float64(Second))
	tenant.refilledAt = d.now
	isOver := tenant.tokens < 1
	if !retry {
		d.arrivals++
		tenant.tokens = max(0, tenant.tokens-1)
	}
	return isOver
}

// adjustShedding follows how many jobs start too late: with many dispatchers the queues stand at the workers.
func (d *Dispatcher) adjustShedding(change float64) {
	d.shedding = max(0, d.shedding*math.Exp(-float64(d.now-d.sheddingAt)/float64(shedDecayTime))+change)
	d.shedding, d.sheddingAt = min(1, d.shedding), d.now
}

func (d *Dispatcher) admit(r *request, retry bool) {
	d.retryBudget = min(maxRetryBudget, d.retryBudget+retryBudgetRatio)
	d.meanWork += (d.expectedWork(r) - d.meanWork) * slowEWMAWeight
	quotaWeight := 1.0
	r.sampled = retry // repeats draw no cold workers: a storm of them would push these over
	if d.overQuota(r, retry) {
		r.band, quotaWeight = bandOverQuota, d.settings.OverQuotaWeight
	}
	d.adjustShedding(0)
	// Guards against queues in which all end late, at the workers or here, and waits that come to nothing.
	switch latestSend := d.latestOnTimeSend(r); {
	case d.now+d.backlogDelay(r) <= latestSend && d.rng.Float64() >= math.Pow(d.shedding, shedExponent*quotaWeight):
		d.enqueue(r)
	case d.now > latestSend || !d.sendToWarming(r):
		d.respond(r)
	}
}

// sendToWarming sends a job that would be refused to a cold worker, if one is drawn and has room: the queues that
// refuse it stand at the warm ones. Without, cold workers get the fewer jobs the more they are needed.
func (d *Dispatcher) sendToWarming(r *request) bool {
	if d.now >= d.warmingUntil || d.settings.PeerMessages { // none is cold, or a draw costs notes that would come too late
		return false
	}
	d.joinQueue(r)
	d.sampleCandidates(r, initialCandidates)
	warm := func(w *worker) bool { return d.slowStartFactor(w) >= 1 }
	r.candidates = slices.DeleteFunc(r.candidates, warm)
	return d.place(r)
}

// enqueue joins the lists of random ready workers and sends at once where one of them has room.
func (d *Dispatcher) enqueue(r *request) {
	d.joinQueue(r)
	d.sampleCandidates(r, initialCandidates)
	if !d.place(r) {
		d.schedule(r)
	}
}

// sampleCandidates joins the lists of n further workers; where notes tell loads, it asks for those that it does not know.
func (d *Dispatcher) sampleCandidates(r *request, n int) {
	r.nextSamplingAt = d.now + candidateInterval
	if d.settings.PeerMessages {
		r.nextSamplingAt, n = d.now+loadQueryTimeout, min(n, maxLoadQueries) // no worker is used blindly that others may crowd
	}
	for i := range n {
		w := d.sampleCandidate(r, i%2 == 0)
		if w == nil || r.isCandidate(w) {
			continue
		}
		r.addCandidate(w)
		if d.settings.PeerMessages && d.now >= w.loadQueriedAt+loadQueryTimeout {
			w.loadQueriedAt = d.now
			d.sendToAggregator(w, LoadQuery)
		}
	}
}

// crossZoneDelay is how long a job must have waited before all zones join its picks.
func (d *Dispatcher) crossZoneDelay() Time {
	return candidateInterval + Time(d.settings.PriceCrossZone*float64(crossZoneWait))
}

// sampleCandidate draws a random ready worker that may be used, of all zones the more often the longer starts wait near.
func (d *Dispatcher) sampleCandidate(r *request, inZone bool) *worker {
	if w := d.dueFirstRequest(); w != nil && inZone && r.firstCandidates && r.samplingRound == 0 && r.class.WorkerKind < 0 {
		return w
	}
	workers, zoneShare := d.ready, 1.0
	if cost := priceWeight * d.settings.PriceCrossZone; r.affinityKey == 0 && cost > 0 && len(d.readyInZone) > 0 &&
		(inZone || d.now < r.queuedAt+d.crossZoneDelay() && math.Sqrt(d.rng.Float64())*cost >= d.zones[d.settings.Zone].queueWait) {
		// Where few are left of a zone, its draws would bring a cold one many times its part.
		workers, zoneShare = d.readyInZone, min(1, float64(len(d.readyInZone)*d.settings.ZoneCount)/float64(len(d.ready)))
	}
	for i := range min(maxScan, len(workers)) {
		w := d.sampleWorker(r, workers)
		zone := d.zoneOf(w)
		switch {
		case (w.ejected || w.unresponsive) && d.now < w.nextProbeAt:
		case zone.connectFailureRate > 0.5 && d.now < zone.nextProbeAt: // guards against a cut link: none behind it can be reached
		case d.slowStartFactor(w) < 1 && i > 0: // nor does it take the draws of those passed over
		case d.slowStartFactor(w) < 1 && !(r.firstCandidates && r.samplingRound == 0 && d.rng.Float64() < zoneShare*d.slowStartAdmits(w)):
			return nil // not drawn again: that would raise the others' chance
		default:
			zone.nextProbeAt = d.now + minProbeInterval
			return w
		}
	}
	return nil
}

// sampleWorker draws a worker at random. Where jobs need what workers keep, the key's hash takes the random source's
// place: all dispatchers draw the same workers for a key, in the same order. A cold one is drawn evenly, as a
// hash would bring it more than its part (one fell over at seven times what it bore).
func (d *Dispatcher) sampleWorker(r *request, workers []*worker) *worker {
	w := workers[d.rng.IntN(len(workers))]
	if r.affinityKey == 0 || d.slowStartFactor(w) < 1 {
		return w
	}
	r.keySamples++
	start := d.ringIndex(uint32(splitmix64(r.affinityKey + r.keySamples<<56)))
	for i := range min(maxRingScan, len(d.ring)) {
		if onRing := d.workers[d.ring[(start+i)%len(d.ring)].worker]; onRing.isReady() && d.slowStartFactor(onRing) >= 1 {
			return onRing
		}
	}
	return w
}

// place sends a held job to the pick that has room and uses least of it, ties at random, once loads are told.
func (d *Dispatcher) place(r *request) bool {
	var best *worker
	lowestCost := math.Inf(1)
	for i, w := range r.candidates {
		if w.loadQueriedAt > w.groupLoadAt && d.now < w.loadQueriedAt+loadQueryTimeout {
			return false
		}
		if !d.hasCapacity(r, w) {
			continue
		}
		cost := d.placementCost(r, w)
		if r.affinityKey != 0 {
			cost += priceWeight * d.settings.PriceFetch * float64(i)
		}
		if cost < lowestCost || cost == lowestCost && d.rng.IntN(2) == 0 {
			best, lowestCost = w, cost
		}
	}
	return best != nil && d.send(r, best)
}

// placementCost is the share of its room that w would use, times its pace, and more where jobs wait or if it is far.
func (d *Dispatcher) placementCost(r *request, w *worker) float64 {
	cost := (w.slotsInUse+r.slots)/d.capacityOf(w)*d.slowdownOf(w)/d.fleet.slowdown + w.kind.queueWait + d.zoneOf(w).queueWait
	if d.knowsGroupLoad(w) {
		cost = (w.groupLoad + r.slots) / w.kind.size * d.slowdownOf(w) / d.fleet.slowdown
	}
	if !d.settings.PeerMessages && d.settings.WeightsShowLoad && w.Weight > 0 {
		cost *= d.meanListedWeight / w.Weight * d.meanListedWeight / w.Weight // it falls as others fill the worker
	}
	if w.Zone != d.settings.Zone {
		cost += priceWeight * d.settings.PriceCrossZone
	}
	return cost
}

// capacityOf is a worker's room. With nothing of ours there and no notes, a cut fades to the mean by listed size.
func (d *Dispatcher) capacityOf(w *worker) float64 {
	baseline := d.meanCapacity * d.relativeSize(w)
	if w.capacity >= baseline || w.slotsInUse > 0 || d.settings.PeerMessages {
		return w.capacity
	}
	return w.capacity + (baseline-w.capacity)*min(1, float64(d.now-w.capacityReducedAt)/(capacityRecoveryRuns*d.meanWork*d.fleet.slowdown))
}

// slowdownOf is how long a worker takes for a unit of work; what it has not shown itself is taken from its kind.
func (d *Dispatcher) slowdownOf(w *worker) float64 {
	if w.runCount > 0 {
		return w.slowdown
	}
	return w.kind.slowdown
}

// hasCapacity says whether a job may go to w by the rules, by w's health and by its room.
func (d *Dispatcher) hasCapacity(r *request, w *worker) bool {
	if !d.maySend(r, w) || r.class.WorkerKind >= 0 && w.Kind != r.class.WorkerKind {
		return false
	}
	switch {
	case r.hasTried(w) && len(d.ready) > 1, !d.knowsGroupLoad(w) && d.now < w.reportedCapacityUntil && w.slotsInUse+r.slots > w.reportedCapacity:
		return false // the first guards against a worker that fails one job again and again
	case !d.settings.PeerMessages && d.settings.WeightsShowLoad && w.Weight > 0 && w.Weight < d.meanListedWeight/2 &&
		d.now < r.queuedAt+d.crossZoneDelay(): // others fill it, as far as its weight has told
		return false
	case w.ejected || w.unresponsive: // guards against a black hole: a worker that errs or hangs always has room
		return w.slotsInUse == 0 && d.now >= w.nextProbeAt && r.class.Idempotency != NonIdempotent
	case d.knowsGroupLoad(w):
		return w.groupLoad+r.slots <= w.kind.size || w.groupLoad <= w.kind.size && d.now >= r.queuedAt+d.crossZoneDelay()
	}
	return w.slotsInUse+r.slots <= d.capacityOf(w) || w.slotsInUse == 0
}

// dispatchNext sends held jobs to a worker while it has room: the oldest of its own list, then those it may join.
func (d *Dispatcher) dispatchNext(w *worker) {
	queuedBefore := d.now - candidateInterval
	if w.Zone != d.settings.Zone {
		queuedBefore = d.now - d.crossZoneDelay()
	}
	for band := range bandCount {
		for _, r := range append(w.queues[band].oldest(d.now), d.queues[band].oldest(queuedBefore)...) {
			if r.queueTicket != 0 && d.hasCapacity(r, w) {
				d.send(r, w)
			}
		}
	}
}

// reevaluate does what time has made due for a job.
func (d *Dispatcher) reevaluate(r *request) {
	for i := range r.attempts {
		d.handleOverdueSignal(r, &r.attempts[i])
	}
	switch {
	case d.now >= r.deadline, d.now >= r.objectiveAt && d.isHopeless(r),
		r.isWaitingUnsent() && (d.now >= d.queueDeadline(r) || len(r.attempts) >= d.maxAttempts(r)):
		d.respond(r)
	case r.queueTicket != 0 && d.now >= r.nextSamplingAt:
		r.samplingRound++
		if !d.place(r) {
			d.sampleCandidates(r, furtherCandidates)
			d.place(r)
		}
	}
	if r.open {
		d.schedule(r)
	}
}

// isHopeless says whether a job only waits at workers, in queues, and is worth nothing once its aim has passed.
func (d *Dispatcher) isHopeless(r *request) bool {
	return r.class.LateWeight <= 0 && d.canCancel() && r.inFlight() > 0 && !r.isRunning()
}

// canCancel says whether attempts that wait, or have no answer owed, are taken back: where waste is cheap, as a
// cancel may stop nothing. Guards against workers that are full of work that is worth nothing any more.
func (d *Dispatcher) canCancel() bool {
	return d.settings.CanCancel && d.settings.ReportsStart && d.settings.PriceWaste+d.settings.PriceFetch <= maxCancelPrice
}

// canHedge says whether a job that waits at a worker moves or is entered twice: a start deletes the other.
func (d *Dispatcher) canHedge(r *request) bool {
	mayRunTwice := d.settings.CanHedge && r.class.Idempotency == Idempotent && !r.limits.NoHedging && !r.limits.RetryNotRunOnly
	return d.canCancel() && mayRunTwice || d.canMigrate(r)
}

// canMigrate says whether a job waiting at a worker is taken back first and then entered at another.
func (d *Dispatcher) canMigrate(r *request) bool {
	return d.canCancel() && !d.settings.CanHedge && r.class.Idempotency != NonIdempotent && !r.limits.RetryNotRunOnly
}

// startAllowance is how long after its send a job has started if nothing waits at the worker.
func (d *Dispatcher) startAllowance(r *request, w *worker) Time {
	slack := startSlack
	if d.canHedge(r) {
		slack = hedgeStartSlack
	}
	if d.canMigrate(r) {
		slack = hedgeStartSlack << min(len(r.attempts)-1, 20) // attempts are few: they must not be gone at once
	}
	return 2*d.zoneOf(w).startDelay + slack
}

// signalDue is when an attempt's start, or its next progress, should have been told of at the latest.
func (d *Dispatcher) signalDue(r *request, a *attempt) Time {
	switch {
	case a.inFlight && a.startedAt == 0 && !a.queueDetected && d.settings.ReportsStart:
		return a.sentAt + d.startAllowance(r, a.worker)
	case a.inFlight && a.startedAt == 0 && a.queueDetected && !a.hedgeDecided && d.settings.ReportsStart:
		return a.sentAt + r.limits.HedgeDelay
	case a.inFlight && a.startedAt == 0 && !a.late && d.settings.ReportsStart:
		return max(d.latestOnTimeSend(r), a.sentAt+1)
	case a.inFlight && a.startedAt > 0 && !a.stalled && d.settings.ProgressInterval > 0:
		return a.lastSignalAt + d.settings.ProgressInterval + progressSlack
	}
	return never
}

// handleOverdueSignal judges a worker by an attempt whose sign is due, and enters a job elsewhere that may race.
func (d *Dispatcher) handleOverdueSignal(r *request, a *attempt) {
	switch {
	case d.now < d.signalDue(r, a):
		return
	case a.startedAt > 0:
		a.stalled = true
		d.markUnresponsive(a.worker) // guards against a worker that takes jobs and answers none
		return
	case a.hedgeDecided:
		a.late = true
		if !d.canMigrate(r) { // what moved has met the queues of several and leaves the last at its aim
			d.adjustShedding(shedIncrease * (1 - r.class.LateWeight))
		}
		return
	case !a.queueDetected:
		a.queueDetected = true
		d.reduceCapacity(a.worker)
	}
	if d.now < a.sentAt+r.limits.HedgeDelay {
		return
	}
	a.hedgeDecided = true
	switch {
	case !d.canHedge(r) || len(r.attempts) >= d.maxAttempts(r) || r.isRunning() || r.queueTicket != 0:
	case d.canMigrate(r):
		d.cancelAttempts(r, nil) // its end brings the next
	case r.inFlight() == 1:
		d.enqueue(r)
	default:
		d.cancelAttempts(r, a) // its end brings the next
	}
}

// retry holds a job for a further attempt where rules, budget and time allow one; it reports whether it does.
func (d *Dispatcher) retry(r *request, a *attempt) bool {
	if d.now >= d.queueDeadline(r) || len(r.attempts) >= d.maxAttempts(r) || r.limits.RetryNotRunOnly && r.mayHaveRun() {
		return false
	}
	if r.mayHaveRun() && !a.cancelled {
		if r.class.Idempotency == NonIdempotent || d.retryBudget < 1 {
			return false // the budget guards against a storm of attempts when all are slow or failing
		}
		d.retryBudget--
	}
	d.enqueue(r)
	return true
}

// recordLoadReport takes a worker's word on its load. Free slots cap its room and never open it: all would
// flock there.
func (d *Dispatcher) recordLoadReport(w *worker, event *Event) {
	if event.Report.Known && event.Report.FreeSlots >= 0 {
		w.reportedCapacity, w.reportedCapacityUntil = w.slotsInUse+event.Report.FreeSlots, d.now+loadReportTTL
		freeSlots := math.Floor(min(event.Report.FreeSlots, w.kind.size+maxSizeStep)) // one absurd word must not open all
		w.kind.size, w.kind.sizeReported = max(w.kind.size, freeSlots), true
	}
}

func (d *Dispatcher) handleStarted(r *request, a *attempt) {
	w, zone, delay := a.worker, d.zoneOf(a.worker), max(1, d.now-a.sentAt)
	w.markResponsive()
	a.startedAt, a.lastSignalAt, w.slotsRunning = d.now, d.now, w.slotsRunning+r.slots
	w.kind.size = max(w.kind.size, w.slotsRunning)
	if !a.queueDetected && !w.kind.sizeReported {
		w.kind.size = max(w.kind.size, min(a.groupLoad, w.kind.size+1))
	}
	zone.startDelay, zone.connectFailureRate = min(zone.startDelay, delay), zone.connectFailureRate*(1-fastEWMAWeight)
	wait := float64(max(0, delay-zone.startDelay-startSlack)) / (d.meanWork * d.fleet.slowdown)
	w.kind.queueWait += (wait - w.kind.queueWait) * fastEWMAWeight
	zone.queueWait += (wait - zone.queueWait) * fastEWMAWeight
	if !a.late {
		d.adjustShedding(-shedDecrease)
	}
	if r.open && d.canHedge(r) {
		d.dequeue(r)
		d.cancelAttempts(r, a)
	}
	d.schedule(r)
}

// reduceCapacity guards against a queue at the worker, out of reach: its room becomes what of ours runs, or below one.
func (d *Dispatcher) reduceCapacity(w *worker) {
	if w.slotsRunning >= 1 {
		w.capacity = min(d.capacityOf(w), w.slotsRunning)
	} else {
		w.capacity = max(minCapacity, min(d.capacityOf(w), 1)*singleSlotReduction)
	}
	w.capacityReducedAt = d.now
}

func (d *Dispatcher) handleEnded(r *request, a *attempt, event *Event) {
	w, zone := a.worker, d.zoneOf(a.worker)
	atCapacity := w.slotsInUse+r.slots > w.capacity
	a.neverRan = event.Result == ResultOverloaded || event.Result == ResultNotSent || event.Result == ResultUnreachable
	d.releaseSlots(r, a)
	d.recordLoadReport(w, event)
	if limits := &r.limits; limits.RetryBackoff > 0 { // guards against workers that are asked again before they can be well
		backoff := min(limits.RetryBackoff<<min(len(r.attempts)-1, 20), max(limits.MaxRetryBackoff, limits.RetryBackoff))
		r.retryNotBefore = d.now + Time(float64(backoff)*(1-limits.BackoffJitter*d.rng.Float64()))
	}
	switch event.Result {
	case ResultOK:
		d.recordSuccess(r, a, atCapacity)
	case ResultOverloaded:
		w.capacity, w.capacityReducedAt = max(minCapacity, min(w.capacity, w.slotsInUse)), d.now
		d.sendToAggregator(w, OverloadNotice)
	case ResultTimedOut: // guards against work that nobody waits for and no home counts, but that fills the worker
		d.sendToAggregator(w, OverloadNotice)
	case ResultUnreachable:
		zone.connectFailureRate += (1 - zone.connectFailureRate) * fastEWMAWeight
		d.markUnresponsive(w) // guards against a dead worker: it fails all and always has room
	case ResultFailed, ResultDisconnected:
		d.recordOutcome(w, 1)
	}
	d.meanCapacity += (w.capacity - d.meanCapacity) * slowEWMAWeight
	if event.Final || !r.open {
		d.closeRequest(r)
	} else if r.queueTicket == 0 && !r.isRunning() && (d.now >= r.deadline || !d.retry(r, a)) && r.inFlight() == 0 {
		d.respond(r)
	}
	d.dispatchNext(w)
}

func (d *Dispatcher) recordSuccess(r *request, a *attempt, atCapacity bool) {
	w := a.worker
	d.recordOutcome(w, 0)
	w.markResponsive()
	run, weight := float64(d.now-max(a.startedAt, a.sentAt)), fastEWMAWeight
	if r.work == 0 {
		weight /= 4 // without hints a long run mostly means a long job
	}
	deviation := min(1, math.Abs(run/max(d.expectedWork(r)*d.slowdownOf(w), 1)-1))
	r.class.relativeDeviation += (deviation - r.class.relativeDeviation) * slowEWMAWeight
	r.class.recordRun(r.workHint, run)
	slowdown := min(run/max(d.expectedWork(r), 1), maxSlowdownRatio*d.fleet.slowdown) // one run must not tell too much
	w.slowdown, w.runCount = d.slowdownOf(w)+(slowdown-d.slowdownOf(w))*weight, w.runCount+1
	w.kind.recordSlowdown(slowdown)
	d.fleet.recordSlowdown(slowdown)
	if atCapacity && !a.queueDetected {
		w.capacity += min(w.capacity, r.slots*capacityStep)
	}
}

// recordRun takes a run into the means of its class, and how the hint it had and its time go together.
func (c *classState) recordRun(hint Time, run float64) {
	c.runCount++
	c.meanRun += (run - c.meanRun) * max(classRunEWMAWeight, 1/c.runCount)
	if hint > 0 {
		logHint, logRun := math.Log(float64(hint))-c.meanLogHint, math.Log(run+1)-c.meanLogRun
		c.logHintVariance += (logHint*logHint - c.logHintVariance) * slowEWMAWeight
		c.logHintCovariance += (logHint*logRun - c.logHintCovariance) * slowEWMAWeight
		c.meanLogRun += logRun * slowEWMAWeight
	}
}

// recordOutcome marks workers that fail far more than their peers, at most a third: what all share is no one's fault.
func (d *Dispatcher) recordOutcome(w *worker, failed float64) {
	w.outcomeCount++
	w.failureRate += (failed - w.failureRate) * max(fastEWMAWeight, 1/(w.outcomeCount+1))
	d.failureRate += (failed - d.failureRate) * slowEWMAWeight
	isOutlier := w.failureRate > 2*d.failureRate+outlierMargin && (w.ejected || d.ejectedCount < len(d.ready)/3)
	if isOutlier && !w.ejected {
		d.ejectedCount++
		d.scheduleProbe(w)
	} else if !isOutlier && w.ejected {
		d.ejectedCount--
	}
	w.ejected = isOutlier
}

// markUnresponsive leaves a worker that gives no sign to single trials until it gives one.
func (d *Dispatcher) markUnresponsive(w *worker) {
	if !w.unresponsive {
		w.unresponsive = true
		d.scheduleProbe(w)
	}
}

func (d *Dispatcher) scheduleProbe(w *worker) {
	w.probeInterval = min(max(2*w.probeInterval, minProbeInterval), maxProbeInterval)
	w.nextProbeAt = d.now + w.probeInterval
}

// scheduleFirstRequest makes sure that a worker that was put back by hand is used again: draws seldom find a cold one. Each
// dispatcher owes it one job, at a moment of its own; of many only as many do as it bears.
func (d *Dispatcher) scheduleFirstRequest(w *worker) {
	admits := d.settings.OverloadMultiple * d.settings.SlowStartMinFactor * float64(firstRequestMaxDelay) / (d.meanWork * d.slowdownOf(w))
	if d.rng.Float64()*float64(d.settings.GroupSize) < max(1, admits) {
		w.firstRequestDue = w.enabledAt + firstRequestMinDelay + Time(d.rng.Float64()*float64(firstRequestMaxDelay-firstRequestMinDelay))
		d.awaitingFirstRequest = append(d.awaitingFirstRequest, w)
	}
}

// readmit sets what is believed of a worker that is new or has restarted.
func (d *Dispatcher) readmit(w *worker) {
	w.readmittedAt, w.capacity, w.capacityReducedAt = d.now, d.meanCapacity, d.now
	w.failureRate, w.outcomeCount, w.ejected = 0, 0, false
	w.markResponsive()
}

// handleEndpoints takes the list over, gives entries at workers that are leaving a new pick, and sees to the watch.
func (d *Dispatcher) handleEndpoints(event *Event) {
	if event.Version < d.endpointVersion {
		return // guards against late news that would bring a drained worker back
	}
	d.applyEndpoints(event)
	d.pollBackoff, d.nextPollAt = initialPollBackoff, never
	if d.settings.EndpointsOnRequest && event.Stale {
		d.watchEndpoints()
	}
	d.resampleOrphaned()
}

// handleWatchLost keeps the last list and asks again, less and less often but in time for rule three.
func (d *Dispatcher) handleWatchLost() {
	d.nextPollAt = min(d.nextPollAt, d.now+d.pollBackoff)
	d.pollBackoff = min(2*d.pollBackoff, d.settings.MaxPollInterval/pollsPerInterval)
}

func (d *Dispatcher) watchEndpoints() {
	d.nextPollAt = d.now + d.settings.MaxPollInterval/pollsPerInterval // the answer may get lost too
	d.emit(Action{Kind: WatchEndpoints})
}
