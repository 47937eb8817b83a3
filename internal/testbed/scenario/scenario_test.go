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
		t.Fatalf("only %v come with the program", Shipped())
	}
	for _, n := range Shipped() {
		s := mustLoad(t, n)
		if s.Name != n || s.About == "" || s.Load() <= 0 || s.Load() > 1 {
			t.Errorf("%s: named %q, about %q, load %.2f", n, s.Name, s.About, s.Load())
		}
	}
	if _, err := Load("nothing"); err == nil || !strings.Contains(err.Error(), "calm") {
		t.Errorf("a name that is none: %v", err)
	}
	if _, err := Load("./nothing.toml"); err == nil {
		t.Error("a file that is not there was read")
	}
}

// The same seed gives the same day, with random faults too; another seed gives another.
func TestGenerate_IsDeterministic(t *testing.T) {
	s := mustLoad(t, "all-at-once")
	if a, b := s.Generate(5, true).Digest(), s.Generate(5, true).Digest(); a != b {
		t.Errorf("one seed, two days: %s and %s", a, b)
	}
	if s.Generate(5, true).Digest() == s.Generate(6, true).Digest() {
		t.Error("two seeds, one day")
	}
	// A fault that does not change traffic changes no arrival.
	calm, drained := mustLoad(t, "calm"), mustLoad(t, "release")
	a, b := calm.Generate(3, false), drained.Generate(3, false)
	for i := range a.Requests {
		if a.Requests[i] != b.Requests[i] {
			t.Fatalf("arrival %d differs", i)
		}
	}
}

func TestGenerate_TrafficFollowsTimetable(t *testing.T) {
	s := mustLoad(t, "flood")
	s.Rate, s.For = 400, 20*time.Second
	d := s.Generate(1, false)
	lake, all, over := [2]float64{}, [2]float64{}, 0 // before and after, and during the flood
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
		t.Errorf("usual %.0f a second, flood %.0f of the tenant and %.0f of the others", all[0]/10, lake[1]/10, (all[1]-lake[1])/10)
	}
	if part := float64(over) / lake[1]; part < 0.7 {
		t.Errorf("only %.2f of the flood is beyond the share", part)
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
		t.Errorf("%v arrivals, %d at one moment with another", n, same)
	}
}

func TestDecode_NamesEveryFault(t *testing.T) {
	raw, err := Text("calm")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	for _, c := range []struct{ old, replacement, want string }{
		{"rate = 60.0", "rate = -1", "rate: -1 is not from"},
		{"rate = 60.0", "rate = 100001", "rate: 100001 is not from"},
		{"rate = 60.0", "rats = 60", "rats: unknown key: did you mean rate?"},
		{`for = "20s"`, `for = "2h"`, "for: 2h0m0s is not from 1s to 1h0m0s"},
		{`for = "20s"`, `for = 20`, "for: invalid value 20: must be a number with its unit in quotes, such as "},
		{"dispatchers = 3", "dispatchers = 0", "dispatchers: 0"},
		{`effect = "safe"`, `effect = "none"`, `class[0].effect: "none" is not one of safe, keyed, never-twice`},
		{`effect = "safe"`, `effect = "keyed"`, "class[0].window: a keyed class needs"},
		{`patience = "5s"`, `patience = "600ms"`, "class[0].patience: 600ms is shorter than"},
		{`name = "ticket"`, `name = "search"`, `class[1].name: "search" stands twice`},
		{`name = "ticket"`, `name = "a b"`, `is no plain word`},
		{"share = 0.5", "share = 0.6", "add up to 1.100, not to 1"},
		{"cores = 3", "cores = 0", "workers[0].cores: 0"},
		{"speed = [1.7, 2.3]", "speed = [2.3]", "workers[0].speed"},
		{"count = 3", "count = 20000", "workers[0].count"},
		{"memory_mb = 64", "memory_mb = 8", "limits.memory_mb: 8 is not from 32"},
		{"", "[[fault]]\nkind='none'", `fault[0].kind: "none" is not one of worker-kill`},
		{"", "[[fault]]\nkind='worker-kill'\nat='1s'", "fault[0].for: worker-kill needs how long it lasts"},
		{"", "[[fault]]\nkind='worker-kill'\nat='30s'\nfor='1s'", "fault[0].at: 30s is not within the run"},
		{"", "[[fault]]\nkind='worker-slow'\nat='1s'\nfor='1s'", "fault[0].factor: 0 is not from"},
		{"", "[[fault]]\nkind='tenant-flood'\nat='1s'\nfor='1s'\nfactor=2\ntenant='x'", `fault[0].tenant: "x" is none of the tenants`},
		{"", "[[fault]]\nkind='worker-kill'\nat='1s'\nfor='1s'\nnames=['w99']", `fault[0].names[0]: "w99" is no worker`},
		{"", "[[fault]]\nkind='dispatcher-kill'\nat='1s'\nfor='1s'\ndispatchers=[3]", "fault[0].dispatchers[0]: 3 is no dispatcher"},
	} {
		changed := text + "\n" + c.replacement
		if c.old != "" {
			changed = strings.Replace(text, c.old, c.replacement, 1)
			if changed == text {
				t.Fatalf("%q is not in the file", c.old)
			}
		}
		_, err := Decode("f.toml", []byte(changed))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v does not say %q", c.replacement, err, c.want)
		}
		if err != nil && !strings.HasPrefix(err.Error(), "f.toml:") {
			t.Errorf("%s: no line is named: %v", c.replacement, err)
		}
	}
}

// An override keeps a scenario valid, and the proportions of the pools.
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
			t.Fatalf("%d workers, %d troubles", s.WorkerCount(), len(s.Faults))
		}
		for _, w := range s.Workers {
			if math.Abs(float64(w.Count)-float64(n)/3) > 1 {
				t.Fatalf("%d of %d workers are of one of three kinds", w.Count, n)
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
			return // valid, and too long to generate here
		}
		d := s.Generate(1, true)
		for i, w := range d.Requests {
			if w.At < 0 || w.At >= s.For || w.Work <= 0 || w.Dispatcher >= s.Dispatchers || i > 0 && w.At < d.Requests[i-1].At {
				t.Fatalf("request %d makes no sense: %+v", i, w)
			}
		}
	})
}
