package admission

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// generateConfig returns a random valid configuration.
func generateConfig(t *rapid.T) Config {
	config := Config{
		MaxOpen:    rapid.IntRange(0, 30).Draw(t, "open"),
		Adaptive:   rapid.Bool().Draw(t, "adaptive"),
		MinOpen:    rapid.IntRange(1, 5).Draw(t, "min open"),
		MaxBuckets: 1,
	}
	for i := range rapid.IntRange(1, 3).Draw(t, "routes") {
		config.Routes = append(config.Routes, RouteConfig{
			Name:                fmt.Sprint("r", i),
			RateLimited:         rapid.Bool().Draw(t, "limited"),
			Rate:                rapid.SampledFrom([]float64{0, 0.1, 1, 7.5, 100, 1e6, 1e12}).Draw(t, "rate"),
			Burst:               rapid.IntRange(1, 5).Draw(t, "burst"),
			RateScope:           rapid.SampledFrom([]RateScope{PerRoute, PerTenant, PerKey}).Draw(t, "scope"),
			MaxConcurrent:       rapid.IntRange(0, 10).Draw(t, "concurrent"),
			MaxQueued:           rapid.IntRange(0, 4).Draw(t, "queue"),
			RetryBudgeted:       rapid.Bool().Draw(t, "budgeted"),
			RetryBudget:         rapid.Float64Range(0, 1).Draw(t, "budget"),
			MinRetriesPerSecond: rapid.Float64Range(0, 5).Draw(t, "min retries"),
			Priority:            rapid.IntRange(0, MaxPriority).Draw(t, "priority"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tenants") {
		weight := rapid.Float64Range(0.1, 5).Draw(t, "weight")
		config.Tenants = append(config.Tenants, TenantConfig{Name: fmt.Sprint("t", i), Weight: weight})
	}
	return config
}

// limiterPair contains two limiters with the same input, and their open permits.
type limiterPair struct {
	config Config
	a, b   *Limiter
	open   []permitPair
	now    time.Duration
}

type permitPair struct{ a, b Permit }

func (p *limiterPair) reconfigure(t *rapid.T) {
	p.config = generateConfig(t)
	p.a.Reconfigure(p.now, p.config)
	p.b.Reconfigure(p.now, p.config)
}

func (p *limiterPair) releaseOne(t *rapid.T) {
	if len(p.open) == 0 {
		return
	}
	i := rapid.IntRange(0, len(p.open)-1).Draw(t, "which")
	outcome := rapid.SampledFrom([]Outcome{Timely, Late, Ignored}).Draw(t, "outcome")
	p.a.Release(p.now, p.open[i].a, outcome)
	p.b.Release(p.now, p.open[i].b, outcome)
	p.open = append(p.open[:i], p.open[i+1:]...)
}

func (p *limiterPair) admit(t *rapid.T) {
	request := Request{
		Route:  rapid.IntRange(0, len(p.config.Routes)-1).Draw(t, "route"),
		Tenant: rapid.IntRange(-1, 3).Draw(t, "tenant"),
		Key:    rapid.Uint64Range(0, 5).Draw(t, "key"),
		Retry:  rapid.Bool().Draw(t, "retry"),
	}
	route := p.config.Routes[request.Route]
	openOnRoute, openInAll, queued := p.a.OpenRequestsOnRoute(request.Route), p.a.OpenRequests(), p.a.routes[request.Route].queued
	decisionA, decisionB := p.a.Admit(p.now, request), p.b.Admit(p.now, request)
	if decisionA.Reason != decisionB.Reason || decisionA.RetryAfter != decisionB.RetryAfter {
		t.Fatalf("two limiters with the same input decide differently: %+v and %+v", decisionA, decisionB)
	}
	if decisionA.RetryAfter < 0 {
		t.Fatalf("negative Retry-After %v", decisionA.RetryAfter)
	}
	if decisionA.Reason != Admitted {
		if decisionA.Permit.Valid() || p.a.OpenRequests() != openInAll {
			t.Fatal("a rejected request has a permit or counts as open")
		}
		return
	}
	beyondRoute := route.MaxConcurrent > 0 && openOnRoute >= route.MaxConcurrent
	beyondTotal := p.config.MaxOpen > 0 && openInAll >= p.config.MaxOpen
	beyondRate := route.RateLimited && route.Rate == 0
	if beyondRoute || beyondTotal || beyondRate {
		t.Fatalf("admitted above a limit: %d open on the route, %d open in total, %+v", openOnRoute, openInAll, route)
	}
	if route.MaxQueued > 0 && queued >= route.MaxQueued {
		t.Fatalf("admitted with %d queued requests, limit %d", queued, route.MaxQueued)
	}
	if rapid.Bool().Draw(t, "sent") {
		p.a.MarkSent(&decisionA.Permit)
		p.a.MarkSent(&decisionA.Permit)
		p.b.MarkSent(&decisionB.Permit)
	}
	p.open = append(p.open, permitPair{decisionA.Permit, decisionB.Permit})
}

func (p *limiterPair) checkBounds(t *rapid.T) {
	limit := p.a.CurrentLimit()
	outOfRange := p.config.MaxOpen > 0 && (limit > p.config.MaxOpen || limit < 1)
	if p.a.OpenRequests() != len(p.open) || outOfRange {
		t.Fatalf("%d requests open, %d permits held, limit %d, maximum %d", p.a.OpenRequests(), len(p.open), limit, p.config.MaxOpen)
	}
	for _, route := range p.a.routes {
		queueBroken := route.queued < 0 || route.queued > route.open
		budgetBroken := route.retries.tokens < 0 || route.retries.tokens > route.retries.maxTokens()+1e-9
		if route.open < 0 || queueBroken || budgetBroken {
			t.Fatalf("route state out of range: %+v", route)
		}
	}
}

func (p *limiterPair) checkNoLeaks(t *rapid.T) {
	for _, held := range p.open {
		p.a.Release(p.now, held.a, Ignored)
	}
	for _, route := range p.a.routes {
		if route.open != 0 || route.queued != 0 {
			t.Fatalf("%d permits of route %s leaked, %d requests still queued", route.open, route.Name, route.queued)
		}
	}
	for _, tenant := range p.a.tenants {
		if tenant.open != 0 {
			t.Fatalf("%d permits of tenant %s leaked", tenant.open, tenant.Name)
		}
	}
}

// For any input, including reloads and a clock that jumps, the number of open requests stays within every limit, every permit is released,
// no count is negative, and two limiters with the same input make the same decisions.
func TestLimiter_KeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := generateConfig(t)
		pair := &limiterPair{config: config, a: New(config), b: New(config)}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			pair.now += time.Duration(rapid.IntRange(-50, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				pair.reconfigure(t)
			case 1, 2, 3:
				pair.releaseOne(t)
			default:
				pair.admit(t)
			}
			pair.checkBounds(t)
		}
		pair.checkNoLeaks(t)
	})
}
