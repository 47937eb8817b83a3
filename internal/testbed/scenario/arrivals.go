package scenario

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// requestGenerator generates the requests of a schedule: a Poisson process of arrivals, some of them bursts, whose rate changes
// with the faults that affect traffic.
type requestGenerator struct {
	schedule          *Schedule
	random            *rand.Rand // for everything except clients that leave
	leaveRandom       *rand.Rand
	classWeights      []float64
	dispatcherWeights []float64
	tenantWeights     []float64 // in the current interval
	quotas            []tokenBucket
	burstChance       float64 // probability that an arrival is a burst
	arrivalRate       float64 // bursts and single requests per second
}

// generateRequests generates the requests, sorted by time.
func (s *Schedule) generateRequests() {
	g := newRequestGenerator(s)
	edges := s.trafficEdges()
	for i := 0; i+1 < len(edges); i++ {
		if !g.generate(edges[i], edges[i+1]) {
			return
		}
	}
}

func newRequestGenerator(schedule *Schedule) *requestGenerator {
	s := schedule.Scenario
	g := &requestGenerator{
		schedule: schedule, random: Rand(schedule.Seed, streamArrivals), leaveRandom: Rand(schedule.Seed, streamLeave),
		classWeights: make([]float64, len(s.Classes)), dispatcherWeights: make([]float64, s.Dispatchers),
		tenantWeights: make([]float64, len(s.Tenants)), quotas: make([]tokenBucket, len(s.Tenants)),
	}
	for i, c := range s.Classes {
		g.classWeights[i] = c.Share
	}
	for i := range g.dispatcherWeights {
		g.dispatcherWeights[i] = 1
		if s.Dispatchers > 1 {
			g.dispatcherWeights[i] += s.Uneven * (1 - 2*float64(i)/float64(s.Dispatchers-1))
		}
	}
	share, size := s.Burst.Share, float64(max(s.Burst.Size, 1))
	g.burstChance = share / (size - share*(size-1)) // Share counts requests, not arrivals
	g.arrivalRate = s.Rate / (1 - g.burstChance + g.burstChance*size)
	return g
}

// generate generates the requests of an interval in which traffic does not change. It returns false once the schedule has
// MaxRequests.
func (g *requestGenerator) generate(from, until time.Duration) bool {
	s, schedule := g.schedule.Scenario, g.schedule
	rate := g.arrivalRate * schedule.trafficFactor(from, g.tenantWeights)
	// A Poisson process is memoryless, so it can be restarted in each interval.
	for at := from; ; {
		at += time.Duration(g.random.ExpFloat64() / rate * float64(time.Second))
		if at >= until {
			return true
		}
		count := 1
		if s.Burst.Share > 0 && g.random.Float64() < g.burstChance {
			count = s.Burst.Size
		}
		for range count {
			schedule.Requests = append(schedule.Requests, g.request(at))
			if len(schedule.Requests) >= MaxRequests {
				return false
			}
		}
	}
}

// request generates one request. A change of the order in which it draws random numbers would change the schedules of all seeds.
func (g *requestGenerator) request(at time.Duration) Request {
	s, random := g.schedule.Scenario, g.random
	r := Request{At: at, Class: weightedChoice(random, g.classWeights), Tenant: -1, Dispatcher: weightedChoice(random, g.dispatcherWeights)}
	if len(g.tenantWeights) > 0 {
		r.Tenant = weightedChoice(random, g.tenantWeights)
	}
	c := &s.Classes[r.Class]
	factor := math.Exp(c.Spread*random.NormFloat64() - c.Spread*c.Spread/2) // log-normal with mean 1
	r.Work = max(time.Microsecond, time.Duration(float64(c.Work)*factor))
	r.Body = c.Body[0] + random.IntN(c.Body[1]-c.Body[0]+1)
	r.HonorsRetryAfter = random.Float64() < s.Clients.HonorRetryAfterShare
	if r.Tenant >= 0 {
		r.OverQuota = !g.quotas[r.Tenant].take(at, s.Tenants[r.Tenant].Quota)
	}
	if s.Clients.LeaveShare > 0 && g.leaveRandom.Float64() < s.Clients.LeaveShare {
		r.LeavesAfter = 1 + time.Duration(g.leaveRandom.Float64()*float64(c.LatencyObjective+c.Work))
	}
	return r
}

// trafficEdges returns the times at which traffic changes, including the start and the end of the run.
func (s *Schedule) trafficEdges() []time.Duration {
	edges := []time.Duration{0, s.Scenario.For}
	for _, e := range s.Events {
		if e.Kind == TrafficJump || e.Kind == TenantFlood {
			edges = append(edges, min(e.At, s.Scenario.For), min(e.Until, s.Scenario.For))
		}
	}
	slices.Sort(edges)
	return slices.Compact(edges)
}

// trafficFactor returns the traffic at the given time as a multiple of the scenario's rate, and sets the weight of each tenant.
func (s *Schedule) trafficFactor(at time.Duration, tenantWeights []float64) float64 {
	jump := 1.0
	for i := range tenantWeights {
		tenantWeights[i] = s.Scenario.Tenants[i].Share
	}
	for _, e := range s.Events {
		if at < e.At || at >= e.Until {
			continue
		}
		switch e.Kind {
		case TrafficJump:
			jump *= e.Factor
		case TenantFlood:
			tenantWeights[e.Tenant] *= e.Factor
		}
	}
	if len(tenantWeights) == 0 {
		return jump
	}
	sum := 0.0
	for _, weight := range tenantWeights {
		sum += weight
	}
	return jump * sum
}

// weightedChoice returns a random index with a probability proportional to its weight.
func weightedChoice(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Size of a tenant's token bucket: its quota for quotaSeconds, and at least minQuotaTokens.
const (
	quotaSeconds   = 2
	minQuotaTokens = 3
)

// tokenBucket decides which requests are within a tenant's quota. It is initially full.
type tokenBucket struct {
	tokens float64
	at     time.Duration // of the last take
	filled bool
}

// take removes one token at the given time, up to which rate tokens per second have been added. It returns false if there is none.
func (b *tokenBucket) take(at time.Duration, rate float64) bool {
	size := max(quotaSeconds*rate, minQuotaTokens)
	if !b.filled {
		b.filled, b.tokens = true, size
	}
	b.tokens = min(size, b.tokens+(at-b.at).Seconds()*rate)
	b.at = at
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
