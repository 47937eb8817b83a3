package scenario

import (
	"math"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func mustLoad(t testing.TB, name string) *Scenario {
	t.Helper()
	s, err := Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestLoad_BuiltInScenarios(t *testing.T) {
	if len(Shipped()) < 7 {
		t.Fatalf("got built-in scenarios %v, want at least 7", Shipped())
	}
	for _, n := range Shipped() {
		s := mustLoad(t, n)
		if s.Name != n || s.About == "" || s.Load() <= 0 || s.Load() > 1 {
			t.Errorf("%s: got name %q, about %q, load %.2f", n, s.Name, s.About, s.Load())
		}
	}
	if _, err := Load("nothing"); err == nil || !strings.Contains(err.Error(), "calm") {
		t.Errorf("unknown name: got error %v, want one that lists the built-in scenarios", err)
	}
	if _, err := Load("./nothing.toml"); err == nil {
		t.Error("missing file: no error")
	}
}

// The same seed gives the same schedule, also with random faults; another seed gives another schedule.
func TestGenerate_IsDeterministic(t *testing.T) {
	s := mustLoad(t, "all-at-once")
	if a, b := s.Generate(5, true).Digest(), s.Generate(5, true).Digest(); a != b {
		t.Errorf("the same seed gives digests %s and %s", a, b)
	}
	if s.Generate(5, true).Digest() == s.Generate(6, true).Digest() {
		t.Error("two seeds give the same digest")
	}
	// A fault that does not affect traffic does not change the arrivals.
	calm, drained := mustLoad(t, "calm"), mustLoad(t, "release")
	a, b := calm.Generate(3, false), drained.Generate(3, false)
	for i := range a.Requests {
		if a.Requests[i] != b.Requests[i] {
			t.Fatalf("request %d differs: %+v without the fault, %+v with it", i, a.Requests[i], b.Requests[i])
		}
	}
}

func TestGenerate_FloodRaisesTrafficOfTenant(t *testing.T) {
	s := mustLoad(t, "flood")
	s.Rate, s.For = 400, 20*time.Second
	d := s.Generate(1, false)
	lake, all, over := [2]float64{}, [2]float64{}, 0 // counts outside the flood and during it; over: beyond the quota during it
	for _, r := range d.Requests {
		i := 0
		if r.At >= 4*time.Second && r.At < 14*time.Second {
			i = 1
		}
		all[i]++
		if s.Tenants[r.Tenant].Name == "lake" {
			lake[i]++
			if r.OverQuota && i == 1 {
				over++
			}
		}
	}
	if math.Abs(all[0]/10-400) > 30 || math.Abs(lake[1]/10-600) > 40 || math.Abs((all[1]-lake[1])/10-340) > 30 {
		t.Errorf("got %.0f requests/s outside the flood, and %.0f/s of the tenant and %.0f/s of the others during it; want 400, 600, 340",
			all[0]/10, lake[1]/10, (all[1]-lake[1])/10)
	}
	if share := float64(over) / lake[1]; share < 0.7 {
		t.Errorf("got a share of %.2f of the flood beyond the quota, want at least 0.7", share)
	}
}

func TestGenerate_BurstsKeepRate(t *testing.T) {
	s := mustLoad(t, "calm")
	s.Rate, s.Burst = 500, Burst{Share: 0.5, Size: 10}
	d := s.Generate(1, false)
	same := 0
	for i := 1; i < len(d.Requests); i++ {
		if d.Requests[i].At == d.Requests[i-1].At {
			same++
		}
	}
	if n := float64(len(d.Requests)); math.Abs(n/10000-1) > 0.1 || math.Abs(float64(same)/n-0.45) > 0.06 {
		t.Errorf("got %v requests, %d of them at the time of the one before; want 10000 and a share of 0.45", n, same)
	}
}

func TestDecode_ReportsInvalidValues(t *testing.T) {
	raw, err := Text("calm")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for _, c := range []struct{ old, replacement, want string }{
		{"rate = 60.0", "rate = -1", "rate: invalid value -1: must be between 0.1 and 100000"},
		{"rate = 60.0", "rate = 100001", "rate: invalid value 100001: must be between 0.1 and 100000"},
		{"rate = 60.0", "rats = 60", "rats: unknown key: did you mean rate?"},
		{`for = "20s"`, `for = "2h"`, "for: invalid value 2h0m0s: must be between 1s and 1h0m0s"},
		{`for = "20s"`, `for = 20`, "for: invalid value 20: must be a number with its unit in quotes, such as "},
		{"dispatchers = 3", "dispatchers = 0", "dispatchers: invalid value 0: must be between 1 and 4000"},
		{`effect = "safe"`, `effect = "none"`, `class[0].effect: invalid value "none": must be one of safe, keyed, never-twice`},
		{`effect = "safe"`, `effect = "keyed"`, "class[0].window: missing value: a keyed class needs the time for which duplicates are dropped"},
		{`patience = "5s"`, `patience = "600ms"`, "class[0].patience: invalid value 600ms: must be at least aim plus stretch times work, which are 400ms, 1.75 and 300ms"},
		{`name = "ticket"`, `name = "search"`, `class[1].name: duplicate name "search"`},
		{`name = "ticket"`, `name = "a b"`, `class[1].name: invalid name "a b": must be 1 to 64 letters, digits, - or _`},
		{"share = 0.5", "share = 0.6", "tenant: invalid sum of shares 1.100: must be 1"},
		{"cores = 3", "cores = 0", "workers[0].cores: invalid value 0: must be between 1 and 1024"},
		{"speed = [1.7, 2.3]", "speed = [2.3]", "workers[0].speed: invalid value [2.3]: must be the minimum and the maximum speed, greater than 0 and at most 1000"},
		{"count = 3", "count = 20000", "workers[0].count: invalid value 20000: must be between 1 and 10000"},
		{"memory_mb = 64", "memory_mb = 8", "limits.memory_mb: invalid value 8: must be between 32 and 65536"},
		{"", "[[fault]]\nkind='none'", `fault[0].kind: invalid value "none": must be one of worker-kill, `},
		{"", "[[fault]]\nkind='worker-kill'\nat='1s'", "fault[0].for: invalid value 0s: must be greater than 0 for worker-kill"},
		{"", "[[fault]]\nkind='worker-kill'\nat='30s'\nfor='1s'", "fault[0].at: invalid value 30s: must be at least 0 and less than the duration of the run, 20s"},
		{"", "[[fault]]\nkind='worker-slow'\nat='1s'\nfor='1s'", "fault[0].factor: invalid value 0: must be between 0.01 and 1000"},
		{"", "[[fault]]\nkind='tenant-flood'\nat='1s'\nfor='1s'\nfactor=2\ntenant='x'", `fault[0].tenant: unknown tenant "x"`},
		{"", "[[fault]]\nkind='worker-kill'\nat='1s'\nfor='1s'\nnames=['w99']", `fault[0].names[0]: unknown worker "w99": must be w1 to w9`},
		{"", "[[fault]]\nkind='dispatcher-kill'\nat='1s'\nfor='1s'\ndispatchers=[3]", "fault[0].dispatchers[0]: unknown dispatcher 3: must be between 0 and 2"},
	} {
		changed := text + "\n" + c.replacement
		if c.old != "" {
			changed = strings.Replace(text, c.old, c.replacement, 1)
			if changed == text {
				t.Fatalf("the file does not contain %q", c.old)
			}
		}
		_, err := Decode("f.toml", []byte(changed))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got error %v, want one that contains %q", c.replacement, err, c.want)
		}
		if err != nil && !strings.HasPrefix(err.Error(), "f.toml:") {
			t.Errorf("%s: got error %v, want one with file and line", c.replacement, err)
		}
	}
}

// An override keeps the scenario valid and the proportions of the pools.
func TestOverride(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, err := Load("all-at-once")
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.IntRange(1, 400).Draw(t, "workers")
		if err := s.Override(rapid.Float64Range(1, 500).Draw(t, "rate"), 5*time.Second, n, 3); err != nil {
			t.Fatal(err)
		}
		if s.WorkerCount() != n || len(s.Faults) != 4 {
			t.Fatalf("got %d workers and %d faults, want %d and 4", s.WorkerCount(), len(s.Faults), n)
		}
		for _, w := range s.Workers {
			if math.Abs(float64(w.Count)-float64(n)/3) > 1 {
				t.Fatalf("got a pool of %d of %d workers, want a third", w.Count, n)
			}
		}
	})
}

func FuzzDecode(f *testing.F) {
	for _, n := range Shipped() {
		raw, err := Text(n)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		s, err := Decode("f", raw)
		if err != nil {
			return
		}
		if s.Rate*s.For.Seconds() > 3000 || s.WorkerCount() > 500 || s.Dispatchers > 500 {
			return // valid, but too large to generate in a test
		}
		d := s.Generate(1, true)
		for i, w := range d.Requests {
			if w.At < 0 || w.At >= s.For || w.Work <= 0 || w.Dispatcher >= s.Dispatchers || i > 0 && w.At < d.Requests[i-1].At {
				t.Fatalf("invalid request %d: %+v", i, w)
			}
		}
	})
}
