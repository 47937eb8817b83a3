package admission

import (
	"fmt"
	"testing"
	"time"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// Each limit rejects requests with its own reason, and the rejections are counted by reason.
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
			t.Errorf("route %d: reason %v, want %v", route, decision.Reason, want)
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
		t.Errorf("Retry-After %v, want 3 s", decision.RetryAfter)
	}
	expect(4, -1, true, RetryBudgetExhausted)
	admit(4, -1)
	admit(4, -1)
	permits = append(permits, expect(4, -1, true, Admitted).Permit)
	expect(4, -1, true, RetryBudgetExhausted)
	for range 8 {
		admit(0, 0)
	}
	expect(1, 0, false, PriorityShed) // 14 of 20 requests are open
	admit(0, 0)                       // 15 of 20: contention begins
	admit(0, 1)
	admit(0, 0)
	expect(0, 0, false, TenantQuotaExceeded) // the tenant has 10 open requests; its quota is half of 20
	admit(0, 1)
	admit(0, 1)
	admit(0, 1)
	expect(0, 1, false, OpenLimitReached)
	if limiter.Counts()[TenantQuotaExceeded] != 1 || limiter.Counts()[Admitted] != int64(len(permits)) || limiter.OpenRequests() != 20 {
		t.Errorf("counts %v, want one TenantQuotaExceeded and one Admitted per permit; %d open requests, want 20", limiter.Counts(), limiter.OpenRequests())
	}
}

// A tenant that floods the dispatcher is limited to its quota under contention, so that requests of other tenants are still admitted.
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
	for step := range 4000 { // a request takes 200 ms, so that 40 open requests allow 200 per second; the flooding tenant sends 400
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
			if tenant > 0 && step%25 != tenant*5 { // 20 requests per second for each other tenant
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
			t.Errorf("fraction of admitted requests of quiet tenant %d: %.2f, want at least 0.97", tenant, fraction)
		}
	}
	if rate := float64(admitted[0]) / 8; rate < 60 {
		t.Errorf("the flooding tenant got %.0f requests per second, want at least 60 of the free capacity", rate)
	}
}

// A reload that reduces the limit from 100 to 10 with 80 open requests ends none of them, and no request is admitted until fewer
// than 10 are open. A route that is removed and added again must not count the permits of the removed one.
func TestLimiter_ReconfigureWithOpenRequests(t *testing.T) {
	configWith := func(n int) Config {
		return Config{Routes: []RouteConfig{{Name: "r", MaxConcurrent: n, Priority: MaxPriority}}}
	}
	limiter := New(configWith(100))
	permits := make([]Permit, 0, 80)
	for range 80 {
		permits = append(permits, limiter.Admit(0, Request{}).Permit)
	}
	limiter.Reconfigure(0, configWith(10))
	for i := range 71 {
		if limiter.Admit(0, Request{}).Reason != ConcurrencyExceeded {
			t.Fatalf("admitted with %d open requests and a limit of 10", 80-i)
		}
		limiter.Release(0, permits[i], Timely)
	}
	if decision := limiter.Admit(0, Request{}); decision.Reason != Admitted {
		t.Fatalf("rejected with 9 open requests and a limit of 10: %v", decision.Reason)
	}
	limiter.Reconfigure(0, Config{Routes: []RouteConfig{{Name: "other", Priority: MaxPriority}}}) // removes the route while its permits are held
	for _, permit := range permits[71:] {
		limiter.Release(0, permit, Timely)
	}
	if limiter.OpenRequests() != 1 {
		t.Errorf("%d requests open, want 1", limiter.OpenRequests())
	}
	limiter.Reconfigure(0, configWith(100))
	for range 100 {
		if limiter.Admit(0, Request{}).Reason != Admitted {
			t.Fatal("a route that was added again counts permits of the removed route with its name")
		}
	}
}

// A reload does not refill the token bucket of a route that keeps its name. A new route starts with a full bucket.
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
			t.Errorf("step %d: reason %v, want %v", i, decision.Reason, c.want)
		}
	}
}

// BenchmarkLimiter_Admit admits and releases requests by key with all limits configured. No allocations are expected.
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
