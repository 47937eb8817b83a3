package admission

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// drawConfig draws a lawful configuration.
func drawConfig(t *rapid.T) Config {
	c := Config{Open: rapid.IntRange(0, 30).Draw(t, "open"), Adaptive: rapid.Bool().Draw(t, "adaptive"), Least: rapid.IntRange(1, 5).Draw(t, "least"), Keys: 1}
	for i := range rapid.IntRange(1, 3).Draw(t, "routes") {
		c.Routes = append(c.Routes, Route{
			Name: fmt.Sprint("r", i), Limited: rapid.Bool().Draw(t, "limited"),
			Rate:  rapid.SampledFrom([]float64{0, 0.1, 1, 7.5, 100, 1e6, 1e12}).Draw(t, "rate"),
			Burst: rapid.IntRange(1, 5).Draw(t, "burst"), By: rapid.SampledFrom([]By{ByRoute, ByTenant, ByKey}).Draw(t, "by"),
			Concurrent: rapid.IntRange(0, 10).Draw(t, "concurrent"), Queue: rapid.IntRange(0, 4).Draw(t, "queue"), Budgeted: rapid.Bool().Draw(t, "budgeted"),
			Budget: rapid.Float64Range(0, 1).Draw(t, "budget"), Floor: rapid.Float64Range(0, 5).Draw(t, "floor"),
			Priority: rapid.IntRange(0, Top).Draw(t, "priority"),
		})
	}
	for i := range rapid.IntRange(0, 3).Draw(t, "tenants") {
		c.Tenants = append(c.Tenants, Tenant{Name: fmt.Sprint("t", i), Weight: rapid.Float64Range(0.1, 5).Draw(t, "weight")})
	}
	return c
}

// Whatever comes, with reloads in between and a clock that jumps: no more is open than any limit allows, every slot is
// given back, nothing goes below nought, and two gates with the same input answer alike.
func TestGateKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		a, b := New(c), New(c)
		now := time.Duration(0)
		type held struct{ a, b Slot }
		var out []held
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(-50, 300).Draw(t, "ms")) * time.Millisecond
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				c = drawConfig(t)
				a.Swap(now, c)
				b.Swap(now, c)
			case 1, 2, 3:
				if len(out) > 0 {
					i := rapid.IntRange(0, len(out)-1).Draw(t, "which")
					end := rapid.SampledFrom([]End{Timely, Late, Neither}).Draw(t, "end")
					a.Done(now, out[i].a, end)
					b.Done(now, out[i].b, end)
					out = append(out[:i], out[i+1:]...)
				}
			default:
				ask := Ask{Route: rapid.IntRange(0, len(c.Routes)-1).Draw(t, "route"), Tenant: rapid.IntRange(-1, 3).Draw(t, "tenant"),
					Key: rapid.Uint64Range(0, 5).Draw(t, "key"), Retry: rapid.Bool().Draw(t, "retry")}
				routeOpen, open, queued := a.RouteOpen(ask.Route), a.Open(), a.routes[ask.Route].queued
				va, vb := a.Ask(now, ask), b.Ask(now, ask)
				if va.Reason != vb.Reason || va.Wait != vb.Wait {
					t.Fatalf("two gates differ: %+v and %+v", va, vb)
				}
				if va.Wait < 0 {
					t.Fatalf("a wait of %v", va.Wait)
				}
				r := c.Routes[ask.Route]
				if va.Reason == Admitted {
					if r.Concurrent > 0 && routeOpen >= r.Concurrent || c.Open > 0 && open >= c.Open || r.Limited && r.Rate == 0 {
						t.Fatalf("admitted beyond a limit: %d on the route, %d in all, %+v", routeOpen, open, r)
					}
					if r.Queue > 0 && queued >= r.Queue {
						t.Fatalf("admitted with %d queued of %d", queued, r.Queue)
					}
					if rapid.Bool().Draw(t, "sent") {
						a.Sent(&va.Slot)
						a.Sent(&va.Slot)
						b.Sent(&vb.Slot)
					}
					out = append(out, held{va.Slot, vb.Slot})
				} else if va.Slot.Held() || a.Open() != open {
					t.Fatal("a request that was not taken holds a slot")
				}
			}
			if a.Open() != len(out) || c.Open > 0 && (a.Limit() > c.Open || a.Limit() < 1) {
				t.Fatalf("%d open, %d held, limit %d of %d", a.Open(), len(out), a.Limit(), c.Open)
			}
			for _, r := range a.routes {
				if r.open < 0 || r.queued < 0 || r.queued > r.open || r.budget < 0 || r.budget > a.budgetCap(r)+1e-9 {
					t.Fatalf("route out of bounds: %+v", r)
				}
			}
		}
		for _, h := range out {
			a.Done(now, h.a, Neither)
		}
		for _, r := range a.routes {
			if r.open != 0 || r.queued != 0 {
				t.Fatalf("%d slots of %s leaked, %d queued", r.open, r.Name, r.queued)
			}
		}
		for _, x := range a.tenants {
			if x.open != 0 {
				t.Fatalf("%d slots of %s leaked", x.open, x.Name)
			}
		}
	})
}

// In any stretch of time a rate lets no more through than its burst and what the time brings, and an idle one lets its
// whole burst through.
func TestRateIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.SampledFrom([]float64{0.1, 1, 10, 1000}).Draw(t, "rate"), rapid.IntRange(1, 20).Draw(t, "burst")
		var b bucket
		var taken []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "asks") {
			now += time.Duration(rapid.Float64Range(0, 2).Draw(t, "gap") / rate * float64(time.Second))
			if wait := b.take(now, rate, burst); wait == 0 {
				taken = append(taken, now)
			} else if (&bucket{b.full}).take(now+wait, rate, burst) != 0 {
				t.Fatalf("after the wait of %v there is still no token", wait)
			}
		}
		for i := range taken {
			for j := i; j < len(taken); j++ {
				if most := float64(burst) + (taken[j]-taken[i]).Seconds()*rate + 1e-3; float64(j-i+1) > most {
					t.Fatalf("%d within %v, at most %.2f", j-i+1, taken[j]-taken[i], most)
				}
			}
		}
		now += time.Duration(float64(burst) / rate * float64(time.Second))
		for i := range burst {
			if b.take(now, rate, burst) != 0 {
				t.Fatalf("an idle bucket gave %d of %d", i, burst)
			}
		}
	})
}

func TestOddRates(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		burst int
		want  int // of 100 asks at one moment
	}{{0, 5, 0}, {0.1, 1, 1}, {1e6, 1, 1}, {1e12, 1, 100}, {1e-9, 3, 3}, {math.NaN(), 3, 0}, {5, 1 << 30, 100}} {
		var b bucket
		got := 0
		for range 100 {
			if b.take(time.Hour, c.rate, c.burst) == 0 {
				got++
			}
		}
		if got != c.want {
			t.Errorf("rate %v, burst %d: %d, not %d", c.rate, c.burst, got, c.want)
		}
	}
}

func TestReasons(t *testing.T) {
	g := New(Config{
		Routes: []Route{
			{Name: "top", Priority: Top}, {Name: "low"}, {Name: "two", Concurrent: 2, Priority: Top},
			{Name: "rated", Limited: true, Rate: 1, Burst: 1, Priority: Top, ComeBack: 3 * time.Second},
			{Name: "budgeted", Budgeted: true, Budget: 0.5, Floor: 0, Priority: Top},
		},
		Tenants: []Tenant{{"a", 1}, {"b", 1}}, Open: 20,
	})
	ask := func(route, tenant int, retry bool, want Reason) Verdict {
		t.Helper()
		v := g.Ask(0, Ask{Route: route, Tenant: tenant, Retry: retry})
		if v.Reason != want {
			t.Errorf("route %d: %v, not %v", route, v.Reason, want)
		}
		return v
	}
	var all []Slot
	take := func(route, tenant int) { all = append(all, ask(route, tenant, false, Admitted).Slot) }
	take(2, -1)
	take(2, -1)
	ask(2, -1, false, Concurrent)
	take(3, -1)
	if v := ask(3, -1, false, Rate); v.Wait != 3*time.Second {
		t.Errorf("come back after %v", v.Wait)
	}
	ask(4, -1, true, Budget)
	take(4, -1)
	take(4, -1)
	all = append(all, ask(4, -1, true, Admitted).Slot)
	ask(4, -1, true, Budget)
	for range 8 {
		take(0, 0)
	}
	ask(1, 0, false, Priority) // 14 of 20 are open
	take(0, 0)                 // 15: short
	take(0, 1)
	take(0, 0)
	ask(0, 0, false, Share) // it has ten, its share of the twenty among two
	take(0, 1)
	take(0, 1)
	take(0, 1)
	ask(0, 1, false, Open)
	if g.Counts()[Share] != 1 || g.Counts()[Admitted] != int64(len(all)) || g.Open() != 20 {
		t.Errorf("counted %v with %d open", g.Counts(), g.Open())
	}
}

// While short a quiet tenant finds a place and a flooding one does not go beyond its share.
func TestFloodingTenantLeavesRoom(t *testing.T) {
	c := Config{Routes: []Route{{Name: "all", Priority: Top}}, Open: 40}
	for i := range 5 {
		c.Tenants = append(c.Tenants, Tenant{fmt.Sprint(i), 1})
	}
	g := New(c)
	type job struct {
		slot Slot
		end  time.Duration
	}
	var open []job
	asked, got := [5]int{}, [5]int{}
	for step := range 4000 { // a request takes 200 ms: 40 open do 200 a second; the flood alone asks for 400
		now := ms(step * 2)
		kept := open[:0]
		for _, j := range open {
			if j.end <= now {
				g.Done(now, j.slot, Timely)
			} else {
				kept = append(kept, j)
			}
		}
		open = kept
		for tenant := range 5 {
			if tenant > 0 && step%25 != tenant*5 { // 20 a second each
				continue
			}
			asked[tenant]++
			if v := g.Ask(now, Ask{Tenant: tenant}); v.Reason == Admitted {
				got[tenant]++
				open = append(open, job{v.Slot, now + ms(200)})
			}
		}
	}
	for tenant := 1; tenant < 5; tenant++ {
		if part := float64(got[tenant]) / float64(asked[tenant]); part < 0.97 {
			t.Errorf("quiet tenant %d got %.2f of what it asked for", tenant, part)
		}
	}
	if rate := float64(got[0]) / 8; rate < 60 {
		t.Errorf("the flooding tenant got %.0f a second though there was room for more", rate)
	}
}

// The adaptive limit comes down while answers are late, not below its least, and back up once they are not.
func TestLimitFollowsService(t *testing.T) {
	g := New(Config{Routes: []Route{{Name: "all", Priority: Top}}, Open: 100, Adaptive: true, Least: 10})
	run := func(from, to int, end End) {
		for now := from; now < to; now += 10 {
			var slots []Slot
			for {
				v := g.Ask(ms(now), Ask{Tenant: -1})
				if v.Reason != Admitted {
					break
				}
				slots = append(slots, v.Slot)
			}
			for _, s := range slots {
				g.Done(ms(now), s, end)
			}
		}
	}
	run(0, 2000, Timely)
	if g.Limit() != 100 {
		t.Fatalf("limit %d with nothing late", g.Limit())
	}
	run(2000, 12000, Late)
	if g.Limit() != 10 {
		t.Fatalf("limit %d with all late", g.Limit())
	}
	run(12000, 20000, Timely)
	if g.Limit() != 100 {
		t.Fatalf("limit %d after service came back", g.Limit())
	}
}

// A reload from 100 to 10 with 80 open drops nobody and lets nobody in until there is room; and back.
func TestReloadWithRequestsOpen(t *testing.T) {
	at := func(n int) Config { return Config{Routes: []Route{{Name: "r", Concurrent: n, Priority: Top}}} }
	g := New(at(100))
	var slots []Slot
	for range 80 {
		slots = append(slots, g.Ask(0, Ask{}).Slot)
	}
	g.Swap(0, at(10))
	for i := range 71 {
		if g.Ask(0, Ask{}).Reason != Concurrent {
			t.Fatalf("let in with %d open", 80-i)
		}
		g.Done(0, slots[i], Timely)
	}
	if v := g.Ask(0, Ask{}); v.Reason != Admitted {
		t.Fatalf("not let in with 9 open: %v", v.Reason)
	}
	g.Swap(0, Config{Routes: []Route{{Name: "other", Priority: Top}}}) // the route goes, its slots do not
	for _, s := range slots[71:] {
		g.Done(0, s, Timely)
	}
	if g.Open() != 1 {
		t.Errorf("%d open", g.Open())
	}
	g.Swap(0, at(100))
	for range 100 {
		if g.Ask(0, Ask{}).Reason != Admitted {
			t.Fatal("a new route of an old name counts slots of the old one")
		}
	}
}

// A reload refills no bucket of a route that keeps its name, and a new route begins with a full one.
func TestReloadKeepsBuckets(t *testing.T) {
	at := func(name string) Config {
		return Config{Routes: []Route{{Name: name, Limited: true, Rate: 0.001, Burst: 1, Priority: Top}}}
	}
	g := New(at("r"))
	for i, c := range []struct {
		name string
		want Reason
	}{{"r", Admitted}, {"r", Rate}, {"s", Admitted}, {"s", Rate}} {
		g.Swap(0, at(c.name))
		if v := g.Ask(0, Ask{}); v.Reason != c.want {
			t.Errorf("step %d: %v, not %v", i, v.Reason, c.want)
		}
	}
}

// Keys by the hundred thousand take bounded memory, and who comes often is not forgotten for those who come once.
func TestKeysAreBounded(t *testing.T) {
	g := New(Config{Routes: []Route{{Name: "r", Limited: true, Rate: 0.001, Burst: 1, By: ByKey, Priority: Top}}, Keys: 2000})
	g.Ask(0, Ask{Key: 7})
	for i := range 100_000 {
		g.Ask(ms(i), Ask{Key: uint64(1000 + i)})
		if i%500 == 0 && g.Ask(ms(i), Ask{Key: 7}).Reason != Rate {
			t.Fatalf("the busy key was forgotten after %d others", i)
		}
	}
	if n := len(g.keys.all); n > 2000 || g.keys.used.Len() != n {
		t.Errorf("%d keys are remembered", n)
	}
}

func BenchmarkAsk(b *testing.B) {
	for _, keys := range []int{10, 1000, 100_000} {
		b.Run(fmt.Sprint(keys, " keys"), func(b *testing.B) {
			g := New(Config{Routes: []Route{{Name: "r", Limited: true, Rate: 1e6, Burst: 1000, By: ByKey, Concurrent: 100, Budgeted: true, Budget: 0.1, Priority: Top}},
				Tenants: []Tenant{{"a", 1}, {"b", 1}}, Open: 1000, Adaptive: true, Least: 10, Keys: keys})
			for i := range keys {
				g.Done(0, g.Ask(0, Ask{Key: uint64(i)}).Slot, Timely)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i) * 10 * time.Microsecond
				g.Done(now, g.Ask(now, Ask{Key: uint64(i*7919) % uint64(keys), Tenant: i & 1}).Slot, Timely)
			}
		})
	}
}
