package dispatch

import "math"

const (
	shedIncrease = 0.3 // per request that was queued at a worker too long to be on time
	shedDecrease = 0.1 // per other start: in balance a quarter of the requests is late

	// shedDecayTime is the time constant with which shedding decays without starts: a dispatcher that rejects
	// every request receives no start reports.
	shedDecayTime = 5 * Second

	// shedExponent lets requests beyond a tenant's quota be shed before others.
	shedExponent = 3.0

	// trafficPriorSeconds is the weight, in seconds of observed arrivals, of the prior assumption that a
	// dispatcher receives an equal share of all traffic.
	trafficPriorSeconds = 5.0

	// minQuotaBurst is the minimum capacity of a tenant's token bucket, in requests. A dispatcher with little
	// traffic refills it only over seconds, while random arrivals come in groups.
	minQuotaBurst = 12.0
)

// adjustShedding applies the decay since the last change, then adds change. Shedding follows the share of
// requests that start too late, since with many dispatchers the queues are at the workers.
func (d *Dispatcher) adjustShedding(change float64) {
	decay := math.Exp(-float64(d.now-d.sheddingAt) / float64(shedDecayTime))
	d.shedding = min(1, max(0, d.shedding*decay+change))
	d.sheddingAt = d.now
}

// overQuota reports whether a request exceeds its tenant's quota, measured by a token bucket. This
// dispatcher's share of the quota is its share of all traffic since its start: a burst does not raise it.
func (d *Dispatcher) overQuota(r *request, isRetry bool) bool {
	tenant := r.tenant
	if tenant == nil || d.settings.OverQuotaWeight >= 1 || d.totalQuota <= 0 {
		return false
	}
	prior := d.totalQuota / float64(d.settings.GroupSize) * trafficPriorSeconds
	ownRate := (prior + d.quotaArrivals) / (trafficPriorSeconds + float64(d.now-d.startedAt)/float64(Second))
	rate := tenant.QuotaRPS * min(1, ownRate/d.totalQuota)
	refilled := tenant.tokens + rate*float64(d.now-tenant.refilledAt)/float64(Second)
	tenant.tokens = min(max(minQuotaBurst, rate), refilled)
	tenant.refilledAt = d.now
	isOver := tenant.tokens < 1
	if !isRetry {
		d.quotaArrivals++
		tenant.tokens = max(0, tenant.tokens-1)
	}
	return isOver
}
