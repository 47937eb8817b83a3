package dispatch

import "math"

const (
	shedIncrease = 0.3 // harder shedding for each request that starts too late as it queued at a worker ...
	shedDecrease = 0.1 // ... and less for each other start: a quarter may be late

	// shedDecayTime is the time over which shedding decays by itself: a dispatcher that rejects all sees no
	// start.
	shedDecayTime = 5 * Second

	// shedExponent makes requests beyond a tenant's quota be shed before the others.
	shedExponent = 3.0

	// trafficPriorSeconds is the time for which a dispatcher counts as having had an equal part of all
	// traffic, beside the arrivals that it has seen.
	trafficPriorSeconds = 5.0

	// minQuotaBurst is how many requests a tenant may send at once, if its quota is less than that in a
	// second. A quiet dispatcher sees that many in seconds, and chance alone brings several together.
	minQuotaBurst = 12.0
)

// adjustShedding follows how many requests start too late: with many dispatchers the queues stand at the
// workers.
func (d *Dispatcher) adjustShedding(change float64) {
	decay := math.Exp(-float64(d.now-d.sheddingAt) / float64(shedDecayTime))
	d.shedding = min(1, max(0, d.shedding*decay+change))
	d.sheddingAt = d.now
}

// overQuota says whether a request is beyond its tenant's quota, by a token bucket. This dispatcher's part of
// the quota is its part of all traffic, taken over the whole of its life, so that a burst does not raise it.
func (d *Dispatcher) overQuota(r *request, isRetry bool) bool {
	tenant := r.tenant
	if tenant == nil || d.settings.OverQuotaWeight >= 1 || d.totalQuota <= 0 {
		return false
	}
	prior := d.totalQuota / float64(d.settings.GroupSize) * trafficPriorSeconds
	ownRate := (prior + d.arrivals) / (trafficPriorSeconds + float64(d.now-d.startedAt)/float64(Second))
	rate := tenant.QuotaRPS * min(1, ownRate/d.totalQuota)
	refilled := tenant.tokens + rate*float64(d.now-tenant.refilledAt)/float64(Second)
	tenant.tokens = min(max(minQuotaBurst, rate), refilled)
	tenant.refilledAt = d.now
	isOver := tenant.tokens < 1
	if !isRetry {
		d.arrivals++
		tenant.tokens = max(0, tenant.tokens-1)
	}
	return isOver
}
