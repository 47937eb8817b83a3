package dispatch

import "math"

const (
	shedIncrease = 0.3 // increase for each request that starts too late as it was queued at a worker ...
	shedDecrease = 0.1 // ... and decrease for each other start: a quarter may be late

	// shedDecayTime is the time constant by which shedding decays by itself: a dispatcher that rejects
	// everything sees no start.
	shedDecayTime = 5 * Second

	// shedExponent makes requests beyond a tenant's quota be shed before the others.
	shedExponent = 3.0

	// trafficPriorSeconds is the time for which a dispatcher is assumed to have had an equal part of all
	// traffic, in addition to the arrivals that it has seen.
	trafficPriorSeconds = 5.0

	// minQuotaBurst is the least burst of requests that a tenant's quota allows. A dispatcher with little
	// traffic gets that many only over seconds, and several arrive together by chance alone.
	minQuotaBurst = 12.0
)

// adjustShedding applies the decay since the last change, then a change: by how many requests start too late.
// With many dispatchers the queues are at the workers.
func (d *Dispatcher) adjustShedding(change float64) {
	decay := math.Exp(-float64(d.now-d.sheddingAt) / float64(shedDecayTime))
	d.shedding = min(1, max(0, d.shedding*decay+change))
	d.sheddingAt = d.now
}

// overQuota reports whether a request exceeds its tenant's quota, by a token bucket. This dispatcher's part
// of the quota is its part of all traffic since its start, so that a burst does not raise it.
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
