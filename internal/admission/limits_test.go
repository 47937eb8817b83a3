package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// generateConfig draws a lawful configuration.
func generateConfig(t *rapid.T) Config {
	config := Config{MaxOpen: rapid.IntRange(0, 30).Draw(t, "open"), Adaptive: rapid.Bool().Draw(t, "adaptive"), MinOpen: rapid.IntRange(1, 5).Draw(t, "least"), MaxBuckets: 1}
	for i := range rapid.IntRange(1, 3).Draw(t, "routes") {
		config.Routes = append(config.Routes, RouteConfig{
			Name: fmt.Sprint("r", i), RateLimited: rapid.Bool().Draw(t, "limited"),
			Rate:  rapid.SampledFrom([]float64{0, 0.1, 1, 7.5, 100, 1e6, 1e12}).Draw(t, "rate"),
			Burst: rapid.IntRange(1, 5).Draw(t, "burst"), RateScope: rapid.SampledFrom([]RateScope{PerRoute, PerTenant, PerKey}).Draw(t, "by"),
			MaxConcurrent: rapid.IntRange(0, 10).Draw(t, "concurrent"), MaxQueued: rapid.IntRange(0, 4).Draw(t, "queue"), RetryBudgeted: rapid.Bool().Draw(t, "budgeted"),
			RetryBudget: rapid.Float64Range(0, 1).Draw(t, "budget"), MinRetriesPerSecond: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Priority: rapid.IntRange(0, MaxPriority).Draw(t, "priority"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tenants") {
		config.Tenants = append(config.Tenants, TenantConfig{Name: fmt.Sprint("t", i), Weight: rapid.Float64Range(0.1, 5).Draw(t, "weight")})
	}
	return config
}

// Whatever comes, with reloads in between and a clock that jumps: no more is open than any limit allows, every slot is
// given back, nothing goes below nought, and two gates with the same input answer alike.
func TestLimiter_KeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := generateConfig(t)
		a, b := New(config), New(config)
		now := time.Duration(0)
		type permits struct{ a, b Permit }
		var open []permits
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-50, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				config = generateConfig(t)
				a.Reconfigure(now, config)
				b.Reconfigure(now, config)
			case 1, 2, 3:
				if len(open) > 0 {
					i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					outcome := rapid.SampledFrom([]Outcome{Timely, Late, Ignored}).Draw(t, "end")
					a.Release(now, open[i].a, outcome)
					b.Release(now, open[i].b, outcome)
					open = append(open[:i], open[i+1:]...)
				}
			default:
				request := Request{Route: rapid.IntRange(0, len(config.Routes)-1).Draw(t, "route"), Tenant: rapid.IntRange(-1, 3).Draw(t, "tenant"),
					Key: rapid.Uint64Range(0, 5).Draw(t, "key"), Retry: rapid.Bool().Draw(t, "retry")}
				routeOpen, openBefore, queued := a.OpenOnRoute(request.Route), a.OpenRequests(), a.routes[request.Route].queued
				decisionA, decisionB := a.Admit(now, request), b.Admit(now, request)
				if decisionA.Reason != decisionB.Reason || decisionA.RetryAfter != decisionB.RetryAfter {
					t.Fatalf("two gates differ: %+v and %+v", decisionA, decisionB)
				}
				if decisionA.RetryAfter < 0 {
					t.Fatalf("a wait of %v", decisionA.RetryAfter)
				}
				route := config.Routes[request.Route]
				if decisionA.Reason == Admitted {
					if route.MaxConcurrent > 0 && routeOpen >= route.MaxConcurrent || config.MaxOpen > 0 && openBefore >= config.MaxOpen || route.RateLimited && route.Rate == 0 {
						t.Fatalf("admitted beyond a limit: %d on the route, %d in all, %+v", routeOpen, openBefore, route)
					}
					if route.MaxQueued > 0 && queued >= route.MaxQueued {
						t.Fatalf("admitted with %d queued of %d", queued, route.MaxQueued)
					}
					if rapid.Bool().Draw(t, "sent") {
						a.MarkSent(&decisionA.Permit)
						a.MarkSent(&decisionA.Permit)
						b.MarkSent(&decisionB.Permit)
					}
					open = append(open, permits{decisionA.Permit, decisionB.Permit})
				} else if decisionA.Permit.Valid() || a.OpenRequests() != openBefore {
					t.Fatal("a request that was not taken holds a slot")
				}
			}
			if a.OpenRequests() != len(open) || config.MaxOpen > 0 && (a.CurrentLimit() > config.MaxOpen || a.CurrentLimit() < 1) {
				t.Fatalf("%d open, %d held, limit %d of %d", a.OpenRequests(), len(open), a.CurrentLimit(), config.MaxOpen)
			}
			for _, route := range a.routes {
				if route.open < 0 || route.queued < 0 || route.queued > route.open || route.retryTokens < 0 || route.retryTokens > a.maxRetryTokens(route)+1e-9 {
					t.Fatalf("route out of bounds: %+v", route)
				}
			}
		}
		for _, held := range open {
			a.Release(now, held.a, Ignored)
		}
		for _, route := range a.routes {
			if route.open != 0 || route.queued != 0 {
				t.Fatalf("%d slots of %s leaked, %d queued", route.open, route.Name, route.queued)
			}
		}
		for _, tenant := range a.tenants {
			if tenant.open != 0 {
				t.Fatalf("%d slots of %s leaked", tenant.open, tenant.Name)
			}
		}
	})
}

// In any stretch of time a rate lets no more through than its burst and what the time brings, and an idle one lets its
// whole burst through.
func TestTokenBucket_KeepsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.SampledFrom([]float64{0.1, 1, 10, 1000}).Draw(t, "rate"), rapid.IntRange(1, 20).Draw(t, "burst")
		var bucket tokenBucket
		var admittedAt []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now += time.Duration(rapid.Float64Range(0, 2).Draw(t, "gap") / rate * float64(time.Second))
			if wait := bucket.take(now, rate, burst); wait == 0 {
				admittedAt = append(admittedAt, now)
			} else if (&tokenBucket{bucket.fullAt}).take(now+wait, rate, burst) != 0 {
				t.Fatalf("after the wait of %v there is still no token", wait)
			}
		}
		for i := range admittedAt {
			for j := i; j < len(admittedAt); j++ {
				if allowed := float64(burst) + (admittedAt[j]-admittedAt[i]).Seconds()*rate + 1e-3; float64(j-i+1) > allowed {
					t.Fatalf("%d within %v, at most %.2f", j-i+1, admittedAt[j]-admittedAt[i], allowed)
				}
			}
		}
		now += time.Duration(float64(burst) / rate * float64(time.Second))
		for i := range burst {
			if bucket.take(now, rate, burst) != 0 {
				t.Fatalf("an idle bucket gave %d of %d", i, burst)
			}
		}
	})
}

func TestTokenBucket_ExtremeRates(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		burst int
		want  int // of 100 asks at one moment
	}{{0, 5, 0}, {0.1, 1, 1}, {1e6, 1, 1}, {1e12, 1, 100}, {1e-9, 3, 3}, {math.NaN(), 3, 0}, {5, 1 << 30, 100}} {
		var bucket tokenBucket
		got := 0
		for range 100 {
			if bucket.take(time.Hour, c.rate, c.burst) == 0 {
				got++
			}
		}
		if got != c.want {
			t.Errorf("rate %v, burst %d: %d, not %d", c.rate, c.burst, got, c.want)
		}
	}
}

func TestLimiter_RejectsWithReason(t *testing.T) {
	limiter := New(Config{
		Routes: []RouteConfig{
			{Name: "top", Priority: MaxPriority}, {Name: "low"}, {Name: "two", MaxConcurrent: 2, Priority: MaxPriority},
			{Name: "rated", RateLimited: true, Rate: 1, Burst: 1, Priority: MaxPriority, RetryAfter: 3 * time.Second},
			{Name: "budgeted", RetryBudgeted: true, RetryBudget: 0.5, MinRetriesPerSecond: 0, Priority: MaxPriority},
		},
		Tenants: []TenantConfig{{"a", 1}, {"b", 1}}, MaxOpen: 20,
	})
	expect := func(route, tenant int, retry bool, want Reason) Decision {
		t.Helper()
		decision := limiter.Admit(0, Request{Route: route, Tenant: tenant, Retry: retry})
		if decision.Reason != want {
			t.Errorf("route %d: %v, not %v", route, decision.Reason, want)
		}
		return decision
	}
	var permits []Permit
	admit := func(route, tenant int) { permits = append(permits, expect(route, tenant, false, Admitted).Permit) }
	admit(2, -1)
	admit(2, -1)
	expect(2, -1, false, ConcurrencyExceeded)
	admit(3, -1)
	if decision := expect(3, -1, false, RateExceeded); decision.RetryAfter != 3*time.Second {
		t.Errorf("come back after %v", decision.RetryAfter)
	}
	expect(4, -1, true, RetryBudgetExhausted)
	admit(4, -1)
	admit(4, -1)
	permits = append(permits, expect(4, -1, true, Admitted).Permit)
	expect(4, -1, true, RetryBudgetExhausted)
	for range 8 {
		admit(0, 0)
	}
	expect(1, 0, false, PriorityShed) // 14 of 20 are open
	admit(0, 0)                       // 15: short
	admit(0, 1)
	admit(0, 0)
	expect(0, 0, false, TenantQuotaExceeded) // it has ten, its share of the twenty among two
	admit(0, 1)
	admit(0, 1)
	admit(0, 1)
	expect(0, 1, false, OpenLimitReached)
	if limiter.Counts()[TenantQuotaExceeded] != 1 || limiter.Counts()[Admitted] != int64(len(permits)) || limiter.OpenRequests() != 20 {
		t.Errorf("counted %v with %d open", limiter.Counts(), limiter.OpenRequests())
	}
}

// While short a quiet tenant finds a place and a flooding one does not go beyond its share.
func TestLimiter_FloodingTenantLeavesCapacity(t *testing.T) {
	config := Config{Routes: []RouteConfig{{Name: "all", Priority: MaxPriority}}, MaxOpen: 40}
	for i := range 5 {
		config.Tenants = append(config.Tenants, TenantConfig{fmt.Sprint(i), 1})
	}
	limiter := New(config)
	type openRequest struct {
		permit Permit
		endsAt time.Duration
	}
	var open []openRequest
	requested, admitted := [5]int{}, [5]int{}
	for step := range 4000 { // a request takes 200 ms: 40 open do 200 a second; the flood alone asks for 400
		now := ms(step * 2)
		remaining := open[:0]
		for _, request := range open {
			if request.endsAt <= now {
				limiter.Release(now, request.permit, Timely)
			} else {
				remaining = append(remaining, request)
			}
		}
		open = remaining
		for tenant := range 5 {
			if tenant > 0 && step%25 != tenant*5 { // 20 a second each
				continue
			}
			requested[tenant]++
			if decision := limiter.Admit(now, Request{Tenant: tenant}); decision.Reason == Admitted {
				admitted[tenant]++
				open = append(open, openRequest{decision.Permit, now + ms(200)})
			}
		}
	}
	for tenant := 1; tenant < 5; tenant++ {
		if fraction := float64(admitted[tenant]) / float64(requested[tenant]); fraction < 0.97 {
			t.Errorf("quiet tenant %d got %.2f of what it asked for", tenant, fraction)
		}
	}
	if rate := float64(admitted[0]) / 8; rate < 60 {
		t.Errorf("the flooding tenant got %.0f a second though there was room for more", rate)
	}
}

// The adaptive limit comes down while answers are late, not below its least, and back up once they are not.
func TestLimiter_AdaptiveLimitFollowsService(t *testing.T) {
	limiter := New(Config{Routes: []RouteConfig{{Name: "all", Priority: MaxPriority}}, MaxOpen: 100, Adaptive: true, MinOpen: 10})
	run := func(from, to int, outcome Outcome) {
		for now := from; now < to; now += 10 {
			var permits []Permit
			for {
				decision := limiter.Admit(ms(now), Request{Tenant: -1})
				if decision.Reason != Admitted {
					break
				}
				permits = append(permits, decision.Permit)
			}
			for _, permit := range permits {
				limiter.Release(ms(now), permit, outcome)
			}
		}
	}
	run(0, 2000, Timely)
	if limiter.CurrentLimit() != 100 {
		t.Fatalf("limit %d with nothing late", limiter.CurrentLimit())
	}
	run(2000, 12000, Late)
	if limiter.CurrentLimit() != 10 {
		t.Fatalf("limit %d with all late", limiter.CurrentLimit())
	}
	run(12000, 20000, Timely)
	if limiter.CurrentLimit() != 100 {
		t.Fatalf("limit %d after service came back", limiter.CurrentLimit())
	}
}

// A reload from 100 to 10 with 80 open drops nobody and lets nobody in until there is room; and back.
func TestLimiter_ReconfigureWithOpenRequests(t *testing.T) {
	configWith := func(n int) Config {
		return Config{Routes: []RouteConfig{{Name: "r", MaxConcurrent: n, Priority: MaxPriority}}}
	}
	limiter := New(configWith(100))
	var permits []Permit
	for range 80 {
		permits = append(permits, limiter.Admit(0, Request{}).Permit)
	}
	limiter.Reconfigure(0, configWith(10))
	for i := range 71 {
		if limiter.Admit(0, Request{}).Reason != ConcurrencyExceeded {
			t.Fatalf("let in with %d open", 80-i)
		}
		limiter.Release(0, permits[i], Timely)
	}
	if decision := limiter.Admit(0, Request{}); decision.Reason != Admitted {
		t.Fatalf("not let in with 9 open: %v", decision.Reason)
	}
	limiter.Reconfigure(0, Config{Routes: []RouteConfig{{Name: "other", Priority: MaxPriority}}}) // the route goes, its slots do not
	for _, permit := range permits[71:] {
		limiter.Release(0, permit, Timely)
	}
	if limiter.OpenRequests() != 1 {
		t.Errorf("%d open", limiter.OpenRequests())
	}
	limiter.Reconfigure(0, configWith(100))
	for range 100 {
		if limiter.Admit(0, Request{}).Reason != Admitted {
			t.Fatal("a new route of an old name counts slots of the old one")
		}
	}
}

// A reload refills no bucket of a route that keeps its name, and a new route begins with a full one.
func TestLimiter_ReconfigureKeepsBuckets(t *testing.T) {
	configWith := func(name string) Config {
		return Config{Routes: []RouteConfig{{Name: name, RateLimited: true, Rate: 0.001, Burst: 1, Priority: MaxPriority}}}
	}
	limiter := New(configWith("r"))
	for i, c := range []struct {
		name string
		want Reason
	}{{"r", Admitted}, {"r", RateExceeded}, {"s", Admitted}, {"s", RateExceeded}} {
		limiter.Reconfigure(0, configWith(c.name))
		if decision := limiter.Admit(0, Request{}); decision.Reason != c.want {
			t.Errorf("step %d: %v, not %v", i, decision.Reason, c.want)
		}
	}
}

// Keys by the hundred thousand take bounded memory, and who comes often is not forgotten for those who come once.
func TestBucketCache_IsBounded(t *testing.T) {
	limiter := New(Config{Routes: []RouteConfig{{Name: "r", RateLimited: true, Rate: 0.001, Burst: 1, RateScope: PerKey, Priority: MaxPriority}}, MaxBuckets: 2000})
	limiter.Admit(0, Request{Key: 7})
	for i := range 100_000 {
		limiter.Admit(ms(i), Request{Key: uint64(1000 + i)})
		if i%500 == 0 && limiter.Admit(ms(i), Request{Key: 7}).Reason != RateExceeded {
			t.Fatalf("the busy key was forgotten after %d others", i)
		}
	}
	if n := len(limiter.buckets.entries); n > 2000 || limiter.buckets.recent.Len() != n {
		t.Errorf("%d keys are remembered", n)
	}
}

func BenchmarkLimiter_Admit(b *testing.B) {
	for _, keys := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			limiter := New(Config{Routes: []RouteConfig{{Name: "r", RateLimited: true, Rate: 1e6, Burst: 1000, RateScope: PerKey, MaxConcurrent: 100, RetryBudgeted: true, RetryBudget: 0.1, Priority: MaxPriority}},
				Tenants: []TenantConfig{{"a", 1}, {"b", 1}}, MaxOpen: 1000, Adaptive: true, MinOpen: 10, MaxBuckets: keys})
			for i := range keys {
				limiter.Release(0, limiter.Admit(0, Request{Key: uint64(i)}).Permit, Timely)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * 10 * time.Microsecond
				limiter.Release(now, limiter.Admit(now, Request{Key: uint64(i*7919) % uint64(keys), Tenant: i & 1}).Permit, Timely)
			}
		})
	}
}
