package admission

import "testing"

// The adaptive limit decreases while responses are late, but not below its minimum. It increases again when they are timely.
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
		t.Fatalf("limit %d without late responses, want 100", limiter.CurrentLimit())
	}
	run(2000, 12000, Late)
	if limiter.CurrentLimit() != 10 {
		t.Fatalf("limit %d while all responses are late, want 10", limiter.CurrentLimit())
	}
	run(12000, 20000, Timely)
	if limiter.CurrentLimit() != 100 {
		t.Fatalf("limit %d after responses are timely again, want 100", limiter.CurrentLimit())
	}
}
